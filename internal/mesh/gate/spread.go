package gate

import (
	"math"
	"time"
)

const (
	// spreadSamples is over how many samples the spread is taken.
	spreadSamples = 2048

	// firstSpread is the squared spread that is assumed before leastSpread
	// samples are known.
	firstSpread = 4
	leastSpread = 256
)

// spread follows how much the latencies of a target vary around the mean of
// their window. It is taken over many windows: one that ended as soon as its
// own samples agree would favour those without the rare long requests, and show
// a latency that is too low.
type spread struct {
	count float64

	// variation is the sum over the samples of the squared distance from the
	// mean, as a part of the mean.
	variation float64
}

func (s *spread) add(w window) {
	if s.count >= spreadSamples {
		s.count, s.variation = s.count/2, s.variation/2
	}
	n := float64(w.samples)
	mean := w.mean().Seconds()
	if n < 2 || mean == 0 {
		return
	}
	variance := max(0, w.squares/n-mean*mean) * n / (n - 1)
	s.count += n
	s.variation += n * variance / (mean * mean)
}

// squared returns the square of the coefficient of variation.
func (s *spread) squared() (part float64) {
	if s.count < leastSpread {
		return firstSpread
	}
	return s.variation / s.count
}

// samples returns how many samples give a mean of the precision, which is the
// standard error as a part of the mean.
func (s *spread) samples(precision float64) (n int) {
	return int(math.Ceil(s.squared() / (precision * precision)))
}

// deviation returns the standard error of a mean of n samples.
func (s *spread) deviation(mean time.Duration, n int) (d time.Duration) {
	return time.Duration(float64(mean) * math.Sqrt(s.squared()/float64(max(1, n))))
}
