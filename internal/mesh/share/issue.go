package share

import (
	"slices"
	"time"
)

const (
	// growInterval is the minimum time between two attempts to grow the grant by what the
	// contract leaves unissued, so that a shortage causes few writes.
	growInterval = 5 * time.Second

	// rowReadInterval is the minimum time between two reads of a row during a shortage, which
	// show the current owners of the contract's grants.
	rowReadInterval = 10 * time.Second

	// minPlatformBackoff and maxPlatformBackoff bound the backoff between attempts to reach
	// the platform.
	minPlatformBackoff = 2 * time.Second
	maxPlatformBackoff = time.Minute
)

// issueState is what an account knows of the platform's row, and the state of its jobs.
type issueState struct {
	// due is when the next job starts; zero means that none is scheduled.
	due      time.Time
	inFlight bool
	backoff  time.Duration

	// known is true once the row has been read.
	known bool
	row   Row

	// readAt is when the row was last read, and grownAt when this node last tried to grow its
	// grant.
	readAt, grownAt time.Time

	// observed holds each grant by root, with the time since which it is unchanged.
	observed map[Process]observedGrant
}

// observedGrant is a grant and when it was first seen with its present content.
type observedGrant struct {
	grant Grant
	since time.Time
}

// issueNext asks the platform for the first grant, or renews or changes the grant with the
// earliest end of lease.
func (l *Ledger) issueNext(now time.Time, a *account) {
	a.issue.inFlight = true
	a.issue.due = now.Add(l.lease / leaseDivisor)
	c := l.newChange(now, a)
	al := a.oldestRootAllocation()
	switch {
	case al == nil:
		if l.placement == nil || !l.placement.holds(a.name) || a.contract.empty() {
			a.issue.inFlight, a.issue.due = false, time.Time{}
			return
		}
		c.New, c.Want = true, l.equalShare(a)
	default:
		c.Root, c.Want = al.key.Root, al.issued.minus(al.relinquished)
		if !al.debt.empty() {
			c.SizedFor = al.issued
			if g, found := a.issue.row.Find(al.key.Root); found {
				c.SizedFor = g.SizedFor
			}
		} else if al.relinquished.empty() && al.key.Root == l.self && l.placement != nil && l.placement.holds(a.name) {
			equal := l.equalShare(a)
			c.Want.Rate, c.Want.Capacity = max(c.Want.Rate, equal.Rate), max(c.Want.Capacity, equal.Capacity)
		}
	}
	l.actions = append(l.actions, Issue{Organisation: a.name, Change: c})
}

// equalShare returns a holder's part of a contract when it is divided equally over the holders
// of all zones.
func (l *Ledger) equalShare(a *account) (p Allowance) {
	n := Amount(l.zones * holdersPerZone)
	return Allowance{Rate: a.contract.Rate / n, Capacity: a.contract.Capacity / n}
}

// growGrant asks for the part of the contract that is not issued, when queued requests are
// short of tokens. In this way the parts of zones without nodes go to other zones.
func (l *Ledger) growGrant(now time.Time, a *account) {
	if a.issue.inFlight || !a.issue.known || l.leaf(a) || l.hopLimit(a) < holderHopLimit || now.Sub(a.issue.grownAt) < growInterval {
		return
	}
	c := l.newChange(now, a)
	free := a.issue.row.Free(a.contract)
	i := slices.IndexFunc(a.allocations, func(al *allocation) bool { return al.key == AllocationKey{Root: l.self} })
	switch {
	case free.empty() && now.Sub(a.issue.readAt) < rowReadInterval:
		return
	case free.empty():
		c.Root = Process{}
	case i < 0:
		c.New, c.Want = true, free
	case !a.allocations[i].relinquished.empty() || !a.allocations[i].debt.empty():
		return
	default:
		c.Want = a.allocations[i].issued.plus(free)
	}
	a.issue.grownAt, a.issue.inFlight = now, true
	l.actions = append(l.actions, Issue{Organisation: a.name, Change: c})
}

// newChange returns a change of this node's own grant without an amount.
func (l *Ledger) newChange(now time.Time, a *account) (c Change) {
	return Change{Root: l.self, Owner: l.self.Addr, Contract: a.contract, SizedFor: a.contract, Expired: l.expiredGrants(now, a)}
}

// oldestRootAllocation returns the allocation granted by the platform whose lease ends first.
func (a *account) oldestRootAllocation() (al *allocation) {
	i := slices.IndexFunc(a.allocations, (*allocation).isRoot)
	if i < 0 {
		return nil
	}
	return a.allocations[i]
}

// expiredGrants returns the grants that have not been renewed for longer than any lease out of
// them can last. The time counts from when this node first saw them unchanged.
func (l *Ledger) expiredGrants(now time.Time, a *account) (grants []Grant) {
	for root, s := range a.issue.observed {
		if root != l.self && now.Sub(s.since) > l.lease+leaseMargin {
			grants = append(grants, s.grant)
		}
	}
	return grants
}

// handleIssued processes the platform's row.
func (l *Ledger) handleIssued(now time.Time, e Issued) {
	a, found := l.accounts[e.Organisation]
	if !found || l.leaving {
		// A write that was in flight when this node left belongs to the successor.
		return
	}
	a.issue.inFlight, a.issue.backoff = false, 0
	a.issue.known, a.issue.row, a.issue.readAt = true, e.Row, now
	a.observeGrants(now, e.Row)
	if _, found := e.Row.Find(l.self); found {
		// The allocation may be new, or the answer to its first write may have been lost. It
		// admits no requests until a write is known to have been applied.
		a.openAllocation(now, AllocationKey{Root: l.self}, now, false)
	}
	for _, al := range slices.Clone(a.allocations) {
		if al.isRoot() {
			l.applyGrant(now, a, al, e)
		}
	}
	a.sortAllocations()
	l.relinquishExcess(now, a)
	l.scheduleIssue(now, a)
	l.processQueue(now, a)
}

// observeGrants updates since when each grant is unchanged.
func (a *account) observeGrants(now time.Time, r Row) {
	observed := make(map[Process]observedGrant, len(r.Grants))
	for _, g := range r.Grants {
		s, found := a.issue.observed[g.Root]
		if !found || s.grant != g {
			s = observedGrant{grant: g, since: now}
		}
		observed[g.Root] = s
	}
	a.issue.observed = observed
}

// applyGrant adjusts an allocation to its grant in the row.
func (l *Ledger) applyGrant(now time.Time, a *account, al *allocation, e Issued) {
	g, found := e.Row.Find(al.key.Root)
	if !found {
		// Other nodes have reclaimed the grant after its lease.
		a.dropLoans(al.key.Root)
		a.drop(now, al)
		return
	}
	record := Allowance{Rate: g.Rate, Capacity: g.Capacity}
	delta := record.minus(al.issued)
	al.issued = record
	al.relinquished.Rate += min(0, delta.Rate)
	al.relinquished.Capacity += min(0, delta.Capacity)
	increase := Allowance{Rate: max(0, delta.Rate), Capacity: max(0, delta.Capacity)}
	if e.Written == al.key.Root {
		al.until = latest(al.until, e.Started.Add(l.lease))
		increase.Tokens = min(increase.Capacity, e.Fresh)
	}
	a.add(now, al, increase)
}

// scheduleIssue computes when the next job is due.
func (l *Ledger) scheduleIssue(now time.Time, a *account) {
	al := a.oldestRootAllocation()
	if al == nil {
		a.issue.due = now.Add(maxPlatformBackoff)
		return
	}
	a.issue.due = al.until.Add(-l.lease + l.lease/leaseDivisor)
	g, _ := a.issue.row.Find(al.key.Root)
	oversized := g.SizedFor.Rate > a.contract.Rate || g.SizedFor.Capacity > a.contract.Capacity
	if !al.relinquished.empty() || oversized && al.debt.empty() {
		a.issue.due = now.Add(minPlatformBackoff)
	}
	if a.issue.due.Before(now) {
		a.issue.due = now
	}
}

// issueFailed schedules a retry with exponential backoff.
func (l *Ledger) issueFailed(now time.Time, e IssueFailed) {
	a, found := l.accounts[e.Organisation]
	if !found || l.leaving {
		return
	}
	a.issue.inFlight = false
	a.issue.backoff = min(max(minPlatformBackoff, 2*a.issue.backoff), maxPlatformBackoff)
	a.issue.due = now.Add(a.issue.backoff)
}
