package agent

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/beat"
	"github.com/quetzalstack/quetzalstack/internal/mesh/canary"
	"github.com/quetzalstack/quetzalstack/internal/mesh/fleet"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rules"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// errStore is the failure of a store that does not answer.
var errStore = errors.New("no answer")

// testRollouts is a store of roll-outs whose answers can be lost.
type testRollouts struct {
	mu     sync.Mutex
	stored *mesh.Rollout
	states []mesh.RolloutState

	// loseAnswers lets writes fail after they were stored, and down lets all calls fail.
	loseAnswers, down bool
	conflicts         int

	// beforeWrite is called before each write is stored.
	beforeWrite func(next mesh.Rollout)
}

func (s *testRollouts) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *testRollouts) Rollouts(context.Context) (stored []mesh.Rollout, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errStore
	}
	if s.stored != nil {
		stored = append(stored, *s.stored)
	}
	return stored, nil
}

func (s *testRollouts) Advance(ctx context.Context, last *mesh.Rollout, next mesh.Rollout) (stored mesh.Rollout, err error) {
	if s.beforeWrite != nil {
		s.beforeWrite(next)
	}
	if ctx.Err() != nil {
		return stored, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return stored, errStore
	case last == nil && s.stored != nil, s.stored != nil && s.stored.Supersedes(last):
		s.conflicts++
		return *s.stored, nil
	}
	s.stored = &next
	s.states = append(s.states, next.State)
	if s.loseAnswers {
		return stored, errStore
	}
	return next, nil
}

// rolloutFleet is a fleet of rollout duties in a bubble of synctest, which exchange their reports
// without a network.
type rolloutFleet struct {
	t      *testing.T
	store  *testRollouts
	hosts  []*rolloutTestHost
	random *rand.Rand

	// failing is the part of the answers of the new version that are failures.
	failing float64

	// unaware is a host that sends no requests and hears of no failures; nil for none.
	unaware *rolloutTestHost

	toNew, all int
	lastToNew  time.Time
}

type rolloutTestHost struct {
	*rolloutDuty
	host   mesh.Host
	cancel context.CancelFunc

	// dead hosts run nothing, and the hosts of a zone that is cut hear only each other.
	dead, cut atomic.Bool
}

// kill ends a host at once.
func (h *rolloutTestHost) kill() {
	h.dead.Store(true)
	h.cancel()
}

var testOrder = mesh.RolloutOrder{Service: "s", To: "v2", Limit: 12 * time.Second, Revision: mesh.StoreVersion{Number: 5}}

// newRolloutFleet returns a fleet of three zones, each with two targets of the old version and one
// of the new.
func newRolloutFleet(t *testing.T) (f *rolloutFleet) {
	f = &rolloutFleet{t: t, store: new(testRollouts), random: rand.New(rand.NewPCG(1, 1))}
	for i := range 9 {
		version := mesh.VersionName("v1")
		if i >= 6 {
			version = "v2"
		}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7002)
		f.add(mesh.Host{
			Addr: addr, Zone: mesh.ZoneName(fmt.Sprint("zone-", i%3)), Incarnation: 1,
			Targets: []mesh.Target{{Service: "s", Addr: addr, Name: fmt.Sprint("t", i), Slots: 100, Version: version}},
		})
	}
	f.connect()
	return f
}

func (f *rolloutFleet) add(host mesh.Host) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	st := Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}
	d := newRolloutDuty(new(expvar.Map), st, host, logs.WithPrefix(logger, "test"))
	d.member, d.gate = new(memberDuty), new(gateDuty)
	d.gate.current.Store(&host.Targets[0])
	d.store = newRolloutStoreDuty(new(expvar.Map), f.store, d)
	h := &rolloutTestHost{rolloutDuty: d, host: host}
	d.transmit = func(data []byte, to netip.AddrPort) error { return f.transmit(h, data, to) }
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	f.t.Cleanup(cancel)
	f.hosts = append(f.hosts, h)
	d.member.view.Store(f.view(h))
	go func() { _ = d.Run(ctx) }()
	go func() { _ = d.store.Run(ctx) }()
}

func (f *rolloutFleet) reaches(a, b *rolloutTestHost) bool {
	return !a.dead.Load() && !b.dead.Load() && (a.host.Zone == b.host.Zone || !a.cut.Load() && !b.cut.Load())
}

func (f *rolloutFleet) transmit(from *rolloutTestHost, data []byte, to netip.AddrPort) (err error) {
	if beat.IsFault(data) {
		return f.transmitFault(from, data, to)
	}
	report, err := beat.DecodeRollout(data)
	if err != nil {
		f.t.Errorf("got an invalid report: %v", err)
		return err
	}
	for _, h := range f.hosts {
		if h.host.Addr == to && f.reaches(from, h) {
			if h == f.unaware {
				hideFailures(report)
			}
			h.events.Offer(rolloutReported{report: report})
		}
	}
	return nil
}

func hideFailures(r *beat.RolloutReport) {
	for i := range r.Tallies {
		r.Tallies[i].Failures = 0
	}
}

func (f *rolloutFleet) transmitFault(from *rolloutTestHost, data []byte, to netip.AddrPort) (err error) {
	fault, err := beat.DecodeFault(data)
	if err != nil {
		f.t.Errorf("got an invalid fault: %v", err)
		return err
	}
	for _, h := range f.hosts {
		if h.host.Addr == to && f.reaches(from, h) {
			h.events.Offer(faultReported{fault: fault})
		}
	}
	return nil
}

// view returns the fleet as a host hears it. Versions are not part of heartbeats.
func (f *rolloutFleet) view(of *rolloutTestHost) (v *fleet.View) {
	v = &fleet.View{Self: of.host, Peers: make(map[netip.AddrPort]mesh.Host), Targets: make(map[mesh.ServiceName][]mesh.Endpoint), ZoneSizes: make(map[mesh.ZoneName]int)}
	for _, h := range f.hosts {
		v.ZoneSizes[h.host.Zone]++
		if !f.reaches(of, h) {
			continue
		}
		target := h.host.Targets[0]
		if h != of {
			target.Version = ""
			v.Peers[h.host.Addr] = mesh.Host{Addr: h.host.Addr, Zone: h.host.Zone, Incarnation: 1, Targets: []mesh.Target{target}}
		}
		v.Targets["s"] = append(v.Targets["s"], mesh.Endpoint{Host: h.host.Addr, Zone: h.host.Zone, Target: target})
	}
	return v
}

// connect lets the hosts notice which others they hear.
func (f *rolloutFleet) connect() {
	for _, h := range f.hosts {
		h.member.view.Store(f.view(h))
	}
}

// cutZone cuts a zone off from the others, but not from the store, and connects all other zones.
func (f *rolloutFleet) cutZone(zone mesh.ZoneName) {
	for _, h := range f.hosts {
		h.cut.Store(h.host.Zone == zone)
	}
	f.connect()
}

// order lets all hosts hear of the orders.
func (f *rolloutFleet) order(asOf uint64, orders ...mesh.RolloutOrder) {
	f.orderAt(mesh.StoreVersion{Number: asOf}, orders...)
}

// orderAt lets all hosts hear of the orders in a state of the store.
func (f *rolloutFleet) orderAt(asOf mesh.StoreVersion, orders ...mesh.RolloutOrder) {
	for _, h := range f.hosts {
		config := configChanged{activeConfig: &activeConfig{FleetConfig: mesh.FleetConfig{AsOf: asOf, Orders: orders}}}
		_ = h.events.Send(f.t.Context(), config)
	}
}

// serve plays 500 requests a second, from all hosts in turn, for d.
func (f *rolloutFleet) serve(d time.Duration) {
	for i := range int(d / (2 * time.Millisecond)) {
		if h := f.hosts[i%len(f.hosts)]; !h.dead.Load() && h != f.unaware {
			f.request(h, i)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// request plays one request as the relay does.
func (f *rolloutFleet) request(h *rolloutTestHost, id int) {
	call := &mesh.Call{CallerRequestID: fmt.Sprint(h.host.Addr, id, f.random.Uint64()), Route: &mesh.Route{Name: "r", Service: "s"}}
	endpoints := h.member.View().Targets["s"]
	if h.View().rule("s") != nil {
		call.Choice, endpoints = h.View().place(call, 0, endpoints)
	}
	allowed := slices.DeleteFunc(slices.Clone(endpoints), func(e mesh.Endpoint) bool { return !call.Choice.Allows(e.Target.Version) })
	if len(allowed) == 0 {
		f.t.Errorf("%v: got no target for %+v", h.host.Addr, call.Choice)
		return
	}
	to := allowed[f.random.IntN(len(allowed))]
	receiver := f.hosts[slices.IndexFunc(f.hosts, func(o *rolloutTestHost) bool { return o.host.Addr == to.Host })]
	if to.Target.Version != "" {
		call.Choice = mesh.VersionChoice{To: to.Target.Version, New: true}
	}
	if r := receiver.View(); r.rule("s") != nil && r.admit(receiver.member.View(), &receiver.host.Targets[0], call.Choice) != nil {
		return
	}
	started, isNew := time.Now(), receiver.host.Targets[0].Version == "v2"
	f.all++
	if isNew {
		f.toNew++
		f.lastToNew = started
	}
	if !h.Started(call, to) {
		return
	}
	answer := &mesh.Answer{Status: 200}
	if isNew && f.random.Float64() < f.failing {
		answer.Status = 500
	}
	receiver.gate.running.Add(1)
	time.AfterFunc(20*time.Millisecond, func() {
		receiver.gate.running.Add(-1)
		h.Ended(call, to, started, answer, nil)
	})
}

// decider returns the host that decides.
func (f *rolloutFleet) decider() (h *rolloutTestHost) {
	addr := f.hosts[0].member.View().Ranked("rollout/s")[0]
	return f.hosts[slices.IndexFunc(f.hosts, func(o *rolloutTestHost) bool { return o.host.Addr == addr })]
}

// check checks the stored state and that all living hosts know it.
func (f *rolloutFleet) check(want mesh.RolloutState) {
	f.t.Helper()
	synctest.Wait()
	if f.store.stored == nil || f.store.stored.State != want {
		f.t.Fatalf("got the record %+v, want state %v", f.store.stored, want)
	}
	for i, state := range f.store.states[:len(f.store.states)-1] {
		if state != mesh.RolloutRunning {
			f.t.Errorf("got states %v; state %d is final and was changed", f.store.states, i)
		}
	}
	for _, h := range f.hosts {
		if got := h.rollouts["s"].Record(); !h.dead.Load() && (got == nil || got.Step != f.store.stored.Step) {
			f.t.Errorf("%v: got the record %+v, want %+v", h.host.Addr, got, f.store.stored)
		}
	}
}

// stop ends the duties, so that the bubble can end.
func (f *rolloutFleet) stop() {
	for _, h := range f.hosts {
		h.cancel()
	}
}

// playRollout runs a test in a bubble with a fleet whose hosts have warmed up.
func playRollout(t *testing.T, test func(f *rolloutFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newRolloutFleet(t)
		defer f.stop()
		time.Sleep(rolloutWarmUp)
		test(f)
	})
}

// TestRolloutCompletes guards against a good version that is not complete by its time limit, and
// against old targets that still run requests then.
func TestRolloutCompletes(t *testing.T) {
	playRollout(t, func(f *rolloutFleet) {
		f.store.beforeWrite = func(next mesh.Rollout) {
			for _, h := range f.hosts[:6] {
				if n := h.gate.Occupied(); next.State == mesh.RolloutComplete && n != 0 {
					t.Errorf("%v: got %d requests at the old target when the roll-out was complete, want none", h.host.Addr, n)
				}
			}
		}
		f.order(5, testOrder)
		f.serve(testOrder.Limit)
		f.check(mesh.RolloutComplete)
	})
}

// TestRolloutGoesOnAfterRestore guards against a roll-out that starts again, ends or is never stored
// since the store has come back from a copy, and against the end of one that the store has lost.
func TestRolloutGoesOnAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(stored *mesh.Rollout) (copied *mesh.Rollout)
	}{
		{"nothing is lost", func(stored *mesh.Rollout) *mesh.Rollout { return stored }},
		{"the record is lost", func(*mesh.Rollout) *mesh.Rollout { return nil }},
		{"a step is lost", func(stored *mesh.Rollout) *mesh.Rollout {
			copied := *stored
			copied.Step--
			return &copied
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			playRollout(t, func(f *rolloutFleet) {
				restore := func(era uint64) {
					again := testOrder
					again.Revision = mesh.StoreVersion{Era: era, Number: 2}
					f.store.mu.Lock()
					f.store.stored = c.lose(f.store.stored)
					f.store.mu.Unlock()
					f.orderAt(mesh.StoreVersion{Era: era, Number: 3}, again)
				}
				f.order(5, testOrder)
				f.serve(testOrder.Limit / 2)
				before := f.store.stored.Step
				restore(1)
				f.serve(testOrder.Limit/2 + time.Second)
				f.check(mesh.RolloutComplete)
				if f.store.stored.Step <= before {
					t.Errorf("got step %d, want one after %d", f.store.stored.Step, before)
				}
				complete := f.store.stored.Step
				restore(2)
				f.serve(2 * time.Second)
				if got := f.store.stored; got == nil || got.Step != complete || got.State != mesh.RolloutComplete {
					t.Errorf("after the end: got the record %+v, want step %d, complete", got, complete)
				}
			})
		})
	}
}

// TestCompletionAwaitsOldTargets guards against a completion, at which old targets stop at once,
// while one of them still runs a request.
func TestCompletionAwaitsOldTargets(t *testing.T) {
	playRollout(t, func(f *rolloutFleet) {
		f.order(5, testOrder)
		f.serve(testOrder.Limit / 2)
		f.hosts[0].gate.running.Add(1)
		f.serve(testOrder.Limit/2 + time.Second)
		if f.store.stored.State != mesh.RolloutRunning || f.store.stored.Share != 1 {
			t.Errorf("got the record %+v while an old target runs a request, want it running with all requests at the new version", f.store.stored)
		}
		f.hosts[0].gate.running.Add(-1)
		f.serve(time.Second)
		f.check(mesh.RolloutComplete)
	})
}

// TestAdmit guards against calls at a target from hosts that have not heard of the order, of its
// stage or of the target's version.
func TestAdmit(t *testing.T) {
	barred := &versionRule{to: "v3", share: 0.1, barred: []mesh.VersionName{"v2"}}
	cases := []struct {
		name   string
		rule   *versionRule
		own    mesh.VersionName
		choice mesh.VersionChoice
		want   bool
	}{
		{"new, sender unaware", &versionRule{to: "v2", share: 0.1}, "v2", mesh.VersionChoice{}, false},
		{"new, meant for another", &versionRule{to: "v2", share: 0.1}, "v2", mesh.VersionChoice{To: "v1", New: true}, false},
		{"new, meant for it", &versionRule{to: "v2", share: 0.1}, "v2", mesh.VersionChoice{To: "v2", New: true}, true},
		{"old, sender unaware", &versionRule{to: "v2", share: 0.1}, "v1", mesh.VersionChoice{}, true},
		{"unknown, sender unaware", &versionRule{to: "v2", share: 0.1}, "", mesh.VersionChoice{}, false},
		{"unknown, sender knows it", &versionRule{to: "v2", share: 0.1}, "", mesh.VersionChoice{To: "v1", New: true}, true},
		{"old in the last stage", &versionRule{to: "v2", share: 1}, "v1", mesh.VersionChoice{To: "v1", New: true}, false},
		{"new in the last stage, sender unaware", &versionRule{to: "v2", share: 1}, "v2", mesh.VersionChoice{}, true},
		{"barred", barred, "v2", mesh.VersionChoice{To: "v2", New: true}, false},
	}
	for _, c := range cases {
		v := &versionView{rules: map[mesh.ServiceName]*versionRule{"s": c.rule}}
		f := &fleet.View{Targets: map[mesh.ServiceName][]mesh.Endpoint{"s": {{Target: mesh.Target{Service: "s", Version: "v1"}}}}}
		refusal := v.admit(f, &mesh.Target{Service: "s", Version: c.own}, c.choice)
		if got := refusal == nil; got != c.want {
			t.Errorf("%s: got admitted %v, want %v", c.name, got, c.want)
		}
		if refusal != nil && (refusal.Outcome != header.NotRun || !refusal.Code.Retryable()) {
			t.Errorf("%s: got refusal %v, want one that another target may run", c.name, refusal)
		}
	}
}

// TestRolloutAnswersLost guards against a step that is decided twice because its writer did not hear
// that it was stored.
func TestRolloutAnswersLost(t *testing.T) {
	playRollout(t, func(f *rolloutFleet) {
		f.store.loseAnswers = true
		f.order(5, testOrder)
		f.serve(testOrder.Limit + time.Second)
		f.check(mesh.RolloutComplete)
	})
}

// TestDeciderKilled guards against a roll-out that nobody takes over when its decider is killed
// between a decision and its write.
func TestDeciderKilled(t *testing.T) {
	playRollout(t, func(f *rolloutFleet) {
		f.failing = 0.3
		killed := false
		f.store.beforeWrite = func(next mesh.Rollout) {
			if next.State == mesh.RolloutRolledBack && !killed {
				killed = true
				f.decider().kill()
			}
		}
		f.order(5, testOrder)
		f.serve(5 * time.Second)
		if !killed {
			t.Fatal("got no decision to roll back, want one within 5 s")
		}
		f.connect()
		f.serve(2 * time.Second)
		f.check(mesh.RolloutRolledBack)
	})
}

// TestDeciderUnaware guards against a bad version that is kept because the host that decides has not
// found it bad, while the hosts that have send it no more requests by which it could.
func TestDeciderUnaware(t *testing.T) {
	playRollout(t, func(f *rolloutFleet) {
		f.failing, f.unaware = 0.3, f.decider()
		f.order(5, testOrder)
		f.serve(8 * time.Second)
		f.check(mesh.RolloutRolledBack)
		if fault := f.unaware.rollouts["s"].Fault(); fault != "" {
			t.Errorf("got the fault %q at the deciding host, want none for the test to show anything", fault)
		}
	})
}

// TestFaultsOfOthers guards against findings that count for another order, after a restart of their
// host or while it is silent.
func TestFaultsOfOthers(t *testing.T) {
	playRollout(t, func(f *rolloutFleet) {
		f.order(5, testOrder)
		synctest.Wait()
		f.hosts[0].cancel()
		synctest.Wait()
		d, from := f.hosts[0].rolloutDuty, f.hosts[1].host.Addr
		tallies := []mesh.VersionTally{{Service: "s", Version: "v1", Route: "r", Sent: 10, Answers: 10}}
		check := func(when string, want float64) {
			t.Helper()
			var fleet canary.Fleet
			d.addFaults(&fleet, "s", d.rollouts["s"])
			if fleet.Faulted != want || (fleet.FaultReason != "") != (want > 0) {
				t.Errorf("%s: got share %v and reason %q, want share %v", when, fleet.Faulted, fleet.FaultReason, want)
			}
		}
		report := func(incarnation mesh.Incarnation) {
			d.receive(time.Now(), &beat.RolloutReport{From: from, Incarnation: incarnation, Tallies: tallies})
		}
		fault := func(incarnation mesh.Incarnation, revision mesh.StoreVersion) {
			d.receiveFault(&beat.Fault{From: from, Incarnation: incarnation, Service: "s", Revision: revision, Reason: "failures"})
		}
		report(1)
		check("no fault", 0)
		fault(1, mesh.StoreVersion{Number: testOrder.Revision.Number - 1})
		check("an earlier order", 0)
		fault(1, testOrder.Revision)
		check("this order", 1)
		report(2)
		check("restarted", 0)
		fault(2, testOrder.Revision)
		fault(1, testOrder.Revision)
		check("found again", 1)
		f.hosts[1].kill()
		f.connect()
		check("silent", 0)
		d.prune()
		if len(d.faults) != 0 {
			t.Errorf("got %d faults of silent hosts, want none", len(d.faults))
		}
	})
}

// TestStoreDownWhileBad guards against requests to a bad version for as long as the store is down.
func TestStoreDownWhileBad(t *testing.T) {
	playRollout(t, func(f *rolloutFleet) {
		f.order(5, testOrder)
		f.serve(3 * time.Second)
		f.store.setDown(true)
		f.failing = 0.5
		f.serve(3 * time.Second)
		if quiet := time.Since(f.lastToNew); quiet < time.Second {
			t.Errorf("got a request to the bad version %v ago, want none for 1 s", quiet)
		}
		f.store.setDown(false)
		f.serve(2 * time.Second)
		f.check(mesh.RolloutRolledBack)
	})
}

// TestTwoDeciders guards against records of two hosts that both decide, since they do not hear each
// other, and against a roll-out that does not go on once they do.
func TestTwoDeciders(t *testing.T) {
	playRollout(t, func(f *rolloutFleet) {
		f.cutZone("zone-0")
		f.order(5, testOrder)
		f.serve(2 * time.Second)
		if f.store.conflicts == 0 || len(f.store.states) != 1 {
			t.Errorf("got %d conflicts and %d records, want two deciders and one record", f.store.conflicts, len(f.store.states))
		}
		f.cutZone("")
		f.serve(testOrder.Limit)
		f.check(mesh.RolloutComplete)
	})
}

// TestZoneCutWhileExposed guards against a completion while the old targets of a zone that is cut
// off still run its requests.
func TestZoneCutWhileExposed(t *testing.T) {
	playRollout(t, func(f *rolloutFleet) {
		f.order(5, testOrder)
		f.serve(5 * time.Second)
		f.cutZone("zone-0")
		f.serve(testOrder.Limit)
		f.check(mesh.RolloutRolledBack)
	})
}

// TestOrders guards against an order that is taken back, replaced or impossible and leaves its new
// version with requests, or the operator without a state.
func TestOrders(t *testing.T) {
	later := mesh.RolloutOrder{Service: "s", To: "v3", Limit: 6 * time.Second, Revision: mesh.StoreVersion{Number: 9}}
	same := mesh.RolloutOrder{Service: "s", To: "v1", Limit: 6 * time.Second, Revision: mesh.StoreVersion{Number: 5}}
	unknown := mesh.RolloutOrder{Service: "u", To: "v2", Limit: 6 * time.Second, Revision: mesh.StoreVersion{Number: 5}}
	cases := map[string]struct {
		first mesh.RolloutOrder
		then  []mesh.RolloutOrder
		want  mesh.RolloutState
		toNew bool

		// oldOnly is true when the new version has no targets.
		oldOnly bool
	}{
		"taken back":      {first: testOrder, want: mesh.RolloutWithdrawn},
		"replaced":        {first: testOrder, then: []mesh.RolloutOrder{later}, want: mesh.RolloutRejected},
		"runs already":    {first: same, then: []mesh.RolloutOrder{same}, want: mesh.RolloutRejected, oldOnly: true},
		"no targets":      {first: testOrder, then: []mesh.RolloutOrder{testOrder}, want: mesh.RolloutRejected, oldOnly: true},
		"unknown service": {first: unknown, then: []mesh.RolloutOrder{unknown}, want: mesh.RolloutRejected, toNew: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			playRollout(t, func(f *rolloutFleet) {
				for _, h := range f.hosts[6:] {
					if c.oldOnly {
						h.kill()
					}
				}
				f.connect()
				f.order(5, c.first)
				f.serve(3 * time.Second)
				f.order(9, c.then...)
				f.serve(5 * time.Second)
				if f.store.stored == nil || f.store.stored.State != c.want || f.store.stored.Reason == "" {
					t.Fatalf("got the record %+v, want state %v with a reason", f.store.stored, c.want)
				}
				if served := f.all; served < 2000 {
					t.Errorf("got %d requests at targets, want at least 2000 of 4000", served)
				}
				if got := time.Since(f.lastToNew) < 3*time.Second; got != c.toNew {
					t.Errorf("got requests to the new version: %v, want %v", got, c.toNew)
				}
			})
		})
	}
}

// TestRolloutsOff guards against datagrams, calls to the store and counts of hosts that have no
// roll-outs to carry out.
func TestRolloutsOff(t *testing.T) {
	playRollout(t, func(f *rolloutFleet) {
		for _, h := range f.hosts {
			h.bounds.Share = 0
			h.transmit = func([]byte, netip.AddrPort) error {
				t.Error("got a datagram, want none")
				return nil
			}
		}
		f.order(5, testOrder)
		f.serve(2 * time.Second)
		if f.store.stored != nil || f.hosts[0].View().rule("s") != nil {
			t.Errorf("got the record %+v, want none", f.store.stored)
		}
	})
}

// TestOrdersBetweenNodes guards against orders that are lost on their way between nodes, or that a
// node of an earlier build, which does not know them, removes.
func TestOrdersBetweenNodes(t *testing.T) {
	known := []mesh.RolloutOrder{testOrder}
	for name, c := range map[string]struct{ sent, want []mesh.RolloutOrder }{
		"some": {known, known}, "none": {nil, nil},
	} {
		if got := decodeOrders(encodeOrders(c.sent), known); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
	if got := decodeOrders(nil, known); !slices.Equal(got, known) {
		t.Errorf("from an earlier build: got %v, want %v", got, known)
	}
	if got, want := digestOrders(nil), uint64(0); got != want {
		t.Errorf("got the digest %d without orders, want %d as in an earlier build", got, want)
	}
	before, after := mesh.StoreVersion{Number: 4}, mesh.StoreVersion{Number: 5}
	merged, changed := rules.Merge(time.Now(), mesh.FleetConfig{AsOf: before}, mesh.FleetConfig{AsOf: after, Orders: known})
	if !changed || !slices.Equal(merged.Orders, known) {
		t.Errorf("got %v (changed: %v) after a later state of the store, want %v", merged.Orders, changed, known)
	}
	merged, _ = rules.Merge(time.Now(), merged, mesh.FleetConfig{AsOf: before})
	if !slices.Equal(merged.Orders, known) {
		t.Errorf("got %v after an earlier state of the store, want %v", merged.Orders, known)
	}
}
