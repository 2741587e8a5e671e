package gate

import "time"

const (
	// standingWindowDelays is how long a queue must be non-empty before it counts as
	// a standing queue, in target delays.
	standingWindowDelays = 10

	// minStandingStarts is the number of requests that must start in that time, so
	// that a few slow requests do not count as a standing queue. After
	// maxStandingWindowDelays target delays it no longer applies.
	minStandingStarts       = 100
	maxStandingWindowDelays = 50

	// standingExcess is the ratio of arrivals to starts above which a queue is
	// standing.
	standingExcess = 1.1

	// maxStandingWaitDelays is the maximum queueing time in a standing queue, in
	// target delays.
	maxStandingWaitDelays = 5
)

// standingQueue detects a standing queue: one that persists because the arrival
// rate exceeds the service rate. The queue of a burst, which the target drains,
// does not count.
type standingQueue struct {
	since            time.Time
	arrived, started int

	// emptied is true when the queue was empty at any time after since.
	emptied bool

	// detected is true while there is a standing queue.
	detected bool
}

// update records the queue length after each step of the gate.
func (s *standingQueue) update(now time.Time, delay time.Duration, queued int) {
	if queued == 0 {
		s.emptied, s.detected = true, false
	}
	age := now.Sub(s.since)
	if age < standingWindowDelays*delay || s.started < minStandingStarts && age < maxStandingWindowDelays*delay {
		return
	}
	s.detected = !s.emptied && float64(s.arrived) > standingExcess*float64(s.started)
	s.since, s.arrived, s.started, s.emptied = now, 0, 0, queued == 0
}
