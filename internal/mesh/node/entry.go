package node

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/accept"
	"github.com/quetzalstack/quetzalstack/internal/mesh/calls"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/meter"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// maxKeyBytes is the maximum length of an API key.
const maxKeyBytes = 256

// incoming is a request of a caller with the call that was created for it.
type incoming struct {
	call    *mesh.Call
	payload *mesh.Payload
}

// serveCaller handles a request of a caller.
func (rh *requestHandler) serveCaller(c echo.Context) (err error) {
	started := accept.Arrived(c.Request())
	if rh.leaving.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	in, refusal := rh.newIncoming(c.Request())
	if refusal != nil {
		rh.recordMetrics(started, in.call, refusal)
		return writeRefusal(c, c.Request().Header.Get(header.RequestID), refusal)
	}
	ctx, cancel := requestContext(c.Request(), in.call.Deadline)
	defer cancel()
	if in.payload, refusal = readPayload(ctx, c, in.call.Route.MaxBody); refusal != nil {
		rh.recordMetrics(started, in.call, refusal)
		return writeRefusal(c, c.Request().Header.Get(header.RequestID), refusal)
	}
	c.Response().Header().Set(header.RequestID, in.call.ID.String())
	if in.call.Organisation != "" {
		if refusal := rh.contract.Admit(ctx, in.call.Organisation, in.call.Class, in.call.Deadline); refusal != nil {
			rh.recordMetrics(started, in.call, refusal)
			return writeRefusal(c, in.call.ID.String(), refusal)
		}
	}
	answer, _, refusal := rh.relay(ctx, in.call, in.payload)
	if refusal != nil {
		rh.recordMetrics(started, in.call, refusal)
		return writeRefusal(c, in.call.ID.String(), refusal)
	}
	err = writeAnswer(c, answer)
	rh.recordMetrics(started, in.call, nil)
	return err
}

// recordMetrics records the outcome and latency of a request of a caller.
func (rh *requestHandler) recordMetrics(started time.Time, call *mesh.Call, refusal *mesh.Refusal) {
	m := meter.Measurement{Outcome: header.Ran, Latency: time.Since(started), Class: mesh.ClassLow}
	if call != nil {
		m.Organisation, m.Class = call.Organisation, call.Class
	}
	if refusal != nil {
		m.Outcome, m.Code = refusal.Outcome, refusal.Code
	}
	rh.meter.Record(m)
}

// newIncoming validates the headers of a request of a caller.
func (rh *requestHandler) newIncoming(r *http.Request) (in incoming, refusal *mesh.Refusal) {
	view := rh.config.View()
	if view == nil {
		return in, mesh.NotRun(header.NoSettings, "the node has not loaded its settings yet")
	}
	match, refusal := findRoute(view.Index, r)
	if refusal != nil {
		return in, refusal
	}
	in.call, refusal = newCall(view, match, r, time.Now())
	return in, refusal
}

func newCall(view *config.View, match tree.Match, r *http.Request, now time.Time) (call *mesh.Call, refusal *mesh.Refusal) {
	call = &mesh.Call{Weight: 1}
	if !match.Open() {
		if call.Key, refusal = readKey(r); refusal != nil {
			return nil, refusal
		}
		if call.Organisation, refusal = view.Organisation(now, call.Key); refusal != nil {
			return nil, refusal
		}
		call.Weight = max(1, view.Index.Contracts[call.Organisation].Weight)
	}
	call.Route = match.For(call.Organisation)
	call.Class = call.Route.Class
	call.AttemptsLeft = call.Route.Retries
	if call.ID, refusal = readRequestID(r); refusal != nil {
		return nil, refusal
	}
	call.Deadline, refusal = readDeadline(r, call.Route)
	return call, refusal
}

// readKey returns the hash of the API key of a request.
func readKey(r *http.Request) (hash mesh.KeyHash, refusal *mesh.Refusal) {
	values := r.Header["Authorization"]
	if len(values) == 0 {
		return hash, mesh.NotRun(header.KeyMissing, "the route requires an API key; send it as Authorization: Bearer KEY")
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if len(values) > 1 || !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyBytes {
		return hash, mesh.NotRun(header.KeyMalformed, "send one API key of at most %d bytes as Authorization: Bearer KEY", maxKeyBytes)
	}
	return mesh.HashKey(key), nil
}

// readRequestID returns the id in the headers of a request, or a new one.
func readRequestID(r *http.Request) (id mesh.RequestID, refusal *mesh.Refusal) {
	text := r.Header.Get(header.RequestID)
	if text == "" {
		id, err := mesh.NewRequestID()
		if err != nil {
			return id, mesh.NotRun(header.NodeBusy, "generating a request id failed: %v", err)
		}
		return id, nil
	}
	id, valid := mesh.ParseRequestID(text)
	if !valid {
		return id, mesh.NotRun(header.RequestIDMalformed, "%s is %q; write a UUIDv7", header.RequestID, text)
	}
	return id, nil
}

// serveNested handles a nested call, which a target on this host makes while it
// runs a request.
func (rh *requestHandler) serveNested(c echo.Context) (err error) {
	r := c.Request()
	token := calls.Token(r.Header.Get(header.Call))
	call, refusal := rh.newNestedCall(r, token)
	if refusal != nil {
		return writeRefusal(c, "", refusal)
	}
	delegated := call.AttemptsLeft
	ctx, cancel := requestContext(r, call.Deadline)
	defer cancel()
	payload, refusal := readPayload(ctx, c, call.Route.MaxBody)
	if refusal != nil {
		rh.calls.ReturnBudget(token, delegated, delegated, mesh.ClassLow)
		return writeRefusal(c, call.ID.String(), refusal)
	}
	answer, left, refusal := rh.relay(ctx, call, payload)
	if refusal != nil {
		rh.calls.ReturnBudget(token, delegated, left, refusalLevel(refusal))
		return writeRefusal(c, call.ID.String(), refusal)
	}
	rh.calls.ReturnBudget(token, delegated, left, answer.Level)
	return writeAnswer(c, answer)
}

// refusalLevel returns the admission level that a refusal reports.
func refusalLevel(r *mesh.Refusal) (level mesh.Class) {
	if r.Code == header.Overloaded {
		return r.Level
	}
	return mesh.ClassLow
}

// newNestedCall validates a nested call and derives it from the delivery that the
// token identifies.
func (rh *requestHandler) newNestedCall(r *http.Request, token calls.Token) (call *mesh.Call, refusal *mesh.Refusal) {
	view := rh.config.View()
	if view == nil {
		return nil, mesh.NotRun(header.NoSettings, "the node has not loaded its settings yet")
	}
	parent, refusal := rh.calls.Find(token)
	if refusal != nil {
		return nil, refusal
	}
	match, refusal := findRoute(view.Index, r)
	if refusal != nil {
		return nil, refusal
	}
	route := match.For(parent.Organisation)
	deadline, refusal := readDeadline(r, route)
	if refusal != nil {
		return nil, refusal
	}
	requestID := r.Header.Get(header.RequestID)
	id, refusal := readRequestID(r)
	if refusal != nil {
		return nil, refusal
	}
	if call, refusal = rh.calls.NewNested(token, route); refusal != nil {
		return nil, refusal
	}
	if requestID != "" {
		call.ID = id
	}
	if deadline.Before(call.Deadline) {
		call.Deadline = deadline
	}
	return call, nil
}
