package agent

import (
	"bytes"
	"context"
	"expvar"
	"maps"
	"net"
	"net/netip"
	"slices"
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

	// memberTick is the interval at which the member duty checks for due heartbeats.
	memberTick = 100 * time.Millisecond

	// loggedLag is the delay of a timer above which it is logged.
	loggedLag = 250 * time.Millisecond

	// crossZoneFetchDelay is how long a node waits for newer configuration to arrive from its own
	// zone before it asks a host of another zone. It leaves time for that within the shortest
	// bound on the spread of a change, two seconds.
	crossZoneFetchDelay = 500 * time.Millisecond

	// broadcastRounds is how many times a change that stops traffic to a target or host is
	// sent to all hosts at once, since datagrams can be lost.
	broadcastRounds = 3
)

// versions identifies a configuration.
type versions struct {
	rules uint64
	asOf  mesh.StoreVersion
}

// memberDuty owns this node's view of the fleet membership. When its ring is full, heartbeats are
// dropped, since the next one is complete, while reports of targets block their sender.
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
	watch  *watchDuty

	// behind holds the versions of this node for which other hosts first had newer ones at
	// behindSince.
	behind      versions
	behindSince time.Time

	// broadcastsLeft is the number of further heartbeats that go to all hosts at once.
	broadcastsLeft int
	lastTick       time.Time

	// reported is the view last reported to the quota duty; nil before the first report.
	reported *fleet.View
	beats    *expvar.Int

	// sendFailing is true while sending on the socket fails.
	sendFailing bool
}

func newMemberDuty(vars *expvar.Map, self mesh.Host, log logs.Log) (d *memberDuty) {
	d = &memberDuty{
		events: ring.New(vars, "member", memberRing),
		state:  fleet.New(self),
		log:    log,
		beats:  new(expvar.Int),
	}
	vars.Set("beats-sent", d.beats)
	vars.Set("hosts-known", expvar.Func(func() any { return d.View().FleetSize }))
	vars.Set("targets-known", expvar.Func(func() any { return targetCounts(d.View()) }))
	vars.Set("hosts-heard", expvar.Func(func() any { return len(d.View().Peers) + 1 }))
	d.view.Store(d.state.View(time.Now()))
	return d
}

// targetCounts returns the number of targets that accept requests, by service.
func targetCounts(v *fleet.View) (counts map[mesh.ServiceName]int) {
	counts = make(map[mesh.ServiceName]int, len(v.Targets))
	for service, targets := range v.Targets {
		counts[service] = len(targets)
	}
	return counts
}

// Name implements mesh.Duty.
func (d *memberDuty) Name() string { return "member" }

// View returns the latest view of the fleet.
func (d *memberDuty) View() (v *fleet.View) { return d.view.Load() }

// heartbeatReceived carries a heartbeat of another host. datagram is set only when the heartbeat
// is to be relayed.
type heartbeatReceived struct {
	beat     *beat.Beat
	datagram []byte
}

type listedHosts struct{ hosts []mesh.Host }

// announced carries a report of the target on this host.
type announced struct {
	announcement mesh.Announcement
	done         ring.Reply
}

// targetUnhealthy carries the name of the target on this host whose health check has failed.
type targetUnhealthy struct{ name string }

type leaving struct{}

// EventName implements mesh.Event.
func (heartbeatReceived) EventName() string { return "heard-beat" }

// EventName implements mesh.Event.
func (listedHosts) EventName() string { return "listed-hosts" }

// EventName implements mesh.Event.
func (announced) EventName() string { return "announced" }

// EventName implements mesh.Event.
func (targetUnhealthy) EventName() string { return "target-unhealthy" }

// EventName implements mesh.Event.
func (leaving) EventName() string { return "leaving" }

// Announce handles a report of a target and returns once it is in effect at this node.
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
			if lag := time.Since(d.lastTick) - memberTick; !d.lastTick.IsZero() && lag > loggedLag {
				d.log.InfoFields("timers run late", logs.Fields{"lag-ms": lag.Milliseconds()})
			}
			d.tick(ctx, now)
		case e := <-d.events.Events():
			d.handle(ctx, time.Now(), e)
		}
	}
}

func (d *memberDuty) handle(ctx context.Context, now time.Time, e mesh.Event) {
	switch e := e.(type) {
	case heartbeatReceived:
		d.receive(ctx, now, e.beat)
		if e.datagram != nil {
			d.sendDatagram(beat.Relayed(e.datagram), d.state.ZonePeers(now))
		}
	case announced:
		d.announce(ctx, now, e)
	case targetUnhealthy:
		if d.state.MarkUnhealthy(now, e.name) {
			d.removeTarget(ctx, now, e.name, "the health check of the target failed")
		}
	case listedHosts:
		for _, h := range e.hosts {
			if d.state.AddHost(now, h) {
				d.broadcastsLeft = max(d.broadcastsLeft, 1)
			}
		}
		d.publish(now)
		d.reportFleet(ctx)
	case configChanged:
		d.state.SetZonesOut(e.ZonesOut)
		d.publish(now)
		if e.fromStore {
			d.notifyZone(ctx, now)
		}
	case leaving:
		d.state.Drain()
		d.publish(now)
		d.reportFleet(ctx)
		d.broadcast(ctx, now)
	}
}

// reportFleet reports the fleet to the quota duty when it has changed. A node that has just started
// waits until it knows most of the hosts that others know: until then it would take itself for a
// holder of each contract.
func (d *memberDuty) reportFleet(ctx context.Context) {
	v := d.View()
	if d.reported == nil && 2*d.state.KnownHosts() < v.FleetSize {
		return
	}
	if r := d.reported; r != nil && slices.Equal(r.Candidates, v.Candidates) && maps.Equal(r.ZoneSizes, v.ZoneSizes) {
		return
	}
	self := d.state.Self()
	d.reported = v
	_ = d.quota.events.Send(ctx, fleetChanged{fleet: quota.Fleet{
		Self: self.Addr, Candidates: v.Candidates, ZoneSize: v.ZoneSizes[self.Zone],
		ZoneSizes: slices.Sorted(maps.Values(v.ZoneSizes)), ReportInterval: v.HeartbeatInterval,
	}})
}

func (d *memberDuty) receive(ctx context.Context, now time.Time, b *beat.Beat) {
	known := d.View().FleetSize
	if d.state.ApplyHeartbeat(now, b.Host, b.KnownHosts) {
		d.publish(now)
		if d.View().FleetSize > known {
			d.log.InfoFields("a host joined", logs.Fields{"host": b.Host.Addr.String(), "zone": b.Host.Zone})
		}
	}
	d.reportFleet(ctx)
	d.quota.events.Offer(usageReceived{report: b.Usage})
	d.compareConfig(now, b)
}

// compareConfig fetches the configuration of a host when it is newer than this node's. Traffic
// between zones is expensive, so a host of another zone is asked only after those of this zone
// have had time to get the configuration.
func (d *memberDuty) compareConfig(now time.Time, b *beat.Beat) {
	own := d.follow.view.Load()
	if own == nil {
		own = new(activeConfig)
	}
	notice := newerConfig{from: b.Host.Addr, rulesVersion: b.RulesVersion, asOf: b.AsOf, carries: b.Carries}
	if !own.isOlder(notice, b.ConfigDigest) {
		return
	}
	known := versions{asOf: own.AsOf}
	if own.Rules != nil {
		known.rules = own.Rules.Version
	}
	if known != d.behind {
		d.behind, d.behindSince = known, now
	}
	if own.Rules == nil || b.Host.Zone == d.state.Self().Zone || now.Sub(d.behindSince) >= crossZoneFetchDelay {
		d.fetch.events.Offer(notice)
	}
}

// announce handles a report of the target.
func (d *memberDuty) announce(ctx context.Context, now time.Time, e announced) {
	defer e.done.Answer(e)
	a := e.announcement
	if a.Stopped {
		if d.state.RemoveTarget(now, a.Target.Name) {
			d.removeTarget(ctx, now, a.Target.Name, "the target stopped")
		}
		return
	}
	before := d.state.Self().Targets
	accepted, changed := d.state.ApplyReport(now, a)
	if !accepted {
		d.log.InfoFields("a late report is ignored", logs.Fields{
			"target": a.Target.Name, "incarnation": a.Target.Incarnation, "sequence": a.Sequence,
		})
		return
	}
	a.Target = d.state.Target(a.Target.Addr)
	_ = d.gate.events.Send(ctx, targetReported{target: a.Target})
	if !changed {
		return
	}
	d.publish(now)
	if len(before) == 0 || before[0].Name != a.Target.Name || before[0].Draining != a.Target.Draining {
		d.log.InfoFields("the target reported a new state", logs.Fields{
			"target": a.Target.Name, "service": a.Target.Service, "slots": a.Target.Slots,
			"draining": a.Target.Draining, "cold-until": a.Target.ColdUntil,
			"incarnation": a.Target.Incarnation, "sequence": a.Sequence,
		})
		d.broadcast(ctx, now)
	}
}

// removeTarget notifies the gate and all other hosts that a target accepts no more requests.
func (d *memberDuty) removeTarget(ctx context.Context, now time.Time, target, reason string) {
	d.log.InfoFields(reason, logs.Fields{"target": target})
	_ = d.gate.events.Send(ctx, targetStopped{name: target})
	d.publish(now)
	d.broadcast(ctx, now)
}

// broadcast sends a change to all hosts at once, and again with the next heartbeats.
func (d *memberDuty) broadcast(ctx context.Context, now time.Time) {
	d.broadcastsLeft = broadcastRounds
	d.sendDue(ctx, now)
}

func (d *memberDuty) publish(now time.Time) {
	before, v := d.View(), d.state.View(now)
	d.view.Store(v)
	if before.FollowsStore != v.FollowsStore {
		d.watch.events.Offer(followersChanged{})
	}
}

// notifyZone sends a heartbeat to the hosts of this zone, so that those which do not follow the
// store notice new configuration at once.
func (d *memberDuty) notifyZone(ctx context.Context, now time.Time) {
	d.sendHeartbeat(now, d.heartbeat(ctx), d.state.ZonePeers(now))
}

func (d *memberDuty) tick(ctx context.Context, now time.Time) {
	for _, name := range d.state.ExpireTargets(now) {
		d.removeTarget(ctx, now, name, "the target stopped sending reports")
	}
	if d.state.ExpireHosts(now, d.lastTick) {
		d.publish(now)
		// The first report waits for the host list or a heartbeat: a host that knows none but
		// itself would take whole contracts.
		if d.reported != nil {
			d.reportFleet(ctx)
		}
	}
	d.lastTick = now
	d.sendDue(ctx, now)
}

// sendDue sends a heartbeat to each host for which one is due.
func (d *memberDuty) sendDue(ctx context.Context, now time.Time) {
	direct, relayed := d.state.DueHeartbeats(now, d.broadcastsLeft > 0)
	d.broadcastsLeft = max(0, d.broadcastsLeft-1)
	if len(direct)+len(relayed) == 0 {
		return
	}
	b := d.heartbeat(ctx)
	d.sendHeartbeat(now, b, direct)
	b.Relay = true
	d.sendHeartbeat(now, b, relayed)
}

// heartbeat returns the heartbeat with the current state of this host.
func (d *memberDuty) heartbeat(ctx context.Context) (b *beat.Beat) {
	self := d.state.Self()
	b = &beat.Beat{
		Host: self, KnownHosts: d.state.KnownHosts(),
		Usage: d.quota.Report(ctx, self),
	}
	if own := d.follow.view.Load(); own != nil {
		b.AsOf, b.ConfigDigest, b.Carries = own.AsOf, own.digest, own.Carried.Pending()
		if own.Rules != nil {
			b.RulesVersion = own.Rules.Version
		}
	}
	return b
}

// sendHeartbeat sends a heartbeat to the given hosts.
func (d *memberDuty) sendHeartbeat(now time.Time, b *beat.Beat, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	data, err := beat.Encode(now, b)
	if err != nil {
		d.log.Errorf("encoding a heartbeat failed: %v.", err)
		return
	}
	d.sendDatagram(data, to)
}

// sendDatagram sends a datagram to the given hosts. A failed send is treated like a lost
// datagram, which the next heartbeat replaces; only the first of consecutive failures is
// logged.
func (d *memberDuty) sendDatagram(data []byte, to []netip.AddrPort) {
	for _, addr := range to {
		_, err := d.socket.WriteToUDPAddrPort(data, addr)
		switch {
		case err == nil:
			d.beats.Add(1)
			d.sendFailing = false
		case !d.sendFailing:
			d.sendFailing = true
			d.log.Warnf("sending a heartbeat to %v failed: %v.", addr, err)
		}
	}
}

// receiverDuty receives the datagrams of other hosts.
type receiverDuty struct {
	socket   *net.UDPConn
	member   *memberDuty
	quota    *quotaDuty
	rollouts *rolloutDuty
	picker   *pickerDuty
	log      logs.Log
}

// Name implements mesh.Duty.
func (d *receiverDuty) Name() string { return "ear" }

// Run implements mesh.Duty.
func (d *receiverDuty) Run(ctx context.Context) (err error) {
	stop := context.AfterFunc(ctx, func() { _ = d.socket.Close() })
	defer stop()
	buffer := make([]byte, beat.MaxBytes+1)
	for ctx.Err() == nil {
		n, from, err := d.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				d.log.Warnf("reading a datagram failed: %v.", err)
				sleep(ctx, memberTick)
			}
			continue
		}
		if n > beat.MaxBytes {
			d.log.Warnf("ignored a datagram from %v: larger than %d bytes.", from, beat.MaxBytes)
			continue
		}
		if err := d.dispatch(time.Now(), buffer[:n]); err != nil {
			d.log.Warnf("ignored an invalid datagram from %v: %v.", from, err)
		}
	}
	return nil
}

// dispatch passes a datagram to the duty that it is for. A full ring drops it like the network.
func (d *receiverDuty) dispatch(now time.Time, data []byte) (err error) {
	switch {
	case beat.IsAsk(data):
		a, err := beat.DecodeAsk(data)
		if err != nil {
			return err
		}
		d.quota.events.Offer(askReceived{ask: a})
	case beat.IsVerdict(data):
		v, err := beat.DecodeVerdict(data)
		if err != nil {
			return err
		}
		d.quota.events.Offer(verdictReceived{verdict: v})
	case beat.IsRollout(data):
		r, err := beat.DecodeRollout(data)
		if err != nil {
			return err
		}
		d.rollouts.events.Offer(rolloutReported{report: r})
	case beat.IsFault(data):
		f, err := beat.DecodeFault(data)
		if err != nil {
			return err
		}
		d.rollouts.events.Offer(faultReported{fault: f})
	case beat.IsRoom(data):
		r, err := beat.DecodeRoom(now, data)
		if err != nil {
			return err
		}
		// A host that learns no speeds has no use for rooms, and rooms of unknown hosts would be kept.
		if _, known := d.member.View().Peers[r.Host]; known && d.picker.rooms != nil {
			d.picker.events.Offer(roomReceived{room: *r})
		}
	default:
		b, err := beat.Decode(now, data)
		if err != nil {
			return err
		}
		received := heartbeatReceived{beat: b}
		if b.Relay {
			received.datagram = bytes.Clone(data)
		}
		d.member.events.Offer(received)
	}
	return nil
}
