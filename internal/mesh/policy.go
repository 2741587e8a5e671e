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
}

// Picker chooses the target of a call.
type Picker interface {
	// Pick returns one of the endpoints, or false when none may be used.
	// It skips the hosts in tried.
	Pick(now time.Time, from ZoneName, endpoints []Endpoint, links Links, tried []netip.AddrPort) (chosen Endpoint, found bool)
}

// Links tells what a node knows of its links.
type Links interface {
	// Link returns the link to the host.
	Link(to netip.AddrPort) (link Link)
}

// Claimer records that a non-idempotent request is about to run.
type Claimer interface {
	// Claim returns nil when this call, and no other, may run the request.
	// A refusal says whether the request may have run before.
	Claim(ctx context.Context, call *Call) (refusal *Refusal)

	// Release gives back a claim whose request was not run.
	Release(call *Call)
}
