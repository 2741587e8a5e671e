package mesh

import (
	"context"
	"io"
	"net/netip"
)

// Payload is the content of a request, independent of how it is encoded
// between nodes.
type Payload struct {
	Method string

	// Path is the escaped path below the service, with the query.
	Path string

	// Header holds neither keys nor headers of a single connection.
	Header map[string][]string

	// Body is complete, so that it can be sent again.
	Body []byte
}

// Answer is what a target answered.
type Answer struct {
	Status int
	Header map[string][]string

	// Body must be closed. An error while reading it means that the answer
	// is not whole.
	Body io.ReadCloser

	// Length is the length of the body where it is known beforehand, and -1
	// otherwise.
	Length int64

	// AttemptsLeft is what is left of the retry budget that the call brought.
	AttemptsLeft int

	// Level is the least important class that the service and those behind
	// it accept.
	Level Class

	// Load is the used part of the target's limit, in thousandths.
	Load int
}

// CallSender takes calls over the links to other hosts.
type CallSender interface {
	// SendCall returns the answer, or a refusal that says whether the call may
	// have run. A refusal comes with what is left of the retry budget.
	SendCall(ctx context.Context, to Endpoint, call *Call, payload *Payload) (answer *Answer, left int, refusal *Refusal)
}

// Message is a control message to another host.
type Message interface {
	Event

	// To is the receiver.
	To() (addr netip.AddrPort)

	// Send delivers the message and hands the reply to the duty that waits
	// for it.
	Send(ctx context.Context) (err error)
}
