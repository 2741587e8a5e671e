package accept

import (
	"context"
	"net"
	"net/http"
)

// Serve serves the connections of a listener until the server is shut down or closed. It sets
// the server's ConnContext hook, and the context of each request is cancelled as soon as its
// caller closes the connection.
func Serve(s *http.Server, l net.Listener) (err error) {
	s.ConnContext = connContext
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

// connContext starts receiving, and returns the context of the connection's requests.
func connContext(ctx context.Context, accepted net.Conn) (connected context.Context) {
	c := accepted.(*conn)
	ctx, c.cancel = context.WithCancel(ctx)
	go c.receive()
	return ctx
}
