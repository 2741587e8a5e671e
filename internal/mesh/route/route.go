// Package route chooses the target of a call.
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
	// probeOneIn is one in how many calls of a refused class goes through all
	// the same, and probeInterval after which time one does in any case, so
	// that the end of an overload is noticed.
	probeOneIn    = 32
	probeInterval = 200 * time.Millisecond

	// spillLoad is the load from which on calls leave their zone, and
	// spillMargin by how much less the other target must be loaded, both in
	// thousandths of the limit. A target slows down when it is nearly full.
	spillLoad   = 900
	spillMargin = 300

	// maxDraws is how often a draw of a target is repeated that lands on
	// one whose share still grows.
	maxDraws = 8
)

// TwoChoices takes the less loaded of two random targets, from the caller's own
// zone as long as that has any which accepts the call. It refuses calls of
// classes that no target accepts.
type TwoChoices struct {
	random *rand.Rand
	links  *links

	// lastProbe is when a call of a refused class last went through.
	lastProbe map[routeKey]time.Time
}

type routeKey struct {
	service mesh.ServiceName
	name    string
}

// NewTwoChoices returns a picker that draws from random. It is not safe for use
// by several goroutines.
func NewTwoChoices(random *rand.Rand) (p *TwoChoices) {
	return &TwoChoices{random: random, links: newLinks(), lastProbe: make(map[routeKey]time.Time)}
}

// candidate is an endpoint that may be chosen.
type candidate struct {
	mesh.Endpoint
	state *linkState
}

// candidates are the endpoints of one pick.
type candidates struct {
	// local and remote accept the call, in the caller's zone and in others.
	local, remote []candidate

	// refusing do not accept the class of the call.
	refusing []candidate

	// tried may only be used when nothing else is left.
	tried []candidate

	// dueProbe is a failed link that waits for a probe.
	dueProbe *candidate

	// failed are links that could not be reached of late and may be probed for
	// want of another one, and after is when the next of them may be; zero when
	// none may soon.
	failed []candidate
	retryAfter  time.Duration

	// level is the least important class that any target accepts.
	level mesh.Class
}

// Pick implements mesh.Picker.
func (p *TwoChoices) Pick(now time.Time, call *mesh.Call, from mesh.ZoneName, endpoints []mesh.Endpoint, tried []netip.AddrPort) (chosen mesh.Endpoint, refusal *mesh.Refusal) {
	c := p.classify(now, call, from, endpoints, tried)
	switch {
	case c.dueProbe != nil:
		c.dueProbe.state.probeSentAt = now
		return c.dueProbe.Endpoint, nil
	case len(c.local)+len(c.remote) > 0:
		return p.spill(now, c, p.lessLoaded(now, p.chooseZone(now, c))).Endpoint, nil
	case len(c.refusing) > 0:
		return p.probe(now, call, c)
	case len(c.tried) > 0:
		return p.lessLoaded(now, c.tried).Endpoint, nil
	case len(c.failed) > 0:
		probe := p.lessLoaded(now, c.failed)
		probe.state.probeSentAt = now
		return probe.Endpoint, nil
	default:
		refusal = mesh.NotRun(header.NoTarget, "no target of service %q takes work now", call.TargetService())
		refusal.RetryAfter = c.retryAfter
		return mesh.Endpoint{}, refusal
	}
}

// classify finds out which endpoints may be chosen.
func (p *TwoChoices) classify(now time.Time, call *mesh.Call, from mesh.ZoneName, endpoints []mesh.Endpoint, tried []netip.AddrPort) (c candidates) {
	p.links.evictIdle(now)
	service := call.TargetService()
	previous := p.links.lastPick[service]
	p.links.lastPick[service] = now
	for _, e := range endpoints {
		s := p.links.observe(now, previous, e)
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

// addFailed adds a failed link that no call of the usual kind may probe now.
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

// chooseZone returns the targets of the own zone or those of the others. A zone that
// returned takes over from the others as its share grows.
func (p *TwoChoices) chooseZone(now time.Time, c candidates) (side []candidate) {
	switch {
	case len(c.local) == 0:
		return c.remote
	case len(c.remote) == 0:
		return c.local
	}
	localWeight, remoteWeight := highestWeight(now, c.local), highestWeight(now, c.remote)
	if p.random.Float64()*remoteWeight < localWeight {
		return c.local
	}
	return c.remote
}

func highestWeight(now time.Time, side []candidate) (part float64) {
	for _, e := range side {
		part = max(part, e.state.weight(now))
	}
	return part
}

// spill returns a target of another zone in place of a busy one of the own zone
// when that has clearly more room.
func (p *TwoChoices) spill(now time.Time, c candidates, chosen candidate) (better candidate) {
	if len(c.remote) == 0 || chosen.state.load(now) < spillLoad {
		return chosen
	}
	if other := p.lessLoaded(now, c.remote); other.state.load(now)+spillMargin < chosen.state.load(now) {
		return other
	}
	return chosen
}

// lessLoaded returns the less loaded of two draws.
func (p *TwoChoices) lessLoaded(now time.Time, group []candidate) (chosen candidate) {
	highest := highestWeight(now, group)
	a, b := p.draw(now, group, highest), p.draw(now, group, highest)
	if b.state.load(now) < a.state.load(now) {
		return b
	}
	return a
}

// draw returns a random target, each with a chance in proportion to how far
// its share has grown.
func (p *TwoChoices) draw(now time.Time, group []candidate, highest float64) (e candidate) {
	for range maxDraws {
		e = group[p.random.IntN(len(group))]
		if p.random.Float64()*highest < e.state.weight(now) {
			break
		}
	}
	return e
}

// probe lets a few calls of a refused class through and refuses the others.
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
}
