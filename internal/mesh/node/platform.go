package node

import (
	"context"
	"expvar"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
)

// platformRing is the capacity of the queue of platform jobs.
const platformRing = 64

// platformJob is a request to the platform. Do sends the result to the duty that
// requested it.
type platformJob interface {
	mesh.Event
	Do(ctx context.Context, platform mesh.Platform)
}

// platformDuty runs the platform requests of other duties, so that a slow platform does
// not block them. When its queue is full, jobs are rejected.
type platformDuty struct {
	name     string
	platform mesh.Platform
	jobs     *ring.Ring
}

func newPlatformDuty(vars *expvar.Map, name string, platform mesh.Platform) (d *platformDuty) {
	return &platformDuty{name: name, platform: platform, jobs: ring.New(vars, name, platformRing)}
}

// Name implements mesh.Duty.
func (d *platformDuty) Name() string { return d.name }

// Run implements mesh.Duty.
func (d *platformDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.jobs.Events():
			e.(platformJob).Do(ctx, d.platform)
		}
	}
}
