package roster

import (
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// pushCount is the number of random peers that a change is pushed to.
	pushCount = 3

	// pushInterval and maxPushRows bound the push traffic when many hosts change
	// at once. Comparisons transfer the rows that pushes did not deliver.
	pushInterval = 200 * time.Millisecond
	maxPushRows  = 64

	// suspectCompareTicks is the mean number of ticks between comparisons with a
	// suspect host.
	suspectCompareTicks = 5
)

// pushQueue is the queue of changed rows that this host has yet to push.
type pushQueue struct {
	// pending holds the addresses of the changed hosts, without duplicates. Urgent
	// ones are at the front.
	pending []netip.AddrPort
	queued  map[netip.AddrPort]bool

	// urgent is true when the first entry is to be pushed before nextAt.
	urgent bool
	nextAt time.Time
}

func (p *pushQueue) hasPending() (pending bool) { return len(p.pending) > 0 }

func (p *pushQueue) add(addr netip.AddrPort) {
	if p.queued[addr] {
		return
	}
	if p.queued == nil {
		p.queued = make(map[netip.AddrPort]bool)
	}
	p.queued[addr] = true
	p.pending = append(p.pending, addr)
}

func (p *pushQueue) addFirst(addr netip.AddrPort) {
	p.add(addr)
	i := slices.Index(p.pending, addr)
	copy(p.pending[1:i+1], p.pending[:i])
	p.pending[0] = addr
	p.urgent = true
}

func (p *pushQueue) nextBatch() (addrs []netip.AddrPort) {
	n := min(len(p.pending), maxPushRows)
	addrs = slices.Clone(p.pending[:n])
	p.pending = slices.Delete(p.pending, 0, n)
	for _, a := range addrs {
		delete(p.queued, a)
	}
	p.urgent = false
	return addrs
}

// flush pushes changes to random peers. Changes stay queued while no peer is alive.
func (s *State) flush(now time.Time) {
	if !s.pushes.hasPending() || !s.pushes.urgent && now.Before(s.pushes.nextAt) {
		return
	}
	peers := s.randomPeers(pushCount)
	if len(peers) == 0 {
		return
	}
	s.pushes.nextAt = now.Add(pushInterval)
	var rows []Row
	for _, a := range s.pushes.nextBatch() {
		if r, found := s.current().row(a); found {
			rows = append(rows, *r)
		}
	}
	for _, a := range peers {
		s.emit(Push{To: a, Rows: rows})
	}
}

// randomPeers returns up to count distinct peers that are alive.
func (s *State) randomPeers(count int) (peers []netip.AddrPort) {
	v := s.current()
	total := v.PeerCount()
	if total <= count {
		for i := range total {
			peers = append(peers, v.Peer(i))
		}
		return peers
	}
	for len(peers) < count {
		a := v.Peer(s.random.IntN(total))
		if !slices.Contains(peers, a) {
			peers = append(peers, a)
		}
	}
	return peers
}

// compareTables starts a comparison with one random peer, and occasionally with a suspect
// host. After a partition within a zone both sides hold each other suspect, and without
// the latter they would never exchange messages again.
func (s *State) compareTables() {
	for _, a := range s.randomPeers(1) {
		s.emit(Compare{To: a})
	}
	if s.random.IntN(suspectCompareTicks) > 0 {
		return
	}
	if a, found := s.randomSuspect(); found {
		s.emit(Compare{To: a})
	}
}

// randomSuspect returns a random suspect host.
func (s *State) randomSuspect() (addr netip.AddrPort, found bool) {
	var suspects []netip.AddrPort
	for a := range s.removals.downSince {
		if r, _ := s.current().row(a); r.Host.State == mesh.HostSuspect {
			suspects = append(suspects, a)
		}
	}
	if len(suspects) == 0 {
		return addr, false
	}
	slices.SortFunc(suspects, netip.AddrPort.Compare)
	return suspects[s.random.IntN(len(suspects))], true
}

// pushSelf pushes this host's row to a host that does not have it.
func (s *State) pushSelf(to netip.AddrPort) {
	r, _ := s.current().row(s.self)
	s.emit(Push{To: to, Rows: []Row{*r}})
}

// compared merges the peer's rows and pushes back those that are missing or older on the
// peer. Rows learned here are not pushed further, since most hosts already have them.
func (s *State) compared(now time.Time, e Compared) {
	if s.stale(e.From) {
		return
	}
	s.messageReceived(now, e.From)
	remote := make(map[netip.AddrPort]mesh.Host, len(e.Rows))
	changed := false
	for _, r := range e.Rows {
		remote[r.Host.Addr] = r.Host
		changed = s.merge(now, r) || changed
	}
	if missing := s.newerRows(e.Buckets, remote); len(missing) > 0 {
		s.emit(Push{To: e.From.Host, Rows: missing})
	}
	if e.More && changed {
		s.emit(Compare{To: e.From.Host})
	}
}

// newerRows returns the local rows of the buckets that are missing or older in remote.
func (s *State) newerRows(buckets []int, remote map[netip.AddrPort]mesh.Host) (rows []Row) {
	for _, n := range buckets {
		if n < 0 || n >= BucketCount {
			continue
		}
		for _, r := range s.current().buckets[n].rows {
			if len(rows) == maxExchangeRows {
				return rows
			}
			if old, found := remote[r.Host.Addr]; !found || newer(r.Host, old) {
				rows = append(rows, *r)
			}
		}
	}
	return rows
}
