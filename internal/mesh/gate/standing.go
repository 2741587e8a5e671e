package gate

import "time"

const (
	// standingWindowDelays is for how many target delays a queue must not have been
	// empty before it counts as standing.
	standingWindowDelays = 10

	// minStandingStarts is how many requests must have run meanwhile, so that a
	// few slow ones do not make a queue stand, unless that takes longer than
	// longStanding target delays.
	minStandingStarts = 100
	maxStandingWindowDelays   = 50

	// standingExcess is the factor by which more must have arrived than run.
	standingExcess = 1.1

	// maxStandingWaitDelays is for how many target delays a request may wait in a
	// standing queue.
	maxStandingWaitDelays = 5
)

// standingQueue finds out whether a queue stands because more requests arrive than
// run. The queue of a burst, which the target works off, does not count.
type standingQueue struct {
	since        time.Time
	arrived, started int

	// emptied is true when the queue was empty at any time since.
	emptied bool

	// detected is true while the queue stands.
	detected bool
}

// update takes in the length of the queue after each step of the gate.
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
