package share

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Process is one life of the node in a slot. The life is the start time of the
// process. It is not the incarnation of the roster, which rises when a node
// refutes a suspicion although it keeps its shares.
type Process struct {
	Addr        netip.AddrPort
	Incarnation mesh.Incarnation `json:"Life"`
}

// AllocationKey names a lot.
type AllocationKey struct {
	// Lender gets the lot back. It is zero for a lot issued by the platform.
	Lender Process

	// Root is whom the platform issued the allowance to.
	Root Process
}

// Kind says what a transfer means for the books of its sender and receiver.
type Kind uint8

// Kinds of transfer.
const (
	// Loan opens or raises a loan to the receiver.
	Loan Kind = iota

	// Return gives a loan, or a part of it, back.
	Return

	// HandOver passes a lot that the platform issued, and the loans out of
	// it, to an heir.
	HandOver
)

// OpenLoan is an open loan as a hand-over names it.
type OpenLoan struct {
	Borrower  Process
	Allowance Allowance

	// Remaining is the time until the loan may be restored.
	Remaining time.Duration
}

// Transfer moves a parcel between two nodes. Its sender has already debited
// it, and repeats it until it is acknowledged.
type Transfer struct {
	// ID rises with each transfer from one life to one receiver.
	ID uint64

	// Floor is the lowest ID that the sender may still repeat.
	Floor uint64

	// ReceiverIncarnation is the life of the receiver that the parcel is meant for.
	ReceiverIncarnation mesh.Incarnation

	Organisation mesh.OrganisationName
	Kind         Kind
	Root         Process
	Allowance    Allowance

	// Lease is the time that remains of the lease.
	Lease time.Duration

	// Leaf is true when the receiver must not lend the parcel on.
	Leaf bool

	// Issued, Relinquished and Loans are filled in for a hand-over.
	Issued, Relinquished Allowance
	Loans                []OpenLoan
}

// AllowanceRequest is a request for allowance.
type AllowanceRequest struct {
	Organisation mesh.OrganisationName

	// Need is the number of tokens that requests wait for.
	Need Amount

	// Demand is the sender's arrival rate, Rate what its lots bring.
	Demand, Rate Amount

	// HopLimit is how many times the receiver may ask on. It bounds the way of
	// an ask and rules out circles.
	HopLimit int

	// Recall is true when a lowered contract demands the amounts in Need and
	// Demand, although the receiver may use them.
	Recall bool

	// Leaf is true when the sender does not lend.
	Leaf bool

	// Timeout is how long the sender waits for an answer.
	Timeout time.Duration
}

// Batch is what one node tells another in one message.
type Batch struct {
	// Incarnation is the sender's.
	Incarnation mesh.Incarnation

	// Sent is when the batch was made, by the sender's clock.
	Sent time.Time

	Requests  []AllowanceRequest
	Transfers []Transfer

	// Acks names transfers of the receiver that were applied or, in Denied,
	// were meant for an earlier life of the sender.
	Acks, Denied []uint64

	// Declined lists organisations of which the sender has nothing to give.
	Declined []mesh.OrganisationName
}

// Configured brings the contracts in force.
type Configured struct {
	Contracts map[mesh.OrganisationName]mesh.Contract
	Zones     int
	Lease     time.Duration
}

// EventName implements mesh.Event.
func (Configured) EventName() string { return "contracts-configured" }

// Delivered brings a message of a peer.
type Delivered struct {
	From  netip.AddrPort
	Batch Batch

	// Reply is true for the answer to an own message, which can itself not be
	// answered at once.
	Reply bool
}

// EventName implements mesh.Event.
func (Delivered) EventName() string { return "shares-delivered" }

// Unreachable says that a message to a peer failed. It may have arrived.
type Unreachable struct{ To netip.AddrPort }

// EventName implements mesh.Event.
func (Unreachable) EventName() string { return "peer-unreachable" }

// Issued brings the platform's row of an organisation.
type Issued struct {
	Organisation mesh.OrganisationName
	Row          Row

	// Started is when the job began. Leases count from it.
	Started time.Time

	// Written is the root whose record this job surely wrote, or zero.
	Written Process

	// Fresh is the number of tokens that the write took from Row.Fresh.
	Fresh Amount
}

// EventName implements mesh.Event.
func (Issued) EventName() string { return "share-issued" }

// IssueFailed says that the state of the row is not known.
type IssueFailed struct{ Organisation mesh.OrganisationName }

// EventName implements mesh.Event.
func (IssueFailed) EventName() string { return "issue-failed" }

// Woken says that the time of Wake has come.
type Woken struct{}

// EventName implements mesh.Event.
func (Woken) EventName() string { return "woken" }

// Leave says that the node gives all its shares away.
type Leave struct{}

// EventName implements mesh.Event.
func (Leave) EventName() string { return "leave" }

// Action is what the duty does for the ledger.
type Action interface{ actionName() string }

// Send is a message to a peer.
type Send struct {
	To    netip.AddrPort
	Batch Batch
}

// Decide answers a request that waited.
type Decide struct {
	Ticket   uint64
	Admitted bool
}

// Issue asks the platform to change the record of one root.
type Issue struct {
	Organisation mesh.OrganisationName
	Change       Change
}

func (Send) actionName() string   { return "send" }
func (Decide) actionName() string { return "decide" }
func (Issue) actionName() string  { return "issue" }
