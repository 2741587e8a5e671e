package agent

import (
	"context"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
)

// joinDuty registers this host and reads the other registered hosts once. Hosts that register
// later send their heartbeats to this node. When two nodes start together, at least one finds the
// other, since each registers before it reads.
type joinDuty struct {
	registry mesh.HostRegistry
	self     mesh.Host
	member   *memberDuty
	log      logs.Log
}

// Name implements mesh.Duty.
func (d *joinDuty) Name() string { return "join" }

// Run implements mesh.Duty.
func (d *joinDuty) Run(ctx context.Context) (err error) {
	for failures := 1; ; failures++ {
		hosts, err := d.join(ctx)
		if err == nil {
			d.log.InfoFields("loaded the registered hosts", logs.Fields{"hosts": len(hosts)})
			_ = d.member.events.Send(ctx, listedHosts{hosts: hosts})
			break
		}
		if ctx.Err() != nil {
			return nil
		}
		d.log.Warnf("registering the host failed; retrying: %v.", err)
		sleep(ctx, backoff(failures))
	}
	<-ctx.Done()
	return nil
}

func (d *joinDuty) join(ctx context.Context) (hosts []mesh.Host, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := d.registry.Register(ctx, d.self); err != nil {
		return nil, err
	}
	return d.registry.Hosts(ctx)
}
