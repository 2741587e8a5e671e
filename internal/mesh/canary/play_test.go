package canary

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	playTick = 100 * time.Millisecond

	// reportDelay is how late the counts of the other hosts arrive. Hosts report more often once
	// the new version gets all requests.
	reportDelay     = 400 * time.Millisecond
	fullReportDelay = 100 * time.Millisecond

	newVersion mesh.VersionName = "v2"
	oldVersion mesh.VersionName = "v1"
)

var playBounds = Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

// moment is the state of a play when a request is answered.
type moment struct {
	at       time.Duration
	share    float64
	route    string
	isNew    bool
	coldTill time.Duration
}

// play is a roll-out of a service with two routes, one of which gets a tenth of its requests.
type play struct {
	limit time.Duration
	rate  func(at time.Duration) float64

	// failing is the part of the answers that are failures, slow the part that takes slowFactor
	// times as long.
	failing, slow func(m moment) float64
	slowFactor    float64

	random    *rand.Rand
	start     time.Time
	cold      time.Duration
	ledger    *Ledger
	tallies   map[tallyKey]*mesh.VersionTally
	delayed   []delayedReport
	exposed   int
	total     int
	bad       int
	fiftieth  time.Duration
	lastToNew time.Duration
}

type delayedReport struct {
	at      time.Time
	tallies []mesh.VersionTally
}

func never(moment) float64 { return 0 }

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func bucketOf(latency time.Duration) (bucket int) {
	if latency < time.Millisecond {
		return 0
	}
	return min(len(mesh.LatencyBuckets{})-1, 1+int(2*math.Log2(latency.Seconds()*1000)))
}

// run plays the roll-out to its end and returns the last record.
func (p *play) run(t *testing.T, seed uint64) (last mesh.Rollout) {
	t.Helper()
	p.begin(seed)
	c := New(p.start, mesh.RolloutOrder{Service: "s", To: newVersion, Limit: p.limit, Revision: mesh.StoreVersion{Number: 1}}, playBounds)
	for at := time.Duration(0); at < p.limit+2*time.Second; at += playTick {
		now := p.start.Add(at)
		p.requests(at, c.Share(now))
		p.report(now, c.Share(now))
		c.Observe(now, p.ledger.Totals("s", newVersion))
		step := uint64(0)
		if c.Record() != nil {
			step = c.Record().Step
		}
		fleet := Fleet{ServiceKnown: true, Targets: []Target{
			{Version: newVersion, Slots: 400, Cold: at < p.cold, Step: step},
			{Version: oldVersion, Slots: 400, Running: int(40 * (1 - c.Share(now))), Step: step},
		}}
		if next, changed := c.Next(now, fleet); changed {
			c.Adopt(now, next)
			last = next
		}
	}
	return last
}

// begin sets the state of a play that has not begun.
func (p *play) begin(seed uint64) {
	p.random = rand.New(rand.NewPCG(seed, 1))
	p.start = time.Unix(1000, 0)
	p.ledger, p.tallies = NewLedger(), make(map[tallyKey]*mesh.VersionTally)
}

// requests plays the requests of one tick.
func (p *play) requests(at time.Duration, share float64) {
	n := p.rate(at) * playTick.Seconds()
	count := int(n)
	if p.random.Float64() < n-float64(count) {
		count++
	}
	for range count {
		m := moment{at: at, share: share, route: "a", isNew: p.random.Float64() < share, coldTill: p.cold}
		if p.random.IntN(10) == 0 {
			m.route = "b"
		}
		p.request(m)
	}
}

func (p *play) request(m moment) {
	version := oldVersion
	if m.isNew {
		version = newVersion
	}
	failed := p.random.Float64() < p.failing(m)
	latency := time.Duration(60 * math.Exp(0.4*p.random.NormFloat64()) * float64(time.Millisecond))
	slow := p.random.Float64() < p.slow(m)
	if slow {
		latency = time.Duration(p.slowFactor * float64(latency))
	}
	key := tallyKey{service: "s", version: version, route: m.route}
	tally := p.tallies[key]
	if tally == nil {
		tally = &mesh.VersionTally{Service: "s", Version: version, Route: m.route}
		p.tallies[key] = tally
	}
	tally.Sent++
	tally.Answers++
	if failed {
		tally.Failures++
	}
	if !m.isNew || m.at >= m.coldTill {
		tally.Latencies[bucketOf(latency)]++
	}
	if m.at > p.limit {
		return
	}
	p.total++
	if m.isNew {
		p.exposed++
		p.lastToNew = m.at
		if failed || slow {
			if p.bad++; p.bad == 50 {
				p.fiftieth = m.at
			}
		}
	}
}

func (p *play) report(now time.Time, share float64) {
	r := delayedReport{at: now.Add(reportDelay)}
	if share == 1 {
		r.at = now.Add(fullReportDelay)
	}
	for _, t := range p.tallies {
		r.tallies = append(r.tallies, *t)
	}
	p.delayed = append(p.delayed, r)
	p.delayed = slices.DeleteFunc(p.delayed, func(r delayedReport) bool {
		if r.at.After(now) {
			return false
		}
		p.ledger.Apply(netip.MustParseAddrPort("10.0.0.1:1"), 1, r.tallies)
		return true
	})
}

// newOnly returns a fault of the new version alone.
func newOnly(part float64, when func(m moment) bool) func(moment) float64 {
	return func(m moment) float64 {
		if m.isNew && when(m) {
			return part
		}
		return 0
	}
}

func always(moment) bool { return true }

const plays = 20

// TestBadVersions guards against a bad version that gets more requests than callers accept, or
// that gets requests long after it showed that it is bad.
func TestBadVersions(t *testing.T) {
	cases := map[string]play{
		"failures at once":      {failing: newOnly(0.3, always), slow: never},
		"few failures":          {failing: newOnly(0.1, always), slow: never},
		"slow at once":          {failing: never, slow: newOnly(0.3, always), slowFactor: 4},
		"all slow":              {failing: never, slow: newOnly(1, always), slowFactor: 3},
		"failures later":        {failing: newOnly(0.3, func(m moment) bool { return m.at > 7*time.Second }), slow: never},
		"failures at the end":   {failing: newOnly(0.3, func(m moment) bool { return m.at > 11*time.Second }), slow: never},
		"slow later":            {failing: never, slow: newOnly(0.3, func(m moment) bool { return m.at > 8*time.Second }), slowFactor: 5},
		"failures under load":   {failing: newOnly(0.3, func(m moment) bool { return m.share > 0.5 }), slow: never},
		"slow under load":       {failing: never, slow: newOnly(0.4, func(m moment) bool { return m.share > 0.5 }), slowFactor: 4},
		"failures on one route": {failing: newOnly(0.5, func(m moment) bool { return m.route == "b" }), slow: never},
		"slow on one route":     {failing: never, slow: newOnly(0.6, func(m moment) bool { return m.route == "b" }), slowFactor: 5},
	}
	for name, p := range cases {
		for _, limit := range []time.Duration{12 * time.Second, 40 * time.Second} {
			for _, rate := range []float64{60, 400} {
				t.Run(name, func(t *testing.T) {
					for seed := range uint64(plays) {
						checkBad(t, p, limit, rate, seed)
					}
				})
			}
		}
	}
}

func checkBad(t *testing.T, p play, limit time.Duration, rate float64, seed uint64) {
	t.Helper()
	p.limit, p.rate = limit, steady(rate)
	last := p.run(t, seed)
	if allowed := playBounds.Share*float64(p.total) + playBounds.Slack; float64(p.exposed) > allowed {
		t.Errorf("limit %v, rate %.0f, seed %d: got %d of %d requests at the bad version (%s), want at most %.0f", limit, rate, seed, p.exposed, p.total, last.Reason, allowed)
	}
	if p.fiftieth > 0 && p.lastToNew > p.fiftieth+playBounds.Rollback {
		t.Errorf("limit %v, rate %.0f, seed %d: got a request %v after the 50th bad answer, want none after %v", limit, rate, seed, p.lastToNew-p.fiftieth, playBounds.Rollback)
	}
	// Fewer bad answers may stay unnoticed.
	if p.bad >= 50 && last.State != mesh.RolloutRolledBack {
		t.Errorf("limit %v, rate %.0f, seed %d: got state %d (%s) with %d bad answers, want a roll-back", limit, rate, seed, last.State, last.Reason, p.bad)
	}
}

// TestGoodVersions guards against the roll-back of a good version beside a disturbance that hits
// both versions or in its cold start, and against one that is complete too late.
func TestGoodVersions(t *testing.T) {
	between := func(from, to time.Duration, part float64) func(moment) float64 {
		return func(m moment) float64 {
			if m.at > from && m.at < to {
				return part
			}
			return 0.01
		}
	}
	cases := map[string]play{
		"calm":              {failing: never, slow: never},
		"usual failures":    {failing: func(moment) float64 { return 0.05 }, slow: func(moment) float64 { return 0.05 }, slowFactor: 6},
		"failures for 3 s":  {failing: between(4*time.Second, 7*time.Second, 0.5), slow: never},
		"slow for 3 s":      {failing: never, slow: between(4*time.Second, 7*time.Second, 0.8), slowFactor: 8},
		"disturbed for 8 s": {failing: between(3*time.Second, 11*time.Second, 0.2), slow: between(3*time.Second, 11*time.Second, 0.4), slowFactor: 5},
		"first full load":   {failing: never, slow: newOnly(0.1, func(m moment) bool { return m.share > 0.5 }), slowFactor: 4},
		"cold start":        {failing: never, slow: newOnly(1, func(m moment) bool { return m.at < m.coldTill }), slowFactor: 5, cold: 4 * time.Second},
	}
	for name, p := range cases {
		for _, limit := range []time.Duration{12 * time.Second, 40 * time.Second} {
			for _, rate := range []float64{60, 400} {
				t.Run(name, func(t *testing.T) {
					for seed := range uint64(plays) {
						p := p
						p.limit, p.rate = limit, steady(rate)
						last := p.run(t, seed)
						if last.State != mesh.RolloutComplete || last.Elapsed > limit {
							t.Errorf("limit %v, rate %.0f, seed %d: got state %d after %v (%s), want complete by the limit", limit, rate, seed, last.State, last.Elapsed, last.Reason)
						}
					}
				})
			}
		}
	}
}

// TestGoodVersionInBurst guards against a good version that is rolled back since the rate of its
// service jumps.
func TestGoodVersionInBurst(t *testing.T) {
	for seed := range uint64(plays) {
		p := play{limit: 12 * time.Second, failing: never, slow: never, rate: func(at time.Duration) float64 {
			if at > 8*time.Second {
				return 1500
			}
			return 300
		}}
		last := p.run(t, seed)
		if last.State != mesh.RolloutComplete || last.Elapsed > p.limit {
			t.Errorf("seed %d: got state %d after %v (%s), want complete by the limit", seed, last.State, last.Elapsed, last.Reason)
		}
	}
}

// TestDeciderInDoubt guards against a bad version that is kept because the hosts that send requests
// have found it bad and send it no more, and the deciding host, whose slices of time begin at other
// moments, has then seen too little to find it.
func TestDeciderInDoubt(t *testing.T) {
	const plays, later = 200, 300 * time.Millisecond
	order := mesh.RolloutOrder{Service: "s", To: newVersion, Limit: 20 * time.Second, Revision: mesh.StoreVersion{Number: 1}}
	canaryRecord := mesh.Rollout{Order: order, Step: 1, Share: 0.025}
	doubted := 0
	for seed := range uint64(plays) {
		p := &play{limit: order.Limit, rate: steady(170), slow: never}
		p.failing = func(m moment) float64 {
			if m.isNew {
				return 0.3
			}
			return 0.02
		}
		p.begin(seed)
		sender, decider := New(p.start, order, playBounds), New(p.start, order, playBounds)
		sender.Adopt(p.start, canaryRecord)
		decider.Adopt(p.start, canaryRecord)
		for at := time.Duration(0); at < p.limit && !decider.Ended(); at += playTick {
			now := p.start.Add(at)
			p.requests(at, sender.Share(now))
			p.report(now, sender.Share(now))
			sender.Observe(now, p.ledger.Totals("s", newVersion))
			if at >= later {
				decider.Observe(now, p.ledger.Totals("s", newVersion))
			}
			fleet := Fleet{
				ServiceKnown: true, Targets: []Target{{Version: newVersion, Slots: 400, Step: 1}, {Version: oldVersion, Slots: 400, Running: 9, Step: 1}},
				FaultReason: sender.Fault(),
			}
			if sender.Fault() != "" {
				fleet.Faulted = 1
			}
			if next, changed := decider.Next(now, fleet); changed && next.State == mesh.RolloutRolledBack {
				decider.Adopt(now, next)
			}
		}
		if !decider.Ended() || decider.Record().State != mesh.RolloutRolledBack {
			t.Errorf("seed %d: got the record %+v, want it rolled back; the sender has found %q", seed, decider.Record(), sender.Fault())
		}
		if decider.Fault() == "" {
			doubted++
		}
	}
	if doubted == 0 {
		t.Errorf("got no play in which only the sender found the version bad, want some in %d", plays)
	}
}

// TestFaultedHosts guards against a good version that is rolled back since a few hosts have found it
// bad, and against one that is complete although a host still sends it no requests.
func TestFaultedHosts(t *testing.T) {
	start := time.Unix(1000, 0)
	order := mesh.RolloutOrder{Service: "s", To: newVersion, Limit: time.Minute, Revision: mesh.StoreVersion{Number: 1}}
	late := order.Limit + drainLimit
	cases := []struct {
		name    string
		share   float64
		elapsed time.Duration
		faulted float64
		want    mesh.RolloutState
	}{
		{"a few at first", 0.02, 10 * time.Second, 0.4, mesh.RolloutRunning},
		{"half at first", 0.02, 10 * time.Second, 0.5, mesh.RolloutRolledBack},
		{"a few with all requests", 1, 58 * time.Second, 0.4, mesh.RolloutRunning},
		{"half with all requests", 1, 58 * time.Second, 0.5, mesh.RolloutRolledBack},
		{"a few at the end", 1, late, 0.1, mesh.RolloutRolledBack},
		{"none at the end", 1, late, 0, mesh.RolloutComplete},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := Fleet{
				ServiceKnown: true, Faulted: c.faulted,
				Targets: []Target{{Version: newVersion, Slots: 400, Step: 2}, {Version: oldVersion, Slots: 400, Running: 1, Step: 2}},
			}
			if c.faulted > 0 {
				fleet.FaultReason = "6 of 20 answers were failures"
			}
			ctl := New(start, order, playBounds)
			ctl.Adopt(start.Add(c.elapsed-time.Second), mesh.Rollout{Order: order, Step: 2, Share: c.share, Elapsed: c.elapsed - time.Second})
			if got, _, _ := ctl.decide(start.Add(c.elapsed), fleet); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestFinalRecord guards against a host that leaves the final state of an order.
func TestFinalRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	order := mesh.RolloutOrder{Service: "s", To: newVersion, Limit: time.Minute, Revision: mesh.StoreVersion{Number: 1}}
	c := New(now, order, playBounds)
	c.Adopt(now, mesh.Rollout{Order: order, State: mesh.RolloutRolledBack, Step: 4})
	if c.Adopt(now, mesh.Rollout{Order: order, State: mesh.RolloutRunning, Step: 5, Share: 1}) {
		t.Error("got a later step of an order that has ended taken over, want it ignored")
	}
	if next, changed := c.Next(now.Add(time.Hour), Fleet{ServiceKnown: true}); changed {
		t.Errorf("got the decision %+v on an order that has ended, want none", next)
	}
}

// TestLedger guards against requests that are counted twice, since reports arrive late or twice, or
// not at all, since a host restarts.
func TestLedger(t *testing.T) {
	l, from := NewLedger(), netip.MustParseAddrPort("10.0.0.1:1")
	report := func(incarnation mesh.Incarnation, sent, answers uint64) {
		l.Apply(from, incarnation, []mesh.VersionTally{{Service: "s", Version: newVersion, Route: "a", Sent: sent, Answers: answers}})
	}
	report(1, 5, 4)
	report(1, 5, 4)
	report(1, 9, 8)
	report(1, 7, 6)
	report(2, 3, 2)
	report(1, 20, 20)
	report(2, 4, 4)
	want := Counts{Sent: 13, Answers: 12}
	if got := l.Totals("s", newVersion)["a"].New; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestTimeOfOrder guards against a host that has started after the order and takes its limit to end
// later than it does.
func TestTimeOfOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	order := mesh.RolloutOrder{Service: "s", To: newVersion, Limit: time.Minute, Revision: mesh.StoreVersion{Number: 1}}
	c := New(now, order, playBounds)
	c.Adopt(now, mesh.Rollout{Order: order, Step: 2, Elapsed: 2 * time.Second})
	c.Adopt(now.Add(time.Second), mesh.Rollout{Order: order, Step: 2, Elapsed: 6 * time.Second})
	if got, want := c.Elapsed(now.Add(time.Second)), 6*time.Second; got != want {
		t.Errorf("got %v since the order, want %v", got, want)
	}
}
