package agent

import (
	"context"
	"expvar"
	"maps"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/beat"
	"github.com/quetzalstack/quetzalstack/internal/mesh/canary"
	"github.com/quetzalstack/quetzalstack/internal/mesh/fleet"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	rolloutRing = 4096

	// rolloutTick is the interval at which the versions are compared, and at which the deciding
	// host hears from the others while the new version gets all requests.
	rolloutTick = 100 * time.Millisecond

	// rolloutReportInterval is the interval of the reports to and from the deciding hosts, that of
	// heartbeats in a small fleet. Other hosts report to all less often: the reports let each host
	// judge a version by itself, for which a second is soon enough. rolloutReportPerHost lengthens
	// the interval in a large fleet, as with heartbeats.
	rolloutReportInterval = 300 * time.Millisecond
	rolloutSpreadInterval = time.Second
	rolloutReportPerHost  = 5 * time.Millisecond

	// rolloutDeciders is the number of hosts that hear from all others at the short interval: the
	// one that decides, and the one that takes its place when it falls silent.
	rolloutDeciders = 2

	// rolloutWarmUp is the time after its start for which a host decides nothing. In that time it
	// hears from all others.
	rolloutWarmUp = 2 * time.Second

	// rolloutReadInterval is the interval at which the deciding host reads the store, and retries
	// after a failure.
	rolloutReadInterval  = time.Second
	rolloutRetryInterval = 200 * time.Millisecond

	// rolloutReplyInterval is the shortest time between two replies to a host that knows less than
	// this one.
	rolloutReplyInterval = time.Second

	// maxReportedRollouts and maxReportedReason keep reports well below the size of a datagram.
	maxReportedRollouts = 32
	maxReportedReason   = 300

	// rolloutLinger is the time after the end of a roll-out for which hosts still report, so that
	// all hear of the end, and for which the targets of the old version get no requests after a
	// completion. They stop in that time, and one that stops without a word counts as gone 8 s after
	// its last report.
	rolloutLinger = 10 * time.Second
)

// rolloutDuty owns what this host knows about roll-outs: the orders, their records, the versions of
// targets and the counts of requests. When its ring is full, counts and reports are dropped: the
// next report is complete.
type rolloutDuty struct {
	events *ring.Ring
	view   atomic.Pointer[versionView]
	self   mesh.Host
	bounds canary.Bounds
	log    logs.Log

	// transmit sends a datagram to another host.
	transmit func(data []byte, to netip.AddrPort) (err error)

	member *memberDuty
	gate   *gateDuty

	// store is nil where operators cannot order roll-outs.
	store *rolloutStoreDuty

	rollouts map[mesh.ServiceName]*rollout
	barred   map[mesh.ServiceName][]mesh.VersionName
	versions map[targetKey]mesh.VersionName
	hosts    map[netip.AddrPort]rolloutHost
	faults   map[faultKey]*beat.Fault
	ledger   *canary.Ledger
	tallies  map[tallyKey]*mesh.VersionTally

	config *activeConfig

	// started is when this host started.
	started time.Time

	// lastSent is when this host last sent its report to all others, lastUrgent when to the
	// deciding hosts, and repliedAt when to a host that knew less.
	lastSent, lastUrgent time.Time
	repliedAt            map[netip.AddrPort]time.Time

	// sentVersion is the version of this host's target in the last report to all.
	sentVersion mesh.VersionName

	// sendFailing is true while sending on the socket fails.
	sendFailing bool

	// readAt is when this host last asked for the stored records.
	readAt time.Time

	// ranked holds the deciding hosts by service, as of the view rankedView.
	ranked     map[mesh.ServiceName][]netip.AddrPort
	rankedView *fleet.View

	vars    atomic.Pointer[map[string]any]
	reports *expvar.Int
}

// rollout is the state of one order.
type rollout struct {
	*canary.Controller

	// stored is the record of the service that the store held last, maybe of an earlier order.
	stored *mesh.Rollout

	// writing is true while a record is being stored. After a failure, retryAt is the time of the
	// next try.
	writing bool
	retryAt time.Time

	// rewriteUntil is the time until which the deciding host writes the record again, since the store
	// may have lost it; zero when it has not.
	rewriteUntil time.Time

	// faultLogged is true once the fault that this host found has been logged.
	faultLogged bool
}

// rolloutHost is what another host has reported last.
type rolloutHost struct {
	targets []beat.TargetVersion
	steps   map[mesh.ServiceName]canary.Stage
}

// tallyKey identifies a count.
type tallyKey struct {
	service mesh.ServiceName
	version mesh.VersionName
	route   string
}

func newRolloutDuty(vars *expvar.Map, st Settings, self mesh.Host, log logs.Log) (d *rolloutDuty) {
	d = &rolloutDuty{
		events: ring.New(vars, "rollout", rolloutRing), self: self, started: time.Now(), log: log, repliedAt: make(map[netip.AddrPort]time.Time),
		bounds:   canary.Bounds{Share: st.ExposureShare, Slack: st.ExposureSlack, Rollback: st.RollbackTime},
		rollouts: make(map[mesh.ServiceName]*rollout), barred: make(map[mesh.ServiceName][]mesh.VersionName),
		versions: make(map[targetKey]mesh.VersionName), hosts: make(map[netip.AddrPort]rolloutHost), faults: make(map[faultKey]*beat.Fault),
		ledger: canary.NewLedger(), tallies: make(map[tallyKey]*mesh.VersionTally), reports: new(expvar.Int),
	}
	vars.Set("rollout-reports-sent", d.reports)
	vars.Set("rollouts", expvar.Func(func() any { return d.vars.Load() }))
	return d
}

// Name implements mesh.Duty.
func (d *rolloutDuty) Name() string { return "rollout" }

// View returns the versions that may get requests now.
func (d *rolloutDuty) View() (v *versionView) {
	if v = d.view.Load(); v == nil {
		return noVersions
	}
	return v
}

// noVersions is the view without roll-outs.
var noVersions = new(versionView)

// rolloutReported carries the report of another host.
type rolloutReported struct{ report *beat.RolloutReport }

// attemptStarted is sent when a request is sent to a target.
type attemptStarted struct{ key tallyKey }

// attemptAnswered is sent when a target has answered a request.
type attemptAnswered struct {
	key     tallyKey
	failed  bool
	latency time.Duration

	// cold is true when the target was in its cold start, whose latency says nothing about its
	// version.
	cold bool
}

// EventName implements mesh.Event.
func (rolloutReported) EventName() string { return "rollout-reported" }

// EventName implements mesh.Event.
func (attemptStarted) EventName() string { return "attempt-started" }

// EventName implements mesh.Event.
func (attemptAnswered) EventName() string { return "attempt-answered" }

// Started counts a request that is sent to a target while a roll-out of its service is running.
func (d *rolloutDuty) Started(call *mesh.Call, to mesh.Endpoint) (counted bool) {
	if r := d.View().rule(call.TargetService()); r == nil || !r.counted {
		return false
	}
	d.events.Offer(attemptStarted{key: newTallyKey(call, to)})
	return true
}

// Ended counts the answer to a request that Started has counted. A request that the target had not
// answered by the deadline counts as a slow answer.
func (d *rolloutDuty) Ended(call *mesh.Call, to mesh.Endpoint, started time.Time, answer *mesh.Answer, refusal *mesh.Refusal) {
	e := attemptAnswered{key: newTallyKey(call, to), latency: time.Since(started), cold: to.Target.ColdUntil.After(started)}
	switch {
	case refusal != nil:
		if refusal.Outcome != header.Unknown || refusal.Code != header.DeadlineExceeded || e.cold {
			return
		}
	case answer.Status == http.StatusGatewayTimeout && e.cold:
		return
	default:
		e.failed = answer.Status >= http.StatusInternalServerError
	}
	d.events.Offer(e)
}

func newTallyKey(call *mesh.Call, to mesh.Endpoint) (k tallyKey) {
	return tallyKey{service: call.TargetService(), version: to.Target.Version, route: call.Route.Name}
}

// Run implements mesh.Duty. Without orders, the duty blocks on its ring.
func (d *rolloutDuty) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(rolloutTick)
	defer ticker.Stop()
	ticking := true
	for {
		if active := d.active(time.Now()); active != ticking {
			ticking = active
			if active {
				ticker.Reset(rolloutTick)
			} else {
				ticker.Stop()
				d.forgetSilent()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.tick(now)
		case e := <-d.events.Events():
			d.handle(time.Now(), e)
		}
	}
}

// active reports whether this host reports to others: while an order is open, shortly after its
// end, and while its own target is of a version that gets no requests.
func (d *rolloutDuty) active(now time.Time) bool {
	for service, r := range d.rollouts {
		if !r.Ended() || now.Sub(r.Since()) < rolloutLinger || now.Before(r.rewriteUntil) || d.View().rule(service).settling() {
			return true
		}
	}
	own := d.gate.current.Load()
	return own != nil && slices.Contains(d.barred[own.Service], own.Version)
}

// settling reports whether the rule still belongs to a roll-out that has ended.
func (r *versionRule) settling() bool { return r != nil && r.to != "" }

func (d *rolloutDuty) handle(now time.Time, e mesh.Event) {
	switch e := e.(type) {
	case attemptStarted:
		d.tally(e.key).Sent++
	case attemptAnswered:
		d.count(e)
	case configChanged:
		d.applyConfig(now, e.activeConfig)
	case rolloutReported:
		d.receive(now, e.report)
	case faultReported:
		d.receiveFault(e.fault)
	case advanced:
		d.finishAdvance(now, e)
	case rolloutsRead:
		d.adoptStored(now, e)
	}
}

func (d *rolloutDuty) tally(key tallyKey) (t *mesh.VersionTally) {
	t = d.tallies[key]
	if t == nil {
		t = &mesh.VersionTally{Service: key.service, Version: key.version, Route: key.route}
		d.tallies[key] = t
	}
	return t
}

func (d *rolloutDuty) count(e attemptAnswered) {
	t := d.tally(e.key)
	t.Answers++
	if e.failed {
		t.Failures++
	}
	if !e.cold {
		t.Latencies[latencyBucket(e.latency)]++
	}
}

// latencyBucket returns the index in mesh.LatencyBuckets for a latency.
func latencyBucket(latency time.Duration) (bucket int) {
	if latency < time.Millisecond {
		return 0
	}
	return min(len(mesh.LatencyBuckets{})-1, 1+int(2*math.Log2(float64(latency)/float64(time.Millisecond))))
}

// applyConfig takes over the orders of a new configuration.
func (d *rolloutDuty) applyConfig(now time.Time, config *activeConfig) {
	if d.bounds.Share == 0 || d.store == nil {
		return
	}
	for _, o := range config.Orders {
		if r := d.rollouts[o.Service]; r != nil {
			d.rename(now, r, o)
		}
	}
	d.config = config
	ordered := make(map[mesh.ServiceName]mesh.StoreVersion, len(config.Orders))
	for _, o := range config.Orders {
		ordered[o.Service] = o.Revision
		d.follows(now, o)
	}
	for service, r := range d.rollouts {
		if o := r.Order(); !o.Revision.After(config.AsOf) && ordered[service] != o.Revision {
			r.Withdraw()
		}
	}
	d.publish(now)
}

// follows returns the state of an order, or nil when a later order for its service is known. A later
// order takes the place of an earlier one, whose version gets no more requests unless its roll-out
// was complete.
func (d *rolloutDuty) follows(now time.Time, o mesh.RolloutOrder) (r *rollout) {
	r = d.rollouts[o.Service]
	switch {
	case r != nil && r.Order().Revision == o.Revision:
		return r
	case r != nil && d.rename(now, r, o):
		return r
	case r != nil && r.Order().Revision.After(o.Revision):
		return nil
	}
	next := &rollout{Controller: canary.New(now, o, d.bounds)}
	if r != nil {
		next.stored = r.stored
		if record := r.Record(); record == nil || record.Share < 1 {
			d.bar(o.Service, r.Order().To)
		}
	}
	// A host that has started since the store came back may not know yet what the store has lost.
	if d.config != nil && o.Revision.Era == d.config.AsOf.Era && !o.Revision.After(d.config.AsOf) && !slices.ContainsFunc(d.config.Orders, func(known mesh.RolloutOrder) bool { return known.Revision == o.Revision }) {
		next.Withdraw()
	}
	d.unbar(o.Service, o.To)
	d.rollouts[o.Service] = next
	d.readAt = time.Time{}
	d.log.InfoFields("an order for a roll-out was received", logs.Fields{
		"service": o.Service, "to": o.To, "limit": o.Limit.String(), "revision": o.Revision.String(),
	})
	return next
}

// rename lets the roll-out go on under the revision that its order has in a later era of the store. It
// reports false if o is another order, such as one that operators give after they have withdrawn the
// first.
func (d *rolloutDuty) rename(now time.Time, r *rollout, o mesh.RolloutOrder) (renamed bool) {
	known := r.Order()
	if !o.Repeats(&known) || d.config == nil || !slices.Contains(d.config.Orders, known) {
		return false
	}
	r.Rename(o.Revision)
	if r.Record() != nil {
		r.rewriteUntil = now.Add(rolloutLinger)
	}
	d.log.InfoFields("a roll-out goes on in another era of the store", logs.Fields{
		"service": o.Service, "to": o.To, "before": known.Revision.String(), "revision": o.Revision.String(),
	})
	return true
}

func (d *rolloutDuty) bar(service mesh.ServiceName, version mesh.VersionName) {
	if !slices.Contains(d.barred[service], version) {
		d.barred[service] = append(slices.Clone(d.barred[service]), version)
	}
}

func (d *rolloutDuty) unbar(service mesh.ServiceName, version mesh.VersionName) {
	d.barred[service] = slices.DeleteFunc(slices.Clone(d.barred[service]), func(v mesh.VersionName) bool { return v == version })
}

// adopt takes over a stored record and reports whether it is new to this host.
func (d *rolloutDuty) adopt(now time.Time, record mesh.Rollout) (adopted bool) {
	r := d.follows(now, record.Order)
	if r == nil || !r.Adopt(now, record) {
		return false
	}
	d.logStep(r, "a step of a roll-out is in force")
	if r.Ended() && record.Share < 1 {
		d.bar(record.Order.Service, record.Order.To)
	}
	return true
}

func (d *rolloutDuty) logStep(r *rollout, message string) {
	record := r.Record()
	toNew, all := r.Exposure()
	d.log.InfoFields(message, logs.Fields{
		"service": record.Order.Service, "to": record.Order.To, "state": record.State.String(), "step": record.Step, "share": record.Share,
		"elapsed-ms": record.Elapsed.Milliseconds(), "reason": record.Reason, "sent-to-new": toNew, "sent": all,
	})
}

// tick compares the versions, decides where this host is the one that does, and reports.
func (d *rolloutDuty) tick(now time.Time) {
	own := slices.Collect(func(yield func(t mesh.VersionTally) bool) {
		for _, t := range d.tallies {
			if !yield(*t) {
				return
			}
		}
	})
	d.ledger.Apply(d.self.Addr, d.self.Incarnation, own)
	for service, r := range d.rollouts {
		r.Observe(now, d.ledger.Totals(service, r.Order().To))
		if r.Fault() != "" && !r.faultLogged {
			r.faultLogged = true
			d.log.InfoFields("the new version is bad; this host sends it no more requests", logs.Fields{"service": service, "to": r.Order().To, "reason": r.Fault()})
		}
		if !r.Ended() || now.Before(r.rewriteUntil) {
			d.decide(now, service, r)
		}
	}
	d.publish(now)
	d.sendDue(now)
}

// publish publishes the versions that may get requests now.
func (d *rolloutDuty) publish(now time.Time) {
	v := &versionView{rules: make(map[mesh.ServiceName]*versionRule), versions: maps.Clone(d.versions)}
	for service, barred := range d.barred {
		if len(barred) > 0 {
			v.rules[service] = &versionRule{barred: barred}
		}
	}
	for service, r := range d.rollouts {
		if r.Ended() && (r.Record().Share < 1 || now.Sub(r.Since()) >= rolloutLinger) {
			continue
		}
		v.rules[service] = &versionRule{to: r.Order().To, share: r.Share(now), counted: !r.Ended(), barred: d.barred[service]}
	}
	d.view.Store(v)
	d.publishVars(now)
}
