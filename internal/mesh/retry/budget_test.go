package retry

import (
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
		{Route: &mesh.Route{Service: "a"}},
		{Route: &mesh.Route{Service: "a"}, Organisation: "o"},
	}
	for _, perSecond := range []int{1, 20, 200} {
		var all []*Budgets
		for range hosts {
			b := NewBudgets(ratio, slack, window)
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
					b.Called(now, c)
					n++
					if b.Repeat(now, c) {
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
