package share

import (
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// maxWait bounds how long a request is queued for tokens. It covers the few messages that
	// it takes to borrow from another region.
	maxWait = 250 * time.Millisecond

	// maxQueued is the maximum length of an organisation's queue.
	maxQueued = 256

	// maintainInterval is how often an active account measures its demand and returns unused
	// allowance.
	maintainInterval = 500 * time.Millisecond

	// ackDelay is how long an acknowledgement is delayed so that it can be piggybacked on
	// another message. It is below minResendDelay.
	ackDelay = 200 * time.Millisecond

	// minResendDelay and maxResendDelay bound the backoff between resends of an unacknowledged
	// transfer.
	minResendDelay = 500 * time.Millisecond
	maxResendDelay = 8 * time.Second

	// leaseMargin is added to the end of a lease for messages that arrive late. It is more
	// than twice maxAge.
	leaseMargin = 5 * time.Minute

	// maxAge is the maximum difference between the timestamp of a message and the receiver's
	// clock. Messages beyond it are dropped.
	maxAge = 2 * time.Minute

	// avoidDuration is how long an unreachable peer is tried only after all others.
	avoidDuration = 2 * time.Second
)

// Ledger is this node's record of its shares and loans. It is not safe for concurrent use,
// except for Self.
type Ledger struct {
	self      Process
	placement *Placement
	zones     int
	lease     time.Duration
	leaving   bool
	leftAt    time.Time
	accounts  map[mesh.OrganisationName]*account

	// names lists the accounts in order, so that the ledger is deterministic.
	names []mesh.OrganisationName
	peers map[netip.AddrPort]*peer

	// activePeers are the peers with unacknowledged transfers or unsent acknowledgements.
	activePeers map[netip.AddrPort]*peer

	// outbox collects the batches of the current step by peer, and outboxOrder the peers in
	// the order in which their batches were created.
	outbox      map[netip.AddrPort]*Batch
	outboxOrder []netip.AddrPort
	actions     []Action
	wake        time.Time
}

// account is the record of one organisation's contract.
type account struct {
	name     mesh.OrganisationName
	contract Allowance

	// allocations are sorted by the end of their leases.
	allocations []*allocation
	pool        pool
	loans       map[loanKey]*loan
	queue       []waiter
	demand      demand
	round       round
	issue       issueState

	// maintainAt is when the next maintenance is due; zero while the account has neither
	// allocations nor demand.
	maintainAt time.Time
}

// waiter is a local request, or an allowance request of a peer, that is queued for tokens.
type waiter struct {
	// ticket identifies a local request; it is not used when peer is valid.
	ticket  uint64
	class   mesh.Class
	peer    netip.AddrPort
	request AllowanceRequest
	until   time.Time
}

// New returns the ledger of a process that starts. It has no shares yet.
func New(self Process) (l *Ledger) {
	return &Ledger{
		self:        self,
		accounts:    make(map[mesh.OrganisationName]*account),
		peers:       make(map[netip.AddrPort]*peer),
		activePeers: make(map[netip.AddrPort]*peer),
		outbox:      make(map[netip.AddrPort]*Batch),
	}
}

// Self returns the process that the ledger belongs to.
func (l *Ledger) Self() (self Process) { return l.self }

// SetPlacement sets which hosts are alive and hold shares. When this node becomes a holder, it
// takes its share of the contract even without demand.
func (l *Ledger) SetPlacement(now time.Time, p *Placement) {
	l.placement = p
	for _, name := range l.names {
		if a := l.accounts[name]; a.issue.due.IsZero() && p.holds(name) && !l.leaving {
			a.issue.due = now
			l.wakeBy(now)
		}
	}
}

// Wake returns when the ledger next needs a Woken event; zero means that no timer is set.
func (l *Ledger) Wake() (at time.Time) { return l.wake }

// Verdict is the immediate result of a request for admission.
type Verdict uint8

// Verdicts on a request for admission.
const (
	Refused Verdict = iota
	Admitted
	Queued
)

// Admit takes one token of the organisation. A queued request is decided by a later Decide
// action with its ticket.
func (l *Ledger) Admit(now time.Time, name mesh.OrganisationName, class mesh.Class, deadline time.Time, ticket uint64) (v Verdict, actions []Action) {
	a, found := l.accounts[name]
	if !found {
		return Refused, nil
	}
	a.demand.count++
	a.demand.last = now
	if a.maintainAt.IsZero() {
		a.maintainAt = now.Add(maintainInterval)
		a.demand.countStart = now
		l.wakeBy(a.maintainAt)
	}
	if len(a.queue) == 0 && a.take(now) {
		return Admitted, nil
	}
	if l.leaving || len(a.queue) >= maxQueued && !l.displace(a, class) {
		return Refused, nil
	}
	until := now.Add(maxWait)
	if deadline.Before(until) {
		until = deadline
	}
	a.enqueue(waiter{ticket: ticket, class: class, until: until})
	l.processQueue(now, a)
	return Queued, l.finish(now)
}

// enqueue inserts a request after the requests of its class and before those of less important
// classes.
func (a *account) enqueue(w waiter) {
	i := slices.IndexFunc(a.queue, func(o waiter) bool { return o.lessImportant(w.class) })
	if i < 0 {
		i = len(a.queue)
	}
	a.queue = slices.Insert(a.queue, i, w)
}

// lessImportant reports whether w is a local request of a class below the given one. Requests
// of peers have no class, since they cover all classes, and keep their position.
func (w waiter) lessImportant(class mesh.Class) bool {
	return !w.peer.IsValid() && w.class > class
}

// displace refuses the last queued request that is less important than class. It reports false
// when there is none.
func (l *Ledger) displace(a *account, class mesh.Class) (displaced bool) {
	for i := len(a.queue) - 1; i >= 0; i-- {
		if w := a.queue[i]; w.lessImportant(class) {
			a.queue = slices.Delete(a.queue, i, i+1)
			l.refuse(a, w)
			return true
		}
	}
	return false
}

// Step processes one event and returns the actions to perform.
func (l *Ledger) Step(now time.Time, event mesh.Event) (actions []Action) {
	switch e := event.(type) {
	case Configured:
		l.configure(now, e)
	case Delivered:
		l.handleBatch(now, e)
	case Unreachable:
		l.unreachable(now, e.To)
	case Issued:
		l.handleIssued(now, e)
	case IssueFailed:
		l.issueFailed(now, e)
	case Leave:
		l.leave(now)
	case Woken:
		l.runTimers(now)
	}
	return l.finish(now)
}

// runTimers does the work that is due on all accounts, and resends transfers.
func (l *Ledger) runTimers(now time.Time) {
	for _, name := range l.names {
		a := l.accounts[name]
		l.expireLeases(now, a)
		l.maintain(now, a)
		l.processQueue(now, a)
	}
	l.resend(now)
}

// finish converts the outbox to actions and computes the next wake time.
func (l *Ledger) finish(now time.Time) (actions []Action) {
	for _, to := range l.outboxOrder {
		b, p := l.outbox[to], l.peer(to)
		b.Incarnation, b.Sent = l.self.Incarnation, now
		b.Acks, b.Denied = append(b.Acks, p.acks...), append(b.Denied, p.denied...)
		p.acks, p.denied, p.ackAt = nil, nil, time.Time{}
		l.actions = append(l.actions, Send{To: to, Batch: *b})
		delete(l.outbox, to)
	}
	l.outboxOrder = l.outboxOrder[:0]
	l.wake = time.Time{}
	for _, a := range l.accounts {
		l.wakeForAccount(now, a)
	}
	for addr, p := range l.activePeers {
		if len(p.pending) == 0 && p.ackAt.IsZero() {
			delete(l.activePeers, addr)
		}
		l.wakeBy(p.ackAt)
		for _, t := range p.pending {
			l.wakeBy(t.sendAt)
		}
	}
	actions, l.actions = l.actions, nil
	return actions
}

func (l *Ledger) wakeForAccount(now time.Time, a *account) {
	l.wakeBy(a.maintainAt)
	if !a.issue.inFlight {
		l.wakeBy(a.issue.due)
	}
	if len(a.queue) == 0 {
		return
	}
	l.wakeBy(a.round.stepAt)
	l.wakeBy(a.refillAt(now))
	for _, w := range a.queue {
		l.wakeBy(w.until)
	}
}

// refillAt returns when the account will have refilled a whole token, or zero when it has one
// already or never will at its present rate and capacity.
func (a *account) refillAt(now time.Time) (at time.Time) {
	t := a.total(now)
	if t.Tokens >= One || t.Rate == 0 || t.Capacity < One {
		return time.Time{}
	}
	return now.Add(time.Duration((One-t.Tokens).scale(Amount(time.Second), t.Rate)) + time.Microsecond)
}

func (l *Ledger) wakeBy(at time.Time) {
	if !at.IsZero() && (l.wake.IsZero() || at.Before(l.wake)) {
		l.wake = at
	}
}

// batchFor returns the batch of the current step for a peer.
func (l *Ledger) batchFor(addr netip.AddrPort) (b *Batch) {
	b, found := l.outbox[addr]
	if !found {
		b = new(Batch)
		l.outbox[addr] = b
		l.outboxOrder = append(l.outboxOrder, addr)
	}
	return b
}

// demand measures the arrival rate of requests.
type demand struct {
	// count is the number of requests since countStart.
	count      int64
	countStart time.Time

	// last is when the latest request arrived.
	last time.Time

	// rate is the smoothed arrival rate per second.
	rate Amount
}

// updateRate folds the count into the smoothed rate and resets it.
func (d *demand) updateRate(now time.Time) {
	elapsed := now.Sub(d.countStart)
	if elapsed <= 0 {
		return
	}
	arrived := (Amount(d.count) * One).scale(Amount(time.Second), Amount(elapsed))
	d.rate = (d.rate + 3*arrived) / 4
	if d.rate < One/100 {
		d.rate = 0
	}
	d.count, d.countStart = 0, now
}
