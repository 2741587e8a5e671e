package roster

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// endedKeep is how long the row of a host that is suspect or has left
	// stays in the table. It outlasts the hour for which regions lose contact,
	// so a host that was cut off meets the row that overrides its older one.
	endedKeep = 2 * time.Hour

	// endedMargin is how long before its removal a row is no longer taken from
	// others. It covers the delay of messages, which makes their ages too low.
	endedMargin = 10 * time.Second

	// removedKeep is how long a host remembers a row that it removed.
	removedKeep = 24 * time.Hour
)

// removals holds which rows are to be removed and which have been.
//
// A removed row cannot come back. Its copies that say so are refused by their
// age, which travels with them, by every host, even one that never saw the row.
// A copy from before the end, kept by a host that was cut off for longer than
// endedKeep, is refused by every host that remembers the removal, and answered
// by a row that ends that incarnation for another endedKeep, which overrides
// the copy wherever it went.
type removals struct {
	ended   map[netip.AddrPort]time.Time
	removed map[netip.AddrPort]removal
}

// removal is what is left of a row.
type removal struct {
	host mesh.Host
	at   time.Time
}

func newRemovals() (m removals) {
	return removals{ended: make(map[netip.AddrPort]time.Time), removed: make(map[netip.AddrPort]removal)}
}

// note keeps track of a row that came into the table.
func (m *removals) note(r Row) {
	delete(m.ended, r.Host.Addr)
	if !r.up() {
		m.ended[r.Host.Addr] = r.DownSince
	}
	if old, found := m.removed[r.Host.Addr]; found && newer(r.Host, old.host) && r.up() {
		delete(m.removed, r.Host.Addr)
	}
}

// expireRows removes rows that ended long ago and forgets old removals.
func (s *State) expireRows(now time.Time) {
	for a, ended := range s.removals.ended {
		if now.Sub(ended) > endedKeep && a != s.self {
			s.remove(now, a)
		}
	}
	for a, r := range s.removals.removed {
		if now.Sub(r.at) > removedKeep {
			delete(s.removals.removed, a)
		}
	}
}

func (s *State) remove(now time.Time, addr netip.AddrPort) {
	r, _ := s.current().row(addr)
	h := r.Host
	h.Targets = nil
	if h.Zone == s.watch.zone && s.follows(addr) {
		s.do(Deregister{Host: h})
	}
	s.drop(*r)
	delete(s.removals.ended, addr)
	s.removals.removed[addr] = removal{host: h, at: now}
}

// follows reports whether this host is the first that is up after another one
// on the ring of its zone.
func (s *State) follows(addr netip.AddrPort) (follows bool) {
	next := s.neighbours(addr, 1)
	return len(next) > 0 && next[0] == s.self
}

// rejects reports whether a row must not enter the table.
func (s *State) rejects(now time.Time, r Row) (rejected bool) {
	if !r.up() {
		return now.Sub(r.DownSince) > endedKeep-endedMargin
	}
	old, found := s.removals.removed[r.Host.Addr]
	if !found || newer(r.Host, old.host) {
		return false
	}
	s.endAgain(now, old.host)
	return true
}

// endAgain puts a removed host back as one that left, so that copies of its row
// from before its end are overridden everywhere.
func (s *State) endAgain(now time.Time, h mesh.Host) {
	h.State = mesh.HostLeft
	r, found := s.current().row(h.Addr)
	if found && !newer(h, r.Host) {
		return
	}
	s.put(Row{Host: h, DownSince: now})
	s.spread.add(h.Addr)
}
