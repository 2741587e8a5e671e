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

// relay sends a call to a target and retries it where that is allowed. It returns
// the remaining retry budget of the call.
func (rh *requestHandler) relay(ctx context.Context, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	budget := retry.NewAttemptBudget(call.AttemptsLeft)
	var tried []netip.AddrPort
	for attempt := 0; ; attempt++ {
		to, failure := rh.choose(call, tried)
		if failure != nil {
			return nil, budget.Left(), mergeRefusals(refusal, failure)
		}
		attemptCall := *call
		attemptCall.AttemptsLeft = budget.DelegateAllBut(retainedAttempts(call))
		rh.calls.CountCall(to.Host)
		answer, left, failure := rh.attempt(ctx, to, &attemptCall, payload)
		budget.Return(attemptCall.AttemptsLeft, left)
		if failure == nil {
			return answer, budget.Left(), nil
		}
		tried = append(tried, to.Host)
		refusal = mergeRefusals(refusal, failure)
		if !mayRetry(call, failure) || !rh.waitForRetry(ctx, call, to, budget, attempt) {
			return nil, budget.Left(), refusal
		}
	}
}

// retainedAttempts returns how many attempts of the retry budget this node retains
// while a call is in flight. The delegated attempts are lost when the answer is
// lost, and only an idempotent call may be retried after that.
func retainedAttempts(call *mesh.Call) (attempts int) {
	if call.Route.Idempotent {
		return 1
	}
	return 0
}

// choose selects the target for the next attempt.
func (rh *requestHandler) choose(call *mesh.Call, tried []netip.AddrPort) (to mesh.Endpoint, refusal *mesh.Refusal) {
	if refusal := rh.revalidate(call); refusal != nil {
		return to, refusal
	}
	return rh.route.Pick(call, tried)
}

// mergeRefusals returns the refusal of a request from the refusals of its earlier
// and its last attempts. After an attempt that may have run, the outcome stays
// unknown.
func mergeRefusals(earlier, last *mesh.Refusal) (refusal *mesh.Refusal) {
	switch {
	case earlier == nil:
		return last
	case earlier.Outcome == header.Unknown && last.Outcome == header.NotRun, last.Code == header.NoTarget:
		return earlier
	default:
		return last
	}
}

// waitForRetry waits for the backoff before the next attempt. It reports false when
// the retry budget of the call or of the link is exhausted, or when the deadline
// does not allow another attempt.
func (rh *requestHandler) waitForRetry(ctx context.Context, call *mesh.Call, failed mesh.Endpoint, budget *retry.AttemptBudget, attempt int) (allowed bool) {
	backoff := retry.Backoff(attempt, rand.Int64N)
	if budget.Left() == 0 || backoff >= call.Remaining(time.Now()) {
		return false
	}
	if !rh.calls.AllowRetry(failed.Host, rh.config.View().Index.Fleet.RetryRatio) {
		return false
	}
	return budget.Spend() && sleep(ctx, backoff)
}

// revalidate checks the deadline and the API key of a call again, since either may
// have expired or been withdrawn while the call was waiting.
func (rh *requestHandler) revalidate(call *mesh.Call) (refusal *mesh.Refusal) {
	now := time.Now()
	if call.Remaining(now) <= 0 {
		return mesh.NotRun(header.DeadlineExceeded, "the deadline passed before the request was sent")
	}
	if call.Organisation == "" {
		return nil
	}
	_, refusal = rh.config.View().Organisation(now, call.Key)
	return refusal
}

// mayRetry reports whether a call may be retried after a failure. A retry must not
// run a non-idempotent request twice.
func mayRetry(call *mesh.Call, refusal *mesh.Refusal) (allowed bool) {
	if refusal.Outcome == header.NotRun {
		return refusal.Code.Retryable()
	}
	return call.Route.Idempotent && refusal.Code == header.AnswerLost
}

// sleep waits for d and reports false when ctx is done first.
func sleep(ctx context.Context, d time.Duration) (slept bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends a call to one target, either on this host or through the node of
// another host.
func (rh *requestHandler) attempt(ctx context.Context, to mesh.Endpoint, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	if to.Host == rh.settings.PeerListen {
		answer, left, refusal = rh.runLocally(ctx, to.Target.Addr, call, payload)
	} else {
		answer, left, refusal = rh.peers.SendCall(ctx, to, call, payload)
	}
	report := mesh.LinkReport{To: to, Call: call, Refusal: refusal, Level: mesh.ClassLow}
	if refusal != nil {
		report.Level = refusalLevel(refusal)
	} else {
		report.Load, report.Level = answer.Load, answer.Level
	}
	rh.route.events.Offer(linkResult{report: report})
	return answer, left, refusal
}
