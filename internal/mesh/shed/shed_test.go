package shed

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// here is the only host of each service.
var here = netip.MustParseAddrPort("10.0.0.1:7000")

// kind is a kind of request. Each makes calls to the service at the bottom, or
// goes there itself.
type kind struct {
	class mesh.Class
	rate  int
	calls int
}

// play runs a chain of an entry, a service and the service at the bottom, which
// has room for so many requests in 10 ms and serves calls first. It returns the
// part of each kind that is served whole.
func play(room int, kinds []kind, shedding bool) (served []float64) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1e9, 0)
	bottom, middle, book := NewMeter(), NewMeter(), NewBook()
	whole, asked := make([]int, len(kinds)), make([]int, len(kinds))
	const step = 10 * time.Millisecond
	for range 3000 {
		now = now.Add(step)
		var calls, own []int
		for k, c := range kinds {
			for range c.rate {
				asked[k]++
				service := mesh.ServiceName("middle")
				if c.calls == 0 {
					service = "bottom"
				}
				switch {
				case shedding && !book.Admit(now, service, c.class, random.Float64()):
				case c.calls == 0:
					own = append(own, k)
				default:
					calls = append(calls, k)
				}
			}
		}
		random.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
		left := room
		for _, k := range calls {
			failed := false
			for range kinds[k].calls {
				bad := left == 0
				failed = failed || bad
				left = max(0, left-1)
				bottom.Observe(now, mesh.ClassCritical, bad)
			}
			if !failed {
				whole[k]++
			}
		}
		for _, k := range own {
			bottom.Observe(now, kinds[k].class, left == 0)
			if left > 0 {
				left--
				whole[k]++
			}
		}
		middle.Hear(now, "bottom", here, bottom.Opening(now))
		book.Hear(now, "bottom", here, bottom.Opening(now))
		book.Hear(now, "middle", here, middle.Opening(now))
	}
	for k := range kinds {
		served = append(served, float64(whole[k])/float64(asked[k]))
	}
	return served
}

// TestDeepOverload guards against important requests that fail at a deep service
// because less important ones take its room: payouts and page views call it four
// times each, and balance checks go there directly.
func TestDeepOverload(t *testing.T) {
	kinds := []kind{{class: 1, rate: 2, calls: 4}, {class: 3, rate: 8, calls: 4}, {class: 2, rate: 3}}
	for _, c := range []struct {
		name string
		room int
		want []float64
	}{
		{"room for all", 60, []float64{1, 1, 1}},
		{"half the room", 24, []float64{0.97, 0.2, 0.9}},
		{"room for the important ones", 12, []float64{0.95, 0, 0.85}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, before := play(c.room, kinds, true), play(c.room, kinds, false)
			for k := range kinds {
				if got[k] < c.want[k] {
					t.Errorf("kind %d: got %.2f served, want at least %.2f (without shedding %.2f)", k, got[k], c.want[k], before[k])
				}
			}
		})
	}
}

// TestOpens guards against a class that stays shut after the overload.
func TestOpens(t *testing.T) {
	b, now := NewBook(), time.Unix(1e9, 0)
	b.Hear(now, "a", here, 0)
	if b.Admit(now, "a", mesh.ClassHigh, 0) {
		t.Error("shut service: got a request admitted, want none")
	}
	if !b.Admit(now, "a", mesh.ClassCritical, 0.99) {
		t.Error("shut service: got a call refused, want it admitted")
	}
	if !b.Admit(now.Add(10*time.Second), "a", mesh.ClassLow, 0.99) {
		t.Error("after 10 s without news: got a request refused, want it admitted")
	}
}
