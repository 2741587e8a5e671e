package roster

import (
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// pushCount is how many random peers a change is pushed to.
	pushCount = 3

	// pushInterval and maxPushRows bound the bytes of pushes when many hosts
	// change at once. Comparisons bring what a push left out.
	pushInterval = 200 * time.Millisecond
	maxPushRows  = 64

	// suspectTicks is the mean number of ticks between comparisons with a
	// suspect host.
	suspectTicks = 5
)

// spread holds the changes that this host has yet to push.
type spread struct {
	// pending names the changed hosts once each, the most urgent first.
	pending []netip.AddrPort
	queued  map[netip.AddrPort]bool

	// urgent says that the first of pending must not wait for nextAt.
	urgent bool
	nextAt time.Time
}

func (p *spread) waits() (waits bool) { return len(p.pending) > 0 }

func (p *spread) add(addr netip.AddrPort) {
	if p.queued[addr] {
		return
	}
	if p.queued == nil {
		p.queued = make(map[netip.AddrPort]bool)
	}
	p.queued[addr] = true
	p.pending = append(p.pending, addr)
}

func (p *spread) addFirst(addr netip.AddrPort) {
	p.add(addr)
	i := slices.Index(p.pending, addr)
	copy(p.pending[1:i+1], p.pending[:i])
	p.pending[0] = addr
	p.urgent = true
}

func (p *spread) take() (addrs []netip.AddrPort) {
	n := min(len(p.pending), maxPushRows)
	addrs = slices.Clone(p.pending[:n])
	p.pending = slices.Delete(p.pending, 0, n)
	for _, a := range addrs {
		delete(p.queued, a)
	}
	p.urgent = false
	return addrs
}

// flush pushes changes to random peers. Changes wait while no peer is alive.
func (s *State) flush(now time.Time) {
	if !s.spread.waits() || !s.spread.urgent && now.Before(s.spread.nextAt) {
		return
	}
	peers := s.randomPeers(pushCount)
	if len(peers) == 0 {
		return
	}
	s.spread.nextAt = now.Add(pushInterval)
	var rows []Row
	for _, a := range s.spread.take() {
		if r, found := s.current().row(a); found {
			rows = append(rows, *r)
		}
	}
	for _, a := range peers {
		s.do(Push{To: a, Rows: rows})
	}
}

// randomPeers returns up to count different peers that are alive.
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

// gossip compares tables with one random peer, and now and then with a host
// that is suspect: two groups of hosts that were cut off from each other hold
// each other for suspect and would not speak again otherwise.
func (s *State) gossip() {
	for _, a := range s.randomPeers(1) {
		s.do(Compare{To: a})
	}
	if s.random.IntN(suspectTicks) > 0 {
		return
	}
	if a, found := s.randomSuspect(); found {
		s.do(Compare{To: a})
	}
}

// randomSuspect returns one of the hosts that are suspect.
func (s *State) randomSuspect() (addr netip.AddrPort, found bool) {
	var suspects []netip.AddrPort
	for a := range s.removals.ended {
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

// introduce pushes this host's row to one that does not know it.
func (s *State) introduce(to netip.AddrPort) {
	r, _ := s.current().row(s.self)
	s.do(Push{To: to, Rows: []Row{*r}})
}

// compared merges the buckets in which a peer differed and pushes back what the
// peer lacks. Rows learned here are not pushed on: they are old news to most.
func (s *State) compared(now time.Time, e Compared) {
	if s.stale(e.From) {
		return
	}
	s.heard(now, e.From)
	theirs := make(map[netip.AddrPort]mesh.Host, len(e.Rows))
	learned := false
	for _, r := range e.Rows {
		theirs[r.Host.Addr] = r.Host
		learned = s.merge(now, r) || learned
	}
	if lacking := s.lacking(e.Buckets, theirs); len(lacking) > 0 {
		s.do(Push{To: e.From.Host, Rows: lacking})
	}
	if e.More && learned {
		s.do(Compare{To: e.From.Host})
	}
}

// lacking returns the rows of the buckets that are newer than theirs.
func (s *State) lacking(buckets []int, theirs map[netip.AddrPort]mesh.Host) (rows []Row) {
	for _, n := range buckets {
		if n < 0 || n >= BucketCount {
			continue
		}
		for _, r := range s.current().buckets[n].rows {
			if len(rows) == maxExchangeRows {
				return rows
			}
			if old, found := theirs[r.Host.Addr]; !found || newer(r.Host, old) {
				rows = append(rows, *r)
			}
		}
	}
	return rows
}
