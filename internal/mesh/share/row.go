package share

import (
	"net/netip"
	"slices"
)

// Row is the platform's record of the grants of one contract. One row covers all zones, so
// that one conditional write bounds their sum.
type Row struct {
	// Fresh is the part of the burst that was never issued. Only this part is issued with
	// tokens. Capacity that was issued before is issued again without tokens, since a previous
	// owner may have spent them just before.
	Fresh  Amount
	Grants []Grant
}

// Grant is the allowance issued to one root.
type Grant struct {
	Root Process

	// Owner is the node that renews the grant: the root, or the successor that it was handed
	// over to.
	Owner netip.AddrPort `json:"Keeper"`

	Rate     Amount
	Capacity Amount

	// SizedFor is the contract for which the grant was last sized.
	SizedFor Allowance `json:"Under"`

	// Nonce changes with every write of the grant. A renewal thereby shows that the owner is
	// alive, and a writer that did not receive the answer can find out whether its write was
	// applied.
	Nonce string
}

// Change is a change of one grant in a row.
type Change struct {
	// Root identifies the grant. When it is zero, the row is only read.
	Root  Process
	Owner netip.AddrPort

	// Want is the requested size of the grant. An increase is limited to what the contract
	// leaves unissued.
	Want Allowance

	// New is true when the row must not contain a grant of this root yet. Otherwise the grant
	// must exist: a missing one was reclaimed and is not created again.
	New bool

	Contract Allowance

	// SizedFor is the contract for which this write sizes the grant.
	SizedFor Allowance

	// Expired lists the grants whose lease has ended, as they were last seen.
	Expired []Grant
}

// NewRow returns the row of a contract without grants.
func NewRow(contract Allowance) (r Row) { return Row{Fresh: contract.Capacity} }

// Find returns the grant of the root.
func (r Row) Find(root Process) (g Grant, found bool) {
	i := slices.IndexFunc(r.Grants, func(g Grant) bool { return g.Root == root })
	if i < 0 {
		return Grant{}, false
	}
	return r.Grants[i], true
}

// Sum returns the sum of all grants.
func (r Row) Sum() (sum Allowance) {
	for _, g := range r.Grants {
		sum = sum.plus(Allowance{Rate: g.Rate, Capacity: g.Capacity})
	}
	return sum
}

// Free returns what the contract leaves unissued, at least zero.
func (r Row) Free(contract Allowance) (free Allowance) {
	free = contract.minus(r.Sum())
	return Allowance{Rate: max(0, free.Rate), Capacity: max(0, free.Capacity)}
}

// Apply returns the row after a change, and the fresh tokens issued with it. It reports false
// when the change does not apply to this row.
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

// reducedGrant returns the size of a grant under a lowered contract. Each owner reduces its
// grant in proportion; the last one also absorbs the rounding difference.
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
