// Package route chooses the target of a call.
package route

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// NearTwo takes the less loaded of two random targets, from the caller's own
// zone as long as that has any that may be used.
type NearTwo struct{ random *rand.Rand }

// NewNearTwo returns a picker that draws from random. It is not safe for use
// by several goroutines.
func NewNearTwo(random *rand.Rand) (p *NearTwo) { return &NearTwo{random: random} }

// Pick implements mesh.Picker.
func (p *NearTwo) Pick(now time.Time, from mesh.ZoneName, endpoints []mesh.Endpoint, links mesh.Links, tried []netip.AddrPort) (chosen mesh.Endpoint, found bool) {
	var near, far []mesh.Endpoint
	for _, e := range endpoints {
		switch {
		case slices.Contains(tried, e.Host), now.Before(links.Link(e.Host).RetryAt):
		case e.Zone == from:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	if len(near) > 0 {
		return p.lessLoaded(near, links), true
	}
	if len(far) > 0 {
		return p.lessLoaded(far, links), true
	}
	return mesh.Endpoint{}, false
}

func (p *NearTwo) lessLoaded(endpoints []mesh.Endpoint, links mesh.Links) (chosen mesh.Endpoint) {
	a := endpoints[p.random.IntN(len(endpoints))]
	b := endpoints[p.random.IntN(len(endpoints))]
	if links.Link(b.Host).Load < links.Link(a.Host).Load {
		return b
	}
	return a
}
