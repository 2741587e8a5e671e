// Package fleet decides which hosts of the fleet live and which targets take
// work, from what each host says about itself.
package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// shortBeat is the time between two beats of a host in a small fleet.
	// Three lost beats show a dead host before a request of 1 s times out.
	shortBeat = 300 * time.Millisecond

	// farBeats is the factor on the time between beats to other zones, where
	// bytes are dear.
	farBeats = 5.0 / 3

	// beatPerHost stretches the beats of a large fleet, since each host beats
	// to all others: it keeps a host at 200 beats a second in each direction,
	// under a hundredth of a core.
	beatPerHost = 5 * time.Millisecond

	// missedBeats is how many beats a host may miss before it counts as
	// silent. Links lose a few packets in a hundred, rarely three in a row.
	missedBeats = 3

	// rareBeat is the time between beats to a host that is silent, which
	// costs little and finds it again when it returns.
	rareBeat = 2 * time.Second

	// relayFrom is the number of hosts from which on a zone passes the beats of
	// other zones on among its own hosts, and contacts how many of them get
	// each beat. Bytes between zones are dear, and two lost datagrams in a row
	// are rare.
	relayFrom = 8
	contacts  = 2

	// maxRemoteLife is how long a silent host keeps its row. Its demand is
	// reserved meanwhile, in case it lives behind a cut.
	maxRemoteLife = 10 * time.Minute

	// reportAge is how long a target may be silent before it takes no more
	// work. Targets report about every 1.5 s, and reports may be seconds late.
	reportAge = 8 * time.Second

	// reportMemory is how long the last report of a target is remembered. A
	// report is held up for seconds at most.
	reportMemory = 10 * time.Minute
)

// State is what one node knows of the fleet. Only one duty may use it.
type State struct {
	self  mesh.Host
	hosts map[netip.AddrPort]*host

	// out holds the zones that operators have taken out.
	out map[mesh.ZoneName]bool

	// relays says for each zone when its contacts were last sent a beat.
	relays map[mesh.ZoneName]*relay

	// reports holds what was last heard of each target of this host.
	reports map[string]lastReport
}

// relay is how this host reaches a zone that passes beats on.
type relay struct {
	told time.Time

	// turn is the place of the next contact among the hosts of the zone. It
	// moves on with each beat, so that a dead contact costs few of them.
	turn uint64
}

// lastReport orders the reports of one target. The incarnation goes before the
// sequence.
type lastReport struct {
	incarnation mesh.Incarnation
	sequence    uint64
	at          time.Time

	// ended is true once this incarnation has said that it ends.
	ended bool
}

// host is another host of the fleet.
type host struct {
	mesh.Host

	// heard is when the last beat arrived, zero while none has.
	heard time.Time

	// told is when this node last sent it a beat.
	told time.Time

	// known is how many hosts it has met itself.
	known int
}

// View is the fleet at one moment. It never changes.
type View struct {
	// Targets holds the targets that take work, by service. A service all of
	// whose hosts are silent keeps them, since trying beats refusing.
	Targets map[mesh.ServiceName][]mesh.Endpoint

	// Peers holds the other hosts that are not silent, by address.
	Peers map[netip.AddrPort]mesh.Host

	// FleetSize is the number of hosts, this one included, silent or not. A node
	// that has just started takes it from the others.
	FleetSize int
}

// New returns the state of a node that knows only its own host.
func New(self mesh.Host) (s *State) {
	return &State{self: self, hosts: make(map[netip.AddrPort]*host), out: make(map[mesh.ZoneName]bool), relays: make(map[mesh.ZoneName]*relay), reports: make(map[string]lastReport)}
}

// Self returns this node's own host as others should see it.
func (s *State) Self() (self mesh.Host) { return s.self }

// interval returns the time between two beats to a host of the zone.
func (s *State) interval(to mesh.ZoneName) (d time.Duration) {
	d = max(shortBeat, time.Duration(len(s.hosts))*beatPerHost)
	if to != s.self.Zone {
		d = time.Duration(farBeats * float64(d))
	}
	return d
}

// AddHost adds a host that was listed somewhere. It reports whether it is new.
func (s *State) AddHost(h mesh.Host) (added bool) {
	if h.Addr == s.self.Addr || s.hosts[h.Addr] != nil {
		return false
	}
	s.hosts[h.Addr] = &host{Host: mesh.Host{Addr: h.Addr, Zone: h.Zone, State: mesh.HostSuspect}}
	return true
}

// ApplyHeartbeat takes in what a host says about itself. Beats can overtake each other,
// so an older one than the last is dropped. It reports whether the view may
// have changed. Known is how many hosts the host has met itself.
func (s *State) ApplyHeartbeat(now time.Time, h mesh.Host, known int) (changed bool) {
	if h.Addr == s.self.Addr {
		return false
	}
	last, found := s.hosts[h.Addr]
	if !found {
		last = new(host)
		s.hosts[h.Addr] = last
	}
	if h.Incarnation < last.Incarnation || h.Incarnation == last.Incarnation && h.Revision < last.Revision {
		return false
	}
	changed = s.silent(now, last) || h.Incarnation != last.Incarnation || h.Revision != last.Revision || known != last.known
	last.Host, last.heard, last.known = h, now, known
	return changed
}

// ApplyReport takes in what a target of this host says about itself. Reports can
// arrive late: one of an earlier start, one sent before the last, and one of a
// target that has ended are not accepted.
func (s *State) ApplyReport(now time.Time, a mesh.Announcement) (accepted, changed bool) {
	t := a.Target
	last, known := s.reports[t.Name]
	switch {
	case known && t.Incarnation < last.incarnation, s.replaced(t):
		return false, false
	case known && t.Incarnation == last.incarnation && (last.ended || a.Sequence < last.sequence):
		return false, false
	}
	s.reports[t.Name] = lastReport{incarnation: t.Incarnation, sequence: a.Sequence, at: now}
	i := slices.IndexFunc(s.self.Targets, func(known mesh.Target) bool { return known.Addr == t.Addr })
	switch {
	case i < 0:
		s.self.Targets = append(slices.Clone(s.self.Targets), t)
	case t == s.self.Targets[i]:
		return true, false
	default:
		s.self.Targets = slices.Clone(s.self.Targets)
		s.self.Targets[i] = t
	}
	s.self.Revision++
	return true, true
}

// replaced reports whether a target that started later has the address now.
func (s *State) replaced(t mesh.Target) bool {
	return slices.ContainsFunc(s.self.Targets, func(known mesh.Target) bool {
		return known.Addr == t.Addr && known.Name != t.Name && t.Incarnation < known.Incarnation
	})
}

// RemoveTarget removes a target of this host that has said that it ends. Reports that it
// sent before may still arrive and are not accepted any more.
func (s *State) RemoveTarget(now time.Time, name string) (removed bool) {
	last := s.reports[name]
	last.ended, last.at = true, now
	s.reports[name] = last
	return s.remove(name)
}

func (s *State) remove(name string) (removed bool) {
	before := len(s.self.Targets)
	s.self.Targets = slices.DeleteFunc(slices.Clone(s.self.Targets), func(t mesh.Target) bool { return t.Name == name })
	if len(s.self.Targets) == before {
		return false
	}
	s.self.Revision++
	return true
}

// ExpireTargets removes the targets of this host that have been silent for too long
// and returns their names. What was last heard of a target is kept for longer,
// so that a late report of it is recognized.
func (s *State) ExpireTargets(now time.Time) (names []string) {
	for name, r := range s.reports {
		if !r.ended && now.Sub(r.at) > reportAge && s.remove(name) {
			names = append(names, name)
		}
		if now.Sub(r.at) > reportMemory {
			delete(s.reports, name)
		}
	}
	return names
}

// KnownHosts returns how many hosts this node has met or found listed, itself included.
func (s *State) KnownHosts() (hosts int) { return len(s.hosts) + 1 }

// Drain marks this host as draining, so that others send it no more work.
func (s *State) Drain() {
	s.self.State = mesh.HostDraining
	s.self.Revision++
}

// SetZonesOut sets the zones that operators have taken out.
func (s *State) SetZonesOut(zones []mesh.ZoneName) {
	clear(s.out)
	for _, z := range zones {
		s.out[z] = true
	}
}

// DueHeartbeats returns the hosts to which a beat is due and notes that they get one. Those
// of passing pass it on to the hosts of their zone. All hosts are due when
// urgent, as after a change that keeps work away.
func (s *State) DueHeartbeats(now time.Time, urgent bool) (direct, passing []netip.AddrPort) {
	crowded := s.crowded(now)
	for addr, h := range s.hosts {
		wait := s.interval(h.Zone)
		switch {
		case s.silent(now, h):
			wait = rareBeat
		case crowded[h.Zone] != nil && !urgent:
			continue
		}
		if urgent || due(now, h.told, wait) {
			h.told = now
			direct = append(direct, addr)
		}
	}
	if urgent {
		return direct, nil
	}
	for zone, addrs := range crowded {
		passing = append(passing, s.contacts(now, zone, addrs)...)
	}
	return direct, passing
}

// due reports whether it is time again. A beat that comes a little early keeps
// beats aligned, which saves wake-ups.
func due(now, last time.Time, wait time.Duration) bool { return now.Sub(last) >= wait-wait/10 }

// crowded returns the hosts of the other zones that pass beats on.
func (s *State) crowded(now time.Time) (zones map[mesh.ZoneName][]netip.AddrPort) {
	zones = make(map[mesh.ZoneName][]netip.AddrPort)
	for addr, h := range s.hosts {
		if h.Zone != s.self.Zone && !s.silent(now, h) {
			zones[h.Zone] = append(zones[h.Zone], addr)
		}
	}
	maps.DeleteFunc(zones, func(_ mesh.ZoneName, addrs []netip.AddrPort) bool { return len(addrs) < relayFrom })
	return zones
}

// contacts returns the hosts of a zone that get the next beat, if it is due.
func (s *State) contacts(now time.Time, zone mesh.ZoneName, addrs []netip.AddrPort) (chosen []netip.AddrPort) {
	r := s.relays[zone]
	if r == nil {
		// Hosts start at different times, so they begin with different contacts.
		r = &relay{turn: uint64(s.self.Incarnation)}
		s.relays[zone] = r
	}
	if !due(now, r.told, s.interval(zone)) {
		return nil
	}
	r.told = now
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	for range contacts {
		chosen = append(chosen, addrs[r.turn%uint64(len(addrs))])
		r.turn++
	}
	return chosen
}

// ZonePeers returns the other hosts of this host's zone that are not silent,
// which are passed the beats of other zones.
func (s *State) ZonePeers(now time.Time) (addrs []netip.AddrPort) {
	for addr, h := range s.hosts {
		if h.Zone == s.self.Zone && !s.silent(now, h) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// ExpireHosts drops hosts that have been silent for very long and reports whether
// a host fell silent since before.
func (s *State) ExpireHosts(now, before time.Time) (changed bool) {
	for _, h := range s.hosts {
		changed = changed || !s.silent(before, h) && s.silent(now, h)
	}
	maps.DeleteFunc(s.hosts, func(_ netip.AddrPort, h *host) bool {
		return !h.heard.IsZero() && now.Sub(h.heard) > maxRemoteLife
	})
	return changed
}

func (s *State) silent(now time.Time, h *host) bool {
	return h.heard.IsZero() || now.Sub(h.heard) > missedBeats*s.interval(h.Zone)+shortBeat
}

// View returns the fleet as it is now.
func (s *State) View(now time.Time) (v *View) {
	v = &View{
		Targets:   make(map[mesh.ServiceName][]mesh.Endpoint),
		Peers:     make(map[netip.AddrPort]mesh.Host, len(s.hosts)),
		FleetSize: s.KnownHosts(),
	}
	v.add(s.self, s.out)
	var silent []mesh.Host
	for _, h := range s.hosts {
		if s.silent(now, h) {
			silent = append(silent, h.Host)
			continue
		}
		v.Peers[h.Addr] = h.Host
		v.FleetSize = max(v.FleetSize, h.known)
		v.add(h.Host, s.out)
	}
	v.addSilent(silent, s.out)
	return v
}

func (v *View) add(h mesh.Host, out map[mesh.ZoneName]bool) {
	if h.State == mesh.HostDraining || h.State == mesh.HostLeft || out[h.Zone] {
		return
	}
	for _, t := range h.Targets {
		if t.Draining {
			continue
		}
		v.Targets[t.Service] = append(v.Targets[t.Service], mesh.Endpoint{Host: h.Addr, Zone: h.Zone, Target: t})
	}
}

// addSilent adds the targets of silent hosts whose service has no others.
func (v *View) addSilent(silent []mesh.Host, out map[mesh.ZoneName]bool) {
	rest := &View{Targets: make(map[mesh.ServiceName][]mesh.Endpoint)}
	for _, h := range silent {
		rest.add(h, out)
	}
	for service, endpoints := range rest.Targets {
		if len(v.Targets[service]) == 0 {
			v.Targets[service] = endpoints
		}
	}
}
