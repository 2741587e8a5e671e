package gate

import "time"

const (
	// sampleWeight is the part of a new sample in the typical service time.
	sampleWeight = 1.0 / 16

	// maxSampleFactor is the largest sample, as a multiple of the typical
	// service time, so that single slow requests do not refuse many.
	maxSampleFactor = 3

	// estimateHalfLife is how fast the typical service time falls while no request
	// ends. Otherwise a slow period could refuse every request for good, since
	// no request would run to show its end.
	estimateHalfLife = time.Second
)

// latencyEstimates holds the usual service time of each route of a target, by the
// route's name.
type latencyEstimates map[string]serviceTime

type serviceTime struct {
	mean time.Duration
	updatedAt   time.Time
}

// decayed returns the usual service time decayed a route, zero while it is unknown.
func (t latencyEstimates) decayed(now time.Time, route string) (estimate time.Duration) {
	s := t[route]
	halves := max(0, now.Sub(s.updatedAt)) / estimateHalfLife
	return s.mean >> min(halves, 62)
}

// undecayed returns the usual service time as of the undecayed request that ended.
func (t latencyEstimates) undecayed(route string) (estimate time.Duration) { return t[route].mean }

// add takes in the service time of one request.
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
