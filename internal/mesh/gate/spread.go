package gate

import (
	"math"
	"time"
)

const (
	// maxVariationSamples is the number of samples above which older ones lose half
	// of their weight.
	maxVariationSamples = 2048

	// initialSquaredCV is the squared coefficient of variation that is assumed until
	// minVariationSamples samples are known.
	initialSquaredCV    = 4
	minVariationSamples = 256
)

// latencyVariation estimates the variance of latencies around the mean of their
// window, over many windows. A window that ended as soon as its own samples had a
// low variance would favour windows without the rare long requests, and show too
// low a latency.
type latencyVariation struct {
	count float64

	// sumSquares is the sum over the samples of the squared deviation from the mean,
	// relative to the squared mean.
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
func (s *latencyVariation) squaredCV() (squared float64) {
	if s.count < minVariationSamples {
		return initialSquaredCV
	}
	return s.sumSquares / s.count
}

// requiredSamples returns the number of samples for a mean with the given relative
// standard error.
func (s *latencyVariation) requiredSamples(precision float64) (n int) {
	return int(math.Ceil(s.squaredCV() / (precision * precision)))
}

// standardError returns the standard error of a mean of n samples.
func (s *latencyVariation) standardError(mean time.Duration, n int) (d time.Duration) {
	return time.Duration(float64(mean) * math.Sqrt(s.squaredCV()/float64(max(1, n))))
}
