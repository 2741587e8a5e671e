package agent

import (
	"bytes"
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/beat"
	"github.com/quetzalstack/quetzalstack/internal/mesh/fleet"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/quota"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
)

const (
	memberRing = 1024

	// memberTick is how often the member duty looks for beats that are due.
	memberTick = 100 * time.Millisecond

	// urgentBeats is how often a change that keeps work away is told to all
	// hosts at once, since datagrams get lost.
	urgentBeats = 3
)

// memberDuty owns what this node knows of the fleet. Full ring: beats are
// dropped, since the next one is complete; reports of targets wait.
type memberDuty struct {
	events *ring.Ring
	state  *fleet.State
	view   atomic.Pointer[fleet.View]
	socket *net.UDPConn
	log    logs.Log

	quota  *quotaDuty
	gate   *gateDuty
	follow *followDuty
	fetch  *fetchDuty

	// urgent is how many more beats go to all hosts at once.
	urgent int
	ticked time.Time

	// told is the number of hosts that the duty of contracts knows of; zero
	// until it was told any.
	told  int
	beats *expvar.Int

	// refused is true while the socket refuses what is sent.
	refused bool
}

func newMemberDuty(vars *expvar.Map, self mesh.Host, log logs.Log) (d *memberDuty) {
	d = &memberDuty{
		events: ring.New(vars, "member", memberRing),
		state:  fleet.New(self),
		log:    log,
		beats:  new(expvar.Int),
	}
	vars.Set("beats-sent", d.beats)
	vars.Set("hosts-known", expvar.Func(func() any { return d.View().Known }))
	vars.Set("hosts-heard", expvar.Func(func() any { return len(d.View().Peers) + 1 }))
	d.view.Store(d.state.View(time.Now()))
	return d
}

// Name implements mesh.Duty.
func (d *memberDuty) Name() string { return "member" }

// View returns the fleet as it was last seen.
func (d *memberDuty) View() (v *fleet.View) { return d.view.Load() }

// heardBeat brings a beat of another host. The datagram is set when it is to be
// passed on.
type heardBeat struct {
	beat     *beat.Beat
	datagram []byte
}

type listedHosts struct{ hosts []mesh.Host }

// announced brings a report of the target on this host.
type announced struct {
	announcement mesh.Announcement
	done         ring.Reply
}

type leaving struct{}

// EventName implements mesh.Event.
func (heardBeat) EventName() string { return "heard-beat" }

// EventName implements mesh.Event.
func (listedHosts) EventName() string { return "listed-hosts" }

// EventName implements mesh.Event.
func (announced) EventName() string { return "announced" }

// EventName implements mesh.Event.
func (leaving) EventName() string { return "leaving" }

// Announce takes in a report of a target and returns once it is in force at
// this node.
func (d *memberDuty) Announce(ctx context.Context, a mesh.Announcement) (err error) {
	done := ring.NewReply()
	if err := d.events.Send(ctx, announced{announcement: a, done: done}); err != nil {
		return err
	}
	select {
	case <-done.Events():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Run implements mesh.Duty.
func (d *memberDuty) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(memberTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.tick(ctx, now)
		case e := <-d.events.Events():
			d.handle(ctx, time.Now(), e)
		}
	}
}

func (d *memberDuty) handle(ctx context.Context, now time.Time, e mesh.Event) {
	switch e := e.(type) {
	case heardBeat:
		d.hear(ctx, now, e.beat)
		if e.datagram != nil {
			d.send(beat.Relayed(e.datagram), d.state.Neighbours(now))
		}
	case announced:
		d.announce(ctx, now, e)
	case listedHosts:
		for _, h := range e.hosts {
			if d.state.Meet(h) {
				d.urgent = max(d.urgent, 1)
			}
		}
		d.publish(now)
		d.tellKnown(ctx)
	case newOrders:
		d.state.TakeOut(e.ZonesOut)
		d.publish(now)
	case leaving:
		d.state.Leave()
		d.publish(now)
		d.spread(ctx, now)
	}
}

// tellKnown tells the duty of contracts how many hosts share them, when that has
// changed.
func (d *memberDuty) tellKnown(ctx context.Context) {
	if known := d.View().Known; known != d.told {
		d.told = known
		_ = d.quota.events.Send(ctx, knownHosts{hosts: known})
	}
}

func (d *memberDuty) hear(ctx context.Context, now time.Time, b *beat.Beat) {
	known := d.View().Known
	if d.state.Hear(now, b.Host, b.KnownHosts) {
		d.publish(now)
		if d.View().Known > known {
			d.log.InfoFields("a host joined", logs.Fields{"host": b.Host.Addr.String(), "zone": b.Host.Zone})
		}
	}
	d.tellKnown(ctx)
	d.quota.events.Offer(heardUsage{report: b.Usage})
	d.compare(b)
}

// compare asks a host for its orders when they are newer than this node's.
func (d *memberDuty) compare(b *beat.Beat) {
	own := d.follow.view.Load()
	if own == nil {
		own = new(inForce)
	}
	newer := own.Rules == nil && b.RulesVersion > 0 || own.Rules != nil && b.RulesVersion > own.Rules.Version
	if newer || b.AsOf > own.AsOf && b.ZonesOutDigest != own.outDigest {
		d.fetch.events.Offer(newerOrders{from: b.Host.Addr, rules: b.RulesVersion, asOf: b.AsOf})
	}
}

// announce takes in a report of the target.
func (d *memberDuty) announce(ctx context.Context, now time.Time, e announced) {
	defer e.done.Answer(e)
	a := e.announcement
	if a.Stopped {
		if d.state.End(now, a.Target.Name) {
			d.end(ctx, now, a.Target.Name, "the target ended")
		}
		return
	}
	before := d.state.Self().Targets
	accepted, changed := d.state.Report(now, a)
	if !accepted {
		d.log.InfoFields("a late report is ignored", logs.Fields{
			"target": a.Target.Name, "incarnation": a.Target.Incarnation, "sequence": a.Sequence,
		})
		return
	}
	_ = d.gate.events.Send(ctx, targetReported{target: a.Target})
	if !changed {
		return
	}
	d.publish(now)
	if len(before) == 0 || before[0].Name != a.Target.Name || before[0].Draining != a.Target.Draining {
		d.log.InfoFields("the target reported a new state", logs.Fields{
			"target": a.Target.Name, "service": a.Target.Service, "slots": a.Target.Slots,
			"draining": a.Target.Draining, "cold-until": a.Target.ColdUntil,
		})
		d.spread(ctx, now)
	}
}

// end tells everybody that a target takes no more work.
func (d *memberDuty) end(ctx context.Context, now time.Time, target, reason string) {
	d.log.InfoFields(reason, logs.Fields{"target": target})
	_ = d.gate.events.Send(ctx, targetGone{name: target})
	d.publish(now)
	d.spread(ctx, now)
}

// spread tells all hosts of a change at once, and again with the next beats.
func (d *memberDuty) spread(ctx context.Context, now time.Time) {
	d.urgent = urgentBeats
	d.beat(ctx, now)
}

func (d *memberDuty) publish(now time.Time) { d.view.Store(d.state.View(now)) }

func (d *memberDuty) tick(ctx context.Context, now time.Time) {
	for _, name := range d.state.Expire(now) {
		d.end(ctx, now, name, "the target fell silent")
	}
	if d.state.Forget(now, d.ticked) {
		d.publish(now)
	}
	d.ticked = now
	d.beat(ctx, now)
}

// beat sends a beat to the hosts to which one is due.
func (d *memberDuty) beat(ctx context.Context, now time.Time) {
	direct, passing := d.state.Due(now, d.urgent > 0)
	d.urgent = max(0, d.urgent-1)
	if len(direct)+len(passing) == 0 {
		return
	}
	self := d.state.Self()
	b := &beat.Beat{
		Host: self, KnownHosts: d.state.Met(),
		Usage: quota.Report{From: self.Addr, Incarnation: self.Incarnation, Usage: d.quota.Usage(ctx)},
	}
	if own := d.follow.view.Load(); own != nil {
		b.AsOf, b.ZonesOutDigest = own.AsOf, own.outDigest
		if own.Rules != nil {
			b.RulesVersion = own.Rules.Version
		}
	}
	d.tell(now, b, direct)
	b.Relay = true
	d.tell(now, b, passing)
}

// tell sends a beat to hosts.
func (d *memberDuty) tell(now time.Time, b *beat.Beat, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	data, err := beat.Encode(now, b)
	if err != nil {
		d.log.Errorf("no beat was sent: %v.", err)
		return
	}
	d.send(data, to)
}

// send sends a datagram to hosts. One that the socket refuses is as good as lost,
// and the next one makes good for it; the first of a row is logged.
func (d *memberDuty) send(data []byte, to []netip.AddrPort) {
	for _, addr := range to {
		_, err := d.socket.WriteToUDPAddrPort(data, addr)
		switch {
		case err == nil:
			d.beats.Add(1)
			d.refused = false
		case !d.refused:
			d.refused = true
			d.log.Warnf("a beat to %v could not be sent: %v.", addr, err)
		}
	}
}

// earDuty reads the beats of other hosts.
type earDuty struct {
	socket *net.UDPConn
	member *memberDuty
	log    logs.Log
}

// Name implements mesh.Duty.
func (d *earDuty) Name() string { return "ear" }

// Run implements mesh.Duty.
func (d *earDuty) Run(ctx context.Context) (err error) {
	stop := context.AfterFunc(ctx, func() { _ = d.socket.Close() })
	defer stop()
	buffer := make([]byte, beat.MaxBytes+1)
	for ctx.Err() == nil {
		n, from, err := d.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				d.log.Warnf("no datagram could be read: %v.", err)
				wait(ctx, memberTick)
			}
			continue
		}
		if n > beat.MaxBytes {
			d.log.Warnf("a datagram of %v is larger than %d bytes and is ignored.", from, beat.MaxBytes)
			continue
		}
		b, err := beat.Decode(time.Now(), buffer[:n])
		if err != nil {
			d.log.Warnf("a datagram of %v is ignored: %v.", from, err)
			continue
		}
		heard := heardBeat{beat: b}
		if b.Relay {
			heard.datagram = bytes.Clone(buffer[:n])
		}
		d.member.events.Offer(heard)
	}
	return nil
}
