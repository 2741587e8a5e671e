package mesh

import (
	"context"
	"io"
	"net/netip"
)

// Payload is the content of a request, independent of its encoding between nodes.
type Payload struct {
	Method string

	// Path is the escaped path below the service, including the query.
	Path string

	// Header excludes API keys and hop-by-hop headers.
	Header map[string][]string

	// Body is fully buffered, so that the request can be retried.
	Body []byte
}

// Answer is the response of a target.
type Answer struct {
	Status int
	Header map[string][]string

	// Body must be closed by the receiver. A read error means that the answer
	// is incomplete.
	Body io.ReadCloser

	// Length is the length of the body in bytes, or -1 when it is not known in advance.
	Length int64

	// AttemptsLeft is the unspent part of the call's retry budget.
	AttemptsLeft int

	// Level is the admission level: the least important class that the service
	// and the services it depends on accept.
	Level Class

	// Load is the utilisation of the target's concurrency limit, in thousandths.
	Load int

	// Room is what the target's node knows about how much the target takes; nil when it did
	// not say.
	Room *Room
}

// CallSender sends calls to the nodes of other hosts.
type CallSender interface {
	// SendCall returns the answer, or a refusal that says whether the call may
	// have run. With a refusal, left is the remaining retry budget.
	SendCall(ctx context.Context, to Endpoint, call *Call, payload *Payload) (answer *Answer, left int, refusal *Refusal)
}

// Message is a control-plane message to another host.
type Message interface {
	Event

	// To returns the address of the receiver.
	To() (addr netip.AddrPort)

	// Send sends the message and passes the reply to the duty that expects it.
	Send(ctx context.Context) (err error)
}

// Pieces is a body in the pieces in which it was received. None of them is empty.
type Pieces [][]byte

// Len returns the size of the body in bytes.
func (p Pieces) Len() (n int) {
	for _, piece := range p {
		n += len(piece)
	}
	return n
}
