package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// firstBackoff bounds the wait before the first retry; each further wait
	// has twice the bound, up to maxBackoff.
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Backoff returns the wait before the retry that follows attempt, counted from
// 0, with full jitter.
func Backoff(attempt int) (wait time.Duration) {
	bound := min(maxBackoff, firstBackoff<<min(attempt, 16))
	return rand.N(bound) + 1
}
