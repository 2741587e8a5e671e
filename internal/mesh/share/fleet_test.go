package share

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	testOrganisation = mesh.OrganisationName("acme")
	testLease        = 2 * time.Hour
)

// message is a batch in flight between two ledgers.
type message struct {
	from, to netip.AddrPort
	batch    Batch
	reply    bool
	at       time.Time
}

// fleet is a set of ledgers that exchange batches through an in-memory network, with one row
// of the platform. The clock is simulated.
type fleet struct {
	now      time.Time
	addrs    []netip.AddrPort
	zones    map[netip.AddrPort]mesh.ZoneName
	ledgers  map[netip.AddrPort]*Ledger
	rate     float64
	burst    float64
	row      Row
	hasRow   bool
	inFlight []message

	// delivered holds the messages that were delivered or lost and may arrive again.
	delivered    []message
	jobs         []issueJob
	nonce        int
	incarnations mesh.Incarnation
	localDelay   time.Duration
	remoteDelay  time.Duration
	decided      map[uint64]bool

	// admissions lists when requests were admitted.
	admissions []time.Time
	tickets    uint64
	messages   int
	bytes      int

	// arrivedAt is when each request arrived, and longestWait the longest time that an
	// admitted one was queued.
	arrivedAt   map[uint64]time.Time
	longestWait time.Duration
}

// issueJob is an Issue action that the platform has not executed yet.
type issueJob struct {
	from    Process
	issue   Issue
	started time.Time
}

func addrOf(i int) (a netip.AddrPort) {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// newFleet returns a fleet with perZone nodes in each zone, which all know each other.
func newFleet(zones, perZone int, rate, burst float64) (f *fleet) {
	f = &fleet{
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		zones: make(map[netip.AddrPort]mesh.ZoneName), ledgers: make(map[netip.AddrPort]*Ledger),
		rate: rate, burst: burst,
		localDelay: 500 * time.Microsecond, remoteDelay: 500 * time.Microsecond,
		decided: make(map[uint64]bool), arrivedAt: make(map[uint64]time.Time),
	}
	for z := range zones {
		for range perZone {
			a := addrOf(len(f.addrs) + 1)
			f.addrs = append(f.addrs, a)
			f.zones[a] = mesh.ZoneName(fmt.Sprintf("zone-%d", z))
		}
	}
	for _, a := range f.addrs {
		f.start(a)
	}
	for _, a := range f.addrs {
		f.updatePlacement(a)
	}
	return f
}

// start starts a new incarnation of the node at a.
func (f *fleet) start(a netip.AddrPort) {
	f.incarnations++
	l := New(Process{Addr: a, Incarnation: f.incarnations})
	f.ledgers[a] = l
	f.updatePlacement(a)
	f.perform(a, l.Step(f.now, f.configured()))
}

func (f *fleet) configured() (e Configured) {
	names := make(map[mesh.ZoneName]bool)
	for _, z := range f.zones {
		names[z] = true
	}
	return Configured{
		Contracts: map[mesh.OrganisationName]mesh.Contract{testOrganisation: {Rate: f.rate, Burst: f.burst}},
		Zones:     len(names), Lease: testLease,
	}
}

func (f *fleet) updatePlacement(a netip.AddrPort) {
	hosts := make(map[netip.AddrPort]mesh.Host)
	for _, o := range f.addrs {
		if f.ledgers[o] != nil || o == a {
			hosts[o] = mesh.Host{Addr: o, Zone: f.zones[o]}
		}
	}
	f.ledgers[a].SetPlacement(f.now, NewPlacement(a, f.zones[a], maps.All(hosts)))
}

func (f *fleet) perform(from netip.AddrPort, actions []Action) {
	for _, x := range actions {
		switch x := x.(type) {
		case Send:
			f.messages++
			if BatchSize != nil {
				f.bytes += BatchSize(f.ledgers[from].Self(), x.Batch)
			}
			f.inFlight = append(f.inFlight, message{from: from, to: x.To, batch: x.Batch, at: f.now.Add(f.delay(from, x.To))})
		case Issue:
			f.jobs = append(f.jobs, issueJob{from: f.ledgers[from].Self(), issue: x, started: f.now})
		case Decide:
			f.decide(x.Ticket, x.Admitted)
		}
	}
}

func (f *fleet) decide(ticket uint64, admitted bool) {
	f.decided[ticket] = admitted
	if admitted {
		f.admissions = append(f.admissions, f.now)
		f.longestWait = max(f.longestWait, f.now.Sub(f.arrivedAt[ticket]))
	}
}

func (f *fleet) delay(a, b netip.AddrPort) (d time.Duration) {
	if f.zones[a] == f.zones[b] {
		return f.localDelay
	}
	return f.remoteDelay
}

// deliver delivers a message. What the receiver sends to the sender is the reply.
func (f *fleet) deliver(m message) {
	l := f.ledgers[m.to]
	if l == nil {
		return
	}
	actions := l.Step(f.now, Delivered{From: m.from, Batch: m.batch, Reply: m.reply})
	start := len(f.inFlight)
	f.perform(m.to, actions)
	for i := range f.inFlight[start:] {
		if n := &f.inFlight[start+i]; n.to == m.from && !m.reply {
			n.reply = true
		}
	}
}

// runJob runs a job at the platform. With lost, the job reports a failure although its change
// may have been applied, as when its answer is lost and the nonce cannot be read back. The
// other case of a lost answer, in which the nonce shows that the write was applied, is the
// same as success.
func (f *fleet) runJob(j issueJob, lost bool) {
	if !f.hasRow {
		f.row, f.hasRow = NewRow(j.issue.Change.Contract), true
	}
	f.nonce++
	after, fresh, applies := f.row.Apply(j.issue.Change, fmt.Sprint(f.nonce))
	e := Issued{Organisation: testOrganisation, Started: j.started}
	if applies {
		f.row = after
		e.Written, e.Fresh = j.issue.Change.Root, fresh
	}
	e.Row = Row{Fresh: f.row.Fresh, Grants: slices.Clone(f.row.Grants)}
	l := f.ledgers[j.from.Addr]
	switch {
	case l == nil || l.Self() != j.from:
	case lost:
		f.perform(j.from.Addr, l.Step(f.now, IssueFailed{Organisation: testOrganisation}))
	default:
		f.perform(j.from.Addr, l.Step(f.now, e))
	}
}

// admit requests a token from the node at a and returns the ticket.
func (f *fleet) admit(a netip.AddrPort) (ticket uint64) { return f.admitClass(a, mesh.ClassNormal) }

func (f *fleet) admitClass(a netip.AddrPort, class mesh.Class) (ticket uint64) {
	f.tickets++
	ticket = f.tickets
	f.arrivedAt[ticket] = f.now
	verdict, actions := f.ledgers[a].Admit(f.now, testOrganisation, class, f.now.Add(time.Second), ticket)
	if verdict != Queued {
		f.decide(ticket, verdict == Admitted)
	}
	f.perform(a, actions)
	return ticket
}

// advance moves the clock to the given time. It delivers messages and wakes ledgers in the
// order of their times.
func (f *fleet) advance(to time.Time) {
	for steps := 0; ; steps++ {
		if steps > 100000 {
			panic("the fleet does not become idle")
		}
		for len(f.jobs) > 0 {
			j := f.jobs[0]
			f.jobs = f.jobs[1:]
			f.runJob(j, false)
		}
		at, next := f.next()
		if next == nil || at.After(to) {
			f.now = to
			return
		}
		if at.After(f.now) {
			f.now = at
		}
		next()
	}
}

func (f *fleet) next() (at time.Time, next func()) {
	for i, m := range f.inFlight {
		if next == nil || m.at.Before(at) {
			at, next = m.at, func() {
				f.inFlight = slices.Delete(f.inFlight, i, i+1)
				f.deliver(m)
			}
		}
	}
	for _, a := range f.addrs {
		l := f.ledgers[a]
		if l == nil || l.Wake().IsZero() || next != nil && !l.Wake().Before(at) {
			continue
		}
		at, next = l.Wake(), func() { f.perform(a, l.Step(f.now, Woken{})) }
	}
	return at, next
}

// unresolved returns the sum of the transfers that their receivers may still apply, each
// counted once.
func (f *fleet) unresolved() (sum Allowance) {
	type transferKey struct {
		from Process
		to   netip.AddrPort
		id   uint64
	}
	counted := make(map[transferKey]bool)
	count := func(from Process, to netip.AddrPort, t Transfer, end time.Time) {
		n := transferKey{from: from, to: to, id: t.ID}
		l := f.ledgers[to]
		if counted[n] || l == nil || t.ReceiverIncarnation != l.Self().Incarnation || !end.After(f.now) {
			return
		}
		p := l.peer(from.Addr)
		_, decided := p.seen[t.ID]
		if p.incarnation > from.Incarnation || p.incarnation == from.Incarnation && (decided || t.ID < p.floor) {
			return
		}
		counted[n] = true
		sum = sum.plus(t.Allowance)
	}
	for _, l := range f.ledgers {
		if l == nil {
			continue
		}
		for to, p := range l.activePeers {
			for _, n := range p.pending {
				count(l.Self(), to, n.transfer, n.expires)
			}
		}
	}
	for _, m := range slices.Concat(f.inFlight, f.delivered) {
		if f.now.Sub(m.batch.Sent) > maxAge {
			continue
		}
		for _, t := range m.batch.Transfers {
			count(Process{Addr: m.from, Incarnation: m.batch.Incarnation}, m.to, t, f.now.Add(t.Lease))
		}
	}
	return sum
}

// totalAllowance returns the sum of the allowances of all nodes.
func (f *fleet) totalAllowance() (sum Allowance) {
	for _, l := range f.ledgers {
		if l != nil {
			sum = sum.plus(l.TotalAllowance(f.now, testOrganisation))
		}
	}
	return sum
}

// check fails the test when the allowance held and in flight exceeds what was issued, or an
// allocation violates its invariants.
func (f *fleet) check(t interface{ Fatalf(string, ...any) }) {
	got := f.totalAllowance().plus(f.unresolved())
	want := f.row.Sum()
	if want.Rate > FromRequests(f.rate) || want.Capacity > FromRequests(f.burst) {
		t.Fatalf("issued: got %+v, want at most %v a second with burst %v", want, f.rate, f.burst)
	}
	if got.Rate > want.Rate || got.Capacity > want.Capacity {
		t.Fatalf("held and in flight: got %+v, want at most %+v", got, want)
	}
	for a, l := range f.ledgers {
		if l == nil {
			continue
		}
		if p := l.TotalAllowance(f.now, testOrganisation); !p.Valid() {
			t.Fatalf("shares of %v: got %+v, want tokens within capacity", a, p)
		}
		for k, n := range l.accounts[testOrganisation].loans {
			if n.allowance.Rate < 0 || n.allowance.Capacity < 0 {
				t.Fatalf("loan of %v to %v: got %+v, want none below zero", a, k.borrower, n.allowance)
			}
		}
	}
}

// refusals returns the number of requests that were not admitted.
func (f *fleet) refusals() (n int) {
	for ticket := range f.tickets {
		if !f.decided[ticket+1] {
			n++
		}
	}
	return n
}

// runFor advances the clock by d, such as for the time in which all shares are issued and
// their buckets fill.
func (f *fleet) runFor(d time.Duration) { f.advance(f.now.Add(d)) }

// TestFleetIssuesContract guards against a contract that is not fully issued, or issued beyond
// its rate and burst, when all nodes start at once.
func TestFleetIssuesContract(t *testing.T) {
	f := newFleet(3, 4, 90, 90)
	f.runFor(5 * time.Second)
	f.check(t)
	got := f.totalAllowance()
	if got.Rate < FromRequests(89.9) || got.Capacity < FromRequests(89.9) {
		t.Errorf("got %+v, want all of 90 a second with burst 90", got)
	}
}

// TestUnevenDemandIsAdmitted guards against refusals within the contract when all requests of
// an organisation arrive at one node, which may hold no share.
func TestUnevenDemandIsAdmitted(t *testing.T) {
	for _, zones := range []int{1, 3, 11} {
		for node := range 8 {
			f := newFleet(zones, 8, 100, 100)
			f.runFor(5 * time.Second)
			for range 1000 {
				f.admit(f.addrs[node])
				f.runFor(time.Second / 90)
				f.check(t)
			}
			f.runFor(time.Second)
			if got := f.refusals(); got > 0 {
				t.Errorf("%d zones, node %d: got %d of 1000 requests refused, want none", zones, node, got)
			}
		}
	}
}
