package roster

import (
	"net/netip"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Sender names the life of a host that a message comes from.
type Sender struct {
	Host        netip.AddrPort
	Incarnation mesh.Incarnation
}

// Elapsed says that the time that Next named has come.
type Elapsed struct{}

// Announced says that a target of this host announced itself.
type Announced struct{ Target mesh.Target }

// MessageReceived says that a message or an answer of a host arrived.
type MessageReceived struct{ From Sender }

// PushReceived brings rows that a host pushed.
type PushReceived struct {
	From Sender
	Rows []Row
}

// ConflictReceived brings the row of this host that another one has to object with.
type ConflictReceived struct{ Row Row }

// UnknownToPeer says that a host does not know this one.
type UnknownToPeer struct{ By netip.AddrPort }

// Compared brings whole buckets of a peer in which its table differed.
type Compared struct {
	From    Sender
	Buckets []int
	Rows    []Row

	// More is true when further buckets differed.
	More bool
}

// Discovered brings hosts that the platform names, or none when it gave no answer.
type Discovered struct {
	Peers   []netip.AddrPort
	Success bool
}

// Registered says whether the platform row of this host was written.
type Registered struct{ Success bool }

// Leaving says that this host takes no new work.
type Leaving struct{}

// Left says that this host has finished all work and ends.
type Left struct{}

// EventName implements mesh.Event.
func (Elapsed) EventName() string { return "elapsed" }

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

// Action is what the owner of the state has to do after a step.
type Action interface{ action() }

// Publish makes a new view visible.
type Publish struct{ View *View }

// Heartbeat sends a heartbeat.
type Heartbeat struct{ To netip.AddrPort }

// Compare compares digests with a peer.
type Compare struct{ To netip.AddrPort }

// Push sends rows to a peer.
type Push struct {
	To   netip.AddrPort
	Rows []Row
}

// Discover asks the platform for hosts to join from.
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
