package node

import (
	"context"
	"errors"
	"expvar"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const claimRing = 1024

// claimDuty owns the claims of non-idempotent requests that are not yet
// written. It implements mesh.Claimer. Full ring: the request is refused.
type claimDuty struct {
	events   *ring.Ring
	platform mesh.Platform
	log      logs.Log
}

func newClaimDuty(vars *expvar.Map, platform mesh.Platform, log logs.Log) (d *claimDuty) {
	return &claimDuty{events: ring.New(vars, "claim", claimRing), platform: platform, log: log}
}

// Name implements mesh.Duty.
func (d *claimDuty) Name() string { return "claim" }

type claimRequest struct {
	call  *mesh.Call
	reply ring.Reply
}

type claimAnswer struct{ refusal *mesh.Refusal }

// EventName implements mesh.Event.
func (claimRequest) EventName() string { return "claim-request" }

// EventName implements mesh.Event.
func (claimAnswer) EventName() string { return "claim-answer" }

// Claim implements mesh.Claimer.
func (d *claimDuty) Claim(ctx context.Context, call *mesh.Call) (refusal *mesh.Refusal) {
	reply := ring.NewReply()
	if !d.events.Offer(claimRequest{call: call, reply: reply}) {
		return mesh.NotRun(header.NodeBusy, "the node has no room to record the request")
	}
	select {
	case e := <-reply.Events():
		return e.(claimAnswer).refusal
	case <-ctx.Done():
		return mesh.NotRun(header.DeadlineExceeded, "the deadline passed while the request was recorded")
	}
}

// Release implements mesh.Claimer.
func (d *claimDuty) Release(*mesh.Call) {}

// Run implements mesh.Duty.
func (d *claimDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			if e, isClaim := e.(claimRequest); isClaim {
				e.reply.Answer(claimAnswer{refusal: d.write(ctx, e.call)})
			}
		}
	}
}

func (d *claimDuty) write(ctx context.Context, call *mesh.Call) (refusal *mesh.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	key := "claim/" + string(call.Organisation) + "/" + call.ID.String()
	nonce := uuid.New()
	err := d.platform.Commit(ctx, []mesh.Write{{Key: key, Value: nonce[:], Condition: mesh.IfAbsent}})
	var conflict *mesh.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return mesh.Unknown(header.AlreadyClaimed, "request %s was started before", call.ID)
	default:
		return mesh.NotRun(header.ClaimUnavailable, "the request could not be recorded at the platform")
	}
}
