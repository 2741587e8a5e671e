package share

import (
	"net/netip"
	"slices"
)

// Row is the platform's record of what is issued of one contract. One row
// covers all zones, so that one conditional write bounds the sum.
type Row struct {
	// Fresh is the burst that was never issued. Only this part is issued
	// with tokens: other capacity may have been used a moment ago.
	Fresh  Amount
	Grants []Grant
}

// Grant is what the row holds for one root.
type Grant struct {
	Root Process

	// Owner is the node that renews the grant: the root or its heir.
	Owner netip.AddrPort `json:"Keeper"`

	Rate     Amount
	Capacity Amount

	// SizedFor is the contract that the grant was last fitted to.
	SizedFor Allowance `json:"Under"`

	// Nonce changes with every write of the grant. A holder that renews its
	// lease thereby shows that it lives, and a writer whose answer was lost
	// finds out whether the write took effect.
	Nonce string
}

// Change is a write to a row.
type Change struct {
	// Root names the grant. The row is only read when it is zero.
	Root  Process
	Owner netip.AddrPort

	// Want is what the grant is to hold afterwards. A rise is cut to what
	// the contract leaves free.
	Want Allowance

	// New is true when the row must not yet hold a grant of this root.
	// Without it, a missing grant stays missing: it was reclaimed.
	New bool

	Contract Allowance

	// SizedFor is the contract that the grant is fitted to by this write.
	SizedFor Allowance

	// Expired lists grants whose lease has ended, as they were last seen.
	Expired []Grant
}

// NewRow returns the row of a contract of which nothing is issued.
func NewRow(contract Allowance) (r Row) { return Row{Fresh: contract.Capacity} }

// Find returns the grant of a root.
func (r Row) Find(root Process) (g Grant, found bool) {
	i := slices.IndexFunc(r.Grants, func(g Grant) bool { return g.Root == root })
	if i < 0 {
		return Grant{}, false
	}
	return r.Grants[i], true
}

// Sum returns what is issued in all.
func (r Row) Sum() (sum Allowance) {
	for _, g := range r.Grants {
		sum = sum.plus(Allowance{Rate: g.Rate, Capacity: g.Capacity})
	}
	return sum
}

// Free returns what a contract leaves beside the grants, at least nothing.
func (r Row) Free(contract Allowance) (free Allowance) {
	free = contract.minus(r.Sum())
	return Allowance{Rate: max(0, free.Rate), Capacity: max(0, free.Capacity)}
}

// Apply returns the row after a change, and the fresh tokens that come with
// it. It reports false when the change does not apply to this row.
func (r Row) Apply(c Change, nonce string) (after Row, fresh Amount, applies bool) {
	after = Row{Fresh: r.Fresh}
	for _, g := range r.Grants {
		if !slices.Contains(c.Expired, g) {
			after.Grants = append(after.Grants, g)
		}
	}
	i := slices.IndexFunc(after.Grants, func(g Grant) bool { return g.Root == c.Root })
	free := after.Free(c.Contract)
	if c.New == (i >= 0) || c.Root == (Process{}) || c.New && free.Capacity < One {
		return r, 0, false
	}
	if i < 0 {
		after.Grants = append(after.Grants, Grant{Root: c.Root})
		i = len(after.Grants) - 1
	}
	g := &after.Grants[i]
	oldCapacity := g.Capacity
	g.Rate = min(c.Want.Rate, g.Rate+free.Rate)
	g.Capacity = min(c.Want.Capacity, g.Capacity+free.Capacity)
	g.Owner, g.SizedFor, g.Nonce = c.Owner, c.SizedFor, nonce
	fresh = min(max(0, g.Capacity-oldCapacity), after.Fresh)
	after.Fresh -= fresh
	return after, fresh, true
}

// reducedGrant returns what a grant comes down to under a contract. Each holder
// lowers its grant in proportion; the last one takes what the proportions
// leave over.
func (r Row) reducedGrant(root Process, contract Allowance) (target Allowance) {
	g, found := r.Find(root)
	if !found {
		return Allowance{}
	}
	target = Allowance{Rate: g.Rate, Capacity: g.Capacity}
	if g.SizedFor.Rate > contract.Rate {
		target.Rate = g.Rate.scale(contract.Rate, g.SizedFor.Rate)
	}
	if g.SizedFor.Capacity > contract.Capacity {
		target.Capacity = g.Capacity.scale(contract.Capacity, g.SizedFor.Capacity)
	}
	for _, o := range r.Grants {
		if o.Root != root && (o.SizedFor.Rate > contract.Rate || o.SizedFor.Capacity > contract.Capacity) {
			return target
		}
	}
	excess := r.Sum().minus(contract)
	target.Rate = min(target.Rate, max(0, g.Rate-excess.Rate))
	target.Capacity = min(target.Capacity, max(0, g.Capacity-excess.Capacity))
	return target
}
