package mesh

import (
	"context"
	"net/netip"
	"time"
)

// Limiter decides how many requests a target runs at a time.
type Limiter interface {
	// Limit returns the present limit, at least 1.
	Limit() (limit int)

	// Observe takes in how one request ended while inFlight were running.
	Observe(now time.Time, latency time.Duration, inFlight int, overloaded bool)

	// Restart sets the limit back to what a cold target bears.
	Restart(now time.Time)

	// Resize sets the limit of a cold target and the largest limit.
	Resize(cold, slots int)
}

// Ticket names one request at a gate.
type Ticket uint64

// Waiter is a request that waits for a target.
type Waiter struct {
	Ticket Ticket
	Call   *Call

	// Since is when the request arrived at the gate.
	Since time.Time
}

// Queue holds the requests that wait for a target and decides their order.
type Queue interface {
	// Push adds a request. In a full queue one request gives way, which may
	// be the pushed one itself.
	Push(w Waiter) (displaced Waiter, full bool)

	// Pop removes the request that runs next.
	Pop(now time.Time) (next Waiter, found bool)

	// Remove takes out the request with the ticket.
	Remove(t Ticket) (found bool)

	// Each calls visit for every request until that returns false. The queue
	// must not be changed meanwhile.
	Each(visit func(w Waiter) (more bool))

	// Resize sets how many requests may wait and returns those that give way.
	Resize(length int) (displaced []Waiter)

	// Len returns the number of requests that wait.
	Len() (n int)
}

// Picker knows the links of a node and chooses the targets of calls.
type Picker interface {
	// Pick returns one of the endpoints, or why none may be used. A host in
	// tried is only chosen when no other one is left.
	Pick(now time.Time, call *Call, from ZoneName, endpoints []Endpoint, tried []netip.AddrPort) (chosen Endpoint, refusal *Refusal)

	// Report takes in how a call went whose target was picked.
	Report(now time.Time, r LinkReport)
}

// LinkReport says how a call over a link went.
type LinkReport struct {
	To   Endpoint
	Call *Call

	// Refusal is nil after an answer.
	Refusal *Refusal

	// Reached is true when the node of the target answered, so that what
	// failed is behind the link.
	Reached bool

	// Load is the used part of the target's limit, in thousandths. It only
	// has a meaning after an answer.
	Load int

	// Level is the least important class that the target, and the services
	// behind it, accept.
	Level Class
}

// Claimer records that a non-idempotent request is about to run.
type Claimer interface {
	// Claim returns nil when this call, and no other, may run the request.
	// A refusal says whether the request may have run before.
	Claim(ctx context.Context, call *Call) (refusal *Refusal)

	// Release gives back a claim whose request was not run.
	Release(call *Call)
}
