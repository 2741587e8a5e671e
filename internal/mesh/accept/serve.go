package accept

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
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

// Serve serves the connections of a listener until the server is shut down or closed. It sets
// the server's connection hooks, and the context of each request is cancelled as soon as its
// caller closes the connection.
func Serve(s *http.Server, l net.Listener) (err error) {
	s.ConnContext, s.ConnState = connContext, connState
	return s.Serve(listener{l})
}

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (accepted net.Conn, err error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// connContext returns the context of the connection's requests.
func connContext(ctx context.Context, accepted net.Conn) (connected context.Context) {
	c := accepted.(*conn)
	ctx, c.cancel = context.WithCancel(context.WithValue(ctx, connKey{}, c))
	return ctx
}

// connState notes when a request arrived, before its handler runs.
func connState(accepted net.Conn, state http.ConnState) {
	if c := accepted.(*conn); state == http.StateActive {
		c.requestArrived = c.headArrived
	}
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
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return body, mesh.NotRun(header.BodyTooLarge, "the body exceeds the limit of %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return body, mesh.Interrupted(context.DeadlineExceeded, header.NotRun, "before the body arrived")
	case err != nil && ctx.Err() != nil:
		return body, mesh.Interrupted(context.Cause(ctx), header.NotRun, "before the body arrived")
	case err != nil:
		return body, mesh.NotRun(header.BodyBroken, "reading the body failed: %v", err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return body, mesh.NotRun(header.BodyBroken, "resetting the read deadline of the connection failed: %v", err)
	}
	return body, nil
}

func readAll(source io.Reader, length int64) (body []byte, err error) {
	if length < 0 {
		return io.ReadAll(source)
	}
	body = make([]byte, length)
	_, err = io.ReadFull(source, body)
	return body, err
}
