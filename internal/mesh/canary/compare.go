package canary

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// sliceTime is the length of the slices of time in which the versions are compared. A
	// disturbance that begins or ends hits both versions in the same slice.
	sliceTime = 500 * time.Millisecond

	// recentSlices is the number of slices of the recent comparison, which finds a version that
	// turns bad after a long good time.
	recentSlices = 6

	// controlSlices is the number of slices whose answers of the old version stand in where a
	// slice has few of them, such as once the new version gets all requests.
	controlSlices = 6

	// minControl is the number of answers of the old version from which on a slice is compared
	// with its own ones.
	minControl = 10

	// minExcess is the number of bad answers beyond those that the old version would have given
	// from which on the new version can be rejected. Fewer may come from one bad moment of a target.
	minExcess = 6

	// minDeviations is the number of standard deviations beyond which a difference is no chance.
	// Versions are compared often, on each route and in several ways. skewMargin is added because
	// the distribution of a few bad answers has a longer tail than the normal one; it is the term
	// (minDeviations² - 1) / 6 of the Cornish-Fisher expansion.
	minDeviations = 4.5
	skewMargin    = (minDeviations*minDeviations - 1) / 6

	// minFailing and minSlow are the smallest shares of failures and of slow answers, beyond those
	// of the old version, that matter, and relativeExcess the smallest ratio to the share of the
	// old version. Beside a disturbance the versions never do quite alike.
	minFailing     = 0.01
	minSlow        = 0.05
	relativeExcess = 0.5

	// lateFailing and lateSlow take their place once the new version gets most requests. The
	// answers of the old version are earlier ones then: a disturbance that begins now, or the first
	// full load of a target, shows at the new version alone.
	lateFailing = 0.05
	lateSlow    = 0.2

	// assumedControl is the number of good answers that is assumed of an old version that has
	// answered nothing.
	assumedControl = 20
)

// slowShifts are the distances from the bucket of the old version's median latency from which on
// answers count as slow: about 2.4, 3.4, 4.8 and 9.5 times the median. Versions that are slow for a
// part of their answers show above the natural spread of latencies only.
var slowShifts = [...]int{3, 4, 5, 7}

// comparisons is the number of comparisons on one route: failures, then latency by slowShifts.
const comparisons = 1 + len(slowShifts)

// evidence sums up the slices of one comparison by the method of Mantel and Haenszel: each slice
// is compared by itself, so that neither the changing share of the new version nor a
// disturbance that hits both versions counts against it.
type evidence struct {
	// answers and bad are those of the new version, and expected the bad ones that it would have
	// at the rate of the old version.
	answers, bad, expected float64

	// deviation is the sum of the differences from the mean of the hypergeometric distribution,
	// and variance that of its variances.
	deviation, variance float64
}

func (e *evidence) add(o evidence) {
	e.answers += o.answers
	e.bad += o.bad
	e.expected += o.expected
	e.deviation += o.deviation
	e.variance += o.variance
}

// newEvidence compares answers of the new version with a control of the old one.
func newEvidence(answers, bad, control, controlBad uint64) (e evidence) {
	n, b, c, cb := float64(answers), float64(bad), float64(control), float64(controlBad)
	if n == 0 || c == 0 {
		return e
	}
	total, allBad := n+c, b+cb
	return evidence{
		answers: n, bad: b, expected: n * cb / c,
		deviation: b - n*allBad/total,
		variance:  n * c * allBad * (total - allBad) / (total * total * (total - 1)),
	}
}

// conclusive reports whether the new version is worse than the old one, by at least the share
// minRate of its answers.
func (e *evidence) conclusive(minRate float64) bool {
	excess := e.bad - e.expected
	return excess >= minExcess && excess >= minRate*e.answers && excess >= relativeExcess*e.expected &&
		e.deviation >= minDeviations*math.Sqrt(e.variance)+skewMargin
}

// routeEvidence holds all comparisons on one route.
type routeEvidence [comparisons]evidence

func (r *routeEvidence) add(o *routeEvidence) {
	for i := range r {
		r[i].add(o[i])
	}
}

// compare compares the answers of a slice with a control.
func compare(answers, control *Counts) (r routeEvidence) {
	failureControl := max(control.Answers, assumedControl)
	r[0] = newEvidence(answers.Answers, answers.Failures, failureControl, control.Failures)
	timed := control.timed()
	if timed < minControl {
		return r
	}
	median := control.medianBucket()
	for i, shift := range slowShifts {
		bucket := min(median+shift, len(control.Latencies)-1)
		r[i+1] = newEvidence(answers.timed(), answers.from(bucket), timed, control.from(bucket))
	}
	return r
}

// Monitor compares the new version with the old one, slice by slice and route by route. It is not
// safe for concurrent use.
type Monitor struct {
	// base holds the totals at the start of the current slice; nil before the first observation.
	base    Totals
	started time.Time
	current Totals
	routes  map[string]*routeHistory
}

// findings sum up the slices of a route: all and the recent ones in which the old version got most
// requests, and the late ones, in which the new version did.
type findings struct{ all, recent, late routeEvidence }

func (f *findings) add(o *findings) {
	f.all.add(&o.all)
	f.recent.add(&o.recent)
	f.late.add(&o.late)
}

// routeHistory holds the finished slices of a route.
type routeHistory struct {
	all, late routeEvidence
	recent    []routeEvidence

	// control holds the answers of the old version in the last slices that had some.
	control []Counts
}

// Observe records the totals at now.
func (m *Monitor) Observe(now time.Time, totals Totals) {
	if m.base == nil {
		m.base, m.current, m.started, m.routes = totals, totals, now, make(map[string]*routeHistory)
		return
	}
	m.current = totals
	if now.Sub(m.started) < sliceTime {
		return
	}
	for route := range totals {
		h := m.routes[route]
		if h == nil {
			h = new(routeHistory)
			m.routes[route] = h
		}
		h.close(m.delta(route))
	}
	m.base, m.started = totals, now
}

// delta returns the counts of the current slice.
func (m *Monitor) delta(route string) (d Pair) {
	now, before := m.current[route], m.base[route]
	return Pair{New: now.New.since(&before.New), Old: now.Old.since(&before.Old)}
}

func (h *routeHistory) close(d Pair) {
	e, late := h.compare(d)
	if late {
		h.late.add(&e)
		e = routeEvidence{}
	}
	h.all.add(&e)
	h.recent = append(h.recent, e)
	h.recent = h.recent[max(0, len(h.recent)-recentSlices):]
	if d.Old.Answers > 0 {
		h.control = append(h.control, d.Old)
		h.control = h.control[max(0, len(h.control)-controlSlices):]
	}
}

// compare compares the versions in a slice. late is true when the new version got most requests.
func (h *routeHistory) compare(d Pair) (e routeEvidence, late bool) {
	late = d.New.Answers > d.Old.Answers
	if d.Old.Answers >= minControl && !late {
		return compare(&d.New, &d.Old), false
	}
	control := d.Old
	for i := range h.control {
		control.merge(&h.control[i])
	}
	return compare(&d.New, &control), late
}

// Verdict reports whether the new version is worse than the old one, on one route or over all.
func (m *Monitor) Verdict() (bad bool, reason string) {
	var all findings
	for _, route := range slices.Sorted(maps.Keys(m.current)) {
		f := m.findings(route)
		if bad, reason := f.judge("on route " + route); bad {
			return true, reason
		}
		all.add(&f)
	}
	return all.judge("over all routes")
}

// findings returns the findings on a route, with those of the current slice.
func (m *Monitor) findings(route string) (f findings) {
	h := m.routes[route]
	if h == nil {
		h = new(routeHistory)
	}
	f.all, f.late = h.all, h.late
	for i := range h.recent {
		f.recent.add(&h.recent[i])
	}
	if current, late := h.compare(m.delta(route)); late {
		f.late.add(&current)
	} else {
		f.all.add(&current)
		f.recent.add(&current)
	}
	return f
}

func (f *findings) judge(where string) (bad bool, reason string) {
	for i := range f.all {
		minRate, minLate := minSlow, lateSlow
		if i == 0 {
			minRate, minLate = minFailing, lateFailing
		}
		for _, e := range []*evidence{&f.all[i], &f.recent[i], &f.late[i]} {
			if e != &f.late[i] && e.conclusive(minRate) || e == &f.late[i] && e.conclusive(minLate) {
				return true, fmt.Sprintf("%.0f of %.0f answers %s %s; the old version would have given %.1f", e.bad, e.answers, where, comparisonName(i), e.expected)
			}
		}
	}
	return false, ""
}

func comparisonName(i int) (name string) {
	if i == 0 {
		return "were failures"
	}
	return fmt.Sprintf("took over %.1f times the median", math.Pow(math.Sqrt2, float64(slowShifts[i-1])-0.5))
}

// Answers returns the number of answers of the new version that were compared.
func (m *Monitor) Answers() (n uint64) {
	for route, p := range m.current {
		before := Pair{}
		if h := m.routes[route]; h != nil {
			n += uint64(h.all[0].answers + h.late[0].answers)
			before = m.base[route]
		}
		d := p.New.since(&before.New)
		n += d.Answers
	}
	return n
}
