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
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	gateRing = 4096

	// settingsInterval is how often a gate with waiting requests looks for new
	// settings when no event comes.
	settingsInterval = time.Second
)

// gateDuty owns the gates of all targets of this host. Full ring: the request
// is refused; ends of requests wait.
type gateDuty struct {
	events *ring.Ring
	config *configDuty
	vars   *expvar.Map

	// version is that of the settings which the gates follow.
	version uint64
	targets map[netip.AddrPort]*gatedTarget
	tickets atomic.Uint64
	log     logs.Log
}

// gatedTarget is one local target with its gate.
type gatedTarget struct {
	target mesh.Target
	gate   *gate.Gate
	vars   targetVars

	// waiting holds the reply rings of queued requests.
	waiting map[gate.Ticket]ring.Reply
}

func newGateDuty(vars *expvar.Map, config *configDuty, log logs.Log) (d *gateDuty) {
	d = &gateDuty{
		events:  ring.New(vars, "gate", gateRing),
		config:  config,
		vars:    new(expvar.Map),
		targets: make(map[netip.AddrPort]*gatedTarget),
		log:     log,
	}
	vars.Set("targets", d.vars)
	return d
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
		d.send(gateEvent{target: target, event: gate.Cancelled{Ticket: ticket}})
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
	d.follow(now)
	switch e := e.(type) {
	case openGate:
		d.open(now, e.target)
	case gateEvent:
		d.step(now, e)
	}
}

// follow puts new settings in force.
func (d *gateDuty) follow(now time.Time) {
	view := d.config.View()
	if view == nil || view.Version == d.version {
		return
	}
	d.version = view.Version
	for _, g := range d.targets {
		d.configure(now, g, view.Index)
	}
}

// configure gives a gate the settings of its service and the state of its
// target. Without settings a target runs with the defaults of the tree.
func (d *gateDuty) configure(now time.Time, g *gatedTarget, index *tree.Index) {
	settings := defaultTarget()
	if index != nil {
		if own, found := index.Target(g.target.Service); found {
			settings = own
		}
	}
	g.gate.SetTargetDelay(settings.TargetDelay)
	g.step(now, gate.Resized{Cold: settings.ColdLimit, Slots: g.target.Slots, QueueLength: settings.QueueLength})
	switch {
	case g.target.Draining:
		g.step(now, gate.Closed{Refusal: mesh.NotRun(header.TargetDraining, "the target is draining")})
	case index != nil && index.Zone.Out:
		g.step(now, gate.Closed{Refusal: zoneOut(index.Zone.Name)})
	default:
		g.step(now, gate.Opened{})
	}
}

func zoneOut(name mesh.ZoneName) (refusal *mesh.Refusal) {
	return mesh.NotRun(header.ZoneOut, "availability zone %q has been taken out", name)
}

func defaultTarget() (t tree.Target) {
	s := tree.Defaults()
	return tree.Target{ColdLimit: *s.ColdLimit, TargetDelay: *s.TargetDelay, QueueLength: *s.QueueLength}
}

// open takes in an announcement. One of an earlier incarnation came late and
// is dropped.
func (d *gateDuty) open(now time.Time, t mesh.Target) {
	g, found := d.targets[t.Addr]
	switch {
	case !found:
		g = d.newTarget(t)
	case t.Incarnation < g.target.Incarnation, t == g.target:
		return
	case t.Incarnation > g.target.Incarnation || t.Service != g.target.Service:
		d.log.Infof("target %s of service %s has started anew.", t.Addr, t.Service)
		g.target = t
		g.step(now, gate.Restarted{})
	}
	g.target = t
	var index *tree.Index
	if view := d.config.View(); view != nil {
		index = view.Index
	}
	d.configure(now, g, index)
}

func (d *gateDuty) newTarget(t mesh.Target) (g *gatedTarget) {
	settings := defaultTarget()
	if view := d.config.View(); view != nil {
		if own, found := view.Index.Target(t.Service); found {
			settings = own
		}
	}
	g = &gatedTarget{
		target: t,
		gate: gate.New(
			gate.NewAdaptive(settings.ColdLimit, t.Slots),
			gate.WithQueue(gate.NewFair(settings.QueueLength, settings.TargetDelay)),
			gate.WithTargetDelay(settings.TargetDelay),
		),
		vars:    newTargetVars(d.vars, t.Addr),
		waiting: make(map[gate.Ticket]ring.Reply),
	}
	d.targets[t.Addr] = g
	d.log.Infof("target %s of service %s is known, %d slots.", t.Addr, t.Service, t.Slots)
	return g
}

func (d *gateDuty) step(now time.Time, e gateEvent) {
	g, found := d.targets[e.target]
	a, arrives := e.event.(gate.Arrival)
	switch {
	case !found && arrives:
		e.reply.Answer(gateAnswer{refusal: mesh.NotRun(header.NoTarget, "no target at %s has announced itself here", e.target)})
		return
	case !found:
		return
	case arrives:
		g.waiting[a.Ticket] = e.reply
	}
	g.step(now, e.event)
	if gone, isGone := e.event.(gate.Cancelled); isGone {
		delete(g.waiting, gone.Ticket)
	}
}

// step takes an event to the gate, answers the requests that it decides on and
// publishes its state.
func (g *gatedTarget) step(now time.Time, e mesh.Event) {
	for _, a := range g.gate.Step(now, e) {
		switch a := a.(type) {
		case gate.Start:
			g.answer(a.Ticket, gateAnswer{level: g.gate.Level(now), load: g.gate.Load()})
		case gate.Refuse:
			g.vars.refused.Add(string(a.Refusal.Code), 1)
			g.answer(a.Ticket, gateAnswer{refusal: a.Refusal, level: g.gate.Level(now), load: g.gate.Load()})
		}
	}
	g.vars.show(now, g.gate)
}

func (g *gatedTarget) answer(ticket gate.Ticket, answer gateAnswer) {
	g.waiting[ticket].Answer(answer)
	delete(g.waiting, ticket)
}

func (d *gateDuty) elapsed(now time.Time) {
	d.follow(now)
	for _, g := range d.targets {
		if at := g.gate.Next(); !at.IsZero() && !at.After(now) {
			g.step(now, gate.TimerExpired{})
		}
	}
}

func (d *gateDuty) reset(timer *time.Timer) {
	now := time.Now()
	next := now.Add(time.Hour)
	for _, g := range d.targets {
		if at := g.gate.Next(); !at.IsZero() && at.Before(next) {
			next = at
		}
		if g.gate.Queued() > 0 && now.Add(settingsInterval).Before(next) {
			next = now.Add(settingsInterval)
		}
	}
	timer.Reset(next.Sub(now))
}
