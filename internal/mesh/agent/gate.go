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

	// queueLength is the maximum number of requests queued for the target.
	queueLength = 512

	// targetDelay is the queueing delay above which the target counts as overloaded.
	targetDelay = 20 * time.Millisecond

	// usableSlotsFraction is the fraction of the announced slots that is used. New connections and
	// health checks occupy slots too, and a target with no free slot may never answer.
	usableSlotsFraction = 0.92
)

// gateDuty owns the admission gate of the target on this host. When its ring is full, requests
// are refused, while results of requests and reports of the target block their sender.
type gateDuty struct {
	events *ring.Ring
	zone   mesh.ZoneName
	log    logs.Log

	// coldRateFactor is the factor by which the cold rate of a target is multiplied.
	coldRateFactor float64

	// current is the target that accepts requests; nil when there is none. Handlers read it to
	// send requests.
	current atomic.Pointer[mesh.Target]
	gate    *gate.Gate
	index   *rules.Index

	// These duties are asked for the versions that may get requests, and for the other targets.
	rollouts *rolloutDuty
	member   *memberDuty

	// rooms is nil unless the node learns how much the target takes well.
	rooms *roomPublisher

	// zoneOut is true while the zone is out of service.
	zoneOut bool

	// pending holds the reply rings of queued requests.
	pending map[gate.Ticket]ring.Reply
	tickets atomic.Uint64

	// running is the number of requests in flight at the target, and queued that of those in front
	// of it, for other duties and the metrics.
	running, queued atomic.Int64
}

func newGateDuty(vars *expvar.Map, st Settings, log logs.Log) (d *gateDuty) {
	limiter, rooms := newLimiter(vars, st, log)
	d = &gateDuty{
		rooms: rooms,

		events: ring.New(vars, "gate", gateRing), zone: st.Zone, coldRateFactor: st.ColdRateFactor, log: log,
		gate: gate.New(limiter, gate.WithQueue(gate.NewFair(queueLength, targetDelay)), gate.WithTargetDelay(targetDelay)),

		pending:  make(map[gate.Ticket]ring.Reply),
		rollouts: new(rolloutDuty),
	}
	vars.Set("target-running", expvar.Func(func() any { return d.running.Load() }))
	vars.Set("target-queued", expvar.Func(func() any { return d.queued.Load() }))
	return d
}

// Occupied returns the number of requests at the target and in front of it.
func (d *gateDuty) Occupied() (requests int) { return int(d.running.Load() + d.queued.Load()) }

// Name implements mesh.Duty.
func (d *gateDuty) Name() string { return "gate" }

// targetReported carries a report of the target.
type targetReported struct{ target mesh.Target }

// targetStopped is sent when the target has stopped.
type targetStopped struct{ name string }

type enter struct {
	ticket gate.Ticket
	call   *mesh.Call
	target string
	reply  ring.Reply
}

type leave struct{ finished gate.Finished }

type enterCancelled struct{ ticket gate.Ticket }

type admission struct {
	refusal *mesh.Refusal
	target  *mesh.Target
	ticket  gate.Ticket
	load    int
}

// EventName implements mesh.Event.
func (targetReported) EventName() string { return "target-reported" }

// EventName implements mesh.Event.
func (targetStopped) EventName() string { return "target-gone" }

// EventName implements mesh.Event.
func (enter) EventName() string { return "enter" }

// EventName implements mesh.Event.
func (leave) EventName() string { return "leave" }

// EventName implements mesh.Event.
func (enterCancelled) EventName() string { return "gone" }

// EventName implements mesh.Event.
func (admission) EventName() string { return "entered" }

// Enter blocks until the target may run the call, or returns the refusal. After a success, the
// caller must call Leave.
func (d *gateDuty) Enter(ctx context.Context, call *mesh.Call, target string) (in admission) {
	ticket := gate.Ticket(d.tickets.Add(1))
	reply := ring.NewReply()
	if !d.events.Offer(enter{ticket: ticket, call: call, target: target, reply: reply}) {
		return admission{refusal: mesh.NotRun(header.NodeBusy, "the request queue of the target's node is full")}
	}
	select {
	case e := <-reply.Events():
		return e.(admission)
	case <-ctx.Done():
		d.send(enterCancelled{ticket: ticket})
		return admission{refusal: mesh.Interrupted(context.Cause(ctx), header.NotRun, "while the request was queued for the target")}
	}
}

// Leave reports the result of a request that Enter admitted.
func (d *gateDuty) Leave(f gate.Finished) { d.send(leave{finished: f}) }

// send blocks while the ring is full, since the result of a request must not be lost.
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
	case enterCancelled:
		d.step(now, gate.Cancelled{Ticket: e.ticket})
		delete(d.pending, e.ticket)
	case targetReported:
		d.applyReport(now, e.target)
	case targetStopped:
		if current := d.current.Load(); current != nil && current.Name == e.name {
			d.current.Store(nil)
			d.step(now, gate.Closed{Refusal: mesh.NotRun(header.TargetDraining, "the target has stopped")})
		}
	case configChanged:
		d.applyConfig(now, e)
	}
}

func (d *gateDuty) enter(now time.Time, e enter) {
	current := d.current.Load()
	switch {
	case current == nil:
		e.reply.Answer(admission{refusal: mesh.NotRun(header.TargetDraining, "this host has no target that accepts requests")})
	case current.Service != e.call.TargetService() || e.target != "" && e.target != current.Name:
		e.reply.Answer(admission{refusal: mesh.NotRun(header.TargetDraining, "target %q has been replaced by %q", e.target, current.Name)})
	default:
		if refusal := d.checkVersion(current, e.call); refusal != nil {
			e.reply.Answer(admission{refusal: refusal})
			return
		}
		d.pending[e.ticket] = e.reply
		d.step(now, gate.Arrival{Ticket: e.ticket, Call: d.withGateClass(e.call)})
	}
}

// checkVersion returns the refusal of a call that a roll-out keeps from the target.
func (d *gateDuty) checkVersion(current *mesh.Target, call *mesh.Call) (refusal *mesh.Refusal) {
	versions := d.rollouts.View()
	if versions.rule(current.Service) == nil {
		return nil
	}
	return versions.admit(d.member.View(), current, call.Choice)
}

// withGateClass returns the call with the class that it has at the gate. At a cold target,
// nested calls get the lowest class, so that requests of callers come first: the rate of a
// cold target is so low that a chain which needs several requests there rarely finishes before
// its deadline.
func (d *gateDuty) withGateClass(call *mesh.Call) (c *mesh.Call) {
	if !call.Nested || !d.gate.Cold() {
		return call
	}
	demoted := *call
	demoted.Class = mesh.ClassLow
	return &demoted
}

// leave handles the result of a request. A target that refuses or drops a connection may have
// restarted, so it is treated as cold until its next report.
func (d *gateDuty) leave(now time.Time, f gate.Finished) {
	if current := d.current.Load(); current != nil && d.index != nil && f.Unreachable {
		service := d.index.Service(current.Service)
		d.step(now, gate.ColdStarted{Until: now.Add(service.ColdTime), PerSecond: d.coldRateFactor * service.ColdRate})
	}
	d.step(now, f)
}

// applyReport applies a report of the target.
func (d *gateDuty) applyReport(now time.Time, t mesh.Target) {
	before := d.current.Load()
	d.current.Store(&t)
	if before == nil || before.Name != t.Name || before.Incarnation != t.Incarnation {
		d.step(now, gate.Restarted{})
	}
	d.step(now, gate.Resized{Cold: t.Slots, Slots: int(usableSlotsFraction * float64(t.Slots)), QueueLength: queueLength})
	d.limitColdRate(now, t.ColdUntil)
	d.openOrClose(now)
}

// limitColdRate limits the target to its cold rate until the given time.
func (d *gateDuty) limitColdRate(now, until time.Time) {
	current := d.current.Load()
	if d.index == nil || current == nil {
		return
	}
	d.step(now, gate.ColdStarted{Until: until, PerSecond: d.coldRateFactor * d.index.Service(current.Service).ColdRate})
}

// openOrClose opens or closes the gate.
func (d *gateDuty) openOrClose(now time.Time) {
	current := d.current.Load()
	switch {
	case d.zoneOut:
		d.step(now, gate.Closed{Refusal: mesh.NotRun(header.ZoneOut, "zone %q is out of service", d.zone)})
	case current == nil || current.Draining:
		d.step(now, gate.Closed{Refusal: mesh.NotRun(header.TargetDraining, "the target is draining")})
	default:
		d.step(now, gate.Opened{})
	}
}

// applyConfig applies new configuration. While a zone was out of service, its targets may have
// been replaced by cold ones, so they are treated as cold when it returns.
func (d *gateDuty) applyConfig(now time.Time, o configChanged) {
	returned := d.zoneOut && !slices.Contains(o.ZonesOut, d.zone)
	first := d.index == nil
	d.index, d.zoneOut = o.index, slices.Contains(o.ZonesOut, d.zone)
	current := d.current.Load()
	if current == nil || d.index == nil {
		return
	}
	switch {
	case returned:
		d.limitColdRate(now, now.Add(d.index.Service(current.Service).ColdTime))
	case first:
		d.limitColdRate(now, current.ColdUntil)
	}
	d.openOrClose(now)
}

// step passes an event to the gate and replies to the requests that it decides on.
func (d *gateDuty) step(now time.Time, e mesh.Event) {
	for _, a := range d.gate.Step(now, e) {
		switch a := a.(type) {
		case gate.Start:
			d.answer(a.Ticket, admission{target: d.current.Load(), ticket: a.Ticket, load: d.gate.Load()})
		case gate.Refuse:
			d.answer(a.Ticket, admission{refusal: a.Refusal, load: d.gate.Load()})
		}
	}
	d.running.Store(int64(d.gate.InFlight()))
	d.queued.Store(int64(d.gate.Queued()))
	d.rooms.update(now, d.gate, d.current.Load())
}

func (d *gateDuty) answer(ticket gate.Ticket, answer admission) {
	d.pending[ticket].Answer(answer)
	delete(d.pending, ticket)
}
