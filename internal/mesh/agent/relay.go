package agent

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/accept"
	"github.com/quetzalstack/quetzalstack/internal/mesh/link"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rules"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// maxHops is the maximum number of nodes to which one request is sent. A node that refuses a
// request before sending it to its target costs no attempt.
const maxHops = 5

// maxBackoffWait is the maximum time that a call waits for the backoff of a link to end. It
// covers the backoff after one or two failures of a link.
const maxBackoffWait = 250 * time.Millisecond

// relay sends a call to a target and retries it where that is allowed.
func (rh *requestHandler) relay(ctx context.Context, call *mesh.Call, p *payload) (answer *mesh.Answer, refusal *mesh.Refusal) {
	var tried []netip.AddrPort
	for range maxHops {
		if late := rh.refuseUnfinished(call); late != nil {
			return nil, mergeRefusals(refusal, late)
		}
		to, failure := rh.chooseWithWait(ctx, call, tried)
		if failure != nil {
			return nil, mergeRefusals(refusal, failure)
		}
		answer, failure = rh.attempt(ctx, to, call, p)
		rh.logAttempt(call, to, len(tried), answer, failure)
		if failure == nil {
			return answer, nil
		}
		tried = append(tried, to.Host)
		refusal = mergeRefusals(refusal, failure)
		if !rh.mayRetry(ctx, call, refusal) {
			return nil, refusal
		}
	}
	return nil, refusal
}

// chooseWithWait selects the target for the next attempt. When all links to its service are in
// backoff, it waits once for the first backoff to end.
func (rh *requestHandler) chooseWithWait(ctx context.Context, call *mesh.Call, tried []netip.AddrPort) (to mesh.Endpoint, refusal *mesh.Refusal) {
	to, refusal = rh.choose(ctx, call, tried)
	if refusal == nil || refusal.Code != header.NoTarget || refusal.RetryAfter == 0 || refusal.RetryAfter > maxBackoffWait {
		return to, refusal
	}
	if !sleep(ctx, refusal.RetryAfter) {
		return to, refusal
	}
	return rh.choose(ctx, call, tried)
}

// choose selects the target for the next attempt. It checks the API key again, since it may
// have been withdrawn since the request arrived.
func (rh *requestHandler) choose(ctx context.Context, call *mesh.Call, tried []netip.AddrPort) (to mesh.Endpoint, refusal *mesh.Refusal) {
	view := rh.follow.View()
	if call.Organisation != "" {
		if _, found := view.index.OrganisationByKey(call.Key); !found {
			return to, mesh.NotRun(header.KeyWithdrawn, "the API key was withdrawn in rules version %d", view.Rules.Version)
		}
	}
	if route, found := view.index.RouteByName(call.Route.Name); found && route != call.Route && !view.index.Allows(route, call.TargetService()) {
		// The rules have changed since the route was looked up.
		call.Route, call.Service = route, rules.ChooseService(route, 0)
	}
	return rh.pick(ctx, call, tried)
}

// pick selects the target for the next attempt among those of the version that is to run it. When
// none of the new version can be used, the others may run it.
func (rh *requestHandler) pick(ctx context.Context, call *mesh.Call, tried []netip.AddrPort) (to mesh.Endpoint, refusal *mesh.Refusal) {
	service, versions := call.TargetService(), rh.rollouts.View()
	if versions.rule(service) == nil {
		call.Choice = mesh.VersionChoice{}
		return rh.picker.Pick(ctx, call, tried, nil)
	}
	var endpoints []mesh.Endpoint
	call.Choice, endpoints = versions.place(call, len(tried), rh.member.View().Targets[service])
	to, refusal = rh.picker.Pick(ctx, call, tried, endpoints)
	if refusal != nil && refusal.Code == header.NoTarget && call.Choice.New {
		call.Choice.New = false
		return rh.picker.Pick(ctx, call, tried, endpoints)
	}
	return to, refusal
}

// mergeRefusals returns the refusal of a request from the refusals of its earlier and its last
// attempts. After an attempt that may have run, the outcome stays unknown.
func mergeRefusals(earlier, last *mesh.Refusal) (refusal *mesh.Refusal) {
	switch {
	case earlier == nil:
		return last
	case earlier.Outcome == header.Unknown && last.Outcome == header.NotRun, last.Code == header.NoTarget:
		return earlier
	default:
		return last
	}
}

// mayRetry reports whether a call may be sent to another target after a failure. A call that
// no target has received may be retried when the refusal code allows it. Any other retry takes
// one of the call's attempts and one from the retry budget of its service, and requires an
// idempotent route unless the target reported that it did not run the request.
func (rh *requestHandler) mayRetry(ctx context.Context, call *mesh.Call, refusal *mesh.Refusal) (allowed bool) {
	if ctx.Err() != nil {
		return false
	}
	switch {
	case refusal.Outcome == header.NotRun && !refusal.Code.Retryable():
		return false
	case refusal.Outcome == header.NotRun && refusal.Code != header.TargetRefused:
		return true
	case refusal.Outcome == header.Unknown && !(call.Route.Idempotent && (refusal.Code == header.AnswerLost || refusal.Code == header.NodeLeaving)):
		return false
	}
	if call.AttemptsLeft == 0 || !rh.picker.AllowRetry(ctx, call) {
		return false
	}
	call.AttemptsLeft--
	call.Retry = true
	return true
}

// attempt sends a call to one target, either on this host or through the node of another host.
func (rh *requestHandler) attempt(ctx context.Context, to mesh.Endpoint, call *mesh.Call, p *payload) (answer *mesh.Answer, refusal *mesh.Refusal) {
	report := mesh.LinkReport{To: to, Call: call, Reached: true, Level: mesh.ClassLow}
	rh.boundAttempt(call)
	started, counted := time.Now(), rh.rollouts.Started(call, to)
	if to.Host == rh.settings.PeerAddr {
		answer, refusal = rh.runLocally(ctx, call, to.Target.Name, p)
	} else {
		answer, report.Reached, refusal = rh.sendToPeer(ctx, to, call, p)
	}
	if counted {
		rh.rollouts.Ended(call, to, started, answer, refusal)
	}
	rh.observe(call, started, refusal)
	report.Refusal = refusal
	if refusal == nil {
		report.Load, report.Room = answer.Load, answer.Room
	}
	rh.picker.Report(report)
	return answer, refusal
}

// sendToPeer sends a call to the node of its target. reached is true when that node responded,
// even with a refusal.
func (rh *requestHandler) sendToPeer(ctx context.Context, to mesh.Endpoint, call *mesh.Call, p *payload) (answer *mesh.Answer, reached bool, refusal *mesh.Refusal) {
	encoded, err := encodePass(time.Now(), call, to)
	if err != nil {
		return nil, true, mesh.NotRun(header.PassInvalid, "%v", err)
	}
	headers := make(mesh.Headers, len(p.Header)+1)
	for name, values := range p.Header {
		headers[name] = values
	}
	headers[header.Pass] = []string{encoded}
	if to.Target.Version != "" {
		headers[versionHeader] = []string{string(to.Target.Version)}
	}
	response, sent, err := rh.links.Get(to.Host).Exchange(ctx, &link.Request{
		Method: p.Method, Path: p.Path, Host: p.host, Headers: headers, Body: p.body, Charge: p.holder.Force,
		Match: func(_ int, h mesh.Headers) link.Match {
			if firstValue(h, header.RequestID) != call.CallerRequestID {
				return link.NoMatch
			}
			return link.MatchByID
		},
	})
	if err != nil {
		// Without a socket the node of the target was not asked.
		return nil, errors.Is(err, link.ErrNoSocket), exchangeRefusal(sent, err, "node of the target")
	}
	answer, refusal = rh.parsePeerAnswer(response)
	return answer, true, refusal
}

// firstValue returns the first value of a header; name must be canonical.
func firstValue(h mesh.Headers, name string) (value string) {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// exchangeRefusal converts the error of an exchange to a refusal.
func exchangeRefusal(sent bool, err error, what string) (refusal *mesh.Refusal) {
	contextDone := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || errors.Is(err, mesh.ErrShutdown)
	switch {
	case contextDone && !sent:
		return mesh.Interrupted(err, header.NotRun, "before the request was sent to the "+what)
	case errors.Is(err, link.ErrNoSocket):
		return mesh.NotRun(header.NodeBusy, "the node has no socket for a connection to the %s", what)
	case !sent:
		return mesh.NotRun(header.TargetUnreachable, "the %s is unreachable: %s", what, link.Describe(err))
	case contextDone:
		return mesh.Interrupted(err, header.Unknown, "while the request was running")
	default:
		return mesh.Unknown(header.AnswerLost, "the answer of the %s was lost: %s", what, link.Describe(err))
	}
}

// parsePeerAnswer parses the answer of the node of a target.
func (rh *requestHandler) parsePeerAnswer(r *link.Response) (answer *mesh.Answer, refusal *mesh.Refusal) {
	outcome := header.OutcomeValue(firstValue(r.Header, header.Outcome))
	if outcome == header.Ran {
		load, err := strconv.Atoi(firstValue(r.Header, header.Load))
		if err != nil {
			rh.log.Warnf("invalid load in an answer of another node; using 0: %v.", err)
		}
		answer = &mesh.Answer{Status: r.Status, Header: r.Header, Body: r.Body, Length: r.Length, Load: load}
		if text := firstValue(r.Header, header.Room); text != "" && rh.settings.LearnSpeed {
			if answer.Room, err = parseRoom(text); err != nil {
				rh.log.Warnf("ignored the room in an answer of another node: %v.", err)
			}
		}
		return answer, nil
	}
	defer r.Body.Close()
	code := header.RefusalCode(firstValue(r.Header, header.Code))
	if code == "" || outcome != header.NotRun && outcome != header.Unknown {
		return nil, mesh.Unknown(header.AnswerLost, "the node of the target answered with status %d but no outcome", r.Status)
	}
	refusal = &mesh.Refusal{Code: code, Outcome: outcome, Message: decodeReason(firstValue(r.Header, reasonHeader))}
	milliseconds, err := strconv.Atoi(firstValue(r.Header, retryAfterHeader))
	if err != nil {
		rh.log.Warnf("invalid retry delay in a refusal of another node; using 0: %v.", err)
	}
	refusal.RetryAfter = time.Duration(milliseconds) * time.Millisecond
	return nil, refusal
}

// Headers of a refusal that one node sends to another.
const (
	// reasonHeader is the message of the refusal with percent-encoding: it may quote a status line,
	// and an answer that holds a second one is not believed.
	reasonHeader = header.Prefix + "Reason"

	// retryAfterHeader is the delay before a retry can succeed, in milliseconds.
	retryAfterHeader = header.Prefix + "Wait"
)

// decodeReason returns the message in a value of reasonHeader. An earlier build sends it as it is.
func decodeReason(value string) (message string) {
	message, err := url.PathUnescape(value)
	if err != nil {
		return value
	}
	return message
}

// writePeerRefusal sends a refusal to another node.
func writePeerRefusal(c echo.Context, call *mesh.Call, r *mesh.Refusal) (err error) {
	h := c.Response().Header()
	h.Set(header.RequestID, call.CallerRequestID)
	h.Set(header.Outcome, string(r.Outcome))
	h.Set(header.Code, string(r.Code))
	h.Set(reasonHeader, url.PathEscape(r.Message))
	h.Set(retryAfterHeader, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	accept.BoundRefusal(c.Response(), c.Request())
	return c.NoContent(http.StatusServiceUnavailable)
}
