package agent

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// notReadyFraction is the fraction of the shutdown timeout during which the node reports
	// that it is not ready but still takes all requests. Callers poll readiness once per second
	// and stop sending after two failed polls.
	notReadyFraction = 0.4

	// drainFraction is the fraction of the shutdown timeout by which in-flight requests must
	// have finished.
	drainFraction = 0.95

	// finalAnswerTime is the time before that in which the requests that are still in flight get
	// their final answers.
	finalAnswerTime = 100 * time.Millisecond
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
// requests and serves callers until they have noticed that the node is not ready. From then on it
// takes only requests that end before it does, and waits for those in flight.
func (a *Agent) shutdown(ctx context.Context) {
	start, limit := time.Now(), a.settings.ShutdownTimeout
	a.log.Infof("leaving; waiting for in-flight requests to finish.")
	a.handler.leaving.Store(true)
	_ = a.handler.member.events.Send(ctx, leaving{})
	sleep(ctx, time.Duration(notReadyFraction*float64(limit)))
	end := start.Add(time.Duration(drainFraction * float64(limit)))
	a.handler.endBy(end.Add(-finalAnswerTime))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	for _, s := range a.servers {
		if s.awaitUnused != nil {
			s.awaitUnused(ctx)
		}
		if err := s.http.Shutdown(ctx); err != nil {
			a.log.Warnf("shutdown of the %s listener did not complete: %v.", s.name, err)
		}
	}
}

// endBy lets the node take no more requests whose deadline is later than last, and interrupts those
// that are still in flight then.
func (rh *requestHandler) endBy(last time.Time) {
	rh.lastAnswer.Store(&last)
	time.AfterFunc(time.Until(last), func() { rh.end(mesh.ErrShutdown) })
}

// refuseLate refuses a call that could still be in flight when the shutdown ends. Nested calls of a
// request that the target on this host is running belong to a request that has been taken.
func (rh *requestHandler) refuseLate(call *mesh.Call) (refusal *mesh.Refusal) {
	last := rh.lastAnswer.Load()
	if last == nil || !call.Deadline.After(*last) || call.Nested && !call.ParentUnknown {
		return nil
	}
	refusal = mesh.NotRun(header.NodeLeaving, "the node is shutting down and will end before the deadline of the request")
	refusal.RetryAfter = max(0, time.Until(*last))
	return refusal
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
