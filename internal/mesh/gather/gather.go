// Package gather decides how a gatherer merges the claims of several nodes into
// shared transactions.
//
// A gatherer keeps nothing after its answer. All its writes are conditional on
// one version of their row, so a batch that is lost, late or written twice does
// no harm: its sender finds out by reading its rows.
package gather

import (
	"cmp"
	"encoding/binary"
	"errors"
	"iter"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// MaxWrites is how many writes one transaction may carry.
	MaxWrites = 100

	// MaxWait is how long a batch may wait for its transaction to be sent.
	MaxWait = 200 * time.Millisecond

	// linger is how long the first batch of a transaction waits for others.
	linger = 2 * time.Millisecond

	// spacing is the least time between two transactions that are not full.
	// With one gatherer at work in each of 11 zones it makes at most 440
	// transactions a second, which the platform bears.
	spacing = 25 * time.Millisecond

	// maxInFlight is how many transactions may be at the platform duty, which
	// works on one at a time. The second one is ready when the first ends.
	maxInFlight = 2

	// maxWaiting bounds the writes that wait. Twenty transactions of 5 ms
	// take half of MaxWait.
	maxWaiting = 20 * MaxWrites

	// gathererCount is how many hosts of a zone gather. Two of them may fail
	// at once.
	gathererCount = 3
)

// ErrNotWritten means that no write of a batch was sent to the platform.
var ErrNotWritten = errors.New("the batch was not written")

// Choose returns the gatherers of a zone, by rendezvous hashing over its live
// hosts, in the same order on every host.
func Choose(zone mesh.ZoneName, hosts iter.Seq2[netip.AddrPort, mesh.Host]) (gatherers []netip.AddrPort) {
	scores := make(map[netip.AddrPort]uint64)
	for addr, h := range hosts {
		if h.Zone == zone && h.State == mesh.HostAlive {
			gatherers = append(gatherers, addr)
			scores[addr] = score("gather/"+string(zone), addr)
		}
	}
	slices.SortFunc(gatherers, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), a.Compare(b))
	})
	return slices.Clone(gatherers[:min(gathererCount, len(gatherers))])
}

// score is the weight of an address for a name in rendezvous hashing.
func score(name string, addr netip.AddrPort) (s uint64) {
	ip := addr.Addr().As16()
	text := append([]byte(name), ip[:]...)
	return xxhash.Sum64(binary.BigEndian.AppendUint16(text, addr.Port()))
}

// Asked brings a batch. The ticket is unique and comes back with its answer.
type Asked struct {
	Ticket uint64
	Writes []mesh.Write
}

// Committed brings the outcome of a Commit.
type Committed struct {
	Transaction uint64
	Err         error
}

// Unsent says that a transaction was not handed to the platform.
type Unsent struct{ Transaction uint64 }

// Elapsed says that the time of Next has come.
type Elapsed struct{}

// EventName implements mesh.Event.
func (Asked) EventName() string { return "gather-asked" }

// EventName implements mesh.Event.
func (Committed) EventName() string { return "gather-committed" }

// EventName implements mesh.Event.
func (Unsent) EventName() string { return "gather-unsent" }

// EventName implements mesh.Event.
func (Elapsed) EventName() string { return "elapsed" }

// Action is something for the owner of the state to do.
type Action interface{ action() }

// Commit writes a transaction. Committed or Unsent follows.
type Commit struct {
	Transaction uint64
	Writes      []mesh.Write
}

// Answer ends a batch. Err is nil when all its writes took effect, a
// *mesh.ConflictError for a row of the batch, or ErrNotWritten. After any other
// error the batch may have taken effect.
type Answer struct {
	Ticket uint64
	Err    error
}

func (Commit) action() {}
func (Answer) action() {}

// batch is what one node wants written. It always goes into one transaction as
// a whole, since its sender takes one of its rows as proof for all.
type batch struct {
	ticket uint64
	writes []mesh.Write
	asked  time.Time
}

// State holds the batches that are not yet answered.
type State struct {
	// waiting is in the order of arrival.
	waiting []*batch

	// groups are parts of a transaction that met a conflict.
	groups [][]*batch

	// inFlight has at most maxInFlight transactions. The writes of each have
	// different keys, since the platform checks conditions against the rows
	// before the transaction and would let two claims of one row succeed.
	inFlight map[uint64][]*batch

	// number is that of the last transaction, mergedAt when the last one
	// apart from repeats was sent.
	number   uint64
	mergedAt time.Time

	out []Action
}

// New returns a state without batches.
func New() (s *State) { return &State{inFlight: make(map[uint64][]*batch)} }

// Step takes in one event.
func (s *State) Step(now time.Time, event mesh.Event) (actions []Action) {
	s.out = nil
	switch e := event.(type) {
	case Asked:
		s.asked(now, e)
	case Committed:
		s.committed(e)
	case Unsent:
		s.answerAll(s.take(e.Transaction), ErrNotWritten)
	}
	s.expire(now)
	s.flush(now)
	return s.out
}

// Next returns when the state wants an Elapsed event; zero means not.
func (s *State) Next() (at time.Time) {
	for _, g := range append(s.groups, s.waiting) {
		for _, b := range g {
			if end := b.asked.Add(MaxWait); at.IsZero() || end.Before(at) {
				at = end
			}
		}
	}
	if len(s.waiting) == 0 || len(s.inFlight) > 0 || at.Before(s.shortAt()) {
		return at
	}
	return s.shortAt()
}

// shortAt returns when a transaction that is not full may be sent.
func (s *State) shortAt() (at time.Time) {
	at = s.waiting[0].asked.Add(linger)
	if next := s.mergedAt.Add(spacing); next.After(at) {
		return next
	}
	return at
}

func (s *State) answer(b *batch, err error) {
	s.out = append(s.out, Answer{Ticket: b.ticket, Err: err})
}

func (s *State) answerAll(batches []*batch, err error) {
	for _, b := range batches {
		s.answer(b, err)
	}
}

// asked takes in a batch or refuses it.
func (s *State) asked(now time.Time, a Asked) {
	b := &batch{ticket: a.Ticket, writes: a.Writes, asked: now}
	if !valid(a.Writes) || size(s.waiting)+len(a.Writes) > maxWaiting {
		s.answer(b, ErrNotWritten)
		return
	}
	s.waiting = append(s.waiting, b)
}

// valid reports whether the writes may share a transaction with others. A write
// without a condition must not be late.
func valid(writes []mesh.Write) (ok bool) {
	keys := make(map[string]bool)
	for _, w := range writes {
		if w.Condition == mesh.Always || keys[w.Key] {
			return false
		}
		keys[w.Key] = true
	}
	return len(writes) > 0 && len(writes) <= MaxWrites
}

func size(batches []*batch) (writes int) {
	for _, b := range batches {
		writes += len(b.writes)
	}
	return writes
}

// take removes a transaction that is back.
func (s *State) take(transaction uint64) (batches []*batch) {
	batches = s.inFlight[transaction]
	delete(s.inFlight, transaction)
	return batches
}

// committed takes in the outcome of a transaction.
func (s *State) committed(c Committed) {
	batches := s.take(c.Transaction)
	var conflict *mesh.ConflictError
	if errors.As(c.Err, &conflict) {
		s.conflicted(batches, conflict)
		return
	}
	s.answerAll(batches, c.Err)
}

// conflicted answers the batch with the conflict. The others are tried again in
// two halves, so that a few conflicts do not hold them up for long. A conflict
// of a row that is not in the transaction leaves its senders to read their rows.
func (s *State) conflicted(batches []*batch, conflict *mesh.ConflictError) {
	i := slices.IndexFunc(batches, func(b *batch) bool { return b.has(conflict.Current.Key) })
	if i < 0 {
		s.answerAll(batches, mesh.ErrPlatformUnavailable)
		return
	}
	s.answer(batches[i], conflict)
	others := slices.Delete(batches, i, i+1)
	half := (len(others) + 1) / 2
	for _, part := range [][]*batch{others[:half], others[half:]} {
		if len(part) > 0 {
			s.groups = append(s.groups, slices.Clone(part))
		}
	}
}

func (b *batch) has(key string) (found bool) {
	return slices.ContainsFunc(b.writes, func(w mesh.Write) bool { return w.Key == key })
}

// expire refuses batches that waited too long. None of their writes took
// effect, even if they were part of a transaction that met a conflict.
func (s *State) expire(now time.Time) {
	s.waiting = s.live(now, s.waiting)
	for i, g := range s.groups {
		s.groups[i] = s.live(now, g)
	}
	s.groups = slices.DeleteFunc(s.groups, func(g []*batch) bool { return len(g) == 0 })
}

// live returns the batches that may still wait and refuses the others.
func (s *State) live(now time.Time, batches []*batch) (left []*batch) {
	for _, b := range batches {
		if now.Before(b.asked.Add(MaxWait)) {
			left = append(left, b)
			continue
		}
		s.answer(b, ErrNotWritten)
	}
	return left
}

// flush sends what is due.
func (s *State) flush(now time.Time) {
	for len(s.inFlight) < maxInFlight {
		switch {
		case len(s.groups) > 0:
			group := s.groups[0]
			s.groups = s.groups[1:]
			s.commit(group)
		case s.due(now):
			s.mergedAt = now
			s.commit(s.merge())
		default:
			return
		}
	}
}

// due reports whether the next transaction is full, or has waited for others
// and no other one is written.
func (s *State) due(now time.Time) (is bool) {
	if len(s.waiting) == 0 {
		return false
	}
	return size(s.waiting) >= MaxWrites || len(s.inFlight) == 0 && !now.Before(s.shortAt())
}

// merge takes the batches of the next transaction. A batch that does not fit,
// or shares a row with an earlier one, waits for a later one.
func (s *State) merge() (batches []*batch) {
	keys := make(map[string]bool)
	var rest []*batch
	for _, b := range s.waiting {
		if len(keys)+len(b.writes) > MaxWrites || b.overlaps(keys) {
			rest = append(rest, b)
			continue
		}
		for _, w := range b.writes {
			keys[w.Key] = true
		}
		batches = append(batches, b)
	}
	s.waiting = rest
	return batches
}

func (b *batch) overlaps(keys map[string]bool) (does bool) {
	return slices.ContainsFunc(b.writes, func(w mesh.Write) bool { return keys[w.Key] })
}

func (s *State) commit(batches []*batch) {
	var writes []mesh.Write
	for _, b := range batches {
		writes = append(writes, b.writes...)
	}
	s.number++
	s.inFlight[s.number] = batches
	s.out = append(s.out, Commit{Transaction: s.number, Writes: writes})
}
