// Package accept serves HTTP over connections that are read all the time, not only between two
// requests. The close of a remote end is noticed while a request runs, whatever was sent behind
// that request, and each request is known with the time at which it arrived.
package accept

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// chunkSize is the maximum number of bytes that one read takes from a connection.
	chunkSize = 2 << 10

	// maxChunks is the maximum number of chunks that are received ahead of the handler. While
	// they are all used, nothing more is read from the connection, and its close is not noticed.
	maxChunks = 8

	// stallTimeout is how long a write may make no progress before the connection is given up.
	stallTimeout = 5 * time.Second
)

// chunk is a piece of what a connection has received.
type chunk struct {
	data    []byte
	arrived time.Time
}

var buffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// conn is an accepted connection. One goroutine receives what arrives and passes it through a
// bounded ring to the goroutines of net/http, of which one at a time calls Read.
type conn struct {
	net.Conn

	// chunks is closed once the remote end has closed the connection or reading has failed.
	chunks chan chunk

	// receiveErr is the reason why chunks was closed. It is set before.
	receiveErr error

	// cancel cancels the contexts of all requests of the connection.
	cancel context.CancelFunc

	closeOnce sync.Once
	closed    chan struct{}
	deadline  deadline

	// current is the chunk that Read delivers, and unread the rest of its data.
	current chunk
	unread  []byte

	// headArrived is the arrival of the newest chunk that net/http has parsed.
	headArrived time.Time

	// requestArrived is when the last byte of the head of the current request arrived.
	requestArrived time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, chunks: make(chan chunk, maxChunks), closed: make(chan struct{}), deadline: newDeadline()}
}

// receive reads from the connection until it ends.
func (c *conn) receive() {
	defer close(c.chunks)
	defer c.cancel()
	for {
		buffer := buffers.Get().(*[chunkSize]byte)
		n, err := c.Conn.Read(buffer[:])
		if n > 0 {
			select {
			case c.chunks <- chunk{data: buffer[:n], arrived: time.Now()}:
			case <-c.closed:
				c.receiveErr = net.ErrClosed
				return
			}
		}
		if err != nil {
			c.receiveErr = err
			return
		}
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (n int, err error) {
	if len(c.unread) == 0 {
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n = copy(p, c.unread)
	c.unread = c.unread[n:]
	if len(p) > 1 {
		// net/http watches the connection by reads of one byte while a handler runs. That byte
		// begins a later request, and is parsed with the bytes that follow it.
		c.headArrived = c.current.arrived
	}
	return n, nil
}

// next waits for the next chunk.
func (c *conn) next() (err error) {
	select {
	case received, open := <-c.chunks:
		if !open {
			return c.receiveErr
		}
		if cap(c.current.data) == chunkSize {
			buffers.Put((*[chunkSize]byte)(c.current.data[:chunkSize]))
		}
		c.current, c.unread = received, received.data
		return nil
	case <-c.deadline.expired():
		return os.ErrDeadlineExceeded
	case <-c.closed:
		return net.ErrClosed
	}
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

// SetReadDeadline implements net.Conn. The deadline ends Read, not the receiving goroutine.
func (c *conn) SetReadDeadline(t time.Time) (err error) {
	c.deadline.set(t)
	return nil
}

// deadline is a channel that is closed once a time has come, and replaced when a later time is
// set after that.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	done  chan struct{}
}

func newDeadline() deadline { return deadline{done: make(chan struct{})} }

func (d *deadline) expired() (done <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// set replaces the time; the zero time means that there is no deadline.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.done // The timer is closing the channel.
	}
	d.timer = nil
	left := time.Until(t)
	select {
	case <-d.done:
		if t.IsZero() || left > 0 {
			d.done = make(chan struct{})
		}
	default:
		if !t.IsZero() && left <= 0 {
			close(d.done)
		}
	}
	if !t.IsZero() && left > 0 {
		done := d.done
		d.timer = time.AfterFunc(left, func() { close(done) })
	}
}
