package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestBudgets guards against retries beyond the ratio and the slack over all hosts in any
// window, when every request fails.
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
		var requests, retries []int
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
			requests, retries = append(requests, n), append(retries, r)
		}
		length := 10 * perSecond
		total := 0
		for i := range len(requests) - length {
			n, r := 0, 0
			for j := i; j < i+length; j++ {
				n += requests[j]
				r += retries[j]
			}
			total = max(total, r)
			if got, want := float64(r), ratio*float64(n)+slack; got > want {
				t.Fatalf("%d requests a second and host: got %g retries in %v, want at most %g", perSecond, got, window, want)
			}
		}
		if total == 0 {
			t.Errorf("%d requests a second and host: got no retries, want some", perSecond)
		}
	}
}

// chain simulates requests to a chain of services, each of which makes nested calls to the
// next one and refuses some of the calls that it receives.
type chain struct {
	random *rand.Rand
	nodes  []*ServiceBudgets

	// refused is the fraction of the calls that the service of a level refuses, and fanout
	// the number of nested calls that a request makes from a level to the next one.
	refused []float64
	fanout  []int

	// requests and retries count the calls and retries that each level receives in the
	// current second.
	requests, retries []float64
}

// send sends a call to the service of a level, with at most one retry, and reports whether
// it completed.
func (c *chain) send(now time.Time, level int, call mesh.Call) (served bool) {
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
			c.retries[level]++
		}
		if c.random.Float64() < c.refused[level] {
			continue
		}
		for range c.fanout[level] {
			if nested := (mesh.Call{Nested: true, Rank: call.Rank, Retry: call.Retry}); !c.send(now, level+1, nested) {
				return false
			}
		}
		return true
	}
	return false
}

// TestChainBudgets guards against retries at each level of a chain that multiply beyond the
// budget of the last service, and against requests of low priority that use up the retries
// of those of high priority.
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
	var requests, retries [][]float64
	served := make(map[mesh.Rank]int)
	now := time.Unix(1e9, 0)
	for range 40 {
		c.requests, c.retries = make([]float64, 3), make([]float64, 3)
		for range perSecond {
			now = now.Add(time.Second / perSecond)
			rank := mesh.Rank(2 * c.random.IntN(2))
			if c.send(now, 0, mesh.Call{Organisation: "o", Rank: rank}) {
				served[rank]++
			}
		}
		requests, retries = append(requests, c.requests), append(retries, c.retries)
	}
	for level := range 3 {
		for i := range len(requests) - window {
			n, r := 0.0, 0.0
			for j := i; j < i+window; j++ {
				n += requests[j][level]
				r += retries[j][level]
			}
			if want := ratio*n + slack; r > want {
				t.Fatalf("level %d, second %d: got %g retries of %g requests, want at most %g", level, i, r, n, want)
			}
		}
	}
	if 2*served[0] < 3*served[2] {
		t.Errorf("got %d requests of high and %d of low priority completed, want at least 1.5 times as many of high priority", served[0], served[2])
	}
}
