package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/link"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// maxBufferedAnswer is how much of an answer is buffered before it is
	// forwarded, in bytes. When an answer up to this size breaks off, the caller
	// receives a refusal instead of a truncated answer.
	maxBufferedAnswer = 64 << 10

	// maxIdleConnections is the maximum number of idle connections to one host.
	maxIdleConnections = 64

	// idleTimeout is how long a client keeps an idle connection. It is shorter
	// than serverIdleTimeout, so that the client closes the connection first.
	idleTimeout = 45 * time.Second

	// serverIdleTimeout is how long a listener keeps an idle connection.
	serverIdleTimeout = 2 * time.Minute

	dialTimeout = 500 * time.Millisecond
)

// countingConn counts the bytes of a connection. The written bytes prove whether
// any byte of a request left this host. Bytes that were read before a request was
// written cannot be part of its answer.
type countingConn struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64

	// readAtFirstWrite is the value of read at the first write of the current
	// request, or notWritten.
	readAtFirstWrite atomic.Int64
}

// notWritten marks a request of which no byte has been written.
const notWritten = -1

// Read implements net.Conn.
func (c *countingConn) Read(data []byte) (n int, err error) {
	n, err = c.Conn.Read(data)
	c.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (n int, err error) {
	// Counted before the write, so that a write in progress is included.
	c.written.Add(int64(len(data)))
	c.readAtFirstWrite.CompareAndSwap(notWritten, c.read.Load())
	return c.Conn.Write(data)
}

// newTransport returns a transport whose connections are countingConns, in the wrappers of the options.
func newTransport(maxConnections int, options ...link.TransportOption) (t *link.Transport) {
	dialer := net.Dialer{Timeout: dialTimeout}
	count := link.WithConn(func(c net.Conn) (counting net.Conn) { return &countingConn{Conn: c} })
	return link.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}, append([]link.TransportOption{count}, options...)...)
}

// singleUseBody is a body that net/http cannot rewind. With a body that it can
// rewind, net/http retries a request by itself when a kept-alive connection
// breaks.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// errUnsolicitedAnswer means that an answer arrived before its request was sent,
// for example because the target answered the previous request twice.
var errUnsolicitedAnswer = errors.New("the connection received an answer before the request was sent")

// exchange sends one request and returns the response. After an error, sent is
// true when any byte of the request may have left this host.
func exchange(ctx context.Context, transport http.RoundTripper, request *http.Request) (response *http.Response, sent bool, err error) {
	var use connUse
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: use.gotConn, GotFirstResponseByte: use.gotFirstByte})
	response, err = transport.RoundTrip(request.WithContext(ctx))
	if err == nil && use.unsolicited.Load() {
		response.Body.Close()
		return nil, use.wroteAny(), errUnsolicitedAnswer
	}
	if err == nil {
		return response, true, nil
	}
	return nil, use.wroteAny(), err
}

// connUse tracks the connections that one request uses.
type connUse struct {
	conn *countingConn

	// writtenBefore is the number of bytes that conn had written when it was
	// assigned to the request.
	writtenBefore int64

	// wroteEarlier is true when part of the request was written to a connection
	// before conn.
	wroteEarlier bool

	// unsolicited is true when the answer cannot belong to the request.
	unsolicited atomic.Bool
}

func (u *connUse) gotConn(info httptrace.GotConnInfo) {
	u.wroteEarlier = u.wroteAny()
	var counting bool
	u.conn, counting = info.Conn.(*countingConn)
	if !counting {
		// Without a byte count, assume that the request was written.
		u.wroteEarlier = true
		return
	}
	u.writtenBefore = u.conn.written.Load()
	u.conn.readAtFirstWrite.Store(notWritten)
}

// gotFirstByte runs in the only goroutine that reads from the connection, before
// it parses the answer. When nothing has been read since the request was written,
// the answer was already buffered and belongs to no request. The connection is
// closed, since the answer of this request may still arrive on it.
func (u *connUse) gotFirstByte() {
	c := u.conn
	if c == nil {
		return
	}
	if before := c.readAtFirstWrite.Load(); before == notWritten || c.read.Load() == before {
		u.unsolicited.Store(true)
		_ = c.Close()
	}
}

func (u *connUse) wroteAny() (wrote bool) {
	return u.wroteEarlier || u.conn != nil && u.conn.written.Load() > u.writtenBefore
}

func newRequest(ctx context.Context, addr netip.AddrPort, path string, payload *mesh.Payload) (request *http.Request, err error) {
	body := singleUseBody{bytes.NewReader(payload.Body)}
	request, err = http.NewRequestWithContext(ctx, payload.Method, "http://"+addr.String()+path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(payload.Body))
	request.Header = http.Header(payload.Header).Clone()
	return request, nil
}

// exchangeRefusal converts the error of an exchange to a refusal.
func exchangeRefusal(ctx context.Context, sent bool, err error, what string) (refusal *mesh.Refusal) {
	switch {
	case !sent && ctx.Err() != nil:
		return mesh.Interrupted(ctx.Err(), header.NotRun, "before the request was sent to the "+what)
	case !sent:
		return mesh.NotRun(header.TargetUnreachable, "the %s is unreachable", what)
	case ctx.Err() != nil:
		return mesh.Interrupted(ctx.Err(), header.Unknown, "while the request was running")
	default:
		return mesh.Unknown(header.AnswerLost, "the answer of the %s was lost: %v", what, err)
	}
}

// streamedBody is the body of an answer that is forwarded while it arrives.
type streamedBody struct {
	io.Reader
	source  io.Closer
	onClose func()
}

// Close implements io.Closer.
func (b *streamedBody) Close() (err error) {
	err = b.source.Close()
	if b.onClose != nil {
		b.onClose()
		b.onClose = nil
	}
	return err
}

// bufferBody buffers the body of an answer of up to maxBufferedAnswer bytes and
// streams a larger one.
func bufferBody(response *http.Response) (body io.ReadCloser, err error) {
	head, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedAnswer+1))
	if err != nil {
		response.Body.Close()
		return nil, err
	}
	if len(head) <= maxBufferedAnswer {
		response.Body.Close()
		return io.NopCloser(bytes.NewReader(head)), nil
	}
	return &streamedBody{Reader: io.MultiReader(bytes.NewReader(head), response.Body), source: response.Body}, nil
}

// peerClient implements mesh.CallSender over HTTP/1.1.
type peerClient struct {
	transport http.RoundTripper
	signer    *wire.Signer
	config    *configDuty
}

// SendCall implements mesh.CallSender.
func (p *peerClient) SendCall(ctx context.Context, to mesh.Endpoint, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	request, err := newRequest(ctx, to.Host, "/call"+payload.Path, payload)
	if err != nil {
		return nil, call.AttemptsLeft, mesh.NotRun(header.BodyBroken, "the request cannot be forwarded: %v", err)
	}
	sealed, err := p.signer.SignPass(p.newPass(to, call))
	if err != nil {
		return nil, call.AttemptsLeft, mesh.NotRun(header.PassInvalid, "%v", err)
	}
	request.Header.Set(header.Pass, sealed)
	response, sent, err := exchange(ctx, p.transport, request)
	if err != nil {
		return nil, minAttemptsLeft(sent, call), exchangeRefusal(ctx, sent, err, "node of the target")
	}
	return parsePeerAnswer(ctx, call, response)
}

// minAttemptsLeft returns the retry budget that certainly remains after a failed
// exchange. The receiver may have spent all of it once the call was sent.
func minAttemptsLeft(sent bool, call *mesh.Call) (attempts int) {
	if sent {
		return 0
	}
	return call.AttemptsLeft
}

// maxReturnMargin is the maximum time that a hop reserves for the response.
const maxReturnMargin = 10 * time.Millisecond

// nextHopTime returns how much of the remaining time the next hop may use.
// The rest is reserved for a refusal with the outcome not-run that the next hop
// sends at its deadline. With equal deadlines the sender would time out first and
// could only report unknown.
func nextHopTime(remaining time.Duration) (allowed time.Duration) {
	return remaining - min(maxReturnMargin, remaining/10)
}

func (p *peerClient) newPass(to mesh.Endpoint, call *mesh.Call) (pass *wire.Pass) {
	return &wire.Pass{
		RequestId:    call.ID[:],
		Service:      string(call.Route.Service),
		Route:        call.Route.Name,
		Organisation: string(call.Organisation),
		KeyHash:      call.Key[:],
		Class:        uint32(call.Class),
		Remaining:    int64(nextHopTime(call.Remaining(time.Now()))),
		Attempts:     uint32(call.AttemptsLeft),
		Weight:       uint32(call.Weight),
		Version:      p.config.View().Version,
		Target:       to.Target.Addr.String(),
	}
}

// parsePeerAnswer parses the answer of the node of a target. An answer contains the
// id of its request; one with the id of another request is rejected.
func parsePeerAnswer(ctx context.Context, call *mesh.Call, response *http.Response) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	outcome := header.OutcomeValue(response.Header.Get(header.Outcome))
	if id := response.Header.Get(header.RequestID); id != call.ID.String() && (id != "" || outcome == header.Ran) {
		response.Body.Close()
		return nil, 0, mesh.Unknown(header.AnswerLost, "the node of the target answered request %q", id)
	}
	left, _ = strconv.Atoi(response.Header.Get(header.AttemptsLeft))
	load, _ := strconv.Atoi(response.Header.Get(header.Load))
	level := parseLevel(response.Header)
	if outcome != header.Ran {
		defer response.Body.Close()
		return nil, left, parseRefusal(response, outcome, level)
	}
	body, err := bufferBody(response)
	if err != nil {
		return nil, 0, exchangeRefusal(ctx, true, err, "node of the target")
	}
	return &mesh.Answer{
		Status: response.StatusCode,
		Header: forwardedHeaders(response.Header),
		Body:   body,
		Level:  level,
		Load:   load,
	}, left, nil
}

// parseLevel returns the admission level in the headers of an answer. Without a
// valid level, all classes are accepted.
func parseLevel(h http.Header) (level mesh.Class) {
	number, err := strconv.Atoi(h.Get(header.Level))
	if err != nil || number < 0 || number >= mesh.ClassCount {
		return mesh.ClassLow
	}
	return mesh.Class(number)
}

// maxRefusalBody is how much of the body of a refusal is read, in bytes.
const maxRefusalBody = 4 << 10

// parseRefusal parses the refusal of a node. An answer without a known outcome
// guarantees nothing, so its outcome is unknown.
func parseRefusal(response *http.Response, outcome header.OutcomeValue, level mesh.Class) (refusal *mesh.Refusal) {
	code := header.RefusalCode(response.Header.Get(header.Code))
	if code == "" || outcome != header.NotRun && outcome != header.Unknown {
		return mesh.Unknown(header.AnswerLost, "the node of the target answered with status %d but no outcome", response.StatusCode)
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &mesh.Refusal{
		Code:       code,
		Outcome:    outcome,
		Message:    refusalMessage(response.Body),
		RetryAfter: time.Duration(seconds) * time.Second,
		Level:      level,
	}
}

// refusalMessage returns the message in the body of a refusal. It reads the whole
// body, up to maxRefusalBody, so that the connection can be reused.
func refusalMessage(body io.Reader) (message string) {
	var b refusalBody
	data, err := io.ReadAll(io.LimitReader(body, maxRefusalBody))
	if err == nil {
		err = json.Unmarshal(data, &b)
	}
	if err != nil || b.Message == "" {
		return "the refusal of the target's node contains no message"
	}
	return b.Message
}
