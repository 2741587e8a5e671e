package retry

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// budgetSlots is how many steps a window is counted in.
	budgetSlots = 20

	// callPart is the part of the allowed ratio that a node uses for calls of
	// targets, and entryPart that for requests of callers. The calls of a
	// repeated request count as repeats at every service below it, which no
	// node sees, so repeats at the entry are the dearest and get the least.
	callPart  = 0.5
	entryPart = 0.15
)

// Budgets bounds the repeats to each service over all hosts without asking
// them: each node repeats in proportion to its own requests, and has an equal
// part of the slack.
type Budgets struct {
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
}

// NewBudgets returns the budgets of one node. In each window, all hosts may
// repeat ratio times the requests of a service and slack more.
func NewBudgets(ratio, slack float64, window time.Duration) (b *Budgets) {
	return &Budgets{ratio: ratio, slack: slack, window: window, hosts: 1, services: make(map[budgetKey]*serviceCounts)}
}

// SetHosts sets how many hosts share the slack.
func (b *Budgets) SetHosts(n int) { b.hosts = max(1, n) }

// Called counts a request.
func (b *Budgets) Called(now time.Time, call *mesh.Call) { b.counts(now, call).requests[0]++ }

// Repeat takes one repeat of a request, or reports false.
func (b *Budgets) Repeat(now time.Time, call *mesh.Call) (allowed bool) {
	c := b.counts(now, call)
	part := entryPart
	if call.Deeper {
		part = callPart
	}
	if sum(c.repeats)+1 > part*(b.ratio*sum(c.requests)+b.slack/float64(b.hosts)) {
		return false
	}
	c.repeats[0]++
	return true
}

func sum(counts [budgetSlots]float64) (total float64) {
	for _, n := range counts {
		total += n
	}
	return total
}

// counts returns the counts of the window that ends now.
func (b *Budgets) counts(now time.Time, call *mesh.Call) (c *serviceCounts) {
	key := budgetKey{service: call.RunsAt(), deeper: call.Deeper}
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
		copy(c.requests[1:], c.requests[:budgetSlots-1])
		copy(c.repeats[1:], c.repeats[:budgetSlots-1])
		c.requests[0], c.repeats[0] = 0, 0
	}
	return c
}
