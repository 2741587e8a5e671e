// Package retry limits the retries of requests and sets the backoff between them.
package retry

// AttemptBudget is the part of a request's retry budget that one node holds. Attempts move
// between the budgets of nodes; no operation creates any.
type AttemptBudget struct {
	// left is never negative.
	left int

	// delegated is the number of attempts that were passed to other nodes and have not been
	// returned yet. It limits the attempts that can come back, so an answer that is counted
	// twice adds nothing.
	delegated int
}

// NewAttemptBudget returns a budget with the attempts that a call carries.
func NewAttemptBudget(attempts int) (b *AttemptBudget) { return &AttemptBudget{left: max(0, attempts)} }

// Spend uses one attempt for a retry by this node. It reports false when none is left.
func (b *AttemptBudget) Spend() (allowed bool) {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// DelegateAllBut moves the budget to a call that this node forwards and retains up to keep
// attempts, which are not lost when the answer of the call is lost.
func (b *AttemptBudget) DelegateAllBut(keep int) (attempts int) {
	return b.delegate(b.left - min(keep, b.left))
}

// DelegateHalf moves half of the budget, rounded up, to one of several nested calls of a
// target.
func (b *AttemptBudget) DelegateHalf() (attempts int) { return b.delegate((b.left + 1) / 2) }

func (b *AttemptBudget) delegate(attempts int) int {
	b.left -= attempts
	b.delegated += attempts
	return attempts
}

// Return adds the attempts that an answer returned of the delegated ones. An answer that
// returns more than were delegated is invalid and does not show how many were spent, so
// none are added.
func (b *AttemptBudget) Return(sent, returned int) {
	sent = min(max(0, sent), b.delegated)
	b.delegated -= sent
	if returned > 0 && returned <= sent {
		b.left += returned
	}
}

// Left returns the remaining attempts.
func (b *AttemptBudget) Left() (attempts int) { return b.left }
