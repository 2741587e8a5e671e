package share

import (
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// leaseDivisor is the fraction of a lease, as a divisor, after which a holder renews it.
	// An allocation is no longer lent when less than this fraction remains, and returned when
	// less than half of it remains.
	leaseDivisor = 4

	// capacityReturnDivisor and rateReturnDivisor are the fractions of a capacity and of a
	// rate, as divisors, below which an excess does not justify a message to return it.
	capacityReturnDivisor = 4
	rateReturnDivisor     = 16
)

// configure sets the contracts in force. The part held here of a lowered contract is
// relinquished at once.
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
		// A removed contract is treated as one with zero rate and burst.
		c := e.Contracts[name]
		l.setContract(now, l.accounts[name], Allowance{Rate: FromRequests(c.Rate), Capacity: FromRequests(c.Burst)})
	}
	l.announce()
}

// announce sends an empty batch to the holders of the zone whose incarnation is not known yet.
// It carries this node's incarnation, which proves that earlier ones no longer hold any
// shares.
func (l *Ledger) announce() {
	if l.placement == nil {
		return
	}
	for _, name := range l.names {
		for _, to := range l.placement.holders(name)[0] {
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
	l.relinquishExcess(now, a)
	if !l.leaving {
		a.issue.due = now
		a.maintainAt = now
	}
}

// relinquishExcess relinquishes what exceeds a lowered contract, and records what is lent of it
// as debt.
func (l *Ledger) relinquishExcess(now time.Time, a *account) {
	for _, al := range a.allocations {
		if _, found := a.issue.row.Find(al.key.Root); !found || !al.isRoot() {
			continue
		}
		target := a.issue.row.reducedGrant(al.key.Root, a.contract)
		excess := al.issued.minus(al.relinquished).minus(target)
		al.debt = Allowance{Rate: max(0, excess.Rate), Capacity: max(0, excess.Capacity)}
		a.settleDebt(now, al)
	}
}

// Pending returns the part of a lowered contract's reduction that is not yet in force: what
// this node has to recall from its borrowers, or to remove from the platform's row.
func (l *Ledger) Pending(name mesh.OrganisationName) (p Allowance) {
	a, found := l.accounts[name]
	if !found {
		return Allowance{}
	}
	for _, al := range a.allocations {
		p = p.plus(al.debt).plus(al.relinquished)
	}
	excess := a.issue.row.Sum().minus(a.contract)
	p.Rate, p.Capacity = max(p.Rate, excess.Rate), max(p.Capacity, excess.Capacity)
	return p
}

// Organisations returns the names of all accounts, sorted.
func (l *Ledger) Organisations() (names []mesh.OrganisationName) { return l.names }

// TotalAllowance returns this node's share of a contract: the sum of its allocations.
func (l *Ledger) TotalAllowance(now time.Time, name mesh.OrganisationName) (p Allowance) {
	if a, found := l.accounts[name]; found {
		p = a.total(now)
	}
	return p
}

// Settled reports whether every transfer was acknowledged or has expired.
func (l *Ledger) Settled() (settled bool) {
	for _, p := range l.activePeers {
		if len(p.pending) > 0 {
			return false
		}
	}
	return true
}

// expireLeases removes allocations whose lease has ended and reclaims expired loans. An
// allocation granted by the platform stays, unused, until the platform renews or reclaims it.
func (l *Ledger) expireLeases(now time.Time, a *account) {
	a.allocations = slices.DeleteFunc(a.allocations, func(al *allocation) (expired bool) {
		if al.isRoot() || al.until.After(now) && (al.rate+al.capacity > 0 || a.hasLoans(al)) {
			return false
		}
		if !al.leaf {
			a.dropLoans(al.key.Root)
		}
		return true
	})
	for k, n := range a.loans {
		if !n.end.After(now) {
			l.reclaim(now, a, k, n)
		}
	}
}

// hasLoans reports whether loans out of the allocation are open.
func (a *account) hasLoans(al *allocation) (open bool) {
	for k := range a.loans {
		if k.root == al.key.Root && !al.leaf {
			return true
		}
	}
	return false
}

// dropLoans removes the loans out of an allocation that has ended. They have ended with it.
func (a *account) dropLoans(root Process) {
	for k := range a.loans {
		if k.root == root {
			delete(a.loans, k)
		}
	}
}

// maintain updates the demand, returns unused allowance, and starts the platform job that is
// due.
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
	if len(a.allocations)+len(a.loans)+len(a.queue) == 0 && a.demand.rate == 0 && (l.placement == nil || !l.placement.holds(a.name)) {
		a.maintainAt = time.Time{}
	}
}

// startIssuing requests the first grant of a node that became a holder.
func (l *Ledger) startIssuing(now time.Time, a *account) {
	if a.issue.due.IsZero() && l.placement != nil && l.placement.holds(a.name) && !l.leaving {
		a.issue.due = now
		l.issueNext(now, a)
	}
}

// recall asks borrowers to return what a lowered contract requires.
func (l *Ledger) recall(a *account) {
	var debt Allowance
	for _, al := range a.allocations {
		debt = debt.plus(al.debt)
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

// returnUnused returns borrowed allowance whose lease is about to end or that exceeds the
// local demand.
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
	for _, al := range slices.Backward(a.allocations) {
		switch {
		case al.isRoot():
		case al.until.Sub(now) < l.lease/(2*leaseDivisor):
			l.returnToLender(now, a, al, Allowance{Rate: al.rate, Capacity: al.capacity})
		case !excess.empty():
			returned := l.returnToLender(now, a, al, excess)
			excess.Rate -= returned.Rate
			excess.Capacity -= returned.Capacity
			excess.Tokens = max(0, excess.Tokens-returned.Tokens)
		}
	}
}

// ownShare returns the part of total that the local demand can use.
func (a *account) ownShare(total Allowance) (kept Allowance) {
	if !a.needsOwnShare(a.demand.rate) {
		return Allowance{}
	}
	kept.Rate = 2 * a.demand.rate
	if total.Tokens == total.Capacity {
		// The refill of a full bucket is lost.
		kept.Rate = a.demand.rate + a.demand.rate/8
	}
	kept.Tokens = min(total.Tokens, One+a.demand.rate)
	kept.Capacity = min(total.Capacity, One+a.demand.rate+min(total.Rate, kept.Rate)/2)
	kept.Tokens = min(kept.Tokens, kept.Capacity)
	return kept
}

// needsOwnShare reports whether a node with this demand keeps a share of its own. Its part of
// the burst, in proportion to its part of the rate, must hold a few requests: in smaller parts
// the burst would be split into fractions of a token that admit no request. Below that, each
// request borrows its token from the holders.
func (a *account) needsOwnShare(demand Amount) (needed bool) {
	if demand == 0 || a.contract.Rate == 0 {
		return false
	}
	return a.contract.Capacity.scale(demand, a.contract.Rate) >= minOwnBurst
}
