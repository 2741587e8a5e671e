package node

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/route"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	routeRing = 4096

	// linkRetry is the wait after the first failure of a link; it doubles
	// with each further one up to maxLinkRetry.
	linkRetry    = 100 * time.Millisecond
	maxLinkRetry = 5 * time.Second
)

// routeDuty owns what this node knows of its links, and chooses targets. Full
// ring: a choice is refused, a result is dropped.
type routeDuty struct {
	picker mesh.Picker
	links  linkTable
	events *ring.Ring
	config *configDuty
	roster *rosterDuty
}

// linkTable implements mesh.Links.
type linkTable map[netip.AddrPort]mesh.Link

// Link implements mesh.Links.
func (t linkTable) Link(to netip.AddrPort) (link mesh.Link) { return t[to] }

func newRouteDuty(vars *expvar.Map, config *configDuty, roster *rosterDuty) (d *routeDuty) {
	return &routeDuty{
		picker: route.NewNearTwo(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		links:  make(linkTable),
		events: ring.New(vars, "route", routeRing),
		config: config,
		roster: roster,
	}
}

// Name implements mesh.Duty.
func (d *routeDuty) Name() string { return "route" }

type pickRequest struct {
	call  *mesh.Call
	tried []netip.AddrPort
	reply ring.Reply
}

type pickAnswer struct {
	chosen  mesh.Endpoint
	refusal *mesh.Refusal
}

// linkResult says how a call over a link went.
type linkResult struct {
	to     mesh.Endpoint
	failed bool
	load   int
	level  mesh.Class
}

// EventName implements mesh.Event.
func (pickRequest) EventName() string { return "pick-request" }

// EventName implements mesh.Event.
func (pickAnswer) EventName() string { return "pick-answer" }

// EventName implements mesh.Event.
func (linkResult) EventName() string { return "link-result" }

// Pick chooses a target for the call among the hosts that are not in tried.
func (d *routeDuty) Pick(call *mesh.Call, tried []netip.AddrPort) (chosen mesh.Endpoint, refusal *mesh.Refusal) {
	reply := ring.NewReply()
	if !d.events.Offer(pickRequest{call: call, tried: tried, reply: reply}) {
		return chosen, mesh.NotRun(header.NodeBusy, "the node has no room to choose a target")
	}
	a := (<-reply.Events()).(pickAnswer)
	return a.chosen, a.refusal
}

// Run implements mesh.Duty.
func (d *routeDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			switch e := e.(type) {
			case pickRequest:
				e.reply.Answer(d.pick(time.Now(), e))
			case linkResult:
				d.record(time.Now(), e)
			}
		}
	}
}

func (d *routeDuty) pick(now time.Time, e pickRequest) (a pickAnswer) {
	index := d.config.View().Index
	service := e.call.Route.Service
	endpoints := d.roster.View().Endpoints(service, index.Zones)
	chosen, found := d.picker.Pick(now, index.Zone.Name, endpoints, d.links, e.tried)
	if !found {
		return pickAnswer{refusal: mesh.NotRun(header.NoTarget, "no target of service %q takes work now", service)}
	}
	return pickAnswer{chosen: chosen}
}

func (d *routeDuty) record(now time.Time, e linkResult) {
	link := d.links[e.to.Host]
	link.To, link.Zone = e.to.Host, e.to.Zone
	if e.failed {
		link.Failures++
		link.RetryAt = now.Add(min(maxLinkRetry, linkRetry<<min(link.Failures-1, 10)))
	} else {
		link.Failures, link.RetryAt = 0, time.Time{}
		link.Load = e.load
	}
	d.links[e.to.Host] = link
}
