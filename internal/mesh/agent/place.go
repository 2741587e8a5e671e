package agent

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/retry"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/route"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const pickerRing = 4096

// pickerDuty owns the link states and retry budgets of this node: it selects the targets of
// calls and decides whether calls may be retried. When its ring is full, requests are refused
// and reports of calls are dropped.
type pickerDuty struct {
	events  *ring.Ring
	picker  mesh.Picker
	budgets *retry.ServiceBudgets
	zone    mesh.ZoneName
	member  *memberDuty

	// rooms is the picker where rooms are learned, otherwise nil.
	rooms mesh.RoomObserver
}

func newPickerDuty(vars *expvar.Map, s Settings, member *memberDuty) (d *pickerDuty) {
	var options []route.Option
	if s.LearnSpeed {
		options = append(options, route.WithRooms())
	}
	picker := route.NewTwoChoices(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), options...)
	d = &pickerDuty{
		events:  ring.New(vars, "place", pickerRing),
		picker:  picker,
		budgets: retry.NewServiceBudgets(s.RetryRatio, s.RetrySlack, s.RetryWindow),
		zone:    s.Zone,
		member:  member,
	}
	if s.LearnSpeed {
		d.rooms = picker
		vars.Set("rooms-known", expvar.Func(func() any { return d.roomMetrics() }))
	}
	return d
}

// Name implements mesh.Duty.
func (d *pickerDuty) Name() string { return "place" }

type pickRequest struct {
	call  *mesh.Call
	tried []netip.AddrPort
	reply ring.Reply

	// endpoints are the targets to choose from; nil stands for all of the service.
	endpoints []mesh.Endpoint
}

type pickReply struct {
	to      mesh.Endpoint
	refusal *mesh.Refusal
}

type linkResult struct{ report mesh.LinkReport }

type retryRequest struct {
	call  *mesh.Call
	reply ring.Reply
}

type retryReply struct{ allowed bool }

// EventName implements mesh.Event.
func (pickRequest) EventName() string { return "pick" }

// EventName implements mesh.Event.
func (pickReply) EventName() string { return "picked" }

// EventName implements mesh.Event.
func (linkResult) EventName() string { return "link-result" }

// EventName implements mesh.Event.
func (retryRequest) EventName() string { return "may-repeat" }

// EventName implements mesh.Event.
func (retryReply) EventName() string { return "repeat-answer" }

// Pick selects the target for the next attempt of a call, among the endpoints or, with nil, among
// all targets of the service.
func (d *pickerDuty) Pick(ctx context.Context, call *mesh.Call, tried []netip.AddrPort, endpoints []mesh.Endpoint) (to mesh.Endpoint, refusal *mesh.Refusal) {
	reply := ring.NewReply()
	if !d.events.Offer(pickRequest{call: call, tried: tried, reply: reply, endpoints: endpoints}) {
		return to, mesh.NotRun(header.NodeBusy, "the request queue of the node is full")
	}
	select {
	case e := <-reply.Events():
		p := e.(pickReply)
		return p.to, p.refusal
	case <-ctx.Done():
		return to, mesh.Interrupted(context.Cause(ctx), header.NotRun, "before a target was chosen")
	}
}

// AllowRetry takes one retry of a call from the retry budget of its service. It reports false
// when the budget is exhausted.
func (d *pickerDuty) AllowRetry(ctx context.Context, call *mesh.Call) (allowed bool) {
	reply := ring.NewReply()
	if !d.events.Offer(retryRequest{call: call, reply: reply}) {
		return false
	}
	select {
	case e := <-reply.Events():
		return e.(retryReply).allowed
	case <-ctx.Done():
		return false
	}
}

// Report records the result of a call.
func (d *pickerDuty) Report(r mesh.LinkReport) { d.events.Offer(linkResult{report: r}) }

// Run implements mesh.Duty.
func (d *pickerDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.handle(time.Now(), e)
		}
	}
}

func (d *pickerDuty) handle(now time.Time, e mesh.Event) {
	switch e := e.(type) {
	case pickRequest:
		e.reply.Answer(d.pick(now, e))
	case retryRequest:
		e.reply.Answer(retryReply{allowed: d.budgets.AllowRetry(now, e.call)})
	case roomReceived:
		d.rooms.ObserveRoom(now, e.room)
	case roomsQuery:
		known, shares := d.rooms.Rooms()
		e.reply.Answer(roomsReply{known: known, shares: shares})
	case linkResult:
		d.picker.Report(now, e.report)
	}
}

func (d *pickerDuty) pick(now time.Time, e pickRequest) (p pickReply) {
	view := d.member.View()
	d.budgets.SetHosts(view.FleetSize)
	if len(e.tried) == 0 {
		d.budgets.CountCall(now, e.call)
	}
	endpoints := e.endpoints
	if endpoints == nil {
		endpoints = view.Targets[e.call.TargetService()]
	}
	p.to, p.refusal = d.picker.Pick(now, e.call, d.zone, endpoints, e.tried)
	return p
}
