package mesh

import (
	"context"
	"net/netip"
	"time"
)

// Limiter controls the concurrency limit of a target.
type Limiter interface {
	// Limit returns the current concurrency limit, at least 1.
	Limit() (limit int)

	// Observe records the latency and result of a finished request, with the number
	// of requests in flight.
	Observe(now time.Time, latency time.Duration, inFlight int, overloaded bool)

	// Restart resets the limit to that of a cold target.
	Restart(now time.Time)

	// Resize sets the limit of a cold target and the maximum limit.
	Resize(cold, slots int)
}

// Sample is one request that a target has finished.
type Sample struct {
	// Route is the name of the route of the request.
	Route string

	// Latency is the time for which the target held the request, and Nested the part of it in
	// which it waited for its nested calls, as far as known.
	Latency, Nested time.Duration

	// InFlight is the number of requests at the target, this one included.
	InFlight int

	// Failed is true when the target answered with a failure of its own. The latency of such an
	// answer says nothing about the target's speed.
	Failed bool
}

// SampleLimiter is a limiter that tells routes apart.
type SampleLimiter interface {
	Limiter

	// ObserveSample records a request that the target has finished.
	ObserveSample(now time.Time, s Sample)
}

// Estimator estimates how long requests take. It is safe for concurrent use.
type Estimator interface {
	// Observe records how long a request of a route took until its answer.
	Observe(now time.Time, route string, took time.Duration)

	// Estimate returns the time within which nearly all recent requests of a route were answered.
	// Until there are enough of them it is not reliable: the longest time, or zero without any.
	Estimate(now time.Time, route string) (duration time.Duration, reliable bool)
}

// RoomObserver is a picker that uses the rooms of targets.
type RoomObserver interface {
	Picker

	// ObserveRoom records the room of a target. One that arrived before the known one is ignored.
	ObserveRoom(now time.Time, r Room)

	// Rooms returns the known rooms and, for each service, the share of the calls that leave the
	// zone.
	Rooms() (known []Room, shares map[ServiceName]float64)
}

// Ticket identifies a request at the admission gate of a target.
type Ticket uint64

// Waiter is a request that is queued for a target.
type Waiter struct {
	Ticket Ticket
	Call   *Call

	// Since is the arrival time of the request at the gate.
	Since time.Time
}

// Queue is the queue of requests for a target. The implementation decides the order of
// service and which request is shed when the queue is full.
type Queue interface {
	// Push adds a request. When the queue is full, one request is displaced, which
	// may be the pushed one itself.
	Push(w Waiter) (displaced Waiter, full bool)

	// Pop removes and returns the request to run next.
	Pop(now time.Time) (next Waiter, found bool)

	// Remove removes the request with the ticket.
	Remove(t Ticket) (found bool)

	// Each calls visit for every request until visit returns false. The queue must
	// not be modified during the iteration.
	Each(visit func(w Waiter) (more bool))

	// Resize sets the maximum queue length and returns the requests displaced by it.
	Resize(length int) (displaced []Waiter)

	// Len returns the number of queued requests.
	Len() (n int)
}

// Picker tracks the links of a node and selects targets for calls (load balancing).
type Picker interface {
	// Pick returns one of the endpoints, or a refusal with the reason why none can
	// be used. Hosts in tried are only chosen when no other host is available.
	Pick(now time.Time, call *Call, from ZoneName, endpoints []Endpoint, tried []netip.AddrPort) (chosen Endpoint, refusal *Refusal)

	// Report records the result of a call whose target was chosen by Pick.
	Report(now time.Time, r LinkReport)
}

// LinkReport is the result of a call over a link.
type LinkReport struct {
	To   Endpoint
	Call *Call

	// Refusal is nil when the target answered.
	Refusal *Refusal

	// Reached is true when the target's node responded, so that a failure is not a
	// failure of the link.
	Reached bool

	// Load is the utilisation of the target's concurrency limit, in thousandths.
	// It is valid only when the target answered.
	Load int

	// Room is what the target's node knows about how much the target takes; nil when it did
	// not say.
	Room *Room

	// Level is the admission level: the least important class that the target and
	// the services it depends on accept.
	Level Class
}

// Claimer records a claim before a non-idempotent request runs, so that the request
// runs at most once.
type Claimer interface {
	// Claim returns nil when this call has the exclusive right to run the request.
	// A refusal says whether the request may already have run.
	Claim(ctx context.Context, call *Call) (refusal *Refusal)

	// Release releases the claim of a request that did not run.
	Release(call *Call)
}
