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

const placeRing = 4096

// placeDuty owns the links of this node: it chooses the targets of calls and
// keeps the budget of repeats. Full ring: the request is refused; reports of
// calls are dropped.
type placeDuty struct {
	events  *ring.Ring
	picker  mesh.Picker
	budgets *retry.Budgets
	zone    mesh.ZoneName
	member  *memberDuty
}

func newPlaceDuty(vars *expvar.Map, s Settings, member *memberDuty) (d *placeDuty) {
	return &placeDuty{
		events:  ring.New(vars, "place", placeRing),
		picker:  route.NewTwoChoices(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		budgets: retry.NewBudgets(s.RetryRatio, s.RetrySlack, s.RetryWindow),
		zone:    s.Zone,
		member:  member,
	}
}

// Name implements mesh.Duty.
func (d *placeDuty) Name() string { return "place" }

type pick struct {
	call  *mesh.Call
	tried []netip.AddrPort
	reply ring.Reply
}

type picked struct {
	to      mesh.Endpoint
	refusal *mesh.Refusal
}

type linkResult struct{ report mesh.LinkReport }

type mayRepeat struct {
	call  *mesh.Call
	reply ring.Reply
}

type repeatAnswer struct{ allowed bool }

// EventName implements mesh.Event.
func (pick) EventName() string { return "pick" }

// EventName implements mesh.Event.
func (picked) EventName() string { return "picked" }

// EventName implements mesh.Event.
func (linkResult) EventName() string { return "link-result" }

// EventName implements mesh.Event.
func (mayRepeat) EventName() string { return "may-repeat" }

// EventName implements mesh.Event.
func (repeatAnswer) EventName() string { return "repeat-answer" }

// Pick returns the target of the next attempt of a call.
func (d *placeDuty) Pick(ctx context.Context, call *mesh.Call, tried []netip.AddrPort) (to mesh.Endpoint, refusal *mesh.Refusal) {
	reply := ring.NewReply()
	if !d.events.Offer(pick{call: call, tried: tried, reply: reply}) {
		return to, mesh.NotRun(header.NodeBusy, "the node has no room for another request")
	}
	select {
	case e := <-reply.Events():
		p := e.(picked)
		return p.to, p.refusal
	case <-ctx.Done():
		return to, mesh.NotRun(header.DeadlineExceeded, "the deadline passed or the caller left before a target was chosen")
	}
}

// MayRepeat takes one repeat of a call from the budget of its service.
func (d *placeDuty) MayRepeat(ctx context.Context, call *mesh.Call) (allowed bool) {
	reply := ring.NewReply()
	if !d.events.Offer(mayRepeat{call: call, reply: reply}) {
		return false
	}
	select {
	case e := <-reply.Events():
		return e.(repeatAnswer).allowed
	case <-ctx.Done():
		return false
	}
}

// Report takes in how a call went.
func (d *placeDuty) Report(r mesh.LinkReport) { d.events.Offer(linkResult{report: r}) }

// Run implements mesh.Duty.
func (d *placeDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.handle(time.Now(), e)
		}
	}
}

func (d *placeDuty) handle(now time.Time, e mesh.Event) {
	switch e := e.(type) {
	case pick:
		e.reply.Answer(d.pick(now, e))
	case mayRepeat:
		e.reply.Answer(repeatAnswer{allowed: d.budgets.Repeat(now, e.call)})
	case linkResult:
		d.picker.Report(now, e.report)
	}
}

// pick chooses a target.
func (d *placeDuty) pick(now time.Time, e pick) (p picked) {
	view := d.member.View()
	d.budgets.SetHosts(view.Known)
	if len(e.tried) == 0 {
		d.budgets.Called(now, e.call)
	}
	p.to, p.refusal = d.picker.Pick(now, e.call, d.zone, view.Targets[e.call.TargetService()], e.tried)
	return p
}
