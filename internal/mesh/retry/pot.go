// Package retry bounds and spaces the extra attempts of a request.
package retry

// Pot is the part of a request's retry budget that one node holds. Attempts
// move between pots; no operation creates any.
type Pot struct{ left int }

// NewPot returns a pot with what a call brought along.
func NewPot(attempts int) (p *Pot) { return &Pot{left: max(0, attempts)} }

// Spend takes one attempt for a retry of this node.
func (p *Pot) Spend() (allowed bool) {
	if p.left == 0 {
		return false
	}
	p.left--
	return true
}

// TakeAll hands the whole budget to a call that this node passes on.
func (p *Pot) TakeAll() (attempts int) {
	attempts, p.left = p.left, 0
	return attempts
}

// TakeHalf hands half of the budget, rounded up, to one of several deeper
// calls of a target.
func (p *Pot) TakeHalf() (attempts int) {
	attempts = (p.left + 1) / 2
	p.left -= attempts
	return attempts
}

// Return adds back what an answer brought of a budget of given. An answer
// cannot return more than was handed out.
func (p *Pot) Return(given, returned int) { p.left += min(max(0, returned), given) }

// Left returns the attempts in the pot.
func (p *Pot) Left() (attempts int) { return p.left }
