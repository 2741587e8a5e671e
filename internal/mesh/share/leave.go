package share

import (
	"slices"
	"time"
)

// leave transfers all shares to other nodes: borrowed allocations to their lenders, and those
// granted by the platform, with the loans out of them, to a successor.
func (l *Ledger) leave(now time.Time) {
	l.leaving, l.leftAt = true, now
	for _, name := range l.names {
		a := l.accounts[name]
		for _, w := range a.queue {
			l.refuse(a, w)
		}
		a.queue, a.issue.due = nil, time.Time{}
		for _, o := range slices.Clone(a.allocations) {
			if o.isRoot() {
				l.handOver(now, a, o)
			} else {
				l.returnToLender(now, a, o, Allowance{Rate: o.rate, Capacity: o.capacity, Tokens: o.capacity})
			}
		}
	}
}

// handOver transfers an allocation to the successor. When the successor's incarnation is not
// known yet, it first sends an empty batch, whose answer contains the incarnation.
func (l *Ledger) handOver(now time.Time, a *account, o *allocation) {
	if l.placement == nil || !o.until.After(now) {
		return
	}
	successor, found := l.placement.successor(a.name)
	if !found {
		return
	}
	p := l.peer(successor)
	if p.incarnation == 0 {
		l.batchFor(successor)
		return
	}
	t := Transfer{
		Organisation: a.name, Kind: HandOver, ReceiverIncarnation: p.incarnation, Root: o.key.Root,
		Allowance: a.split(now, o, Allowance{Rate: o.rate, Capacity: o.capacity, Tokens: o.capacity}),
		Issued:    o.issued, Relinquished: o.relinquished,
	}
	for k, n := range a.loans {
		if k.root == o.key.Root {
			t.Loans = append(t.Loans, OpenLoan{Borrower: k.borrower, Allowance: n.allowance, Remaining: n.end.Sub(now)})
		}
	}
	a.dropLoans(o.key.Root)
	a.drop(now, o)
	l.startTransfer(now, successor, t, o.until)
}

// applyHandOver makes this node the owner of an allocation of a node that leaves.
func (l *Ledger) applyHandOver(now time.Time, a *account, _ Process, t Transfer) (applied bool) {
	if _, found := a.source(t.Root); found || l.leaving || t.Lease <= 0 {
		return false
	}
	o := a.openAllocation(now, AllocationKey{Root: t.Root}, now.Add(t.Lease), false)
	a.add(now, o, t.Allowance)
	o.issued, o.relinquished = t.Issued, t.Relinquished
	for _, r := range t.Loans {
		// A loan that was handed over is only reclaimed when it expires: a later incarnation
		// of the borrower may be known here already.
		end := now.Add(r.Remaining + leaseMargin)
		a.loans[loanKey{borrower: r.Borrower, root: t.Root}] = &loan{allowance: r.Allowance, until: now, end: end}
	}
	a.issue.due = now
	a.maintainAt = now.Add(maintainInterval)
	l.relinquishExcess(now, a)
	return true
}

// Drained reports whether a leaving node has transferred all its shares. Allocations that no
// other node can take are reclaimed when their lease ends.
func (l *Ledger) Drained() (drained bool) {
	if !l.leaving || !l.Settled() {
		return false
	}
	for _, a := range l.accounts {
		for _, o := range a.allocations {
			if _, found := l.placement.successor(a.name); found && o.isRoot() && o.until.After(l.leftAt) {
				return false
			}
		}
	}
	return true
}
