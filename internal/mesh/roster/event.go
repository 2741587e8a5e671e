package roster

import (
	"net/netip"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Sender identifies the host and incarnation that sent a message.
type Sender struct {
	Host        netip.AddrPort
	Incarnation mesh.Incarnation
}

// TimerExpired reports that the time returned by Next has been reached.
type TimerExpired struct{}

// Announced reports that a target of this host announced itself.
type Announced struct{ Target mesh.Target }

// MessageReceived reports any message or reply from a host. It proves that the host is up.
type MessageReceived struct{ From Sender }

// PushReceived contains the rows of a push from another host.
type PushReceived struct {
	From Sender
	Rows []Row
}

// ConflictReceived contains a peer's row of this host that overrides this host's own row, so
// that this host must refute it.
type ConflictReceived struct{ Row Row }

// UnknownToPeer reports that a peer has no row of this host.
type UnknownToPeer struct{ Peer netip.AddrPort }

// Compared is the result of a comparison: the peer's rows in all buckets whose digests differ.
type Compared struct {
	From    Sender
	Buckets []int
	Rows    []Row

	// More is true when the reply did not include all buckets that differ.
	More bool
}

// Discovered contains hosts that are registered on the platform. Success is false when the
// platform could not be read.
type Discovered struct {
	Peers   []netip.AddrPort
	Success bool
}

// Registered reports whether the platform row of this host was written.
type Registered struct{ Success bool }

// Leaving reports that this host is draining: it accepts no new requests.
type Leaving struct{}

// Left reports that this host has finished all requests and shuts down.
type Left struct{}

// EventName implements mesh.Event.
func (TimerExpired) EventName() string { return "elapsed" }

// EventName implements mesh.Event.
func (Announced) EventName() string { return "announced" }

// EventName implements mesh.Event.
func (MessageReceived) EventName() string { return "heard" }

// EventName implements mesh.Event.
func (PushReceived) EventName() string { return "merged" }

// EventName implements mesh.Event.
func (ConflictReceived) EventName() string { return "objected" }

// EventName implements mesh.Event.
func (UnknownToPeer) EventName() string { return "asked" }

// EventName implements mesh.Event.
func (Compared) EventName() string { return "compared" }

// EventName implements mesh.Event.
func (Discovered) EventName() string { return "found" }

// EventName implements mesh.Event.
func (Registered) EventName() string { return "recorded" }

// EventName implements mesh.Event.
func (Leaving) EventName() string { return "leaving" }

// EventName implements mesh.Event.
func (Left) EventName() string { return "left" }

// Action is an effect of a step that the owner of the state must carry out.
type Action interface{ action() }

// Publish makes a new view visible to readers.
type Publish struct{ View *View }

// Heartbeat sends a heartbeat.
type Heartbeat struct{ To netip.AddrPort }

// Compare starts an anti-entropy exchange with a peer: digests first, then the rows that differ.
type Compare struct{ To netip.AddrPort }

// Push sends rows to a peer.
type Push struct {
	To   netip.AddrPort
	Rows []Row
}

// Discover reads the hosts that are registered on the platform.
type Discover struct{}

// Register writes the platform row of this host.
type Register struct{ Host mesh.Host }

// Deregister deletes the platform row of a host unless a later incarnation wrote it.
type Deregister struct{ Host mesh.Host }

func (Publish) action()    {}
func (Heartbeat) action()  {}
func (Compare) action()    {}
func (Push) action()       {}
func (Discover) action()   {}
func (Register) action()   {}
func (Deregister) action() {}
