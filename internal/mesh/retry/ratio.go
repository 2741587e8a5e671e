package retry

import (
	"math"
	"net/netip"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of the counts.
	decayTime = 10 * time.Second

	// minRetries is the number of recent retries that a link may have beyond its ratio, so
	// that a link with few calls can retry at all.
	minRetries = 3

	// pruneThreshold is the number of links from which on idle ones are removed.
	pruneThreshold = 1024
)

// LinkBudgets limits the retries after failed calls over a link to a fraction of the recent
// calls over that link. Over a time t, a link has at most
// ratio × calls + minRetries × (1 + t/decayTime) retries.
type LinkBudgets struct {
	links map[netip.AddrPort]*linkCounts
}

// linkCounts holds the counts of one link, decayed up to the time updated.
type linkCounts struct {
	calls   float64
	retries float64
	updated time.Time
}

// NewLinkBudgets returns budgets without any counted calls.
func NewLinkBudgets() (r *LinkBudgets) {
	return &LinkBudgets{links: make(map[netip.AddrPort]*linkCounts)}
}

// CountCall counts a call over a link.
func (r *LinkBudgets) CountCall(now time.Time, link netip.AddrPort) { r.link(now, link).calls++ }

// AllowRetry reports whether a failed call over a link may be retried, and counts the
// retry.
func (r *LinkBudgets) AllowRetry(now time.Time, link netip.AddrPort, ratio float64) (allowed bool) {
	l := r.link(now, link)
	if l.retries+1 > ratio*l.calls+minRetries {
		return false
	}
	l.retries++
	return true
}

func (r *LinkBudgets) link(now time.Time, link netip.AddrPort) (l *linkCounts) {
	l, found := r.links[link]
	if !found {
		r.prune(now)
		l = &linkCounts{updated: now}
		r.links[link] = l
	}
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		kept := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
		l.calls, l.retries, l.updated = l.calls*kept, l.retries*kept, now
	}
	return l
}

// prune removes idle links, whose counts have decayed to almost zero.
func (r *LinkBudgets) prune(now time.Time) {
	if len(r.links) < pruneThreshold {
		return
	}
	for name, l := range r.links {
		if now.Sub(l.updated) > 10*decayTime {
			delete(r.links, name)
		}
	}
}
