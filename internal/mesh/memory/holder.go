package memory

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Holder is the part of the account that a connection holds. A nil holder has no limits. It is safe
// for concurrent use.
type Holder struct {
	account *Account
	group   Group
	from    netip.Addr
	evict   func(s Stage)

	// held is what the connection holds, in bytes; those of its request are also in request.
	held    atomic.Int64
	request atomic.Int64
	stage   atomic.Uint32

	// moved is when the connection last made progress, in nanoseconds since the account was created
	// (the time of day may be set meanwhile), and moving the number of bytes since then.
	moved, moving atomic.Int64

	// writing is since when a write of the answer has been blocked, in the same unit; 0 while none is.
	writing atomic.Int64

	// gone is true once the connection has been evicted.
	gone         atomic.Bool
	socketClosed atomic.Bool

	// mu guards the stage while the connection is evicted, so that no request is cut that has just
	// become busy.
	mu sync.Mutex

	// leaving is what the connection still holds after it was evicted; the account's lock guards it.
	leaving int64

	// organisation is the one whose request the connection carries, and owned what was counted for
	// it. Only the goroutine that serves the connection uses them.
	organisation string
	owned        int64
}

// state returns what the rules look at.
func (h *Holder) state(now time.Time) (s holding) {
	s = holding{stage: Stage(h.stage.Load()), held: h.held.Load(), still: now.Sub(h.account.created) - time.Duration(h.moved.Load())}
	if s.stage == Answer {
		// An answer may pause at the target; only a remote end that takes nothing holds it up.
		s.still = 0
		if since := h.writing.Load(); since > 0 {
			s.still = now.Sub(h.account.created) - time.Duration(since)
		}
	}
	return s
}

// BeginWrite notes that a write to the remote end begins at now, or goes on after a part was taken.
func (h *Holder) BeginWrite(now time.Time) {
	if h != nil {
		h.writing.Store(max(1, int64(now.Sub(h.account.created))))
	}
}

// EndWrite notes that the remote end has taken all of a write.
func (h *Holder) EndWrite() {
	if h != nil {
		h.writing.Store(0)
	}
}

// Charge charges n bytes that are about to be allocated for the request. It reports false when they
// must not be; then the request is to be refused.
func (h *Holder) Charge(n int64) (ok bool) {
	if h == nil || n <= 0 {
		return true
	}
	if h.gone.Load() || !h.account.charge(h, n, h.organisation) {
		return false
	}
	h.add(n)
	return true
}

// ChargeUpTo charges what the request holds less than n bytes.
func (h *Holder) ChargeUpTo(n int64) (ok bool) {
	return h == nil || h.Charge(n-h.request.Load())
}

// Force charges n bytes that cannot be refused, such as those of an answer of a target.
func (h *Holder) Force(n int64) {
	if h != nil && n > 0 {
		h.account.used.Add(n)
		h.add(n)
	}
}

func (h *Holder) add(n int64) {
	h.held.Add(n)
	h.request.Add(n)
	if h.request.Load() > ordinaryBytes {
		h.account.own(h)
	}
}

// Grow charges n bytes that the connection keeps until it is closed. It reports false when they must
// not be allocated.
func (h *Holder) Grow(n int64) (ok bool) {
	if h == nil {
		return true
	}
	if h.gone.Load() || !h.account.charge(h, n, "") {
		return false
	}
	h.held.Add(n)
	return true
}

// Own says which organisation the request belongs to.
func (h *Holder) Own(organisation string) {
	if h != nil {
		h.organisation = organisation
	}
}

// own counts what a holder has for its organisation. Requests of usual size are not counted.
func (a *Account) own(h *Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.organisation == "" {
		return
	}
	s := a.organisations[h.organisation]
	if s == nil {
		s = new(share)
		a.organisations[h.organisation] = s
	}
	if h.owned == 0 {
		s.requests++
	}
	held := h.request.Load()
	s.held += held - h.owned
	h.owned = held
}

// disown ends the count of own.
func (a *Account) disown(h *Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.organisations[h.organisation]; s != nil && h.owned > 0 {
		s.held -= h.owned
		s.requests--
		if s.requests == 0 {
			delete(a.organisations, h.organisation)
		}
	}
	h.owned = 0
}

// End releases all that the request holds; the connection stays.
func (h *Holder) End() {
	if h == nil {
		return
	}
	if h.owned > 0 {
		h.account.disown(h)
	}
	h.organisation = ""
	// An eviction meanwhile sees all of what the request held, or nothing of it.
	h.mu.Lock()
	n := h.request.Swap(0)
	h.held.Add(-n)
	gone := h.gone.Load()
	h.mu.Unlock()
	if gone {
		h.account.left(h, n)
	}
	h.account.release(n)
}

// Release releases n bytes that the request no longer needs.
func (h *Holder) Release(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.mu.Lock()
	n = min(n, h.request.Load())
	h.held.Add(-n)
	left := h.request.Add(-n)
	gone := h.gone.Load()
	h.mu.Unlock()
	switch {
	case h.owned == 0:
	case left > ordinaryBytes:
		h.account.own(h)
	default:
		h.account.disown(h)
	}
	if gone {
		h.account.left(h, n)
	}
	h.account.release(n)
}

// left notes that n bytes of an evicted holder are released.
func (a *Account) left(h *Holder, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n = min(n, h.leaving)
	h.leaving -= n
	a.leaving -= n
}

// Enter notes that the connection has reached a stage at now. It reports false when the connection has
// been evicted; then its request is not to be run.
func (h *Holder) Enter(s Stage, now time.Time) (ok bool) {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stage.Store(uint32(s))
	h.moving.Store(0)
	h.moved.Store(int64(now.Sub(h.account.created)))
	return !h.gone.Load()
}

// Progress notes that n bytes have arrived or left by now.
func (h *Holder) Progress(n int, now time.Time) {
	if h != nil && h.moving.Add(int64(n)) >= progressBytes {
		h.moving.Store(0)
		h.moved.Store(int64(now.Sub(h.account.created)))
	}
}

// Malformed counts a head outside the limits.
func (h *Holder) Malformed() {
	if h != nil {
		h.account.note(&h.account.malformed)
	}
}

// Evicted reports whether the connection has been evicted.
func (h *Holder) Evicted() (gone bool) { return h != nil && h.gone.Load() }

// CloseSocket notes that the socket of the connection is closed.
func (h *Holder) CloseSocket() {
	if h == nil || h.socketClosed.Swap(true) {
		return
	}
	h.account.open[h.group].Add(-1)
}

// Close notes that the connection is gone with all that it held.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.CloseSocket()
	h.End()
	a := h.account
	a.mu.Lock()
	delete(a.holders, h)
	a.leaving -= h.leaving
	h.leaving = 0
	a.uncountAddress(h)
	a.mu.Unlock()
	a.release(h.held.Swap(0))
}
