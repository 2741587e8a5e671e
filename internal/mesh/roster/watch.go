package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// watcherCount is the number of hosts in its zone that watch a host.
	watcherCount = 3

	// firstHeartbeatTimeout is the time a watcher waits for the first heartbeat of a
	// host, which may have an outdated table and send heartbeats to other hosts for a
	// while. With 10 s, a host killed just after its start received requests for too long.
	firstHeartbeatTimeout = 5 * time.Second

	// isolationTimeout is the silence of all other hosts after which a watcher
	// assumes that its own link has failed.
	isolationTimeout = 2 * time.Second

	// isolatedSuspectTimeout is the silence after which an isolated watcher declares
	// a host suspect nevertheless.
	isolatedSuspectTimeout = 30 * time.Second
)

// failureDetector tracks the heartbeats of the hosts that this host watches.
type failureDetector struct {
	zone mesh.ZoneName

	// ring holds the hosts of the zone in the order of their hashes. A host is
	// watched by the next watcherCount hosts that are up.
	ring []ringPosition

	// watched holds the hosts that this host watches, by address.
	watched map[netip.AddrPort]liveness

	// lastMessage is the arrival time of the last message from any other host.
	lastMessage time.Time

	// isolated is true when no host had sent a message for isolationTimeout at the
	// last check.
	isolated bool
}

// ringPosition is the position of a host on the ring of its zone.
type ringPosition struct {
	hash uint64
	addr netip.AddrPort
}

// liveness holds the times that decide whether a watched host is silent.
type liveness struct {
	watchedSince time.Time

	// lastMessage is zero until the first message.
	lastMessage time.Time
}

func newFailureDetector(zone mesh.ZoneName, now time.Time) (w failureDetector) {
	return failureDetector{zone: zone, watched: make(map[netip.AddrPort]liveness), lastMessage: now}
}

func (p ringPosition) compare(other ringPosition) (order int) {
	return cmp.Or(cmp.Compare(p.hash, other.hash), p.addr.Compare(other.addr))
}

// addToRing adds a host of the zone to the ring.
func (w *failureDetector) addToRing(h mesh.Host) {
	if h.Zone != w.zone {
		w.removeFromRing(h)
		return
	}
	p := ringPosition{hash: hashAddr(h.Addr), addr: h.Addr}
	i, found := slices.BinarySearchFunc(w.ring, p, ringPosition.compare)
	if !found {
		w.ring = slices.Insert(w.ring, i, p)
	}
}

// removeFromRing removes a host from the ring.
func (w *failureDetector) removeFromRing(h mesh.Host) {
	p := ringPosition{hash: hashAddr(h.Addr), addr: h.Addr}
	if i, found := slices.BinarySearchFunc(w.ring, p, ringPosition.compare); found {
		w.ring = slices.Delete(w.ring, i, i+1)
	}
}

// resetTimers restarts the timeouts of all watched hosts.
func (w *failureDetector) resetTimers(now time.Time) {
	for a := range w.watched {
		w.watched[a] = liveness{watchedSince: now}
	}
	w.lastMessage = now
}

// neighbours returns up to watcherCount hosts that are up, in ring order from another host
// on. The step is 1 for the hosts after it and -1 for those before it.
func (s *State) neighbours(of netip.AddrPort, step int) (hosts []netip.AddrPort) {
	own := ringPosition{hash: hashAddr(of), addr: of}
	at, _ := slices.BinarySearchFunc(s.detector.ring, own, ringPosition.compare)
	size := len(s.detector.ring)
	for i := 1; i < size && len(hosts) < watcherCount; i++ {
		addr := s.detector.ring[(at+i*step+i*size)%size].addr
		if r, _ := s.current().row(addr); r.up() {
			hosts = append(hosts, addr)
		}
	}
	return hosts
}

// sendHeartbeats sends heartbeats to the hosts that watch this one.
func (s *State) sendHeartbeats() {
	for _, a := range s.neighbours(s.self, 1) {
		s.emit(Heartbeat{To: a})
	}
}

// messageReceived records a message from a host as proof that it is up.
func (s *State) messageReceived(now time.Time, from Sender) {
	if s.stale(from) || from.Host == s.self {
		return
	}
	s.detector.lastMessage = now
	if t, found := s.detector.watched[from.Host]; found {
		t.lastMessage = now
		s.detector.watched[from.Host] = t
	}
}

// detectFailures marks silent hosts as down. Hosts are watched only within their zone, so
// a partition between zones makes no host suspect.
func (s *State) detectFailures(now time.Time) {
	s.updateWatched(now)
	isolated := s.current().Len() > 2 && now.Sub(s.detector.lastMessage) > isolationTimeout
	if s.detector.isolated && !isolated {
		s.detector.resetTimers(now)
	}
	s.detector.isolated = isolated
	for a, t := range s.detector.watched {
		if now.Sub(t.silentSince()) > t.timeout(isolated) {
			s.markDown(now, a)
		}
	}
}

// updateWatched derives the watched hosts from the current table.
func (s *State) updateWatched(now time.Time) {
	watched := make(map[netip.AddrPort]liveness, watcherCount)
	for _, a := range s.neighbours(s.self, -1) {
		t, found := s.detector.watched[a]
		if !found {
			t = liveness{watchedSince: now}
		}
		watched[a] = t
	}
	s.detector.watched = watched
}

func (t liveness) silentSince() (at time.Time) {
	if t.lastMessage.IsZero() {
		return t.watchedSince
	}
	return t.lastMessage
}

func (t liveness) timeout(isolated bool) (timeout time.Duration) {
	switch {
	case isolated:
		return isolatedSuspectTimeout
	case t.lastMessage.IsZero():
		return firstHeartbeatTimeout
	default:
		return suspectTimeout
	}
}

// markDown declares a silent host suspect in its known incarnation. A host that was draining
// is declared left instead.
func (s *State) markDown(now time.Time, addr netip.AddrPort) {
	r, _ := s.current().row(addr)
	h := r.Host
	switch h.State {
	case mesh.HostAlive:
		h.State = mesh.HostSuspect
	case mesh.HostDraining:
		h.State = mesh.HostLeft
	}
	s.put(Row{Host: h, DownSince: now})
	s.pushes.addFirst(addr)
	delete(s.detector.watched, addr)
}
