package agent

import (
	"context"
	"expvar"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/accept"
	"github.com/quetzalstack/quetzalstack/internal/mesh/gate"
	"github.com/quetzalstack/quetzalstack/internal/mesh/link"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/memory"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// servePeer handles a call that the node of another host sends.
func (rh *requestHandler) servePeer(c echo.Context) (err error) {
	r := c.Request()
	if rh.leaving.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	call, target, err := decodePass(accept.Arrived(r), r.Header.Get(header.Pass))
	if err != nil {
		rh.log.Warnf("refused an invalid call from %s: %v.", r.RemoteAddr, err)
		accept.BoundRefusal(c.Response(), r)
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	if rh.follow.View() == nil {
		return writePeerRefusal(c, call, notReady())
	}
	if refusal := rh.refuseUnfinished(call); refusal != nil {
		return writePeerRefusal(c, call, refusal)
	}
	ctx, cancel := rh.requestContext(r.Context(), call.Deadline)
	defer cancel()
	if refusal := accept.TakeHead(r); refusal != nil {
		return writePeerRefusal(c, call, refusal)
	}
	body, refusal := rh.readBody(ctx, c, call)
	if refusal != nil {
		return writePeerRefusal(c, call, refusal)
	}
	if version := r.Header.Get(versionHeader); version != "" {
		call.Choice = mesh.VersionChoice{To: mesh.VersionName(version), New: true}
	}
	p, started := newPayload(r, body), time.Now()
	answer, refusal := rh.runLocally(ctx, call, target, p)
	p.releaseBody()
	rh.observe(call, started, refusal)
	if refusal != nil {
		if refusal.Code == header.CallerLeft {
			rh.logStopped(r.RemoteAddr, call, refusal)
		}
		return writePeerRefusal(c, call, refusal)
	}
	h := c.Response().Header()
	h.Set(header.RequestID, call.CallerRequestID)
	h.Set(header.Outcome, string(header.Ran))
	h.Set(header.Load, strconv.Itoa(answer.Load))
	if answer.Room != nil {
		h.Set(header.Room, formatRoom(answer.Room))
	}
	return rh.writeAnswer(c, call, answer)
}

// logStopped logs a call whose sender closed the connection. The sender's log does not say
// when this node noticed.
func (rh *requestHandler) logStopped(from string, call *mesh.Call, refusal *mesh.Refusal) {
	rh.log.InfoFields("the sending node disconnected", logs.Fields{
		"request": call.CallerRequestID, "from": from, "outcome": refusal.Outcome, "reason": refusal.Message,
		"left-ms": call.Remaining(time.Now()).Milliseconds(),
	})
}

// runLocally runs a call at the target on this host.
func (rh *requestHandler) runLocally(ctx context.Context, call *mesh.Call, target string, p *payload) (answer *mesh.Answer, refusal *mesh.Refusal) {
	in := rh.gate.Enter(ctx, call, target)
	if in.refusal != nil {
		return nil, in.refusal
	}
	// The call may have waited at the gate into the shutdown.
	if refusal := rh.refuseUnfinished(call); refusal != nil {
		rh.gate.Leave(gate.Finished{Ticket: in.ticket, NotRun: true})
		return nil, refusal
	}
	started := time.Now()
	rh.deliveries.begin(call)
	answer, refusal = rh.sendToTarget(ctx, in, call, p)
	nested := rh.deliveries.end(call)
	finished := gate.Finished{Ticket: in.ticket, Latency: time.Since(started), Nested: nested}
	if refusal != nil {
		finished.Overloaded = refusal.Code == header.TargetRefused
		finished.Unreachable = refusal.Code == header.TargetUnreachable
		finished.TimedOut = refusal.Outcome == header.Unknown && (refusal.Code == header.DeadlineExceeded || refusal.Code == header.CallerLeft)
		// The latency of a lost answer carries no information about the target's load, as with
		// a request that did not run.
		finished.NotRun = !finished.Overloaded && !finished.Unreachable && !finished.TimedOut
		finished.Failed = refusal.Code == header.AnswerLost
		rh.gate.Leave(finished)
		return nil, refusal
	}
	answer.Load, answer.Room = in.load, rh.gate.rooms.latest()
	finished.Failed = answer.Status >= http.StatusInternalServerError
	rh.gate.Leave(finished)
	return answer, nil
}

// newTargetPool returns the connections to the target of this host.
func newTargetPool(vars *expvar.Map, addr netip.AddrPort, account *memory.Account, log logs.Log) (p *link.Pool) {
	p = link.NewPool(addr, link.WithAccount(account), link.WithSuspicion(func(_ netip.AddrPort, cause error) {
		log.Warnf("the target sends broken or mixed-up answers; for %v, requests that may run once get connections of their own: %v.", link.SuspectTime, cause)
	}))
	vars.Set("target-mixed-answers", expvar.Func(func() any { return p.Mixed() }))
	return p
}

// keepBody charges a body for as long as its rest is delivered. The request that holds it ends before.
func (rh *requestHandler) keepBody(size int64, rest *link.Rest) {
	release := rh.account.Keep(size)
	go func() {
		<-rest.Done()
		release()
	}()
}

// sendToTarget sends a call to the target and checks its answer.
func (rh *requestHandler) sendToTarget(ctx context.Context, in admission, call *mesh.Call, p *payload) (answer *mesh.Answer, refusal *mesh.Refusal) {
	headers := make(mesh.Headers, len(p.Header)+4)
	for name, values := range p.Header {
		headers[name] = values
	}
	rh.dialect.SetTargetHeaders(headers, call, *in.target, nextHopTime(call.Remaining(time.Now())))
	var info mesh.AnswerInfo
	response, sent, err := rh.target.Exchange(ctx, &link.Request{
		Method: p.Method, Path: p.Path, Host: p.host, Headers: headers, Body: p.body, Charge: p.holder.Force,
		ID: call.CallerRequestID, Once: !call.Route.Idempotent, Whole: true,
		Match: func(status int, h mesh.Headers) link.Match {
			info = rh.dialect.ParseAnswer(status, h)
			switch {
			case info.Contradictory:
				return link.Contradiction
			case info.ID == call.CallerRequestID:
				return link.MatchByID
			default:
				return link.NoMatch
			}
		},
	})
	if err != nil {
		return nil, exchangeRefusal(sent, err, "target")
	}
	switch {
	case response.Rest == nil:
	case info.NotRun:
		response.Rest.Drop()
	default:
		rh.keepBody(int64(p.body.Len()), response.Rest)
	}
	answer = &mesh.Answer{Status: response.Status, Header: response.Header, Body: response.Body, Length: response.Length}
	switch {
	case info.OtherTarget:
		response.Body.Close()
		return nil, mesh.NotRun(header.TargetDraining, "another target answered at the address of %q", in.target.Name)
	case info.NotRun:
		response.Body.Close()
		return nil, mesh.NotRun(header.TargetRefused, "the target did not run the request (status %d)", response.Status)
	case response.Status < http.StatusMultipleChoices && !info.FromTarget:
		response.Body.Close()
		return nil, mesh.Unknown(header.AnswerLost, "the answer with status %d does not prove that it comes from the target", response.Status)
	}
	return answer, nil
}
