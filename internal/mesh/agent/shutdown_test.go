package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/timing"
)

// TestRefuseLate guards against a call that is taken although it is expected to outlast the shutdown,
// and against one that is refused although nothing says so.
func TestRefuseLate(t *testing.T) {
	const left, short, long = time.Second, 100 * time.Millisecond, 2 * time.Second
	for _, c := range []struct {
		name string

		// deadline is that of the call from now on, and objective the latency objective of its route.
		deadline, objective time.Duration
		idempotent          bool

		// observed are the durations of earlier requests of the route.
		observed []time.Duration

		// wantCaller, wantNested and wantAttempt say whether a request of a caller, a nested call and
		// another attempt of either are refused.
		wantCaller, wantNested, wantAttempt bool
	}{
		{"deadline before the end", left, long, false, durations(20, long), false, false, false},
		{"usually short", long, long, false, durations(20, short), true, false, false},
		{"usually long", long, short, true, durations(20, long), true, true, true},
		{"rarely long", long, long, false, append(durations(39, short), long), true, false, false},
		{"not seen, short objective", long, short, false, nil, true, false, false},
		{"not seen, long objective", long, long, false, nil, true, true, true},
		{"not seen, long objective, may be repeated", long, long, true, nil, true, false, false},
		{"seen once, long", long, short, true, durations(1, long), true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rh := &requestHandler{estimator: timing.NewQuantiles()}
				route := &mesh.Route{Name: "r", Idempotent: c.idempotent, LatencyObjective: c.objective}
				for _, d := range c.observed {
					rh.estimator.Observe(time.Now(), route.Name, d)
				}
				check := func(what string, refusal *mesh.Refusal, want bool) {
					t.Helper()
					if got := refusal != nil; got != want {
						t.Errorf("%s: refused: %t (%v), want %t", what, got, refusal, want)
					}
				}
				call := &mesh.Call{Route: route, Deadline: time.Now().Add(c.deadline)}
				check("before the shutdown", rh.refuseLate(call), false)
				last := time.Now().Add(left + targetAnswerTime)
				rh.lastAnswer.Store(&last)
				check("request of a caller that has not noticed", rh.refuseLate(call), c.wantAttempt)
				rh.noticed.Store(true)
				check("request of a caller", rh.refuseLate(call), c.wantCaller)
				check("another attempt", rh.refuseUnfinished(call), c.wantAttempt)
				call.Nested = true
				check("nested call", rh.refuseLate(call), c.wantNested)
				call.ParentUnknown = true
				check("nested call of an unknown request", rh.refuseLate(call), c.wantCaller)
				time.Sleep(left)
				check("at the end", rh.refuseUnfinished(call), c.deadline > left)
			})
		})
	}
}

func durations(n int, d time.Duration) (all []time.Duration) {
	for range n {
		all = append(all, d)
	}
	return all
}
