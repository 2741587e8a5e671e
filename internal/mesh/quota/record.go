package quota

import (
	"maps"
	"math"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// recordFloor is the fraction of the allowance up to which usage is not recorded: a node that has
	// started takes it for used up.
	recordFloor = 0.3

	// recordFraction of the allowance plus recordTokens is how far the recorded usage lies above the
	// present one, so that a steady demand needs few records.
	recordFraction = 0.06
	recordTokens   = 3

	// recordAhead is the number of slots that the growth of the usage is looked ahead: the other hosts
	// report, and the record is written, within that time.
	recordAhead = 2

	// slotsPerSecond is the number of slots of a second.
	slotsPerSecond = int(time.Second / slotLength)

	// growthNoise is the number of standard deviations by which the usage of a steady demand may grow
	// in a slot, in which some requests come and others leave the window.
	growthNoise = 3

	// lowerFraction is the fraction of the recorded usage below which it is lowered, and lowerTime how
	// long the usage has to be lower.
	lowerFraction = 0.6
	lowerTime     = 5 * time.Second
)

// recorder decides when a node records the usage of contracts. Nodes that start when none lived on admit
// no more than the recorded usage leaves.
type recorder struct {
	// recorded holds the usage as recorded last; organisations below the floor are left out.
	recorded map[mesh.OrganisationName]mesh.ContractUsage

	// written is true once this node has recorded the usage.
	written bool

	// lastUsed is the usage one slot ago.
	lastUsed map[mesh.OrganisationName]float64

	// lowSince holds the organisations far below their records, with the time at which they fell.
	lowSince map[mesh.OrganisationName]time.Time
}

// Record returns the usage to record, and whether it is due. It must be called once per slot at a node
// that records, and Recorded once it is done.
func (b *RateLimiter) Record(now time.Time) (usage map[mesh.OrganisationName]mesh.ContractUsage, due bool) {
	if b.starting() || b.fleet.Size() == 0 {
		return nil, false
	}
	r := &b.recorder
	due = !r.written
	usage = make(map[mesh.OrganisationName]mesh.ContractUsage)
	for name, a := range b.accounts {
		if a.contract.Rate == 0 {
			continue
		}
		present := b.presentUsage(a)
		recorded, floor := r.recorded[name], uint64(recordFloor*a.allowance())
		want := mesh.ContractUsage{Window: a.above(present.Window, a.allowance()), Second: a.above(present.Second, a.contract.Rate)}
		if recorded.Window > 0 {
			usage[name] = recorded
		}
		low := float64(want.Window) < lowerFraction*float64(recorded.Window) || float64(want.Second) < lowerFraction*float64(recorded.Second)
		since, found := r.lowSince[name]
		switch {
		case !low:
			delete(r.lowSince, name)
		case !found:
			r.lowSince[name] = now
		}
		switch {
		case present.Window > max(recorded.Window, floor), recorded.Window > 0 && present.Second > recorded.Second:
			usage[name] = mesh.ContractUsage{Window: max(want.Window, recorded.Window), Second: max(want.Second, recorded.Second)}
			due = true
		case low && found && now.Sub(since) >= lowerTime:
			usage[name], due = want, true
			if want.Window <= floor {
				delete(usage, name)
			}
		}
	}
	return usage, due
}

// presentUsage returns the usage of a contract, looking ahead while it grows.
func (b *RateLimiter) presentUsage(a *account) (u mesh.ContractUsage) {
	name := a.contract.Organisation
	used := a.admitted.total(windowSlots) + a.remoteAdmitted
	ahead := used
	if last, found := b.recorder.lastUsed[name]; found {
		ahead += recordAhead * max(0, used-last-growthNoise*math.Sqrt(1+2*used/windowSlots))
	}
	b.recorder.lastUsed[name] = used
	u.Window = roundUp(ahead, b.limit(a))
	slots := a.admitted
	for _, usage := range b.remoteUsages(a) {
		for i := range windowSlots {
			slots[i] += usage.admitted.counts[i]
		}
	}
	for i := range windowSlots - slotsPerSecond + 1 {
		var second float64
		for _, n := range slots[i : i+slotsPerSecond] {
			second += n
		}
		u.Second = max(u.Second, roundUp(second, b.limit(a)))
	}
	// What is looked ahead may come in one second.
	u.Second = max(u.Second, roundUp(ahead-used, b.limit(a)))
	return u
}

// roundUp returns a number of requests, from 0 to the limit. Estimates of few requests may be negative.
func roundUp(requests, limit float64) (n uint64) {
	return uint64(math.Ceil(max(0, min(requests, limit))))
}

// above returns the number of requests that is recorded when so many are used. A part of the contract
// leaves room for the variance of a steady demand.
func (a *account) above(used uint64, part float64) (recorded uint64) {
	limit := (1+marginFraction)*a.allowance() + marginTokens
	return roundUp(float64(used)+recordFraction*part+recordTokens, limit)
}

// Recorded tells that the usage was recorded.
func (b *RateLimiter) Recorded(usage map[mesh.OrganisationName]mesh.ContractUsage) {
	r := &b.recorder
	r.recorded, r.written = maps.Clone(usage), true
}

// ForgetRecorded tells that the record may be lost, or that another node writes it now.
func (b *RateLimiter) ForgetRecorded() {
	b.recorder.written = false
	clear(b.recorder.recorded)
}
