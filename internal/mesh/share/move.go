package share

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// peer is the state of the exchange with the node at one address.
type peer struct {
	// incarnation is the highest incarnation seen. Messages of earlier ones are dropped.
	incarnation mesh.Incarnation

	// nextID is the ID of the next transfer to the peer.
	nextID uint64

	// pending holds the transfers that the peer has not acknowledged, by ID.
	pending map[uint64]*pending

	// floor is the lowest ID that the peer may still resend. seen holds the IDs from floor on
	// that were processed: true when applied, false when denied.
	floor uint64
	seen  map[uint64]bool

	// acks and denied are delayed until ackAt, to be piggybacked on another message.
	acks, denied []uint64
	ackAt        time.Time

	avoidUntil time.Time
}

// pending is a transfer that was debited and is not acknowledged.
type pending struct {
	transfer Transfer
	sendAt   time.Time
	backoff  time.Duration

	// expires is when resending stops. The receiver cannot apply the transfer later, since its
	// lease has ended.
	expires time.Time
}

// loanKey identifies a loan. A borrower has at most one allocation of each root from this
// node.
type loanKey struct {
	borrower Process
	root     Process
}

// loan is the allowance lent to a borrower, including transfers in flight to or from it.
type loan struct {
	// allowance has no tokens, since the borrower may have spent them.
	allowance Allowance

	// until is when the borrower stops using the loan. After it the loan is not increased, so
	// that it can be reclaimed at end.
	until time.Time

	// end is when no message about the loan can be in flight any more.
	end time.Time

	// leaf is true while the borrower may not lend any part of the loan to others.
	leaf bool
}

func (l *Ledger) peer(addr netip.AddrPort) (p *peer) {
	p, found := l.peers[addr]
	if !found {
		p = &peer{nextID: 1, pending: make(map[uint64]*pending), seen: make(map[uint64]bool)}
		l.peers[addr] = p
	}
	return p
}

// move transfers an allowance that was split from the allocation: as a return when the peer is
// its lender, otherwise as a loan.
func (l *Ledger) move(now time.Time, a *account, al *allocation, to netip.AddrPort, amount Allowance, leaf bool) {
	t := Transfer{Organisation: a.name, Root: al.key.Root, Allowance: amount}
	if al.key.Lender.Addr == to {
		t.Kind, t.ReceiverIncarnation = Return, al.key.Lender.Incarnation
		l.startTransfer(now, to, t, al.until)
		return
	}
	t.ReceiverIncarnation, t.Leaf, t.Lease = l.peer(to).incarnation, leaf, al.until.Sub(now)
	key := loanKey{borrower: Process{Addr: to, Incarnation: t.ReceiverIncarnation}, root: al.key.Root}
	n, found := a.loans[key]
	if !found {
		n = &loan{leaf: true}
		a.loans[key] = n
	}
	n.allowance.Rate += amount.Rate
	n.allowance.Capacity += amount.Capacity
	n.leaf = n.leaf && leaf
	n.until, n.end = al.until, al.until.Add(leaseMargin)
	l.startTransfer(now, to, t, al.until)
}

// returnToLender returns up to want of a borrowed allocation to its lender.
func (l *Ledger) returnToLender(now time.Time, a *account, al *allocation, want Allowance) (amount Allowance) {
	lender := al.key.Lender
	if al.isRoot() || !al.until.After(now) || l.peer(lender.Addr).incarnation != lender.Incarnation {
		return amount
	}
	if l.peer(lender.Addr).avoidUntil.After(now) && !l.leaving {
		// While the lender is unreachable, no other node could use the returned amount.
		return amount
	}
	amount = a.split(now, al, want)
	if !amount.empty() {
		l.move(now, a, al, lender.Addr, amount, false)
	}
	return amount
}

// startTransfer sends a transfer, which is resent until it is acknowledged or expires.
func (l *Ledger) startTransfer(now time.Time, to netip.AddrPort, t Transfer, expires time.Time) {
	p := l.peer(to)
	t.ID = p.nextID
	p.nextID++
	p.pending[t.ID] = &pending{transfer: t, expires: expires, sendAt: now.Add(minResendDelay), backoff: minResendDelay}
	l.activePeers[to] = p
	l.sendTransfer(now, to, p, p.pending[t.ID])
}

func (l *Ledger) sendTransfer(now time.Time, to netip.AddrPort, p *peer, n *pending) {
	t := n.transfer
	t.Floor = slices.Min(slices.Collect(maps.Keys(p.pending)))
	t.Lease = n.expires.Sub(now)
	b := l.batchFor(to)
	b.Transfers = append(b.Transfers, t)
}

// resend resends transfers whose acknowledgement is overdue, and sends acknowledgements that
// could not be piggybacked.
func (l *Ledger) resend(now time.Time) {
	for _, to := range slices.SortedFunc(maps.Keys(l.activePeers), netip.AddrPort.Compare) {
		p := l.activePeers[to]
		for _, id := range slices.Sorted(maps.Keys(p.pending)) {
			n := p.pending[id]
			switch {
			case !n.expires.After(now):
				delete(p.pending, id)
			case !n.sendAt.After(now):
				n.backoff = min(2*n.backoff, maxResendDelay)
				n.sendAt = now.Add(n.backoff)
				l.sendTransfer(now, to, p, n)
			}
		}
		if !p.ackAt.IsZero() && !p.ackAt.After(now) {
			l.batchFor(to)
		}
	}
}

// handleBatch processes a message from a peer.
func (l *Ledger) handleBatch(now time.Time, e Delivered) {
	p := l.peer(e.From)
	// The remaining lease times in a message that was delayed for long, as by a pause of the
	// process, are out of date.
	if e.Batch.Incarnation < p.incarnation || now.Sub(e.Batch.Sent).Abs() > maxAge {
		return
	}
	if e.Batch.Incarnation > p.incarnation {
		l.newIncarnation(now, e.From, p, e.Batch.Incarnation)
	}
	p.avoidUntil = time.Time{}
	touched := make(map[*account]bool)
	for _, id := range e.Batch.Acks {
		delete(p.pending, id)
	}
	for _, id := range e.Batch.Denied {
		l.transferDenied(now, e.From, p, id)
	}
	for _, t := range e.Batch.Transfers {
		l.receive(now, e.From, p, t)
		if a, found := l.accounts[t.Organisation]; found {
			a.tokensReceived(t.Allowance.Tokens)
			touched[a] = true
		}
	}
	for _, k := range e.Batch.Requests {
		l.handleRequest(now, e.From, k)
	}
	for _, name := range e.Batch.Declined {
		if a, found := l.accounts[name]; found {
			a.countAnswer(now)
			touched[a] = true
		}
	}
	for _, name := range l.names {
		if a := l.accounts[name]; touched[a] {
			l.processQueue(now, a)
		}
	}
	if !e.Reply {
		l.batchFor(e.From)
	}
	if l.leaving {
		l.leave(now)
	}
}

// tokensReceived halves the backoff after a round that obtained tokens, and starts the next
// round at once when no candidates are left.
func (a *account) tokensReceived(tokens Amount) {
	if tokens < One {
		return
	}
	a.round.backoff /= 2
	if len(a.round.candidates) == 0 {
		a.round.outstanding, a.round.stepAt = 0, time.Time{}
	}
}

// countAnswer counts an answer without tokens. When all peers that were asked have answered,
// the next ones are asked at once.
func (a *account) countAnswer(now time.Time) {
	if a.round.outstanding == 0 {
		return
	}
	a.round.outstanding--
	if a.round.outstanding == 0 && len(a.round.candidates) > 0 {
		a.round.stepAt = now
	}
}

// newIncarnation records that a node has restarted and so holds none of the shares of its
// earlier incarnations. Loans to them that could not be lent to others are reclaimed.
func (l *Ledger) newIncarnation(now time.Time, addr netip.AddrPort, p *peer, incarnation mesh.Incarnation) {
	p.incarnation, p.floor, p.seen = incarnation, 0, make(map[uint64]bool)
	p.acks, p.denied = nil, nil
	for id, n := range p.pending {
		if n.transfer.ReceiverIncarnation < incarnation {
			delete(p.pending, id)
		}
	}
	for _, name := range l.names {
		a := l.accounts[name]
		for k, n := range a.loans {
			if k.borrower.Addr == addr && k.borrower.Incarnation < incarnation && n.leaf {
				l.reclaim(now, a, k, n)
			}
		}
		l.processQueue(now, a)
	}
}

// reclaim returns a loan that has ended to its allocation, without tokens.
func (l *Ledger) reclaim(now time.Time, a *account, k loanKey, n *loan) {
	delete(a.loans, k)
	if al, found := a.source(k.root); found {
		a.add(now, al, n.allowance)
		a.settleDebt(now, al)
	}
}

// source returns the allocation of a root that this node lends from.
func (a *account) source(root Process) (al *allocation, found bool) {
	i := slices.IndexFunc(a.allocations, func(al *allocation) bool { return al.key.Root == root && !al.leaf })
	if i < 0 {
		return nil, false
	}
	return a.allocations[i], true
}

// receive applies a transfer at most once and queues its acknowledgement.
func (l *Ledger) receive(now time.Time, from netip.AddrPort, p *peer, t Transfer) {
	p.raiseFloor(t.Floor)
	applied, processed := p.seen[t.ID]
	if !processed && t.ID >= p.floor {
		applied = l.apply(now, Process{Addr: from, Incarnation: p.incarnation}, t)
		p.seen[t.ID] = applied
	}
	if applied || t.ID < p.floor {
		p.acks = append(p.acks, t.ID)
	} else {
		p.denied = append(p.denied, t.ID)
	}
	if p.ackAt.IsZero() {
		p.ackAt = now.Add(ackDelay)
	}
	l.activePeers[from] = p
}

func (p *peer) raiseFloor(floor uint64) {
	if floor <= p.floor {
		return
	}
	p.floor = floor
	maps.DeleteFunc(p.seen, func(id uint64, _ bool) bool { return id < floor })
}

// apply credits a transfer. It reports false when the transfer must be denied.
func (l *Ledger) apply(now time.Time, from Process, t Transfer) (applied bool) {
	a, found := l.accounts[t.Organisation]
	if !found || t.ReceiverIncarnation != l.self.Incarnation || !t.Allowance.Valid() {
		return false
	}
	// Expired allocations must be removed before a new loan of the same one arrives.
	l.expireLeases(now, a)
	switch t.Kind {
	case Loan:
		return l.applyLoan(now, a, from, t)
	case Return:
		return l.applyReturn(now, a, from, t)
	case HandOver:
		return l.applyHandOver(now, a, from, t)
	default:
		return false
	}
}

func (l *Ledger) applyLoan(now time.Time, a *account, from Process, t Transfer) (applied bool) {
	if l.leaving || t.Lease <= 0 {
		return false
	}
	key := AllocationKey{Lender: from, Root: t.Root}
	if al, found := a.source(t.Root); found && !t.Leaf && al.key != key {
		return false
	}
	until := now.Add(t.Lease)
	al := a.openAllocation(now, key, until, t.Leaf)
	al.leaf = al.leaf || t.Leaf
	al.until = latest(al.until, until)
	a.add(now, al, t.Allowance)
	a.sortAllocations()
	if a.maintainAt.IsZero() {
		a.maintainAt, a.demand.countStart = now.Add(maintainInterval), now
	}
	return true
}

func (l *Ledger) applyReturn(now time.Time, a *account, from Process, t Transfer) (applied bool) {
	key := loanKey{borrower: from, root: t.Root}
	n, found := a.loans[key]
	if !found || n.allowance.Rate < t.Allowance.Rate || n.allowance.Capacity < t.Allowance.Capacity {
		return false
	}
	n.allowance.Rate -= t.Allowance.Rate
	n.allowance.Capacity -= t.Allowance.Capacity
	if n.allowance.empty() {
		delete(a.loans, key)
	}
	if al, found := a.source(t.Root); found {
		a.add(now, al, t.Allowance)
		a.settleDebt(now, al)
	}
	return true
}

// transferDenied handles a transfer that the peer will never apply.
func (l *Ledger) transferDenied(now time.Time, from netip.AddrPort, p *peer, id uint64) {
	n, found := p.pending[id]
	if !found {
		return
	}
	delete(p.pending, id)
	t := n.transfer
	a, found := l.accounts[t.Organisation]
	// A later incarnation also denies transfers that an earlier one may have applied and lent
	// to others.
	if !found || t.Kind != Loan || t.ReceiverIncarnation != p.incarnation {
		return
	}
	key := loanKey{borrower: Process{Addr: from, Incarnation: t.ReceiverIncarnation}, root: t.Root}
	if loan, found := a.loans[key]; found {
		reclaimed := Allowance{Rate: t.Allowance.Rate, Capacity: t.Allowance.Capacity}
		loan.allowance = loan.allowance.minus(reclaimed)
		if loan.allowance.empty() {
			delete(a.loans, key)
		}
		if al, found := a.source(t.Root); found {
			a.add(now, al, t.Allowance)
			a.settleDebt(now, al)
		}
	}
	a.countAnswer(now)
}

// unreachable makes the peer the last one to be asked for a while.
func (l *Ledger) unreachable(now time.Time, to netip.AddrPort) {
	l.peer(to).avoidUntil = now.Add(avoidDuration)
	for _, name := range l.names {
		a := l.accounts[name]
		if len(a.queue) > 0 {
			a.countAnswer(now)
			l.processQueue(now, a)
		}
	}
}

func latest(a, b time.Time) (t time.Time) {
	if a.After(b) {
		return a
	}
	return b
}
