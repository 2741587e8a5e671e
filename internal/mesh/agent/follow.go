package agent

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rules"
)

const (
	followRing = 64

	// minBackoff is the delay after the first failed read of the store; it doubles up to
	// maxBackoff. Random jitter of up to half the delay is added, so that nodes which lost the
	// store together do not retry at the same time.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second

	// readTimeout is the timeout of one read of the store, which normally takes a few
	// milliseconds.
	readTimeout = 3 * time.Second

	// followerWait is how long the store holds a poll for changes. Each poll that ends without a
	// change costs one call.
	followerWait = 10 * time.Second

	// leaderWait is that of one follower in each zone. A connection that is silent for good shows
	// only by the answer that does not come, so this poll has to fail soon enough: a change made
	// three seconds after the connections went silent is to be in force two seconds later. The
	// zone learns of changes from its beats.
	leaderWait = 3 * time.Second
)

// activeConfig is the configuration in force at this node. It is immutable.
type activeConfig struct {
	mesh.FleetConfig
	index *rules.Index

	// digest is a digest of the rules, of the zones that are out of service and of the orders for
	// roll-outs.
	digest uint64
}

// isOlder reports whether another node, whose configuration has the digest, knows what this
// configuration lacks. A later era counts in any case, since each host has to notice it.
func (c *activeConfig) isOlder(notice newerConfig, digest uint64) bool {
	if c.Rules == nil && notice.rulesVersion > 0 || c.Rules != nil && notice.rulesVersion > c.Rules.Version {
		return true
	}
	return notice.asOf.Era > c.AsOf.Era || notice.asOf.After(c.AsOf) && digest != c.digest || c.lacksCarried(notice)
}

// followDuty owns the configuration in force. When its ring is full, senders block: neither of
// them has other work.
type followDuty struct {
	events *ring.Ring
	view   atomic.Pointer[activeConfig]
	log    logs.Log

	// expiry fires when the carried settings end.
	expiry *time.Timer

	// These duties are notified when the configuration changes.
	member   *memberDuty
	quota    *quotaDuty
	gate     *gateDuty
	rollouts *rolloutDuty
	probe    *probeDuty

	// join is notified when another era of the store begins.
	join *joinDuty
}

func newFollowDuty(vars *expvar.Map, log logs.Log) (d *followDuty) {
	d = &followDuty{events: ring.New(vars, "follow", followRing), log: log, expiry: time.NewTimer(0)}
	d.expiry.Stop()
	vars.Set("rules-version", expvar.Func(func() any {
		if v := d.view.Load(); v != nil && v.Rules != nil {
			return v.Rules.Version
		}
		return 0
	}))
	vars.Set("store-era", expvar.Func(func() any { return d.asOf().Era }))
	vars.Set("store-version", expvar.Func(func() any { return d.asOf().Number }))
	vars.Set("carried-settings", expvar.Func(func() any {
		if v := d.view.Load(); v != nil {
			return len(v.Carried.ZonesOut) + len(v.Carried.Orders)
		}
		return 0
	}))
	return d
}

// Name implements mesh.Duty.
func (d *followDuty) Name() string { return "follow" }

// configReceived carries configuration from the store or from another node.
type configReceived struct {
	config mesh.FleetConfig
	from   string
}

// fromStore is the source of configuration that the store delivered.
const fromStore = "store"

// EventName implements mesh.Event.
func (configReceived) EventName() string { return "heard-orders" }

// View returns the configuration in force, or nil while no rules are known.
func (d *followDuty) View() (v *activeConfig) {
	v = d.view.Load()
	if v == nil || v.index == nil {
		return nil
	}
	return v
}

// asOf returns the state of the store that the configuration in force comes from.
func (d *followDuty) asOf() (v mesh.StoreVersion) {
	if c := d.view.Load(); c != nil {
		return c.AsOf
	}
	return v
}

// Run implements mesh.Duty.
func (d *followDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.expiry.C:
			d.expire(ctx, time.Now())
		case e := <-d.events.Events():
			received := e.(configReceived)
			d.apply(ctx, time.Now(), received)
		}
	}
}

func (d *followDuty) apply(ctx context.Context, now time.Time, received configReceived) {
	current := d.view.Load()
	if current == nil {
		current = new(activeConfig)
	}
	merged, changed := rules.Merge(now, current.FleetConfig, received.config)
	next := &activeConfig{FleetConfig: merged, index: current.index, digest: current.digest}
	newEra := merged.AsOf.Era != current.AsOf.Era
	if !changed && !newEra && current.index != nil {
		d.view.Store(next)
		return
	}
	d.activate(ctx, next, received.from)
	if merged.Carried.Pending() {
		d.expiry.Reset(merged.Carried.Until.Sub(now))
	}
	if newEra && current.AsOf != (mesh.StoreVersion{}) {
		d.log.Warnf("the store has come back from an older copy: it was at state %v and is at %v.", current.AsOf, merged.AsOf)
		if c := merged.Carried; c.Pending() {
			d.log.Warnf("the store lacks the zones out %v and %d orders for roll-outs; they stay in force for %v unless they are written again.",
				c.ZonesOut, len(c.Orders), rules.CarryTime)
		}
	}
	if newEra {
		d.join.events.Offer(eraBegan{})
	}
}

// expire ends the carried settings that operators have not written again.
func (d *followDuty) expire(ctx context.Context, now time.Time) {
	current := d.view.Load()
	config, changed := rules.Expire(now, current.FleetConfig)
	if !changed {
		return
	}
	d.log.Warnf("the zones out %v and %d orders for roll-outs, which the store has lost, end: they were not written again.",
		current.Carried.ZonesOut, len(current.Carried.Orders))
	d.activate(ctx, &activeConfig{FleetConfig: config, index: current.index}, "expiry")
}

// activate puts a configuration into force.
func (d *followDuty) activate(ctx context.Context, next *activeConfig, from string) {
	if next.Rules != nil && (next.index == nil || next.Rules != next.index.Rules) {
		next.index = rules.NewIndex(next.Rules)
	}
	next.digest = digestZones(next.ZonesOut) + digestOrders(next.Orders) + xxhash.Sum64(next.RulesText)
	d.view.Store(next)
	fields := logs.Fields{"as-of": next.AsOf.String(), "zones-out": next.ZonesOut, "rollout-orders": len(next.Orders), "from": from}
	if next.Rules != nil {
		fields["rules-version"] = next.Rules.Version
	}
	d.log.InfoFields("new orders are in force", fields)
	_ = d.member.events.Send(ctx, configChanged{activeConfig: next, fromStore: from == fromStore})
	_ = d.quota.events.Send(ctx, configChanged{activeConfig: next})
	_ = d.gate.events.Send(ctx, configChanged{activeConfig: next})
	_ = d.rollouts.events.Send(ctx, configChanged{activeConfig: next})
	d.probe.events.Offer(configChanged{activeConfig: next})
}

// configChanged notifies a duty of new configuration in force.
type configChanged struct {
	*activeConfig

	// fromStore is true when this host read the configuration from the store.
	fromStore bool
}

// EventName implements mesh.Event.
func (configChanged) EventName() string { return "new-orders" }

// digestOrders is zero where there are no orders, so that hosts of an earlier build compute the same
// digest then.
func digestOrders(orders []mesh.RolloutOrder) (sum uint64) {
	for _, o := range orders {
		sum = sum*31 + xxhash.Sum64String(string(o.Service)) + o.Revision.Era*31 + o.Revision.Number
	}
	return sum
}

func digestZones(zones []mesh.ZoneName) (sum uint64) {
	for _, z := range zones {
		sum = sum*31 + xxhash.Sum64String(string(z))
	}
	return sum
}

// watchDuty reads the configuration from the store once and, on the hosts that follow the store
// for their zone, watches for changes. It is the only duty that blocks on the store while the node
// serves requests. Its ring holds one event, since each says the same.
type watchDuty struct {
	events *ring.Ring
	source mesh.ConfigSource
	follow *followDuty
	member *memberDuty
	log    logs.Log
}

func newWatchDuty(vars *expvar.Map, source mesh.ConfigSource, follow *followDuty, member *memberDuty, log logs.Log) (d *watchDuty) {
	return &watchDuty{events: ring.New(vars, "watch", 1), source: source, follow: follow, member: member, log: log}
}

// followersChanged notifies the watch duty that this host has become or ceased to be one that
// follows the store.
type followersChanged struct{}

// EventName implements mesh.Event.
func (followersChanged) EventName() string { return "followers-changed" }

// awaitTurn waits until this host has to follow the store.
func (d *watchDuty) awaitTurn(ctx context.Context) {
	for ctx.Err() == nil && !d.member.View().FollowsStore {
		select {
		case <-ctx.Done():
		case <-d.events.Events():
		}
	}
}

// Name implements mesh.Duty.
func (d *watchDuty) Name() string { return "watch" }

// Run implements mesh.Duty.
func (d *watchDuty) Run(ctx context.Context) (err error) {
	var last mesh.FleetConfig
	synced, failures := false, 0
	for ctx.Err() == nil {
		if synced {
			d.awaitTurn(ctx)
		}
		next, err := d.next(ctx, last, synced, failures)
		switch {
		case errors.Is(err, mesh.ErrHistoryDropped):
			d.log.Infof("the changes since state %v of the store are not known; reading the full configuration.", last.AsOf)
			synced = false
			continue
		case err != nil:
			if failures == 0 && ctx.Err() == nil {
				d.log.Warnf("the store is lost; rules of state %v stay in force: %v.", last.AsOf, err)
			}
			failures++
			// The next read resumes from the last known state: the store keeps the history of
			// changes since, and shows when it does not have it.
			sleep(ctx, backoff(failures))
			continue
		}
		if failures > 0 {
			d.log.Infof("the store is regained after %d failed reads.", failures)
		}
		failures = 0
		last, synced = next, true
		if err := d.follow.events.Send(ctx, configReceived{config: next, from: fromStore}); err != nil {
			return nil
		}
	}
	return nil
}

func (d *watchDuty) next(ctx context.Context, last mesh.FleetConfig, synced bool, failures int) (config mesh.FleetConfig, err error) {
	switch {
	case synced && failures > 0:
		// A store that was away may have come back in another era, which its first answer shows.
		return d.source.Next(ctx, last, 0)
	case synced && d.member.View().LeadsFollowers:
		return d.source.Next(ctx, last, leaderWait)
	case synced:
		return d.source.Next(ctx, last, followerWait)
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return d.source.Read(ctx)
}

func backoff(failures int) (d time.Duration) {
	d = min(maxBackoff, minBackoff<<min(failures-1, 10))
	return d + rand.N(d/2+1)
}

// sleep waits for d. It reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) (slept bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
