package node

import "time"

// arm sets the timer to fire at the given time, or stops it when the time is zero.
func arm(timer *time.Timer, at time.Time) {
	if at.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(at))
}
