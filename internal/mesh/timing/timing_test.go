package timing

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestEstimate guards against estimates that single slow requests raise, that rest on few requests
// without saying so, or that keep durations for good.
func TestEstimate(t *testing.T) {
	const fast, slow = 20 * time.Millisecond, 5 * time.Second
	for _, c := range []struct {
		name     string
		observe  func(q *Quantiles)
		want     time.Duration
		reliable bool
	}{
		{"no observation", func(*Quantiles) {}, 0, false},
		{"few", repeat("r", 19, fast), fast, false},
		{"few, the last one slow", func(q *Quantiles) {
			repeat("r", 10, fast)(q)
			repeat("r", 1, slow)(q)
		}, slow, false},
		{"enough", repeat("r", 20, fast), fast, true},
		{"one slow one in 40", func(q *Quantiles) {
			repeat("r", 39, fast)(q)
			repeat("r", 1, slow)(q)
		}, fast, true},
		{"four slow ones in 40", func(q *Quantiles) {
			repeat("r", 36, fast)(q)
			repeat("r", 4, slow)(q)
		}, slow, true},
		{"of another route", repeat("other", 100, slow), 0, false},
		{"beyond the range", repeat("r", 20, time.Hour), 10 * time.Minute, true},
		{"in two periods", func(q *Quantiles) {
			repeat("r", 10, fast)(q)
			time.Sleep(period)
			repeat("r", 10, fast)(q)
		}, fast, true},
		{"in the previous period", func(q *Quantiles) {
			repeat("r", 20, fast)(q)
			time.Sleep(period)
		}, fast, true},
		{"before the previous period", func(q *Quantiles) {
			repeat("r", 20, slow)(q)
			time.Sleep(period)
			repeat("r", 1, fast)(q)
			time.Sleep(period)
		}, fast, false},
		{"long ago", func(q *Quantiles) {
			repeat("r", 20, slow)(q)
			time.Sleep(2 * period)
		}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := NewQuantiles()
				c.observe(q)
				got, reliable := q.Estimate(time.Now(), "r")
				// The histograms round up by less than a tenth.
				if got < c.want || got > c.want+c.want/10 || reliable != c.reliable {
					t.Errorf("got %v, reliable: %t, want %v, reliable: %t", got, reliable, c.want, c.reliable)
				}
			})
		})
	}
}

// repeat returns a function that observes requests of a route that took the same time.
func repeat(route string, n int, took time.Duration) (observe func(q *Quantiles)) {
	return func(q *Quantiles) {
		for range n {
			q.Observe(time.Now(), route, took)
		}
	}
}
