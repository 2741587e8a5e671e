package node

import "time"

// arm makes the timer fire at a time, or not at all when that is zero.
func arm(timer *time.Timer, at time.Time) {
	if at.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(at))
}
