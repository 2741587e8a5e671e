package retry

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// windowSlots is the number of slots in a window.
	windowSlots = 20

	// nestedFraction is the fraction of the allowed ratio that a node uses for nested calls.
	// The nested calls of a retried request count as retries at every service that they
	// reach, and each node counts those of its own targets.
	nestedFraction = 0.85

	// demandSlots is the number of slots over which the demand for retries of each priority
	// is measured. It is less than a window because a service starts to fail within seconds.
	demandSlots = 4

	// unknownParentFraction is the fraction for nested calls whose parent request is not
	// known, so that calls of retried requests are not counted as retries.
	unknownParentFraction = 0.5

	// entryFraction is the fraction for requests of callers. Their retries also use the
	// budgets of all services further down the call graph.
	entryFraction = 0.35
)

// ServiceBudgets limits the retries to each service over all hosts without coordination:
// each node retries in proportion to its own requests and has an equal share of the slack.
type ServiceBudgets struct {
	ratio, slack float64
	window       time.Duration

	// hosts is at least 1.
	hosts    int
	services map[budgetKey]*serviceCounts
}

// budgetKey identifies a budget. Nested calls and requests of callers have separate ones.
type budgetKey struct {
	service mesh.ServiceName
	nested  bool
}

// serviceCounts holds the requests and retries of the last window, newest slot first.
type serviceCounts struct {
	slotStart time.Time
	requests  [windowSlots]float64
	retries   [windowSlots]float64

	// wanted and allowed hold the requested and the allowed retries by priority; in each
	// priority, allowed is at most wanted.
	wanted, allowed [priorityCount][windowSlots]float64
}

// priorityCount is the number of different priorities.
const priorityCount = mesh.ClassCount * mesh.RankCount

// priority returns the priority of a call, from its class and rank; 0 is the most
// important.
func priority(call *mesh.Call) (i int) {
	return int(min(call.Class, mesh.ClassLow))*mesh.RankCount + int(min(call.Rank, mesh.RankCount-1))
}

// NewServiceBudgets returns the budgets of one node. In each window, the retries of all
// hosts to a service are at most ratio times its requests, plus slack.
func NewServiceBudgets(ratio, slack float64, window time.Duration) (b *ServiceBudgets) {
	return &ServiceBudgets{ratio: ratio, slack: slack, window: window, hosts: 1, services: make(map[budgetKey]*serviceCounts)}
}

// SetHosts sets the number of hosts that share the slack.
func (b *ServiceBudgets) SetHosts(n int) { b.hosts = max(1, n) }

// CountCall counts a call. One that is itself a retry, or a nested call of a retried
// request, also counts as a retry.
func (b *ServiceBudgets) CountCall(now time.Time, call *mesh.Call) {
	c := b.counts(now, call)
	c.requests[0]++
	if call.Retry {
		c.retries[0]++
	}
}

// usableFraction returns the fraction of the allowed ratio that a call may use.
func usableFraction(call *mesh.Call) (fraction float64) {
	switch {
	case !call.Nested:
		return entryFraction
	case call.ParentUnknown:
		return unknownParentFraction
	default:
		return nestedFraction
	}
}

// AllowRetry reports whether a call may be retried, and counts the retry. The expected
// retries of higher priorities are reserved: a request fails when any of its nested calls
// fails, so retries concentrated on some requests complete more of them than a few retries
// for each.
func (b *ServiceBudgets) AllowRetry(now time.Time, call *mesh.Call) (allowed bool) {
	c := b.counts(now, call)
	i := priority(call)
	c.wanted[i][0]++
	if sum(c.retries)+c.reserved(i)+1 > usableFraction(call)*(b.ratio*sum(c.requests)+b.slack/float64(b.hosts)) {
		return false
	}
	c.retries[0]++
	c.allowed[i][0]++
	return true
}

// reserved returns how many further retries the calls of higher priority are expected to
// need in a window.
func (c *serviceCounts) reserved(priority int) (n float64) {
	for i := range priority {
		recent := 0.0
		for _, w := range c.wanted[i][:demandSlots] {
			recent += w
		}
		n += max(0, recent*windowSlots/demandSlots-sum(c.allowed[i]))
	}
	return n
}

func sum(counts [windowSlots]float64) (total float64) {
	for _, n := range counts {
		total += n
	}
	return total
}

// counts returns the counts of the budget for a call, in the window that ends now.
func (b *ServiceBudgets) counts(now time.Time, call *mesh.Call) (c *serviceCounts) {
	key := budgetKey{service: call.TargetService(), nested: call.Nested}
	c, found := b.services[key]
	if !found {
		c = &serviceCounts{slotStart: now}
		b.services[key] = c
	}
	slot := b.window / windowSlots
	steps := int(now.Sub(c.slotStart) / slot)
	if steps >= windowSlots {
		*c = serviceCounts{slotStart: now}
		return c
	}
	for range steps {
		c.slotStart = c.slotStart.Add(slot)
		shift(&c.requests)
		shift(&c.retries)
		for i := range priorityCount {
			shift(&c.wanted[i])
			shift(&c.allowed[i])
		}
	}
	return c
}

// shift begins a new slot.
func shift(counts *[windowSlots]float64) {
	copy(counts[1:], counts[:windowSlots-1])
	counts[0] = 0
}
