// Package timing estimates how long requests take from those that have ended recently.
package timing

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// period is the length of a period of observations. Estimates use the current period and the
	// one before.
	period = time.Minute

	// quantile is the percentage of the observed requests that took no longer than the estimate.
	quantile = 95

	// minObservations is the number of observations that make an estimate reliable.
	minObservations = 20

	// Range of the histograms in milliseconds, and their precision in significant digits.
	minDuration       = 1
	maxDuration       = int64(10 * time.Minute / time.Millisecond)
	significantDigits = 1
)

// Quantiles estimates by a quantile of the durations of each route. It is safe for concurrent use;
// request handlers share it under a mutex, since a queue would cost a wake-up for each request.
type Quantiles struct {
	mu sync.Mutex

	// started is the start of the current period; zero before the first observation.
	started time.Time

	// current and previous hold the durations of a period in milliseconds by route name. Routes
	// without observations in a period have no histogram.
	current, previous map[string]*hdrhistogram.Histogram
}

var _ mesh.Estimator = (*Quantiles)(nil)

// NewQuantiles returns an estimator without observations.
func NewQuantiles() (q *Quantiles) {
	return &Quantiles{current: make(map[string]*hdrhistogram.Histogram)}
}

// Observe implements mesh.Estimator.
func (q *Quantiles) Observe(now time.Time, route string, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rotate(now)
	h, found := q.current[route]
	if !found {
		h = hdrhistogram.New(minDuration, maxDuration, significantDigits)
		q.current[route] = h
	}
	// The value is within the range, the only condition for recording it.
	_ = h.RecordValue(min(max(took.Milliseconds(), minDuration), maxDuration))
}

// Estimate implements mesh.Estimator.
func (q *Quantiles) Estimate(now time.Time, route string) (duration time.Duration, reliable bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rotate(now)
	all := hdrhistogram.New(minDuration, maxDuration, significantDigits)
	for _, histograms := range []map[string]*hdrhistogram.Histogram{q.current, q.previous} {
		if h, found := histograms[route]; found {
			all.Merge(h)
		}
	}
	reliable = all.TotalCount() >= minObservations
	milliseconds := all.Max()
	if reliable {
		milliseconds = all.ValueAtQuantile(quantile)
	}
	return time.Duration(milliseconds) * time.Millisecond, reliable
}

// rotate ends the current period when its time is over.
func (q *Quantiles) rotate(now time.Time) {
	age := now.Sub(q.started)
	if age < period {
		return
	}
	q.previous = nil
	if age < 2*period {
		q.previous = q.current
	}
	q.current, q.started = make(map[string]*hdrhistogram.Histogram), now
}
