package node

import (
	"context"
	"expvar"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/gate"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const gateRing = 4096

// gateDuty owns the gates of all targets of this host. Full ring: the request
// is refused; ends of requests wait.
type gateDuty struct {
	events  *ring.Ring
	targets map[netip.AddrPort]*gatedTarget
	tickets atomic.Uint64
	log     logs.Log
}

// gatedTarget is one local target with its gate.
type gatedTarget struct {
	target mesh.Target
	gate   *gate.Gate

	// waiting holds the reply rings of queued requests.
	waiting map[gate.Ticket]ring.Reply
}

func newGateDuty(vars *expvar.Map, log logs.Log) (d *gateDuty) {
	return &gateDuty{events: ring.New(vars, "gate", gateRing), targets: make(map[netip.AddrPort]*gatedTarget), log: log}
}

// Name implements mesh.Duty.
func (d *gateDuty) Name() string { return "gate" }

// openGate says that a target announced itself.
type openGate struct{ target mesh.Target }

// EventName implements mesh.Event.
func (openGate) EventName() string { return "open-gate" }

// gateEvent brings an event to the gate of one target. Reply is set on
// arrivals.
type gateEvent struct {
	target netip.AddrPort
	event  mesh.Event
	reply  ring.Reply
}

// EventName implements mesh.Event.
func (e gateEvent) EventName() string { return e.event.EventName() }

// gateAnswer starts or refuses a request.
type gateAnswer struct {
	refusal *mesh.Refusal
	level   mesh.Class
	load    int
}

// EventName implements mesh.Event.
func (gateAnswer) EventName() string { return "gate-answer" }

// admission is the right to run one request at a target.
type admission struct {
	ticket gate.Ticket
	level  mesh.Class
	load   int
}

// Open makes the gate of a target that announced itself.
func (d *gateDuty) Open(ctx context.Context, t mesh.Target) (err error) {
	return d.events.Send(ctx, openGate{target: t})
}

// Enter waits until the target may run the call, or returns why not. The
// caller must call Leave after a success.
func (d *gateDuty) Enter(ctx context.Context, target netip.AddrPort, call *mesh.Call) (a admission, refusal *mesh.Refusal) {
	ticket := gate.Ticket(d.tickets.Add(1))
	reply := ring.NewReply()
	arrival := gate.Arrival{Ticket: ticket, Call: call}
	if !d.events.Offer(gateEvent{target: target, event: arrival, reply: reply}) {
		return a, mesh.NotRun(header.NodeBusy, "the node of the target is busy")
	}
	select {
	case e := <-reply.Events():
		answer := e.(gateAnswer)
		return admission{ticket: ticket, level: answer.level, load: answer.load}, answer.refusal
	case <-ctx.Done():
		d.send(gateEvent{target: target, event: gate.Gone{Ticket: ticket}})
		return a, mesh.NotRun(header.DeadlineExceeded, "the deadline passed in the queue of the target")
	}
}

// Leave says how a request ended that Enter let in.
func (d *gateDuty) Leave(target netip.AddrPort, f gate.Finished) {
	d.send(gateEvent{target: target, event: f})
}

// send waits for room: the end of a request must not be lost.
func (d *gateDuty) send(e gateEvent) {
	_ = d.events.Send(context.Background(), e)
}

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
			d.elapsed(now)
		}
		d.reset(timer)
	}
}

func (d *gateDuty) handle(now time.Time, e mesh.Event) {
	switch e := e.(type) {
	case openGate:
		d.open(e.target)
	case gateEvent:
		d.step(now, e)
	}
}

func (d *gateDuty) open(t mesh.Target) {
	g, found := d.targets[t.Addr]
	if !found {
		d.targets[t.Addr] = &gatedTarget{
			target:  t,
			gate:    gate.New(gate.NewFixed(t.Slots)),
			waiting: make(map[gate.Ticket]ring.Reply),
		}
		d.log.Infof("target %s of service %s is known, %d slots.", t.Addr, t.Service, t.Slots)
		return
	}
	g.target = t
}

func (d *gateDuty) step(now time.Time, e gateEvent) {
	g, found := d.targets[e.target]
	if !found {
		if _, arrives := e.event.(gate.Arrival); arrives {
			e.reply.Answer(gateAnswer{refusal: mesh.NotRun(header.NoTarget, "no target at %s has announced itself here", e.target)})
		}
		return
	}
	if a, arrives := e.event.(gate.Arrival); arrives {
		if g.target.Draining {
			e.reply.Answer(gateAnswer{refusal: mesh.NotRun(header.TargetDraining, "the target is draining")})
			return
		}
		g.waiting[a.Ticket] = e.reply
	}
	g.apply(g.gate.Step(now, e.event))
	if gone, isGone := e.event.(gate.Gone); isGone {
		delete(g.waiting, gone.Ticket)
	}
}

func (g *gatedTarget) apply(actions []gate.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gate.Start:
			g.answer(a.Ticket, gateAnswer{level: g.gate.Level(), load: g.gate.Load()})
		case gate.Refuse:
			g.answer(a.Ticket, gateAnswer{refusal: a.Refusal, level: g.gate.Level(), load: g.gate.Load()})
		}
	}
}

func (g *gatedTarget) answer(ticket gate.Ticket, answer gateAnswer) {
	g.waiting[ticket].Answer(answer)
	delete(g.waiting, ticket)
}

func (d *gateDuty) elapsed(now time.Time) {
	for _, g := range d.targets {
		if at := g.gate.Next(); !at.IsZero() && !at.After(now) {
			g.apply(g.gate.Step(now, gate.Elapsed{}))
		}
	}
}

func (d *gateDuty) reset(timer *time.Timer) {
	next := time.Now().Add(time.Hour)
	for _, g := range d.targets {
		if at := g.gate.Next(); !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	timer.Reset(time.Until(next))
}
