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

const routeRing = 4096

// routeDuty owns the state of this node's links and selects targets. When its ring
// is full, calls are refused and results are dropped.
type routeDuty struct {
	picker mesh.Picker
	events *ring.Ring
	config *configDuty
	roster *rosterDuty
}

func newRouteDuty(vars *expvar.Map, config *configDuty, roster *rosterDuty) (d *routeDuty) {
	return &routeDuty{
		picker: route.NewTwoChoices(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
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

// linkResult reports the result of a call over a link.
type linkResult struct{ report mesh.LinkReport }

// EventName implements mesh.Event.
func (pickRequest) EventName() string { return "pick-request" }

// EventName implements mesh.Event.
func (pickAnswer) EventName() string { return "pick-answer" }

// EventName implements mesh.Event.
func (linkResult) EventName() string { return "link-result" }

// Pick selects a target for the call. Hosts in tried are only chosen when no other
// host is available.
func (d *routeDuty) Pick(call *mesh.Call, tried []netip.AddrPort) (chosen mesh.Endpoint, refusal *mesh.Refusal) {
	reply := ring.NewReply()
	if !d.events.Offer(pickRequest{call: call, tried: tried, reply: reply}) {
		return chosen, mesh.NotRun(header.NodeBusy, "the request queue of the node is full")
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
				d.picker.Report(time.Now(), e.report)
			}
		}
	}
}

func (d *routeDuty) pick(now time.Time, e pickRequest) (a pickAnswer) {
	index := d.config.View().Index
	service := e.call.Route.Service
	endpoints := d.roster.View().Endpoints(service, index.Zones)
	a.chosen, a.refusal = d.picker.Pick(now, e.call, index.Zone.Name, endpoints, e.tried)
	return a
}
