package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestReturningOrganisation guards against an organisation that exceeds its contract after a version
// without it, when each holder takes the others' reports for old ones and admits a whole contract.
func TestReturningOrganisation(t *testing.T) {
	for _, hosts := range []int{4, 13, 96} {
		for _, away := range []time.Duration{200 * time.Millisecond, 2 * time.Second, window, 10 * time.Second, 2 * hostRetention} {
			// A version is in force at the hosts one after the other.
			for _, spread := range []time.Duration{0, 1500 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d hosts, away for %v, versions over %v", hosts, away, spread), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(3) {
						r := newSimulation(seed, hosts, 0, mesh.Contract{Organisation: "a", Rate: 134, Burst: 670})
						r.setReportInterval()
						r.run(window)
						for _, h := range r.hosts {
							h.demand = 4 * r.contract.Rate / float64(hosts)
						}
						r.run(window + time.Second)
						r.configureEach(spread)
						r.run(away)
						r.configureEach(spread, r.contract)
						r.run(2 * window)
						if got, want := r.maxInWindow(), r.windowBound(); got > want {
							t.Errorf("seed %d: got %d requests in a window of %v, want at most %d", seed, got, window, want)
						}
					}
				})
			}
		}
	}
}

// configureEach replaces the contracts of all hosts, one after the other in the given time. Where the
// organisation has none, its requests are refused before they reach the rate limit.
func (r *simulation) configureEach(spread time.Duration, contracts ...mesh.Contract) {
	for _, h := range r.hosts {
		if len(contracts) == 0 {
			h.demand = 0
		} else {
			h.demand = 4 * r.contract.Rate / float64(len(r.hosts))
		}
		h.limiter.Configure(r.now, contracts)
		r.run((spread / time.Duration(len(r.hosts))).Truncate(step))
	}
}
