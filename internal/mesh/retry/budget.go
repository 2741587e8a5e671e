package retry

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// budgetSlots is how many steps a window is counted in.
	budgetSlots = 20

	// callPart is the part of the allowed ratio that a node uses for calls of
	// targets. The calls of a repeated request count as repeats at every
	// service below it, and each node counts those that its target makes.
	callPart = 0.85

	// recentSlots is over how many steps it is counted how many repeats the
	// calls of each importance want. A service starts to fail within seconds.
	recentSlots = 4

	// orphanPart is the part for calls whose requests are not known, so that
	// repeats of these are not counted.
	orphanPart = 0.5

	// entryPart is the part for requests of callers. Their repeats use up the
	// budgets of all services below.
	entryPart = 0.35
)

// ServiceBudgets bounds the repeats to each service over all hosts without asking
// them: each node repeats in proportion to its own requests, and has an equal
// part of the slack.
type ServiceBudgets struct {
	ratio, slack float64
	window       time.Duration

	// hosts is at least 1.
	hosts    int
	services map[budgetKey]*serviceCounts
}

// budgetKey tells the calls of targets from the requests of callers.
type budgetKey struct {
	service mesh.ServiceName
	deeper  bool
}

// serviceCounts holds the requests and repeats of the last window, newest slot
// first.
type serviceCounts struct {
	at       time.Time
	requests [budgetSlots]float64
	repeats  [budgetSlots]float64

	// wanted and given hold, by importance, the repeats that were asked for and
	// those that were allowed; given is at most wanted in each.
	wanted, given [importances][budgetSlots]float64
}

// importances is the number of different importances.
const importances = mesh.ClassCount * mesh.RankCount

// importance returns the place of a call in the order of importance. Lower ones
// go first.
func importance(call *mesh.Call) (i int) {
	return int(min(call.Class, mesh.ClassLow))*mesh.RankCount + int(min(call.Rank, mesh.RankCount-1))
}

// NewServiceBudgets returns the budgets of one node. In each window, all hosts may
// repeat ratio times the requests of a service and slack more.
func NewServiceBudgets(ratio, slack float64, window time.Duration) (b *ServiceBudgets) {
	return &ServiceBudgets{ratio: ratio, slack: slack, window: window, hosts: 1, services: make(map[budgetKey]*serviceCounts)}
}

// SetHosts sets how many hosts share the slack.
func (b *ServiceBudgets) SetHosts(n int) { b.hosts = max(1, n) }

// CountCall counts a request. One that belongs to a repeated request is a repeat.
func (b *ServiceBudgets) CountCall(now time.Time, call *mesh.Call) {
	c := b.counts(now, call)
	c.requests[0]++
	if call.Retry {
		c.repeats[0]++
	}
}

// part returns the part of the allowed ratio that a call may use.
func part(call *mesh.Call) (part float64) {
	switch {
	case !call.Nested:
		return entryPart
	case call.ParentUnknown:
		return orphanPart
	default:
		return callPart
	}
}

// AllowRetry takes one repeat of a request, or reports false. What more important
// requests want goes first: a chain needs all of its calls, so repeats for some
// chains serve more of them than a few repeats for each.
func (b *ServiceBudgets) AllowRetry(now time.Time, call *mesh.Call) (allowed bool) {
	c := b.counts(now, call)
	i := importance(call)
	c.wanted[i][0]++
	if sum(c.repeats)+c.reserved(i)+1 > part(call)*(b.ratio*sum(c.requests)+b.slack/float64(b.hosts)) {
		return false
	}
	c.repeats[0]++
	c.given[i][0]++
	return true
}

// reserved returns how many more repeats the calls that are more important than
// the given importance will want in a window.
func (c *serviceCounts) reserved(importance int) (n float64) {
	for i := range importance {
		recent := 0.0
		for _, w := range c.wanted[i][:recentSlots] {
			recent += w
		}
		n += max(0, recent*budgetSlots/recentSlots-sum(c.given[i]))
	}
	return n
}

func sum(counts [budgetSlots]float64) (total float64) {
	for _, n := range counts {
		total += n
	}
	return total
}

// counts returns the counts of the window that ends now.
func (b *ServiceBudgets) counts(now time.Time, call *mesh.Call) (c *serviceCounts) {
	key := budgetKey{service: call.TargetService(), deeper: call.Nested}
	c, found := b.services[key]
	if !found {
		c = &serviceCounts{at: now}
		b.services[key] = c
	}
	slot := b.window / budgetSlots
	steps := int(now.Sub(c.at) / slot)
	if steps >= budgetSlots {
		*c = serviceCounts{at: now}
		return c
	}
	for range steps {
		c.at = c.at.Add(slot)
		shift(&c.requests)
		shift(&c.repeats)
		for i := range importances {
			shift(&c.wanted[i])
			shift(&c.given[i])
		}
	}
	return c
}

// shift begins a new slot.
func shift(counts *[budgetSlots]float64) {
	copy(counts[1:], counts[:budgetSlots-1])
	counts[0] = 0
}
