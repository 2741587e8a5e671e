package gate

import (
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// observeRounds observes the given number of rounds, each of as many requests as the limit
// allows with the same latency. It returns the time after them and the lowest
// limit.
func observeRounds(a *Adaptive, now time.Time, rounds int, latency time.Duration, overloaded bool) (end time.Time, lowest int) {
	lowest = a.Limit()
	for range rounds {
		now = now.Add(latency)
		n := a.Limit()
		for range n {
			a.Observe(now, latency, n, overloaded)
		}
		lowest = min(lowest, a.Limit())
	}
	return now, lowest
}

// TestAdaptiveLimit guards against a limit that stays high after a restart or
// despite refusals, and one that stays low although the higher latency is not
// caused by load.
func TestAdaptiveLimit(t *testing.T) {
	const slots, work = 40, 20 * time.Millisecond
	for _, c := range []struct {
		name       string
		rounds     int
		latency    time.Duration
		overloaded bool

		// lowest and last bound the lowest limit during the rounds and the limit after
		// them.
		lowest, last [2]int
	}{
		{"near the floor", 10, work, false, [2]int{slots, slots}, [2]int{slots, slots}},
		{"jump of latency", 3, 10 * work, false, [2]int{testCold, testCold}, [2]int{testCold, testCold}},
		{"jump that stays", 60, 10 * work, false, [2]int{testCold, testCold}, [2]int{slots, slots}},
		{"slower deeper service", 40, 3 * work, false, [2]int{testCold, slots - 1}, [2]int{slots, slots}},
		{"all refused after calm", 8, work, true, [2]int{1, testCold}, [2]int{1, testCold}},
	} {
		a := NewAdaptive(testCold, slots)
		now, _ := observeRounds(a, testStart, 100, work, false)
		if got := a.Limit(); got != slots {
			t.Fatalf("warm: got limit %d, want %d", got, slots)
		}
		_, lowest := observeRounds(a, now, c.rounds, c.latency, c.overloaded)
		if lowest < c.lowest[0] || lowest > c.lowest[1] {
			t.Errorf("%s: got lowest limit %d, want %v", c.name, lowest, c.lowest)
		}
		if got := a.Limit(); got < c.last[0] || got > c.last[1] {
			t.Errorf("%s: got last limit %d, want %v", c.name, got, c.last)
		}
	}
}

// TestRefusedConnectionsIndicateRestart guards against a target that restarted without
// an announcement and receives its full load while it is cold.
func TestRefusedConnectionsIndicateRestart(t *testing.T) {
	a := NewAdaptive(testCold, testSlots)
	now, _ := observeRounds(a, testStart, 100, testServiceTime, false)
	g := New(a)
	start := func(ticket Ticket) {
		g.Step(now, Arrival{Ticket: ticket, Call: testCall(mesh.ClassNormal, "a", now.Add(time.Second))})
	}
	start(1)
	start(2)
	g.Step(now, Finished{Ticket: 2, NotRun: true, Unreachable: true})
	if got := g.Limit(); got != testCold {
		t.Errorf("after a refused connection: got limit %d, want %d", got, testCold)
	}
	for i := range 20 {
		// The first request started before the restart, so its result is ignored.
		g.Step(now, Finished{Ticket: Ticket(i + 1), Latency: testServiceTime})
		if got := g.Limit(); i < minWindowSamples && got != testCold {
			t.Errorf("after %d answers: got limit %d, want %d", i, got, testCold)
		}
		start(Ticket(i + 2))
		now = now.Add(testServiceTime)
	}
}

// TestTimeoutOfShortDeadline guards against callers whose deadline is shorter
// than the service time and whose timeouts thereby lower the limit for everyone.
func TestTimeoutOfShortDeadline(t *testing.T) {
	a := NewAdaptive(testCold, testSlots)
	now, _ := observeRounds(a, testStart, 100, testServiceTime, false)
	g := New(a)
	run(g, now, Arrival{Ticket: 1, Call: testCall(2, "a", now.Add(time.Second))}, Finished{Ticket: 1, Latency: testServiceTime})
	for i := range 100 {
		now = now.Add(testServiceTime)
		ticket := Ticket(i + 2)
		run(g, now, Arrival{Ticket: ticket, Call: testCall(2, "a", now.Add(testServiceTime))}, Finished{Ticket: ticket, Latency: testServiceTime, TimedOut: true})
	}
	if got := g.Limit(); got != testSlots {
		t.Errorf("got limit %d, want %d", got, testSlots)
	}
}
