package share

import (
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// leaseParts says in which part of a lease a holder renews it. A lot is
	// returned and no longer lent when less than this part is left.
	leaseParts = 4

	// leastEmpty and leastExcess say which parts of a capacity and of a rate
	// are worth a message to return them.
	leastEmpty  = 4
	leastExcess = 16

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
	seen map[Holder]sighting
}

// sighting is a grant and when it was first seen as it is.
type sighting struct {
	grant Grant
	since time.Time
}

// configure brings the contracts in force. A lowered contract is given up at
// once as far as it is held here.
func (l *Ledger) configure(now time.Time, e Configured) {
	l.zones, l.lease = max(1, e.Zones), e.Lease
	for name := range e.Contracts {
		if _, found := l.accounts[name]; !found {
			l.accounts[name] = &account{
				name: name, loans: make(map[loanKey]*loan), issue: issue{seen: make(map[Holder]sighting)},
			}
			l.names = append(l.names, name)
		}
	}
	slices.Sort(l.names)
	for _, name := range l.names {
		// A contract that no longer exists counts as one of nothing.
		c := e.Contracts[name]
		l.setContract(now, l.accounts[name], Parcel{Rate: FromRequests(c.Rate), Capacity: FromRequests(c.Burst)})
	}
	l.greet()
}

// greet tells the holders of the zone that this life has begun, which proves
// to them that earlier lives hold nothing any more.
func (l *Ledger) greet() {
	if l.places == nil {
		return
	}
	for _, name := range l.names {
		for _, to := range l.places.holders(name)[0] {
			if to != l.self.Addr && l.peer(to).life == 0 {
				l.to(to)
			}
		}
	}
}

func (l *Ledger) setContract(now time.Time, a *account, contract Parcel) {
	if a.contract == contract {
		return
	}
	a.contract = contract
	l.lower(now, a)
	if !l.leaving {
		a.issue.at = now
		a.careAt = now
	}
}

// lower gives up what the contract no longer covers.
func (l *Ledger) lower(now time.Time, a *account) {
	for _, o := range a.lots {
		if _, found := a.issue.row.Find(o.key.Root); !found || !o.root() {
			continue
		}
		target := a.issue.row.lowered(o.key.Root, a.contract)
		excess := o.issued.minus(o.burnt).minus(target)
		o.debt = Parcel{Rate: max(0, excess.Rate), Capacity: max(0, excess.Capacity)}
		a.settle(now, o)
	}
}

// Pending returns the part of the lowered contracts that this node still has
// to collect from its borrowers, or to strike from the platform's row.
func (l *Ledger) Pending(name mesh.OrganisationName) (p Parcel) {
	a, found := l.accounts[name]
	if !found {
		return Parcel{}
	}
	for _, o := range a.lots {
		p = p.plus(o.debt).plus(o.burnt)
	}
	excess := a.issue.row.Sum().minus(a.contract)
	p.Rate, p.Capacity = max(p.Rate, excess.Rate), max(p.Capacity, excess.Capacity)
	return p
}

// Organisations returns the names of all accounts.
func (l *Ledger) Organisations() (names []mesh.OrganisationName) { return l.names }

// Held returns what this node holds of a contract.
func (l *Ledger) Held(now time.Time, name mesh.OrganisationName) (p Parcel) {
	if a, found := l.accounts[name]; found {
		p = a.total(now)
	}
	return p
}

// Settled reports whether every transfer was acknowledged or given up.
func (l *Ledger) Settled() (settled bool) {
	for _, p := range l.busy {
		if len(p.pending) > 0 {
			return false
		}
	}
	return true
}

// endLeases removes lots whose lease has ended and restores loans. A lot that
// the platform issued stays, unused, until the platform renews or reclaims it.
func (l *Ledger) endLeases(now time.Time, a *account) {
	a.lots = slices.DeleteFunc(a.lots, func(o *lot) (over bool) {
		if o.root() || o.until.After(now) && (o.rate+o.capacity > 0 || a.lends(o)) {
			return false
		}
		if !o.leaf {
			a.forget(o.key.Root)
		}
		return true
	})
	for k, n := range a.loans {
		if !n.end.After(now) {
			l.restore(now, a, k, n)
		}
	}
}

// lends reports whether loans out of the lot are open.
func (a *account) lends(o *lot) (open bool) {
	for k := range a.loans {
		if k.root == o.key.Root && !o.leaf {
			return true
		}
	}
	return false
}

// forget drops the loans out of a lot that has ended. Their parts have ended
// with it.
func (a *account) forget(root Holder) {
	for k := range a.loans {
		if k.root == root {
			delete(a.loans, k)
		}
	}
}

// care measures demand, returns what is not used and asks the platform for
// what is due.
func (l *Ledger) care(now time.Time, a *account) {
	if !a.issue.at.IsZero() && !a.issue.at.After(now) && !a.issue.busy {
		l.issueNext(now, a)
	}
	if a.careAt.IsZero() || a.careAt.After(now) {
		return
	}
	a.demand.roll(now)
	a.careAt = now.Add(careInterval)
	if len(a.waiting) == 0 {
		l.returnUnused(now, a)
	}
	l.recall(a)
	l.holderDuties(now, a)
	if len(a.lots)+len(a.loans)+len(a.waiting) == 0 && a.demand.rate == 0 && (l.places == nil || !l.places.holds(a.name)) {
		a.careAt = time.Time{}
	}
}

// holderDuties starts the first take of a node that became a holder.
func (l *Ledger) holderDuties(now time.Time, a *account) {
	if a.issue.at.IsZero() && l.places != nil && l.places.holds(a.name) && !l.leaving {
		a.issue.at = now
		l.issueNext(now, a)
	}
}

// recall asks borrowers to return what a lowered contract demands.
func (l *Ledger) recall(a *account) {
	var debt Parcel
	for _, o := range a.lots {
		debt = debt.plus(o.debt)
	}
	if debt.empty() {
		return
	}
	a.round.number++
	for _, to := range a.borrowers(a.round.number, borrowersRecalled) {
		b := l.to(to)
		b.Asks = append(b.Asks, Ask{Organisation: a.name, Need: debt.Capacity, Demand: debt.Rate, Recall: true})
	}
}

// returnUnused returns borrowed lots that are near their end or exceed what
// the demand here needs.
func (l *Ledger) returnUnused(now time.Time, a *account) {
	total := a.total(now)
	excess := total.minus(a.keep(total))
	excess = Parcel{Rate: max(0, excess.Rate), Capacity: max(0, excess.Capacity), Tokens: max(0, excess.Tokens)}
	if excess.Rate < total.Rate/leastExcess {
		excess.Rate = 0
	}
	if excess.Capacity < total.Capacity/leastEmpty {
		excess.Capacity, excess.Tokens = 0, 0
	}
	for _, o := range slices.Backward(a.lots) {
		switch {
		case o.root():
		case o.until.Sub(now) < l.lease/(2*leaseParts):
			l.giveBack(now, a, o, Parcel{Rate: o.rate, Capacity: o.capacity})
		case !excess.empty():
			gone := l.giveBack(now, a, o, excess)
			excess.Rate -= gone.Rate
			excess.Capacity -= gone.Capacity
			excess.Tokens = max(0, excess.Tokens-gone.Tokens)
		}
	}
}

// keep returns what the demand of a node can use.
func (a *account) keep(total Parcel) (kept Parcel) {
	if !a.keeps(a.demand.rate) {
		return Parcel{}
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

// keeps reports whether a node with this demand keeps a share of its own. Its
// part of the burst, by its part of the rate, must hold a few requests: in
// smaller parts the burst would lie in fractions of a token that admit nobody.
// Below that, requests draw their tokens from the holders one by one.
func (a *account) keeps(demand Amount) (keeps bool) {
	if demand == 0 || a.contract.Rate == 0 {
		return false
	}
	return a.contract.Capacity.scale(demand, a.contract.Rate) >= leastKept
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
			c.Under = o.issued
			if g, found := a.issue.row.Find(o.key.Root); found {
				c.Under = g.Under
			}
		} else if o.burnt.empty() && o.key.Root == l.self && l.places != nil && l.places.holds(a.name) {
			part := l.part(a)
			c.Want.Rate, c.Want.Capacity = max(c.Want.Rate, part.Rate), max(c.Want.Capacity, part.Capacity)
		}
	}
	l.actions = append(l.actions, Issue{Organisation: a.name, Change: c})
}

// part is what a holder takes of a contract when all zones hold alike.
func (l *Ledger) part(a *account) (p Parcel) {
	n := Amount(l.zones * holdersPerZone)
	return Parcel{Rate: a.contract.Rate / n, Capacity: a.contract.Capacity / n}
}

// takeFree takes what the contract leaves free, when requests here are short
// of it. Zones without nodes leave their parts to the others in this way.
func (l *Ledger) takeFree(now time.Time, a *account) {
	if a.issue.busy || !a.issue.known || l.leaf(a) || l.depth(a) < holderDepth || now.Sub(a.issue.taken) < takeInterval {
		return
	}
	c := l.change(now, a)
	free := a.issue.row.Free(a.contract)
	i := slices.IndexFunc(a.lots, func(o *lot) bool { return o.key == Key{Root: l.self} })
	switch {
	case free.empty() && now.Sub(a.issue.read) < readInterval:
		return
	case free.empty():
		c.Root = Holder{}
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
	return Change{Root: l.self, Keeper: l.self.Addr, Contract: a.contract, Under: a.contract, Ended: l.ended(now, a)}
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
		a.lot(now, Key{Root: l.self}, now, false)
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
	seen := make(map[Holder]sighting, len(r.Grants))
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
	record := Parcel{Rate: g.Rate, Capacity: g.Capacity}
	delta := record.minus(o.issued)
	o.issued = record
	o.burnt.Rate += min(0, delta.Rate)
	o.burnt.Capacity += min(0, delta.Capacity)
	rise := Parcel{Rate: max(0, delta.Rate), Capacity: max(0, delta.Capacity)}
	if e.Written == o.key.Root {
		o.until = later(o.until, e.Asked.Add(l.lease))
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
	unfitted := g.Under.Rate > a.contract.Rate || g.Under.Capacity > a.contract.Capacity
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

// leave gives all shares away: borrowed lots to their lenders, and lots that
// the platform issued, with the loans out of them, to an heir.
func (l *Ledger) leave(now time.Time) {
	l.leaving, l.left = true, now
	for _, name := range l.names {
		a := l.accounts[name]
		for _, w := range a.waiting {
			l.turnAway(a, w)
		}
		a.waiting, a.issue.at = nil, time.Time{}
		for _, o := range slices.Clone(a.lots) {
			if o.root() {
				l.handOver(now, a, o)
			} else {
				l.giveBack(now, a, o, Parcel{Rate: o.rate, Capacity: o.capacity, Tokens: o.capacity})
			}
		}
	}
}

// handOver passes a lot on to the heir. When nothing was heard of the heir
// yet, it is greeted first, and its answer names its life.
func (l *Ledger) handOver(now time.Time, a *account, o *lot) {
	if l.places == nil || !o.until.After(now) {
		return
	}
	heir, found := l.places.heir(a.name)
	if !found {
		return
	}
	p := l.peer(heir)
	if p.life == 0 {
		l.to(heir)
		return
	}
	t := Transfer{
		Organisation: a.name, Kind: HandOver, Life: p.life, Root: o.key.Root,
		Parcel: a.split(now, o, Parcel{Rate: o.rate, Capacity: o.capacity, Tokens: o.capacity}),
		Issued: o.issued, Burnt: o.burnt,
	}
	for k, n := range a.loans {
		if k.root == o.key.Root {
			t.Loans = append(t.Loans, LoanRow{Borrower: k.borrower, Parcel: n.parcel, Left: n.end.Sub(now)})
		}
	}
	a.forget(o.key.Root)
	a.drop(now, o)
	l.post(now, heir, t, o.until)
}

// applyHandOver makes this node the holder of a lot of a node that leaves.
func (l *Ledger) applyHandOver(now time.Time, a *account, _ Holder, t Transfer) (applied bool) {
	if _, found := a.source(t.Root); found || l.leaving || t.Lease <= 0 {
		return false
	}
	o := a.lot(now, Key{Root: t.Root}, now.Add(t.Lease), false)
	a.add(now, o, t.Parcel)
	o.issued, o.burnt = t.Issued, t.Burnt
	for _, r := range t.Loans {
		// Loans of a predecessor are restored by time only: a later life of
		// the borrower may be known here already.
		end := now.Add(r.Left + leaseMargin)
		a.loans[loanKey{borrower: r.Borrower, root: t.Root}] = &loan{parcel: r.Parcel, until: now, end: end}
	}
	a.issue.at = now
	a.careAt = now.Add(careInterval)
	l.lower(now, a)
	return true
}

// Left reports whether a node that leaves has given everything away. Lots that
// nobody can take return when their lease ends.
func (l *Ledger) Left() (left bool) {
	if !l.leaving || !l.Settled() {
		return false
	}
	for _, a := range l.accounts {
		for _, o := range a.lots {
			if _, found := l.places.heir(a.name); found && o.root() && o.until.After(l.left) {
				return false
			}
		}
	}
	return true
}
