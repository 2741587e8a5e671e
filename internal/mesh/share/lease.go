package share

import (
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// leaseDivisor says in which part of a lease a holder renews it. A lot is
	// returned and no longer lent when less than this part is left.
	leaseDivisor = 4

	// capacityReturnDivisor and leastExcess say which parts of a capacity and of a rate
	// are worth a message to return them.
	capacityReturnDivisor = 4
	rateReturnDivisor     = 16
)

// configure brings the contracts in force. A lowered contract is given up at
// once as far as it is held here.
func (l *Ledger) configure(now time.Time, e Configured) {
	l.zones, l.lease = max(1, e.Zones), e.Lease
	for name := range e.Contracts {
		if _, found := l.accounts[name]; !found {
			l.accounts[name] = &account{
				name: name, loans: make(map[loanKey]*loan), issue: issueState{observed: make(map[Process]observedGrant)},
			}
			l.names = append(l.names, name)
		}
	}
	slices.Sort(l.names)
	for _, name := range l.names {
		// A contract that no longer exists counts as one of nothing.
		c := e.Contracts[name]
		l.setContract(now, l.accounts[name], Allowance{Rate: FromRequests(c.Rate), Capacity: FromRequests(c.Burst)})
	}
	l.announce()
}

// announce tells the holders of the zone that this life has begun, which proves
// to them that earlier lives hold nothing any more.
func (l *Ledger) announce() {
	if l.places == nil {
		return
	}
	for _, name := range l.names {
		for _, to := range l.places.holders(name)[0] {
			if to != l.self.Addr && l.peer(to).incarnation == 0 {
				l.batchFor(to)
			}
		}
	}
}

func (l *Ledger) setContract(now time.Time, a *account, contract Allowance) {
	if a.contract == contract {
		return
	}
	a.contract = contract
	l.reclaimExcess(now, a)
	if !l.leaving {
		a.issue.due = now
		a.maintainAt = now
	}
}

// reclaimExcess gives up what the contract no longer covers.
func (l *Ledger) reclaimExcess(now time.Time, a *account) {
	for _, o := range a.allocations {
		if _, found := a.issue.row.Find(o.key.Root); !found || !o.isRoot() {
			continue
		}
		target := a.issue.row.reducedGrant(o.key.Root, a.contract)
		excess := o.issued.minus(o.relinquished).minus(target)
		o.debt = Allowance{Rate: max(0, excess.Rate), Capacity: max(0, excess.Capacity)}
		a.settleDebt(now, o)
	}
}

// Pending returns the part of the lowered contracts that this node still has
// to collect from its borrowers, or to strike from the platform's row.
func (l *Ledger) Pending(name mesh.OrganisationName) (p Allowance) {
	a, found := l.accounts[name]
	if !found {
		return Allowance{}
	}
	for _, o := range a.allocations {
		p = p.plus(o.debt).plus(o.relinquished)
	}
	excess := a.issue.row.Sum().minus(a.contract)
	p.Rate, p.Capacity = max(p.Rate, excess.Rate), max(p.Capacity, excess.Capacity)
	return p
}

// Organisations returns the names of all accounts.
func (l *Ledger) Organisations() (names []mesh.OrganisationName) { return l.names }

// Held returns what this node holds of a contract.
func (l *Ledger) Held(now time.Time, name mesh.OrganisationName) (p Allowance) {
	if a, found := l.accounts[name]; found {
		p = a.total(now)
	}
	return p
}

// Settled reports whether every transfer was acknowledged or given up.
func (l *Ledger) Settled() (settled bool) {
	for _, p := range l.activePeers {
		if len(p.pending) > 0 {
			return false
		}
	}
	return true
}

// expireLeases removes lots whose lease has ended and restores loans. A lot that
// the platform issued stays, unused, until the platform renews or reclaims it.
func (l *Ledger) expireLeases(now time.Time, a *account) {
	a.allocations = slices.DeleteFunc(a.allocations, func(o *allocation) (over bool) {
		if o.isRoot() || o.until.After(now) && (o.rate+o.capacity > 0 || a.hasLoans(o)) {
			return false
		}
		if !o.leaf {
			a.dropLoans(o.key.Root)
		}
		return true
	})
	for k, n := range a.loans {
		if !n.end.After(now) {
			l.restore(now, a, k, n)
		}
	}
}

// hasLoans reports whether loans out of the lot are open.
func (a *account) hasLoans(o *allocation) (open bool) {
	for k := range a.loans {
		if k.root == o.key.Root && !o.leaf {
			return true
		}
	}
	return false
}

// dropLoans drops the loans out of a lot that has ended. Their parts have ended
// with it.
func (a *account) dropLoans(root Process) {
	for k := range a.loans {
		if k.root == root {
			delete(a.loans, k)
		}
	}
}

// maintain measures demand, returns what is not used and asks the platform for
// what is due.
func (l *Ledger) maintain(now time.Time, a *account) {
	if !a.issue.due.IsZero() && !a.issue.due.After(now) && !a.issue.inFlight {
		l.issueNext(now, a)
	}
	if a.maintainAt.IsZero() || a.maintainAt.After(now) {
		return
	}
	a.demand.updateRate(now)
	a.maintainAt = now.Add(maintainInterval)
	if len(a.queue) == 0 {
		l.returnUnused(now, a)
	}
	l.recall(a)
	l.startIssuing(now, a)
	if len(a.allocations)+len(a.loans)+len(a.queue) == 0 && a.demand.rate == 0 && (l.places == nil || !l.places.holds(a.name)) {
		a.maintainAt = time.Time{}
	}
}

// startIssuing starts the first take of a node that became a holder.
func (l *Ledger) startIssuing(now time.Time, a *account) {
	if a.issue.due.IsZero() && l.places != nil && l.places.holds(a.name) && !l.leaving {
		a.issue.due = now
		l.issueNext(now, a)
	}
}

// recall asks borrowers to return what a lowered contract demands.
func (l *Ledger) recall(a *account) {
	var debt Allowance
	for _, o := range a.allocations {
		debt = debt.plus(o.debt)
	}
	if debt.empty() {
		return
	}
	a.round.number++
	for _, to := range a.borrowers(a.round.number, maxBorrowersRecalled) {
		b := l.batchFor(to)
		b.Requests = append(b.Requests, AllowanceRequest{Organisation: a.name, Need: debt.Capacity, Demand: debt.Rate, Recall: true})
	}
}

// returnUnused returns borrowed lots that are near their end or exceed what
// the demand here needs.
func (l *Ledger) returnUnused(now time.Time, a *account) {
	total := a.total(now)
	excess := total.minus(a.ownShare(total))
	excess = Allowance{Rate: max(0, excess.Rate), Capacity: max(0, excess.Capacity), Tokens: max(0, excess.Tokens)}
	if excess.Rate < total.Rate/rateReturnDivisor {
		excess.Rate = 0
	}
	if excess.Capacity < total.Capacity/capacityReturnDivisor {
		excess.Capacity, excess.Tokens = 0, 0
	}
	for _, o := range slices.Backward(a.allocations) {
		switch {
		case o.isRoot():
		case o.until.Sub(now) < l.lease/(2*leaseDivisor):
			l.returnToLender(now, a, o, Allowance{Rate: o.rate, Capacity: o.capacity})
		case !excess.empty():
			returned := l.returnToLender(now, a, o, excess)
			excess.Rate -= returned.Rate
			excess.Capacity -= returned.Capacity
			excess.Tokens = max(0, excess.Tokens-returned.Tokens)
		}
	}
}

// ownShare returns what the demand of a node can use.
func (a *account) ownShare(total Allowance) (kept Allowance) {
	if !a.needsOwnShare(a.demand.rate) {
		return Allowance{}
	}
	kept.Rate = 2 * a.demand.rate
	if total.Tokens == total.Capacity {
		// A full pool loses its refill.
		kept.Rate = a.demand.rate + a.demand.rate/8
	}
	kept.Tokens = min(total.Tokens, One+a.demand.rate)
	kept.Capacity = min(total.Capacity, One+a.demand.rate+min(total.Rate, kept.Rate)/2)
	kept.Tokens = min(kept.Tokens, kept.Capacity)
	return kept
}

// needsOwnShare reports whether a node with this demand needsOwnShare a share of its own. Its
// part of the burst, by its part of the rate, must hold a few requests: in
// smaller parts the burst would lie in fractions of a token that admit nobody.
// Below that, requests draw their tokens from the holders one by one.
func (a *account) needsOwnShare(demand Amount) (keeps bool) {
	if demand == 0 || a.contract.Rate == 0 {
		return false
	}
	return a.contract.Capacity.scale(demand, a.contract.Rate) >= minOwnBurst
}
