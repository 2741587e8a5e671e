package roster

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// downRetention is how long the row of a suspect or left host stays in the
	// table. It is longer than a partition between regions, which can last an hour,
	// so a partitioned host still receives the row that overrides its older one.
	downRetention = 2 * time.Hour

	// downMargin is how long before its removal a row is no longer accepted from
	// other hosts. It covers message delay, which makes the received ages too low.
	downMargin = 10 * time.Second

	// removedRetention is how long a host remembers that it removed a row.
	removedRetention = 24 * time.Hour
)

// removals tracks the rows of hosts that are down and the rows that have been removed.
//
// A removed row cannot come back. Messages carry the time since a host went down, so every
// host rejects an expired copy of a down row by its age, even if it never had the row. A
// copy from before the host went down, kept by a host that was partitioned for longer than
// downRetention, is rejected by every host that remembers the removal. That host also
// restores a tombstone for the incarnation for another downRetention; the tombstone
// overrides the copy on all hosts that have accepted it.
type removals struct {
	downSince map[netip.AddrPort]time.Time
	removed   map[netip.AddrPort]removal
}

// removal records a removed row.
type removal struct {
	host mesh.Host
	at   time.Time
}

func newRemovals() (m removals) {
	return removals{downSince: make(map[netip.AddrPort]time.Time), removed: make(map[netip.AddrPort]removal)}
}

// track updates the bookkeeping for a row that was put into the table.
func (m *removals) track(r Row) {
	delete(m.downSince, r.Host.Addr)
	if !r.up() {
		m.downSince[r.Host.Addr] = r.DownSince
	}
	if old, found := m.removed[r.Host.Addr]; found && newer(r.Host, old.host) && r.up() {
		delete(m.removed, r.Host.Addr)
	}
}

// expireRows removes rows of hosts that have been down for downRetention, and forgets
// removals after removedRetention.
func (s *State) expireRows(now time.Time) {
	for a, since := range s.removals.downSince {
		if now.Sub(since) > downRetention && a != s.self {
			s.remove(now, a)
		}
	}
	for a, r := range s.removals.removed {
		if now.Sub(r.at) > removedRetention {
			delete(s.removals.removed, a)
		}
	}
}

func (s *State) remove(now time.Time, addr netip.AddrPort) {
	r, _ := s.current().row(addr)
	h := r.Host
	h.Targets = nil
	if h.Zone == s.detector.zone && s.isSuccessor(addr) {
		s.emit(Deregister{Host: h})
	}
	s.drop(*r)
	delete(s.removals.downSince, addr)
	s.removals.removed[addr] = removal{host: h, at: now}
}

// isSuccessor reports whether this host is the first one after addr on the ring of the zone
// that is up.
func (s *State) isSuccessor(addr netip.AddrPort) (successor bool) {
	next := s.neighbours(addr, 1)
	return len(next) > 0 && next[0] == s.self
}

// shouldReject reports whether a row must not enter the table. For an outdated copy of a
// removed row it also restores the tombstone.
func (s *State) shouldReject(now time.Time, r Row) (rejected bool) {
	if !r.up() {
		return now.Sub(r.DownSince) > downRetention-downMargin
	}
	old, found := s.removals.removed[r.Host.Addr]
	if !found || newer(r.Host, old.host) {
		return false
	}
	s.restoreTombstone(now, old.host)
	return true
}

// restoreTombstone puts a removed host back into the table in state left, so that the
// tombstone overrides copies of its row from before it went down.
func (s *State) restoreTombstone(now time.Time, h mesh.Host) {
	h.State = mesh.HostLeft
	r, found := s.current().row(h.Addr)
	if found && !newer(h, r.Host) {
		return
	}
	s.put(Row{Host: h, DownSince: now})
	s.pushes.add(h.Addr)
}
