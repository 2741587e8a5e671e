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
	recordFraction = 0.03
	recordTokens   = 2

	// recordAhead is the number of slots that the growth of the usage is looked ahead: the other hosts
	// report, and the record is written, within that time.
	recordAhead = 2

	// slotsPerSecond is the number of slots of a second.
	slotsPerSecond = int(time.Second / slotLength)

	// growthNoise is the number of standard deviations by which the usage of a steady demand may grow
	// in a slot, in which some requests come and others leave the window.
	growthNoise = 2

	// lowerFraction is the fraction of the recorded usage below which it is lowered, and lowerTime how
	// long the usage has to be lower.
	lowerFraction = 0.75
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

	// lowAt is when the first organisation fell far below its record, or zero.
	lowAt time.Time
}

// Record returns the usage to record, and whether it is due. It must be called once per slot at a node
// that records, and Recorded once it is done.
func (b *RateLimiter) Record(now time.Time) (usage map[mesh.OrganisationName]mesh.ContractUsage, due bool) {
	if b.starting() || b.fleet.Size() == 0 {
		return nil, false
	}
	r := &b.recorder
	due = !r.written
	low := false
	usage, lower := make(map[mesh.OrganisationName]mesh.ContractUsage), make(map[mesh.OrganisationName]mesh.ContractUsage)
	for name, a := range b.accounts {
		if a.contract.Rate == 0 {
			continue
		}
		present := b.presentUsage(a)
		recorded, floor := r.recorded[name], uint64(recordFloor*a.allowance())
		want := mesh.ContractUsage{Window: a.above(present.Window, a.allowance()), Second: a.above(present.Second, a.contract.Rate)}
		if want.Window > floor {
			lower[name] = want
		}
		if recorded.Window > 0 {
			usage[name] = recorded
		}
		switch {
		case present.Window > max(recorded.Window, floor), recorded.Window > 0 && present.Second > recorded.Second:
			usage[name] = mesh.ContractUsage{Window: max(want.Window, recorded.Window), Second: max(want.Second, recorded.Second)}
			due = true
		case float64(want.Window) < lowerFraction*float64(recorded.Window), float64(want.Second) < lowerFraction*float64(recorded.Second):
			low = true
		}
	}
	switch {
	case !low:
		r.lowAt = time.Time{}
	case r.lowAt.IsZero():
		r.lowAt = now
	case now.Sub(r.lowAt) >= lowerTime:
		usage, due = lower, true
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
	u.Window = uint64(math.Ceil(min(ahead, b.limit(a))))
	slots := a.admitted
	for _, usage := range b.remoteUsages(a) {
		for i := range windowSlots {
			slots[i] += usage.admitted.counts[i]
		}
	}
	for i := range windowSlots - slotsPerSecond {
		var second float64
		for _, n := range slots[i : i+slotsPerSecond] {
			second += n
		}
		u.Second = max(u.Second, uint64(math.Ceil(min(second, b.limit(a)))))
	}
	// What is looked ahead may come in one second.
	u.Second = max(u.Second, uint64(max(0, ahead-used)))
	return u
}

// above returns the number of requests that is recorded when so many are used. A part of the contract
// leaves room for the variance of a steady demand.
func (a *account) above(used uint64, part float64) (recorded uint64) {
	limit := (1+marginFraction)*a.allowance() + marginTokens
	return uint64(math.Ceil(min(limit, float64(used)+recordFraction*part+recordTokens)))
}

// Recorded tells that the usage was recorded.
func (b *RateLimiter) Recorded(usage map[mesh.OrganisationName]mesh.ContractUsage) {
	r := &b.recorder
	r.recorded, r.written, r.lowAt = maps.Clone(usage), true, time.Time{}
}

// ForgetRecorded tells that the record may be lost, or that another node writes it now.
func (b *RateLimiter) ForgetRecorded() {
	b.recorder.written = false
	clear(b.recorder.recorded)
}
