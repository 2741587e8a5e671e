package gate

import (
	"math"
	"time"
)

const (
	// maxVariationSamples is over how many samples the spread is taken.
	maxVariationSamples = 2048

	// initialSquaredCV is the squared spread that is assumed before leastSpread
	// samples are known.
	initialSquaredCV = 4
	minVariationSamples = 256
)

// latencyVariation follows how much the latencies of a target vary around the mean of
// their window. It is taken over many windows: one that ended as soon as its
// own samples agree would favour those without the rare long requests, and show
// a latency that is too low.
type latencyVariation struct {
	count float64

	// sumSquares is the sum over the samples of the squared distance from the
	// mean, as a part of the mean.
	sumSquares float64
}

func (s *latencyVariation) add(w window) {
	if s.count >= maxVariationSamples {
		s.count, s.sumSquares = s.count/2, s.sumSquares/2
	}
	n := float64(w.samples)
	mean := w.mean().Seconds()
	if n < 2 || mean == 0 {
		return
	}
	variance := max(0, w.squares/n-mean*mean) * n / (n - 1)
	s.count += n
	s.sumSquares += n * variance / (mean * mean)
}

// squaredCV returns the square of the coefficient of variation.
func (s *latencyVariation) squaredCV() (part float64) {
	if s.count < minVariationSamples {
		return initialSquaredCV
	}
	return s.sumSquares / s.count
}

// requiredSamples returns how many requiredSamples give a mean of the precision, which is the
// standard error as a part of the mean.
func (s *latencyVariation) requiredSamples(precision float64) (n int) {
	return int(math.Ceil(s.squaredCV() / (precision * precision)))
}

// standardError returns the standard error of a mean of n samples.
func (s *latencyVariation) standardError(mean time.Duration, n int) (d time.Duration) {
	return time.Duration(float64(mean) * math.Sqrt(s.squaredCV()/float64(max(1, n))))
}
