// Package gate implements admission control for one target: a concurrency limit, a
// fair queue and load shedding.
package gate

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// levelWindowDelays is how long a refusal or a start affects the admission
	// level, in target delays.
	levelWindowDelays = 10

	// maxRetryAfter is the upper bound of the retry delay in a refusal, since a
	// longer estimate from the queue length is too inaccurate to be useful.
	maxRetryAfter = 5 * time.Second

	// retryJitterSteps is the number of steps of the jitter that is added to the
	// retry delay, so that refused requests are not retried all at once.
	retryJitterSteps = 8

	// fullLoad is the load reported while the target can accept no more requests, in
	// thousandths.
	fullLoad = 2000

	// minSweepInterval is the minimum time between two searches of the queue for
	// expired requests.
	minSweepInterval = 5 * time.Millisecond

	// minKeptOpen is the number of answers in a row after which a target is expected to keep its
	// connections open. Some targets close each one behind its answer and do not announce it.
	minKeptOpen = 16
)

// Ticket identifies a request at a gate.
type Ticket = mesh.Ticket

// Arrival reports that a request arrived and asks for admission.
type Arrival struct {
	Ticket Ticket
	Call   *mesh.Call
}

// EventName implements mesh.Event.
func (Arrival) EventName() string { return "arrival" }

// Finished reports that a started request ended.
type Finished struct {
	Ticket  Ticket
	Latency time.Duration

	// Nested is the part of the latency in which the target waited for nested calls, as far as
	// known.
	Nested time.Duration

	// Failed is true when the target answered with a failure or its answer was lost.
	Failed bool

	// Overloaded is true when the target itself rejected the request as overloaded.
	Overloaded bool

	// TimedOut is true when the deadline expired while the request ran.
	TimedOut bool

	// AnswerLost is true when the answer was incomplete. Its latency is not
	// meaningful.
	AnswerLost bool

	// NotRun is true when the request did not reach the target. Its latency is not
	// meaningful.
	NotRun bool

	// ConnectionClosed is true when the target closed the connection with its answer, without
	// having announced it.
	ConnectionClosed bool

	// Unreachable is true when no connection to the target could be opened.
	Unreachable bool
}

// EventName implements mesh.Event.
func (Finished) EventName() string { return "finished" }

// Cancelled reports that the caller of a request no longer waits for it.
type Cancelled struct{ Ticket Ticket }

// EventName implements mesh.Event.
func (Cancelled) EventName() string { return "gone" }

// TimerExpired reports that the time returned by Next has come.
type TimerExpired struct{}

// EventName implements mesh.Event.
func (TimerExpired) EventName() string { return "elapsed" }

// Restarted reports that the target announced a new incarnation.
type Restarted struct{}

// EventName implements mesh.Event.
func (Restarted) EventName() string { return "restarted" }

// Resized sets the limit of a cold target, the number of slots and the maximum
// queue length.
type Resized struct {
	Cold, Slots, QueueLength int
}

// EventName implements mesh.Event.
func (Resized) EventName() string { return "resized" }

// Closed stops admission to the target. Queued requests are refused; those in
// flight finish.
type Closed struct{ Refusal *mesh.Refusal }

// EventName implements mesh.Event.
func (Closed) EventName() string { return "closed" }

// Opened resumes admission to the target.
type Opened struct{}

// EventName implements mesh.Event.
func (Opened) EventName() string { return "opened" }

// Action is a decision of the gate that its owner carries out.
type Action interface{ action() }

// Start admits a request, which the owner then sends to the target.
type Start struct{ Ticket Ticket }

// Refuse rejects a request.
type Refuse struct {
	Ticket  Ticket
	Refusal *mesh.Refusal
}

func (Start) action()  {}
func (Refuse) action() {}

// Gate controls the admission of requests to one target.
type Gate struct {
	limiter mesh.Limiter
	queue   mesh.Queue

	// estimates is nil in a gate without latency estimates.
	estimates latencyEstimates

	// running holds the requests in flight. They are at most the limit, except right
	// after the limit was lowered.
	running map[Ticket]runningRequest

	// generation is the number of restarts of the target.
	generation int

	// unreachableAt is the time of the last refused connection; zero after a
	// success.
	unreachableAt time.Time

	// restartSuspected is true from a lost answer, or a connection that closed unexpectedly, until
	// the next request ends well.
	restartSuspected bool

	// keptOpen is the number of answers in a row behind which the connection stayed open.
	keptOpen int

	// closed is the refusal of all requests while the gate is closed; nil while it
	// is open.
	closed *mesh.Refusal

	level    levelTracker
	standing standingQueue
	pacer    coldPacer

	// dropAt is a lower bound of the time at which the first queued request must be
	// refused; zero when none is known.
	dropAt  time.Time
	sweptAt time.Time

	// steppedAt is the time of the last event.
	steppedAt time.Time
	actions   []Action
}

// runningRequest is a request in flight.
type runningRequest struct {
	call       *mesh.Call
	startedAt  time.Time
	generation int
}

// Option is an option of New.
type Option func(*Gate)

// WithQueue sets the queue. The default is a Fair queue with the default length
// and target delay.
func WithQueue(q mesh.Queue) Option { return func(g *Gate) { g.queue = q } }

// WithTargetDelay sets the target delay: a queueing delay above it counts as
// overload.
func WithTargetDelay(d time.Duration) Option { return func(g *Gate) { g.SetTargetDelay(d) } }

// WithoutLatencyEstimate makes the gate start every request whose deadline has not
// expired, without estimating whether it can finish in time. It is part of the
// baseline in comparisons.
func WithoutLatencyEstimate() Option { return func(g *Gate) { g.estimates = nil } }

// Defaults of a gate without options.
const (
	defaultQueueLength = 256
	defaultTargetDelay = 20 * time.Millisecond
)

// New returns a gate whose concurrency limit is set by limiter.
func New(limiter mesh.Limiter, options ...Option) (g *Gate) {
	g = &Gate{
		limiter:   limiter,
		queue:     NewFair(defaultQueueLength, defaultTargetDelay),
		running:   make(map[Ticket]runningRequest),
		estimates: make(latencyEstimates),
	}
	g.level.targetDelay = defaultTargetDelay
	for _, o := range options {
		o(g)
	}
	return g
}

// SetTargetDelay sets the target delay: a queueing delay above it counts as
// overload.
func (g *Gate) SetTargetDelay(d time.Duration) {
	g.level.targetDelay = d
	if q, fair := g.queue.(*Fair); fair {
		q.SetTargetDelay(d)
	}
}

// Step processes one event. The returned actions are valid until the next call.
func (g *Gate) Step(now time.Time, event mesh.Event) (actions []Action) {
	g.actions = g.actions[:0]
	g.steppedAt = now
	switch e := event.(type) {
	case Arrival:
		g.arrive(now, e)
	case Finished:
		g.finish(now, e)
	case Cancelled:
		g.cancel(e.Ticket)
	case TimerExpired:
		g.sweep(now)
	case Restarted:
		g.restart(now)
	case Resized:
		g.resize(now, e)
	case ColdStarted:
		g.pacer.update(now, e)
	case Closed:
		g.closed = e.Refusal
		g.refuseQueued()
	case Opened:
		g.closed = nil
	}
	g.startQueued(now)
	g.standing.update(now, g.level.targetDelay, g.queue.Len())
	return g.actions
}

func (g *Gate) refuse(t Ticket, refusal *mesh.Refusal) {
	g.actions = append(g.actions, Refuse{Ticket: t, Refusal: refusal})
}

func (g *Gate) arrive(now time.Time, a Arrival) {
	if g.closed != nil {
		g.refuse(a.Ticket, g.closed)
		return
	}
	if !g.canMeetDeadline(now, a.Call) {
		g.refuse(a.Ticket, g.deadlineRefusal(now))
		return
	}
	g.standing.arrived++
	if g.queue.Len() == 0 && len(g.running) < g.effectiveLimit() && g.pacer.ready(now) {
		g.startRequest(now, a.Ticket, a.Call)
		return
	}
	displaced, full := g.queue.Push(mesh.Waiter{Ticket: a.Ticket, Call: a.Call, Since: now})
	if full {
		g.shed(now, displaced)
	}
	g.scheduleDrop(mesh.Waiter{Ticket: a.Ticket, Call: a.Call, Since: now})
}

// canMeetDeadline reports whether a request that starts now is expected to finish
// before its deadline.
func (g *Gate) canMeetDeadline(now time.Time, call *mesh.Call) bool {
	left := call.Remaining(now)
	return left > 0 && left >= g.estimates.decayed(now, call.Route.Name)
}

func (g *Gate) deadlineRefusal(now time.Time) (refusal *mesh.Refusal) {
	refusal = mesh.NotRun(header.DeadlineExceeded, "the remaining time is shorter than the target usually needs")
	refusal.RetryAfter = g.pacer.remaining(now)
	return refusal
}

// shed refuses a request because of overload.
func (g *Gate) shed(now time.Time, w mesh.Waiter) {
	g.level.recordRefusal(now, classOf(w.Call))
	refusal := mesh.NotRun(header.Overloaded, "the target is overloaded")
	refusal.Level = g.Level(now)
	refusal.RetryAfter = max(g.retryAfter(now, w), g.pacer.remaining(now))
	g.refuse(w.Ticket, refusal)
}

// retryAfter returns the estimated time to serve all queued and running requests,
// with jitter.
func (g *Gate) retryAfter(now time.Time, w mesh.Waiter) (after time.Duration) {
	ahead := time.Duration(g.queue.Len() + len(g.running))
	after = max(g.level.targetDelay, ahead*g.estimates.decayed(now, w.Call.Route.Name)/time.Duration(g.limiter.Limit()))
	after += after * time.Duration(w.Ticket%retryJitterSteps) / retryJitterSteps
	return min(after, maxRetryAfter)
}

func (g *Gate) startRequest(now time.Time, t Ticket, call *mesh.Call) {
	g.running[t] = runningRequest{call: call, startedAt: now, generation: g.generation}
	g.pacer.consume(now)
	g.level.recordStart(now, classOf(call))
	g.standing.started++
	g.actions = append(g.actions, Start{Ticket: t})
}

func (g *Gate) finish(now time.Time, f Finished) {
	s, found := g.running[f.Ticket]
	if !found {
		return
	}
	inFlight := len(g.running)
	delete(g.running, f.Ticket)
	switch {
	case f.Unreachable:
		if g.unreachableAt.IsZero() {
			g.restart(now)
		}
		g.unreachableAt = now
	case s.generation != g.generation:
	case f.NotRun:
		if f.Failed {
			g.observeSample(now, s, f, inFlight)
		}
	case f.AnswerLost:
		g.suspectRestart(now)
	case f.Overloaded:
		g.restartSuspected = false
		g.limiter.Observe(now, f.Latency, inFlight, true)
		f.Failed = true
		g.observeSample(now, s, f, inFlight)
	default:
		closed := g.closedUnexpectedly(f)
		g.restartSuspected = g.restartSuspected && closed
		g.observe(now, s, f, inFlight)
		if closed {
			g.suspectRestart(now)
		}
	}
}

// closedUnexpectedly reports whether an answer is a sign that the target stopped right behind it. A
// target may be back before its last answers are read here, and each of them would start a request.
func (g *Gate) closedUnexpectedly(f Finished) bool {
	if !f.ConnectionClosed {
		g.keptOpen++
		return false
	}
	expected := g.keptOpen < minKeptOpen && !g.restartSuspected
	g.keptOpen = 0
	return !expected
}

// suspectRestart handles a sign that the target stopped. A single one may be caused
// by its request; two in a row mean that the target stopped and is cold when it comes
// back. After the first one no request starts while another is in flight: all
// requests to a stopped target fail together, and otherwise as many new ones would
// follow at once.
func (g *Gate) suspectRestart(now time.Time) {
	if g.restartSuspected {
		g.restart(now)
		return
	}
	g.restartSuspected = true
}

// effectiveLimit returns the concurrency limit, which is 1 while a restart is
// suspected.
func (g *Gate) effectiveLimit() (n int) {
	if g.restartSuspected {
		return 1
	}
	return g.limiter.Limit()
}

// observe records the latency of a request that ran.
func (g *Gate) observe(now time.Time, s runningRequest, f Finished, inFlight int) {
	if !g.unreachableAt.IsZero() && !f.TimedOut && !s.startedAt.Before(g.unreachableAt) {
		// The target accepts connections again, so it has been restarted.
		g.unreachableAt = time.Time{}
		g.restart(now)
	}
	name := s.call.Route.Name
	// A timeout that is shorter than the usual service time is not a sign of
	// overload.
	overloaded := f.TimedOut && float64(f.Latency) > raisedTolerance*float64(g.estimates.undecayed(name))
	if f.TimedOut && !overloaded {
		return
	}
	g.estimates.add(now, name, f.Latency)
	g.limiter.Observe(now, f.Latency, inFlight, overloaded)
	g.observeSample(now, s, f, inFlight)
}

// observeSample passes a result to a limiter that tells routes apart.
func (g *Gate) observeSample(now time.Time, s runningRequest, f Finished, inFlight int) {
	if l, learns := g.limiter.(mesh.SampleLimiter); learns {
		l.ObserveSample(now, mesh.Sample{Route: s.call.Route.Name, Latency: f.Latency, Nested: f.Nested, InFlight: inFlight, Failed: f.Failed})
	}
}

// restart resets the limit to the cold limit. Requests still in flight were
// started before the restart, so their results are ignored.
func (g *Gate) restart(now time.Time) {
	g.generation++
	g.restartSuspected = false
	g.limiter.Restart(now)
}

// cancel removes a request whose caller has gone away. A request that was started
// without its caller receiving the Start must not keep its slot.
func (g *Gate) cancel(t Ticket) {
	if !g.queue.Remove(t) {
		delete(g.running, t)
	}
}

func (g *Gate) resize(now time.Time, r Resized) {
	g.limiter.Resize(r.Cold, r.Slots)
	for _, w := range g.queue.Resize(r.QueueLength) {
		g.shed(now, w)
	}
}

// refuseQueued refuses all queued requests because the gate is closed.
func (g *Gate) refuseQueued() {
	var all []Ticket
	g.queue.Each(func(w mesh.Waiter) bool {
		all = append(all, w.Ticket)
		return true
	})
	for _, t := range all {
		g.queue.Remove(t)
		g.refuse(t, g.closed)
	}
}

// scheduleDrop updates dropAt with the time at which a queued request can no
// longer meet its deadline or has reached its maximum queueing time.
func (g *Gate) scheduleDrop(w mesh.Waiter) {
	at := g.latestStart(w.Call)
	if maxWait, limited := maxQueueTime(w.Call); limited && w.Since.Add(maxWait).Before(at) {
		at = w.Since.Add(maxWait)
	}
	if g.dropAt.IsZero() || at.Before(g.dropAt) {
		g.dropAt = at
	}
}

// latestStart returns the latest time at which the call can start and still meet
// its deadline.
func (g *Gate) latestStart(call *mesh.Call) (at time.Time) {
	return call.End().Add(-g.estimates.undecayed(call.Route.Name))
}

// maxQueueTime returns the maximum queueing time of a call. After half of its
// latency objective in the queue a request can hardly meet the objective, and a
// refusal is the more useful the earlier it comes. Nested calls belong to work in
// progress and are not limited.
func maxQueueTime(call *mesh.Call) (d time.Duration, limited bool) {
	if call.Nested || call.Route.LatencyObjective == 0 {
		return 0, false
	}
	return call.Route.LatencyObjective / 2, true
}

// shouldShed reports whether a queued request is shed although it could still meet
// its deadline. A standing queue serves the newest requests first, so older ones
// are refused early enough to be retried on another target.
func (g *Gate) shouldShed(now time.Time, w mesh.Waiter) bool {
	if maxWait, limited := maxQueueTime(w.Call); limited && now.Sub(w.Since) >= maxWait {
		return true
	}
	return g.estimates != nil && g.standing.detected && now.Sub(w.Since) > maxStandingWaitDelays*g.level.targetDelay
}

// sweep refuses queued requests that can no longer meet their deadline, and those
// that have waited too long.
func (g *Gate) sweep(now time.Time) {
	var expired, overdue []mesh.Waiter
	g.dropAt, g.sweptAt = time.Time{}, now
	g.queue.Each(func(w mesh.Waiter) bool {
		switch {
		case !g.canMeetDeadline(now, w.Call):
			expired = append(expired, w)
		case g.shouldShed(now, w):
			overdue = append(overdue, w)
		default:
			g.scheduleDrop(w)
		}
		return true
	})
	for _, w := range expired {
		g.queue.Remove(w.Ticket)
		g.dropExpired(now, w)
	}
	for _, w := range overdue {
		g.queue.Remove(w.Ticket)
		g.shed(now, w)
	}
}

// dropExpired refuses a request that can no longer meet its deadline. It counts as
// a refusal of its class: a class that is never served expires in a queue that
// need not be full.
func (g *Gate) dropExpired(now time.Time, w mesh.Waiter) {
	g.level.recordRefusal(now, classOf(w.Call))
	g.refuse(w.Ticket, g.deadlineRefusal(now))
}

func (g *Gate) startQueued(now time.Time) {
	for len(g.running) < g.effectiveLimit() && g.pacer.ready(now) {
		next, found := g.queue.Pop(now)
		if !found {
			return
		}
		if !g.canMeetDeadline(now, next.Call) {
			g.dropExpired(now, next)
			continue
		}
		g.startRequest(now, next.Ticket, next.Call)
	}
}

// Next returns the time at which the gate needs a TimerExpired event; zero when it
// needs none.
func (g *Gate) Next() (at time.Time) {
	if g.queue.Len() == 0 {
		return time.Time{}
	}
	at = g.dropAt
	if again := g.sweptAt.Add(g.level.targetDelay); g.estimates != nil && g.standing.detected && again.Before(at) {
		at = again
	}
	if earliest := g.sweptAt.Add(minSweepInterval); at.Before(earliest) {
		at = earliest
	}
	if paced := g.pacer.nextToken(g.steppedAt); !paced.IsZero() && paced.Before(at) && len(g.running) < g.effectiveLimit() {
		return paced
	}
	return at
}

// Level returns the admission level: the least important class that the gate
// accepts.
func (g *Gate) Level(now time.Time) (class mesh.Class) { return g.level.current(now) }

// Load returns the utilisation of the concurrency limit, in thousandths. A cold
// target without tokens counts as full regardless of its limit.
func (g *Gate) Load() (load int) {
	if !g.pacer.ready(g.steppedAt) {
		return fullLoad
	}
	return 1000 * (len(g.running) + g.queue.Len()) / g.limiter.Limit()
}

// Limit returns the current concurrency limit.
func (g *Gate) Limit() (n int) { return g.limiter.Limit() }

// Cold reports whether the target is cold and rate limited.
func (g *Gate) Cold() bool { return g.pacer.active(g.steppedAt) }

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() (n int) { return len(g.running) }

// Queued returns the number of queued requests.
func (g *Gate) Queued() (n int) { return g.queue.Len() }
