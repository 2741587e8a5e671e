// Package accept serves HTTP over connections that are observed while a request runs. The close
// of a remote end is noticed whatever was sent behind that request, and each request is known
// with the time at which it arrived.
package accept

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// stallTimeout is how long a write may make no progress before the connection is given up.
const stallTimeout = 5 * time.Second

// conn is an accepted connection, of which net/http lets one goroutine at a time call Read.
//
// While a handler runs, net/http watches the connection by a read of one byte. It notices the
// close of the remote end unless a byte arrives first. From then on, a goroutine of the connection
// receives all that arrives and passes it to Read through a bounded ring.
type conn struct {
	net.Conn

	// cancel cancels the contexts of all requests of the connection.
	cancel context.CancelFunc

	// headArrived is when the newest bytes arrived that net/http has parsed.
	headArrived time.Time

	// requestArrived is when the last byte of the head of the current request arrived.
	requestArrived time.Time

	closeOnce sync.Once
	closed    chan struct{}

	// mu guards the read deadline while it moves from the connection to ahead.
	mu           sync.Mutex
	readDeadline time.Time

	// ahead is what the goroutine of the connection receives; nil until it has started.
	ahead *ahead
}

func newConn(accepted net.Conn) (c *conn) { return &conn{Conn: accepted, closed: make(chan struct{})} }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (n int, err error) {
	var arrived time.Time
	if c.ahead != nil {
		n, arrived, err = c.ahead.read(p, c.closed)
	} else {
		n, err = c.Conn.Read(p)
		arrived = time.Now()
	}
	switch {
	case len(p) > 1:
		c.headArrived = arrived
	case n == 1 && c.ahead == nil:
		// The byte begins a later request, and is parsed with the bytes that follow it.
		if err := c.receiveAhead(); err != nil {
			return n, err
		}
	}
	return n, err
}

// receiveAhead starts the goroutine that receives behind the running request.
func (c *conn) receiveAhead() (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	c.ahead = newAhead()
	c.ahead.deadline.set(c.readDeadline)
	go func() {
		defer c.cancel()
		c.ahead.receive(c.Conn, c.closed)
	}()
	return nil
}

// Write implements net.Conn. It fails when the remote end takes nothing for stallTimeout.
func (c *conn) Write(p []byte) (n int, err error) {
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
			return n, err
		}
		written, err := c.Conn.Write(p[n:])
		n += written
		if err == nil || written == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// CloseWrite closes the writing side; net/http calls it before it closes a connection on which
// bytes are still arriving.
func (c *conn) CloseWrite() (err error) {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() (err error) {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) (err error) {
	return errors.Join(c.SetReadDeadline(t), c.Conn.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn. The deadline ends Read, not the goroutine that receives
// behind a request.
func (c *conn) SetReadDeadline(t time.Time) (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ahead != nil {
		c.ahead.deadline.set(t)
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}
