package agent

import (
	"context"
	"expvar"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/gate"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rules"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// newTestGate starts a gate duty whose target has 100 slots and a cold rate of 20 requests per
// second.
func newTestGate(t *testing.T) (d *gateDuty) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d = newGateDuty(new(expvar.Map), Settings{Zone: "a", ColdRateFactor: 1}, logs.WithPrefix(logger, "gate"))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = d.Run(ctx) }()
	r := &mesh.Rules{Version: 1, Services: []mesh.ServiceRules{{Name: "s", ColdTime: 3 * time.Second, ColdRate: 20}}}
	d.send(configChanged{activeConfig: &activeConfig{FleetConfig: mesh.FleetConfig{Rules: r}, index: rules.NewIndex(r)}})
	return d
}

func testTarget(cold time.Duration) (t mesh.Target) {
	return mesh.Target{
		Service: "s", Name: "i", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 100,
		Incarnation: 1, ColdUntil: time.Now().Add(cold),
	}
}

// TestColdOrder guards against nested calls that use up the rate of a cold target, while
// requests of callers are queued and refused.
func TestColdOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestGate(t)
		d.send(targetReported{target: testTarget(3 * time.Second)})
		served := make(map[mesh.OrganisationName]int)
		done := make(chan mesh.OrganisationName, 1000)
		route := &mesh.Route{Name: "r", Service: "s"}
		for i := range 200 {
			call := &mesh.Call{Route: route, Class: mesh.ClassCritical, Nested: true, Deadline: time.Now().Add(500 * time.Millisecond)}
			if i%10 == 0 {
				call.Organisation, call.Class, call.Nested = "o", mesh.ClassHigh, false
			}
			go func() {
				ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
				defer cancel()
				in := d.Enter(ctx, call, "")
				if in.refusal == nil {
					d.Leave(gate.Finished{Ticket: in.ticket, Latency: time.Millisecond})
					done <- call.Organisation
				}
			}()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		close(done)
		for o := range done {
			served[o]++
		}
		if got, want := served["o"], 19; got < want {
			t.Errorf("got %d of 20 caller requests and %d of 180 nested calls served, want at least %d caller requests", got, served[""], want)
		}
	})
}

// TestOutAndBack guards against requests that run in a zone that is out of service, and
// against a target that is treated as warm when its zone returns.
func TestOutAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestGate(t)
		d.send(targetReported{target: testTarget(0)})
		enter := func() (refusal *mesh.Refusal) {
			call := &mesh.Call{Route: &mesh.Route{Name: "r", Service: "s"}, Deadline: time.Now().Add(time.Second)}
			in := d.Enter(context.Background(), call, "")
			if in.refusal == nil {
				d.Leave(gate.Finished{Ticket: in.ticket, Latency: time.Millisecond})
			}
			return in.refusal
		}
		r := &mesh.Rules{Version: 2, Services: []mesh.ServiceRules{{Name: "s", ColdTime: 3 * time.Second, ColdRate: 20}}}
		setZonesOut := func(out ...mesh.ZoneName) {
			d.send(configChanged{activeConfig: &activeConfig{FleetConfig: mesh.FleetConfig{Rules: r, ZonesOut: out}, index: rules.NewIndex(r)}})
		}
		setZonesOut("a")
		if got := enter(); got == nil || got.Code != header.ZoneOut {
			t.Errorf("zone out: got %v, want a refusal with %s", got, header.ZoneOut)
		}
		setZonesOut()
		start, served := time.Now(), 0
		for time.Since(start) < time.Second {
			if enter() == nil {
				served++
			}
			// The fake clock advances only while every goroutine is blocked.
			time.Sleep(5 * time.Millisecond)
		}
		if want := 20 + 4; served > want || served < 10 {
			t.Errorf("zone back: got %d requests in the first second, want 10 to %d", served, want)
		}
	})
}
