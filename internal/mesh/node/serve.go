package node

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/accept"
	"github.com/quetzalstack/quetzalstack/internal/mesh/calls"
	"github.com/quetzalstack/quetzalstack/internal/mesh/gate"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// claimMarginFraction is the fraction of the remaining time that is reserved for
// running the request after its claim, or for returning a refusal to the caller
// before the deadline.
const claimMarginFraction = 0.25

// runLocally runs a call at a target on this host and returns the remaining retry
// budget of the call. The call is claimed before it enters the gate, so that a
// call that waits for the platform does not occupy a slot of the target.
func (rh *requestHandler) runLocally(ctx context.Context, target netip.AddrPort, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	if refusal = rh.checkAccepting(); refusal == nil {
		refusal = rh.revalidate(call)
	}
	if refusal == nil {
		refusal = rh.claim(ctx, call)
	}
	if refusal != nil {
		return nil, call.AttemptsLeft, refusal
	}
	answer, left, refusal = rh.enterAndRun(ctx, target, call, payload)
	if refusal != nil && refusal.Outcome == header.NotRun {
		rh.release(call)
	}
	return answer, left, refusal
}

// claim claims a non-idempotent call, so that it runs at most once.
func (rh *requestHandler) claim(ctx context.Context, call *mesh.Call) (refusal *mesh.Refusal) {
	if call.Route.Idempotent {
		return nil
	}
	margin := time.Duration(claimMarginFraction * float64(call.Remaining(time.Now())))
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(-margin))
	defer cancel()
	return rh.claims.Claim(ctx, call)
}

// checkAccepting refuses requests for targets on this host while the node shuts down
// or its zone is out of service.
func (rh *requestHandler) checkAccepting() (refusal *mesh.Refusal) {
	if rh.leaving.Load() {
		return mesh.NotRun(header.NodeLeaving, "the node is shutting down")
	}
	view := rh.config.View()
	if view != nil && view.Index.Zone.Out {
		return zoneOutRefusal(view.Index.Zone.Name)
	}
	return nil
}

// enterAndRun waits for admission at the gate of the target and then runs the call.
func (rh *requestHandler) enterAndRun(ctx context.Context, target netip.AddrPort, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	admitted, refusal := rh.gate.Enter(ctx, target, call)
	if refusal != nil {
		return nil, call.AttemptsLeft, refusal
	}
	answer, left, refusal = rh.runAdmitted(ctx, target, admitted, call, payload)
	if refusal != nil {
		return nil, left, refusal
	}
	answer.Load = admitted.load
	answer.Level = min(answer.Level, admitted.level)
	return answer, left, nil
}

// runAdmitted sends an admitted call to the target, unless it became invalid while
// it was queued.
func (rh *requestHandler) runAdmitted(ctx context.Context, target netip.AddrPort, admitted admission, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	var token calls.Token
	if refusal = rh.revalidate(call); refusal == nil {
		token, refusal = rh.calls.Open(call)
	}
	if refusal != nil {
		rh.gate.Leave(target, gate.Finished{Ticket: admitted.ticket, NotRun: true})
		return nil, call.AttemptsLeft, refusal
	}
	started := time.Now()
	answer, closed, refusal := rh.targets.send(ctx, target, token, call, payload)
	finished := gate.Finished{Ticket: admitted.ticket, Latency: time.Since(started)}
	if refusal != nil {
		finished.Overloaded = refusal.Code == header.TargetRefused
		finished.Unreachable = refusal.Code == header.TargetUnreachable
		finished.TimedOut = refusal.Outcome == header.Unknown && refusal.Code == header.DeadlineExceeded
		finished.AnswerLost = refusal.Code == header.AnswerLost || refusal.Outcome == header.Unknown && refusal.Code == header.CallerLeft
		finished.NotRun = refusal.Outcome == header.NotRun && !finished.Overloaded
		rh.gate.Leave(target, finished)
		left, _ = rh.calls.Close(token)
		return nil, left, refusal
	}
	return rh.finish(target, token, finished, started, answer, closed)
}

func (rh *requestHandler) release(call *mesh.Call) {
	if !call.Route.Idempotent {
		rh.claims.Release(call)
	}
}

// finish ends the delivery of an answered call. A streamed answer occupies its slot
// until its body is closed, and returns no retry budget.
func (rh *requestHandler) finish(target netip.AddrPort, token calls.Token, finished gate.Finished, started time.Time, answer *mesh.Answer, closed func() bool) (result *mesh.Answer, left int, refusal *mesh.Refusal) {
	stream, streaming := answer.Body.(*streamedBody)
	if streaming {
		stream.onClose = func() {
			finished.Latency, finished.ConnectionClosed = time.Since(started), closed()
			rh.gate.Leave(target, finished)
			rh.calls.Close(token)
		}
		return answer, 0, nil
	}
	finished.ConnectionClosed = closed()
	rh.gate.Leave(target, finished)
	left, answer.Level = rh.calls.Close(token)
	return answer, left, nil
}

// servePeer handles a call that another node sends.
func (rh *requestHandler) servePeer(c echo.Context) (err error) {
	r := c.Request()
	if rh.leaving.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	call, target, refusal := rh.decodePass(r.Header.Get(header.Pass), accept.Arrived(r))
	if refusal != nil {
		return rh.writePeerRefusal(c, 0, refusal)
	}
	c.Response().Header().Set(header.RequestID, call.ID.String())
	ctx, cancel := requestContext(r, call.Deadline)
	defer cancel()
	payload, refusal := readPayload(ctx, c, call.Route.MaxBody)
	if refusal != nil {
		return rh.writePeerRefusal(c, call.AttemptsLeft, refusal)
	}
	answer, left, refusal := rh.runLocally(ctx, target, call, payload)
	if refusal != nil {
		return rh.writePeerRefusal(c, left, refusal)
	}
	h := c.Response().Header()
	h.Set(header.AttemptsLeft, strconv.Itoa(left))
	h.Set(header.Level, strconv.Itoa(int(answer.Level)))
	h.Set(header.Load, strconv.Itoa(answer.Load))
	return writeAnswer(c, answer)
}

func (rh *requestHandler) writePeerRefusal(c echo.Context, left int, r *mesh.Refusal) (err error) {
	h := c.Response().Header()
	h.Set(header.AttemptsLeft, strconv.Itoa(left))
	h.Set(header.Level, strconv.Itoa(int(r.Level)))
	return writeRefusal(c, "", r)
}

// decodePass verifies a pass that arrived at the given time and returns its call and target.
func (rh *requestHandler) decodePass(value string, arrived time.Time) (call *mesh.Call, target netip.AddrPort, refusal *mesh.Refusal) {
	pass, err := rh.signer.VerifyPass(value)
	if err != nil {
		return nil, target, mesh.NotRun(header.PassInvalid, "%v", err)
	}
	view := rh.config.View()
	if view == nil {
		return nil, target, mesh.NotRun(header.NoSettings, "the node has not loaded its settings yet")
	}
	route, found := view.Index.RouteByName(mesh.ServiceName(pass.GetService()), pass.GetRoute(), mesh.OrganisationName(pass.GetOrganisation()))
	if !found {
		return nil, target, mesh.NotRun(header.RouteUnknown, "route %q of service %q does not exist in settings version %d", pass.GetRoute(), pass.GetService(), view.Version)
	}
	target, err = netip.ParseAddrPort(pass.GetTarget())
	if err != nil {
		return nil, target, mesh.NotRun(header.PassInvalid, "target: %v", err)
	}
	return callFromPass(pass, route, arrived), target, nil
}

func callFromPass(pass *wire.Pass, route *mesh.Route, arrived time.Time) (call *mesh.Call) {
	call = &mesh.Call{
		Route:        route,
		Class:        mesh.Class(pass.GetClass()),
		Organisation: mesh.OrganisationName(pass.GetOrganisation()),
		Weight:       int(pass.GetWeight()),
		Deadline:     arrived.Add(time.Duration(pass.GetRemaining())),
		AttemptsLeft: int(pass.GetAttempts()),
	}
	copy(call.ID[:], pass.GetRequestId())
	copy(call.Key[:], pass.GetKeyHash())
	return call
}
