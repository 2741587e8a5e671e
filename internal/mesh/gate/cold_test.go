package gate

import (
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestColdRate guards against a cold target that receives more requests per second
// than its announced rate because they are short, and against one that stays rate
// limited after its cold start.
func TestColdRate(t *testing.T) {
	const perSecond = 45
	now := time.Unix(1e9, 0)
	g := New(NewFixed(100))
	cold := now.Add(3 * time.Second)
	route := &mesh.Route{Name: "read"}
	var starts []time.Time
	for i := range Ticket(6000) {
		now = now.Add(time.Millisecond)
		if i%500 == 0 && now.Before(cold) {
			// A report may repeat a known cold start.
			g.Step(now, ColdStarted{Until: cold, PerSecond: perSecond})
		}
		call := &mesh.Call{Route: route, Deadline: now.Add(time.Second)}
		actions := g.Step(now, Arrival{Ticket: i + 1, Call: call})
		if at := g.Next(); !at.IsZero() && !at.After(now) {
			actions = append(actions, g.Step(now, TimerExpired{})...)
		}
		for _, a := range append([]Action(nil), actions...) {
			if s, started := a.(Start); started {
				starts = append(starts, now)
				g.Step(now, Finished{Ticket: s.Ticket, Latency: time.Millisecond})
			}
		}
	}
	warm := 0
	for i, at := range starts {
		if !at.Before(cold) {
			warm++
			continue
		}
		n := 0
		for _, other := range starts[i:] {
			if other.Sub(at) < time.Second && other.Before(cold) {
				n++
			}
		}
		if want := perSecond + coldBurst; n > want {
			t.Fatalf("got %d starts within a second of the cold start, want at most %d", n, want)
		}
	}
	if cold := len(starts) - warm; cold < 2*perSecond {
		t.Errorf("got %d starts in 3 s of the cold start, want at least %d", cold, 2*perSecond)
	}
	if warm < 2000 {
		t.Errorf("got %d starts in the 3 s afterwards, want at least 2000", warm)
	}
}

// TestColdTail guards against queued requests that all start at the announced end
// of a cold start, which the target itself may reach a little later.
func TestColdTail(t *testing.T) {
	now := time.Unix(1e9, 0)
	g := New(NewFixed(100))
	until := now.Add(time.Second)
	g.Step(now, ColdStarted{Until: until, PerSecond: 10})
	route := &mesh.Route{Name: "read"}
	for i := range Ticket(60) {
		g.Step(now, Arrival{Ticket: i + 1, Call: &mesh.Call{Route: route, Deadline: now.Add(10 * time.Second)}})
	}
	starts := 0
	for at := now; at.Before(until.Add(100 * time.Millisecond)); at = at.Add(10 * time.Millisecond) {
		for _, a := range g.Step(at, TimerExpired{}) {
			if _, started := a.(Start); started {
				starts++
			}
		}
	}
	if want := 10 + coldBurst; starts > want {
		t.Errorf("got %d starts until 0.1 s after the cold start, want at most %d", starts, want)
	}
	warm := 0
	for _, a := range g.Step(until.Add(time.Second), TimerExpired{}) {
		if _, started := a.(Start); started {
			warm++
		}
	}
	if warm == 0 {
		t.Error("got no start a second after the cold start, want the rest")
	}
}

// TestMaxQueueTime guards against a request that is refused so late that its
// caller has no time left for a retry, and against nested calls that are shed
// early.
func TestMaxQueueTime(t *testing.T) {
	now := time.Unix(1e9, 0)
	g := New(NewFixed(1))
	route := &mesh.Route{Name: "read", LatencyObjective: 100 * time.Millisecond}
	call := func(organisation mesh.OrganisationName) (c *mesh.Call) {
		return &mesh.Call{Route: route, Organisation: organisation, Nested: organisation == "", Deadline: now.Add(time.Second)}
	}
	g.Step(now, Arrival{Ticket: 1, Call: call("")})
	g.Step(now, Arrival{Ticket: 2, Call: call("a")})
	g.Step(now, Arrival{Ticket: 3, Call: call("")})
	if got, want := g.Next(), now.Add(50*time.Millisecond); !got.Equal(want) {
		t.Errorf("got Next after %v, want after %v", got.Sub(now), want.Sub(now))
	}
	actions := g.Step(now.Add(50*time.Millisecond), TimerExpired{})
	if len(actions) != 1 {
		t.Fatalf("got %d actions, want one refusal", len(actions))
	}
	if r, refused := actions[0].(Refuse); !refused || r.Ticket != 2 {
		t.Errorf("got %+v, want request 2 refused", actions[0])
	}
}
