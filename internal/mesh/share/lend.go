package share

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// hedgeDelay is how long a round waits for answers before it asks further peers.
	hedgeDelay = 20 * time.Millisecond

	// minRoundBackoff and maxRoundBackoff bound the backoff between rounds that obtained no
	// tokens. The upper bound limits a node to a few messages a second about an exhausted
	// contract.
	minRoundBackoff = 25 * time.Millisecond
	maxRoundBackoff = time.Second

	// holderFanout is the number of peers that a holder asks in parallel.
	holderFanout = 6

	// maxBorrowersAsked is the maximum number of borrowers asked in one round.
	maxBorrowersAsked = 4

	// maxBorrowersRecalled is the maximum number of borrowers that a lowered contract is
	// recalled from at a time.
	maxBorrowersRecalled = 32

	// holderHopLimit lets a request of a holder reach the borrowers of holders in other zones.
	// leafHopLimit does the same for a request of any other node, which starts one hop further
	// away.
	holderHopLimit = 2
	leafHopLimit   = 3

	// minOwnBurst is the minimum amount of the burst that a node keeps as a share of its own.
	minOwnBurst = 4 * One

	// maxMissedArrivals is the number of requests that must fail to arrive, at the measured
	// rate, before the demand counts as zero.
	maxMissedArrivals = 3 * One

	// minTransfer is the minimum amount of requests whose transfer justifies a message.
	minTransfer = One / 4
)

// round is one pass over the peers to borrow tokens for the queued requests.
type round struct {
	// candidates are the peers that are still to be asked. It is empty between rounds.
	candidates []netip.AddrPort

	// outstanding is the number of peers that were asked and have not answered.
	outstanding int

	// stepAt is when further peers are asked or the next round starts.
	stepAt  time.Time
	backoff time.Duration
	number  int
}

// processQueue serves queued requests as far as tokens allow, refuses those whose wait has
// timed out, and asks peers for tokens for the rest.
func (l *Ledger) processQueue(now time.Time, a *account) {
	served := l.serveQueue(now, a)
	if served && len(a.queue) == 0 {
		a.round.candidates, a.round.outstanding = nil, 0
		return
	}
	a.queue = slices.DeleteFunc(a.queue, func(w waiter) (expired bool) {
		if w.until.After(now) {
			return false
		}
		l.refuse(a, w)
		return true
	})
	if len(a.queue) == 0 {
		// The peers asked so far did not answer in time. The next queued request continues
		// with the remaining candidates.
		a.round.outstanding = 0
		return
	}
	if !a.round.stepAt.After(now) {
		l.stepRound(now, a)
	}
}

// refuse refuses a queued request, or declines that of a peer.
func (l *Ledger) refuse(a *account, w waiter) {
	if w.peer.IsValid() {
		b := l.batchFor(w.peer)
		b.Declined = append(b.Declined, a.name)
		return
	}
	l.actions = append(l.actions, Decide{Ticket: w.ticket})
}

// serveQueue serves requests in queue order. It reports whether the last one that it removed
// received all that it needed.
func (l *Ledger) serveQueue(now time.Time, a *account) (served bool) {
	for len(a.queue) > 0 {
		w := a.queue[0]
		switch {
		case !w.until.After(now):
			l.refuse(a, w)
			served = false
		case w.peer.IsValid():
			enough := a.total(now).Tokens >= w.request.Need
			if !l.lendOrReturn(now, a, w.peer, w.request) {
				return served
			}
			served = enough
		case a.take(now):
			l.actions = append(l.actions, Decide{Ticket: w.ticket, Admitted: true})
			served = true
		default:
			return served
		}
		a.queue = a.queue[1:]
	}
	return served
}

// stepRound asks the next candidates, or ends the round and backs off when none is left.
func (l *Ledger) stepRound(now time.Time, a *account) {
	r := &a.round
	if len(r.candidates) == 0 && r.outstanding == 0 {
		r.number++
		r.candidates = l.candidates(now, a)
		l.growGrant(now, a)
	}
	if len(r.candidates) == 0 {
		r.outstanding = 0
		r.backoff = min(max(minRoundBackoff, 2*r.backoff), maxRoundBackoff)
		r.stepAt = now.Add(r.backoff)
		return
	}
	fanout := holderFanout
	if l.leaf(a) {
		fanout = 1
	}
	n := min(fanout, len(r.candidates))
	for _, to := range r.candidates[:n] {
		l.requestFrom(now, a, to)
	}
	r.candidates = r.candidates[n:]
	r.outstanding += n
	r.stepAt = now.Add(hedgeDelay)
}

// hopLimit returns the largest hop limit among the queued requests.
func (l *Ledger) hopLimit(a *account) (limit int) {
	for _, w := range a.queue {
		if !w.peer.IsValid() && l.leaf(a) {
			return leafHopLimit
		}
		if !w.peer.IsValid() {
			return holderHopLimit
		}
		limit = max(limit, w.request.HopLimit)
	}
	return limit
}

// leaf reports whether this node only borrows for its own requests and does not lend.
func (l *Ledger) leaf(a *account) (leaf bool) {
	if l.placement == nil || l.placement.holds(a.name) || len(a.loans) > 0 {
		return false
	}
	return !slices.ContainsFunc(a.allocations, func(al *allocation) bool { return !al.leaf })
}

// candidates returns the peers to ask, in order: holders of this zone, borrowers, holders of
// other zones. Peers that failed recently come last.
func (l *Ledger) candidates(now time.Time, a *account) (order []netip.AddrPort) {
	if l.placement == nil {
		return nil
	}
	byZone := l.placement.holders(a.name)
	hops := l.hopLimit(a)
	if l.leaf(a) {
		order = rotate(byZone[0], int(l.self.Addr.Port())+int(l.self.Addr.Addr().As16()[15])+a.round.number-1)
		order = append(order, interleaveZones(byZone[1:], a.round.number, 1)...)
	} else {
		if hops > 1 {
			order = append(order, byZone[0]...)
		}
		order = append(order, a.borrowers(a.round.number, maxBorrowersAsked)...)
		if hops > 1 {
			order = append(order, interleaveZones(byZone[1:], a.round.number, holdersPerZone)...)
			order = append(order, l.grantOwners(a)...)
		}
	}
	return l.filterCandidates(now, order)
}

// grantOwners returns the live hosts that own grants in the platform's row. Some of them are
// not holders in the current placement.
func (l *Ledger) grantOwners(a *account) (addrs []netip.AddrPort) {
	for _, g := range a.issue.row.Grants {
		if l.placement.alive[g.Owner] {
			addrs = append(addrs, g.Owner)
		}
	}
	return addrs
}

// filterCandidates removes duplicates and this node, and moves peers that failed recently to
// the end.
func (l *Ledger) filterCandidates(now time.Time, addrs []netip.AddrPort) (order []netip.AddrPort) {
	var avoided []netip.AddrPort
	for _, to := range addrs {
		switch {
		case to == l.self.Addr, slices.Contains(order, to), slices.Contains(avoided, to):
		case l.peer(to).avoidUntil.After(now):
			avoided = append(avoided, to)
		default:
			order = append(order, to)
		}
	}
	return append(order, avoided...)
}

// interleaveZones returns up to perZone holders of each zone: first the first holder of every
// zone, then the second ones. The round number rotates the zones.
func interleaveZones(byZone [][]netip.AddrPort, number, perZone int) (addrs []netip.AddrPort) {
	zones := slices.Clone(byZone)
	if len(zones) > 0 {
		n := number % len(zones)
		zones = append(zones[n:], zones[:n]...)
	}
	for i := range perZone {
		for _, zone := range zones {
			if i < len(zone) {
				addrs = append(addrs, zone[i])
			}
		}
	}
	return addrs
}

func rotate(addrs []netip.AddrPort, by int) (rotated []netip.AddrPort) {
	if len(addrs) == 0 {
		return nil
	}
	n := by % len(addrs)
	return append(slices.Clone(addrs[n:]), addrs[:n]...)
}

// borrowers returns up to count borrowers, in general those with the largest loans.
func (a *account) borrowers(number, count int) (addrs []netip.AddrPort) {
	type lentAllowance struct {
		addr      netip.AddrPort
		allowance Allowance
	}
	var all []lentAllowance
	for k, n := range a.loans {
		all = append(all, lentAllowance{addr: k.borrower.Addr, allowance: n.allowance})
	}
	slices.SortFunc(all, func(x, y lentAllowance) int {
		if d := cmp.Compare(y.allowance.Capacity+y.allowance.Rate, x.allowance.Capacity+x.allowance.Rate); d != 0 {
			return d
		}
		return x.addr.Compare(y.addr)
	})
	// Every second round rotates through all borrowers, since the largest ones may use all
	// that they hold.
	if number%2 == 0 && len(all) > count {
		n := number / 2 * count % len(all)
		all = append(all[n:], all[:n]...)
	}
	for _, h := range all[:min(len(all), count)] {
		addrs = append(addrs, h.addr)
	}
	return addrs
}

// requestFrom asks a peer for tokens for the queued requests. If the peer is a lender, it is
// also returned the capacity that is unused here.
func (l *Ledger) requestFrom(now time.Time, a *account, to netip.AddrPort) {
	t := a.total(now)
	demand, rate := a.demand.current(now), t.Rate
	for _, w := range a.queue {
		demand, rate = demand+w.request.Demand, rate+w.request.Rate
	}
	b := l.batchFor(to)
	b.Requests = append(b.Requests, AllowanceRequest{
		Organisation: a.name,
		Need:         max(minTransfer, a.tokensNeeded()-t.Tokens),
		Demand:       demand,
		Rate:         rate,
		HopLimit:     l.hopLimit(a) - 1,
		Leaf:         l.leaf(a),
		Timeout:      a.longestWait(now),
	})
	for _, al := range a.allocations {
		if al.key.Lender.Addr == to {
			l.returnToLender(now, a, al, a.unusedCapacity(now))
		}
	}
}

// tokensNeeded returns the number of tokens that all queued requests need.
func (a *account) tokensNeeded() (sum Amount) {
	for _, w := range a.queue {
		if w.peer.IsValid() {
			sum += w.request.Need
		} else {
			sum += One
		}
	}
	return sum
}

func (a *account) longestWait(now time.Time) (wait time.Duration) {
	for _, w := range a.queue {
		wait = max(wait, w.until.Sub(now))
	}
	return wait
}

// handleRequest answers the request of a peer at once, or queues it when this node may forward
// it.
func (l *Ledger) handleRequest(now time.Time, from netip.AddrPort, k AllowanceRequest) {
	a, found := l.accounts[k.Organisation]
	if !found || l.leaving {
		l.decline(from, k.Organisation)
		return
	}
	a.queue = slices.DeleteFunc(a.queue, func(w waiter) bool { return w.peer == from })
	if (len(a.queue) == 0 || k.Recall) && l.lendOrReturn(now, a, from, k) {
		return
	}
	if k.HopLimit == 0 || len(a.queue) >= maxQueued || l.leaf(a) {
		l.decline(from, k.Organisation)
		return
	}
	a.queue = append(a.queue, waiter{peer: from, request: k, until: now.Add(min(k.Timeout, maxWait))})
	l.processQueue(now, a)
}

func (l *Ledger) decline(to netip.AddrPort, organisation mesh.OrganisationName) {
	b := l.batchFor(to)
	b.Declined = append(b.Declined, organisation)
}

// lendOrReturn transfers spare allowance to a peer that asked for it, and reports whether
// there was any. The allocation is debited before the transfer is created, so that the
// invariants of both sides hold after every step.
func (l *Ledger) lendOrReturn(now time.Time, a *account, to netip.AddrPort, k AllowanceRequest) (sent bool) {
	var sources []*allocation
	var all Allowance
	for _, al := range a.allocations {
		if l.mayTransfer(now, a, al, to, k) {
			sources = append(sources, al)
			all = all.plus(Allowance{Rate: al.rate, Capacity: al.capacity})
		}
	}
	all.Tokens = min(a.total(now).Tokens, all.Capacity)
	want := a.offer(now, all, k)
	if !k.Recall && want.Tokens < min(k.Need, minTransfer) && want.Rate < minTransfer {
		return false
	}
	for _, al := range sources {
		request := want
		if al.key.Lender.Addr == to {
			request.Capacity = max(request.Capacity, a.unusedCapacity(now).Capacity)
		}
		amount := a.split(now, al, request)
		if amount.empty() {
			continue
		}
		l.move(now, a, al, to, amount, k.Leaf)
		want.Rate, want.Capacity = want.Rate-amount.Rate, max(0, want.Capacity-amount.Capacity)
		want.Tokens = max(0, want.Tokens-amount.Tokens)
		sent = true
	}
	return sent
}

// mayTransfer reports whether allowance from the allocation may go to the peer: as a return to
// its lender, as a loan to a node that does not lend, or as a loan from an allocation granted
// by the platform. These rules keep chains of loans short, so that a lender knows when all
// parts of a loan have expired.
func (l *Ledger) mayTransfer(now time.Time, a *account, al *allocation, to netip.AddrPort, k AllowanceRequest) (may bool) {
	if !al.until.After(now) {
		return false
	}
	if al.key.Lender.Addr == to {
		return al.key.Lender.Incarnation == l.peer(to).incarnation
	}
	if al.leaf || k.Recall || al.until.Sub(now) < l.lease/leaseDivisor {
		return false
	}
	key := loanKey{borrower: Process{Addr: to, Incarnation: l.peer(to).incarnation}, root: al.key.Root}
	if n, found := a.loans[key]; found && !n.until.After(now) {
		return false
	}
	return al.isRoot() || k.Leaf
}

// offer returns how much of the available allowance to transfer. When tokens are in use here,
// up to half of them are kept, so that two busy nodes share them.
func (a *account) offer(now time.Time, all Allowance, k AllowanceRequest) (want Allowance) {
	if k.Recall {
		return Allowance{Rate: min(all.Rate, k.Demand), Capacity: min(all.Capacity, k.Need)}
	}
	own := a.demand.current(now)
	spare := all.Tokens - min(all.Tokens/2, own/2)
	want.Tokens = min(spare, k.Need)
	if a.needsOwnShare(k.Demand) {
		prefetch := min(k.Demand, spare/4)
		want.Tokens = min(spare, max(k.Need, prefetch))
		want.Rate = min(max(0, all.Rate-own-own/4), max(0, k.Demand+k.Demand/2-k.Rate))
	}
	rest := all.Capacity - (all.Tokens - want.Tokens)
	reserved := min(rest-want.Tokens, (all.Rate-want.Rate)/4)
	want.Capacity = min(rest-reserved, want.Tokens+want.Rate/2)
	return want
}

// current returns the arrival rate including the requests since the last update. After a gap
// of several arrivals it is zero, so that shares follow at once when the demand moves to other
// nodes.
func (d *demand) current(now time.Time) (rate Amount) {
	if gap := now.Sub(d.last); gap > 0 && d.rate.scale(Amount(gap), Amount(time.Second)) > maxMissedArrivals {
		return 0
	}
	elapsed := max(now.Sub(d.countStart), maintainInterval)
	recent := (Amount(d.count) * One).scale(Amount(time.Second), Amount(elapsed))
	return max(d.rate, recent)
}
