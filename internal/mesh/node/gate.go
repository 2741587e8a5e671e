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

	// settingsPollInterval is how often a gate with queued requests checks for new
	// settings while it receives no events.
	settingsPollInterval = time.Second
)

// gateDuty owns the admission gates of all targets on this host. When its ring is
// full, new requests are refused, and senders of results and announcements block.
type gateDuty struct {
	events *ring.Ring
	config *configDuty
	vars   *expvar.Map

	// version is the version of the settings that the gates use.
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

	// pending holds the replies of requests that the gate has not decided on.
	pending map[gate.Ticket]ring.Reply
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

// targetAnnounced carries an announcement of a target.
type targetAnnounced struct{ target mesh.Target }

// EventName implements mesh.Event.
func (targetAnnounced) EventName() string { return "open-gate" }

// gateEvent carries an event to the gate of one target. Only an arrival has a reply.
type gateEvent struct {
	target netip.AddrPort
	event  mesh.Event
	reply  ring.Reply
}

// EventName implements mesh.Event.
func (e gateEvent) EventName() string { return e.event.EventName() }

// gateAnswer admits a request, or refuses it when refusal is set.
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

// Announce passes an announcement of a target to the duty, which creates the gate of
// a new target.
func (d *gateDuty) Announce(ctx context.Context, t mesh.Target) (err error) {
	return d.events.Send(ctx, targetAnnounced{target: t})
}

// Enter blocks until the target may run the call, or returns the refusal. After a
// success, the caller must call Leave.
func (d *gateDuty) Enter(ctx context.Context, target netip.AddrPort, call *mesh.Call) (a admission, refusal *mesh.Refusal) {
	ticket := gate.Ticket(d.tickets.Add(1))
	reply := ring.NewReply()
	arrival := gate.Arrival{Ticket: ticket, Call: call}
	if !d.events.Offer(gateEvent{target: target, event: arrival, reply: reply}) {
		return a, mesh.NotRun(header.NodeBusy, "the request queue of the target's node is full")
	}
	select {
	case e := <-reply.Events():
		answer := e.(gateAnswer)
		return admission{ticket: ticket, level: answer.level, load: answer.load}, answer.refusal
	case <-ctx.Done():
		d.send(gateEvent{target: target, event: gate.Cancelled{Ticket: ticket}})
		return a, mesh.Interrupted(ctx.Err(), header.NotRun, "while the request was queued for the target")
	}
}

// Leave reports the result of a request that Enter admitted.
func (d *gateDuty) Leave(target netip.AddrPort, f gate.Finished) {
	d.send(gateEvent{target: target, event: f})
}

// send blocks while the ring is full, since the result of a request must not be lost.
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
		d.resetTimer(timer)
	}
}

func (d *gateDuty) handle(now time.Time, e mesh.Event) {
	d.applySettings(now)
	switch e := e.(type) {
	case targetAnnounced:
		d.applyAnnouncement(now, e.target)
	case gateEvent:
		d.step(now, e)
	}
}

// applySettings applies new settings to all gates.
func (d *gateDuty) applySettings(now time.Time) {
	view := d.config.View()
	if view == nil || view.Version == d.version {
		return
	}
	d.version = view.Version
	for _, g := range d.targets {
		d.configure(now, g, view.Index)
	}
}

// configure applies the settings of the service and the state of the target to a
// gate. Without settings, the defaults of the settings tree apply.
func (d *gateDuty) configure(now time.Time, g *gatedTarget, index *tree.Index) {
	settings := defaultTargetSettings()
	if index != nil {
		if serviceSettings, found := index.Target(g.target.Service); found {
			settings = serviceSettings
		}
	}
	g.gate.SetTargetDelay(settings.TargetDelay)
	g.step(now, gate.Resized{Cold: settings.ColdLimit, Slots: g.target.Slots, QueueLength: settings.QueueLength})
	switch {
	case g.target.Draining:
		g.step(now, gate.Closed{Refusal: mesh.NotRun(header.TargetDraining, "the target is draining")})
	case index != nil && index.Zone.Out:
		g.step(now, gate.Closed{Refusal: zoneOutRefusal(index.Zone.Name)})
	default:
		g.step(now, gate.Opened{})
	}
}

func zoneOutRefusal(name mesh.ZoneName) (refusal *mesh.Refusal) {
	return mesh.NotRun(header.ZoneOut, "zone %q is out of service", name)
}

func defaultTargetSettings() (t tree.Target) {
	s := tree.Defaults()
	return tree.Target{ColdLimit: *s.ColdLimit, TargetDelay: *s.TargetDelay, QueueLength: *s.QueueLength}
}

// applyAnnouncement applies an announcement of a target. One of an earlier
// incarnation is outdated and ignored.
func (d *gateDuty) applyAnnouncement(now time.Time, t mesh.Target) {
	g, found := d.targets[t.Addr]
	switch {
	case !found:
		g = d.newTarget(t)
	case t.Incarnation < g.target.Incarnation, t == g.target:
		return
	case t.Incarnation > g.target.Incarnation || t.Service != g.target.Service:
		d.log.Infof("target %s of service %s has restarted.", t.Addr, t.Service)
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
	settings := defaultTargetSettings()
	if view := d.config.View(); view != nil {
		if serviceSettings, found := view.Index.Target(t.Service); found {
			settings = serviceSettings
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
		pending: make(map[gate.Ticket]ring.Reply),
	}
	d.targets[t.Addr] = g
	d.log.Infof("target %s of service %s added with %d slots.", t.Addr, t.Service, t.Slots)
	return g
}

func (d *gateDuty) step(now time.Time, e gateEvent) {
	g, found := d.targets[e.target]
	a, isArrival := e.event.(gate.Arrival)
	switch {
	case !found && isArrival:
		e.reply.Answer(gateAnswer{refusal: mesh.NotRun(header.NoTarget, "this host has no target at %s", e.target)})
		return
	case !found:
		return
	case isArrival:
		g.pending[a.Ticket] = e.reply
	}
	g.step(now, e.event)
	if cancelled, isCancelled := e.event.(gate.Cancelled); isCancelled {
		delete(g.pending, cancelled.Ticket)
	}
}

// step passes an event to the gate, replies to the requests that it decides on and
// updates the metrics.
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
	g.vars.update(now, g.gate)
}

func (g *gatedTarget) answer(ticket gate.Ticket, answer gateAnswer) {
	g.pending[ticket].Answer(answer)
	delete(g.pending, ticket)
}

func (d *gateDuty) elapsed(now time.Time) {
	d.applySettings(now)
	for _, g := range d.targets {
		if at := g.gate.Next(); !at.IsZero() && !at.After(now) {
			g.step(now, gate.TimerExpired{})
		}
	}
}

func (d *gateDuty) resetTimer(timer *time.Timer) {
	now := time.Now()
	next := now.Add(time.Hour)
	for _, g := range d.targets {
		if at := g.gate.Next(); !at.IsZero() && at.Before(next) {
			next = at
		}
		if g.gate.Queued() > 0 && now.Add(settingsPollInterval).Before(next) {
			next = now.Add(settingsPollInterval)
		}
	}
	timer.Reset(next.Sub(now))
}
