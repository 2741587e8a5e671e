package agent

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
)

// rejoinPerHost is the time for each host of the fleet over which all of them register again after the
// store has come back from a copy. A host makes one write and a read for each zone and the list of
// zones, so that the smallest stores, with 400 writes and 2,000 reads a second, have room left at up to
// 11 zones. Hosts that start meanwhile admit little under a contract for the first 5 s; a fleet of up
// to 300 hosts has registered by then.
const rejoinPerHost = 10 * time.Millisecond

// joinDuty registers this host and reads the other registered hosts, once in each era of the store.
// Hosts that register later send their heartbeats to this node. When two nodes register, at least one
// finds the other, since each registers before it reads. Its ring holds one event, since each says the
// same.
type joinDuty struct {
	events   *ring.Ring
	registry mesh.HostRegistry
	self     mesh.Host
	follow   *followDuty
	member   *memberDuty
	log      logs.Log
}

func newJoinDuty(vars *expvar.Map, registry mesh.HostRegistry, self mesh.Host, follow *followDuty, member *memberDuty, log logs.Log) (d *joinDuty) {
	return &joinDuty{events: ring.New(vars, "join", 1), registry: registry, self: self, follow: follow, member: member, log: log}
}

// eraBegan notifies the join duty that another era of the store has begun.
type eraBegan struct{}

// EventName implements mesh.Event.
func (eraBegan) EventName() string { return "era-began" }

// Name implements mesh.Duty.
func (d *joinDuty) Name() string { return "join" }

// Run implements mesh.Duty.
func (d *joinDuty) Run(ctx context.Context) (err error) {
	for {
		era, joined := d.joinUntilDone(ctx)
		if !joined || !d.awaitEraAfter(ctx, era) {
			return nil
		}
		d.log.Infof("the store has come back from a copy, which may lack this host; registering again.")
		if !sleep(ctx, rand.N(time.Duration(d.member.View().FleetSize)*rejoinPerHost)) {
			return nil
		}
	}
}

// joinUntilDone joins until that succeeds and returns the era of the store that has this host. It
// reports false when ctx ends first.
func (d *joinDuty) joinUntilDone(ctx context.Context) (era uint64, joined bool) {
	for failures := 1; ; failures++ {
		asOf, hosts, err := d.join(ctx)
		if err == nil {
			d.log.InfoFields("loaded the registered hosts", logs.Fields{"hosts": len(hosts), "as-of": asOf.String()})
			_ = d.member.events.Send(ctx, listedHosts{hosts: hosts})
			return asOf.Era, true
		}
		if ctx.Err() != nil {
			return 0, false
		}
		d.log.Warnf("registering the host failed; retrying: %v.", err)
		sleep(ctx, backoff(failures))
	}
}

// awaitEraAfter waits until the configuration in force is of a later era than the given one. It reports
// false when ctx ends first.
func (d *joinDuty) awaitEraAfter(ctx context.Context, era uint64) (later bool) {
	for d.follow.asOf().Era <= era {
		select {
		case <-ctx.Done():
			return false
		case <-d.events.Events():
		}
	}
	return true
}

func (d *joinDuty) join(ctx context.Context) (asOf mesh.StoreVersion, hosts []mesh.Host, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if asOf, err = d.registry.Register(ctx, d.self); err != nil {
		return asOf, nil, err
	}
	hosts, err = d.registry.Hosts(ctx)
	return asOf, hosts, err
}
