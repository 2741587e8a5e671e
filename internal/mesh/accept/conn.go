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
	"sync/atomic"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/memory"
)

const (
	// stallTimeout is how long a write may make no progress before the connection is given up.
	stallTimeout = 5 * time.Second

	// lingerTime is how long bytes are discarded behind a refusal, and lingerPause the pause that
	// ends it. Most uploads take less than their time limit of a few seconds.
	lingerTime  = 5 * time.Second
	lingerPause = 500 * time.Millisecond

	// lingerBuffer is covered by what is charged for each connection.
	lingerBuffer = 2 << 10
)

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

	// holder is the part of the account that the connection holds; nil without an account.
	holder *memory.Holder
	bounds Bounds

	// head counts the bytes that arrive while a head is awaited, and inHead says that one is. body
	// does the same for the rate of a body that a handler reads.
	head   headCount
	inHead bool
	body   bodyRate

	closeOnce sync.Once
	closed    chan struct{}

	// evicted is true while the body that is being read makes room for others.
	evicted atomic.Bool

	// mu guards the read deadline while it moves from the connection to ahead.
	mu           sync.Mutex
	readDeadline time.Time

	// phaseDeadline is the end of the time for the current head, or of the window in which the rate
	// of a body is measured; zero when there is none.
	phaseDeadline time.Time

	// ahead is what the goroutine of the connection receives; nil until it has started.
	ahead *ahead
}

func newConn(accepted net.Conn) (c *conn) {
	return &conn{Conn: accepted, closed: make(chan struct{}), inHead: true}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (n int, err error) {
	n, arrived, err := c.receive(p)
	if len(p) <= 1 {
		return n, c.watched(n, err)
	}
	for c.body.reading && errors.Is(err, os.ErrDeadlineExceeded) && c.body.goesOn(time.Now()) {
		c.setPhaseDeadline(c.body.windowEnd)
		n, arrived, err = c.receive(p)
	}
	c.headArrived = arrived
	switch {
	case n == 0:
	case c.inHead:
		if refused := c.countHead(p[:n]); refused != nil {
			return 0, refused
		}
	case c.body.reading:
		c.body.received += n
		c.holder.Progress(n, arrived)
	}
	return n, err
}

// watched ends a read of one byte, by which net/http watches the connection while a handler runs. The
// byte begins a later request, and is parsed with the bytes that follow it. Without room for the ring,
// nothing more is received until the running request has ended.
func (c *conn) watched(n int, err error) error {
	if n == 1 && c.ahead == nil && c.holder.Grow(aheadBytes) {
		return errors.Join(err, c.receiveAhead())
	}
	return err
}

// receive reads from the connection, or from what was received behind a request.
func (c *conn) receive(p []byte) (n int, arrived time.Time, err error) {
	if c.ahead != nil {
		return c.ahead.read(p, c.closed)
	}
	n, err = c.Conn.Read(p)
	return n, time.Now(), err
}

// receiveAhead starts the goroutine that receives behind the running request.
func (c *conn) receiveAhead() (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	c.ahead = newAhead()
	c.ahead.deadline.set(c.effectiveDeadline())
	go func() {
		defer c.cancel()
		c.ahead.receive(c.Conn, c.closed)
	}()
	return nil
}

// Write implements net.Conn. It fails when the remote end takes nothing for stallTimeout.
func (c *conn) Write(p []byte) (n int, err error) {
	defer c.holder.EndWrite()
	for {
		now := time.Now()
		if err := c.Conn.SetWriteDeadline(now.Add(stallTimeout)); err != nil {
			return n, err
		}
		c.holder.BeginWrite(now)
		written, err := c.Conn.Write(p[n:])
		n += written
		if err == nil || written == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// CloseWrite closes the writing side; net/http calls it before it closes a connection on which
// bytes are still arriving. It discards them for a while: closing a connection with unread bytes resets
// it, and a remote end that sends its whole body before it reads would not get the refusal.
func (c *conn) CloseWrite() (err error) {
	half, can := c.Conn.(interface{ CloseWrite() error })
	if !can {
		return nil
	}
	if err := half.CloseWrite(); err != nil {
		return err
	}
	c.holder.Enter(memory.Idle, time.Now())
	end := time.Now().Add(lingerTime)
	for buffer := make([]byte, lingerBuffer); time.Now().Before(end); {
		if err := c.SetReadDeadline(time.Now().Add(lingerPause)); err != nil {
			return err
		}
		if _, _, err := c.receive(buffer); err != nil {
			return nil // The remote end has closed the connection or paused; the refusal was sent.
		}
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() (err error) {
	c.closeOnce.Do(func() { close(c.closed) })
	err = c.Conn.Close()
	c.holder.CloseSocket()
	return err
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
	return c.applyDeadline()
}

// setPhaseDeadline sets the deadline of the current head or body.
func (c *conn) setPhaseDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phaseDeadline = t
	_ = c.applyDeadline() // It fails on a closed connection, as the next read does.
}

// effectiveDeadline returns the earlier one of both deadlines; mu is held.
func (c *conn) effectiveDeadline() (t time.Time) {
	if c.readDeadline.IsZero() || !c.phaseDeadline.IsZero() && c.phaseDeadline.Before(c.readDeadline) {
		return c.phaseDeadline
	}
	return c.readDeadline
}

// applyDeadline applies the deadlines; mu is held.
func (c *conn) applyDeadline() (err error) {
	t := c.effectiveDeadline()
	if c.evicted.Load() {
		t = longAgo
	}
	if c.ahead != nil {
		c.ahead.deadline.set(t)
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// evict makes room for other connections. A body that is being read is refused, so that its sender
// learns that the request has not run; in every other stage the connection is closed.
func (c *conn) evict(s memory.Stage) {
	if s != memory.Body {
		_ = c.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted.Store(true)
	_ = c.applyDeadline() // It fails on a closed connection, as the next read does.
}
