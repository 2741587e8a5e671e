package agent

import (
	"context"
	"expvar"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
)

// usageReadTime is how long a node that has started tries to read the stored usage. After a window of the
// contracts, nothing from before the start counts.
const usageReadTime = 5 * time.Second

// usageDuty reads the stored usage of contracts when the node starts, and stores it for the quota duty,
// which must not wait for the store. Its ring holds one event: the quota duty awaits the result.
type usageDuty struct {
	events *ring.Ring
	store  mesh.UsageStore
	zone   mesh.ZoneName
	quota  *quotaDuty
	log    logs.Log
	stored *expvar.Int
}

func newUsageDuty(vars *expvar.Map, store mesh.UsageStore, zone mesh.ZoneName, quota *quotaDuty, log logs.Log) (d *usageDuty) {
	d = &usageDuty{events: ring.New(vars, "usage", 1), store: store, zone: zone, quota: quota, log: log, stored: new(expvar.Int)}
	vars.Set("usage-stored", d.stored)
	return d
}

// storeUsage asks for the usage to be stored.
type storeUsage struct {
	usage map[mesh.OrganisationName]mesh.ContractUsage
}

// usageRead carries the stored usage.
type usageRead struct {
	usage map[mesh.OrganisationName]mesh.ContractUsage
}

// usageStored is the result of storeUsage.
type usageStored struct {
	usage map[mesh.OrganisationName]mesh.ContractUsage
	err   error
}

// EventName implements mesh.Event.
func (storeUsage) EventName() string { return "store-usage" }

// EventName implements mesh.Event.
func (usageRead) EventName() string { return "usage-read" }

// EventName implements mesh.Event.
func (usageStored) EventName() string { return "usage-stored" }

// Name implements mesh.Duty.
func (d *usageDuty) Name() string { return "usage" }

// Run implements mesh.Duty.
func (d *usageDuty) Run(ctx context.Context) (err error) {
	if usage, found := d.read(ctx); found && d.quota.events.Send(ctx, usageRead{usage: usage}) != nil {
		return nil
	}
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			usage := e.(storeUsage).usage
			err := d.write(ctx, usage)
			switch {
			case err == nil:
				failures = 0
				d.stored.Add(1)
			default:
				if failures == 0 && ctx.Err() == nil {
					d.log.Warnf("storing the usage of contracts failed; trying again: %v.", err)
				}
				failures++
				sleep(ctx, backoff(failures))
			}
			if d.quota.events.Send(ctx, usageStored{usage: usage, err: err}) != nil {
				return nil
			}
		}
	}
}

// read returns the stored usage. It reports false when that could not be read in time.
func (d *usageDuty) read(ctx context.Context) (usage map[mesh.OrganisationName]mesh.ContractUsage, found bool) {
	ctx, cancel := context.WithTimeout(ctx, usageReadTime)
	defer cancel()
	for failures := 1; ctx.Err() == nil; failures++ {
		usage, err := d.store.Usage(ctx)
		if err == nil {
			return usage, true
		}
		if failures == 1 {
			d.log.Warnf("reading the usage of contracts failed; retrying for %v: %v.", usageReadTime, err)
		}
		sleep(ctx, backoff(failures))
	}
	return nil, false
}

func (d *usageDuty) write(ctx context.Context, usage map[mesh.OrganisationName]mesh.ContractUsage) (err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return d.store.StoreUsage(ctx, d.zone, usage)
}
