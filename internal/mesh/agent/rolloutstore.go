package agent

import (
	"context"
	"expvar"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
)

const rolloutStoreRing = 16

// rolloutStoreDuty reads and writes the progress of roll-outs in the store for the rollout duty,
// which must not wait for it. When its ring is full, requests are dropped; the rollout duty repeats
// them.
type rolloutStoreDuty struct {
	events   *ring.Ring
	store    mesh.RolloutStore
	rollouts *rolloutDuty
}

func newRolloutStoreDuty(vars *expvar.Map, store mesh.RolloutStore, rollouts *rolloutDuty) (d *rolloutStoreDuty) {
	return &rolloutStoreDuty{events: ring.New(vars, "rollout-store", rolloutStoreRing), store: store, rollouts: rollouts}
}

// Name implements mesh.Duty.
func (d *rolloutStoreDuty) Name() string { return "rollout-store" }

// advanceRequest asks for a record to be stored in place of last.
type advanceRequest struct {
	last *mesh.Rollout
	next mesh.Rollout
}

// readRequest asks for all stored records.
type readRequest struct{}

// advanced is the result of an advanceRequest.
type advanced struct {
	next, stored mesh.Rollout
	err          error
}

// rolloutsRead is the result of a readRequest.
type rolloutsRead struct {
	stored []mesh.Rollout
	err    error
}

// EventName implements mesh.Event.
func (advanceRequest) EventName() string { return "advance" }

// EventName implements mesh.Event.
func (readRequest) EventName() string { return "read-rollouts" }

// EventName implements mesh.Event.
func (advanced) EventName() string { return "advanced" }

// EventName implements mesh.Event.
func (rolloutsRead) EventName() string { return "rollouts-read" }

// Run implements mesh.Duty.
func (d *rolloutStoreDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			if d.rollouts.events.Send(ctx, d.handle(ctx, e)) != nil {
				return nil
			}
		}
	}
}

func (d *rolloutStoreDuty) handle(ctx context.Context, e mesh.Event) (result mesh.Event) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if a, ok := e.(advanceRequest); ok {
		stored, err := d.store.Advance(ctx, a.last, a.next)
		return advanced{next: a.next, stored: stored, err: err}
	}
	stored, err := d.store.Rollouts(ctx)
	return rolloutsRead{stored: stored, err: err}
}
