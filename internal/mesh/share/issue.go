package share

import (
	"slices"
	"time"
)

const (
	// takeInterval is the least time between two takes of what a contract
	// leaves free, so that a shortage costs few writes.
	takeInterval = 5 * time.Second

	// readInterval is the least time between two readings of a row during a
	// shortage, to learn who holds the contract.
	readInterval = 10 * time.Second

	// firstRetry and lastRetry bound the time between attempts to reach the
	// platform.
	firstRetry = 2 * time.Second
	lastRetry  = time.Minute
)

// issue is what an account knows of the platform's row.
type issue struct {
	// at is when the next job is due; zero means that none is.
	at    time.Time
	busy  bool
	pause time.Duration

	// known is true once the row was read.
	known bool
	row   Row

	// read and taken are when the row was last read, and last asked for more.
	read, taken time.Time

	// seen says since when each grant was seen with its nonce.
	seen map[Process]sighting
}

// sighting is a grant and when it was first seen as it is.
type sighting struct {
	grant Grant
	since time.Time
}

// issueNext asks the platform for the first grant, or to renew or change the
// grant that was written longest ago.
func (l *Ledger) issueNext(now time.Time, a *account) {
	a.issue.busy = true
	a.issue.at = now.Add(l.lease / leaseParts)
	c := l.change(now, a)
	o := a.oldestRoot()
	switch {
	case o == nil:
		if l.places == nil || !l.places.holds(a.name) || a.contract.empty() {
			a.issue.busy, a.issue.at = false, time.Time{}
			return
		}
		c.New, c.Want = true, l.part(a)
	default:
		c.Root, c.Want = o.key.Root, o.issued.minus(o.burnt)
		if !o.debt.empty() {
			c.SizedFor = o.issued
			if g, found := a.issue.row.Find(o.key.Root); found {
				c.SizedFor = g.SizedFor
			}
		} else if o.burnt.empty() && o.key.Root == l.self && l.places != nil && l.places.holds(a.name) {
			part := l.part(a)
			c.Want.Rate, c.Want.Capacity = max(c.Want.Rate, part.Rate), max(c.Want.Capacity, part.Capacity)
		}
	}
	l.actions = append(l.actions, Issue{Organisation: a.name, Change: c})
}

// part is what a holder takes of a contract when all zones hold alike.
func (l *Ledger) part(a *account) (p Allowance) {
	n := Amount(l.zones * holdersPerZone)
	return Allowance{Rate: a.contract.Rate / n, Capacity: a.contract.Capacity / n}
}

// takeFree takes what the contract leaves free, when requests here are short
// of it. Zones without nodes leave their parts to the others in this way.
func (l *Ledger) takeFree(now time.Time, a *account) {
	if a.issue.busy || !a.issue.known || l.leaf(a) || l.depth(a) < holderDepth || now.Sub(a.issue.taken) < takeInterval {
		return
	}
	c := l.change(now, a)
	free := a.issue.row.Free(a.contract)
	i := slices.IndexFunc(a.lots, func(o *lot) bool { return o.key == AllocationKey{Root: l.self} })
	switch {
	case free.empty() && now.Sub(a.issue.read) < readInterval:
		return
	case free.empty():
		c.Root = Process{}
	case i < 0:
		c.New, c.Want = true, free
	case !a.lots[i].burnt.empty() || !a.lots[i].debt.empty():
		return
	default:
		c.Want = a.lots[i].issued.plus(free)
	}
	a.issue.taken, a.issue.busy = now, true
	l.actions = append(l.actions, Issue{Organisation: a.name, Change: c})
}

// change returns a change of the own grant that leaves its amount open.
func (l *Ledger) change(now time.Time, a *account) (c Change) {
	return Change{Root: l.self, Owner: l.self.Addr, Contract: a.contract, SizedFor: a.contract, Expired: l.ended(now, a)}
}

// oldestRoot returns the lot whose lease from the platform ends first.
func (a *account) oldestRoot() (o *lot) {
	i := slices.IndexFunc(a.lots, (*lot).root)
	if i < 0 {
		return nil
	}
	return a.lots[i]
}

// ended returns the grants that were not renewed for longer than any lease
// out of them lasts. The time counts from when this node first saw them.
func (l *Ledger) ended(now time.Time, a *account) (grants []Grant) {
	for root, s := range a.issue.seen {
		if root != l.self && now.Sub(s.since) > l.lease+leaseMargin {
			grants = append(grants, s.grant)
		}
	}
	return grants
}

// issued takes in the platform's row.
func (l *Ledger) issued(now time.Time, e Issued) {
	a, found := l.accounts[e.Organisation]
	if !found || l.leaving {
		// A write that was on its way belongs to the heir.
		return
	}
	a.issue.busy, a.issue.pause = false, 0
	a.issue.known, a.issue.row, a.issue.read = true, e.Row, now
	a.sight(now, e.Row)
	if _, found := e.Row.Find(l.self); found {
		// The lot may be new, or its first write may have lost its answer. It
		// admits nothing before a write is known to have taken effect.
		a.lot(now, AllocationKey{Root: l.self}, now, false)
	}
	for _, o := range slices.Clone(a.lots) {
		if o.root() {
			l.fit(now, a, o, e)
		}
	}
	a.sortLots()
	l.lower(now, a)
	l.issueDue(now, a)
	l.advance(now, a)
}

// sight notes since when each grant is as it is.
func (a *account) sight(now time.Time, r Row) {
	seen := make(map[Process]sighting, len(r.Grants))
	for _, g := range r.Grants {
		s, found := a.issue.seen[g.Root]
		if !found || s.grant != g {
			s = sighting{grant: g, since: now}
		}
		seen[g.Root] = s
	}
	a.issue.seen = seen
}

// fit brings a lot to what the row holds for it.
func (l *Ledger) fit(now time.Time, a *account, o *lot, e Issued) {
	g, found := e.Row.Find(o.key.Root)
	if !found {
		// Others have reclaimed the grant after its lease.
		a.forget(o.key.Root)
		a.drop(now, o)
		return
	}
	record := Allowance{Rate: g.Rate, Capacity: g.Capacity}
	delta := record.minus(o.issued)
	o.issued = record
	o.burnt.Rate += min(0, delta.Rate)
	o.burnt.Capacity += min(0, delta.Capacity)
	rise := Allowance{Rate: max(0, delta.Rate), Capacity: max(0, delta.Capacity)}
	if e.Written == o.key.Root {
		o.until = later(o.until, e.Started.Add(l.lease))
		rise.Tokens = min(rise.Capacity, e.Fresh)
	}
	a.add(now, o, rise)
}

// issueDue works out when the next job is due.
func (l *Ledger) issueDue(now time.Time, a *account) {
	o := a.oldestRoot()
	if o == nil {
		a.issue.at = now.Add(lastRetry)
		return
	}
	a.issue.at = o.until.Add(-l.lease + l.lease/leaseParts)
	g, _ := a.issue.row.Find(o.key.Root)
	unfitted := g.SizedFor.Rate > a.contract.Rate || g.SizedFor.Capacity > a.contract.Capacity
	if !o.burnt.empty() || unfitted && o.debt.empty() {
		a.issue.at = now.Add(firstRetry)
	}
	if a.issue.at.Before(now) {
		a.issue.at = now
	}
}

// issueFailed tries again later.
func (l *Ledger) issueFailed(now time.Time, e IssueFailed) {
	a, found := l.accounts[e.Organisation]
	if !found || l.leaving {
		return
	}
	a.issue.busy = false
	a.issue.pause = min(max(firstRetry, 2*a.issue.pause), lastRetry)
	a.issue.at = now.Add(a.issue.pause)
}
