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
		for _, al := range slices.Clone(a.allocations) {
			if al.isRoot() {
				l.handOver(now, a, al)
			} else {
				l.returnToLender(now, a, al, Allowance{Rate: al.rate, Capacity: al.capacity, Tokens: al.capacity})
			}
		}
	}
}

// handOver transfers an allocation to the successor. When the successor's incarnation is not
// known yet, it first sends an empty batch, whose answer contains the incarnation.
func (l *Ledger) handOver(now time.Time, a *account, al *allocation) {
	if l.placement == nil || !al.until.After(now) {
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
		Organisation: a.name, Kind: HandOver, ReceiverIncarnation: p.incarnation, Root: al.key.Root,
		Allowance: a.split(now, al, Allowance{Rate: al.rate, Capacity: al.capacity, Tokens: al.capacity}),
		Issued:    al.issued, Relinquished: al.relinquished,
	}
	for k, n := range a.loans {
		if k.root == al.key.Root {
			t.Loans = append(t.Loans, OpenLoan{Borrower: k.borrower, Allowance: n.allowance, Remaining: n.end.Sub(now)})
		}
	}
	a.dropLoans(al.key.Root)
	a.drop(now, al)
	l.startTransfer(now, successor, t, al.until)
}

// applyHandOver makes this node the owner of an allocation of a node that leaves.
func (l *Ledger) applyHandOver(now time.Time, a *account, _ Process, t Transfer) (applied bool) {
	if _, found := a.source(t.Root); found || l.leaving || t.Lease <= 0 {
		return false
	}
	al := a.openAllocation(now, AllocationKey{Root: t.Root}, now.Add(t.Lease), false)
	a.add(now, al, t.Allowance)
	al.issued, al.relinquished = t.Issued, t.Relinquished
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
		for _, al := range a.allocations {
			if _, found := l.placement.successor(a.name); found && al.isRoot() && al.until.After(l.leftAt) {
				return false
			}
		}
	}
	return true
}
