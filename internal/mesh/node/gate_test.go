package node

import (
	"expvar"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/gate"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// gateFixture is a gate duty that is not running; the test passes its events to the
// handlers.
type gateFixture struct {
	*testing.T
	duty   *gateDuty
	vars   *expvar.Map
	now    time.Time
	target mesh.Target
}

func newGateFixture(t *testing.T) (x *gateFixture) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vars := new(expvar.Map)
	configs := newConfigDuty(vars, Settings{Zone: "north"}, logs.WithPrefix(logger, "config"))
	x = &gateFixture{
		T: t, vars: vars, now: time.Unix(1_000_000, 0),
		duty: newGateDuty(vars, configs, logs.WithPrefix(logger, "gate")),
		target: mesh.Target{
			Service: "ledger", Addr: netip.MustParseAddrPort("127.0.0.1:8000"), Slots: 8, Connections: 8, Incarnation: 1,
		},
	}
	x.setSettings(1, false, 2, 4)
	x.announce()
	return x
}

// setSettings applies a version of the settings.
func (x *gateFixture) setSettings(version uint64, out bool, cold, length int) {
	t := tree.Tree{
		Fleet:    tree.Settings{ColdLimit: new(cold), QueueLength: new(length)},
		Zones:    map[mesh.ZoneName]tree.Zone{"north": {Region: "r", Out: out}},
		Services: map[mesh.ServiceName]tree.Service{"ledger": {}},
	}
	x.duty.config.view.Store(&config.View{Version: version, Index: t.Index("north")})
	x.duty.elapsed(x.now)
}

func (x *gateFixture) announce() { x.duty.handle(x.now, targetAnnounced{target: x.target}) }

func (x *gateFixture) arrive(ticket gate.Ticket) (reply ring.Reply) {
	reply = ring.NewReply()
	call := &mesh.Call{Route: &mesh.Route{Name: "book"}, Weight: 1, Deadline: x.now.Add(time.Minute)}
	x.duty.handle(x.now, gateEvent{target: x.target.Addr, event: gate.Arrival{Ticket: ticket, Call: call}, reply: reply})
	return reply
}

// answers returns the content of each reply: "start", a refusal code, or "waits"
// when there is no reply yet.
func answers(replies ...ring.Reply) (text string) {
	var words []string
	for _, r := range replies {
		select {
		case e := <-r.Events():
			if refusal := e.(gateAnswer).refusal; refusal != nil {
				words = append(words, string(refusal.Code))
			} else {
				words = append(words, "start")
			}
		default:
			words = append(words, "waits")
		}
	}
	return strings.Join(words, " ")
}

// TestGateFollowsItsTarget guards against new requests for a target that is draining
// or in a zone that is out of service, against a late announcement that takes
// effect, and against settings that only apply after a restart of the node.
func TestGateFollowsItsTarget(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(x *gateFixture)

		// queued is the answer to the third request, later that to the fourth.
		queued, later string
	}{
		{"nothing", func(*gateFixture) {}, "waits", "waits"},
		{"draining", func(x *gateFixture) { x.target.Draining = true; x.announce() }, string(header.TargetDraining), string(header.TargetDraining)},
		{"zone out", func(x *gateFixture) { x.setSettings(2, true, 2, 4) }, string(header.ZoneOut), string(header.ZoneOut)},
		{"zone back", func(x *gateFixture) { x.setSettings(2, true, 2, 4); x.setSettings(3, false, 2, 4) }, string(header.ZoneOut), "waits"},
		{"shorter queue", func(x *gateFixture) { x.setSettings(2, false, 2, 1) }, "waits", string(header.Overloaded)},
		{"higher cold limit", func(x *gateFixture) { x.setSettings(2, false, 3, 4) }, "start", "waits"},
		{"late announcement", func(x *gateFixture) { x.target.Incarnation, x.target.Draining = 0, true; x.announce() }, "waits", "waits"},
	} {
		x := newGateFixture(t)
		replies := []ring.Reply{x.arrive(1), x.arrive(2), x.arrive(3)}
		if got, want := answers(replies[:2]...), "start start"; got != want {
			t.Fatalf("%s: got %q, want %q", c.name, got, want)
		}
		c.change(x)
		// A full queue displaces its oldest request, so the newer one stays queued.
		fourth := x.arrive(4)
		if c.name == "shorter queue" {
			replies[2], fourth = fourth, replies[2]
		}
		if got, want := answers(replies[2], fourth), c.queued+" "+c.later; got != want {
			t.Errorf("%s: got %q, want %q", c.name, got, want)
		}
	}
}

// TestNewIncarnationIsCold guards against a restarted target that keeps the
// concurrency limit of its earlier incarnation.
func TestNewIncarnationIsCold(t *testing.T) {
	x := newGateFixture(t)
	g := x.duty.targets[x.target.Addr].gate
	for ticket := gate.Ticket(1); g.Limit() < x.target.Slots; ticket++ {
		x.arrive(ticket)
		if g.Queued() > 0 {
			x.now = x.now.Add(10 * time.Millisecond)
			for i := gate.Ticket(1); i <= ticket; i++ {
				x.duty.handle(x.now, gateEvent{target: x.target.Addr, event: gate.Finished{Ticket: i, Latency: 10 * time.Millisecond}})
			}
		}
	}
	x.target.Incarnation = 2
	x.announce()
	if got, want := x.duty.vars.Get(x.target.Addr.String()).(*expvar.Map).Get("limit").String(), "2"; got != want {
		t.Errorf("got limit %s, want %s", got, want)
	}
}
