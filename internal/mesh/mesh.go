// Package mesh holds the core types of quetzalstack and the interfaces that
// its parts meet at. Implementations live in the packages below it.
package mesh

import (
	"context"
	"net/netip"
	"time"
)

// ZoneName names an availability zone.
type ZoneName string

// Zone is an availability zone as the settings tree describes it.
type Zone struct {
	Name   ZoneName
	Region string

	// Out is true while operators have taken the zone out. A target in such
	// a zone gets no new work.
	Out bool
}

// Incarnation orders the lives of one host or target. It is the start time in
// nanoseconds since the Unix epoch, so a later start has a higher value.
type Incarnation uint64

// NewIncarnation returns the incarnation of something that starts at now.
func NewIncarnation(now time.Time) (in Incarnation) {
	return Incarnation(now.UnixNano())
}

// HostState says whether a host takes new work.
type HostState uint8

// States of a host, in the order in which they override each other for one
// incarnation.
const (
	HostAlive HostState = iota
	HostSuspect
	HostDraining
	HostLeft
)

// String returns the name of the state as logs and status show it.
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

// Host is a target host with the node that runs in its slot.
type Host struct {
	// Addr is the address of the node's peer listener. It is unique in the
	// fleet and names the slot: a restarted node keeps it.
	Addr netip.AddrPort

	Zone        ZoneName
	Incarnation Incarnation

	// Revision rises with every change that the host makes to its own row
	// within one incarnation.
	Revision uint64

	State   HostState
	Targets []Target
}

// ServiceName names a service.
type ServiceName string

// Target is one instance of a service on a host.
type Target struct {
	Service ServiceName

	// Addr is where the target's own HTTP server listens. Only the node on
	// the same host sends work to it.
	Addr netip.AddrPort

	// Slots is how many requests the target says it runs at a time, at
	// least 1.
	Slots int

	// Connections is how many connections the target accepts, at least 1.
	Connections int

	// Name is the target's own id; empty where targets have none.
	Name string

	// ColdUntil is when the target leaves its cold start, on the clock of the
	// host that holds the value; zero while it is warm.
	ColdUntil time.Time

	// Incarnation changes whenever the target starts anew, that is, cold.
	Incarnation Incarnation

	Draining bool
}

// Endpoint is a target as seen from another host.
type Endpoint struct {
	Host   netip.AddrPort
	Zone   ZoneName
	Target Target
}

// Link is the way from this node to the node of another host.
type Link struct {
	To   netip.AddrPort
	Zone ZoneName

	// Failures counts failed attempts in a row. A success resets it.
	Failures int

	// RetryAt is when a link with failures may be tried again.
	RetryAt time.Time

	// Load is the last load that the far node reported, in thousandths of
	// its limit.
	Load int
}

// OrganisationName names a customer of the fleet.
type OrganisationName string

// Contract is what one organisation may send, over all hosts together.
type Contract struct {
	Organisation OrganisationName

	// Rate is in requests a second and above zero.
	Rate float64

	// Burst is in requests and at least 1.
	Burst float64

	// Weight is the organisation's part under overload, at least 1.
	Weight int
}

// Duty is one long-lived activity of a node. It owns its state alone and
// talks to other duties through bounded rings.
type Duty interface {
	// Name is the prefix of the duty's log lines and metrics.
	Name() string

	// Run works until ctx ends. An error ends the whole node.
	Run(ctx context.Context) (err error)
}

// Event is a message on a ring between duties.
type Event interface {
	// EventName names the type of event in logs and metrics.
	EventName() string
}
