package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestBudgets guards against repeats beyond the ratio and the slack over all
// hosts in any window, when every request fails.
func TestBudgets(t *testing.T) {
	const (
		ratio, slack = 0.2, 48
		window       = 10 * time.Second
		hosts        = 13
	)
	calls := []*mesh.Call{
		{Route: &mesh.Route{Service: "a"}, Nested: true},
		{Route: &mesh.Route{Service: "a"}, Organisation: "o"},
	}
	for _, perSecond := range []int{1, 20, 200} {
		var all []*ServiceBudgets
		for range hosts {
			b := NewServiceBudgets(ratio, slack, window)
			b.SetHosts(hosts)
			all = append(all, b)
		}
		var requests, repeats []int
		now := time.Unix(1e9, 0)
		for range 30 * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			n, r := 0, 0
			for _, b := range all {
				for _, c := range calls {
					b.CountCall(now, c)
					n++
					if b.AllowRetry(now, c) {
						r++
					}
				}
			}
			requests, repeats = append(requests, n), append(repeats, r)
		}
		length := 10 * perSecond
		total := 0
		for i := range len(requests) - length {
			n, r := 0, 0
			for j := i; j < i+length; j++ {
				n += requests[j]
				r += repeats[j]
			}
			total = max(total, r)
			if got, want := float64(r), ratio*float64(n)+slack; got > want {
				t.Fatalf("%d requests a second and host: got %g repeats in %v, want at most %g", perSecond, got, window, want)
			}
		}
		if total == 0 {
			t.Errorf("%d requests a second and host: got no repeats, want some", perSecond)
		}
	}
}

// chain plays requests whose runs make calls to services below, when every
// service refuses some arrivals.
type chain struct {
	random *rand.Rand
	nodes  []*ServiceBudgets

	// refused is the part of the arrivals that a service refuses, and fanout the
	// number of calls that a run of the level makes to the next one.
	refused []float64
	fanout  []int

	// requests and repeats count what each level gets in the present second.
	requests, repeats []float64
}

// ask sends a call to the service of a level, with at most one repeat, and
// reports whether it ran to its end.
func (c *chain) ask(now time.Time, level int, call mesh.Call) (served bool) {
	if level == len(c.refused) {
		return true
	}
	b := c.nodes[c.random.IntN(len(c.nodes))]
	call.Route = &mesh.Route{Service: mesh.ServiceName(rune('a' + level))}
	b.CountCall(now, &call)
	c.requests[level]++
	inherited := call.Retry
	for attempt := range 2 {
		if attempt > 0 {
			if !b.AllowRetry(now, &call) {
				return false
			}
			call.Retry = true
		}
		if inherited || attempt > 0 {
			c.repeats[level]++
		}
		if c.random.Float64() < c.refused[level] {
			continue
		}
		for range c.fanout[level] {
			if deeper := (mesh.Call{Nested: true, Rank: call.Rank, Retry: call.Retry}); !c.ask(now, level+1, deeper) {
				return false
			}
		}
		return true
	}
	return false
}

// TestChainBudgets guards against repeats at each level of a chain that add up
// to more than a deep service may get, and against a chain of little importance
// that uses up the repeats of one that matters.
func TestChainBudgets(t *testing.T) {
	const (
		ratio, slack = 0.2, 48
		window       = 10
		hosts        = 13
		perSecond    = 200
	)
	c := &chain{random: rand.New(rand.NewPCG(1, 2)), refused: []float64{0.4, 0.4, 0.55}, fanout: []int{1, 4, 0}}
	for range hosts {
		b := NewServiceBudgets(ratio, slack, window*time.Second)
		b.SetHosts(hosts)
		c.nodes = append(c.nodes, b)
	}
	var requests, repeats [][]float64
	served := make(map[mesh.Rank]int)
	now := time.Unix(1e9, 0)
	for range 40 {
		c.requests, c.repeats = make([]float64, 3), make([]float64, 3)
		for range perSecond {
			now = now.Add(time.Second / perSecond)
			rank := mesh.Rank(2 * c.random.IntN(2))
			if c.ask(now, 0, mesh.Call{Organisation: "o", Rank: rank}) {
				served[rank]++
			}
		}
		requests, repeats = append(requests, c.requests), append(repeats, c.repeats)
	}
	for level := range 3 {
		for i := range len(requests) - window {
			n, r := 0.0, 0.0
			for j := i; j < i+window; j++ {
				n += requests[j][level]
				r += repeats[j][level]
			}
			if want := ratio*n + slack; r > want {
				t.Fatalf("level %d, second %d: got %g repeats of %g requests, want at most %g", level, i, r, n, want)
			}
		}
	}
	if 2*served[0] < 3*served[2] {
		t.Errorf("got %d important and %d other requests served, want half as many important ones more", served[0], served[2])
	}
}
