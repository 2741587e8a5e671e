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
	// probeShare is one in how many calls of a refused class goes through all
	// the same, and probeInterval after which time one does in any case, so
	// that the end of an overload is noticed.
	probeShare    = 32
	probeInterval = 200 * time.Millisecond

	// spillLoad is the load from which on calls leave their zone, and
	// spillMargin by how much less the other target must be loaded, both in
	// thousandths of the limit. A target slows down when it is nearly full.
	spillLoad   = 900
	spillMargin = 300

	// growthDraws is how often a draw of a target is repeated that lands on
	// one whose share still grows.
	growthDraws = 8
)

// TwoChoices takes the less loaded of two random targets, from the caller's own
// zone as long as that has any which accepts the call. It refuses calls of
// classes that no target accepts.
type TwoChoices struct {
	random *rand.Rand
	links  *links

	// probed is when a call of a refused class last went through.
	probed map[routeKey]time.Time
}

type routeKey struct {
	service mesh.ServiceName
	name    string
}

// NewTwoChoices returns a picker that draws from random. It is not safe for use
// by several goroutines.
func NewTwoChoices(random *rand.Rand) (p *TwoChoices) {
	return &TwoChoices{random: random, links: newLinks(), probed: make(map[routeKey]time.Time)}
}

// candidate is an endpoint that may be chosen.
type candidate struct {
	mesh.Endpoint
	state *state
}

// candidates are the endpoints of one pick.
type candidates struct {
	// near and far accept the call, in the caller's zone and in others.
	near, far []candidate

	// refusing do not accept the class of the call.
	refusing []candidate

	// tried may only be used when nothing else is left.
	tried []candidate

	// due is a failed link that waits for a probe.
	due *candidate

	// failed are links that could not be reached of late and may be probed for
	// want of another one, and after is when the next of them may be; zero when
	// none may soon.
	failed []candidate
	after  time.Duration

	// level is the least important class that any target accepts.
	level mesh.Class
}

// Pick implements mesh.Picker.
func (p *TwoChoices) Pick(now time.Time, call *mesh.Call, from mesh.ZoneName, endpoints []mesh.Endpoint, tried []netip.AddrPort) (chosen mesh.Endpoint, refusal *mesh.Refusal) {
	c := p.sort(now, call, from, endpoints, tried)
	switch {
	case c.due != nil:
		c.due.state.probeAt = now
		return c.due.Endpoint, nil
	case len(c.near)+len(c.far) > 0:
		return p.spill(now, c, p.lessLoaded(now, p.side(now, c))).Endpoint, nil
	case len(c.refusing) > 0:
		return p.probe(now, call, c)
	case len(c.tried) > 0:
		return p.lessLoaded(now, c.tried).Endpoint, nil
	case len(c.failed) > 0:
		probe := p.lessLoaded(now, c.failed)
		probe.state.probeAt = now
		return probe.Endpoint, nil
	default:
		refusal = mesh.NotRun(header.NoTarget, "no target of service %q takes work now", call.TargetService())
		refusal.RetryAfter = c.after
		return mesh.Endpoint{}, refusal
	}
}

// sort finds out which endpoints may be chosen.
func (p *TwoChoices) sort(now time.Time, call *mesh.Call, from mesh.ZoneName, endpoints []mesh.Endpoint, tried []netip.AddrPort) (c candidates) {
	p.links.forget(now)
	service := call.TargetService()
	before := p.links.picked[service]
	p.links.picked[service] = now
	for _, e := range endpoints {
		s := p.links.meet(now, before, e)
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
		c.due = &e
	case probe:
	case tried:
		c.tried = append(c.tried, e)
	case call.Class > level:
		c.refusing = append(c.refusing, e)
	case e.Zone == from:
		c.near = append(c.near, e)
	default:
		c.far = append(c.far, e)
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
	case after > 0 && (c.after == 0 || after < c.after):
		c.after = after
	}
}

// side returns the targets of the own zone or those of the others. A zone that
// returned takes over from the others as its share grows.
func (p *TwoChoices) side(now time.Time, c candidates) (side []candidate) {
	switch {
	case len(c.near) == 0:
		return c.far
	case len(c.far) == 0:
		return c.near
	}
	near, far := mostGrown(now, c.near), mostGrown(now, c.far)
	if p.random.Float64()*far < near {
		return c.near
	}
	return c.far
}

func mostGrown(now time.Time, side []candidate) (part float64) {
	for _, e := range side {
		part = max(part, e.state.growth(now))
	}
	return part
}

// spill returns a target of another zone in place of a busy one of the own zone
// when that has clearly more room.
func (p *TwoChoices) spill(now time.Time, c candidates, chosen candidate) (better candidate) {
	if len(c.far) == 0 || chosen.state.load(now) < spillLoad {
		return chosen
	}
	if other := p.lessLoaded(now, c.far); other.state.load(now)+spillMargin < chosen.state.load(now) {
		return other
	}
	return chosen
}

// lessLoaded returns the less loaded of two draws.
func (p *TwoChoices) lessLoaded(now time.Time, side []candidate) (chosen candidate) {
	most := mostGrown(now, side)
	a, b := p.draw(now, side, most), p.draw(now, side, most)
	if b.state.load(now) < a.state.load(now) {
		return b
	}
	return a
}

// draw returns a random target, each with a chance in proportion to how far
// its share has grown.
func (p *TwoChoices) draw(now time.Time, side []candidate, most float64) (e candidate) {
	for range growthDraws {
		e = side[p.random.IntN(len(side))]
		if p.random.Float64()*most < e.state.growth(now) {
			break
		}
	}
	return e
}

// probe lets a few calls of a refused class through and refuses the others.
func (p *TwoChoices) probe(now time.Time, call *mesh.Call, c candidates) (chosen mesh.Endpoint, refusal *mesh.Refusal) {
	key := routeKey{service: call.TargetService(), name: call.Route.Name}
	if now.Sub(p.probed[key]) >= probeInterval || p.random.IntN(probeShare) == 0 {
		p.probed[key] = now
		return p.lessLoaded(now, c.refusing).Endpoint, nil
	}
	refusal = mesh.NotRun(header.Overloaded, "service %q accepts no requests of class %v now", call.TargetService(), call.Class)
	refusal.Level = c.level
	refusal.RetryAfter = levelLife + time.Duration(p.random.Int64N(int64(levelLife)))
	return chosen, refusal
}

// Report implements mesh.Picker.
func (p *TwoChoices) Report(now time.Time, r mesh.LinkReport) {
	if s, found := p.links.states[keyOf(r.To)]; found {
		s.report(now, r)
	}
}
