package node

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/calls"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/meter"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// maxKey is the longest key that is looked at, in bytes.
const maxKey = 256

// incoming is a request of a caller that has passed all checks.
type incoming struct {
	call    *mesh.Call
	payload *mesh.Payload
}

// entry serves a request of a caller.
func (f *front) entry(c echo.Context) (err error) {
	started := time.Now()
	if f.leaving.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	in, refusal := f.accept(c, started)
	if refusal != nil {
		f.measure(started, in.call, refusal)
		return writeRefusal(c, c.Request().Header.Get(header.RequestID), refusal)
	}
	c.Response().Header().Set(header.RequestID, in.call.ID.String())
	ctx, cancel := contextFor(c.Request(), in.call.Deadline)
	defer cancel()
	if in.call.Organisation != "" {
		if refusal := f.contract.Admit(ctx, in.call.Organisation, in.call.Class, in.call.Deadline); refusal != nil {
			f.measure(started, in.call, refusal)
			return writeRefusal(c, in.call.ID.String(), refusal)
		}
	}
	answer, _, refusal := f.relay(ctx, in.call, in.payload)
	if refusal != nil {
		f.measure(started, in.call, refusal)
		return writeRefusal(c, in.call.ID.String(), refusal)
	}
	err = writeAnswer(c, answer)
	f.measure(started, in.call, nil)
	return err
}

// measure records how a request of a caller ended.
func (f *front) measure(started time.Time, call *mesh.Call, refusal *mesh.Refusal) {
	m := meter.Measurement{Outcome: header.Ran, Latency: time.Since(started), Class: mesh.ClassLow}
	if call != nil {
		m.Organisation, m.Class = call.Organisation, call.Class
	}
	if refusal != nil {
		m.Outcome, m.Code = refusal.Outcome, refusal.Code
	}
	f.meter.Record(m)
}

// accept checks a request of a caller and reads it in.
func (f *front) accept(c echo.Context, now time.Time) (in incoming, refusal *mesh.Refusal) {
	r := c.Request()
	view := f.config.View()
	if view == nil {
		return in, mesh.NotRun(header.NoSettings, "the node has no settings yet")
	}
	match, refusal := findRoute(view.Index, r)
	if refusal != nil {
		return in, refusal
	}
	call, refusal := newCall(view, match, r, now)
	if refusal != nil {
		return in, refusal
	}
	in.call = call
	in.payload, refusal = readPayload(c.Response(), r, call.Route.MaxBody)
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
	call.Deadline, refusal = readTimeout(r, call.Route, now)
	return call, refusal
}

// readKey returns the hash of the key that a request came with.
func readKey(r *http.Request) (hash mesh.KeyHash, refusal *mesh.Refusal) {
	lines := r.Header["Authorization"]
	if len(lines) == 0 {
		return hash, mesh.NotRun(header.KeyMissing, "send a key as Authorization: Bearer KEY")
	}
	scheme, key, _ := strings.Cut(lines[0], " ")
	if len(lines) > 1 || !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKey {
		return hash, mesh.NotRun(header.KeyMalformed, "send one key of at most %d bytes as Authorization: Bearer KEY", maxKey)
	}
	return mesh.HashKey(key), nil
}

// readRequestID returns the id that a request brings, or a new one.
func readRequestID(r *http.Request) (id mesh.RequestID, refusal *mesh.Refusal) {
	text := r.Header.Get(header.RequestID)
	if text == "" {
		id, err := mesh.NewRequestID()
		if err != nil {
			return id, mesh.NotRun(header.NodeBusy, "no request id could be made: %v", err)
		}
		return id, nil
	}
	id, valid := mesh.ParseRequestID(text)
	if !valid {
		return id, mesh.NotRun(header.RequestIDMalformed, "%s is %q; write a UUIDv7", header.RequestID, text)
	}
	return id, nil
}

// deeper serves a call that a target of this host makes.
func (f *front) deeper(c echo.Context) (err error) {
	r := c.Request()
	token := calls.Token(r.Header.Get(header.Call))
	call, refusal := f.acceptDeeper(r, token)
	if refusal != nil {
		return writeRefusal(c, "", refusal)
	}
	given := call.AttemptsLeft
	payload, refusal := readPayload(c.Response(), r, call.Route.MaxBody)
	if refusal != nil {
		f.calls.Returned(token, given, given, mesh.ClassLow)
		return writeRefusal(c, call.ID.String(), refusal)
	}
	ctx, cancel := contextFor(r, call.Deadline)
	defer cancel()
	answer, left, refusal := f.relay(ctx, call, payload)
	if refusal != nil {
		f.calls.Returned(token, given, left, levelOf(refusal))
		return writeRefusal(c, call.ID.String(), refusal)
	}
	f.calls.Returned(token, given, left, answer.Level)
	return writeAnswer(c, answer)
}

// levelOf returns the level that a refusal tells of.
func levelOf(r *mesh.Refusal) (level mesh.Class) {
	if r.Code == header.Overloaded {
		return r.Level
	}
	return mesh.ClassLow
}

func (f *front) acceptDeeper(r *http.Request, token calls.Token) (call *mesh.Call, refusal *mesh.Refusal) {
	view := f.config.View()
	if view == nil {
		return nil, mesh.NotRun(header.NoSettings, "the node has no settings yet")
	}
	parent, refusal := f.calls.Find(token)
	if refusal != nil {
		return nil, refusal
	}
	match, refusal := findRoute(view.Index, r)
	if refusal != nil {
		return nil, refusal
	}
	route := match.For(parent.Organisation)
	deadline, refusal := readTimeout(r, route, time.Now())
	if refusal != nil {
		return nil, refusal
	}
	own := r.Header.Get(header.RequestID)
	id, refusal := readRequestID(r)
	if refusal != nil {
		return nil, refusal
	}
	if call, refusal = f.calls.Deeper(token, route); refusal != nil {
		return nil, refusal
	}
	if own != "" {
		call.ID = id
	}
	if deadline.Before(call.Deadline) {
		call.Deadline = deadline
	}
	return call, nil
}
