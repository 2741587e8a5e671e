package agent

import (
	"context"
	"expvar"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/gate"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rules"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	gateRing = 4096

	// queueLength is how many requests may wait for the target.
	queueLength = 512

	// targetDelay is the wait above which the target counts as overloaded.
	targetDelay = 20 * time.Millisecond

	// slotsUsed is the part of the announced slots that is used. New
	// connections and status checks hold slots too, and a full target may
	// never answer.
	slotsUsed = 0.92
)

// gateDuty owns the gate of the target on this host. Full ring: the request is
// refused; ends of requests and news of the target wait.
type gateDuty struct {
	events *ring.Ring
	zone   mesh.ZoneName
	log    logs.Log

	// coldFactor is the part of its cold rate at which a target is used.
	coldFactor float64

	// current is the target that takes work, for handlers to send to; nil
	// while there is none.
	current atomic.Pointer[mesh.Target]
	limiter *gate.Fixed
	gate    *gate.Gate
	index   *rules.Index

	// out is true while operators have taken the zone out.
	out bool

	// waiting holds the reply rings of queued requests.
	waiting map[gate.Ticket]ring.Reply
	tickets atomic.Uint64

	// running is the number of requests at the target, for the metrics.
	running atomic.Int64
}

func newGateDuty(vars *expvar.Map, st Settings, log logs.Log) (d *gateDuty) {
	limiter := gate.NewFixed(1)
	d = &gateDuty{
		events: ring.New(vars, "gate", gateRing), zone: st.Zone, coldFactor: st.ColdFactor, log: log, limiter: limiter,
		gate: gate.New(limiter, gate.WithQueue(gate.NewFair(queueLength, targetDelay)), gate.WithTargetDelay(targetDelay)),

		waiting: make(map[gate.Ticket]ring.Reply),
	}
	vars.Set("target-running", expvar.Func(func() any { return d.running.Load() }))
	return d
}

// Name implements mesh.Duty.
func (d *gateDuty) Name() string { return "gate" }

// targetReported brings a report of the target.
type targetReported struct{ target mesh.Target }

// targetGone says that the target ended.
type targetGone struct{ name string }

type enter struct {
	ticket gate.Ticket
	call   *mesh.Call
	target string
	reply  ring.Reply
}

type leave struct{ finished gate.Finished }

type gone struct{ ticket gate.Ticket }

type entered struct {
	refusal *mesh.Refusal
	target  *mesh.Target
	ticket  gate.Ticket
	load    int
}

// EventName implements mesh.Event.
func (targetReported) EventName() string { return "target-reported" }

// EventName implements mesh.Event.
func (targetGone) EventName() string { return "target-gone" }

// EventName implements mesh.Event.
func (enter) EventName() string { return "enter" }

// EventName implements mesh.Event.
func (leave) EventName() string { return "leave" }

// EventName implements mesh.Event.
func (gone) EventName() string { return "gone" }

// EventName implements mesh.Event.
func (entered) EventName() string { return "entered" }

// Enter waits until the target may run the call, or returns why not. Its
// caller must call Leave after a success.
func (d *gateDuty) Enter(ctx context.Context, call *mesh.Call, target string) (in entered) {
	ticket := gate.Ticket(d.tickets.Add(1))
	reply := ring.NewReply()
	if !d.events.Offer(enter{ticket: ticket, call: call, target: target, reply: reply}) {
		return entered{refusal: mesh.NotRun(header.NodeBusy, "the node of the target has no room for another request")}
	}
	select {
	case e := <-reply.Events():
		return e.(entered)
	case <-ctx.Done():
		d.send(gone{ticket: ticket})
		return entered{refusal: mesh.NotRun(header.DeadlineExceeded, "the deadline passed or the caller left in the queue of the target")}
	}
}

// Leave says how a request ended that Enter let in.
func (d *gateDuty) Leave(f gate.Finished) { d.send(leave{finished: f}) }

// send waits for room: the end of a request must not be lost.
func (d *gateDuty) send(e mesh.Event) { _ = d.events.Send(context.Background(), e) }

// Run implements mesh.Duty.
func (d *gateDuty) Run(ctx context.Context) (err error) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.handle(time.Now(), e)
		case now := <-timer.C:
			d.step(now, gate.TimerExpired{})
		}
		if at := d.gate.Next(); !at.IsZero() {
			timer.Reset(time.Until(at))
		}
	}
}

func (d *gateDuty) handle(now time.Time, e mesh.Event) {
	switch e := e.(type) {
	case enter:
		d.enter(now, e)
	case leave:
		d.leave(now, e.finished)
	case gone:
		d.step(now, gate.Cancelled{Ticket: e.ticket})
		delete(d.waiting, e.ticket)
	case targetReported:
		d.report(now, e.target)
	case targetGone:
		if current := d.current.Load(); current != nil && current.Name == e.name {
			d.current.Store(nil)
			d.step(now, gate.Closed{Refusal: mesh.NotRun(header.TargetDraining, "the target has ended")})
		}
	case newOrders:
		d.follow(now, e)
	}
}

func (d *gateDuty) enter(now time.Time, e enter) {
	current := d.current.Load()
	switch {
	case current == nil:
		e.reply.Answer(entered{refusal: mesh.NotRun(header.TargetDraining, "this host has no target that takes work")})
	case current.Service != e.call.TargetService() || e.target != "" && e.target != current.Name:
		e.reply.Answer(entered{refusal: mesh.NotRun(header.TargetDraining, "target %q has made room for %q", e.target, current.Name)})
	default:
		d.waiting[e.ticket] = e.reply
		d.step(now, gate.Arrival{Ticket: e.ticket, Call: d.ranked(e.call)})
	}
}

// ranked returns the call with the class that it has at the gate. A cold target
// bears so few that whole requests of callers come first: a chain that needs
// several of its turns hardly ever ends in time.
func (d *gateDuty) ranked(call *mesh.Call) (c *mesh.Call) {
	if !call.Nested || !d.gate.Cold() {
		return call
	}
	ranked := *call
	ranked.Class = mesh.ClassLow
	return &ranked
}

// leave takes in the end of a request. A target that accepts no connection or
// breaks one off may have started anew, so it is treated as cold until its
// next report.
func (d *gateDuty) leave(now time.Time, f gate.Finished) {
	if current := d.current.Load(); current != nil && d.index != nil && f.Unreachable {
		service := d.index.Service(current.Service)
		d.step(now, gate.ColdStarted{Until: now.Add(service.ColdTime), PerSecond: d.coldFactor * service.ColdRate})
	}
	d.step(now, f)
}

// report takes in what the target says about itself.
func (d *gateDuty) report(now time.Time, t mesh.Target) {
	before := d.current.Load()
	d.current.Store(&t)
	if before == nil || before.Name != t.Name || before.Incarnation != t.Incarnation {
		d.step(now, gate.Restarted{})
	}
	d.step(now, gate.Resized{Cold: t.Slots, Slots: int(slotsUsed * float64(t.Slots)), QueueLength: queueLength})
	d.chill(now, t.ColdUntil)
	d.admit(now)
}

// chill holds the target to its cold rate until the time.
func (d *gateDuty) chill(now, until time.Time) {
	current := d.current.Load()
	if d.index == nil || current == nil {
		return
	}
	d.step(now, gate.ColdStarted{Until: until, PerSecond: d.coldFactor * d.index.Service(current.Service).ColdRate})
}

// admit opens or closes the gate.
func (d *gateDuty) admit(now time.Time) {
	current := d.current.Load()
	switch {
	case d.out:
		d.step(now, gate.Closed{Refusal: mesh.NotRun(header.ZoneOut, "zone %q is taken out", d.zone)})
	case current == nil || current.Draining:
		d.step(now, gate.Closed{Refusal: mesh.NotRun(header.TargetDraining, "the target is draining")})
	default:
		d.step(now, gate.Opened{})
	}
}

// follow puts new orders in force. The targets of a zone that returns may have
// been replaced by cold ones meanwhile.
func (d *gateDuty) follow(now time.Time, o newOrders) {
	returned := d.out && !slices.Contains(o.ZonesOut, d.zone)
	first := d.index == nil
	d.index, d.out = o.index, slices.Contains(o.ZonesOut, d.zone)
	current := d.current.Load()
	if current == nil || d.index == nil {
		return
	}
	switch {
	case returned:
		d.chill(now, now.Add(d.index.Service(current.Service).ColdTime))
	case first:
		d.chill(now, current.ColdUntil)
	}
	d.admit(now)
}

// step takes an event to the gate and answers the requests that it decides on.
func (d *gateDuty) step(now time.Time, e mesh.Event) {
	for _, a := range d.gate.Step(now, e) {
		switch a := a.(type) {
		case gate.Start:
			d.answer(a.Ticket, entered{target: d.current.Load(), ticket: a.Ticket, load: d.gate.Load()})
		case gate.Refuse:
			d.answer(a.Ticket, entered{refusal: a.Refusal, load: d.gate.Load()})
		}
	}
	d.running.Store(int64(d.gate.InFlight()))
}

func (d *gateDuty) answer(ticket gate.Ticket, answer entered) {
	d.waiting[ticket].Answer(answer)
	delete(d.waiting, ticket)
}
