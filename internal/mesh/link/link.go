// Package link sends requests over kept HTTP/1.1 connections, one at a time on
// each, and knows for every failure whether the request may have arrived.
package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// dialTimeout bounds the opening of a connection inside a region, which
	// takes a few milliseconds unless a packet is lost.
	dialTimeout = 300 * time.Millisecond

	// silence is how long sent bytes may stay unacknowledged. It shows a
	// connection that has gone silent long before most deadlines.
	silence = 1200 * time.Millisecond

	// Keep-alive probes find a silent connection that waits for an answer.
	probeIdle     = 500 * time.Millisecond
	probeInterval = 400 * time.Millisecond
	probeCount    = 2

	// idleTime is how long an unused connection is kept, when the other end
	// does not state less.
	idleTime = 8 * time.Second

	// idleMargin is how long before the other end closes an unused connection
	// it is no longer used, so that no request crosses the close.
	idleMargin = time.Second

	// heldBody is how much of an answer is taken in before it is passed on, in
	// bytes. An answer up to this size that breaks off never reaches a caller.
	heldBody = 64 << 10

	// eagerBody is the size of a request body from which on the answer is
	// awaited while the body is still being sent.
	eagerBody = 32 << 10

	// strayAnswers is how many answers to other requests are skipped on one
	// connection before it is given up.
	strayAnswers = 2

	readBuffer = 4 << 10
)

// Errors of an exchange.
var (
	// ErrNoMatchingAnswer means that the connection held answers to other requests only.
	ErrNoMatchingAnswer = errors.New("the connection held no answer to this request")
)

// Request is one request on its way over a link.
type Request struct {
	Method, Path, Host string
	Headers            mesh.Headers
	Body               []byte

	// Accept reports whether an answer belongs to this request.
	Accept func(status int, h mesh.Headers) (own bool)
}

// Response is an answer. Body must be closed.
type Response struct {
	Status int
	Header mesh.Headers
	Body   io.ReadCloser

	// Length is the length of the body, or -1 when it streams without one.
	Length int64
}

// Pool keeps the connections to one address. It is safe for use by several
// goroutines.
type Pool struct {
	addr netip.AddrPort

	mu sync.Mutex

	// idle holds the unused connections, the one used last at the end.
	idle []*conn

	// opened counts the connections that were opened.
	opened uint64
}

// conn is one connection with the answers that arrive on it.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	used   time.Time

	// keep is how long the connection may stay unused.
	keep time.Duration
}

// NewPool returns a pool of connections to the address.
func NewPool(addr netip.AddrPort) (p *Pool) { return &Pool{addr: addr} }

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() (n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close drops the unused connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// take returns an unused connection, or nil when there is none that works.
func (p *Pool) take(now time.Time) (c *conn) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Sub(c.used) < c.keep && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

// put keeps a connection for the next request and drops those that have been
// unused for too long.
func (p *Pool) put(c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	var old []*conn
	for len(p.idle) > 0 && c.used.Sub(p.idle[0].used) > p.idle[0].keep {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	for _, o := range old {
		_ = o.Close()
	}
}

// quiet reports whether an unused connection is open and holds no bytes that
// nobody asked for.
func (c *conn) quiet() (quiet bool) {
	if c.reader.Buffered() > 0 {
		return false
	}
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return quiet && err == nil
}

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		})
		return errors.Join(controlErr, err)
	},
}

// Dial opens a connection that notices when the other end goes silent.
func Dial(ctx context.Context, network, address string) (c net.Conn, err error) {
	return dialer.DialContext(ctx, network, address)
}

func (p *Pool) open(ctx context.Context) (c *conn, err error) {
	opened, err := Dial(ctx, "tcp", p.addr.String())
	if err != nil {
		return nil, err
	}
	c = &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer), keep: idleTime}
	if c.raw, err = opened.(*net.TCPConn).SyscallConn(); err != nil {
		_ = opened.Close()
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return c, nil
}

// Exchange sends a request and returns its answer. After an error, sent tells
// whether any byte of the request may have left this host. When ctx ends, the
// connection is closed, which tells the other end to stop.
func (p *Pool) Exchange(ctx context.Context, r *Request) (answer *Response, sent bool, err error) {
	c := p.take(time.Now())
	if c == nil {
		if c, err = p.open(ctx); err != nil {
			return nil, false, err
		}
	}
	if err := ctx.Err(); err != nil {
		p.put(c)
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, sent, err = p.run(c, r, stop)
	if err != nil {
		stop()
		_ = c.Close()
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
	}
	return answer, sent, err
}

// run sends the request over c and reads the answer. It puts the connection
// back, or closes it, once the answer has been read; stop ends the watch over
// the caller's context.
func (p *Pool) run(c *conn, r *Request, stop func() bool) (answer *Response, sent bool, err error) {
	head := r.head()
	written := make(chan error, 1)
	if len(r.Body) <= eagerBody {
		n, err := c.Write(append(head, r.Body...))
		if err != nil {
			return nil, n > 0, err
		}
		written <- nil
	} else {
		go func() {
			_, err := c.Write(head)
			if err == nil {
				_, err = c.Write(r.Body)
			}
			written <- err
		}()
	}
	response, err := c.read(r)
	if err != nil {
		return nil, true, err
	}
	whole := false
	select {
	case err := <-written:
		whole = err == nil
	default:
		// The answer came before the end of the body, whose rest must not be
		// taken for another request.
	}
	again := whole && !response.Close && response.ContentLength >= 0 || whole && !response.Close && chunked(response)
	c.keep = keepOf(response.Header)
	finish := func(complete bool) {
		if !stop() || !complete || !again {
			_ = c.Close()
			return
		}
		p.put(c)
	}
	return takeBody(response, finish)
}

func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// read returns the answer to the request and skips answers to others.
func (c *conn) read(r *Request) (response *http.Response, err error) {
	for range strayAnswers + 1 {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if r.Accept == nil || r.Accept(response.StatusCode, mesh.Headers(response.Header)) {
			return response, nil
		}
		if response.ContentLength < 0 {
			return nil, ErrNoMatchingAnswer
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, ErrNoMatchingAnswer
}

// takeBody takes in a body up to heldBody; a larger one streams.
func takeBody(r *http.Response, finish func(complete bool)) (answer *Response, sent bool, err error) {
	answer = &Response{Status: r.StatusCode, Header: mesh.Headers(r.Header), Length: r.ContentLength}
	if answer.Length > heldBody {
		answer.Body = &stream{source: r.Body, finish: finish}
		return answer, true, nil
	}
	held, err := io.ReadAll(io.LimitReader(r.Body, heldBody+1))
	if err != nil {
		return nil, true, err
	}
	if len(held) > heldBody {
		answer.Length = -1
		answer.Body = &stream{held: held, source: r.Body, finish: finish}
		return answer, true, nil
	}
	finish(true)
	answer.Length = int64(len(held))
	answer.Body = io.NopCloser(bytes.NewReader(held))
	return answer, true, nil
}

// stream is the body of an answer that is passed on while it arrives.
type stream struct {
	held   []byte
	source io.ReadCloser
	finish func(complete bool)
	ended  bool
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (n int, err error) {
	if len(s.held) > 0 {
		n = copy(p, s.held)
		s.held = s.held[n:]
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

// head returns the request line and headers.
func (r *Request) head() (head []byte) {
	head = make([]byte, 0, 1024+min(len(r.Body), eagerBody))
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
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}

// keepOf returns how long the other end keeps an unused connection.
func keepOf(h http.Header) (keep time.Duration) {
	keep = idleTime
	for _, line := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !found {
				continue
			}
			if seconds, err := strconv.Atoi(value); err == nil {
				keep = min(keep, time.Duration(seconds)*time.Second-idleMargin)
			}
		}
	}
	return keep
}

// Describe names the failure of an exchange for a log line or message.
func Describe(err error) (text string) {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return "the connection was closed in the middle of the exchange"
	}
	return fmt.Sprint(err)
}
