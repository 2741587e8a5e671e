// Package gate decides which requests a target runs, and when.
package gate

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// levelWindowDelays is for how many target delays a refusal or a start counts
	// in the level.
	levelWindowDelays = 10

	// maxRetryAfter bounds what a refusal states, since a longer forecast
	// from the queue is worthless.
	maxRetryAfter = 5 * time.Second

	// retryJitterSteps is over how many parts the resends of refused requests are
	// spread, so that they do not come back at one moment.
	retryJitterSteps = 8

	// fullLoad is the load of a target that takes nothing more at the moment,
	// in thousandths.
	fullLoad = 2000

	// minSweepInterval is the shortest time between two searches of the queue for
	// requests that ran out of time.
	minSweepInterval = 5 * time.Millisecond
)

// Ticket names one request at a gate.
type Ticket = mesh.Ticket

// Arrival brings a request that wants to run.
type Arrival struct {
	Ticket Ticket
	Call   *mesh.Call
}

// EventName implements mesh.Event.
func (Arrival) EventName() string { return "arrival" }

// Finished says that a started request ended.
type Finished struct {
	Ticket  Ticket
	Latency time.Duration

	// Overloaded is true when the target itself refused the request.
	Overloaded bool

	// TimedOut is true when the deadline passed while the request ran.
	TimedOut bool

	// AnswerLost is true when the answer broke off, so its latency says nothing.
	AnswerLost bool

	// NotRun is true when the request never reached the target, so its
	// latency says nothing.
	NotRun bool

	// Unreachable is true when the target accepted no connection.
	Unreachable bool
}

// EventName implements mesh.Event.
func (Finished) EventName() string { return "finished" }

// Cancelled says that the caller of a queued request no longer waits.
type Cancelled struct{ Ticket Ticket }

// EventName implements mesh.Event.
func (Cancelled) EventName() string { return "gone" }

// TimerExpired says that the time of Next has come.
type TimerExpired struct{}

// EventName implements mesh.Event.
func (TimerExpired) EventName() string { return "elapsed" }

// Restarted says that the target announced a new incarnation.
type Restarted struct{}

// EventName implements mesh.Event.
func (Restarted) EventName() string { return "restarted" }

// Resized brings the settings and the slots that are now in force.
type Resized struct {
	Cold, Slots, QueueLength int
}

// EventName implements mesh.Event.
func (Resized) EventName() string { return "resized" }

// Closed says that the target takes no new work. Waiting requests are refused
// and started ones finish.
type Closed struct{ Refusal *mesh.Refusal }

// EventName implements mesh.Event.
func (Closed) EventName() string { return "closed" }

// Opened says that the target takes work again.
type Opened struct{}

// EventName implements mesh.Event.
func (Opened) EventName() string { return "opened" }

// Action is something for the owner of the gate to do.
type Action interface{ action() }

// Start lets a request run.
type Start struct{ Ticket Ticket }

// Refuse turns a request away.
type Refuse struct {
	Ticket  Ticket
	Refusal *mesh.Refusal
}

func (Start) action()  {}
func (Refuse) action() {}

// Gate admits requests to one target.
type Gate struct {
	limiter mesh.Limiter
	queue   mesh.Queue

	// estimates is nil in a gate without forecast.
	estimates latencyEstimates

	// running is at most the limit, except just after the limit fell.
	running map[Ticket]runningRequest

	// generation counts the restarts of the target.
	generation int

	// unreachableAt is when a connection was last refused, zero after a success.
	unreachableAt time.Time

	// restartSuspected is true after an answer broke off, until the next request ends.
	restartSuspected bool

	// closed is why no request is accepted, nil while the gate is open.
	closed *mesh.Refusal

	level    levelTracker
	standing standingQueue
	pacer     coldPacer

	// dropAt is at most the earliest time at which a waiting request can no
	// longer finish, and zero while none waits.
	dropAt time.Time
	sweptAt  time.Time

	// steppedAt is when the last event was taken in.
	steppedAt time.Time
	actions []Action
}

// runningRequest is a request that runs.
type runningRequest struct {
	call *mesh.Call
	startedAt   time.Time
	generation int
}

// Option changes a gate as it is made.
type Option func(*Gate)

// WithQueue replaces the queue, which otherwise is fair and has the default
// length and target delay.
func WithQueue(q mesh.Queue) Option { return func(g *Gate) { g.queue = q } }

// WithTargetDelay sets the wait above which a target counts as overloaded.
func WithTargetDelay(d time.Duration) Option { return func(g *Gate) { g.SetTargetDelay(d) } }

// WithoutLatencyEstimate makes the gate start every request whose deadline has not
// passed. It belongs to the baseline.
func WithoutLatencyEstimate() Option { return func(g *Gate) { g.estimates = nil } }

// Values of a gate that is made without options.
const (
	defaultQueueLength = 256
	defaultTargetDelay  = 20 * time.Millisecond
)

// New returns a gate that runs as many requests as limiter allows.
func New(limiter mesh.Limiter, options ...Option) (g *Gate) {
	g = &Gate{
		limiter: limiter,
		queue:   NewFair(defaultQueueLength, defaultTargetDelay),
		running: make(map[Ticket]runningRequest),
		estimates: make(latencyEstimates),
	}
	g.level.delay = defaultTargetDelay
	for _, o := range options {
		o(g)
	}
	return g
}

// SetTargetDelay sets the wait above which a target counts as overloaded.
func (g *Gate) SetTargetDelay(d time.Duration) {
	g.level.delay = d
	if q, fair := g.queue.(*Fair); fair {
		q.SetTargetDelay(d)
	}
}

// Step takes in one event. The actions are valid until the next call.
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
	g.standing.update(now, g.level.delay, g.queue.Len())
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

// canMeetDeadline reports whether a request that starts now can end in time.
func (g *Gate) canMeetDeadline(now time.Time, call *mesh.Call) bool {
	left := call.Remaining(now)
	return left > 0 && left >= g.estimates.decayed(now, call.Route.Name)
}

func (g *Gate) deadlineRefusal(now time.Time) (refusal *mesh.Refusal) {
	refusal = mesh.NotRun(header.DeadlineExceeded, "the remaining time is shorter than the target usually needs")
	refusal.RetryAfter = g.pacer.remaining(now)
	return refusal
}

// shed refuses a request for want of room.
func (g *Gate) shed(now time.Time, w mesh.Waiter) {
	g.level.recordRefusal(now, classOf(w.Call))
	refusal := mesh.NotRun(header.Overloaded, "the target is overloaded")
	refusal.Level = g.Level(now)
	refusal.RetryAfter = max(g.retryAfter(now, w), g.pacer.remaining(now))
	g.refuse(w.Ticket, refusal)
}

// retryAfter returns about how long the target needs for what is ahead.
func (g *Gate) retryAfter(now time.Time, w mesh.Waiter) (after time.Duration) {
	ahead := time.Duration(g.queue.Len() + len(g.running))
	after = max(g.level.delay, ahead*g.estimates.decayed(now, w.Call.Route.Name)/time.Duration(g.limiter.Limit()))
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
	case s.generation != g.generation, f.NotRun:
	case f.AnswerLost:
		g.handleLostAnswer(now)
	case f.Overloaded:
		g.restartSuspected = false
		g.limiter.Observe(now, f.Latency, inFlight, true)
	default:
		g.restartSuspected = false
		g.observe(now, s, f, inFlight)
	}
}

// handleLostAnswer takes in an answer that broke off. A single one may be the fault of its
// request, two in a row are a target that has ended: its next life is cold. In
// between nothing more starts, since all requests of an ended target break off
// together and would be followed by as many.
func (g *Gate) handleLostAnswer(now time.Time) {
	if g.restartSuspected {
		g.restart(now)
		return
	}
	g.restartSuspected = true
}

// effectiveLimit returns how many requests may run now.
func (g *Gate) effectiveLimit() (n int) {
	if g.restartSuspected {
		return 1
	}
	return g.limiter.Limit()
}

// observe takes in the latency of a request that ran.
func (g *Gate) observe(now time.Time, s runningRequest, f Finished, inFlight int) {
	if !g.unreachableAt.IsZero() && !f.TimedOut && !s.startedAt.Before(g.unreachableAt) {
		// The target accepts connections again, so it has been restarted.
		g.unreachableAt = time.Time{}
		g.restart(now)
	}
	name := s.call.Route.Name
	// A caller that asks for less time than a request takes says nothing
	// about the target.
	overloaded := f.TimedOut && float64(f.Latency) > raisedTolerance*float64(g.estimates.undecayed(name))
	if f.TimedOut && !overloaded {
		return
	}
	g.estimates.add(now, name, f.Latency)
	g.limiter.Observe(now, f.Latency, inFlight, overloaded)
}

// restart puts the limit to the cold limit. Requests that still run belong to
// the earlier life of the target and teach nothing.
func (g *Gate) restart(now time.Time) {
	g.generation++
	g.restartSuspected = false
	g.limiter.Restart(now)
}

// cancel forgets a request whose caller left. A start that the caller did not
// see any more must not hold its place.
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

// refuseQueued refuses every waiting request.
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

// scheduleDrop notes when a request that waits can no longer finish, or has waited
// for long enough.
func (g *Gate) scheduleDrop(w mesh.Waiter) {
	at := g.latestStart(w.Call)
	if maxWait, limited := maxQueueTime(w.Call); limited && w.Since.Add(maxWait).Before(at) {
		at = w.Since.Add(maxWait)
	}
	if g.dropAt.IsZero() || at.Before(g.dropAt) {
		g.dropAt = at
	}
}

func (g *Gate) latestStart(call *mesh.Call) (at time.Time) {
	return call.Deadline.Add(-g.estimates.undecayed(call.Route.Name))
}

// maxQueueTime returns how long a request may wait. Half of its objective later it
// can hardly be answered in time, and a refusal is worth more the earlier it
// comes. Calls belong to work in progress and wait for as long as they can.
func maxQueueTime(call *mesh.Call) (d time.Duration, limited bool) {
	if call.Nested || call.Route.LatencyObjective == 0 {
		return 0, false
	}
	return call.Route.LatencyObjective / 2, true
}

// shouldShed reports whether a waiting request is refused although it could still
// finish. In a standing queue the newest requests run, so the others are told
// early enough to try another target.
func (g *Gate) shouldShed(now time.Time, w mesh.Waiter) bool {
	if maxWait, limited := maxQueueTime(w.Call); limited && now.Sub(w.Since) >= maxWait {
		return true
	}
	return g.estimates != nil && g.standing.detected && now.Sub(w.Since) > maxStandingWaitDelays*g.level.delay
}

// sweep drops waiting requests that can no longer finish, and those that wait
// in vain.
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

// dropExpired refuses a request that waited for too long. Its class counts as refused,
// since a class without its turn waits in a queue that need not be full.
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

// Next returns when the gate wants an Elapsed event; zero means not.
func (g *Gate) Next() (at time.Time) {
	if g.queue.Len() == 0 {
		return time.Time{}
	}
	at = g.dropAt
	if again := g.sweptAt.Add(g.level.delay); g.estimates != nil && g.standing.detected && again.Before(at) {
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

// Level returns the least important class that the gate accepts now.
func (g *Gate) Level(now time.Time) (class mesh.Class) { return g.level.current(now) }

// Load returns the used part of the limit, in thousandths. A cold target that
// has used its rate is full whatever its limit is.
func (g *Gate) Load() (load int) {
	if !g.pacer.ready(g.steppedAt) {
		return fullLoad
	}
	return 1000 * (len(g.running) + g.queue.Len()) / g.limiter.Limit()
}

// Limit returns how many requests may run now.
func (g *Gate) Limit() (n int) { return g.limiter.Limit() }

// Cold reports whether the target is held to its cold rate.
func (g *Gate) Cold() bool { return g.pacer.active(g.steppedAt) }

// InFlight returns how many requests run.
func (g *Gate) InFlight() (n int) { return len(g.running) }

// Queued returns how many requests wait.
func (g *Gate) Queued() (n int) { return g.queue.Len() }
