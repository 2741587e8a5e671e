package gate

import "time"

const (
	// standingDelays is for how many target delays a queue must not have been
	// empty before it counts as standing.
	standingDelays = 10

	// standingStarts is how many requests must have run meanwhile, so that a
	// few slow ones do not make a queue stand, unless that takes longer than
	// longStanding target delays.
	standingStarts = 100
	longStanding   = 50

	// standingExcess is the factor by which more must have arrived than run.
	standingExcess = 1.1

	// waitDelays is for how many target delays a request may wait in a
	// standing queue.
	waitDelays = 5
)

// standing finds out whether a queue stands because more requests arrive than
// run. The queue of a burst, which the target works off, does not count.
type standing struct {
	since        time.Time
	arrived, ran int

	// emptied is true when the queue was empty at any time since.
	emptied bool

	// found is true while the queue stands.
	found bool
}

// look takes in the length of the queue after each step of the gate.
func (s *standing) look(now time.Time, delay time.Duration, queued int) {
	if queued == 0 {
		s.emptied, s.found = true, false
	}
	age := now.Sub(s.since)
	if age < standingDelays*delay || s.ran < standingStarts && age < longStanding*delay {
		return
	}
	s.found = !s.emptied && float64(s.arrived) > standingExcess*float64(s.ran)
	s.since, s.arrived, s.ran, s.emptied = now, 0, 0, queued == 0
}
