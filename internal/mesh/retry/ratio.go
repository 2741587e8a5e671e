package retry

import (
	"math"
	"net/netip"
	"time"
)

const (
	// ratioTime is the time constant with which calls and retries are
	// forgotten.
	ratioTime = 10 * time.Second

	// ratioFloor is how many recent retries a link may have beyond its
	// ratio, so that a quiet link may retry at all.
	ratioFloor = 3

	// ratioLinks is how many links are remembered before idle ones are
	// dropped.
	ratioLinks = 1024
)

// LinkBudgets bounds the retries that follow failed calls of a link by a part of the
// recent calls of that link. Over a time t, a link has at most
// ratio × calls + ratioFloor × (1 + t/ratioTime) retries.
type LinkBudgets struct {
	links map[netip.AddrPort]*linkCounts
}

// linkCounts holds the counts of one link, forgotten up to the time at.
type linkCounts struct {
	calls   float64
	retries float64
	at      time.Time
}

// NewLinkBudgets returns budgets of links that have seen no calls.
func NewLinkBudgets() (r *LinkBudgets) {
	return &LinkBudgets{links: make(map[netip.AddrPort]*linkCounts)}
}

// CountCall counts a call over a link.
func (r *LinkBudgets) CountCall(now time.Time, link netip.AddrPort) { r.link(now, link).calls++ }

// AllowRetry takes a retry after a failed call over a link, or reports false.
func (r *LinkBudgets) AllowRetry(now time.Time, link netip.AddrPort, ratio float64) (allowed bool) {
	l := r.link(now, link)
	if l.retries+1 > ratio*l.calls+ratioFloor {
		return false
	}
	l.retries++
	return true
}

func (r *LinkBudgets) link(now time.Time, link netip.AddrPort) (l *linkCounts) {
	l, found := r.links[link]
	if !found {
		r.drop(now)
		l = &linkCounts{at: now}
		r.links[link] = l
	}
	if elapsed := now.Sub(l.at); elapsed > 0 {
		kept := math.Exp(-elapsed.Seconds() / ratioTime.Seconds())
		l.calls, l.retries, l.at = l.calls*kept, l.retries*kept, now
	}
	return l
}

// drop forgets links whose counts have become too small to matter.
func (r *LinkBudgets) drop(now time.Time) {
	if len(r.links) < ratioLinks {
		return
	}
	for name, l := range r.links {
		if now.Sub(l.at) > 10*ratioTime {
			delete(r.links, name)
		}
	}
}
