package node

import (
	"context"
	"expvar"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
)

// platformRing is how many jobs may wait for the platform.
const platformRing = 64

// platformJob is a request to the platform. Do hands its outcome to the duty
// that waits for it.
type platformJob interface {
	mesh.Event
	Do(ctx context.Context, platform mesh.Platform)
}

// platformDuty is the only one that talks to the platform, so that a slow
// platform holds up nothing else. Full ring: the job is refused.
type platformDuty struct {
	platform mesh.Platform
	jobs     *ring.Ring
}

func newPlatformDuty(vars *expvar.Map, platform mesh.Platform) (d *platformDuty) {
	return &platformDuty{platform: platform, jobs: ring.New(vars, "platform", platformRing)}
}

// Name implements mesh.Duty.
func (d *platformDuty) Name() string { return "platform" }

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
