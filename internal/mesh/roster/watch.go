package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// watcherCount is how many hosts of its zone watch a host.
	watcherCount = 3

	// firstTime is how long a watcher waits for the first heartbeat of a host.
	// The host may know an older table for a while and send to others; with
	// 10 s a host killed just after its start got work for too long.
	firstTime = 5 * time.Second

	// isolationTime is the silence of all other hosts after which a watcher
	// looks for the fault in its own link.
	isolationTime = 2 * time.Second

	// isolatedTime is the silence after which an isolated watcher declares a
	// host suspect after all.
	isolatedTime = 30 * time.Second
)

// watch is what a host knows of the heartbeats of its zone.
type watch struct {
	zone mesh.ZoneName

	// ring holds the hosts of the zone in the order of their hashes. A host is
	// watched by the next three that are up.
	ring []place

	// watched holds the hosts that this one watches.
	watched map[netip.AddrPort]times

	// heardAny is when the last message of any other host came in.
	heardAny time.Time

	// isolated says that nothing came in from any host at the last judgement.
	isolated bool
}

// place is the position of a host on the ring of its zone.
type place struct {
	hash uint64
	addr netip.AddrPort
}

// times are the moments that decide whether a watched host is silent.
type times struct {
	since time.Time

	// heard is zero until the first heartbeat.
	heard time.Time
}

func newWatch(zone mesh.ZoneName, now time.Time) (w watch) {
	return watch{zone: zone, watched: make(map[netip.AddrPort]times), heardAny: now}
}

func (p place) compare(other place) (order int) {
	return cmp.Or(cmp.Compare(p.hash, other.hash), p.addr.Compare(other.addr))
}

// place enters a host of the zone into the ring.
func (w *watch) place(h mesh.Host) {
	if h.Zone != w.zone {
		w.displace(h)
		return
	}
	p := place{hash: hashAddr(h.Addr), addr: h.Addr}
	i, found := slices.BinarySearchFunc(w.ring, p, place.compare)
	if !found {
		w.ring = slices.Insert(w.ring, i, p)
	}
}

// displace takes a host out of the ring.
func (w *watch) displace(h mesh.Host) {
	p := place{hash: hashAddr(h.Addr), addr: h.Addr}
	if i, found := slices.BinarySearchFunc(w.ring, p, place.compare); found {
		w.ring = slices.Delete(w.ring, i, i+1)
	}
}

// restart forgets how long the watched hosts have been silent.
func (w *watch) restart(now time.Time) {
	for a := range w.watched {
		w.watched[a] = times{since: now}
	}
	w.heardAny = now
}

// neighbours returns the hosts that are up and next to another one on the ring
// of the zone, in the given direction.
func (s *State) neighbours(of netip.AddrPort, step int) (hosts []netip.AddrPort) {
	own := place{hash: hashAddr(of), addr: of}
	at, _ := slices.BinarySearchFunc(s.watch.ring, own, place.compare)
	size := len(s.watch.ring)
	for i := 1; i < size && len(hosts) < watcherCount; i++ {
		addr := s.watch.ring[(at+i*step+i*size)%size].addr
		if r, _ := s.current().row(addr); r.up() {
			hosts = append(hosts, addr)
		}
	}
	return hosts
}

// beat sends heartbeats to the hosts that watch this one.
func (s *State) beat() {
	for _, a := range s.neighbours(s.self, 1) {
		s.do(Heartbeat{To: a})
	}
}

// heard notes a sign of life.
func (s *State) heard(now time.Time, from Sender) {
	if s.stale(from) || from.Host == s.self {
		return
	}
	s.watch.heardAny = now
	if t, found := s.watch.watched[from.Host]; found {
		t.heard = now
		s.watch.watched[from.Host] = t
	}
}

// judge declares watched hosts suspect that have fallen silent. Only hosts of
// the own zone are watched, so a cut between zones makes nobody suspect.
func (s *State) judge(now time.Time) {
	s.follow(now)
	isolated := s.current().Len() > 2 && now.Sub(s.watch.heardAny) > isolationTime
	if s.watch.isolated && !isolated {
		s.watch.restart(now)
	}
	s.watch.isolated = isolated
	for a, t := range s.watch.watched {
		if now.Sub(t.last()) > t.limit(isolated) {
			s.accuse(now, a)
		}
	}
}

// follow watches the hosts that the table as it stands assigns to this one.
func (s *State) follow(now time.Time) {
	watched := make(map[netip.AddrPort]times, watcherCount)
	for _, a := range s.neighbours(s.self, -1) {
		t, found := s.watch.watched[a]
		if !found {
			t = times{since: now}
		}
		watched[a] = t
	}
	s.watch.watched = watched
}

func (t times) last() (at time.Time) {
	if t.heard.IsZero() {
		return t.since
	}
	return t.heard
}

func (t times) limit(isolated bool) (limit time.Duration) {
	switch {
	case isolated:
		return isolatedTime
	case t.heard.IsZero():
		return firstTime
	default:
		return suspectTime
	}
}

// accuse declares a silent host suspect in the incarnation that is known. A
// silent host that was draining has left.
func (s *State) accuse(now time.Time, addr netip.AddrPort) {
	r, _ := s.current().row(addr)
	h := r.Host
	switch h.State {
	case mesh.HostAlive:
		h.State = mesh.HostSuspect
	case mesh.HostDraining:
		h.State = mesh.HostLeft
	}
	s.put(Row{Host: h, DownSince: now})
	s.spread.addFirst(addr)
	delete(s.watch.watched, addr)
}
