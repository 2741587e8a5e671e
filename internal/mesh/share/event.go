package share

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Process identifies one run of a node, from start to stop, by its address and the start time
// of the process. Incarnation is not the incarnation in the roster: that one also increases
// when a node refutes a suspicion, which does not affect its shares.
type Process struct {
	Addr        netip.AddrPort
	Incarnation mesh.Incarnation `json:"Life"`
}

// AllocationKey identifies an allocation within an account.
type AllocationKey struct {
	// Lender is the process that the allocation is returned to. It is zero for an allocation
	// granted by the platform.
	Lender Process

	// Root is the process that the platform originally granted the allowance to.
	Root Process
}

// Kind determines how the sender and the receiver account for a transfer.
type Kind uint8

// Kinds of transfer.
const (
	// Loan opens or increases a loan to the receiver.
	Loan Kind = iota

	// Return returns all or part of a loan to the lender.
	Return

	// HandOver transfers an allocation granted by the platform, and the loans out of it, to
	// the successor of a node that leaves.
	HandOver
)

// OpenLoan describes an open loan in a hand-over.
type OpenLoan struct {
	Borrower  Process
	Allowance Allowance

	// Remaining is the time until the lender may reclaim the loan.
	Remaining time.Duration
}

// Transfer moves an allowance between two nodes. The sender has already debited it, and
// resends the transfer until it is acknowledged.
type Transfer struct {
	// ID increases with each transfer from one process to one receiver.
	ID uint64

	// Floor is the lowest ID that the sender may still resend.
	Floor uint64

	// ReceiverIncarnation is the incarnation that the transfer is addressed to. Other
	// incarnations of the receiver reject it.
	ReceiverIncarnation mesh.Incarnation

	Organisation mesh.OrganisationName
	Kind         Kind
	Root         Process
	Allowance    Allowance

	// Lease is the remaining time of the lease.
	Lease time.Duration

	// Leaf is true when the receiver must not lend the allowance to others.
	Leaf bool

	// Issued, Relinquished and Loans are only set in a hand-over.
	Issued, Relinquished Allowance
	Loans                []OpenLoan
}

// AllowanceRequest asks a peer for allowance, or recalls a loan from it.
type AllowanceRequest struct {
	Organisation mesh.OrganisationName

	// Need is the number of tokens that queued requests are short of.
	Need Amount

	// Demand is the sender's arrival rate, and Rate the refill rate of its allocations.
	Demand, Rate Amount

	// HopLimit is how many more times the request may be forwarded. It bounds the path of a
	// request and prevents loops.
	HopLimit int

	// Recall is true when a contract was lowered and the receiver must return the capacity in
	// Need and the rate in Demand, even if it uses them.
	Recall bool

	// Leaf is true when the sender does not lend.
	Leaf bool

	// Timeout is how long the sender waits for an answer.
	Timeout time.Duration
}

// Batch is the content of one message between two nodes.
type Batch struct {
	// Incarnation is the incarnation of the sender.
	Incarnation mesh.Incarnation

	// Sent is the time of creation, on the sender's clock.
	Sent time.Time

	Requests  []AllowanceRequest
	Transfers []Transfer

	// Acks are the IDs of the receiver's transfers that the sender has applied. Denied are
	// those that it has rejected and will never apply, such as those addressed to an earlier
	// incarnation.
	Acks, Denied []uint64

	// Declined lists the organisations for which the sender has no allowance to spare.
	Declined []mesh.OrganisationName
}

// Configured carries the contracts in force.
type Configured struct {
	Contracts map[mesh.OrganisationName]mesh.Contract
	Zones     int
	Lease     time.Duration
}

// EventName implements mesh.Event.
func (Configured) EventName() string { return "contracts-configured" }

// Delivered carries a message received from a peer.
type Delivered struct {
	From  netip.AddrPort
	Batch Batch

	// Reply is true when the message is the response to one of this node's own messages.
	// A response has no response of its own, so what it requires is sent as a new message.
	Reply bool
}

// EventName implements mesh.Event.
func (Delivered) EventName() string { return "shares-delivered" }

// Unreachable reports that sending a message to a peer failed. The peer may have received it.
type Unreachable struct{ To netip.AddrPort }

// EventName implements mesh.Event.
func (Unreachable) EventName() string { return "peer-unreachable" }

// Issued carries the platform's row of an organisation after a job has read or written it.
type Issued struct {
	Organisation mesh.OrganisationName
	Row          Row

	// Started is when the job started. Leases count from it.
	Started time.Time

	// Written is the root whose grant this job is known to have written, or zero.
	Written Process

	// Fresh is the number of tokens that the write took from Row.Fresh.
	Fresh Amount
}

// EventName implements mesh.Event.
func (Issued) EventName() string { return "share-issued" }

// IssueFailed reports that a job failed and that its write may have been applied.
type IssueFailed struct{ Organisation mesh.OrganisationName }

// EventName implements mesh.Event.
func (IssueFailed) EventName() string { return "issue-failed" }

// Woken reports that the time returned by Wake was reached.
type Woken struct{}

// EventName implements mesh.Event.
func (Woken) EventName() string { return "woken" }

// Leave makes the node transfer all its shares to other nodes before it stops.
type Leave struct{}

// EventName implements mesh.Event.
func (Leave) EventName() string { return "leave" }

// Action is an instruction of the ledger to the duty that runs it.
type Action interface{ actionName() string }

// Send sends a message to a peer.
type Send struct {
	To    netip.AddrPort
	Batch Batch
}

// Decide admits or refuses a queued request.
type Decide struct {
	Ticket   uint64
	Admitted bool
}

// Issue applies a change to the grant of one root in the platform's row.
type Issue struct {
	Organisation mesh.OrganisationName
	Change       Change
}

func (Send) actionName() string   { return "send" }
func (Decide) actionName() string { return "decide" }
func (Issue) actionName() string  { return "issue" }
