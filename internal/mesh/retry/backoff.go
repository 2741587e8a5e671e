package retry

import "time"

const (
	// firstBackoff is the maximum backoff before the first retry. The maximum doubles with
	// each further retry, up to maxBackoff.
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Backoff returns the backoff before the retry that follows the attempt, counted from 0:
// exponential with full jitter. The function random returns a number in [0, n).
func Backoff(attempt int, random func(n int64) int64) (wait time.Duration) {
	bound := min(maxBackoff, firstBackoff<<min(attempt, 16))
	return time.Duration(random(int64(bound))) + 1
}
