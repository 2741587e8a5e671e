package accept

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/memory"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// discardTimeout is how long a refusal waits for the rest of the request body. A connection
	// whose body has been read can be used again, and closing one with unread bytes resets it,
	// which can overtake the refusal.
	discardTimeout = 250 * time.Millisecond

	// TCP keep-alive probes find a connection whose remote end is gone or cut off within
	// probeIdle + probeCount * probeInterval. The kernel counts in whole seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2

	// maxDiscardBytes is how much of an oversized body is read and discarded.
	maxDiscardBytes = 1 << 20
)

// Listen opens a listener. A remote end that disappears without closing its connection counts as
// one that has closed it.
func Listen(ctx context.Context, addr netip.AddrPort) (l net.Listener, err error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}}
	return config.Listen(ctx, "tcp", addr.String())
}

// Option configures how ServeBounded serves.
type Option func(*listener)

// WithAccount charges the connections to a group of an account.
func WithAccount(a *memory.Account, g memory.Group) Option {
	return func(l *listener) { l.account, l.group = a, g }
}

// WithBounds sets the bounds of the connections.
func WithBounds(b Bounds) Option { return func(l *listener) { l.bounds = b } }

// Serve serves the connections of a listener until the server is shut down or closed. It sets
// the server's connection hooks, and the context of each request is cancelled as soon as its
// caller closes the connection.
func Serve(s *http.Server, l net.Listener) (err error) { return ServeBounded(s, l) }

// ServeBounded is like Serve, with bounds and an account of the connections.
func ServeBounded(s *http.Server, l net.Listener, options ...Option) (err error) {
	s.ConnContext, s.ConnState = connContext, connState
	bounded := listener{Listener: l}
	for _, o := range options {
		o(&bounded)
	}
	bounded.bounds = bounded.bounds.withDefaults()
	return s.Serve(bounded)
}

// listener accepts connections within their bounds.
type listener struct {
	net.Listener

	// account is nil when connections are not charged.
	account *memory.Account
	group   memory.Group
	bounds  Bounds
}

// Accept implements net.Listener.
func (l listener) Accept() (accepted net.Conn, err error) {
	for {
		opened, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(opened)
		c.bounds = l.bounds
		if l.account == nil {
			return c, nil
		}
		c.holder = l.account.NewHolder(l.group, remoteIP(opened), c.evict)
		if l.account.Admit(c.holder) {
			return c, nil
		}
		_ = opened.Close() // Nothing has been read from it, so its closing is no answer.
	}
}

func remoteIP(c net.Conn) (ip netip.Addr) {
	if a, isTCP := c.RemoteAddr().(*net.TCPAddr); isTCP {
		return a.AddrPort().Addr().Unmap()
	}
	return ip
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// connContext returns the context of the connection's requests.
func connContext(ctx context.Context, accepted net.Conn) (connected context.Context) {
	c := accepted.(*conn)
	ctx, c.cancel = context.WithCancel(context.WithValue(ctx, connKey{}, c))
	return ctx
}

// connState follows the requests of a connection. It notes when a request arrived, before its handler
// runs.
func connState(accepted net.Conn, state http.ConnState) {
	c := accepted.(*conn)
	switch state {
	case http.StateActive:
		c.requestArrived = c.headArrived
		c.endHead()
		// A whole request is not cut. One that was evicted before is refused by TakeHead.
		c.holder.Enter(memory.Busy, time.Now())
	case http.StateIdle:
		c.awaitHead()
	case http.StateClosed:
		c.holder.Close()
	}
}

// connOf returns the connection of a request, or nil when Serve does not serve it.
func connOf(r *http.Request) (c *conn) {
	c, _ = r.Context().Value(connKey{}).(*conn)
	return c
}

// Holder returns what the connection of a request holds, or nil when it is not charged.
func Holder(r *http.Request) (h *memory.Holder) {
	if c := connOf(r); c != nil {
		return c.holder
	}
	return nil
}

// TakeHead charges the head of a request that has been parsed, as far as it was not charged while it
// arrived, and protects the request from making room for others. It refuses one without room.
func TakeHead(r *http.Request) (refusal *mesh.Refusal) {
	c := connOf(r)
	if c == nil || c.holder == nil {
		return nil
	}
	if !c.holder.Enter(memory.Busy, time.Now()) || !c.holder.ChargeUpTo(headCost(r)) {
		return noRoom("head")
	}
	r.Trailer = nil // Trailers are not forwarded.
	return nil
}

// headCost returns what the head of a request takes in memory.
func headCost(r *http.Request) (n int64) {
	n = int64(len(r.RequestURI) * headByteCost)
	for name, values := range r.Header {
		n += int64(len(name) * headByteCost)
		for _, v := range values {
			n += int64(len(v)*headByteCost + headLineCost)
		}
	}
	for name := range r.Trailer {
		n += int64(len(name)*headByteCost + headLineCost)
	}
	return n
}

// noRoomRetryAfter is the time in which connections that make room for others have released theirs.
const noRoomRetryAfter = 500 * time.Millisecond

func noRoom(part string) (refusal *mesh.Refusal) {
	refusal = mesh.NotRun(header.NodeBusy, "the node has no memory for the %s of the request", part)
	refusal.RetryAfter = noRoomRetryAfter
	return refusal
}

// Arrived returns when the last byte of the head of a request arrived. When other requests came
// before it on its connection, that is long before its handler runs.
func Arrived(r *http.Request) (at time.Time) {
	if c, found := r.Context().Value(connKey{}).(*conn); found {
		return c.requestArrived
	}
	return time.Now()
}

// BoundRefusal bounds how long the refusal of a request, which is written next, waits for the
// rest of the request body.
func BoundRefusal(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// An error means that the connection is closed, which ends the wait as well.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	}
}

// ReadBody reads a request body of at most limit bytes. It refuses a request whose body is
// larger, or does not arrive before ctx is done.
func ReadBody(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) (body []byte, refusal *mesh.Refusal) {
	pieces, refusal := ReadPieces(ctx, w, r, limit)
	if len(pieces) == 1 {
		return pieces[0], refusal
	}
	return bytes.Join(pieces, nil), refusal
}

// ReadPieces is like ReadBody, but returns the body in pieces, which are charged and allocated one
// after the other as the body arrives. Once it is whole, the request no longer makes room for others.
func ReadPieces(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) (body mesh.Pieces, refusal *mesh.Refusal) {
	if ctx.Err() != nil {
		return nil, mesh.Interrupted(context.Cause(ctx), header.NotRun, "before the request was handled")
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		BoundRefusal(w, r)
		// The request is refused whether its body arrives or not.
		_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
		return nil, mesh.NotRun(header.BodyTooLarge, "the body size of %d bytes exceeds the limit of %d bytes", r.ContentLength, limit)
	}
	deadline, _ := ctx.Deadline()
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		return nil, mesh.NotRun(header.BodyBroken, "setting the read deadline of the body failed: %v", err)
	}
	if c := connOf(r); c != nil {
		if !c.beginBody(time.Now()) {
			return nil, noRoom("body")
		}
		defer func() {
			if !c.endBody() && refusal == nil {
				refusal = noRoom("body")
			}
			r.Trailer = nil // Trailers are not forwarded.
			if refusal != nil {
				body = nil
				c.holder.End()
			}
		}()
	}
	body, err := readPieces(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, Holder(r))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoomForBody) || err != nil && Holder(r).Evicted():
		return nil, noRoom("body")
	case errors.As(err, &tooLarge):
		return nil, mesh.NotRun(header.BodyTooLarge, "the body exceeds the limit of %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, mesh.Interrupted(context.DeadlineExceeded, header.NotRun, "before the body arrived")
	case err != nil && ctx.Err() != nil:
		return nil, mesh.Interrupted(context.Cause(ctx), header.NotRun, "before the body arrived")
	case err != nil:
		return nil, mesh.NotRun(header.BodyBroken, "reading the body failed: %v", err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, mesh.NotRun(header.BodyBroken, "resetting the read deadline of the connection failed: %v", err)
	}
	return body, nil
}

var errNoRoomForBody = errors.New("no memory for the body of the request")

const (
	// wholeBytes is the size up to which a body of known length is read in one piece.
	wholeBytes = 64 << 10

	// minPiece and maxPiece are the sizes of the first and of the largest pieces of other bodies.
	// Each piece is twice as large as the one before.
	minPiece = 4 << 10
	maxPiece = 256 << 10
)

// readPieces reads a body of a length, or of an unknown one below 0.
func readPieces(source io.Reader, length int64, holder *memory.Holder) (body mesh.Pieces, err error) {
	size := int64(minPiece)
	if length >= 0 && length <= wholeBytes {
		size = length
	}
	for left := length; left != 0; {
		if left > 0 {
			size = min(size, left)
		}
		if !holder.Charge(size) {
			return body, errNoRoomForBody
		}
		piece := make([]byte, size)
		n, err := fill(source, piece)
		if n > 0 {
			body = append(body, piece[:n])
		}
		switch {
		case errors.Is(err, io.EOF) && left < 0:
			return body, nil
		case errors.Is(err, io.EOF):
			return body, io.ErrUnexpectedEOF
		case err != nil:
			return body, err
		case left > 0:
			left -= int64(n)
		}
		size = min(2*size, maxPiece)
	}
	return body, nil
}

// fill reads until the piece is full. Other than io.ReadFull it returns the error of the source as it
// is, since io.ErrUnexpectedEOF of a body means that it broke off.
func fill(source io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) {
		read, err := source.Read(piece[n:])
		n += read
		if err != nil && n < len(piece) {
			return n, err
		}
	}
	return n, nil
}
