package share

import (
	"math/bits"
	"slices"
	"time"
)

// allocation is an allowance that this node holds until its lease ends. Its tokens are in the
// pool of the account.
type allocation struct {
	key AllocationKey

	// rate and capacity are at least 0.
	rate, capacity Amount

	// until is the end of the lease. After it, the allocation admits no requests and no part
	// of it is transferred.
	until time.Time

	// leaf is true for allowance borrowed on the condition not to lend it to others, so that
	// the lender may reclaim it as soon as it sees a new incarnation of this node.
	leaf bool

	// issued is the allocation's grant in the platform's row. relinquished is the part of it
	// that this node no longer owns but that the row still includes. Both are zero for borrowed
	// allocations.
	issued, relinquished Allowance

	// debt is the part that a lowered contract requires this node to relinquish, but that it
	// has lent and must first recall.
	debt Allowance
}

// isRoot reports whether the platform granted the allocation, to this node or to one that
// handed it over.
func (al *allocation) isRoot() bool { return al.key.Lender == Process{} }

// pool holds the tokens of all allocations of an account together. With separate buckets, full
// ones would lose their refill while others are empty.
type pool struct {
	// tokens is the balance at the time updated. It is at least 0 and at most the capacity of
	// the allocations whose lease has not ended.
	tokens  Amount
	updated time.Time

	// remainder is the refill below one unit of Amount, in units times nanoseconds. It is
	// less than one unit times one second.
	remainder uint64
}

// total refills the pool and returns the sum of all allocations whose lease has not ended.
func (a *account) total(now time.Time) (sum Allowance) {
	for _, al := range a.allocations {
		if al.until.After(now) {
			sum.Rate += al.rate
			sum.Capacity += al.capacity
		}
	}
	a.pool.refill(now, sum)
	sum.Tokens = a.pool.tokens
	return sum
}

// refill adds the tokens accrued since the last refill, up to the capacity.
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

// take takes one token and reports whether one was available.
func (a *account) take(now time.Time) (taken bool) {
	if a.total(now).Tokens < One {
		return false
	}
	a.pool.tokens -= One
	return true
}

// split removes up to want from an allocation and returns what it removed. It also removes
// tokens that would not fit into the remaining capacity.
func (a *account) split(now time.Time, al *allocation, want Allowance) (taken Allowance) {
	total := a.total(now)
	taken.Rate = min(want.Rate, al.rate)
	taken.Capacity = min(want.Capacity, al.capacity)
	al.rate -= taken.Rate
	al.capacity -= taken.Capacity
	if !al.until.After(now) {
		return taken
	}
	taken.Tokens = min(want.Tokens, total.Tokens, taken.Capacity)
	taken.Tokens = max(taken.Tokens, total.Tokens-(total.Capacity-taken.Capacity))
	a.pool.tokens -= taken.Tokens
	return taken
}

// add adds an allowance to an allocation.
func (a *account) add(now time.Time, al *allocation, p Allowance) {
	a.total(now)
	al.rate += p.Rate
	al.capacity += p.Capacity
	if al.until.After(now) {
		a.pool.tokens += p.Tokens
	}
}

// settleDebt relinquishes the debt of the allocation, up to what it has not lent.
func (a *account) settleDebt(now time.Time, al *allocation) {
	if al.debt.empty() {
		return
	}
	taken := a.split(now, al, al.debt)
	taken.Tokens = 0
	al.debt = al.debt.minus(taken)
	al.relinquished = al.relinquished.plus(taken)
}

// unusedCapacity returns the empty capacity that the refill rate does not fill within a
// second.
func (a *account) unusedCapacity(now time.Time) (p Allowance) {
	t := a.total(now)
	return Allowance{Capacity: max(0, t.Capacity-t.Tokens-t.Rate)}
}

// openAllocation returns the allocation with the key and creates it if necessary.
func (a *account) openAllocation(now time.Time, key AllocationKey, until time.Time, leaf bool) (al *allocation) {
	i := slices.IndexFunc(a.allocations, func(al *allocation) bool { return al.key == key })
	if i >= 0 {
		return a.allocations[i]
	}
	a.total(now)
	al = &allocation{key: key, until: until, leaf: leaf}
	a.allocations = append(a.allocations, al)
	a.sortAllocations()
	return al
}

// drop removes an allocation, and with it the tokens that exceed the remaining capacity.
func (a *account) drop(now time.Time, dropped *allocation) {
	a.allocations = slices.DeleteFunc(a.allocations, func(al *allocation) bool { return al == dropped })
	a.total(now)
}

func (a *account) sortAllocations() {
	slices.SortStableFunc(a.allocations, func(x, y *allocation) int { return x.until.Compare(y.until) })
}
