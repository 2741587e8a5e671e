// Package route selects the target of a call (load balancing).
package route

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// probeOneIn is the inverse of the fraction of calls of a refused class that are
	// sent as probes. At least one per probeInterval is sent, so that the end of an
	// overload is detected.
	probeOneIn    = 32
	probeInterval = 200 * time.Millisecond

	// spillLoad is the load from which on calls may leave their zone, and
	// spillMargin by how much the load of the other target must be lower, both in
	// thousandths of the limit. The latency of a target rises when it is nearly
	// full.
	spillLoad   = 900
	spillMargin = 300

	// maxDraws is the maximum number of draws of a target; a draw is repeated when
	// the slow-start weight of the target rejects it.
	maxDraws = 8
)

// TwoChoices picks the less loaded of two random targets (power of two choices),
// in the caller's zone as long as a target there accepts the call. It refuses
// calls of classes that no target accepts.
type TwoChoices struct {
	random *rand.Rand
	links  *links

	// lastProbe is when a call of a refused class was last sent as a probe.
	lastProbe map[routeKey]time.Time

	// rooms is nil unless the picker uses the rooms of targets.
	rooms *rooms
}

// Option is an option of NewTwoChoices.
type Option func(*TwoChoices)

// WithRooms makes the picker weigh targets by how much they take and how fast they are, as their
// nodes report, and compare zones by the load of all of their targets.
func WithRooms() Option { return func(p *TwoChoices) { p.rooms = newRooms() } }

type routeKey struct {
	service mesh.ServiceName
	name    string
}

// NewTwoChoices returns a picker that uses random as its random source. It is not
// safe for concurrent use.
func NewTwoChoices(random *rand.Rand, options ...Option) (p *TwoChoices) {
	p = &TwoChoices{random: random, links: newLinks(), lastProbe: make(map[routeKey]time.Time)}
	for _, o := range options {
		o(p)
	}
	return p
}

// candidate is an endpoint that may be picked.
type candidate struct {
	mesh.Endpoint
	state *linkState

	// load is set only when the picker uses rooms.
	load load
}

// candidates groups the endpoints of one pick.
type candidates struct {
	// local and remote accept the call, in the caller's zone and in other zones.
	local, remote []candidate

	// refusing do not accept the class of the call.
	refusing []candidate

	// tried may only be picked when no other endpoint is left.
	tried []candidate

	// dueProbe is a failed link that is due for a probe.
	dueProbe *candidate

	// failed are links without a working connection that may be probed when no other
	// target is available. retryAfter is the time until the next of them may be;
	// zero when none may soon.
	failed     []candidate
	retryAfter time.Duration

	// level is the least important class that any target accepts.
	level mesh.Class
}

// Pick implements mesh.Picker.
func (p *TwoChoices) Pick(now time.Time, call *mesh.Call, from mesh.ZoneName, endpoints []mesh.Endpoint, tried []netip.AddrPort) (chosen mesh.Endpoint, refusal *mesh.Refusal) {
	c := p.classify(now, call, from, endpoints, tried)
	if p.rooms != nil {
		if len(c.local)+len(c.remote) > 0 {
			p.rooms.estimateAll(now, c.local, c.remote)
		} else {
			p.rooms.estimateAll(now, c.refusing, c.tried, c.failed)
		}
		defer func() { p.rooms.sent(now, chosen.Host) }()
	}
	switch {
	case c.dueProbe != nil:
		c.dueProbe.state.probeSentAt = now
		return c.dueProbe.Endpoint, nil
	case len(c.local)+len(c.remote) > 0:
		return p.spill(now, c, p.lessLoaded(now, p.chooseZone(now, call, c))).Endpoint, nil
	case len(c.refusing) > 0:
		return p.probe(now, call, c)
	case len(c.tried) > 0:
		return p.lessLoaded(now, c.tried).Endpoint, nil
	case len(c.failed) > 0:
		probe := p.lessLoaded(now, c.failed)
		probe.state.probeSentAt = now
		return probe.Endpoint, nil
	default:
		refusal = mesh.NotRun(header.NoTarget, "no target of service %q accepts requests now", call.TargetService())
		refusal.RetryAfter = c.retryAfter
		return mesh.Endpoint{}, refusal
	}
}

// classify groups the endpoints by whether they may be picked.
func (p *TwoChoices) classify(now time.Time, call *mesh.Call, from mesh.ZoneName, endpoints []mesh.Endpoint, tried []netip.AddrPort) (c candidates) {
	if p.links.evictIdle(now) && p.rooms != nil {
		p.rooms.evict(now)
	}
	service := call.TargetService()
	previous := p.links.lastPick[service]
	p.links.lastPick[service] = now
	for _, e := range endpoints {
		s := p.links.observe(now, previous, e)
		if !call.Choice.Allows(e.Target.Version) {
			continue
		}
		c.add(now, call, from, candidate{Endpoint: e, state: s}, slices.Contains(tried, e.Host))
	}
	return c
}

func (c *candidates) add(now time.Time, call *mesh.Call, from mesh.ZoneName, e candidate, tried bool) {
	usable, probe := e.state.usable(now, call)
	if !usable {
		c.addFailed(now, e, tried)
		return
	}
	level := e.state.level(now, call.Route.Name)
	c.level = max(c.level, level)
	switch {
	case probe && !tried:
		c.dueProbe = &e
	case probe:
	case tried:
		c.tried = append(c.tried, e)
	case call.Class > level:
		c.refusing = append(c.refusing, e)
	case e.Zone == from:
		c.local = append(c.local, e)
	default:
		c.remote = append(c.remote, e)
	}
}

// addFailed adds a failed link that regular calls may not probe now.
func (c *candidates) addFailed(now time.Time, e candidate, tried bool) {
	if tried {
		return
	}
	switch allowed, after := e.state.lastResort(now); {
	case allowed:
		c.failed = append(c.failed, e)
	case after > 0 && (c.retryAfter == 0 || after < c.retryAfter):
		c.retryAfter = after
	}
}

// chooseZone returns the targets of the caller's zone or those of other zones. A
// zone that returned takes over calls from the others during its slow start.
func (p *TwoChoices) chooseZone(now time.Time, call *mesh.Call, c candidates) (group []candidate) {
	switch {
	case len(c.local) == 0:
		return c.remote
	case len(c.remote) == 0:
		return c.local
	}
	localWeight, remoteWeight := highestWeight(now, c.local), highestWeight(now, c.remote)
	if p.rooms != nil {
		// Targets that have just returned have idle slots, but take over calls only slowly.
		share := p.rooms.share(now, call, c) * min(1, remoteWeight/localWeight)
		if p.random.Float64() < share {
			return c.remote
		}
	}
	if p.random.Float64()*remoteWeight < localWeight {
		return c.local
	}
	return c.remote
}

func highestWeight(now time.Time, group []candidate) (highest float64) {
	for _, e := range group {
		highest = max(highest, e.state.weight(now))
	}
	return highest
}

// spill returns a target of another zone instead of a busy one of the caller's
// zone when its load is clearly lower.
func (p *TwoChoices) spill(now time.Time, c candidates, chosen candidate) (better candidate) {
	if len(c.remote) == 0 || p.loadOf(now, chosen) < spillLoad {
		return chosen
	}
	if other := p.lessLoaded(now, c.remote); p.loadOf(now, other)+spillMargin < p.loadOf(now, chosen) {
		return other
	}
	return chosen
}

// lessLoaded returns the less loaded of two random targets.
func (p *TwoChoices) lessLoaded(now time.Time, group []candidate) (chosen candidate) {
	if p.rooms != nil {
		return p.quicker(now, group)
	}
	highest := highestWeight(now, group)
	a, b := p.draw(now, group, highest), p.draw(now, group, highest)
	if b.state.load(now) < a.state.load(now) {
		return b
	}
	return a
}

// loadOf returns the load of a target in thousandths.
func (p *TwoChoices) loadOf(now time.Time, c candidate) (load int) {
	if p.rooms == nil {
		return c.state.load(now)
	}
	return int(1000 * c.load.used / c.load.limit)
}

// quicker returns the one of two random targets that is expected to answer first. Targets are
// drawn with a probability proportional to what they can finish and to their slow-start weight.
func (p *TwoChoices) quicker(now time.Time, group []candidate) (chosen candidate) {
	var total float64
	for _, c := range group {
		total += c.state.weight(now) * c.load.rate()
	}
	draw := func() (c candidate) {
		at := p.random.Float64() * total
		for _, c = range group {
			if at -= c.state.weight(now) * c.load.rate(); at < 0 {
				break
			}
		}
		return c
	}
	a, b := draw(), draw()
	if b.load.wait() < a.load.wait() {
		return b
	}
	return a
}

// draw returns a random target, each with a probability proportional to its
// slow-start weight.
func (p *TwoChoices) draw(now time.Time, group []candidate, highest float64) (e candidate) {
	for range maxDraws {
		e = group[p.random.IntN(len(group))]
		if p.random.Float64()*highest < e.state.weight(now) {
			break
		}
	}
	return e
}

// probe sends a few calls of a refused class as probes and refuses the others.
func (p *TwoChoices) probe(now time.Time, call *mesh.Call, c candidates) (chosen mesh.Endpoint, refusal *mesh.Refusal) {
	key := routeKey{service: call.TargetService(), name: call.Route.Name}
	if now.Sub(p.lastProbe[key]) >= probeInterval || p.random.IntN(probeOneIn) == 0 {
		p.lastProbe[key] = now
		return p.lessLoaded(now, c.refusing).Endpoint, nil
	}
	refusal = mesh.NotRun(header.Overloaded, "service %q accepts no requests of class %v now", call.TargetService(), call.Class)
	refusal.Level = c.level
	refusal.RetryAfter = levelTTL + time.Duration(p.random.Int64N(int64(levelTTL)))
	return chosen, refusal
}

// Report implements mesh.Picker.
func (p *TwoChoices) Report(now time.Time, r mesh.LinkReport) {
	if s, found := p.links.states[keyOf(r.To)]; found {
		s.record(now, r)
	}
	if p.rooms != nil {
		p.reportRoom(now, r)
	}
}

// reportRoom records what the result of a call says about the room of its target.
func (p *TwoChoices) reportRoom(now time.Time, r mesh.LinkReport) {
	switch {
	case r.Room != nil:
		room := *r.Room
		room.Host, room.Target, room.At = r.To.Host, r.To.Target.Name, now
		p.rooms.observe(now, room)
	case r.Refusal != nil && (r.Refusal.Code == header.Overloaded || r.Refusal.Code == header.NodeBusy):
		p.rooms.full(now, r.To.Host)
	}
}

// Rooms implements mesh.RoomObserver.
func (p *TwoChoices) Rooms() (known []mesh.Room, shares map[mesh.ServiceName]float64) {
	if p.rooms == nil {
		return nil, nil
	}
	for _, k := range p.rooms.known {
		known = append(known, k.Room)
	}
	shares = make(map[mesh.ServiceName]float64, len(p.rooms.shifts))
	for service, s := range p.rooms.shifts {
		shares[service] = s.share
	}
	return known, shares
}

// ObserveRoom implements mesh.RoomObserver.
func (p *TwoChoices) ObserveRoom(now time.Time, r mesh.Room) {
	if p.rooms != nil {
		p.rooms.observe(now, r)
	}
}
