package gate

import "time"

const (
	// sampleWeight is the part of a new sample in the typical service time.
	sampleWeight = 1.0 / 16

	// largestSample is the largest sample, as a multiple of the typical
	// service time, so that single slow requests do not refuse many.
	largestSample = 3

	// halfLife is how fast the typical service time falls while no request
	// ends. Otherwise a slow period could refuse every request for good, since
	// no request would run to show its end.
	halfLife = time.Second
)

// typical holds the usual service time of each route of a target, by the
// route's name.
type typical map[string]serviceTime

type serviceTime struct {
	mean time.Duration
	at   time.Time
}

// of returns the usual service time of a route, zero while it is unknown.
func (t typical) of(now time.Time, route string) (usual time.Duration) {
	s := t[route]
	halves := max(0, now.Sub(s.at)) / halfLife
	return s.mean >> min(halves, 62)
}

// last returns the usual service time as of the last request that ended.
func (t typical) last(route string) (usual time.Duration) { return t[route].mean }

// add takes in the service time of one request.
func (t typical) add(now time.Time, route string, latency time.Duration) {
	if t == nil {
		return
	}
	mean := t.of(now, route)
	if mean == 0 {
		t[route] = serviceTime{mean: latency, at: now}
		return
	}
	latency = min(latency, largestSample*mean)
	mean += time.Duration(sampleWeight * float64(latency-mean))
	t[route] = serviceTime{mean: mean, at: now}
}
