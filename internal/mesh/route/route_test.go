package route

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

var testStart = time.Unix(1_000_000, 0)

// TestMain fixes the seed of the model tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func testCall(class mesh.Class) (call *mesh.Call) {
	return &mesh.Call{Class: class, Route: &mesh.Route{Service: "ledger", Name: "book", Class: class, Idempotent: true}, AttemptsLeft: 2}
}

// testEndpoints returns two targets in each of two zones, near ones first.
func testEndpoints() (endpoints []mesh.Endpoint) {
	for i, z := range []mesh.ZoneName{"near", "near", "far", "far"} {
		host := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		target := mesh.Target{Service: "ledger", Addr: netip.AddrPortFrom(host.Addr(), 8000), Incarnation: 1}
		endpoints = append(endpoints, mesh.Endpoint{Host: host, Zone: z, Target: target})
	}
	return endpoints
}

// newPicker returns a picker for which the slow start of all endpoints is over.
func newPicker(endpoints []mesh.Endpoint) (p *TwoChoices) {
	p = NewTwoChoices(rand.New(rand.NewPCG(1, 2)))
	p.Pick(testStart.Add(-2*slowStartTime), testCall(0), "near", endpoints, nil)
	return p
}

// refusedReport returns the report of a call that was refused with the code.
func refusedReport(code header.RefusalCode, level mesh.Class) (r mesh.LinkReport) {
	return mesh.LinkReport{Call: testCall(0), Refusal: mesh.NotRun(code, ""), Level: level}
}

// TestPickZone guards against calls that leave their zone needlessly, stay in it
// although no target there accepts them, or go to a target that will refuse them.
func TestPickZone(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports [4]header.RefusalCode
		tried   []int
		after   time.Duration

		// want holds the endpoints that may be picked, and code the expected refusal.
		want []int
		code header.RefusalCode
	}{
		{"own zone", [4]header.RefusalCode{}, nil, 0, []int{0, 1}, ""},
		{"other target", [4]header.RefusalCode{header.TargetDraining}, nil, 0, []int{1}, ""},
		{"other zone", [4]header.RefusalCode{header.TargetUnreachable, header.ZoneOut}, nil, 0, []int{2, 3}, ""},
		{"own zone overloaded", [4]header.RefusalCode{header.Overloaded, header.Overloaded}, nil, 0, []int{2, 3}, ""},
		{"own zone tried", [4]header.RefusalCode{}, []int{0, 1}, 0, []int{2, 3}, ""},
		{"all tried", [4]header.RefusalCode{}, []int{0, 1, 2, 3}, 0, []int{0, 1, 2, 3}, ""},
		{"none", [4]header.RefusalCode{header.NodeLeaving, header.NodeLeaving, header.NodeLeaving, header.NodeLeaving}, nil, 0, nil, header.NoTarget},
		{"all overloaded", [4]header.RefusalCode{header.Overloaded, header.Overloaded, header.Overloaded, header.Overloaded}, nil, 0, nil, header.Overloaded},
		{"stale level", [4]header.RefusalCode{header.Overloaded, header.Overloaded, header.Overloaded, header.Overloaded}, nil, 2 * levelTTL, []int{0, 1}, ""},
		{"failed link is due", [4]header.RefusalCode{header.TargetUnreachable}, nil, minBackoff, []int{0}, ""},
	} {
		endpoints := testEndpoints()
		p := newPicker(endpoints)
		for i, code := range c.reports {
			if code != "" {
				r := refusedReport(code, mesh.ClassCritical)
				r.To = endpoints[i]
				p.Report(testStart, r)
			}
		}
		var tried []netip.AddrPort
		for _, i := range c.tried {
			tried = append(tried, endpoints[i].Host)
		}
		now := testStart.Add(c.after)
		p.lastProbe[routeKey{service: "ledger", name: "book"}] = now
		chosen, refusal := p.Pick(now, testCall(mesh.ClassNormal), "near", endpoints, tried)
		i := slices.Index(endpoints, chosen)
		switch {
		case refusal != nil && (refusal.Code != c.code || refusal.Outcome != header.NotRun):
			t.Errorf("%s: got %v, want code %q", c.name, refusal, c.code)
		case refusal == nil && !slices.Contains(c.want, i):
			t.Errorf("%s: got endpoint %d, want one of %v or %q", c.name, i, c.want, c.code)
		}
	}
}

// TestLevelProbes guards against an early refusal that sends no probes, so that
// the end of the overload is not detected, or so many that the target is not
// relieved.
func TestLevelProbes(t *testing.T) {
	endpoints := testEndpoints()[:2]
	p := newPicker(endpoints)
	through := 0
	for i := range 1000 {
		now := testStart.Add(time.Duration(i) * time.Millisecond)
		for _, e := range endpoints {
			r := refusedReport(header.Overloaded, mesh.ClassHigh)
			r.To = e
			p.Report(now, r)
		}
		_, refusal := p.Pick(now, testCall(mesh.ClassNormal), "near", endpoints, nil)
		switch {
		case refusal == nil:
			through++
		case refusal.Level != mesh.ClassHigh || refusal.RetryAfter < levelTTL:
			t.Fatalf("got level %v, retry after %v", refusal.Level, refusal.RetryAfter)
		}
	}
	if through < 5 || through > 1000/probeOneIn*2 {
		t.Errorf("got %d probes of 1000 calls, want from 5 to %d", through, 1000/probeOneIn*2)
	}
	p.Report(testStart.Add(time.Second), mesh.LinkReport{To: endpoints[0], Call: testCall(0), Level: mesh.ClassLow})
	if chosen, refusal := p.Pick(testStart.Add(time.Second), testCall(mesh.ClassNormal), "near", endpoints, nil); refusal != nil || chosen != endpoints[0] {
		t.Errorf("after the overload: got %v %v, want the target that accepts", chosen, refusal)
	}
}

// TestSlowStart guards against a zone or target that receives its full share of
// calls as soon as it returns.
func TestSlowStart(t *testing.T) {
	for _, c := range []struct {
		name  string
		away  []int
		after time.Duration

		// least and most bound the share of the calls, in percent.
		least, most int
	}{
		{"zone at once", []int{0, 1}, 0, 1, 12},
		{"zone half way", []int{0, 1}, slowStartTime / 2, 40, 65},
		{"zone later", []int{0, 1}, slowStartTime, 100, 100},
		{"target at once", []int{0}, 0, 1, 8},
		{"target later", []int{0}, slowStartTime, 40, 60},
	} {
		endpoints := testEndpoints()
		p := newPicker(endpoints)
		returned := func(e mesh.Endpoint) bool { return slices.Contains(c.away, slices.Index(endpoints, e)) }
		p.Pick(testStart.Add(-time.Millisecond), testCall(0), "near", slices.DeleteFunc(slices.Clone(endpoints), returned), nil)
		p.Pick(testStart, testCall(0), "near", endpoints, nil)
		got := 0
		for range 1000 {
			if chosen, _ := p.Pick(testStart.Add(c.after), testCall(0), "near", endpoints, nil); returned(chosen) {
				got++
			}
		}
		if got < 10*c.least || got > 10*c.most {
			t.Errorf("%s: got %d of 1000 calls, want from %d%% to %d%%", c.name, got, c.least, c.most)
		}
	}
}

// TestFailedLinksAreProbedAlone guards against a failed link that receives calls
// during its backoff, or more than one probe at a time.
func TestFailedLinksAreProbedAlone(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		endpoints := testEndpoints()
		p, now := newPicker(endpoints), testStart
		var failures [4]int
		var retryAt [4]time.Time
		var out []int
		r.Repeat(map[string]func(*rapid.T){
			"pick": func(*rapid.T) {
				chosen, refusal := p.Pick(now, testCall(0), "near", endpoints, nil)
				if refusal != nil {
					return
				}
				i := slices.Index(endpoints, chosen)
				if now.Before(retryAt[i]) {
					r.Fatalf("endpoint %d was picked %v before the end of its backoff", i, retryAt[i].Sub(now))
				}
				if failures[i] > 0 && slices.Contains(out, i) {
					r.Fatalf("endpoint %d with %d failures was picked twice at once", i, failures[i])
				}
				out = append(out, i)
			},
			"report": func(*rapid.T) {
				if len(out) == 0 {
					return
				}
				i := out[0]
				// All calls in flight to the target end together.
				out = slices.DeleteFunc(out, func(j int) bool { return j == i })
				report := mesh.LinkReport{To: endpoints[i], Call: testCall(0), Level: mesh.ClassLow}
				failures[i], retryAt[i] = 0, time.Time{}
				if rapid.Bool().Draw(r, "fails") {
					failures[i]++
					retryAt[i] = now.Add(minBackoff)
					report.Refusal = mesh.NotRun(header.TargetUnreachable, "")
				}
				p.Report(now, report)
			},
			"wait": func(*rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(r, "ms")) * time.Millisecond) },
		})
	})
}

// TestOneFailureCountsOnce guards against concurrent calls that fail together and
// extend the backoff as if they had failed in a row.
func TestOneFailureCountsOnce(t *testing.T) {
	endpoints := testEndpoints()[:1]
	p := newPicker(endpoints)
	r := refusedReport(header.TargetUnreachable, mesh.ClassLow)
	r.To = endpoints[0]
	for range 50 {
		p.Report(testStart, r)
	}
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{minBackoff - 1, false}, {minBackoff, true}} {
		if _, refusal := p.Pick(testStart.Add(c.after), testCall(0), "near", endpoints, nil); (refusal == nil) != c.want {
			t.Errorf("after %v: got %v, want a choice: %v", c.after, refusal, c.want)
		}
	}
}

// TestRestartResetsFailures guards against a restarted target that receives no
// calls because of the backoff of its earlier incarnation.
func TestRestartResetsFailures(t *testing.T) {
	endpoints := testEndpoints()[:1]
	p := newPicker(endpoints)
	r := refusedReport(header.TargetUnreachable, mesh.ClassLow)
	r.To = endpoints[0]
	p.Report(testStart, r)
	for _, want := range []bool{false, true} {
		if _, refusal := p.Pick(testStart, testCall(0), "near", endpoints, nil); (refusal == nil) != want {
			t.Errorf("incarnation %d: got %v, want a choice: %v", endpoints[0].Target.Incarnation, refusal, want)
		}
		endpoints[0].Target.Incarnation++
	}
}

// TestOnlyLink guards against a service whose calls are all refused for a second
// after one failed connection to its only target, because the calls are not
// idempotent.
func TestOnlyLink(t *testing.T) {
	endpoints := testEndpoints()[:1]
	p := newPicker(endpoints)
	r := refusedReport(header.TargetUnreachable, mesh.ClassLow)
	r.To = endpoints[0]
	p.Report(testStart, r)
	call := testCall(0)
	call.Route.Idempotent = false
	early := testStart.Add(minBackoff / 4)
	_, refusal := p.Pick(early, call, "near", endpoints, nil)
	if refusal == nil || refusal.Code != header.NoTarget || refusal.RetryAfter != testStart.Add(minBackoff).Sub(early) {
		t.Errorf("before the end of the backoff: got %+v, want a refusal until then", refusal)
	}
	if _, refusal := p.Pick(testStart.Add(minBackoff), call, "near", endpoints, nil); refusal != nil {
		t.Errorf("at the end of the backoff: got %v, want a choice", refusal)
	}
	if _, refusal := p.Pick(testStart.Add(minBackoff), call, "near", endpoints, nil); refusal == nil {
		t.Error("while a probe is in flight: got a choice, want a refusal")
	}
	lost := refusedReport(header.AnswerLost, mesh.ClassLow)
	lost.To = endpoints[0]
	p.Report(testStart.Add(minBackoff), lost)
	if _, refusal := p.Pick(testStart.Add(4*minBackoff), call, "near", endpoints, nil); refusal == nil {
		t.Error("after a lost answer: got a choice, want a refusal, since the call is not idempotent")
	}
}
