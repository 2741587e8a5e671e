package share

import (
	"flag"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init fixes the seed and the number of runs. The command line overrides both.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
}

// bucket checks that the admissions in every window stay within burst + rate × window. That
// holds exactly when a token bucket of that size and rate, full at the start, never runs dry.
type bucket struct {
	tokens, rate, burst float64
	last                time.Time
}

func (b *bucket) take(now time.Time) (within bool) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	b.tokens--
	return b.tokens > -1e-6
}

// randomFleet drives a fleet by random steps.
type randomFleet struct {
	*fleet
	admitted bucket
}

func (c *randomFleet) count(t *rapid.T) {
	for _, at := range c.admissions {
		if !c.admitted.take(at) {
			t.Fatalf("admission at %v: got more than burst plus rate times window", at)
		}
	}
	c.admissions = nil
}

func (c *randomFleet) node(t *rapid.T) (a netip.AddrPort) {
	return rapid.SampledFrom(c.addrs).Draw(t, "node")
}

func (c *randomFleet) step(t *rapid.T) {
	kind := rapid.SampledFrom([]string{
		"admit", "admit", "admit", "message", "message", "message", "message", "lose", "repeat", "repeat", "job", "lose-job",
		"wait", "wait", "pause", "run", "run", "crash", "start", "leave", "lease",
	}).Draw(t, "step")
	switch kind {
	case "admit":
		if a := c.node(t); c.ledgers[a] != nil {
			c.admit(a)
		}
	case "message", "repeat", "lose":
		c.deliverOrLose(t, kind)
	case "job", "lose-job":
		if len(c.jobs) > 0 {
			j := c.jobs[0]
			c.jobs = c.jobs[1:]
			c.runJob(j, kind == "lose-job")
		}
	case "run":
		c.advance(c.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "milliseconds")) * time.Millisecond))
	case "wait", "pause", "lease":
		c.wait(t, kind)
	case "crash", "leave", "start":
		c.stop(t, kind)
	}
	c.count(t)
	c.check(t)
}

// deliverOrLose delivers a random message, so that messages are reordered, delivers one again,
// or loses it for now.
func (c *randomFleet) deliverOrLose(t *rapid.T, kind string) {
	from := &c.inFlight
	if kind == "repeat" {
		from = &c.delivered
	}
	if len(*from) == 0 {
		return
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "message")
	m := (*from)[i]
	if kind != "repeat" {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
		c.delivered = append(c.delivered, m)
	}
	if kind != "lose" {
		c.deliver(m)
	}
}

func (c *randomFleet) wait(t *rapid.T, kind string) {
	longest := map[string]time.Duration{"wait": 50 * time.Millisecond, "pause": 3 * time.Second, "lease": 40 * time.Minute}[kind]
	c.now = c.now.Add(time.Duration(rapid.Int64Range(1, int64(longest)).Draw(t, "time")))
	if kind == "pause" {
		// A paused node runs no timers during this time.
		return
	}
	for _, a := range c.addrs {
		if l := c.ledgers[a]; l != nil && !l.Wake().IsZero() && !l.Wake().After(c.now) {
			c.perform(a, l.Step(c.now, Woken{}))
		}
	}
}

// stop crashes a node or makes it leave. A node that is down is started again.
func (c *randomFleet) stop(t *rapid.T, kind string) {
	a := c.node(t)
	if c.ledgers[a] == nil {
		c.start(a)
		return
	}
	if kind == "start" {
		return
	}
	if kind == "leave" {
		c.perform(a, c.ledgers[a].Step(c.now, Leave{}))
		return
	}
	c.ledgers[a] = nil
}

// TestInvariants guards against allowance created by lost, duplicated, reordered or late
// messages, lost answers of the platform, crashes, restarts, hand-overs, pauses and expired
// leases, in any combination.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 2).Draw(t, "zones")
		f := newFleet(zones, rapid.IntRange(2, 5).Draw(t, "hosts"), 3, 6)
		c := &randomFleet{fleet: f, admitted: bucket{tokens: 6, rate: 3, burst: 6, last: f.now}}
		if rapid.Bool().Draw(t, "settled") {
			f.runFor(5 * time.Second)
		}
		for range rapid.IntRange(10, 250).Draw(t, "steps") {
			c.step(t)
		}
	})
}
