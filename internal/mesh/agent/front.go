package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/accept"
	"github.com/quetzalstack/quetzalstack/internal/mesh/link"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/memory"
	"github.com/quetzalstack/quetzalstack/internal/mesh/meter"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rules"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// requestHandler handles the requests of callers, of the local target and of other nodes by
// means of the duties. Its own mutable state is the requests running at the local target, the
// durations of requests and the progress of the shutdown.
type requestHandler struct {
	settings Settings
	dialect  mesh.Dialect
	follow   *followDuty
	member   *memberDuty
	quota    *quotaDuty
	picker   *pickerDuty
	gate     *gateDuty
	rollouts *rolloutDuty
	meter    *meter.Duty
	links    *link.Pools
	target   *link.Pool
	account  *memory.Account

	// deliveries are the requests that the target on this host is running.
	deliveries *deliveries

	// estimator knows how long requests take, those of callers of this host and those that its
	// target runs.
	estimator mesh.Estimator
	log       logs.Log

	// leaving is true once the shutdown has started; it is never cleared.
	leaving atomic.Bool

	// lastAnswer is the time by which the shutdown ends all requests; nil until it has started.
	lastAnswer atomic.Pointer[time.Time]

	// noticed is true once callers have had time to notice the shutdown; it is never cleared.
	noticed atomic.Bool

	// ending is done from lastAnswer on, with mesh.ErrShutdown as its cause.
	ending context.Context
	end    context.CancelCauseFunc
}

// loggedQueueing is the time on its connection above which a request's refusal says how long it
// waited there.
const loggedQueueing = 10 * time.Millisecond

// serveCaller handles a request of a caller, or a nested call of the target on this host.
func (rh *requestHandler) serveCaller(c echo.Context) (err error) {
	arrived := accept.Arrived(c.Request())
	if rh.leaving.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	call, organisation, refusal := rh.newCall(c.Request(), arrived)
	defer rh.deliveries.endNested(call)
	if refusal != nil {
		return rh.finish(c, arrived, call, nil, refusal)
	}
	ctx, cancel := rh.requestContext(c.Request().Context(), call.Deadline)
	defer cancel()
	if refusal := accept.TakeHead(c.Request()); refusal != nil {
		return rh.finish(c, arrived, call, nil, refusal)
	}
	// The contract is asked before the body is read: bodies beyond it would take the memory of others.
	if organisation != nil && organisation.Contract.Rate > 0 {
		if refusal := rh.quota.Admit(ctx, organisation.Name); refusal != nil {
			return rh.finish(c, arrived, call, nil, refusal)
		}
	}
	body, refusal := rh.readBody(ctx, c, call)
	if refusal != nil {
		return rh.finish(c, arrived, call, nil, refusal)
	}
	p := newPayload(c.Request(), body)
	answer, refusal := rh.relay(ctx, call, p)
	p.releaseBody()
	return rh.finish(c, arrived, call, answer, refusal)
}

// newCall checks the headers of a request against the rules in force and returns the call for
// it.
func (rh *requestHandler) newCall(r *http.Request, arrived time.Time) (call *mesh.Call, organisation *mesh.Organisation, refusal *mesh.Refusal) {
	info, err := rh.dialect.ParseRequest(mesh.Headers(r.Header))
	call = &mesh.Call{CallerRequestID: info.ID, Weight: 1, Class: mesh.ClassLow, Caller: rh.settings.Service}
	if err != nil {
		return call, nil, mesh.NotRun(header.RequestIDMalformed, "%v", err)
	}
	if link.HoldsStatusLine(info.ID) {
		// An answer repeats the id, and one that holds a second status line is not believed.
		return call, nil, mesh.NotRun(header.RequestIDMalformed, "the request id holds a status line")
	}
	view := rh.follow.View()
	if view == nil {
		return call, nil, notReady()
	}
	host, _, _ := strings.Cut(r.Host, ":")
	route, found := view.index.Route(host, r.URL.EscapedPath())
	if !found {
		return call, nil, mesh.NotRun(header.RouteUnknown, "host %q has no route for %s in rules version %d", host, r.URL.EscapedPath(), view.Rules.Version)
	}
	call.Queued = time.Since(arrived)
	call.Route = route
	call.Service = rules.ChooseService(route, rand.Float64())
	call.AttemptsLeft = route.Retries
	call.Deadline = arrived.Add(route.Timeout)
	if info.Timeout > 0 {
		call.Deadline = arrived.Add(min(info.Timeout, route.Timeout))
	}
	if !route.Open && len(view.Rules.Organisations) > 0 {
		if !info.HasKey {
			return call, nil, mesh.NotRun(header.KeyMissing, "the route requires an API key")
		}
		if organisation, found = view.index.OrganisationByKey(info.Key); !found {
			return call, nil, mesh.NotRun(header.KeyUnknown, "the API key is unknown in rules version %d", view.Rules.Version)
		}
		call.Organisation, call.Key = organisation.Name, info.Key
	}
	call.Class, call.Rank = rules.RequestPriority(route, organisation)
	if organisation == nil {
		rh.inheritPriority(call, info.Parent)
	}
	return call, organisation, rh.refuseLate(call)
}

// inheritPriority gives a nested call of the target on this host the class and rank of its
// parent request, which waits for the call until endNested. When the parent is not known, the
// call keeps the most important class.
func (rh *requestHandler) inheritPriority(call *mesh.Call, parent string) {
	call.Nested = true
	p, found := rh.deliveries.find(parent)
	if !found {
		call.ParentUnknown = true
		return
	}
	call.Class, call.Rank, call.ParentOrganisation, call.Retry = p.Class, p.Rank, p.Owner(), p.Retry
	rh.deliveries.beginNested(call, parent)
}

// notReadyRetryAfter is how long a node that has just started needs to load the rules.
const notReadyRetryAfter = 200 * time.Millisecond

func notReady() (refusal *mesh.Refusal) {
	refusal = mesh.NotRun(header.NoSettings, "the node has not loaded its rules yet")
	refusal.RetryAfter = notReadyRetryAfter
	return refusal
}

// readBody buffers the body of a request, so that the request can be retried. It is charged to the
// organisation of the call.
func (rh *requestHandler) readBody(ctx context.Context, c echo.Context, call *mesh.Call) (body mesh.Pieces, refusal *mesh.Refusal) {
	accept.Holder(c.Request()).Own(string(call.Owner()))
	return accept.ReadPieces(ctx, c.Response(), c.Request(), rh.follow.View().Rules.Limits.MaxBodyBytes)
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// forwardedHeaders returns the headers to forward to the next hop.
func forwardedHeaders(h http.Header) (kept mesh.Headers) {
	kept = make(mesh.Headers, len(h)+4)
	var connectionHeaders []string
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			connectionHeaders = append(connectionHeaders, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)))
		}
	}
	for name, values := range h {
		if slices.Contains(hopHeaders, name) || slices.Contains(connectionHeaders, name) || strings.HasPrefix(name, header.Prefix) {
			continue
		}
		kept[name] = values
	}
	return kept
}

// payload is the content of a request together with its Host header. Its body is in pieces, and holder
// is what its connection holds.
type payload struct {
	mesh.Payload
	host   string
	body   mesh.Pieces
	holder *memory.Holder
}

func newPayload(r *http.Request, body mesh.Pieces) (p *payload) {
	return &payload{
		Payload: mesh.Payload{Method: r.Method, Path: r.RequestURI, Header: forwardedHeaders(r.Header)},
		host:    r.Host, body: body, holder: accept.Holder(r),
	}
}

// releaseBody releases the body, which is not sent again, before the caller hears of the end of the
// request: the next one may need its memory.
func (p *payload) releaseBody() {
	p.holder.Release(int64(p.body.Len()))
	p.body = nil
}

// finish writes the answer or the refusal of a request and records its metrics.
func (rh *requestHandler) finish(c echo.Context, started time.Time, call *mesh.Call, answer *mesh.Answer, refusal *mesh.Refusal) (err error) {
	m := meter.Measurement{Outcome: header.Ran, Latency: time.Since(started), Organisation: call.Organisation, Class: call.Class}
	if call.Route != nil {
		m.Route = call.Route.Name
	}
	if !call.Deadline.IsZero() {
		m.Overrun = time.Since(call.Deadline)
	}
	if refusal != nil {
		m.Outcome, m.Code = refusal.Outcome, refusal.Code
		rh.logRefusal(call, refusal, m)
	}
	rh.meter.Record(m)
	if refusal != nil {
		return rh.writeRefusal(c, refusal)
	}
	return rh.writeAnswer(c, call, answer)
}

// logAttempt logs a failed attempt together with the target that was chosen.
func (rh *requestHandler) logAttempt(call *mesh.Call, to mesh.Endpoint, earlier int, answer *mesh.Answer, refusal *mesh.Refusal) {
	fields := logs.Fields{
		"request": call.CallerRequestID, "service": call.TargetService(), "host": to.Host.String(), "zone": to.Zone,
		"target": to.Target.Name, "earlier-attempts": earlier, "left-ms": call.Remaining(time.Now()).Milliseconds(),
	}
	switch {
	case refusal != nil:
		fields["outcome"], fields["code"], fields["reason"] = refusal.Outcome, refusal.Code, refusal.Message
		rh.log.InfoFields("attempt failed", fields)
	case answer.Status >= http.StatusInternalServerError:
		fields["outcome"], fields["status"] = header.Ran, answer.Status
		rh.log.InfoFields("the target answered with a failure", fields)
	}
}

// logRefusal logs the reason why a request was refused.
func (rh *requestHandler) logRefusal(call *mesh.Call, refusal *mesh.Refusal, m meter.Measurement) {
	fields := logs.Fields{
		"request": call.CallerRequestID, "outcome": refusal.Outcome, "code": refusal.Code, "reason": refusal.Message,
		"organisation": call.Organisation, "class": call.Class.String(), "latency-ms": m.Latency.Milliseconds(),
	}
	if call.Queued > loggedQueueing {
		fields["queued-ms"] = call.Queued.Milliseconds()
	}
	if m.Overrun > 0 {
		fields["overrun-ms"] = m.Overrun.Milliseconds()
	}
	if call.Route != nil {
		fields["route"], fields["service"] = call.Route.Name, call.TargetService()
	}
	if view := rh.follow.view.Load(); view != nil && view.Rules != nil {
		fields["rules-version"], fields["as-of"] = view.Rules.Version, view.AsOf.String()
	}
	rh.log.InfoFields("request refused", fields)
}

func (rh *requestHandler) writeRefusal(c echo.Context, refusal *mesh.Refusal) (err error) {
	h := c.Response().Header()
	status := rh.dialect.WriteRefusal(mesh.Headers(h), refusal)
	accept.BoundRefusal(c.Response(), c.Request())
	return c.String(status, refusal.Message+"\n")
}

// writeAnswer forwards a target's answer. When the answer breaks off, it closes the
// connection, so that the caller cannot mistake a truncated answer for a complete one.
func (rh *requestHandler) writeAnswer(c echo.Context, call *mesh.Call, a *mesh.Answer) (err error) {
	defer a.Body.Close()
	h := c.Response().Header()
	for name, values := range forwardedHeaders(http.Header(a.Header)) {
		h[name] = values
	}
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	if err := accept.WriteAnswer(c.Response(), c.Request(), a.Status, a.Body); err != nil {
		if c.Request().Context().Err() == nil { // A caller that has left needs no answer.
			rh.log.InfoFields("the answer broke off", logs.Fields{
				"request": call.CallerRequestID, "service": call.TargetService(), "outcome": header.Ran, "status": a.Status,
				"bytes": c.Response().Size, "reason": err.Error(),
			})
		}
		panic(http.ErrAbortHandler)
	}
	return nil
}
