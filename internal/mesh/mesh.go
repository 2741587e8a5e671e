// Package mesh defines the core types of quetzalstack and the interfaces between
// its components. Implementations live in the packages below it.
package mesh

import (
	"context"
	"net/netip"
	"time"
)

// ZoneName is the name of an availability zone.
type ZoneName string

// Zone is an availability zone as configured in the settings tree.
type Zone struct {
	Name   ZoneName
	Region string

	// Out is true while operators have taken the zone out of service. Targets in
	// such a zone receive no new requests.
	Out bool
}

// Incarnation identifies one run of a host or target, from start to stop. It is the
// start time in nanoseconds since the Unix epoch, so a restart has a higher value.
type Incarnation uint64

// NewIncarnation returns the incarnation of a host or target that starts at now.
func NewIncarnation(now time.Time) (in Incarnation) {
	return Incarnation(now.UnixNano())
}

// HostState is the membership state of a host; it decides whether the host receives
// new requests.
type HostState uint8

// Host states in order of precedence: within one incarnation, a later state overrides
// an earlier one.
const (
	HostAlive HostState = iota
	HostSuspect
	HostDraining
	HostLeft
)

// String returns the name of the state as shown in logs and status output.
func (s HostState) String() string {
	switch s {
	case HostAlive:
		return "alive"
	case HostSuspect:
		return "suspect"
	case HostDraining:
		return "draining"
	case HostLeft:
		return "left"
	default:
		return "invalid"
	}
}

// Host is a machine that runs targets and one node.
type Host struct {
	// Addr is the address of the node's peer listener. It is unique in the fleet
	// and identifies the host: it stays the same when the node restarts.
	Addr netip.AddrPort

	Zone        ZoneName
	Incarnation Incarnation

	// Revision increases with every change that the host makes to its own
	// membership entry within one incarnation.
	Revision uint64

	State   HostState
	Targets []Target
}

// ServiceName is the name of a service.
type ServiceName string

// Target is one instance of a service on a host.
type Target struct {
	Service ServiceName

	// Addr is the address of the target's own HTTP server. Only the node on the
	// same host sends requests to it.
	Addr netip.AddrPort

	// Slots is the number of concurrent requests that the target reports it can
	// run, at least 1.
	Slots int

	// Connections is the maximum number of connections the target accepts, at least 1.
	Connections int

	// Name is the target's own id; empty when targets have none.
	Name string

	// ColdUntil is the end of the target's cold start, on the local host's clock;
	// zero when the target is warm.
	ColdUntil time.Time

	// Incarnation changes with every restart of the target, after which it is cold.
	Incarnation Incarnation

	// Version is the version of the target's software; empty when it is not known.
	Version VersionName

	Draining bool
}

// Endpoint is a target together with the host and zone it runs in.
type Endpoint struct {
	Host   netip.AddrPort
	Zone   ZoneName
	Target Target
}

// Link is the connection state from this node to the node of another host.
type Link struct {
	To   netip.AddrPort
	Zone ZoneName

	// Failures is the number of consecutive failures. A success resets it.
	Failures int

	// RetryAt is the end of the backoff after failures.
	RetryAt time.Time

	// Load is the utilisation that the remote node last reported, in thousandths
	// of its limit.
	Load int
}

// OrganisationName is the name of an organisation, a customer of the fleet.
type OrganisationName string

// Contract is the fleet-wide rate limit (a token bucket) and weight of one organisation.
type Contract struct {
	Organisation OrganisationName

	// Rate is in requests per second; zero means no rate limit.
	Rate float64

	// Burst is in requests and at least 1.
	Burst float64

	// Weight is the organisation's fair-share weight under overload, at least 1.
	Weight int
}

// Duty is a long-running task of a node, built as an actor: it owns its state exclusively
// and exchanges messages with other duties through bounded queues.
type Duty interface {
	// Name returns the prefix of the duty's log lines and metrics.
	Name() string

	// Run runs the duty until ctx is done. An error stops the whole node.
	Run(ctx context.Context) (err error)
}

// Event is a message between duties.
type Event interface {
	// EventName returns the name of the event type in logs and metrics.
	EventName() string
}
