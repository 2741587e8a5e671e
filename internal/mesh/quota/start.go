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
	// startMarginFraction of the allowance plus startMarginTokens is what all holders together may admit
	// beyond the allowance of a window in which they have started. Operators tolerate a tenth and 20
	// requests more; the rest is for requests that reports do not cover yet.
	startMarginFraction = 0.09
	startMarginTokens   = 17

	// minDemandPeriod is the minimum time over which the demand is averaged after a start. A
	// few requests in a shorter time are not significant.
	minDemandPeriod = 500 * time.Millisecond

	// unknownDemandFraction is the fraction of the rate that may be admitted at least after a start, while
	// the demand is not known yet; it is more where a second of the recorded usage has more.
	unknownDemandFraction = 0.4

	// surgeFactor is the ratio of demand and rate above which a surge may have begun too shortly before
	// the start to be recorded. Callers that have waited for the node and come back at once stay below.
	surgeFactor = 1.5

	// informTime is how long a node informs the others after it has heard of a host that has started.
	// Several reports reach that host in this time.
	informTime = 3 * time.Second
)

// earlier is what a node that has started knows of the requests admitted before its start, by its
// predecessor and by hosts that have not reported to it.
type earlier struct {
	// informed is true once a node that lived on has told what all hosts admitted in the window before
	// the start. admitted holds the requests that no other count of this node has.
	informed bool
	admitted map[mesh.OrganisationName]*counts

	// recalled is true once the recorded usage was read, which is used while no node has told it.
	recalled bool
	recorded map[mesh.OrganisationName]mesh.ContractUsage
}

// nextSlot begins a new slot.
func (e *earlier) nextSlot() {
	for _, c := range e.admitted {
		c.shift(0)
	}
}

// starting reports whether requests that were admitted before the start of this node may still be in the
// window, without this node knowing how many.
func (b *RateLimiter) starting() bool { return b.slots < windowSlots && !b.earlier.informed }

// limit returns how many requests all hosts together may admit in a window.
func (b *RateLimiter) limit(a *account) (requests float64) {
	if b.starting() {
		return (1+startMarginFraction)*a.allowance() + startMarginTokens
	}
	return (1+marginFraction)*a.allowance() + marginTokens
}

// admittedEarlier returns how many requests of the window were admitted before the start of this node
// and are not in another count. Without information, they are as many as the recorded usage allows or, if
// that is not known either, as many as holders ever admit.
func (b *RateLimiter) admittedEarlier(a *account) (requests float64) {
	name := a.contract.Organisation
	if !b.starting() {
		if c := b.earlier.admitted[name]; c != nil {
			return c.total(windowSlots)
		}
		return 0
	}
	most := (1+marginFraction)*a.allowance() + marginTokens
	if !b.earlier.recalled {
		return most
	}
	// What was admitted longer ago than a window does not count, and no second had more than recorded.
	since := time.Duration(b.slots) * slotLength
	recorded, second := float64(b.earlier.recorded[name].Window), float64(b.earlier.recorded[name].Second)
	if second > 0 {
		recorded = min(recorded, second*math.Ceil((window-since).Seconds()))
	}
	recorded = min(most, max(recorded, recordFloor*a.allowance()))
	switch demand, known := b.totalDemand(a); {
	case !known:
		return max(recorded, most-max(second, unknownDemandFraction*a.contract.Rate)*since.Seconds())
	case demand > surgeFactor*a.contract.Rate:
		return most
	default:
		return recorded
	}
}

// totalDemand returns the demand at all hosts since this node started, in requests per second. It is
// known once most hosts have reported; the others are assumed to have the mean demand.
func (b *RateLimiter) totalDemand(a *account) (rate float64, known bool) {
	requests := a.offered.total(windowSlots)
	reporting := 1
	for _, h := range b.hosts {
		if h.reportCount < 2 {
			continue
		}
		reporting++
		if u := h.usage[a.contract.Organisation]; u != nil {
			requests += u.offered.total(windowSlots)
		}
	}
	requests *= max(1, float64(b.fleet.Size())/float64(reporting))
	since := max(minDemandPeriod, time.Duration(b.slots)*slotLength)
	return requests / since.Seconds(), 2*reporting > b.fleet.Size()
}

// Recall tells a node that has started what was recorded as the usage of each organisation.
func (b *RateLimiter) Recall(now time.Time, recorded map[mesh.OrganisationName]mesh.ContractUsage) {
	b.earlier.recalled, b.earlier.recorded = true, recorded
	for _, a := range b.accounts {
		b.resize(now, a)
	}
}

// learn takes over what a node that lived on knows of the window before this node started. Reports of
// other hosts have told a part of it.
func (b *RateLimiter) learn(window map[mesh.OrganisationName][]uint64) {
	if window == nil || b.slots >= windowSlots {
		return
	}
	b.earlier.informed = true
	b.earlier.admitted = make(map[mesh.OrganisationName]*counts, len(window))
	for name, slots := range window {
		missing := new(counts)
		for i, n := range slots[:min(len(slots), windowSlots)] {
			missing[i] = max(0, float64(n)-b.admittedAt(name, i))
		}
		b.earlier.admitted[name] = missing
	}
}

// admittedAt returns how many requests of an organisation all hosts admitted in a slot, by the counts of
// this node and the reports of the others.
func (b *RateLimiter) admittedAt(name mesh.OrganisationName, slot int) (requests float64) {
	if a := b.accounts[name]; a != nil {
		requests = a.admitted[slot]
	}
	for _, h := range b.hosts {
		if u := h.usage[name]; u != nil {
			requests += u.admitted.counts[slot]
		}
	}
	return requests
}

// informs reports whether this node informs a host that has just started. One node of each zone does,
// among those that have run for a window.
func (b *RateLimiter) informs(now time.Time) bool {
	if b.slots < windowSlots {
		return false
	}
	settled := slices.DeleteFunc(slices.Clone(b.fleet.Candidates), func(addr netip.AddrPort) bool {
		h := b.hosts[addr]
		return addr != b.fleet.Self && (h == nil || now.Sub(h.started) < window)
	})
	for addr, h := range b.hosts {
		if now.Sub(h.started) >= informTime {
			continue
		}
		if ranked := rank.Hosts(addr.String(), settled); len(ranked) > 0 && ranked[0] == b.fleet.Self {
			return true
		}
	}
	return false
}

// LocalWindow returns the requests admitted in the last window, or nil when this node informs no host.
func (b *RateLimiter) LocalWindow(now time.Time) (window map[mesh.OrganisationName][]uint64) {
	if !b.informs(now) {
		return nil
	}
	window = make(map[mesh.OrganisationName][]uint64)
	for name := range b.accounts {
		slots, last := make([]uint64, windowSlots), -1
		for i := range slots {
			n := b.admittedAt(name, i)
			if c := b.earlier.admitted[name]; c != nil {
				n += c[i]
			}
			// The slots of two reports may differ by one, which leaves a negative number in some.
			if slots[i] = uint64(math.Round(max(0, n))); slots[i] > 0 {
				last = i
			}
		}
		if last >= 0 {
			window[name] = slots[:last+1]
		}
	}
	return window
}
