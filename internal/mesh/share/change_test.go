package share

import (
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestLoweredContract guards against a lowered contract that never comes into force, or that
// is reported as in force too early.
func TestLoweredContract(t *testing.T) {
	f := newFleet(2, 5, 100, 100)
	f.runFor(5 * time.Second)
	for range 300 {
		f.admit(f.addrs[0])
		f.runFor(time.Second / 80)
	}
	f.rate, f.burst = 40, 50
	for _, a := range f.addrs {
		f.perform(a, f.ledgers[a].Step(f.now, f.configured()))
	}
	pendingAt := f.now
	for f.row.Sum().Rate > FromRequests(f.rate) || f.row.Sum().Capacity > FromRequests(f.burst) {
		pending := false
		for _, a := range f.addrs {
			p := f.ledgers[a].Pending(testOrganisation)
			pending = pending || p.Rate > 0 || p.Capacity > 0
		}
		if !pending {
			t.Fatalf("%v after the change: got nothing pending, want the excess of %+v", f.now.Sub(pendingAt), f.row.Sum())
		}
		if f.now.Sub(pendingAt) > time.Minute {
			t.Fatalf("after a minute: got %+v issued, want 40 a second with burst 50", f.row.Sum())
		}
		f.runFor(100 * time.Millisecond)
	}
	t.Logf("in force after %v", f.now.Sub(pendingAt))
	f.check(t)
	if got := f.totalAllowance(); got.Rate > FromRequests(f.rate) || got.Rate < FromRequests(f.rate-1) {
		t.Errorf("held: got %+v, want 40 a second", got)
	}
}

// TestLeaveHandsOver guards against shares that are lost when their holder leaves gracefully.
func TestLeaveHandsOver(t *testing.T) {
	f := newFleet(1, 4, 100, 100)
	f.runFor(5 * time.Second)
	before := f.totalAllowance()
	for _, a := range f.addrs[:2] {
		f.perform(a, f.ledgers[a].Step(f.now, Leave{}))
		f.runFor(2 * time.Second)
		if !f.ledgers[a].Drained() {
			t.Errorf("%v: got shares left, want all handed over", a)
		}
		f.ledgers[a] = nil
		for _, o := range f.addrs {
			if f.ledgers[o] != nil {
				f.updatePlacement(o)
			}
		}
	}
	if got := f.totalAllowance(); got != before {
		t.Errorf("held by the others: got %+v, want %+v", got, before)
	}
	f.check(t)
}

// TestDeadHolder guards against a crashed holder that stops admission from the shares of other
// nodes, and against its share being reclaimed before its lease has ended or never.
func TestDeadHolder(t *testing.T) {
	f := newFleet(1, 5, 90, 90)
	f.runFor(5 * time.Second)
	holders := f.ledgers[f.addrs[0]].placement.holders(testOrganisation)[0]
	dead, at := holders[0], holders[1]
	lost := f.ledgers[dead].TotalAllowance(f.now, testOrganisation)
	f.ledgers[dead] = nil
	for range 200 {
		f.admit(at)
		f.runFor(time.Second / 40)
	}
	if got := f.refusals(); got > 0 {
		t.Errorf("with a dead holder: got %d of 200 refused, want none", got)
	}
	for _, a := range f.addrs {
		if f.ledgers[a] != nil {
			f.updatePlacement(a)
		}
	}
	f.runFor(testLease)
	if got, want := f.totalAllowance().Rate, FromRequests(90)-lost.Rate; got > want {
		t.Errorf("before the lease ended: got %v, want at most %v", got, want)
	}
	f.runFor(testLease)
	if got := f.totalAllowance(); got.Rate < FromRequests(89) {
		t.Errorf("after the lease ended: got %+v, want about 90 a second", got)
	}
	f.check(t)
}

// TestLoanThatMayBeLentOn guards against reclaiming a loan to a holder too early: when a new
// incarnation of the holder appears, or denies the transfer. The earlier incarnation may have
// lent part of the loan to others, which lasts until the lease ends.
func TestLoanThatMayBeLentOn(t *testing.T) {
	p := newPair()
	p.toLender(1, Batch{})
	n := transfer(t, p.toLender(1, Batch{Requests: []AllowanceRequest{{Organisation: testOrganisation, Need: One}}}))
	p.toLender(2, Batch{Denied: []uint64{n.ID}})
	want := FromRequests(specTotal) - One
	if got := p.lender.TotalAllowance(p.now, testOrganisation).Capacity; got != want {
		t.Errorf("with a new incarnation: got capacity %v, want %v", got, want)
	}
	p.end()
	if got := p.lender.TotalAllowance(p.now, testOrganisation).Capacity; got != want+One {
		t.Errorf("after the lease: got capacity %v, want %v", got, want+One)
	}
}

// TestImportantRequestsFirst guards against the refusal of a critical request, such as a
// payout, while normal requests of the same organisation take the refilled tokens.
func TestImportantRequestsFirst(t *testing.T) {
	f := newFleet(1, 1, 10, 5)
	f.runFor(time.Second)
	a := f.addrs[0]
	for range 5 {
		f.admitClass(a, mesh.ClassNormal)
	}
	var normal, critical []uint64
	for range 3 {
		normal = append(normal, f.admitClass(a, mesh.ClassNormal))
	}
	for range 2 {
		critical = append(critical, f.admitClass(a, mesh.ClassCritical))
	}
	// Two tokens are refilled before the queued requests time out.
	f.runFor(2 * maxWait)
	for _, ticket := range critical {
		if got := f.decided[ticket]; !got {
			t.Errorf("critical request: got a refusal, want a token")
		}
	}
	for _, ticket := range normal {
		if got := f.decided[ticket]; got {
			t.Errorf("normal request: got a token, want a refusal")
		}
	}
	f.check(t)
}
