package retry

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// safety is the part of the allowed ratio that one node uses. Calls of a
// repeated request count as repeats too, and no node sees those of the others.
const safety = 0.5

// Budgets bounds the repeats to each service over all hosts without asking
// them: each node repeats in proportion to its own requests, and has an equal
// part of the slack.
type Budgets struct {
	ratio, slack float64
	window       time.Duration

	// hosts is at least 1.
	hosts    int
	services map[mesh.ServiceName]*serviceCounts
}

// serviceCounts holds the counts of this window and the last one.
type serviceCounts struct {
	since            time.Time
	requests, before float64
	repeats          float64
	repeatsBefore    float64
}

// NewBudgets returns the budgets of one node. In each window, all hosts may
// repeat ratio times the requests of a service and slack more.
func NewBudgets(ratio, slack float64, window time.Duration) (b *Budgets) {
	return &Budgets{ratio: ratio, slack: slack, window: window, hosts: 1, services: make(map[mesh.ServiceName]*serviceCounts)}
}

// SetHosts sets how many hosts share the slack.
func (b *Budgets) SetHosts(n int) { b.hosts = max(1, n) }

// Called counts a request of a service.
func (b *Budgets) Called(now time.Time, service mesh.ServiceName) { b.counts(now, service).requests++ }

// Repeat takes one repeat, or reports false.
func (b *Budgets) Repeat(now time.Time, service mesh.ServiceName) (allowed bool) {
	c := b.counts(now, service)
	// Windows slide, so the repeats of the window before count as well.
	most := safety * (b.ratio*max(c.requests, c.before) + b.slack/float64(b.hosts))
	if c.repeats+c.repeatsBefore+1 > most {
		return false
	}
	c.repeats++
	return true
}

func (b *Budgets) counts(now time.Time, service mesh.ServiceName) (c *serviceCounts) {
	c, found := b.services[service]
	if !found {
		c = &serviceCounts{since: now}
		b.services[service] = c
	}
	switch passed := now.Sub(c.since); {
	case passed >= 2*b.window:
		*c = serviceCounts{since: now}
	case passed >= b.window:
		*c = serviceCounts{since: c.since.Add(b.window), before: c.requests, repeatsBefore: c.repeats}
	}
	return c
}
