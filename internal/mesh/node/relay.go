package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/retry"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// relay takes a call to a target and repeats it where that is allowed. It
// returns what is left of the call's retry budget.
func (f *front) relay(ctx context.Context, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	pot := retry.NewAttemptBudget(call.AttemptsLeft)
	var tried []netip.AddrPort
	for attempt := 0; ; attempt++ {
		to, failure := f.choose(call, tried)
		if failure != nil {
			return nil, pot.Left(), latter(refusal, failure)
		}
		try := *call
		try.AttemptsLeft = pot.DelegateAllBut(keptAttempts(call))
		f.calls.Called(to.Host)
		answer, left, failure := f.attempt(ctx, to, &try, payload)
		pot.Return(try.AttemptsLeft, left)
		if failure == nil {
			return answer, pot.Left(), nil
		}
		tried = append(tried, to.Host)
		refusal = latter(refusal, failure)
		if !mayRetry(call, failure) || !f.takeRetry(ctx, call, to, pot, attempt) {
			return nil, pot.Left(), refusal
		}
	}
}

// keptAttempts returns how much of the retry budget stays here while a call is
// under way. What goes along is lost with a lost answer, and only an idempotent
// call may be repeated after one.
func keptAttempts(call *mesh.Call) (attempts int) {
	if call.Route.Idempotent {
		return 1
	}
	return 0
}

// choose returns the target of the next attempt.
func (f *front) choose(call *mesh.Call, tried []netip.AddrPort) (to mesh.Endpoint, refusal *mesh.Refusal) {
	if refusal := f.stillValid(call); refusal != nil {
		return to, refusal
	}
	return f.route.Pick(call, tried)
}

// latter returns how a request ends whose attempts ended as earlier and then as
// last. An attempt that may have run makes the outcome unknown, whatever
// follows.
func latter(earlier, last *mesh.Refusal) (refusal *mesh.Refusal) {
	switch {
	case earlier == nil:
		return last
	case earlier.Outcome == header.Unknown && last.Outcome == header.NotRun, last.Code == header.NoTarget:
		return earlier
	default:
		return last
	}
}

// takeRetry waits for the next attempt, or reports false when the budgets or
// the deadline leave none.
func (f *front) takeRetry(ctx context.Context, call *mesh.Call, failed mesh.Endpoint, pot *retry.AttemptBudget, attempt int) (allowed bool) {
	backoff := retry.Backoff(attempt, rand.Int64N)
	if pot.Left() == 0 || backoff >= call.Remaining(time.Now()) {
		return false
	}
	if !f.calls.MayRetry(failed.Host, f.config.View().Index.Fleet.RetryRatio) {
		return false
	}
	return pot.Spend() && wait(ctx, backoff)
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
		answer, left, refusal = f.carrier.SendCall(ctx, to, call, payload)
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
