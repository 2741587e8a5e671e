// Package memory keeps the account of the memory and the sockets of a process: what its connections
// hold is charged before it is allocated, and when it runs short the account decides which connection
// makes room.
package memory

import (
	"expvar"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// accountShare is the share of the machine's memory that connections may hold. The garbage
	// collector needs up to 0.6 of that again (attachedGCPercent), and the rest of the program,
	// its stacks and its duties take about 20 MB.
	accountShare = 0.45

	// reserveShare is the part of the account that only ordinary callers may use.
	reserveShare = 1.0 / 8

	// organisationShare is the part of the account that the requests of one organisation may hold
	// beyond its first one.
	organisationShare = 0.5

	// connectionBytes is what a connection holds without a request: its goroutine, buffers and
	// state.
	connectionBytes = 20 << 10

	// releaseTimeout is how long a charge waits for what evicted connections still hold.
	releaseTimeout = 250 * time.Millisecond

	// progressBytes is how many bytes have to move for progress, so that bytes sent now and then do
	// not count. A body that moves fewer in pauseTime arrives at less than 64 KB a second.
	progressBytes = 16 << 10

	// filesReserved is the number of descriptors that the platforms reserve for files.
	filesReserved = 200

	// ownSockets are sockets that are not counted one by one: listeners, the socket for datagrams,
	// connections to the store and for configuration, and those of the control listeners.
	ownSockets = 64

	// minSockets is the number of sockets that are used however low the limit is.
	minSockets = 32

	// defaultMachine and defaultDescriptors are used where the settings name no limits. They are
	// those of the smallest hosts.
	defaultMachine     = 184 << 20
	defaultDescriptors = 4096
)

// Group is a set of connections with a common bound on their sockets.
type Group uint8

// Groups of connections.
const (
	// Callers and Peers are connections that callers and other nodes open.
	Callers Group = iota
	Peers

	// Control are connections to the listeners that serve no requests.
	Control

	// Outgoing are connections that this process opens to other nodes and to its target.
	Outgoing
	groupCount
)

// groupShares are the shares of all sockets that the groups may have. Together they exceed 1, since
// few hosts are busy in each of them.
var groupShares = [groupCount]float64{Callers: 0.625, Peers: 0.625, Outgoing: 0.5}

// controlSockets is the bound on connections to the control listeners. The platform and the target
// have one or two each.
const controlSockets = 32

// Account is the account of a process. It is safe for concurrent use.
type Account struct {
	created time.Time
	size    int64
	sockets [groupCount]int64
	total   int64

	// perAddress is the bound on the connections that one address opens in a group, or 0.
	perAddress int

	// used and open are counters and not owned by a duty, since each read of a connection charges
	// them: a ring to a duty would add two switches of goroutines to every request.
	used atomic.Int64
	open [groupCount]atomic.Int64

	// released is signalled when a charge waits and memory is released. It has room for one signal.
	released chan struct{}
	waiting  atomic.Int64

	evicted, refused, closed, malformed atomic.Int64

	// turned tells the duty that logs that a connection was turned away.
	turned chan struct{}

	mu sync.Mutex

	// holders are the connections that remote ends have opened.
	holders map[*Holder]struct{}

	// leaving is what evicted connections still hold.
	leaving int64

	// addresses is the number of connections by group and address. It is empty without a bound.
	addresses map[groupAddress]int

	// organisations is what the requests of each organisation hold.
	organisations map[string]*share
}

type groupAddress struct {
	group Group
	addr  netip.Addr
}

// share is what an organisation holds, and with how many requests.
type share struct {
	held     int64
	requests int
}

// Option configures an account that New creates.
type Option func(*Account)

// WithCallers bounds the connections of callers; 0 means the share of the descriptors.
func WithCallers(n int) Option {
	return func(a *Account) {
		if n > 0 {
			a.sockets[Callers] = min(int64(n), a.total)
		}
	}
}

// WithPerAddress bounds the connections that one address opens in a group; 0 means no bound of its
// own.
func WithPerAddress(n int) Option { return func(a *Account) { a.perAddress = n } }

// New returns the account of a process on a machine with that much memory and that many descriptors
// for it. Zero means the default of each.
func New(machine int64, descriptors int, options ...Option) (a *Account) {
	if machine == 0 {
		machine = defaultMachine
	}
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	a = &Account{
		created:  time.Now(),
		size:     int64(accountShare * float64(machine)),
		total:    int64(max(minSockets, descriptors-filesReserved-ownSockets)),
		released: make(chan struct{}, 1), turned: make(chan struct{}, 1),
		holders: make(map[*Holder]struct{}), addresses: make(map[groupAddress]int), organisations: make(map[string]*share),
	}
	for g, s := range groupShares {
		a.sockets[g] = int64(s * float64(a.total))
	}
	a.sockets[Control] = controlSockets
	for _, o := range options {
		o(a)
	}
	return a
}

// Publish adds the metrics of the account to vars.
func (a *Account) Publish(vars *expvar.Map) {
	for name, value := range map[string]func() any{
		"memory-size":          func() any { return a.size },
		"memory-used":          func() any { return a.used.Load() },
		"memory-evicted":       func() any { return a.evicted.Load() },
		"memory-refused":       func() any { return a.refused.Load() },
		"sockets-callers":      func() any { return a.open[Callers].Load() },
		"sockets-peers":        func() any { return a.open[Peers].Load() },
		"sockets-control":      func() any { return a.open[Control].Load() },
		"sockets-outgoing":     func() any { return a.open[Outgoing].Load() },
		"sockets-turned-away":  func() any { return a.closed.Load() },
		"heads-malformed":      func() any { return a.malformed.Load() },
		"sockets-size":         func() any { return a.total },
		"sockets-callers-size": func() any { return a.sockets[Callers] },
	} {
		vars.Set(name, expvar.Func(value))
	}
}

// Counts are the numbers of connections that the account has turned away.
type Counts struct {
	// Evicted had to make room, Refused found no room for a request, Closed none for a socket, and
	// Malformed sent a head outside the limits.
	Evicted, Refused, Closed, Malformed int64

	// Used and Open are the memory and the sockets in use.
	Used, Open int64
}

// Counts returns the counts since the start.
func (a *Account) Counts() (c Counts) {
	return Counts{Evicted: a.evicted.Load(), Refused: a.refused.Load(), Closed: a.closed.Load(), Malformed: a.malformed.Load(), Used: a.used.Load(), Open: a.allOpen()}
}

// Turned returns a channel that receives when a connection was turned away since the last time.
func (a *Account) Turned() (turned <-chan struct{}) { return a.turned }

func (a *Account) note(counter *atomic.Int64) {
	counter.Add(1)
	select {
	case a.turned <- struct{}{}:
	default: // The duty has a signal already.
	}
}

func (a *Account) allOpen() (n int64) {
	return a.open[Callers].Load() + a.open[Peers].Load() + a.open[Outgoing].Load()
}

// NewHolder returns the holder of a connection that a remote end has opened. evict makes the connection
// give up what it holds in a stage; it must not block and is called once at most, from Admit on.
func (a *Account) NewHolder(g Group, from netip.Addr, evict func(s Stage)) (h *Holder) {
	return &Holder{account: a, group: g, from: from, evict: evict}
}

// Admit charges the connection of a new holder. It reports false when there is no room; then the
// connection is to be closed.
func (a *Account) Admit(h *Holder) (ok bool) {
	h.moved.Store(int64(time.Since(a.created)))
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.countAddress(h) {
		a.note(&a.closed)
		return false
	}
	if !a.takeSocket(h.group) {
		a.uncountAddress(h)
		a.note(&a.closed)
		return false
	}
	if a.used.Load()+connectionBytes-a.leaving > a.size {
		a.makeRoom(holding{}, connectionBytes, a.size)
	}
	a.used.Add(connectionBytes)
	h.held.Store(connectionBytes)
	a.holders[h] = struct{}{}
	return true
}

// countAddress counts a connection of its address, and reports false when the address has too many.
func (a *Account) countAddress(h *Holder) (ok bool) {
	if a.perAddress == 0 || h.group == Control {
		return true
	}
	key := groupAddress{h.group, h.from}
	if a.addresses[key] >= a.perAddress && !a.evictStill(func(o *Holder) bool { return o.group == h.group && o.from == h.from }) {
		return false
	}
	a.addresses[key]++
	return true
}

// uncountAddress ends the count of countAddress; a.mu is held.
func (a *Account) uncountAddress(h *Holder) {
	if a.perAddress == 0 || h.group == Control {
		return
	}
	key := groupAddress{h.group, h.from}
	if a.addresses[key]--; a.addresses[key] <= 0 {
		delete(a.addresses, key)
	}
}

// takeSocket takes a socket of a group; a.mu is held. When there is none, the connection that is
// easiest to spare is closed.
func (a *Account) takeSocket(g Group) (ok bool) {
	if a.open[g].Load() >= a.sockets[g] && (g == Outgoing || !a.evictStill(func(h *Holder) bool { return h.group == g })) {
		return false
	}
	if g != Control && a.allOpen() >= a.total && !a.evictStill(func(h *Holder) bool { return h.group == Callers }) &&
		!a.evictStill(func(h *Holder) bool { return h.group == Peers }) {
		return false
	}
	a.open[g].Add(1)
	return true
}

// OpenOutgoing counts a connection that this process opens. It reports false when there is no socket.
func (a *Account) OpenOutgoing() (ok bool) {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.takeSocket(Outgoing) {
		a.note(&a.closed)
		return false
	}
	return true
}

// CloseOutgoing counts a connection as closed that OpenOutgoing has counted.
func (a *Account) CloseOutgoing() {
	if a != nil {
		a.open[Outgoing].Add(-1)
	}
}

// SpareSockets reports whether there are enough sockets to keep connections that nobody uses.
func (a *Account) SpareSockets() (ok bool) {
	return a == nil || 2*a.open[Outgoing].Load() <= a.sockets[Outgoing] && 4*a.allOpen() <= 3*a.total
}

// evictStill closes the connection among those selected that is easiest to spare; a.mu is held.
func (a *Account) evictStill(selected func(h *Holder) bool) (ok bool) {
	now := time.Now()
	for {
		var chosen *Holder
		most := -1.0
		for h := range a.holders {
			if s := h.state(now); selected(h) && s.evictable() && !h.gone.Load() && s.idleness() > most {
				chosen, most = h, s.idleness()
			}
		}
		if chosen == nil {
			return false
		}
		if a.evictHolder(chosen, now, true) {
			return true
		}
	}
}

// makeRoom evicts holders until n more bytes fit into limit, and reports whether they fit once those
// have released what they hold; a.mu is held. asking is the state of the holder that asks.
func (a *Account) makeRoom(asking holding, n, limit int64) (ok bool) {
	now := time.Now()
	for a.used.Load()+n-a.leaving > limit {
		var chosen *Holder
		most := 0.0
		for h := range a.holders {
			if s := h.state(now); !h.gone.Load() && s.yieldsTo(asking) && s.weight() > most {
				chosen, most = h, s.weight()
			}
		}
		if chosen == nil {
			return false
		}
		a.evictHolder(chosen, now, false)
	}
	return true
}

// evictHolder evicts a holder unless its stage has changed; a.mu is held. For a socket the connection
// is closed, for memory it may end in another way.
func (a *Account) evictHolder(h *Holder, now time.Time, socket bool) (ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(now)
	if h.gone.Load() || !s.evictable() {
		return false
	}
	h.gone.Store(true)
	h.leaving = s.held
	a.leaving += s.held
	if socket && s.stage == Body {
		s.stage = Head // The connection is closed without an answer.
	}
	h.evict(s.stage)
	a.note(&a.evicted)
	return true
}

// charge charges n bytes to a holder for an organisation, which may be empty. Where they do not fit,
// others are evicted, or the charge is refused.
func (a *Account) charge(h *Holder, n int64, organisation string) (ok bool) {
	limit, ordinary := a.size, h.held.Load()+n <= ordinaryBytes
	if !ordinary {
		limit -= int64(reserveShare * float64(a.size))
	}
	used := a.used.Add(n)
	if used <= limit && (ordinary || 2*used <= a.size) {
		return true
	}
	a.used.Add(-n)
	if a.awaitRoom(h, n, limit, organisation) {
		return true
	}
	a.note(&a.refused)
	return false
}

// awaitRoom charges n bytes once they fit. It reports false when they must not be charged, or do not
// fit within releaseTimeout.
func (a *Account) awaitRoom(h *Holder, n, limit int64, organisation string) (ok bool) {
	a.waiting.Add(1)
	defer a.waiting.Add(-1)
	var timer *time.Timer
	for {
		charged, refused := a.tryCharge(h, n, limit, organisation)
		if charged || refused {
			return charged
		}
		if timer == nil {
			timer = time.NewTimer(releaseTimeout)
			defer timer.Stop()
		}
		select {
		case <-a.released:
		case <-timer.C:
			// A signal may have gone to a larger charge that still does not fit.
			charged, _ = a.tryCharge(h, n, limit, organisation)
			return charged
		}
	}
}

// tryCharge charges n bytes, refuses them, or leaves both until evicted holders have released theirs.
func (a *Account) tryCharge(h *Holder, n, limit int64, organisation string) (charged, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	asking := h.state(time.Now())
	asking.held += n
	switch {
	case h.gone.Load(), organisation != "" && !a.mayHold(organisation, n), !a.makeRoom(asking, n, limit):
		return false, true
	case a.used.Load()+n <= limit:
		a.used.Add(n)
		a.wake() // What is released may suffice for another charge too.
		return true, false
	default:
		return false, false
	}
}

// mayHold reports whether an organisation may hold n more bytes; a.mu is held.
func (a *Account) mayHold(organisation string, n int64) (ok bool) {
	s := a.organisations[organisation]
	return s == nil || s.requests < 2 || s.held+n <= int64(organisationShare*float64(a.size))
}

// Keep charges n bytes that no connection holds any more, such as the body of an answered request that
// its target still reads. release gives them back.
func (a *Account) Keep(n int64) (release func()) {
	if a == nil || n <= 0 {
		return func() {}
	}
	a.used.Add(n)
	return sync.OnceFunc(func() { a.release(n) })
}

// release returns n bytes to the account.
func (a *Account) release(n int64) {
	a.used.Add(-n)
	a.wake()
}

// wake lets a waiting charge look again.
func (a *Account) wake() {
	if a.waiting.Load() > 0 {
		select {
		case a.released <- struct{}{}:
		default: // A waiting charge has a signal already.
		}
	}
}
