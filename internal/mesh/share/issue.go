package share

import (
	"slices"
	"time"
)

const (
	// growInterval is the least time between two takes of what a contract
	// leaves free, so that a shortage costs few writes.
	growInterval = 5 * time.Second

	// rowReadInterval is the least time between two readings of a row during a
	// shortage, to learn who holds the contract.
	rowReadInterval = 10 * time.Second

	// minPlatformBackoff and lastRetry bound the time between attempts to reach the
	// platform.
	minPlatformBackoff = 2 * time.Second
	maxPlatformBackoff = time.Minute
)

// issueState is what an account knows of the platform's row.
type issueState struct {
	// due is when the next job is due; zero means that none is.
	due      time.Time
	inFlight bool
	backoff  time.Duration

	// known is true once the row was read.
	known bool
	row   Row

	// readAt and grownAt are when the row was last readAt, and last asked for more.
	readAt, grownAt time.Time

	// observed says since when each grant was observed with its nonce.
	observed map[Process]observedGrant
}

// observedGrant is a grant and when it was first seen as it is.
type observedGrant struct {
	grant Grant
	since time.Time
}

// issueNext asks the platform for the first grant, or to renew or change the
// grant that was written longest ago.
func (l *Ledger) issueNext(now time.Time, a *account) {
	a.issue.inFlight = true
	a.issue.due = now.Add(l.lease / leaseDivisor)
	c := l.change(now, a)
	o := a.oldestRootAllocation()
	switch {
	case o == nil:
		if l.places == nil || !l.places.holds(a.name) || a.contract.empty() {
			a.issue.inFlight, a.issue.due = false, time.Time{}
			return
		}
		c.New, c.Want = true, l.zoneShare(a)
	default:
		c.Root, c.Want = o.key.Root, o.issued.minus(o.relinquished)
		if !o.debt.empty() {
			c.SizedFor = o.issued
			if g, found := a.issue.row.Find(o.key.Root); found {
				c.SizedFor = g.SizedFor
			}
		} else if o.relinquished.empty() && o.key.Root == l.self && l.places != nil && l.places.holds(a.name) {
			part := l.zoneShare(a)
			c.Want.Rate, c.Want.Capacity = max(c.Want.Rate, part.Rate), max(c.Want.Capacity, part.Capacity)
		}
	}
	l.actions = append(l.actions, Issue{Organisation: a.name, Change: c})
}

// zoneShare is what a holder takes of a contract when all zones hold alike.
func (l *Ledger) zoneShare(a *account) (p Allowance) {
	n := Amount(l.zones * holdersPerZone)
	return Allowance{Rate: a.contract.Rate / n, Capacity: a.contract.Capacity / n}
}

// growGrant takes what the contract leaves free, when requests here are short
// of it. Zones without nodes leave their parts to the others in this way.
func (l *Ledger) growGrant(now time.Time, a *account) {
	if a.issue.inFlight || !a.issue.known || l.leaf(a) || l.hopLimit(a) < holderHopLimit || now.Sub(a.issue.grownAt) < growInterval {
		return
	}
	c := l.change(now, a)
	free := a.issue.row.Free(a.contract)
	i := slices.IndexFunc(a.allocations, func(o *allocation) bool { return o.key == AllocationKey{Root: l.self} })
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

// change returns a change of the own grant that leaves its amount open.
func (l *Ledger) change(now time.Time, a *account) (c Change) {
	return Change{Root: l.self, Owner: l.self.Addr, Contract: a.contract, SizedFor: a.contract, Expired: l.expiredGrants(now, a)}
}

// oldestRootAllocation returns the lot whose lease from the platform ends first.
func (a *account) oldestRootAllocation() (o *allocation) {
	i := slices.IndexFunc(a.allocations, (*allocation).isRoot)
	if i < 0 {
		return nil
	}
	return a.allocations[i]
}

// expiredGrants returns the grants that were not renewed for longer than any lease
// out of them lasts. The time counts from when this node first saw them.
func (l *Ledger) expiredGrants(now time.Time, a *account) (grants []Grant) {
	for root, s := range a.issue.observed {
		if root != l.self && now.Sub(s.since) > l.lease+leaseMargin {
			grants = append(grants, s.grant)
		}
	}
	return grants
}

// rowRead takes in the platform's row.
func (l *Ledger) rowRead(now time.Time, e Issued) {
	a, found := l.accounts[e.Organisation]
	if !found || l.leaving {
		// A write that was on its way belongs to the heir.
		return
	}
	a.issue.inFlight, a.issue.backoff = false, 0
	a.issue.known, a.issue.row, a.issue.readAt = true, e.Row, now
	a.observeGrants(now, e.Row)
	if _, found := e.Row.Find(l.self); found {
		// The lot may be new, or its first write may have lost its answer. It
		// admits nothing before a write is known to have taken effect.
		a.openAllocation(now, AllocationKey{Root: l.self}, now, false)
	}
	for _, o := range slices.Clone(a.allocations) {
		if o.isRoot() {
			l.applyGrant(now, a, o, e)
		}
	}
	a.sortAllocations()
	l.reclaimExcess(now, a)
	l.scheduleIssue(now, a)
	l.processQueue(now, a)
}

// observeGrants notes since when each grant is as it is.
func (a *account) observeGrants(now time.Time, r Row) {
	seen := make(map[Process]observedGrant, len(r.Grants))
	for _, g := range r.Grants {
		s, found := a.issue.observed[g.Root]
		if !found || s.grant != g {
			s = observedGrant{grant: g, since: now}
		}
		seen[g.Root] = s
	}
	a.issue.observed = seen
}

// applyGrant brings a lot to what the row holds for it.
func (l *Ledger) applyGrant(now time.Time, a *account, o *allocation, e Issued) {
	g, found := e.Row.Find(o.key.Root)
	if !found {
		// Others have reclaimed the grant after its lease.
		a.dropLoans(o.key.Root)
		a.drop(now, o)
		return
	}
	record := Allowance{Rate: g.Rate, Capacity: g.Capacity}
	delta := record.minus(o.issued)
	o.issued = record
	o.relinquished.Rate += min(0, delta.Rate)
	o.relinquished.Capacity += min(0, delta.Capacity)
	rise := Allowance{Rate: max(0, delta.Rate), Capacity: max(0, delta.Capacity)}
	if e.Written == o.key.Root {
		o.until = latest(o.until, e.Started.Add(l.lease))
		rise.Tokens = min(rise.Capacity, e.Fresh)
	}
	a.add(now, o, rise)
}

// scheduleIssue works out when the next job is due.
func (l *Ledger) scheduleIssue(now time.Time, a *account) {
	o := a.oldestRootAllocation()
	if o == nil {
		a.issue.due = now.Add(maxPlatformBackoff)
		return
	}
	a.issue.due = o.until.Add(-l.lease + l.lease/leaseDivisor)
	g, _ := a.issue.row.Find(o.key.Root)
	oversized := g.SizedFor.Rate > a.contract.Rate || g.SizedFor.Capacity > a.contract.Capacity
	if !o.relinquished.empty() || oversized && o.debt.empty() {
		a.issue.due = now.Add(minPlatformBackoff)
	}
	if a.issue.due.Before(now) {
		a.issue.due = now
	}
}

// issueFailed tries again later.
func (l *Ledger) issueFailed(now time.Time, e IssueFailed) {
	a, found := l.accounts[e.Organisation]
	if !found || l.leaving {
		return
	}
	a.issue.inFlight = false
	a.issue.backoff = min(max(minPlatformBackoff, 2*a.issue.backoff), maxPlatformBackoff)
	a.issue.due = now.Add(a.issue.backoff)
}
