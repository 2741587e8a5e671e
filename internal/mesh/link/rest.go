package link

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// restTimeout is how long the rest of a body may make no progress at the remote end.
	restTimeout = 10 * time.Second

	// restPoll is the interval at which it is checked whether the remote end has all of it.
	restPoll = 20 * time.Millisecond

	// restPiece is the size in bytes of the pieces in which a large body is written, each of which is
	// progress.
	restPiece = 64 << 10
)

// Rest is what is left of the body of a request that was answered before the remote end had all of
// it. The remote end may read on, so it gets all, on a connection that is closed afterwards.
type Rest struct {
	conn *conn
	body *bodyWriter

	// done is closed when the remote end has the whole body, or takes no more of it.
	done chan struct{}
	once sync.Once
}

// Done returns a channel that is closed once the remote end has the whole body or takes no more.
func (r *Rest) Done() (done <-chan struct{}) { return r.done }

// Drop gives up the rest, which the remote end does not need. A nil rest is none.
func (r *Rest) Drop() {
	if r != nil {
		_ = r.conn.Close()
	}
}

// deliver waits until the remote end has the rest, and then until it closes the connection, which
// would take what it has not read yet if this end closed first.
func (r *Rest) deliver(timeout time.Duration) {
	defer r.conn.Close()
	defer r.end()
	if <-r.body.written != nil || !r.conn.awaitTaken(timeout) {
		return
	}
	r.end()
	if r.conn.SetReadDeadline(time.Now().Add(timeout)) == nil {
		_, _ = io.Copy(io.Discard, r.conn)
	}
}

func (r *Rest) end() { r.once.Do(func() { close(r.done) }) }

// awaitTaken waits until the remote end has acknowledged all that was written. It reports false when
// that has made no progress for the timeout.
func (c *conn) awaitTaken(timeout time.Duration) (taken bool) {
	ticker := time.NewTicker(restPoll)
	defer ticker.Stop()
	last, progress := -1, time.Now()
	for now := range ticker.C {
		var queued int
		var queueErr error
		err := c.raw.Control(func(fd uintptr) { queued, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		switch {
		case err != nil || queueErr != nil:
			return false
		case queued == 0:
			return true
		case queued != last:
			last, progress = queued, now
		case now.Sub(progress) > timeout:
			return false
		}
	}
	return false
}

// bodyWriter writes the head and a large body while the answer is awaited.
type bodyWriter struct {
	// written receives the result, and ended is closed then.
	written chan error
	ended   chan struct{}

	// bounded is true once the body has to make progress by itself: until the answer has come, the
	// time of the request bounds it.
	bounded atomic.Bool
	timeout time.Duration
}

func newBodyWriter(timeout time.Duration) (w *bodyWriter) {
	return &bodyWriter{written: make(chan error, 1), ended: make(chan struct{}), timeout: timeout}
}

// write writes the head and the body to c.
func (w *bodyWriter) write(c *conn, head []byte, body mesh.Pieces) {
	_, err := c.Write(head)
	for _, piece := range body {
		for len(piece) > 0 && err == nil {
			if w.bounded.Load() {
				err = w.extend(c)
			}
			part := piece[:min(len(piece), restPiece)]
			if err == nil {
				_, err = c.Write(part)
			}
			piece = piece[len(part):]
		}
	}
	w.written <- err
	close(w.ended)
}

// bound lets the body be given up once it has made no progress for the timeout.
func (w *bodyWriter) bound(c *conn) {
	w.bounded.Store(true)
	_ = w.extend(c)
}

func (w *bodyWriter) extend(c *conn) (err error) {
	return c.SetWriteDeadline(time.Now().Add(w.timeout))
}

// startRest records that the rest of a body is being delivered, and endRest that one no longer is.
func (p *Pool) startRest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rests == 0 {
		p.noRests = make(chan struct{})
	}
	p.rests++
}

func (p *Pool) endRest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rests--; p.rests == 0 {
		close(p.noRests)
	}
}

// AwaitRests blocks until the remote end has what is left of the bodies of answered requests, or ctx
// is done.
func (p *Pool) AwaitRests(ctx context.Context) {
	p.mu.Lock()
	none, rests := p.noRests, p.rests
	p.mu.Unlock()
	if rests == 0 {
		return
	}
	select {
	case <-none:
	case <-ctx.Done():
	}
}
