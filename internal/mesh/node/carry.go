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
	"github.com/quetzalstack/quetzalstack/internal/mesh/calls"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// maxHeldAnswer is how much of an answer is taken in before it is passed
	// on, in bytes. An answer up to this size that breaks off turns into a
	// clean refusal.
	maxHeldAnswer = 64 << 10

	// idleConnections is how many unused connections are kept to one host.
	idleConnections = 64

	// idleTime is how long an unused connection is kept. It is shorter than
	// serverIdleTime, so that the side that sends closes first.
	idleTime = 45 * time.Second

	// serverIdleTime is how long a listener keeps an unused connection.
	serverIdleTime = 2 * time.Minute

	dialTimeout = 500 * time.Millisecond
)

// countedConn counts the bytes of a connection. What was written proves whether
// any of a request left this host; what was read before a request was written
// cannot be its answer.
type countedConn struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64

	// readBefore is what had been read when the present request was first
	// written, or notWritten.
	readBefore atomic.Int64
}

// notWritten stands for a request that was not yet written.
const notWritten = -1

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (n int, err error) {
	n, err = c.Conn.Read(data)
	c.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (n int, err error) {
	// Counted before the write, so that a write in progress counts as well.
	c.written.Add(int64(len(data)))
	c.readBefore.CompareAndSwap(notWritten, c.read.Load())
	return c.Conn.Write(data)
}

// newTransport returns a transport whose connections count what is written.
func newTransport(maxConnections int) (t *http.Transport) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (conn net.Conn, err error) {
			conn, err = dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTime,
	}
}

// singleUse is a body that net/http cannot send a second time. With a body it
// can read again, net/http repeats a request by itself when a kept-alive
// connection breaks.
type singleUse struct{ io.Reader }

// Close implements io.Closer.
func (singleUse) Close() error { return nil }

// errCrossed means that an answer was there before its request was sent, as
// after a target that answered the request before twice.
var errCrossed = errors.New("the connection held an answer to no request")

// exchange sends one request and says, when it fails, whether any byte of it
// may have left this host.
func exchange(ctx context.Context, transport http.RoundTripper, request *http.Request) (response *http.Response, sent bool, err error) {
	var used connUse
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.got, GotFirstResponseByte: used.answered})
	response, err = transport.RoundTrip(request.WithContext(ctx))
	if err == nil && used.crossed.Load() {
		response.Body.Close()
		return nil, used.wrote(), errCrossed
	}
	if err == nil {
		return response, true, nil
	}
	return nil, used.wrote(), err
}

// connUse follows the connections that one request used.
type connUse struct {
	conn *countedConn

	// before is what conn had written when the request got it.
	before int64

	// earlier is true when a connection before conn wrote some of the request.
	earlier bool

	// crossed is true when the answer cannot belong to the request.
	crossed atomic.Bool
}

func (u *connUse) got(info httptrace.GotConnInfo) {
	u.earlier = u.wrote()
	var counted bool
	u.conn, counted = info.Conn.(*countedConn)
	if !counted {
		// Nothing proves that such a connection wrote nothing.
		u.earlier = true
		return
	}
	u.before = u.conn.written.Load()
	u.conn.readBefore.Store(notWritten)
}

// answered runs in the only goroutine that reads from the connection, before it
// parses the answer. An answer that came without a read since the request was
// written had been there before. Its connection is closed, since the request's
// own answer may still arrive.
func (u *connUse) answered() {
	c := u.conn
	if c == nil {
		return
	}
	if before := c.readBefore.Load(); before == notWritten || c.read.Load() == before {
		u.crossed.Store(true)
		_ = c.Close()
	}
}

func (u *connUse) wrote() (some bool) {
	return u.earlier || u.conn != nil && u.conn.written.Load() > u.before
}

func newRequest(ctx context.Context, addr netip.AddrPort, path string, payload *mesh.Payload) (request *http.Request, err error) {
	body := singleUse{bytes.NewReader(payload.Body)}
	request, err = http.NewRequestWithContext(ctx, payload.Method, "http://"+addr.String()+path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(payload.Body))
	request.Header = http.Header(payload.Header).Clone()
	return request, nil
}

// failed turns the error of an exchange into a refusal.
func failed(ctx context.Context, sent bool, err error, what string) (refusal *mesh.Refusal) {
	switch {
	case !sent && ctx.Err() != nil:
		return mesh.NotRun(header.DeadlineExceeded, "the deadline passed or the caller left before the request was sent to the %s", what)
	case !sent:
		return mesh.NotRun(header.TargetUnreachable, "the %s cannot be reached", what)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return mesh.Unknown(header.DeadlineExceeded, "the deadline passed while the request ran")
	default:
		return mesh.Unknown(header.AnswerLost, "the answer of the %s was lost: %v", what, err)
	}
}

// streamedBody is the body of an answer that is passed on while it arrives.
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

// takeBody takes in an answer up to maxHeldAnswer; what is larger streams.
func takeBody(response *http.Response) (body io.ReadCloser, err error) {
	head, err := io.ReadAll(io.LimitReader(response.Body, maxHeldAnswer+1))
	if err != nil {
		response.Body.Close()
		return nil, err
	}
	if len(head) <= maxHeldAnswer {
		response.Body.Close()
		return io.NopCloser(bytes.NewReader(head)), nil
	}
	return &streamedBody{Reader: io.MultiReader(bytes.NewReader(head), response.Body), source: response.Body}, nil
}

// peerCarrier implements mesh.Carrier over HTTP/1.1 links.
type peerCarrier struct {
	transport http.RoundTripper
	signer    *wire.Signer
	config    *configDuty
}

// SendCall implements mesh.Carrier.
func (p *peerCarrier) SendCall(ctx context.Context, to mesh.Endpoint, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	request, err := newRequest(ctx, to.Host, "/call"+payload.Path, payload)
	if err != nil {
		return nil, call.AttemptsLeft, mesh.NotRun(header.BodyBroken, "the request cannot be passed on: %v", err)
	}
	seal, err := p.signer.SignPass(p.pass(to, call))
	if err != nil {
		return nil, call.AttemptsLeft, mesh.NotRun(header.PassInvalid, "%v", err)
	}
	request.Header.Set(header.Pass, seal)
	response, sent, err := exchange(ctx, p.transport, request)
	if err != nil {
		return nil, leftAfter(sent, call), failed(ctx, sent, err, "node of the target")
	}
	return takeAnswer(ctx, call, response)
}

// leftAfter returns the retry budget that is certain to be left.
func leftAfter(sent bool, call *mesh.Call) (attempts int) {
	if sent {
		return 0
	}
	return call.AttemptsLeft
}

// maxReturnMargin bounds the time that a hop keeps for the way back.
const maxReturnMargin = 10 * time.Millisecond

// passedTime returns the part of the remaining time that the next hop may use.
// The rest lets a refusal that it makes at its deadline arrive as not run; with
// the same deadline on both sides the sender would give up first and could only
// say unknown.
func passedTime(remaining time.Duration) (passed time.Duration) {
	return remaining - min(maxReturnMargin, remaining/10)
}

func (p *peerCarrier) pass(to mesh.Endpoint, call *mesh.Call) (pass *wire.Pass) {
	return &wire.Pass{
		RequestId:    call.ID[:],
		Service:      string(call.Route.Service),
		Route:        call.Route.Name,
		Organisation: string(call.Organisation),
		KeyHash:      call.Key[:],
		Class:        uint32(call.Class),
		Remaining:    int64(passedTime(call.Remaining(time.Now()))),
		Attempts:     uint32(call.AttemptsLeft),
		Weight:       uint32(call.Weight),
		Version:      p.config.View().Version,
		Target:       to.Target.Addr.String(),
	}
}

// takeAnswer reads what the node of a target answered. It says which request it
// answers, so an answer to another one is not taken for this one's.
func takeAnswer(ctx context.Context, call *mesh.Call, response *http.Response) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	outcome := header.OutcomeValue(response.Header.Get(header.Outcome))
	if id := response.Header.Get(header.RequestID); id != call.ID.String() && (id != "" || outcome == header.Ran) {
		response.Body.Close()
		return nil, 0, mesh.Unknown(header.AnswerLost, "the node of the target answered request %q", id)
	}
	left, _ = strconv.Atoi(response.Header.Get(header.AttemptsLeft))
	load, _ := strconv.Atoi(response.Header.Get(header.Load))
	level := levelIn(response.Header)
	if outcome != header.Ran {
		defer response.Body.Close()
		return nil, left, refusalOf(response, outcome, level)
	}
	body, err := takeBody(response)
	if err != nil {
		return nil, 0, failed(ctx, true, err, "node of the target")
	}
	return &mesh.Answer{
		Status: response.StatusCode,
		Header: passedHeader(response.Header),
		Body:   body,
		Level:  level,
		Load:   load,
	}, left, nil
}

// levelIn returns the level in an answer; one without a level accepts all.
func levelIn(h http.Header) (level mesh.Class) {
	number, err := strconv.Atoi(h.Get(header.Level))
	if err != nil || number < 0 || number >= mesh.ClassCount {
		return mesh.ClassLow
	}
	return mesh.Class(number)
}

// maxRefusalBody bounds what is read of a refusal, in bytes.
const maxRefusalBody = 4 << 10

// refusalOf returns the refusal that a node answered. An answer without a
// known outcome promises nothing.
func refusalOf(response *http.Response, outcome header.OutcomeValue, level mesh.Class) (refusal *mesh.Refusal) {
	code := header.RefusalCode(response.Header.Get(header.Code))
	if code == "" || outcome != header.NotRun && outcome != header.Unknown {
		return mesh.Unknown(header.AnswerLost, "the node of the target answered %d without an outcome", response.StatusCode)
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

// refusalMessage returns the reason that a node gives in the body of a refusal.
// It reads the body to its end, so that the connection can be used again.
func refusalMessage(body io.Reader) (message string) {
	var b refusalBody
	data, err := io.ReadAll(io.LimitReader(body, maxRefusalBody))
	if err == nil {
		err = json.Unmarshal(data, &b)
	}
	if err != nil || b.Message == "" {
		return "the node of the target gave no reason"
	}
	return b.Message
}

// targetClient sends requests to the targets of this host.
type targetClient struct {
	transport http.RoundTripper
	signer    *wire.Signer
}

// send runs a call at a target.
func (t *targetClient) send(ctx context.Context, target netip.AddrPort, token calls.Token, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, refusal *mesh.Refusal) {
	request, err := newRequest(ctx, target, payload.Path, payload)
	if err != nil {
		return nil, mesh.NotRun(header.BodyBroken, "the request cannot be passed on: %v", err)
	}
	request.Header.Set(header.Call, string(token))
	request.Header.Set(header.RequestID, call.ID.String())
	request.Header.Set(header.Class, call.Class.String())
	request.Header.Set(header.Timeout, call.Remaining(time.Now()).String())
	if call.Organisation != "" {
		request.Header.Set(header.Organisation, string(call.Organisation))
	}
	response, sent, err := exchange(ctx, t.transport, request)
	if err != nil {
		return nil, failed(ctx, sent, err, "target")
	}
	if header.OutcomeValue(response.Header.Get(header.Outcome)) == header.NotRun {
		response.Body.Close()
		return nil, mesh.NotRun(header.TargetRefused, "the target did not run the request")
	}
	body, err := takeBody(response)
	if err != nil {
		return nil, failed(ctx, true, err, "target")
	}
	return &mesh.Answer{Status: response.StatusCode, Header: passedHeader(response.Header), Body: body, Level: mesh.ClassLow}, nil
}
