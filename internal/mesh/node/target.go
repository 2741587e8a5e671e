package node

import (
	"context"
	"expvar"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/calls"
	"github.com/quetzalstack/quetzalstack/internal/mesh/link"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// targetClient sends requests to the targets of this host.
type targetClient struct {
	pools *link.Pools
}

func newTargetClient(vars *expvar.Map, log logs.Log) (t *targetClient) {
	dialer := net.Dialer{Timeout: dialTimeout}
	t = &targetClient{pools: link.NewPools(link.WithDial(dialer.DialContext), link.WithSuspicion(func(addr netip.AddrPort, cause error) {
		log.Warnf("the target at %v sends broken or mixed-up answers; for %v, requests that may run once get connections of their own: %v.", addr, link.SuspectTime, cause)
	}))}
	vars.Set("target-mixed-answers", expvar.Func(func() any { return t.pools.Mixed() }))
	return t
}

// send runs a call at a target. Once the body of the answer is closed, closed reports whether the
// target closed the connection with it.
func (t *targetClient) send(ctx context.Context, target netip.AddrPort, token calls.Token, call *mesh.Call, payload *mesh.Payload) (answer *mesh.Answer, closed func() bool, refusal *mesh.Refusal) {
	id := call.ID.String()
	headers := mesh.Headers(maps.Clone(payload.Header))
	if headers == nil {
		headers = make(mesh.Headers)
	}
	// The size of the body is that of the payload.
	delete(headers, "Content-Length")
	headers[header.Call] = []string{string(token)}
	headers[header.RequestID] = []string{id}
	headers[header.Class] = []string{call.Class.String()}
	headers[header.Timeout] = []string{call.Remaining(time.Now()).String()}
	if call.Organisation != "" {
		headers[header.Organisation] = []string{string(call.Organisation)}
	}
	request := &link.Request{
		Method: payload.Method, Path: payload.Path, Host: target.String(), Headers: headers,
		ID: id, Once: !call.Route.Idempotent, Whole: true, DetectClose: true, Match: func(_ int, h mesh.Headers) link.Match { return matchAnswer(id, h) },
	}
	if !strings.HasPrefix(request.Path, "/") {
		request.Path = "/" + request.Path
	}
	if len(payload.Body) > 0 {
		request.Body = mesh.Pieces{payload.Body}
	}
	response, sent, err := t.pools.Get(target).Exchange(ctx, request)
	if err != nil {
		return nil, nil, exchangeRefusal(ctx, sent, err, "target")
	}
	if header.OutcomeValue(firstValue(response.Header, header.Outcome)) == header.NotRun {
		response.Rest.Drop()
		response.Body.Close()
		if firstValue(response.Header, header.RequestID) == "" {
			// Bytes that belong to no answer can have the form of a rejection.
			return nil, nil, mesh.Unknown(header.AnswerLost, "the target's rejection names no request; it needs the header %s", header.RequestID)
		}
		return nil, nil, mesh.NotRun(header.TargetRefused, "the target did not run the request")
	}
	answer = &mesh.Answer{Status: response.Status, Header: forwardedHeaders(http.Header(response.Header)), Body: response.Body, Level: mesh.ClassLow}
	if response.Length < 0 || response.Length > maxBufferedAnswer {
		answer.Body = &streamedBody{Reader: response.Body, source: response.Body}
	}
	return answer, response.RemoteClosed, nil
}

// matchAnswer says how a target's answer relates to the request with the id. Targets repeat the id in
// all of their answers or in none.
func matchAnswer(id string, h mesh.Headers) (m link.Match) {
	switch ids := h[header.RequestID]; {
	case len(ids) > 1 || len(h[header.Outcome]) > 1:
		return link.Contradiction
	case len(ids) == 0:
		return link.MatchByOrder
	case ids[0] == id:
		return link.MatchByID
	default:
		return link.NoMatch
	}
}

// firstValue returns the first value of a header; name must be canonical.
func firstValue(h mesh.Headers, name string) (value string) {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}
