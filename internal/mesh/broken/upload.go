package broken

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// End is how a connection ends behind an answer.
type End uint8

const (
	// Reset is an end that may take sent bytes with it.
	Reset End = iota

	// ResetWhenAcknowledged is a reset after everything that was sent has arrived.
	ResetWhenAcknowledged

	// Close is the end by a server that closes its connection. It is a reset if the request was not read
	// whole, and then waits for bytes to be left unread; else it is an end in order.
	Close

	// Finish is an end in order: everything that was sent arrives.
	Finish

	// FinishThenReset is an end in order that has arrived, with a reset right behind it.
	FinishThenReset
)

// readOfUpload is how much of an upload is read before its answer, in bytes.
const readOfUpload = 64 << 10

// Upload is a way to answer a request before its body has been read.
type Upload struct {
	// Head returns the status line and the fields, as whole lines without the empty line behind them.
	Head func(r *http.Request) (text string)

	// Size is the size of the body in bytes.
	Size int

	// Pause is the time between the answer and the end of the connection.
	Pause time.Duration
	End   End

	// Whole reads the whole request before the answer.
	Whole bool
}

// UploadServer answers each request on a connection of its own.
type UploadServer struct {
	Addr netip.AddrPort

	// Requests is the number of requests that came so far.
	Requests atomic.Int64

	upload Upload

	// done is closed when the test ends.
	done chan struct{}
}

// NewUploadServer starts a server on the loopback interface that answers in the way of u, until the test
// ends.
func NewUploadServer(tb testing.TB, u Upload) (s *UploadServer) {
	tb.Helper()
	s = &UploadServer{upload: u, done: make(chan struct{})}
	tb.Cleanup(func() { close(s.done) })
	s.Addr = listen(tb, s.serve)
	return s
}

func (s *UploadServer) serve(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.Requests.Add(1)
	limit := int64(readOfUpload)
	if s.upload.Whole {
		limit = r.ContentLength
	}
	if _, err := io.CopyN(io.Discard, r.Body, min(limit, r.ContentLength)); err != nil {
		return
	}
	text := append([]byte(s.upload.Head(r)+"\r\n"), bytes.Repeat([]byte("p"), s.upload.Size)...)
	if _, err := c.Write(text); err != nil {
		return
	}
	time.Sleep(s.upload.Pause)
	switch s.upload.End {
	case Reset:
		_ = c.SetLinger(0)
	case ResetWhenAcknowledged:
		awaitAcknowledgement(c)
		_ = c.SetLinger(0)
	case Finish:
		_ = c.CloseWrite()
		<-s.done
	case FinishThenReset:
		_ = c.CloseWrite()
		awaitAcknowledgement(c)
		_ = c.SetLinger(0)
	case Close:
		if !s.upload.Whole {
			awaitUnread(c)
		}
	}
}

// awaitAcknowledgement waits until the remote end has acknowledged what was sent, an end included.
func awaitAcknowledgement(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	for outstanding := 1; outstanding > 0 && err == nil; time.Sleep(time.Millisecond) {
		var countErr error
		err = raw.Control(func(fd uintptr) { outstanding, countErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		err = errors.Join(err, countErr)
	}
}

// awaitUnread waits until bytes have arrived that were not read.
func awaitUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) (done bool) {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK)
		return !errors.Is(err, unix.EAGAIN)
	})
}
