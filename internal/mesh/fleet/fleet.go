// Package fleet tracks the membership of the fleet: which hosts are alive and which targets
// accept requests. It works on the heartbeats of the hosts and the reports of the local
// targets.
package fleet

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rank"
)

const (
	// minInterval is the heartbeat interval of a host in a small fleet. With it, three lost
	// heartbeats reveal a dead host before a request with a timeout of 1 s expires.
	minInterval = 300 * time.Millisecond

	// crossZoneFactor multiplies the heartbeat interval to other zones, because traffic
	// between zones is expensive.
	crossZoneFactor = 5.0 / 3

	// intervalPerHost lengthens the heartbeat interval of a large fleet, because each host
	// sends heartbeats to all others: it limits a host to 200 heartbeats per second in each
	// direction, less than a hundredth of a core.
	intervalPerHost = 5 * time.Millisecond

	// maxMissed is the number of heartbeats that a host may miss before it counts as silent.
	// Links lose a few packets in a hundred, rarely three in a row.
	maxMissed = 3

	// silentInterval is the heartbeat interval to a silent host. These heartbeats cost
	// little and find the host again when it returns.
	silentInterval = 2 * time.Second

	// relayMinHosts is the number of hosts from which on a zone relays the heartbeats of
	// other zones among its own hosts, and relayFanout the number of its hosts that receive
	// each heartbeat directly. Traffic between zones is expensive, and two lost datagrams in
	// a row are rare.
	relayMinHosts = 8
	relayFanout   = 2

	// hostRetention is how long the entry of a silent host is kept. Its demand is reserved
	// for that time, in case it is running on the other side of a network partition.
	hostRetention = 10 * time.Minute

	// listedTime is how long a listed host that has sent no heartbeat yet is expected to run. All
	// hosts send several heartbeats in that time.
	listedTime = 2 * time.Second

	// storeFollowers is the number of hosts of a zone that follow the platform's store for the
	// others, which hear from them. In a zone of up to followAllHosts hosts, all follow it: that
	// costs few calls, and the store may turn several hosts away at the same time.
	storeFollowers = 3
	followAllHosts = 8

	// reportTimeout is the time without a report after which a target receives no more
	// requests. Targets report about every 1.5 s, and reports may be seconds late.
	reportTimeout = 8 * time.Second

	// lateReportTime is how late a report may arrive. For that time after a failed health check,
	// reports that a target is ready are taken for late ones.
	lateReportTime = 5 * time.Second

	// reportRetention is how long the last report of a target is kept to detect late ones. A
	// report is delayed by seconds at most.
	reportRetention = 10 * time.Minute
)

// State is the membership state of the fleet as one node knows it. It is not safe for
// concurrent use; one duty owns it.
type State struct {
	self  mesh.Host
	hosts map[netip.AddrPort]*host

	// fleetSize is that of the last view.
	fleetSize int

	// zonesOut holds the zones that operators have taken out of service.
	zonesOut map[mesh.ZoneName]bool

	// relays holds the relay state of each zone that relays heartbeats.
	relays map[mesh.ZoneName]*relay

	// reports holds the last report of each local target, by name.
	reports map[string]lastReport

	// unhealthy holds the time of the failed health check of a local target, by name.
	unhealthy map[string]time.Time
}

// relay is the sender state for a zone that relays heartbeats.
type relay struct {
	lastSent time.Time

	// next is the index of the next relay host in the zone. It advances with each heartbeat,
	// so that a dead relay host costs only a few of them.
	next uint64
}

// lastReport is the position of a target's last report in the order of its reports. The
// incarnation takes precedence over the sequence.
type lastReport struct {
	// incarnation is that of the report, or 0 while the target is known only by its health check.
	// When a target stops before its first report, it is the time of the stop, an upper bound.
	incarnation mesh.Incarnation
	sequence    uint64
	at          time.Time

	// stopped is true once this incarnation has reported that it shuts down.
	stopped bool
}

// host is the membership entry of another host.
type host struct {
	mesh.Host

	// listed is when the host was found in the host list; zero when a heartbeat came first.
	listed time.Time

	// lastHeartbeat is the arrival time of the last heartbeat; zero when there was none.
	lastHeartbeat time.Time

	// lastSent is when this node last sent a heartbeat to the host.
	lastSent time.Time

	// knownHosts is the number of hosts that the host knows.
	knownHosts int
}

// View is an immutable snapshot of the fleet.
type View struct {
	// Targets holds the targets that accept requests, by service. A service whose hosts are
	// all silent keeps its targets, since an attempt is better than a refusal.
	Targets map[mesh.ServiceName][]mesh.Endpoint

	// Self is this host.
	Self mesh.Host

	// Peers holds the other hosts that are not silent, by address.
	Peers map[netip.AddrPort]mesh.Host

	// FleetSize is the number of hosts, this one included, silent or not. A node that has
	// just started learns it from the heartbeats of the others.
	FleetSize int

	// RecentHosts is the number of hosts that were heard in the last minutes and did not leave, this
	// one included, silent now or not.
	RecentHosts int

	// Candidates holds the hosts of this host's zone that can hold contracts, sorted, this one
	// included unless it is leaving.
	Candidates []netip.AddrPort

	// ZoneSizes holds the number of known hosts of each zone, silent or not.
	ZoneSizes map[mesh.ZoneName]int

	// FollowsStore is true when this host watches the platform's store for changes.
	FollowsStore bool

	// LeadsFollowers is true on the one follower of the zone that makes sure that its connection to
	// the store works.
	LeadsFollowers bool

	// HeartbeatInterval is the interval of the heartbeats to other zones, the longest one.
	HeartbeatInterval time.Duration
}

// New returns the state of a node that knows only its own host.
func New(self mesh.Host) (s *State) {
	return &State{self: self, hosts: make(map[netip.AddrPort]*host), zonesOut: make(map[mesh.ZoneName]bool), relays: make(map[mesh.ZoneName]*relay), reports: make(map[string]lastReport), unhealthy: make(map[string]time.Time)}
}

// Self returns this node's own host, as sent in its heartbeats.
func (s *State) Self() (self mesh.Host) { return s.self }

// interval returns the heartbeat interval to a host of the zone.
func (s *State) interval(to mesh.ZoneName) (d time.Duration) {
	d = max(minInterval, time.Duration(len(s.hosts))*intervalPerHost)
	if to != s.self.Zone {
		d = time.Duration(crossZoneFactor * float64(d))
	}
	return d
}

// AddHost adds a host from the host list. It reports whether the host is new.
func (s *State) AddHost(now time.Time, h mesh.Host) (added bool) {
	if h.Addr == s.self.Addr || s.hosts[h.Addr] != nil {
		return false
	}
	s.hosts[h.Addr] = &host{Host: mesh.Host{Addr: h.Addr, Zone: h.Zone, State: mesh.HostSuspect}, listed: now}
	return true
}

// ApplyHeartbeat records the heartbeat of another host, which knows knownHosts hosts.
// Heartbeats can arrive out of order, so one that is older than the last is dropped. It
// reports whether the view may have changed.
func (s *State) ApplyHeartbeat(now time.Time, h mesh.Host, knownHosts int) (changed bool) {
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
	// The size of the fleet is the largest number of known hosts. While a fleet starts, each host
	// tells a larger one in most heartbeats, and few are the largest.
	resized := knownHosts > s.fleetSize || knownHosts < last.knownHosts && last.knownHosts == s.fleetSize
	changed = resized || s.silent(now, last) || h.Incarnation != last.Incarnation || h.Revision != last.Revision
	last.Host, last.lastHeartbeat, last.knownHosts = h, now, knownHosts
	return changed
}

// ApplyReport records the report of a local target. Reports can arrive late: it rejects
// those of an earlier incarnation, those older than the last one, and those of a stopped
// target.
func (s *State) ApplyReport(now time.Time, a mesh.Announcement) (accepted, changed bool) {
	t := a.Target
	last, known := s.reports[t.Name]
	switch {
	case known && t.Incarnation < last.incarnation, s.replaced(t):
		return false, false
	case !t.Draining && now.Sub(s.unhealthy[t.Name]) < lateReportTime:
		return false, false
	case known && t.Incarnation == last.incarnation && (last.stopped || a.Sequence < last.sequence):
		return false, false
	}
	s.reports[t.Name] = lastReport{incarnation: t.Incarnation, sequence: a.Sequence, at: now}
	if checked := s.Target(t.Addr); checked.Name == t.Name && last.incarnation == 0 && last.sequence == 0 && t.ColdUntil.Before(checked.ColdUntil) {
		// The first report after the health check may be a late one of an earlier start.
		t.ColdUntil = checked.ColdUntil
	}
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

// Target returns the local target at the address, or the zero value when there is none.
func (s *State) Target(addr netip.AddrPort) (t mesh.Target) {
	if i := slices.IndexFunc(s.self.Targets, func(known mesh.Target) bool { return known.Addr == addr }); i >= 0 {
		return s.self.Targets[i]
	}
	return t
}

// replaced reports whether a target that started later now uses the address.
func (s *State) replaced(t mesh.Target) bool {
	return slices.ContainsFunc(s.self.Targets, func(known mesh.Target) bool {
		return known.Addr == t.Addr && known.Name != t.Name && t.Incarnation < known.Incarnation
	})
}

// RemoveTarget removes a local target that has reported that it shuts down. Its earlier
// reports may still arrive and are rejected from now on.
func (s *State) RemoveTarget(now time.Time, name string) (removed bool) {
	last := s.reports[name]
	if last.incarnation == 0 {
		// A node that has just started knows the target by its health check at most, which does
		// not tell its incarnation. The target runs on this host, so both use the same clock.
		last.incarnation = mesh.NewIncarnation(now)
	}
	last.stopped, last.at = true, now
	s.reports[name] = last
	return s.deleteTarget(name)
}

// MarkUnhealthy records that the health check of a local target has failed and removes the target.
// A node that has just started does not know that the target had reported that it leaves.
func (s *State) MarkUnhealthy(now time.Time, name string) (removed bool) {
	s.unhealthy[name] = now
	return s.deleteTarget(name)
}

func (s *State) deleteTarget(name string) (removed bool) {
	before := len(s.self.Targets)
	s.self.Targets = slices.DeleteFunc(slices.Clone(s.self.Targets), func(t mesh.Target) bool { return t.Name == name })
	if len(s.self.Targets) == before {
		return false
	}
	s.self.Revision++
	return true
}

// ExpireTargets removes the local targets without a recent report and returns their names.
// The last report of a target is kept longer, so that a late one is recognized.
func (s *State) ExpireTargets(now time.Time) (names []string) {
	maps.DeleteFunc(s.unhealthy, func(_ string, at time.Time) bool { return now.Sub(at) > lateReportTime })
	for name, r := range s.reports {
		if !r.stopped && now.Sub(r.at) > reportTimeout && s.deleteTarget(name) {
			names = append(names, name)
		}
		if now.Sub(r.at) > reportRetention {
			delete(s.reports, name)
		}
	}
	return names
}

// KnownHosts returns the number of hosts that this node knows from heartbeats and the host
// list, itself included.
func (s *State) KnownHosts() (hosts int) { return len(s.hosts) + 1 }

// Drain marks this host as draining, so that other hosts send it no new requests.
func (s *State) Drain() {
	s.self.State = mesh.HostDraining
	s.self.Revision++
}

// SetZonesOut sets the zones that operators have taken out of service.
func (s *State) SetZonesOut(zones []mesh.ZoneName) {
	clear(s.zonesOut)
	for _, z := range zones {
		s.zonesOut[z] = true
	}
}

// DueHeartbeats returns the hosts to which a heartbeat is due and records it as sent. The
// hosts in relays forward it to the hosts of their zone. With urgent, a heartbeat is due to
// all hosts; that is used after a change that stops new requests.
func (s *State) DueHeartbeats(now time.Time, urgent bool) (direct, relays []netip.AddrPort) {
	relayed := s.relayedZones(now)
	for addr, h := range s.hosts {
		wait := s.interval(h.Zone)
		switch {
		case s.silent(now, h):
			wait = silentInterval
		case relayed[h.Zone] != nil && !urgent:
			continue
		}
		if urgent || due(now, h.lastSent, wait) {
			h.lastSent = now
			direct = append(direct, addr)
		}
	}
	if urgent {
		return direct, nil
	}
	for zone, addrs := range relayed {
		relays = append(relays, s.relayHosts(now, zone, addrs)...)
	}
	return direct, relays
}

// due reports whether the interval wait has passed since last. The tolerance of a tenth
// keeps heartbeats aligned, which saves wake-ups.
func due(now, last time.Time, wait time.Duration) bool { return now.Sub(last) >= wait-wait/10 }

// relayedZones returns the hosts of each other zone that relays heartbeats.
func (s *State) relayedZones(now time.Time) (zones map[mesh.ZoneName][]netip.AddrPort) {
	zones = make(map[mesh.ZoneName][]netip.AddrPort)
	for addr, h := range s.hosts {
		if h.Zone != s.self.Zone && !s.silent(now, h) {
			zones[h.Zone] = append(zones[h.Zone], addr)
		}
	}
	maps.DeleteFunc(zones, func(_ mesh.ZoneName, addrs []netip.AddrPort) bool { return len(addrs) < relayMinHosts })
	return zones
}

// relayHosts returns the hosts of a relaying zone that receive the next heartbeat, if it is
// due.
func (s *State) relayHosts(now time.Time, zone mesh.ZoneName, addrs []netip.AddrPort) (chosen []netip.AddrPort) {
	r := s.relays[zone]
	if r == nil {
		// Hosts start at different times, so they begin with different relay hosts.
		r = &relay{next: uint64(s.self.Incarnation)}
		s.relays[zone] = r
	}
	if !due(now, r.lastSent, s.interval(zone)) {
		return nil
	}
	r.lastSent = now
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	for range relayFanout {
		chosen = append(chosen, addrs[r.next%uint64(len(addrs))])
		r.next++
	}
	return chosen
}

// ZonePeers returns the other hosts of this host's zone that are not silent. This host
// relays the heartbeats of other zones to them.
func (s *State) ZonePeers(now time.Time) (addrs []netip.AddrPort) {
	for addr, h := range s.hosts {
		if h.Zone == s.self.Zone && !s.silent(now, h) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// ExpireHosts removes hosts that have been silent for longer than hostRetention and reports
// whether a host became silent between before and now.
func (s *State) ExpireHosts(now, before time.Time) (changed bool) {
	for _, h := range s.hosts {
		changed = changed || !s.silent(before, h) && s.silent(now, h) || s.expected(before, h) && !s.expected(now, h)
	}
	maps.DeleteFunc(s.hosts, func(_ netip.AddrPort, h *host) bool {
		return !h.lastHeartbeat.IsZero() && now.Sub(h.lastHeartbeat) > hostRetention
	})
	return changed
}

func (s *State) silent(now time.Time, h *host) bool {
	return h.lastHeartbeat.IsZero() || now.Sub(h.lastHeartbeat) > maxMissed*s.interval(h.Zone)+minInterval
}

// expected reports whether a host is running as far as this node knows.
func (s *State) expected(now time.Time, h *host) bool {
	return !s.silent(now, h) || h.lastHeartbeat.IsZero() && now.Sub(h.listed) <= listedTime
}

// addZones adds what the placement of contracts depends on.
func (s *State) addZones(now time.Time, v *View) {
	v.ZoneSizes[s.self.Zone]++
	if canHold(s.self) {
		v.Candidates = append(v.Candidates, s.self.Addr)
	}
	for addr, h := range s.hosts {
		v.ZoneSizes[h.Zone]++
		if h.Zone == s.self.Zone && canHold(h.Host) && s.expected(now, h) {
			v.Candidates = append(v.Candidates, addr)
		}
	}
	slices.SortFunc(v.Candidates, netip.AddrPort.Compare)
	followers := rank.Hosts("store", v.Candidates)
	v.FollowsStore = len(followers) <= followAllHosts || slices.Contains(followers[:storeFollowers], s.self.Addr)
	v.LeadsFollowers = len(followers) > 0 && followers[0] == s.self.Addr
	v.HeartbeatInterval = time.Duration(crossZoneFactor * float64(s.interval(s.self.Zone)))
}

// canHold reports whether a host can hold contracts: one that leaves hands its part over while it
// still answers.
func canHold(h mesh.Host) bool { return h.State != mesh.HostDraining && h.State != mesh.HostLeft }

// View returns the current snapshot of the fleet. ApplyHeartbeat compares with the last one.
func (s *State) View(now time.Time) (v *View) {
	v = &View{
		Targets:   make(map[mesh.ServiceName][]mesh.Endpoint),
		Peers:     make(map[netip.AddrPort]mesh.Host, len(s.hosts)),
		Self:      s.self,
		FleetSize: s.KnownHosts(),
		ZoneSizes: make(map[mesh.ZoneName]int),
	}
	s.addZones(now, v)
	v.add(s.self, s.zonesOut)
	v.RecentHosts = 1
	var silent []mesh.Host
	for _, h := range s.hosts {
		if !h.lastHeartbeat.IsZero() && canHold(h.Host) {
			v.RecentHosts++
		}
		if s.silent(now, h) {
			silent = append(silent, h.Host)
			continue
		}
		v.Peers[h.Addr] = h.Host
		v.FleetSize = max(v.FleetSize, h.knownHosts)
		v.add(h.Host, s.zonesOut)
	}
	v.addSilent(silent, s.zonesOut)
	s.fleetSize = v.FleetSize
	return v
}

// Ranked returns the hosts that are neither silent nor leaving in their order for a task. All hosts
// that hear the same hosts return the same order.
func (v *View) Ranked(task string) (ranked []netip.AddrPort) {
	var addrs []netip.AddrPort
	if v.Self.State == mesh.HostAlive {
		addrs = append(addrs, v.Self.Addr)
	}
	for addr, h := range v.Peers {
		if h.State == mesh.HostAlive {
			addrs = append(addrs, addr)
		}
	}
	return rank.Hosts(task, addrs)
}

// Unheard says which part of the fleet is silent, in words: a whole zone or half of the hosts. It
// is empty when single hosts are, which have probably failed. A part that falls silent at once is
// probably cut off.
func (v *View) Unheard() (part string) {
	heard := map[mesh.ZoneName]bool{v.Self.Zone: true}
	for _, h := range v.Peers {
		heard[h.Zone] = true
	}
	for _, zone := range slices.Sorted(maps.Keys(v.ZoneSizes)) {
		if !heard[zone] {
			return fmt.Sprintf("no host of zone %q is heard", zone)
		}
	}
	if alive := len(v.Peers) + 1; 2*alive <= v.RecentHosts {
		return fmt.Sprintf("%d of %d hosts are heard", alive, v.RecentHosts)
	}
	return ""
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

// addSilent adds the targets of silent hosts for services that have no other targets.
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
