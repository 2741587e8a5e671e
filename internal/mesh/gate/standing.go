package gate

import "time"

const (
	// standingDelays is for how many target delays a queue must not have been
	// empty before it counts as standing.
	standingDelays = 10

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
	if now.Sub(s.since) < standingDelays*delay {
		return
	}
	s.found = !s.emptied && s.arrived > s.ran
	s.since, s.arrived, s.ran, s.emptied = now, 0, 0, queued == 0
}
