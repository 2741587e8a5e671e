package accept

import (
	"context"
	"net"
	"net/http"
	"time"
)

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

// connContext starts receiving, and returns the context of the connection's requests.
func connContext(ctx context.Context, accepted net.Conn) (connected context.Context) {
	c := accepted.(*conn)
	ctx, c.cancel = context.WithCancel(context.WithValue(ctx, connKey{}, c))
	go c.receive()
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
