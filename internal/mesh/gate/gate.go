// Package gate decides which requests a target runs, and when.
package gate

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// Ticket names one request at a gate.
type Ticket uint64

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

	// NotRun is true when the request never reached the target, so its
	// latency says nothing.
	NotRun bool
}

// EventName implements mesh.Event.
func (Finished) EventName() string { return "finished" }

// Gone says that the caller of a queued request no longer waits.
type Gone struct{ Ticket Ticket }

// EventName implements mesh.Event.
func (Gone) EventName() string { return "gone" }

// Elapsed says that the time of Next has come.
type Elapsed struct{}

// EventName implements mesh.Event.
func (Elapsed) EventName() string { return "elapsed" }

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
	limiter     mesh.Limiter
	queueLength int

	// running is at most the limit, except just after the limit fell.
	running map[Ticket]struct{}

	// queue holds at most queueLength requests.
	queue []Arrival
}

// Option changes a gate as it is made.
type Option func(*Gate)

// WithQueueLength sets how many requests may wait.
func WithQueueLength(n int) Option { return func(g *Gate) { g.queueLength = n } }

// New returns a gate that runs as many requests as limiter allows.
func New(limiter mesh.Limiter, options ...Option) (g *Gate) {
	g = &Gate{limiter: limiter, queueLength: 256, running: make(map[Ticket]struct{})}
	for _, o := range options {
		o(g)
	}
	return g
}

// Step takes in one event.
func (g *Gate) Step(now time.Time, event mesh.Event) (actions []Action) {
	switch e := event.(type) {
	case Arrival:
		if len(g.queue) >= g.queueLength {
			return []Action{Refuse{Ticket: e.Ticket, Refusal: mesh.NotRun(header.Overloaded, "the queue of the target is full")}}
		}
		g.queue = append(g.queue, e)
	case Finished:
		delete(g.running, e.Ticket)
		if !e.NotRun {
			g.limiter.Observe(now, e.Latency, len(g.running)+1, e.Overloaded)
		}
	case Gone:
		g.remove(e.Ticket)
	}
	return g.start(now)
}

func (g *Gate) remove(ticket Ticket) {
	for i, a := range g.queue {
		if a.Ticket == ticket {
			g.queue = append(g.queue[:i:i], g.queue[i+1:]...)
			return
		}
	}
}

func (g *Gate) start(now time.Time) (actions []Action) {
	for len(g.queue) > 0 && len(g.running) < g.limiter.Limit() {
		next := g.queue[0]
		g.queue = g.queue[1:]
		if next.Call.Remaining(now) <= 0 {
			actions = append(actions, Refuse{Ticket: next.Ticket, Refusal: mesh.NotRun(header.DeadlineExceeded, "the deadline passed in the queue of the target")})
			continue
		}
		g.running[next.Ticket] = struct{}{}
		actions = append(actions, Start{Ticket: next.Ticket})
	}
	return actions
}

// Next returns when the gate wants an Elapsed event; zero means not.
func (g *Gate) Next() (at time.Time) { return time.Time{} }

// Level returns the least important class that the gate accepts now.
func (g *Gate) Level() (class mesh.Class) { return mesh.ClassLow }

// Load returns the used part of the limit, in thousandths.
func (g *Gate) Load() (load int) {
	return 1000 * (len(g.running) + len(g.queue)) / g.limiter.Limit()
}
