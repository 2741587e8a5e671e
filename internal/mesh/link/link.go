// Package link sends requests over persistent HTTP/1.1 connections, one at a time on each, and
// reports for every failure whether the request may have been sent.
package link

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/memory"
)

const (
	// dialTimeout is the timeout for opening a connection within a region, which takes a few
	// milliseconds unless a packet is lost.
	dialTimeout = 300 * time.Millisecond

	// ackTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT). It detects
	// a dead connection long before most deadlines.
	ackTimeout = 1200 * time.Millisecond

	// TCP keep-alive probes detect a dead connection while it waits for an answer.
	probeIdle     = 500 * time.Millisecond
	probeInterval = 400 * time.Millisecond
	probeCount    = 2

	// idleTimeout is how long an idle connection is kept, unless the remote end announces a
	// shorter time.
	idleTimeout = 8 * time.Second

	// idleMargin is how long before the remote end closes an idle connection it is no longer
	// used, so that no request is sent while the connection is being closed.
	idleMargin = time.Second

	// maxBufferedBody is how many bytes of an answer's body are buffered before it is
	// returned. An answer up to this size that breaks off never reaches a caller.
	maxBufferedBody = 64 << 10

	// maxInlineBody is the maximum size of a request body in bytes that is written before the
	// answer is read. A larger body is written concurrently, so that an early answer is
	// noticed.
	maxInlineBody = 32 << 10

	// maxStrayAnswers is how many answers to other requests are skipped on one connection
	// before it is closed.
	maxStrayAnswers = 2

	// maxStrayBody is the maximum size in bytes of the body of such an answer.
	maxStrayBody = 1 << 20

	// maxHeadBytes is the maximum size of everything that precedes the body of an answer: its
	// own head, interim answers, and the heads of answers to other requests.
	maxHeadBytes = 64 << 10

	// maxHeadLines is the maximum number of lines in the same. Targets send a few dozen.
	maxHeadLines = 2048

	// headLineCost is what a line of a head takes in memory, beside its bytes.
	headLineCost = 384

	// streamBytes is what an answer that is forwarded while it arrives takes in memory, beside what
	// of it is buffered.
	streamBytes = 32 << 10

	// SuspectTime is how long a remote end that has mixed up its answers is suspected of doing it
	// again. Delayed copies and broken connections come in spells.
	SuspectTime = 30 * time.Second

	// rememberedIDs is the number of last answered requests whose ids a connection remembers.
	rememberedIDs = 16

	readBuffer = 4 << 10
)

// Errors that Exchange returns.
var (
	// ErrNoMatchingAnswer means that the connection delivered only answers to other requests.
	ErrNoMatchingAnswer = errors.New("the connection delivered no answer to this request")

	// ErrHeadTooLarge means that the head of an answer does not end within maxHeadBytes and
	// maxHeadLines.
	ErrHeadTooLarge = fmt.Errorf("the head of the answer exceeds %d bytes or %d lines", maxHeadBytes, maxHeadLines)

	// ErrNoSocket means that the process has no socket for another connection.
	ErrNoSocket = errors.New("no socket is left for another connection")
)

// Request is a request to send over a link.
type Request struct {
	Method, Path, Host string
	Headers            mesh.Headers
	Body               mesh.Pieces

	// Charge is told what the answer takes in memory before its body is read; nil when nobody counts.
	Charge func(bytes int64)

	// ID identifies the request to a remote end that may send a copy of an answer late. Another
	// attempt has the same ID, so it is not sent over a connection that has answered one: the copy
	// would match it. Empty for remote ends that send each answer once.
	ID string

	// Match says how an answer relates to this request; nil takes every answer for MatchByID.
	Match func(status int, h mesh.Headers) (m Match)

	// Alone asks for a connection that carries no other request, before or after.
	Alone bool

	// Whole is true when the remote end gets the whole body also if it answers before it has all of it.
	Whole bool

	// DetectClose asks for Response.RemoteClosed, which takes a system call.
	DetectClose bool

	// Once is true for a request that may run once. It gets a connection of its own while the remote
	// end is suspected of mixing up its answers.
	Once bool
}

// Match is how an answer relates to a request.
type Match uint8

const (
	// NoMatch is the match of an answer to another request.
	NoMatch Match = iota

	// MatchByID is the match of an answer that belongs to the request by its content.
	MatchByID

	// MatchByOrder is the match of an answer that only its place on the connection assigns to the
	// request. It counts where the connection has carried no other request. Connections to a remote
	// end that sends such an answer are not used again, since a late copy of it would pass for the
	// answer to a later request.
	MatchByOrder

	// Contradiction is the match of an answer that says two things about the request.
	Contradiction
)

// Response is the answer to a request. Body must be closed.
type Response struct {
	Status int
	Header mesh.Headers
	Body   io.ReadCloser

	// Length is the length of the body in bytes, or -1 when it is not known in advance.
	Length int64

	// Rest is what is left of the body of the request, if that is to be delivered whole; nil when the
	// remote end had all of it. Its delivery begins when the answer has been read.
	Rest *Rest

	// remoteClosed is set when the body ends.
	remoteClosed *bool
}

// RemoteClosed reports whether the remote end had closed the connection when the body ended, although
// its answer did not announce that. It is valid once Body is closed, and false without
// Request.DetectClose.
func (r *Response) RemoteClosed() bool { return *r.remoteClosed }

// Pool is a pool of connections to one address. It is safe for concurrent use.
type Pool struct {
	addr netip.AddrPort

	// account counts the connections; nil when nobody does.
	account *memory.Account

	mu sync.Mutex

	// idle holds the idle connections; the most recently used one is last.
	idle []*conn

	// opened is the number of connections opened so far.
	opened uint64

	// unnamed is true once an answer that names no request has counted; no connection is used again.
	unnamed bool

	// suspectUntil is when the remote end is no longer suspected of mixing up its answers, and mixed
	// the number of times that it did.
	suspectUntil time.Time
	mixed        uint64

	// suspected is called when the remote end becomes suspect; nil when nobody asks.
	suspected func(addr netip.AddrPort, cause error)

	// rests is the number of rests of bodies that are being delivered. noRests is closed when it
	// falls to zero.
	rests   int
	noRests chan struct{}

	// restTimeout is how long such a rest may make no progress.
	restTimeout time.Duration

	// dial opens connections. bounded is true where it bounds the time for which data may stay
	// unacknowledged.
	bounded bool
	dial    dialFunc
}

// conn is a connection with the buffered reader of its answers.
type conn struct {
	net.Conn
	account   *memory.Account
	closeOnce sync.Once
	raw       syscall.RawConn
	source    *boundedSource
	reader    *bufio.Reader
	lastUsed  time.Time

	// idleTimeout is how long the connection may stay idle.
	idleTimeout time.Duration

	// alone is true when the connection carries a single request, and used once it has carried one.
	alone, used bool

	// wide is true once the buffer of reader has grown for a large head.
	wide bool

	// strays is the number of answers to other requests that were skipped.
	strays int

	// answered holds the hashed ids of the last answered requests, as a ring in which the next one
	// takes the place at answers modulo its length. A hash that two ids share costs a connection.
	answered [rememberedIDs]uint64
	answers  int
}

// remember records that a request with the id is answered.
func (c *conn) remember(id string) {
	c.answered[c.answers%rememberedIDs] = xxhash.Sum64String(id)
	c.answers++
}

// hasAnswered reports whether the connection remembers a request with the id.
func (c *conn) hasAnswered(id string) bool {
	n := min(c.answers, rememberedIDs)
	return n > 0 && slices.Contains(c.answered[:n], xxhash.Sum64String(id))
}

// Close implements net.Conn.
func (c *conn) Close() (err error) {
	err = c.Conn.Close()
	c.closeOnce.Do(c.account.CloseOutgoing)
	return err
}

// Option configures a pool that NewPool creates.
type Option func(*Pool)

// WithAccount counts the connections in an account.
func WithAccount(a *memory.Account) Option { return func(p *Pool) { p.account = a } }

// WithSuspicion calls f when the remote end is found to mix up its answers and was not suspect before.
func WithSuspicion(f func(addr netip.AddrPort, cause error)) Option {
	return func(p *Pool) { p.suspected = f }
}

// WithDial opens connections with dial in place of Dial. It sets no TCP_USER_TIMEOUT.
func WithDial(dial func(ctx context.Context, network, address string) (c net.Conn, err error)) Option {
	return func(p *Pool) { p.dial, p.bounded = dial, false }
}

// NewPool returns a pool of connections to the address.
func NewPool(addr netip.AddrPort, options ...Option) (p *Pool) {
	p = &Pool{addr: addr, dial: Dial, bounded: true, restTimeout: restTimeout}
	for _, o := range options {
		o(p)
	}
	return p
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() (n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Mixed returns the number of times that the remote end was found to mix up its answers: it sent
// bytes that belong to no answer, an answer twice, or one that contradicts itself.
func (p *Pool) Mixed() (n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mixed
}

// Suspect reports whether the remote end has mixed up its answers shortly before now.
func (p *Pool) Suspect(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.suspectUntil)
}

// recordMatch records how an answer was matched, and reports whether one of those so far has named no
// request.
func (p *Pool) recordMatch(m Match) (unnamed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unnamed = p.unnamed || m == MatchByOrder
	return p.unnamed
}

// suspect records that the remote end has mixed up its answers. More of the bytes that caused it may
// be on their way on the idle connections, which are closed.
func (p *Pool) suspect(cause error) {
	now := time.Now()
	p.mu.Lock()
	begins := !now.Before(p.suspectUntil)
	p.suspectUntil = now.Add(SuspectTime)
	p.mixed++
	p.mu.Unlock()
	p.Close()
	if begins && p.suspected != nil {
		p.suspected(p.addr, cause)
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// get removes and returns an idle connection that is still usable and has not answered a request
// with the id, or nil when there is none.
func (p *Pool) get(now time.Time, id string) (c *conn) {
	for {
		c = p.take(id)
		if c == nil {
			return nil
		}
		open, clean := c.state()
		if now.Sub(c.lastUsed) < c.idleTimeout && open && clean {
			return c
		}
		_ = c.Close()
		if !clean {
			p.suspect(errLeftover)
		}
	}
}

// take removes and returns the most recently used idle connection that has not answered a request
// with the id, or nil when there is none.
func (p *Pool) take(id string) (c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if id == "" || !c.hasAnswered(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// put returns a connection to the pool and closes those that have been idle for too long. While
// sockets are short it keeps none.
func (p *Pool) put(c *conn) {
	if !p.account.SpareSockets() {
		_ = c.Close()
		return
	}
	c.lastUsed = time.Now()
	p.mu.Lock()
	var old []*conn
	for len(p.idle) > 0 && c.lastUsed.Sub(p.idle[0].lastUsed) > p.idle[0].idleTimeout {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	for _, o := range old {
		_ = o.Close()
	}
}

// errLeftover means that a connection holds bytes behind the last answer.
var errLeftover = fmt.Errorf("%w: more bytes follow an answer", ErrBrokenAnswer)

// state reports whether an idle connection is open, and clean of data that no request has asked for.
func (c *conn) state() (open, clean bool) {
	if c.reader.Buffered() > 0 {
		return true, false
	}
	clean = true
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open, clean = errors.Is(err, unix.EAGAIN), n <= 0
		return true
	})
	return open && err == nil, clean
}

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		})
		return errors.Join(controlErr, err)
	},
}

// Dial opens a connection with the timeouts of this package for detecting a dead remote end.
func Dial(ctx context.Context, network, address string) (c net.Conn, err error) {
	return dialer.DialContext(ctx, network, address)
}

func (p *Pool) open(ctx context.Context) (c *conn, err error) {
	if !p.account.OpenOutgoing() {
		return nil, ErrNoSocket
	}
	opened, err := dialStrict(ctx, p.dial, "tcp", p.addr.String())
	if err != nil {
		p.account.CloseOutgoing()
		return nil, err
	}
	source := &boundedSource{source: opened}
	c = &conn{Conn: opened, raw: opened.raw, account: p.account, source: source, reader: bufio.NewReaderSize(source, readBuffer), idleTimeout: idleTimeout}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return c, nil
}

// Exchange sends a request and returns its answer. After an error, sent reports whether any
// byte of the request may have left this host. When ctx is done, the connection is closed,
// which signals the remote end to stop, and the error is the cause of ctx.
func (p *Pool) Exchange(ctx context.Context, r *Request) (answer *Response, sent bool, err error) {
	now, alone := time.Now(), r.Alone
	var c *conn
	if !alone {
		alone = r.Once && p.Suspect(now)
	}
	if !alone {
		c = p.get(now, r.ID)
	}
	if c == nil {
		if c, err = p.open(ctx); err != nil {
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			return nil, false, err
		}
		c.alone = alone
	}
	if ctx.Err() != nil {
		p.put(c)
		return nil, false, context.Cause(ctx)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, sent, err = p.roundTrip(c, r, stop)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
	}
	return answer, sent, err
}

// roundTrip sends the request over c and reads the answer. Once the answer has been read, it
// returns the connection to the pool or closes it. stop ends the watch on the caller's
// context.
func (p *Pool) roundTrip(c *conn, r *Request, stop func() bool) (answer *Response, sent bool, err error) {
	head := r.head()
	body := newBodyWriter(p.restTimeout)
	if r.Body.Len() <= maxInlineBody {
		for _, piece := range r.Body {
			head = append(head, piece...)
		}
		n, err := c.Write(head)
		if err != nil {
			return nil, n > 0, err
		}
		body.written <- nil
	} else {
		go body.write(c, head, r.Body)
		if p.bounded {
			go p.watchWindow(c, body.ended)
		}
	}
	response, match, err := c.read(r)
	if errors.Is(err, ErrBrokenAnswer) || c.strays > 0 {
		p.suspect(cmp.Or(err, errStray))
	}
	if err != nil {
		return nil, true, err
	}
	c.used = true
	if r.ID != "" {
		c.remember(r.ID)
	}
	unnamed := p.recordMatch(match)
	bodySent := false
	var rest *Rest
	select {
	case err := <-body.written:
		bodySent = err == nil
	default:
		// The answer arrived before the request body was fully sent. The connection cannot be
		// reused, since the rest of the body would be read as the next request.
		if r.Whole {
			rest = &Rest{conn: c, body: body, done: make(chan struct{})}
			body.bound(c)
			p.startRest()
		}
	}
	reuse := bodySent && !unnamed && !c.alone && !c.wide && !response.Close && (response.ContentLength >= 0 || isChunked(response))
	c.idleTimeout = idleTimeoutOf(response.Header)
	remoteClosed := new(bool)
	finish := func(complete bool) {
		if r.DetectClose && complete && bodySent && !response.Close {
			open, _ := c.state()
			*remoteClosed = !open
		}
		leftover := complete && c.reader.Buffered() > 0
		open := stop()
		switch {
		case rest != nil:
			if !open || !complete {
				rest.Drop()
			}
			go func() {
				defer p.endRest()
				rest.deliver(p.restTimeout)
			}()
		case !open || !complete || !reuse || leftover:
			_ = c.Close()
		default:
			p.put(c)
		}
		if leftover {
			p.suspect(errLeftover)
		}
	}
	r.charge(max(0, c.source.lines)*headLineCost, response.ContentLength)
	answer, err = bufferBody(response, finish)
	if err != nil {
		// The answer breaks off.
		finish(false)
		return nil, true, err
	}
	answer.Rest, answer.remoteClosed = rest, remoteClosed
	return answer, true, nil
}

// charge tells what an answer takes in memory: its head, and a body of that size or of an unknown one.
func (r *Request) charge(head int, body int64) {
	if r.Charge == nil {
		return
	}
	if body < 0 || body > maxBufferedBody {
		body = maxBufferedBody + streamBytes
	}
	r.Charge(int64(head) + body)
}

// boundedSource bounds what is read from a connection until the head of an answer has ended.
type boundedSource struct {
	source io.Reader

	// left is the number of bytes that may be read, or unbounded.
	left int

	// lines is the number of lines that were read while that was bounded.
	lines int
}

// unbounded allows any number of bytes to be read.
const unbounded = -1

// Read implements io.Reader.
func (b *boundedSource) Read(p []byte) (n int, err error) {
	if b.left == unbounded {
		return b.source.Read(p)
	}
	if b.left == 0 || b.lines > maxHeadLines {
		return 0, ErrHeadTooLarge
	}
	n, err = b.source.Read(p[:min(len(p), b.left)])
	b.left -= n
	b.lines += bytes.Count(p[:n], []byte("\n"))
	return n, err
}

func isChunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// errStray means that a connection delivered an answer to another request.
var errStray = fmt.Errorf("%w: an answer to another request came first", ErrBrokenAnswer)

// read returns the answer to the request and how it was matched. It skips informational responses
// and answers to other requests.
func (c *conn) read(r *Request) (response *http.Response, match Match, err error) {
	c.source.left, c.source.lines, c.strays = maxHeadBytes, 0, 0
	defer func() { c.source.left = unbounded }()
	for range maxStrayAnswers + 1 {
		if err := c.checkHead(); err != nil {
			return nil, NoMatch, err
		}
		response, err = http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, NoMatch, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		match = MatchByID
		if r.Match != nil {
			match = r.Match(response.StatusCode, mesh.Headers(response.Header))
		}
		switch {
		case match == Contradiction:
			return nil, NoMatch, fmt.Errorf("%w: its fields contradict each other", ErrBrokenAnswer)
		case match == MatchByOrder && (c.used || c.strays > 0):
			return nil, NoMatch, fmt.Errorf("%w: it names no request, on a connection that has carried others", ErrBrokenAnswer)
		case match != NoMatch:
			return response, match, nil
		}
		c.strays++
		if response.ContentLength < 0 || response.ContentLength > maxStrayBody {
			return nil, NoMatch, ErrNoMatchingAnswer
		}
		c.source.left += int(response.ContentLength)
		c.source.lines -= int(response.ContentLength) // The lines of the body do not count.
		if err := skipBody(response.Body); err != nil {
			return nil, NoMatch, err
		}
	}
	return nil, NoMatch, ErrNoMatchingAnswer
}

// bufferBody buffers a body of up to maxBufferedBody bytes; a larger one is streamed.
func bufferBody(r *http.Response, finish func(complete bool)) (answer *Response, err error) {
	answer = &Response{Status: r.StatusCode, Header: mesh.Headers(r.Header), Length: r.ContentLength}
	if answer.Length > maxBufferedBody {
		answer.Body = &stream{source: r.Body, finish: finish}
		return answer, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	if err != nil {
		return nil, err
	}
	if len(buffered) > maxBufferedBody {
		answer.Length = -1
		answer.Body = &stream{buffered: buffered, source: r.Body, finish: finish}
		return answer, nil
	}
	finish(true)
	answer.Length = int64(len(buffered))
	answer.Body = io.NopCloser(bytes.NewReader(buffered))
	return answer, nil
}

// stream is the body of an answer that is forwarded while it arrives.
type stream struct {
	buffered []byte
	source   io.ReadCloser
	finish   func(complete bool)
	ended    bool
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (n int, err error) {
	if len(s.buffered) > 0 {
		n = copy(p, s.buffered)
		s.buffered = s.buffered[n:]
		return n, nil
	}
	n, err = s.source.Read(p)
	s.ended = s.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (s *stream) Close() (err error) {
	if s.finish != nil {
		s.finish(s.ended)
		s.finish = nil
	}
	return nil
}

// head returns the encoded request line and headers.
func (r *Request) head() (head []byte) {
	head = make([]byte, 0, 1024+min(r.Body.Len(), maxInlineBody))
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.Path...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	for name, values := range r.Headers {
		for _, v := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, v...)
			head = append(head, "\r\n"...)
		}
	}
	if size := r.Body.Len(); size > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(size), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}

// idleTimeoutOf returns how long a connection may stay idle, from the Keep-Alive header of the
// remote end.
func idleTimeoutOf(h http.Header) (timeout time.Duration) {
	timeout = idleTimeout
	for _, line := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !found {
				continue
			}
			if seconds, err := strconv.Atoi(value); err == nil {
				timeout = min(timeout, time.Duration(seconds)*time.Second-idleMargin)
			}
		}
	}
	return timeout
}

// Describe returns a description of a failed exchange for logs and messages.
func Describe(err error) (text string) {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return "the connection was closed before the answer was complete"
	}
	return fmt.Sprint(err)
}
