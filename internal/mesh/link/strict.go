package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stateCloseWait is the state of a connection whose remote end has ended it in order (TCP_CLOSE_WAIT).
const stateCloseWait = unix.BPF_TCP_CLOSE_WAIT

// endWait is how long the end of a connection waits for the write in progress, which ends at once when
// the connection is dead.
const endWait = time.Second

// errUnknownEnd means that a connection has ended, and not whether in order.
var errUnknownEnd = errors.New("the connection ended while the request was being sent")

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (c net.Conn, err error)

// strictConn is a connection whose Read returns io.EOF only when the remote end has sent all that it was
// going to send. The kernel reports the failure of a connection to one system call. When that is a write
// of a request, a read of its answer, whose end may be the end of the connection, finds an end of file.
type strictConn struct {
	net.Conn
	raw syscall.RawConn

	// writing holds a token while a write is in progress.
	writing chan struct{}

	// failure is the first error of a read or write by which the kernel told how the connection
	// ended; nil while it has not. mu guards it.
	mu      sync.Mutex
	failure error
}

// dialStrict opens a strictConn with dial.
func dialStrict(ctx context.Context, dial dialFunc, network, address string) (c *strictConn, err error) {
	opened, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, isTCP := opened.(syscall.Conn)
	if !isTCP {
		_ = opened.Close()
		return nil, fmt.Errorf("the connection to %s is a %T, which is no socket", address, opened)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = opened.Close()
		return nil, err
	}
	return &strictConn{Conn: opened, raw: raw, writing: make(chan struct{}, 1)}, nil
}

// Write implements net.Conn.
func (c *strictConn) Write(p []byte) (n int, err error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err = c.Conn.Write(p)
	c.note(err)
	return n, err
}

// Read implements net.Conn.
func (c *strictConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		return n, c.end()
	}
	c.note(err)
	return n, err
}

// note keeps the error of a read or write if it tells how the connection ended.
func (c *strictConn) note(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}

// end returns io.EOF when the connection, on which a read found an end of file, ended in order.
func (c *strictConn) end() (err error) {
	state, stateErr := c.state()
	if stateErr == nil && state == stateCloseWait {
		return io.EOF
	}
	timer := time.NewTimer(endWait)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		<-c.writing
	case <-timer.C:
		return errUnknownEnd
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.failure == nil:
		return io.EOF
	case stateErr == nil && errors.Is(c.failure, syscall.EPIPE):
		// The end in order came before the failure, which is ECONNRESET or another error otherwise.
		return io.EOF
	default:
		return fmt.Errorf("the connection failed before the answer was complete: %w", c.failure)
	}
}

// state returns the state of the connection in the kernel.
func (c *strictConn) state() (state uint8, err error) {
	var info *unix.TCPInfo
	var infoErr error
	err = c.raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err = errors.Join(err, infoErr); err != nil {
		return 0, err
	}
	return info.State, nil
}
