package retry

import "time"

const (
	// firstBackoff bounds the wait before the first retry; each further wait
	// has twice the bound, up to maxBackoff.
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Backoff returns the wait before the retry that follows attempt, counted from
// 0, with full jitter. Random returns a number from 0 to below n.
func Backoff(attempt int, random func(n int64) int64) (wait time.Duration) {
	bound := min(maxBackoff, firstBackoff<<min(attempt, 16))
	return time.Duration(random(int64(bound))) + 1
}
