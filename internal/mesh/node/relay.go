package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/retry"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// relay takes a call to a target and repeats it where that is allowed. It
// returns what is left of the call's retry budget.
func (f *front) relay(ctx context.Context, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	pot := retry.NewPot(call.Attempts)
	var tried []netip.AddrPort
	for attempt := 0; ; attempt++ {
		if refusal := f.stillValid(call); refusal != nil {
			return nil, pot.Left(), refusal
		}
		to, refusal := f.route.Pick(call, tried)
		if refusal != nil {
			return nil, pot.Left(), refusal
		}
		try := *call
		try.Attempts = pot.TakeAll()
		answer, left, refusal := f.attempt(ctx, to, &try, payload)
		pot.Return(try.Attempts, left)
		if refusal == nil {
			return answer, pot.Left(), nil
		}
		tried = append(tried, to.Host)
		if !mayRetry(call, refusal) || !pot.Spend() || !wait(ctx, retry.Backoff(attempt)) {
			return nil, pot.Left(), refusal
		}
	}
}

// stillValid checks again what may have changed while a call waited.
func (f *front) stillValid(call *mesh.Call) (refusal *mesh.Refusal) {
	now := time.Now()
	if call.Remaining(now) <= 0 {
		return mesh.NotRun(header.DeadlineExceeded, "the deadline passed before the request was sent")
	}
	if call.Organisation == "" {
		return nil
	}
	_, refusal = f.config.View().Organisation(now, call.Key)
	return refusal
}

// mayRetry reports whether another attempt cannot run a request twice that
// must not.
func mayRetry(call *mesh.Call, refusal *mesh.Refusal) (allowed bool) {
	if refusal.Outcome == header.NotRun {
		return refusal.Code.Retryable()
	}
	return call.Route.Idempotent && refusal.Code == header.AnswerLost
}

// wait sleeps and reports false when ctx ends first.
func wait(ctx context.Context, d time.Duration) (slept bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends a call to one target, over a link or on this host.
func (f *front) attempt(ctx context.Context, to mesh.Endpoint, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	if to.Host == f.settings.PeerListen {
		answer, left, refusal = f.serve(ctx, to.Target.Addr, call, payload)
	} else {
		answer, left, refusal = f.carrier.Carry(ctx, to, call, payload)
	}
	report := mesh.LinkReport{To: to, Call: call, Refusal: refusal, Level: mesh.ClassLow}
	if refusal != nil {
		report.Level = levelOf(refusal)
	} else {
		report.Load, report.Level = answer.Load, answer.Level
	}
	f.route.events.Offer(linkResult{report: report})
	return answer, left, refusal
}
