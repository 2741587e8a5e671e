package gate

import "time"

const (
	// sampleWeight is the weight of a new sample in the moving average of service
	// times.
	sampleWeight = 1.0 / 16

	// maxSampleFactor caps a sample at a multiple of the average, so that single
	// slow requests do not cause many refusals.
	maxSampleFactor = 3

	// estimateHalfLife is the half-life of an estimate while no request finishes.
	// Without the decay, a slow period could cause all requests to be refused
	// permanently, since none would run to correct the estimate.
	estimateHalfLife = time.Second
)

// latencyEstimates holds the moving average of the service time of each route of a
// target, by route name.
type latencyEstimates map[string]serviceTime

type serviceTime struct {
	mean      time.Duration
	updatedAt time.Time
}

// decayed returns the estimate for a route, reduced by the time since its last
// sample; zero while unknown.
func (t latencyEstimates) decayed(now time.Time, route string) (estimate time.Duration) {
	s := t[route]
	halves := max(0, now.Sub(s.updatedAt)) / estimateHalfLife
	return s.mean >> min(halves, 62)
}

// undecayed returns the estimate for a route as of its last sample.
func (t latencyEstimates) undecayed(route string) (estimate time.Duration) { return t[route].mean }

// add records the service time of one request.
func (t latencyEstimates) add(now time.Time, route string, latency time.Duration) {
	if t == nil {
		return
	}
	mean := t.decayed(now, route)
	if mean == 0 {
		t[route] = serviceTime{mean: latency, updatedAt: now}
		return
	}
	latency = min(latency, maxSampleFactor*mean)
	mean += time.Duration(sampleWeight * float64(latency-mean))
	t[route] = serviceTime{mean: mean, updatedAt: now}
}
