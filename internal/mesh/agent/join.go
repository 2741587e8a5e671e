package agent

import (
	"context"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
)

// joinDuty lists this host in the registry and reads the other hosts once.
// Whoever lists itself later beats to this node. Of two nodes that start
// together at least one finds the other, since each writes before it reads.
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
			d.log.InfoFields("the hosts of the fleet are read", logs.Fields{"hosts": len(hosts)})
			_ = d.member.events.Send(ctx, listedHosts{hosts: hosts})
			break
		}
		if ctx.Err() != nil {
			return nil
		}
		d.log.Warnf("the host is not listed yet: %v.", err)
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
