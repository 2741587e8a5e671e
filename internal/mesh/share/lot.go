package share

import (
	"math/bits"
	"slices"
	"time"
)

// allocation is a part of a contract that a node holds until its lease ends. Its
// tokens are in the pool of the account.
type allocation struct {
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

	// issued is what the platform's row holds for the lot, and relinquished the part
	// of it that this node gave up and that the row does not show yet. Both
	// are zero for borrowed lots.
	issued, relinquished Allowance

	// debt is what a lowered contract still demands from what is lent.
	debt Allowance
}

// isRoot reports whether the platform issued the lot to this node or to one
// whose heir it is.
func (o *allocation) isRoot() bool { return o.key.Lender == Process{} }

// pool holds the tokens of all lots of an account. Separate tokens for each
// lot would lose the refill of those that are full while others are empty.
type pool struct {
	// tokens is refilled up to updated, at least 0 and at most the capacity
	// of the lots whose lease lasts.
	tokens  Amount
	updated time.Time

	// remainder is the refill that did not make a whole unit, in units times
	// nanoseconds. It is below one second's worth.
	remainder uint64
}

// total returns the sum of all lots whose lease lasts, after a refill.
func (a *account) total(now time.Time) (sum Allowance) {
	for _, o := range a.allocations {
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
		p.accrue(sum, elapsed)
	}
	if p.tokens >= sum.Capacity {
		p.tokens, p.remainder = sum.Capacity, 0
	}
}

func (p *pool) accrue(sum Allowance, elapsed time.Duration) {
	high, low := bits.Mul64(uint64(sum.Rate), uint64(elapsed))
	low, carry := bits.Add64(low, p.remainder, 0)
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
	p.remainder = rest
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
func (a *account) split(now time.Time, o *allocation, want Allowance) (taken Allowance) {
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
func (a *account) add(now time.Time, o *allocation, p Allowance) {
	a.total(now)
	o.rate += p.Rate
	o.capacity += p.Capacity
	if o.until.After(now) {
		a.pool.tokens += p.Tokens
	}
}

// settleDebt gives up what a lot owes, as far as it has it.
func (a *account) settleDebt(now time.Time, o *allocation) {
	if o.debt.empty() {
		return
	}
	taken := a.split(now, o, o.debt)
	taken.Tokens = 0
	o.debt = o.debt.minus(taken)
	o.relinquished = o.relinquished.plus(taken)
}

// unusedCapacity returns the empty capacity that the rate here does not fill within a
// second.
func (a *account) unusedCapacity(now time.Time) (p Allowance) {
	t := a.total(now)
	return Allowance{Capacity: max(0, t.Capacity-t.Tokens-t.Rate)}
}

// openAllocation returns the openAllocation of the key and makes it when there is none.
func (a *account) openAllocation(now time.Time, key AllocationKey, until time.Time, leaf bool) (o *allocation) {
	i := slices.IndexFunc(a.allocations, func(o *allocation) bool { return o.key == key })
	if i >= 0 {
		return a.allocations[i]
	}
	a.total(now)
	o = &allocation{key: key, until: until, leaf: leaf}
	a.allocations = append(a.allocations, o)
	a.sortAllocations()
	return o
}

// drop removes a lot, and with it the tokens that no longer fit.
func (a *account) drop(now time.Time, gone *allocation) {
	a.allocations = slices.DeleteFunc(a.allocations, func(o *allocation) bool { return o == gone })
	a.total(now)
}

func (a *account) sortAllocations() {
	slices.SortStableFunc(a.allocations, func(x, y *allocation) int { return x.until.Compare(y.until) })
}
