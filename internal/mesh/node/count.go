package node

import (
	"expvar"
	"net"

	"github.com/quetzalstack/quetzalstack/internal/mesh/link"
)

// peerBytes counts the bytes that a node exchanges with other nodes: all bytes on
// its peer listener, and those of the control messages that it sends.
type peerBytes struct{ sent, received *expvar.Int }

func newPeerBytes(vars *expvar.Map) (p peerBytes) {
	p = peerBytes{sent: new(expvar.Int), received: new(expvar.Int)}
	vars.Set("peer-bytes-sent", p.sent)
	vars.Set("peer-bytes-received", p.received)
	return p
}

// meteredConn adds the bytes of a connection to the counts.
type meteredConn struct {
	net.Conn
	counts peerBytes
}

// Read implements net.Conn.
func (c *meteredConn) Read(data []byte) (n int, err error) {
	n, err = c.Conn.Read(data)
	c.counts.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(data []byte) (n int, err error) {
	n, err = c.Conn.Write(data)
	c.counts.sent.Add(int64(n))
	return n, err
}

// meteredListener counts the bytes of all connections that it accepts.
type meteredListener struct {
	net.Listener
	counts peerBytes
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (conn net.Conn, err error) {
	conn, err = l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, counts: l.counts}, nil
}

// controlTransport returns a transport for control messages that counts their bytes.
func (p peerBytes) controlTransport() (t *link.Transport) {
	return newTransport(0, link.WithConn(func(c net.Conn) (metered net.Conn) { return &meteredConn{Conn: c, counts: p} }))
}
