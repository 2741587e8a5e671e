package quota

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/rank"
)

const (
	// requestsPerHolder is the number of requests of a window's allowance for each holder of a
	// contract. With fewer, the requests that come to one holder by chance are refused although
	// the organisation is below its rate.
	requestsPerHolder = 12

	// maxHoldersPerZone is the maximum number of holders of a contract in a zone. Demand that
	// moves between the hosts of a zone seldom moves between few holders, and their number bounds
	// the reports that all hosts keep.
	maxHoldersPerZone = 3

	// unresponsiveTime is how long a host that did not answer is asked for no admission. A host
	// that has stopped is known to be silent after that time or a little later.
	unresponsiveTime = time.Second
)

// Fleet is what the placement of contracts depends on.
type Fleet struct {
	// Self is the address of this host.
	Self netip.AddrPort

	// Candidates holds the hosts of this host's zone that can hold contracts. It includes this
	// host, unless it is leaving.
	Candidates []netip.AddrPort

	// ZoneSize is the number of known hosts of this host's zone, and ZoneSizes those of all
	// zones. Silent hosts count, since they may be on the other side of a network partition.
	ZoneSize  int
	ZoneSizes []int

	// ReportInterval is the longest interval between two reports of a host.
	ReportInterval time.Duration
}

// Size returns the number of known hosts, or zero while the fleet is not known.
func (f *Fleet) Size() (hosts int) {
	for _, n := range f.ZoneSizes {
		hosts += n
	}
	return hosts
}

// holdersPerZone returns the number of hosts that hold a contract in each zone.
func (f *Fleet) holdersPerZone(a *account) (hosts int) {
	n := math.Round(a.allowance() / requestsPerHolder / float64(max(1, len(f.ZoneSizes))))
	return int(max(1, min(n, maxHoldersPerZone)))
}

// holders returns the number of hosts that hold a contract, at least 1.
func (f *Fleet) holders(a *account) (hosts int) {
	perZone := f.holdersPerZone(a)
	for _, n := range f.ZoneSizes {
		hosts += min(perZone, n)
	}
	return max(1, hosts)
}

// reachable returns the fraction of the hosts of the zone that can hold contracts. It is small
// at a host that is cut off from its zone, which must not act for the whole zone.
func (f *Fleet) reachable() (fraction float64) {
	return min(1, float64(len(f.Candidates))/float64(max(1, f.ZoneSize)))
}

// SetFleet replaces what is known of the fleet.
func (b *RateLimiter) SetFleet(now time.Time, f Fleet) {
	first := b.fleet.Size() == 0
	b.fleet = f
	for _, a := range b.accounts {
		a.asked = nil
		if first {
			a.assumeEqualShare(&b.fleet)
		}
		b.resize(now, a)
	}
}

// Holder returns the host that has to be asked for admissions under a contract, a holder in the zone
// of this host. Hosts that did not answer lately come last. It returns false when this host admits
// the requests itself.
func (b *RateLimiter) Holder(now time.Time, name mesh.OrganisationName) (addr netip.AddrPort, other bool) {
	a, found := b.accounts[name]
	if !found || a.contract.Rate == 0 || b.fleet.Size() == 0 {
		return addr, false
	}
	if a.asked == nil {
		a.asked = b.askOrder(a)
	}
	for _, addr := range a.asked {
		if until, failed := b.unresponsive[addr]; !failed || now.After(until) {
			return addr, addr != b.fleet.Self
		}
	}
	return addr, false
}

// askOrder returns the hosts in the order in which this host asks them: the holders of its zone,
// of which different hosts prefer different ones, then the hosts that follow in the ranking.
func (b *RateLimiter) askOrder(a *account) (order []netip.AddrPort) {
	order = rank.Hosts(string(a.contract.Organisation), b.fleet.Candidates)
	holders := order[:min(len(order), b.fleet.holdersPerZone(a))]
	if i := slices.Index(holders, b.fleet.Self); i >= 0 {
		return []netip.AddrPort{b.fleet.Self}
	}
	return append(rank.Hosts(b.fleet.Self.String(), holders), order[len(holders):]...)
}

// HolderFailed records that a host did not answer a request for an admission.
func (b *RateLimiter) HolderFailed(now time.Time, addr netip.AddrPort) {
	for failed, until := range b.unresponsive {
		if now.After(until) {
			delete(b.unresponsive, failed)
		}
	}
	b.unresponsive[addr] = now.Add(unresponsiveTime)
}

// Holds reports whether this host can admit requests for others under a contract. A host that
// has just started knows neither its contracts nor the fleet.
func (b *RateLimiter) Holds(name mesh.OrganisationName) (ready bool) {
	_, found := b.accounts[name]
	return found && b.fleet.Size() > 0
}
