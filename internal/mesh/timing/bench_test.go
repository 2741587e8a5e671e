package timing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkObserve measures the cost of an observation with 300 routes.
func BenchmarkObserve(b *testing.B) {
	q, now := NewQuantiles(), time.Now()
	names := make([]string, 300)
	for i := range names {
		names[i] = fmt.Sprintf("route-%d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Observe(now, names[i%len(names)], time.Duration(i%4000)*time.Millisecond)
	}
}

// BenchmarkRoute measures what a route takes in memory in one period.
func BenchmarkRoute(b *testing.B) {
	q, now := NewQuantiles(), time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Observe(now, fmt.Sprint(i), time.Millisecond)
		if i%1000 == 999 {
			clear(q.current)
		}
	}
}
