package accept

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh/memory"
)

const (
	// headByteCost and headLineCost are what a head takes in memory: its bytes as received, as
	// strings and as sent on, and the entry of each line in the maps of the request, of what is
	// forwarded and of an attempt.
	headByteCost = 4
	headLineCost = 384

	// aheadBytes is what is charged for the ring of a connection.
	aheadBytes = (maxChunks + 1) * chunkSize

	// headSlack is how far a head may exceed its limit: the request line and what intermediaries
	// add. net/http allows the same.
	headSlack = 4 << 10

	// HardHeadBytes is the limit that net/http keeps for heads whatever the bounds are.
	HardHeadBytes = 1 << 20

	// rateWindow is the time over which the rate of a body is measured.
	rateWindow = 10 * time.Second
)

// Defaults of the bounds.
const (
	DefaultHeadBytes = 64 << 10
	DefaultHeadTime  = 10 * time.Second

	// shortestLine is the size of the shortest line of a head, "a:" and a line feed. Without a bound
	// on lines, a head may have as many of them as its bytes allow.
	shortestLine = 3

	// DefaultEmptyLines is the number of empty lines before a request. Clients send at most one, at
	// the end of a body.
	DefaultEmptyLines = 16
)

// Bounds limit what a remote end may do on a connection. Zero means the default of each.
type Bounds struct {
	// Head returns the limit of the head in bytes and the time in which it has to arrive, counted
	// from its first byte; nil means the defaults.
	Head func() (bytes int, timeout time.Duration)

	// HeadLines and EmptyLines limit the lines of a head and the empty lines before it. The default
	// of HeadLines is what the bytes of the head allow.
	HeadLines, EmptyLines int

	// BodyRate is the rate in bytes a second below which a body is given up. By default one byte has
	// to arrive in each window.
	BodyRate int
}

func (b Bounds) withDefaults() (d Bounds) {
	if b.Head == nil {
		b.Head = func() (bytes int, timeout time.Duration) { return DefaultHeadBytes, DefaultHeadTime }
	}
	if b.EmptyLines == 0 {
		b.EmptyLines = DefaultEmptyLines
	}
	return b
}

// headCount counts what has arrived of a head. What net/http has read with the request before is not
// seen: at most the 4 KiB of its buffer.
type headCount struct {
	bytes, lines, emptyLines int

	// lineEmpty is true while no character of the current line has arrived, and begun once the
	// first line that is not empty has.
	lineEmpty, begun bool

	// ended is true after the empty line that ends the head.
	ended bool

	// limit and timeout are the bounds, which are read once for each head.
	limit, maxLines int
	timeout         time.Duration
}

// add counts the bytes and returns those that belong to the head.
func (h *headCount) add(p []byte) (counted int) {
	for counted < len(p) && !h.ended {
		n := bytes.IndexByte(p[counted:], '\n')
		line := p[counted:]
		if n >= 0 {
			line = line[:n]
		}
		if len(bytes.TrimRight(line, "\r")) > 0 {
			h.lineEmpty, h.begun = false, true
		}
		if n < 0 {
			return len(p)
		}
		counted += n + 1
		switch {
		case !h.lineEmpty:
			h.lines++
		case h.begun:
			h.ended = true
		default:
			h.emptyLines++
		}
		h.lineEmpty = true
	}
	return counted
}

// Errors that end a connection before its request is known. net/http closes the connection without
// an answer of its own.
var (
	errHeadTooLarge    = errors.New("the head of the request exceeds its limits")
	errTooManyEmpty    = errors.New("too many empty lines before the request")
	errNoRoomForHead   = errors.New("no memory for the head of the request")
	errEvictedFromHead = errors.New("the connection made room for others")
)

// countHead counts received bytes of a head and charges them. An error means that the connection was
// turned away.
func (c *conn) countHead(p []byte) (err error) {
	// Bytes that were received behind a request may have arrived long ago. The time for the head
	// begins when that request has ended.
	h, now := &c.head, time.Now()
	if h.bytes == 0 {
		limit, timeout := c.bounds.Head()
		h.limit, h.timeout, h.lineEmpty = limit+headSlack, timeout, true
		if h.maxLines = c.bounds.HeadLines; h.maxLines == 0 {
			h.maxLines = h.limit / shortestLine
		}
		if !c.holder.Enter(memory.Head, now) {
			return readError(errEvictedFromHead)
		}
	}
	lines, empty := h.lines, h.emptyLines
	first := h.bytes == 0
	n := h.add(p)
	h.bytes += n
	if first && !h.ended {
		c.setPhaseDeadline(now.Add(h.timeout))
	}
	c.holder.Progress(n, now)
	switch {
	case h.bytes > h.limit, h.lines > h.maxLines:
		c.holder.Malformed()
		return c.turnAway(http.StatusRequestHeaderFieldsTooLarge, "", errHeadTooLarge)
	case h.emptyLines > c.bounds.EmptyLines:
		c.holder.Malformed()
		return c.turnAway(http.StatusBadRequest, "", errTooManyEmpty)
	case !c.holder.Charge(int64(n*headByteCost + (h.lines-lines+h.emptyLines-empty)*headLineCost)):
		return c.turnAway(http.StatusServiceUnavailable, "Retry-After: 1\r\n", errNoRoomForHead)
	}
	return nil
}

// turnAway refuses a request whose head has not been read.
func (c *conn) turnAway(status int, headers string, reason error) (err error) {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n%s\r\n", status, http.StatusText(status), headers)
	if deadline := c.Conn.SetWriteDeadline(time.Now().Add(turnAwayTimeout)); deadline == nil {
		_, _ = io.WriteString(c.Conn, text) // The remote end may have left, which ends the connection as well.
	}
	_ = c.CloseWrite() // Without it, the bytes behind the head would reset the connection.
	return readError(reason)
}

// turnAwayTimeout is how long a remote end may take to receive the few bytes of such a refusal.
const turnAwayTimeout = 100 * time.Millisecond

// readError returns the form of a read error to which net/http adds no answer.
func readError(reason error) (err error) { return &net.OpError{Op: "read", Err: reason} }

// endHead notes that the head has been parsed.
func (c *conn) endHead() {
	c.inHead = false
	c.head = headCount{}
	if !c.phaseDeadline.IsZero() {
		c.setPhaseDeadline(time.Time{})
	}
}

// awaitHead notes that the next request is awaited.
func (c *conn) awaitHead() {
	c.holder.End()
	c.inHead = true
	c.holder.Enter(memory.Idle, time.Now())
}

// bodyRate measures the rate of a body that a handler reads.
type bodyRate struct {
	reading   bool
	rate      int
	received  int
	windowEnd time.Time
}

// goesOn reports whether a window has ended in which enough has arrived, and begins the next one.
func (b *bodyRate) goesOn(now time.Time) (ok bool) {
	if !b.reading || now.Before(b.windowEnd) || b.received < max(1, b.rate*int(rateWindow/time.Second)) {
		return false
	}
	b.received, b.windowEnd = 0, now.Add(rateWindow)
	return true
}

// beginBody notes that a handler reads the body, and endBody that it no longer does. endBody reports
// false when the connection has been evicted.
func (c *conn) beginBody(now time.Time) (ok bool) {
	c.body = bodyRate{reading: true, rate: c.bounds.BodyRate, windowEnd: now.Add(rateWindow)}
	c.setPhaseDeadline(c.body.windowEnd)
	return c.holder.Enter(memory.Body, now)
}

func (c *conn) endBody() (ok bool) {
	ok = c.holder.Enter(memory.Busy, time.Now())
	c.evicted.Store(false) // The rest of a refused body is discarded, so that its sender gets the refusal.
	c.body = bodyRate{}
	c.setPhaseDeadline(time.Time{})
	return ok
}
