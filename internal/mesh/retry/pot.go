// Package retry bounds and spaces the extra attempts of a request.
package retry

// AttemptBudget is the part of a request's retry budget that one node holds. Attempts
// move between pots; no operation creates any.
type AttemptBudget struct {
	// left is never negative.
	left int

	// out is what was handed out and not yet accounted for. It bounds what
	// may come back, so an answer that is counted twice adds nothing.
	out int
}

// NewAttemptBudget returns a pot with what a call brought along.
func NewAttemptBudget(attempts int) (p *AttemptBudget) { return &AttemptBudget{left: max(0, attempts)} }

// Spend takes one attempt for a retry of this node.
func (p *AttemptBudget) Spend() (allowed bool) {
	if p.left == 0 {
		return false
	}
	p.left--
	return true
}

// TakeAllBut hands the budget to a call that this node passes on and keeps up
// to keep attempts, which stay when the answer of the call is lost.
func (p *AttemptBudget) TakeAllBut(keep int) (attempts int) {
	return p.take(p.left - min(keep, p.left))
}

// TakeHalf hands half of the budget, rounded up, to one of several deeper
// calls of a target.
func (p *AttemptBudget) TakeHalf() (attempts int) { return p.take((p.left + 1) / 2) }

func (p *AttemptBudget) take(attempts int) int {
	p.left -= attempts
	p.out += attempts
	return attempts
}

// Return adds back what an answer brought of a budget of given. An answer that
// claims more than was handed out is wrong and says nothing of what was spent,
// so it returns nothing.
func (p *AttemptBudget) Return(given, returned int) {
	given = min(max(0, given), p.out)
	p.out -= given
	if returned > 0 && returned <= given {
		p.left += returned
	}
}

// Left returns the attempts in the pot.
func (p *AttemptBudget) Left() (attempts int) { return p.left }
