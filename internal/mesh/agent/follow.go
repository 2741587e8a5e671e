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

	// minBackoff is the wait after the first failed read of the store; it
	// doubles up to longestWait. Each wait is spread by up to its half, so
	// that nodes which lost the store together do not return together.
	minBackoff   = 50 * time.Millisecond
	maxBackoff = time.Second

	// readTimeout bounds one read of the store, which takes a few
	// milliseconds unless the store is slow.
	readTimeout = 3 * time.Second
)

// activeConfig is what this node follows now. It never changes.
type activeConfig struct {
	mesh.FleetConfig
	index *rules.Index

	// zonesOutDigest is a digest of the zones that are out.
	zonesOutDigest uint64
}

// followDuty owns the orders in force. Full ring: orders wait, since both
// senders have nothing else to do.
type followDuty struct {
	events *ring.Ring
	view   atomic.Pointer[activeConfig]
	log    logs.Log

	// told are the duties that act on orders.
	member *memberDuty
	quota  *quotaDuty
	gate   *gateDuty
	probe  *probeDuty
}

func newFollowDuty(vars *expvar.Map, log logs.Log) (d *followDuty) {
	d = &followDuty{events: ring.New(vars, "follow", followRing), log: log}
	vars.Set("rules-version", expvar.Func(func() any {
		if v := d.view.Load(); v != nil && v.Rules != nil {
			return v.Rules.Version
		}
		return 0
	}))
	return d
}

// Name implements mesh.Duty.
func (d *followDuty) Name() string { return "follow" }

// configReceived brings orders from the store or from another node.
type configReceived struct {
	config mesh.FleetConfig
	from   string
}

// EventName implements mesh.Event.
func (configReceived) EventName() string { return "heard-orders" }

// View returns what is in force, or nil while no rules are known.
func (d *followDuty) View() (v *activeConfig) {
	v = d.view.Load()
	if v == nil || v.index == nil {
		return nil
	}
	return v
}

// Run implements mesh.Duty.
func (d *followDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			received := e.(configReceived)
			d.apply(ctx, received)
		}
	}
}

func (d *followDuty) apply(ctx context.Context, received configReceived) {
	current := d.view.Load()
	if current == nil {
		current = new(activeConfig)
	}
	merged, changed := rules.Merge(current.FleetConfig, received.config)
	next := &activeConfig{FleetConfig: merged, index: current.index, zonesOutDigest: current.zonesOutDigest}
	if !changed && current.index != nil {
		d.view.Store(next)
		return
	}
	if merged.Rules != nil && (current.index == nil || merged.Rules != current.index.Rules) {
		next.index = rules.NewIndex(merged.Rules)
	}
	next.zonesOutDigest = digestZones(merged.ZonesOut)
	d.view.Store(next)
	fields := logs.Fields{"as-of": merged.AsOf, "zones-out": merged.ZonesOut, "from": received.from}
	if merged.Rules != nil {
		fields["rules-version"] = merged.Rules.Version
	}
	d.log.InfoFields("new orders are in force", fields)
	_ = d.member.events.Send(ctx, configChanged{next})
	_ = d.quota.events.Send(ctx, configChanged{next})
	_ = d.gate.events.Send(ctx, configChanged{next})
	d.probe.events.Offer(configChanged{next})
}

// configChanged tells a duty what is in force from now on.
type configChanged struct{ *activeConfig }

// EventName implements mesh.Event.
func (configChanged) EventName() string { return "new-orders" }

func digestZones(zones []mesh.ZoneName) (sum uint64) {
	for _, z := range zones {
		sum = sum*31 + xxhash.Sum64String(string(z))
	}
	return sum
}

// watchDuty reads the orders from the store and waits for their changes. It is
// the only duty that waits for the store while the node serves.
type watchDuty struct {
	source mesh.ConfigSource
	follow *followDuty
	log    logs.Log
}

// Name implements mesh.Duty.
func (d *watchDuty) Name() string { return "watch" }

// Run implements mesh.Duty.
func (d *watchDuty) Run(ctx context.Context) (err error) {
	var last mesh.FleetConfig
	synced, failures := false, 0
	for ctx.Err() == nil {
		next, err := d.next(ctx, last, synced)
		switch {
		case errors.Is(err, mesh.ErrHistoryDropped):
			d.log.Infof("the store dropped the changes since state %d; everything is read again.", last.AsOf)
			synced = false
			continue
		case err != nil:
			if failures == 0 && ctx.Err() == nil {
				d.log.Warnf("the store is lost; rules of state %d stay in force: %v.", last.AsOf, err)
			}
			failures++
			// A change may have been missed, but its history is still there.
			sleep(ctx, backoff(failures))
			continue
		}
		if failures > 0 {
			d.log.Infof("the store is regained after %d failed reads.", failures)
		}
		failures = 0
		last, synced = next, true
		if err := d.follow.events.Send(ctx, configReceived{config: next, from: "store"}); err != nil {
			return nil
		}
	}
	return nil
}

func (d *watchDuty) next(ctx context.Context, last mesh.FleetConfig, synced bool) (config mesh.FleetConfig, err error) {
	if synced {
		return d.source.Next(ctx, last)
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return d.source.Read(ctx)
}

func backoff(failures int) (d time.Duration) {
	d = min(maxBackoff, minBackoff<<min(failures-1, 10))
	return d + rand.N(d/2+1)
}

// sleep sleeps and reports false when ctx ends first.
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
