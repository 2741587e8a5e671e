package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/run"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// notReadyFraction is the fraction of the shutdown timeout during which the node reports
	// that it is not ready but still takes all requests that are not expected to outlast it. Callers
	// poll readiness once per second and stop sending after two failed polls.
	notReadyFraction = 0.4

	// exitTime is the time that the process has to exit after its last answer, and maxExitFraction
	// the most that it takes of a short shutdown timeout.
	exitTime        = 75 * time.Millisecond
	maxExitFraction = 0.05

	// finalAnswerTime is the time before that in which the requests that are still in flight get
	// their final answers.
	finalAnswerTime = 75 * time.Millisecond

	// targetAnswerTime is the time before the final answers in which the answers of targets still
	// arrive that stop at their time limit. No attempt is made that is expected to end later.
	targetAnswerTime = 50 * time.Millisecond
)

// addShutdown adds the graceful shutdown, which starts when ctx is done.
func (a *Agent) addShutdown(ctx context.Context, group *run.Group) {
	failed, fail := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
			a.shutdown(failed)
		case <-failed.Done():
		}
		return nil
	}, func(error) { fail() })
}

// shutdown shuts the node down gracefully. It notifies the other nodes at once to send no more
// requests and serves callers until they have noticed that the node is not ready, unless a request
// is expected to outlast it. From then on it takes only requests that end before it does, and waits
// for those in flight.
func (a *Agent) shutdown(ctx context.Context) {
	start, limit := time.Now(), a.settings.ShutdownTimeout
	a.log.Infof("leaving; waiting for in-flight requests to finish.")
	a.handler.leaving.Store(true)
	end := start.Add(limit - min(exitTime, time.Duration(maxExitFraction*float64(limit))))
	last := end.Add(-finalAnswerTime)
	a.handler.endBy(last)
	_ = a.handler.member.events.Send(ctx, leaving{})
	sleep(ctx, time.Duration(notReadyFraction*float64(limit)))
	a.handler.noticed.Store(true)
	// net/http polls for the end of requests at intervals that grow to 500 ms; a second call polls
	// often while the final answers are written.
	if a.closeServers(ctx, last) != nil {
		if err := a.closeServers(ctx, end); err != nil {
			a.log.Warnf("the shutdown did not complete: %v.", err)
		}
	}
	// Answered requests whose bodies the target still reads.
	restCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	a.handler.target.AwaitRests(restCtx)
}

// closeServers closes the listeners one after the other, each when nothing needs it any more or at
// the given time.
func (a *Agent) closeServers(ctx context.Context, by time.Time) (err error) {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	for _, s := range a.servers {
		if s.awaitUnused != nil {
			s.awaitUnused(ctx)
		}
		if closeErr := s.http.Shutdown(ctx); closeErr != nil {
			err = errors.Join(err, fmt.Errorf("close the %s listener: %w", s.name, closeErr))
		}
	}
	return err
}

// endBy lets the node take no more requests that are expected to be in flight at the time last, and
// interrupts those that still are then.
func (rh *requestHandler) endBy(last time.Time) {
	rh.lastAnswer.Store(&last)
	time.AfterFunc(time.Until(last), func() { rh.end(mesh.ErrShutdown) })
}

// refuseLate refuses a call that could still be in flight when the shutdown ends. The usual duration
// decides on those of callers that have not had time to notice the shutdown, and on nested calls of a
// request that the target on this host is running, which have no other way.
func (rh *requestHandler) refuseLate(call *mesh.Call) (refusal *mesh.Refusal) {
	last, late := rh.outlasts(call)
	switch {
	case !late:
		return nil
	case call.Nested && !call.ParentUnknown, !rh.noticed.Load():
		return rh.refuseUnfinished(call)
	default:
		return leavingRefusal(last, "the node is shutting down and will end before the deadline of the request")
	}
}

// refuseUnfinished refuses a call that is expected to be in flight when the shutdown ends: its answer
// could no longer be delivered. Until enough requests of its route have been observed, one that must
// not run twice is expected to take the latency objective of its route.
func (rh *requestHandler) refuseUnfinished(call *mesh.Call) (refusal *mesh.Refusal) {
	last, late := rh.outlasts(call)
	if !late {
		return nil
	}
	now := time.Now()
	expected, reliable := rh.estimator.Estimate(now, call.Route.Name)
	if !reliable && !call.Route.Idempotent {
		expected = max(expected, call.Route.LatencyObjective)
	}
	left := last.Add(-targetAnswerTime).Sub(now)
	if left > 0 && expected <= left {
		return nil
	}
	return leavingRefusal(last, "the node waits %v longer for targets and a request of the route takes up to %v", max(0, left), expected)
}

// outlasts reports whether the deadline of a call lies behind the last answer of the shutdown.
func (rh *requestHandler) outlasts(call *mesh.Call) (last time.Time, late bool) {
	p := rh.lastAnswer.Load()
	if p == nil {
		return last, false
	}
	return *p, call.Deadline.After(*p)
}

func leavingRefusal(last time.Time, format string, args ...any) (refusal *mesh.Refusal) {
	refusal = mesh.NotRun(header.NodeLeaving, format, args...)
	refusal.RetryAfter = max(0, time.Until(last))
	return refusal
}

// boundAttempt makes a target stop before the last answer of the shutdown, since nobody waits for a
// later one.
func (rh *requestHandler) boundAttempt(call *mesh.Call) {
	if last, late := rh.outlasts(call); late {
		call.AnswerBy = last.Add(-targetAnswerTime)
	}
}

// observe records how long a request took that a target has run. One that timed out took at least
// that long.
func (rh *requestHandler) observe(call *mesh.Call, started time.Time, refusal *mesh.Refusal) {
	if refusal != nil && (refusal.Outcome == header.NotRun || refusal.Code != header.DeadlineExceeded) {
		return
	}
	now := time.Now()
	rh.estimator.Observe(now, call.Route.Name, now.Sub(started))
}

// requestContext returns the context of a request with a deadline. It ends early when the shutdown
// ends; the request then still gets an answer that says whether it may have run.
func (rh *requestHandler) requestContext(connected context.Context, deadline time.Time) (ctx context.Context, cancel context.CancelFunc) {
	ctx, interrupt := context.WithCancelCause(connected)
	release := context.AfterFunc(rh.ending, func() { interrupt(context.Cause(rh.ending)) })
	ctx, expire := context.WithDeadline(ctx, deadline)
	return ctx, func() {
		release()
		expire()
		interrupt(nil)
	}
}
