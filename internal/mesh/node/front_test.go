package node

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
	"github.com/quetzalstack/quetzalstack/internal/sample"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const frontTree = `
settings: {timeout: 2s, retries: 1, max-body: 16}
zones:
  luzon-a: {region: luzon}
services:
  ledger:
    routes:
      read: {path: /books, methods: [GET], settings: {idempotent: true}}
      post: {path: /payouts, methods: [POST], settings: {class: critical}}
      open: {path: /open, settings: {open: true, idempotent: true}}
organisations:
  cebu: {rate: 1000, burst: 1000}
`

// frontCase is a request and the refusal that it must receive.
type frontCase struct {
	name, method, path, body string
	header                   http.Header
	status                   int
	code                     header.RefusalCode
	outcome                  header.OutcomeValue
}

func withKey(more ...string) (h http.Header) {
	h = http.Header{"Authorization": {"Bearer " + benchKey}}
	for i := 0; i < len(more); i += 2 {
		h.Add(more[i], more[i+1])
	}
	return h
}

// TestBadRequests guards against an invalid request that is forwarded to a target,
// or that is refused without a message or with the wrong code.
func TestBadRequests(t *testing.T) {
	platform := seedPlatform(t, frontTree)
	s := startNode(t, platform, nil)
	target := startTarget(t, s.LocalListen, sample.WithSlots(4))
	await(t, "http://"+s.CallerListen.String()+"/ledger/books")
	before := runsAt(t, target)
	for _, c := range []frontCase{
		{name: "no key", path: "/ledger/books", status: 401, code: header.KeyMissing},
		{name: "basic", path: "/ledger/books", header: http.Header{"Authorization": {"Basic eA=="}}, status: 401, code: header.KeyMalformed},
		{name: "empty key", path: "/ledger/books", header: http.Header{"Authorization": {"Bearer "}}, status: 401, code: header.KeyMalformed},
		{name: "long key", path: "/ledger/books", header: http.Header{"Authorization": {"Bearer " + strings.Repeat("k", 300)}}, status: 401, code: header.KeyMalformed},
		{name: "two keys", path: "/ledger/books", header: withKey("Authorization", "Bearer other"), status: 401, code: header.KeyMalformed},
		{name: "unknown key", path: "/ledger/books", header: http.Header{"Authorization": {"Bearer other"}}, status: 401, code: header.KeyUnknown},
		{name: "unknown service", path: "/nowhere/books", header: withKey(), status: 404, code: header.ServiceUnknown},
		{name: "no service", path: "/", header: withKey(), status: 404, code: header.ServiceUnknown},
		{name: "unknown route", path: "/ledger/bookshelf", header: withKey(), status: 404, code: header.RouteUnknown},
		{name: "wrong method", method: "DELETE", path: "/ledger/books", header: withKey(), status: 404, code: header.RouteUnknown},
		{name: "bad timeout", path: "/ledger/books", header: withKey(header.Timeout, "soon"), status: 400, code: header.TimeoutMalformed},
		{name: "expired timeout", path: "/ledger/books", header: withKey(header.Timeout, "0s"), status: 504, code: header.DeadlineExceeded},
		{name: "negative timeout", path: "/ledger/books", header: withKey(header.Timeout, "-1s"), status: 504, code: header.DeadlineExceeded},
		{name: "bad id", path: "/ledger/books", header: withKey(header.RequestID, "7"), status: 400, code: header.RequestIDMalformed},
		{name: "random id", path: "/ledger/books", header: withKey(header.RequestID, "3b241101-e2bb-4255-8caf-4136c566a962"), status: 400, code: header.RequestIDMalformed},
		{name: "large body", method: "POST", path: "/ledger/payouts", body: strings.Repeat("x", 17), header: withKey(), status: 413, code: header.BodyTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) { c.check(t, s.CallerListen) })
	}
	if got := runsAt(t, target); got != before {
		t.Errorf("got %s runs at the target, want %s", got, before)
	}
}

// check sends the request of a case and checks its refusal.
func (c frontCase) check(t *testing.T, addr netip.AddrPort) {
	t.Helper()
	method := c.method
	if method == "" {
		method = http.MethodGet
	}
	request, err := http.NewRequest(method, "http://"+addr.String()+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	if c.header != nil {
		request.Header = c.header
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got, want := response.StatusCode, c.status; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := response.Header.Get(header.Code), string(c.code); got != want {
		t.Errorf("code: got %q, want %q", got, want)
	}
	if got, want := response.Header.Get(header.Outcome), string(header.NotRun); got != want {
		t.Errorf("outcome: got %q, want %q", got, want)
	}
	var body refusalBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Message == "" {
		t.Errorf("body: got %+v %v, want a message", body, err)
	}
}

// runsAt returns the number of requests that a sample target reports to have run.
func runsAt(t *testing.T, target netip.AddrPort) (n string) {
	t.Helper()
	response, err := http.Get("http://" + target.String() + sample.CountPath)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.Header.Get(sample.RunsHeader)
}

// TestOversizedHeaders guards against a request whose headers exceed the limit of
// the node.
func TestOversizedHeaders(t *testing.T) {
	s := startNode(t, seedPlatform(t, frontTree), nil)
	request, err := http.NewRequest(http.MethodGet, "http://"+s.CallerListen.String()+"/ledger/books", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Large", strings.Repeat("x", 2*maxHeaderBytes))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got, want := response.StatusCode, http.StatusRequestHeaderFieldsTooLarge; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

// TestForgedPass guards against a call at the peer listener whose pass is not signed
// with a secret of the fleet.
func TestForgedPass(t *testing.T) {
	s := startNode(t, seedPlatform(t, frontTree), nil)
	otherSigner, err := wire.NewSigner("another-secret-of-16-bytes")
	if err != nil {
		t.Fatal(err)
	}
	sealed, err := otherSigner.SignPass(&wire.Pass{Service: "ledger", Route: "read", Organisation: "cebu"})
	if err != nil {
		t.Fatal(err)
	}
	for _, pass := range []string{"", "x", "x.y", sealed, sealed[:len(sealed)-2]} {
		c := frontCase{path: "/call/books", header: http.Header{header.Pass: {pass}}, status: 403, code: header.PassInvalid}
		c.check(t, s.PeerListen)
	}
}

// TestForgedCall guards against a nested call with a token that identifies no
// delivery on the host.
func TestForgedCall(t *testing.T) {
	s := startNode(t, seedPlatform(t, frontTree), nil)
	awaitSettings(t, s)
	for _, token := range []string{"", "guess"} {
		c := frontCase{path: "/ledger/books", header: http.Header{header.Call: {token}}, status: 409, code: header.CallEnded}
		c.check(t, s.LocalListen)
	}
}

// awaitSettings waits until a node has loaded its settings.
func awaitSettings(t *testing.T, s Settings) {
	t.Helper()
	awaitCode(t, "http://"+s.CallerListen.String()+"/none", header.ServiceUnknown)
}

// TestControlNeedsSignature guards against control messages without a signature.
func TestControlNeedsSignature(t *testing.T) {
	s := startNode(t, seedPlatform(t, frontTree), nil)
	_, err := wire.NewConfigProtobufClient(peerURL(s.PeerListen), http.DefaultClient).Compare(t.Context(), &wire.VersionReport{Version: 99})
	if err == nil {
		t.Errorf("got an answer, want a refusal")
	}
}

// TestKeyStaysHidden guards against a target that receives the caller's API key,
// also on a route that requires none.
func TestKeyStaysHidden(t *testing.T) {
	s := startNode(t, seedPlatform(t, frontTree), nil)
	target := startTarget(t, s.LocalListen, sample.WithSlots(4))
	for _, path := range []string{"/ledger/books", "/ledger/open"} {
		await(t, "http://"+s.CallerListen.String()+path)
	}
	response, err := http.Get("http://" + target.String() + sample.CountPath)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got, want := response.Header.Get(sample.KeysHeader), "0"; got != want {
		t.Errorf("got %s requests with a key, want %s", got, want)
	}
}
