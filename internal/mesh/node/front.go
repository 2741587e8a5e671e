package node

import (
	"context"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/accept"
	"github.com/quetzalstack/quetzalstack/internal/mesh/meter"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// requestHandler handles the requests of callers, targets and other nodes by means
// of the duties. Its only mutable state of its own is the shutdown flag.
type requestHandler struct {
	settings Settings
	config   *configDuty
	roster   *rosterDuty
	contract *contractDuty
	gate     *gateDuty
	calls    *callsDuty
	claims   mesh.Claimer
	route    *routeDuty
	meter    *meter.Duty
	peers    mesh.CallSender
	targets  *targetClient

	// signer verifies the passes of other nodes.
	signer *wire.Signer

	// leaving is true once the node refuses requests for targets on this host; it
	// is never cleared.
	leaving atomic.Bool
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeaders returns the headers of a request or answer to forward to the
// next hop. API keys and the headers with header.Prefix are never forwarded.
func forwardedHeaders(h http.Header) (kept http.Header) {
	kept = make(http.Header, len(h))
	connectionHeaders := connectionTokens(h)
	for name, values := range h {
		switch {
		case slices.Contains(hopHeaders, name), slices.Contains(connectionHeaders, name),
			name == "Authorization", strings.HasPrefix(name, header.Prefix):
		default:
			kept[name] = values
		}
	}
	return kept
}

// connectionTokens returns the hop-by-hop headers that Connection lists.
func connectionTokens(h http.Header) (names []string) {
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)))
		}
	}
	return names
}

// splitPath splits a request path into the service name, which is its first
// segment, and the path below the service.
func splitPath(path string) (service mesh.ServiceName, rest string) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return mesh.ServiceName(name), "/" + rest
}

// findRoute returns the route of a request.
func findRoute(index *tree.Index, r *http.Request) (m tree.Match, refusal *mesh.Refusal) {
	service, path := splitPath(r.URL.Path)
	if !index.HasService(service) {
		return m, mesh.NotRun(header.ServiceUnknown, "service %q does not exist; write the path as /SERVICE/PATH", service)
	}
	m, found := index.Route(service, r.Method, path)
	if !found {
		return m, mesh.NotRun(header.RouteUnknown, "service %q has no route for %s %s", service, r.Method, path)
	}
	return m, nil
}

// readPayload buffers the whole request, so that it can be retried.
func readPayload(ctx context.Context, c echo.Context, limit int64) (p *mesh.Payload, refusal *mesh.Refusal) {
	r := c.Request()
	body, refusal := accept.ReadBody(ctx, c.Response(), r, limit)
	if refusal != nil {
		return nil, refusal
	}
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.RequestURI(), "/"), "/")
	return &mesh.Payload{Method: r.Method, Path: "/" + path, Header: forwardedHeaders(r.Header), Body: body}, nil
}

// readDeadline returns the deadline of a request, from its own timeout or that of
// its route, whichever is shorter. Both count from the request's arrival.
func readDeadline(r *http.Request, route *mesh.Route) (deadline time.Time, refusal *mesh.Refusal) {
	arrived := accept.Arrived(r)
	text := r.Header.Get(header.Timeout)
	if text == "" {
		return arrived.Add(route.Timeout), nil
	}
	requested, err := time.ParseDuration(text)
	if err != nil {
		return deadline, mesh.NotRun(header.TimeoutMalformed, "%s is %q; write a duration such as 750ms", header.Timeout, text)
	}
	if requested <= 0 {
		return deadline, mesh.NotRun(header.DeadlineExceeded, "%s is %q: the deadline has passed", header.Timeout, text)
	}
	return arrived.Add(min(requested, route.Timeout)), nil
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome   header.OutcomeValue `json:"outcome"`
	Code      header.RefusalCode  `json:"code"`
	Message   string              `json:"message"`
	RequestID string              `json:"request-id,omitempty"`
}

func writeRefusal(c echo.Context, id string, r *mesh.Refusal) (err error) {
	h := c.Response().Header()
	h.Set(header.Outcome, string(r.Outcome))
	h.Set(header.Code, string(r.Code))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(r.RetryAfter))
	}
	accept.BoundRefusal(c.Response(), c.Request())
	return c.JSON(statusOf(r.Code), refusalBody{Outcome: r.Outcome, Code: r.Code, Message: r.Message, RequestID: id})
}

// writeAnswer forwards a target's answer. When the answer breaks off, it closes
// the connection, so that the caller cannot mistake a truncated answer for a
// complete one.
func writeAnswer(c echo.Context, a *mesh.Answer) (err error) {
	defer a.Body.Close()
	h := c.Response().Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(header.Outcome, string(header.Ran))
	if err := accept.WriteAnswer(c.Response(), c.Request(), a.Status, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// requestContext returns a context that is done when the caller disconnects or
// the deadline passes.
func requestContext(r *http.Request, deadline time.Time) (ctx context.Context, cancel context.CancelFunc) {
	return context.WithDeadline(r.Context(), deadline)
}
