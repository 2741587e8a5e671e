package share

import (
	"math/bits"
	"slices"
	"time"
)

// lot is a part of a contract that a node holds until its lease ends. Its
// tokens are in the pool of the account.
type lot struct {
	key AllocationKey

	// rate and capacity are at least 0.
	rate, capacity Amount

	// until is the end of the lease. After it the lot admits nothing and no
	// part of it is passed on.
	until time.Time

	// leaf lots were borrowed by a node that promised not to lend them on,
	// so that their lender may restore them when it sees a new life of that
	// node.
	leaf bool

	// issued is what the platform's row holds for the lot, and burnt the part
	// of it that this node gave up and that the row does not show yet. Both
	// are zero for borrowed lots.
	issued, burnt Allowance

	// debt is what a lowered contract still demands from what is lent.
	debt Allowance
}

// root reports whether the platform issued the lot to this node or to one
// whose heir it is.
func (o *lot) root() bool { return o.key.Lender == Process{} }

// pool holds the tokens of all lots of an account. Separate tokens for each
// lot would lose the refill of those that are full while others are empty.
type pool struct {
	// tokens is refilled up to updated, at least 0 and at most the capacity
	// of the lots whose lease lasts.
	tokens  Amount
	updated time.Time

	// rest is the refill that did not make a whole unit, in units times
	// nanoseconds. It is below one second's worth.
	rest uint64
}

// total returns the sum of all lots whose lease lasts, after a refill.
func (a *account) total(now time.Time) (sum Allowance) {
	for _, o := range a.lots {
		if o.until.After(now) {
			sum.Rate += o.rate
			sum.Capacity += o.capacity
		}
	}
	a.pool.refill(now, sum)
	sum.Tokens = a.pool.tokens
	return sum
}

// refill adds what the rate brought since the last refill.
func (p *pool) refill(now time.Time, sum Allowance) {
	elapsed := now.Sub(p.updated)
	if elapsed > 0 {
		p.updated = now
		p.gain(sum, elapsed)
	}
	if p.tokens >= sum.Capacity {
		p.tokens, p.rest = sum.Capacity, 0
	}
}

func (p *pool) gain(sum Allowance, elapsed time.Duration) {
	high, low := bits.Mul64(uint64(sum.Rate), uint64(elapsed))
	low, carry := bits.Add64(low, p.rest, 0)
	high += carry
	if high >= uint64(time.Second) {
		p.tokens = sum.Capacity
		return
	}
	whole, rest := bits.Div64(high, low, uint64(time.Second))
	if whole >= uint64(max(0, sum.Capacity-p.tokens)) {
		p.tokens = sum.Capacity
		return
	}
	p.tokens += Amount(whole)
	p.rest = rest
}

// take takes one token and reports whether there was one.
func (a *account) take(now time.Time) (taken bool) {
	if a.total(now).Tokens < One {
		return false
	}
	a.pool.tokens -= One
	return true
}

// split takes a parcel out of a lot. It gives at most what there is, and what
// stays of the tokens fits into the capacity that stays.
func (a *account) split(now time.Time, o *lot, want Allowance) (taken Allowance) {
	total := a.total(now)
	taken.Rate = min(want.Rate, o.rate)
	taken.Capacity = min(want.Capacity, o.capacity)
	o.rate -= taken.Rate
	o.capacity -= taken.Capacity
	if !o.until.After(now) {
		return taken
	}
	taken.Tokens = min(want.Tokens, total.Tokens, taken.Capacity)
	taken.Tokens = max(taken.Tokens, total.Tokens-(total.Capacity-taken.Capacity))
	a.pool.tokens -= taken.Tokens
	return taken
}

// add puts a parcel into a lot.
func (a *account) add(now time.Time, o *lot, p Allowance) {
	a.total(now)
	o.rate += p.Rate
	o.capacity += p.Capacity
	if o.until.After(now) {
		a.pool.tokens += p.Tokens
	}
}

// settle gives up what a lot owes, as far as it has it.
func (a *account) settle(now time.Time, o *lot) {
	if o.debt.empty() {
		return
	}
	gone := a.split(now, o, o.debt)
	gone.Tokens = 0
	o.debt = o.debt.minus(gone)
	o.burnt = o.burnt.plus(gone)
}

// idle returns the empty capacity that the rate here does not fill within a
// second.
func (a *account) idle(now time.Time) (p Allowance) {
	t := a.total(now)
	return Allowance{Capacity: max(0, t.Capacity-t.Tokens-t.Rate)}
}

// lot returns the lot of the key and makes it when there is none.
func (a *account) lot(now time.Time, key AllocationKey, until time.Time, leaf bool) (o *lot) {
	i := slices.IndexFunc(a.lots, func(o *lot) bool { return o.key == key })
	if i >= 0 {
		return a.lots[i]
	}
	a.total(now)
	o = &lot{key: key, until: until, leaf: leaf}
	a.lots = append(a.lots, o)
	a.sortLots()
	return o
}

// drop removes a lot, and with it the tokens that no longer fit.
func (a *account) drop(now time.Time, gone *lot) {
	a.lots = slices.DeleteFunc(a.lots, func(o *lot) bool { return o == gone })
	a.total(now)
}

func (a *account) sortLots() {
	slices.SortStableFunc(a.lots, func(x, y *lot) int { return x.until.Compare(y.until) })
}
