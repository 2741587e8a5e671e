package node

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/parse"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// fakeCallSender answers each call with the function answer, where n is the number of
// earlier calls.
type fakeCallSender struct {
	calls  int
	answer func(n int, call *mesh.Call) (left int, refusal *mesh.Refusal)
}

// SendCall implements mesh.CallSender.
func (c *fakeCallSender) SendCall(_ context.Context, _ mesh.Endpoint, call *mesh.Call, _ *mesh.Payload) (answer *mesh.Answer, left int, refusal *mesh.Refusal) {
	left, refusal = c.answer(c.calls, call)
	c.calls++
	return &mesh.Answer{Level: mesh.ClassLow}, left, refusal
}

// newRelay returns a request handler whose service has eight targets on other hosts.
func newRelay(ctx context.Context, t *testing.T, peers mesh.CallSender) (rh *requestHandler) {
	t.Helper()
	settings, err := parse.Tree([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	vars := new(expvar.Map)
	configs := &configDuty{}
	configs.view.Store(&config.View{Index: settings.Index("north"), Confirmed: time.Now()})
	hosts := &rosterDuty{}
	self := mesh.Host{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "north"}
	state := roster.New(time.Now(), self, rand.New(rand.NewPCG(1, 2)))
	for i := range 8 {
		addr := netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", i+2))
		state.Step(time.Now(), roster.PushReceived{From: roster.Sender{Host: addr, Incarnation: 1}, Rows: []roster.Row{{Host: mesh.Host{
			Addr: addr, Zone: "north", Incarnation: 1, Targets: []mesh.Target{{Service: "ledger", Addr: addr, Slots: 1}},
		}}}})
	}
	hosts.view.Store(state.View())
	rh = &requestHandler{
		settings: Settings{PeerListen: netip.MustParseAddrPort("127.0.0.1:1")},
		config:   configs, calls: newCallsDuty(vars), route: newRouteDuty(vars, configs, hosts), peers: peers,
	}
	go func() { _ = rh.calls.Run(ctx) }()
	go func() { _ = rh.route.Run(ctx) }()
	return rh
}

// relayTestCall relays a call to a route with the given retry budget and timeout.
func (rh *requestHandler) relayTestCall(ctx context.Context, route string, attempts int, timeout time.Duration) (left int, refusal *mesh.Refusal) {
	call := newTestCall(timeout)
	call.Organisation = ""
	call.Route, _ = rh.config.View().Index.RouteByName("ledger", route, "")
	call.AttemptsLeft = attempts
	callCtx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	_, left, refusal = rh.relay(callCtx, call, &mesh.Payload{})
	return left, refusal
}

// TestRelay guards against retries beyond the retry budget, against a retry of a
// non-idempotent request that may have run, and against the outcome not-run after
// an attempt that may have run.
func TestRelay(t *testing.T) {
	lost := mesh.Unknown(header.AnswerLost, "lost")
	busy := mesh.NotRun(header.Overloaded, "busy")
	all := func(_ int, call *mesh.Call) (int, *mesh.Refusal) { return call.AttemptsLeft, busy }
	first := func(n int, call *mesh.Call) (int, *mesh.Refusal) {
		if n == 0 {
			return 0, lost
		}
		return call.AttemptsLeft, busy
	}
	for _, c := range []struct {
		name, route string
		answer      func(n int, call *mesh.Call) (left int, refusal *mesh.Refusal)
		attempts    int
		calls       int
		want        header.OutcomeValue
	}{
		{"refused by all", "pay", all, 3, 4, header.NotRun},
		{"no budget", "pay", all, 0, 1, header.NotRun},
		{"budget spent below", "pay", func(int, *mesh.Call) (int, *mesh.Refusal) { return 0, busy }, 3, 1, header.NotRun},
		{"answer lost", "pay", first, 3, 1, header.Unknown},
		{"answer lost, then refused", "read", first, 3, 2, header.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				sender := &fakeCallSender{answer: c.answer}
				_, refusal := newRelay(ctx, t, sender).relayTestCall(ctx, c.route, c.attempts, time.Minute)
				if refusal == nil || refusal.Outcome != c.want || sender.calls != c.calls {
					t.Errorf("got %v after %d calls, want %s after %d", refusal, sender.calls, c.want, c.calls)
				}
			})
		})
	}
}

// TestRelayUnderOverload guards against retries that amplify the load when all
// targets refuse, and against a retry after the deadline.
func TestRelayUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		sender := &fakeCallSender{answer: func(_ int, call *mesh.Call) (int, *mesh.Refusal) {
			if call.Remaining(time.Now()) <= 0 {
				t.Error("got a call after its deadline, want none")
			}
			return call.AttemptsLeft, mesh.NotRun(header.Overloaded, "busy")
		}}
		rh := newRelay(ctx, t, sender)
		const requests = 2000
		for range requests {
			if _, refusal := rh.relayTestCall(ctx, "pay", 3, 4*time.Millisecond); refusal == nil {
				t.Error("got an answer, want a refusal")
			}
		}
		// Each of the eight links allows a few retries regardless of its calls.
		if most := requests*112/100 + 8*6; sender.calls > most {
			t.Errorf("got %d calls for %d requests, want at most %d", sender.calls, requests, most)
		}
	})
}

// TestPeerRefusal guards against a refusal that loses its message or its retry delay
// on the way back to the sending node.
func TestPeerRefusal(t *testing.T) {
	recorder := httptest.NewRecorder()
	c := newEcho().NewContext(httptest.NewRequest(http.MethodGet, "/", nil), recorder)
	want := mesh.Refusal{Code: header.Overloaded, Outcome: header.NotRun, Message: "the target is overloaded", RetryAfter: 2 * time.Second}
	if err := writeRefusal(c, "", &want); err != nil {
		t.Fatal(err)
	}
	got := parseRefusal(recorder.Result(), header.NotRun, mesh.ClassCritical)
	if *got != want {
		t.Errorf("got %+v, want %+v", *got, want)
	}
}

// TestUncountedConnection guards against the outcome not-run after a request was
// written to a connection that does not count its bytes.
func TestUncountedConnection(t *testing.T) {
	target := newScriptedTarget(t, func(int, net.Conn, *http.Request) bool { return false })
	request, err := newRequest(t.Context(), target.addr(), "/pay", &mesh.Payload{Method: http.MethodPost, Header: http.Header{}, Body: []byte("body")})
	if err != nil {
		t.Fatal(err)
	}
	_, sent, err := exchange(t.Context(), &http.Transport{}, request)
	if err == nil || !sent {
		t.Errorf("got error %v and sent %t, want an error after the request was sent", err, sent)
	}
}
