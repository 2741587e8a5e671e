package gate

import (
	"math"
	"time"
)

const (
	// nearFloor is how far, as a factor, the mean latency may lie above its
	// floor while the limit grows.
	nearFloor = 1.25

	// tolerance is the factor over the floor from which on the mean latency
	// counts as raised. Between nearFloor and tolerance the limit stays.
	tolerance = 1.5

	// sharpestCut is the smallest factor by which one window lowers the limit.
	sharpestCut = 0.7

	// refusedPart is the part of a window from which on refusals and timeouts
	// lower the limit. A single slow request is no sign of overload.
	refusedPart = 0.05

	// refusalCut is the factor for a window with refusals or timeouts, and
	// majorityCut for one in which most requests end so.
	refusalCut  = 0.8
	majorityCut = 0.5

	// rampGrowth is the factor of a window during the growth from the cold
	// limit.
	rampGrowth = 1.5

	// restartJump is the factor over the floor that shows a restart when the
	// mean latency reaches it right after a calm window. leastJump keeps a
	// queue in a deeper service, which adds tens of milliseconds, from passing
	// for one.
	restartJump = 4
	leastJump   = 100 * time.Millisecond

	// cutWindows is from how many raised windows on the limit falls. One alone
	// is often chance.
	cutWindows = 2

	// calmWindows is for how many windows a calm one is remembered. The window
	// in which a target restarts is part calm, part not.
	calmWindows = 2

	// leastWindow and leastSamples bound a window from below, so that single
	// requests do not move the limit.
	leastWindow  = 20 * time.Millisecond
	leastSamples = 8

	// precision is the standard error, as a part of the mean latency, at which
	// a window has enough samples, and rampPrecision that at the cold limit and
	// during the growth from it. Few samples of a service whose times vary would
	// show a raised latency that is not there.
	precision     = 0.12
	rampPrecision = 0.25

	// longWindow ends a window that does not reach its precision.
	longWindow = 2 * time.Second

	// windowFloors is how many floors of latency a window lasts, so that its
	// samples ran under the limit that they judge.
	windowFloors = 2

	// floorAge is how long, at least and in windows, a busy target may stay
	// above its floor before that is measured again. Without it a target that
	// is never idle would keep the floor of another time.
	leastFloorAge = 3 * time.Second
	floorAge      = 20

	// measurePart is the part of the limit at which the floor is measured.
	measurePart = 0.5

	// floorStep is the part of the way that the floor moves down to a window
	// below it. Windows of few samples vary, and the lowest of many would
	// make all others look raised.
	floorStep = 0.25

	// deepCut is the part of the limit from which on a cut must have helped,
	// and helpedCut the part of the latency that remains when it did. Above
	// it, load is not the cause of the latency.
	deepCut   = 0.6
	helpedCut = 0.8

	// relearnWindows is how many raised windows at the cold limit show that
	// load is not the cause of the latency.
	relearnWindows = 2
)

// Adaptive is a limiter that follows the latency of its target. It knows the
// target only by how its requests end.
type Adaptive struct {
	cold, slots int

	// limit is from 1 to slots.
	limit float64

	// ramping is true until latency rises for the first time after a restart.
	ramping bool

	// floor is the mean latency of an unloaded target, zero while unknown.
	floor time.Duration

	// floorAt is when latency was last near the floor.
	floorAt time.Time

	// measured is the limit to return to after the floor was measured, zero
	// while it is not.
	measured float64

	// calm is calmWindows after a window without raised latency and refusals,
	// and falls to zero by one with each other window.
	calm int

	// doubts counts the windows of raised latency since it was last near the
	// floor.
	doubts int

	// last is the mean of the window before, zero after a restart.
	last time.Duration

	window window
	raised streak
	spread spread
}

// window gathers what is observed until the limit is next looked at.
type window struct {
	since time.Time

	// length is how long the window was, zero until its end.
	length time.Duration

	samples  int
	total    time.Duration
	peak     int
	refusals int

	// squares is the sum of the squared latencies, in seconds.
	squares float64
}

// mean returns the mean latency.
func (w window) mean() (mean time.Duration) { return w.total / time.Duration(max(1, w.samples)) }

// refused reports whether refusals and timeouts are more than single ones.
func (w window) refused() bool {
	return float64(w.refusals) > refusedPart*float64(w.samples+w.refusals)
}

// streak follows the windows since latency was raised.
type streak struct {
	windows int

	// limit and mean are those that later windows are compared with, zero
	// while latency is not raised.
	limit float64
	mean  time.Duration
}

// NewAdaptive returns the limiter of a target that starts cold and announced
// slots.
func NewAdaptive(cold, slots int) (a *Adaptive) {
	a = &Adaptive{ramping: true, limit: float64(max(1, cold))}
	a.Resize(cold, slots)
	return a
}

// Limit implements mesh.Limiter.
func (a *Adaptive) Limit() (limit int) { return int(a.limit) }

// Resize implements mesh.Limiter.
func (a *Adaptive) Resize(cold, slots int) {
	a.slots = max(1, slots)
	a.cold = min(max(1, cold), a.slots)
	if a.ramping && a.last == 0 {
		a.limit = float64(a.cold)
	}
	a.set(a.limit)
}

func (a *Adaptive) set(limit float64) { a.limit = min(max(1, limit), float64(a.slots)) }

// Restart implements mesh.Limiter. The floor stays, so that a target that
// comes back slower than it was is not taken for a warm one.
func (a *Adaptive) Restart(now time.Time) {
	a.limit, a.ramping = float64(a.cold), true
	a.calm, a.doubts, a.last, a.measured, a.raised = 0, 0, 0, 0, streak{}
	a.window = window{since: now}
}

// Observe implements mesh.Limiter.
func (a *Adaptive) Observe(now time.Time, latency time.Duration, inFlight int, overloaded bool) {
	w := &a.window
	if w.since.IsZero() {
		w.since = now
	}
	if now.Before(w.since) {
		return
	}
	w.peak = max(w.peak, inFlight)
	if overloaded {
		w.refusals++
	} else {
		w.samples++
		w.total += latency
		w.squares += latency.Seconds() * latency.Seconds()
	}
	if a.complete(now) {
		a.judge(now)
	}
}

func (a *Adaptive) complete(now time.Time) bool {
	w := a.window
	age := now.Sub(w.since)
	// A limit that is not reached needs no more samples than what is in use.
	enough := max(leastSamples, min(int(a.limit), w.peak))
	switch {
	case w.samples+w.refusals < enough, age < leastWindow, age < windowFloors*a.floor:
		return false
	case w.refusals > w.samples, age >= longWindow:
		return true
	default:
		return w.samples >= a.spread.samples(a.precision())
	}
}

func (a *Adaptive) precision() (part float64) {
	if a.ramping || a.limit <= float64(a.cold) {
		return rampPrecision
	}
	return precision
}

// judge looks at the limit at the end of a window.
func (a *Adaptive) judge(now time.Time) {
	w, limit, calm := a.window, a.limit, a.calm > 0
	w.length = now.Sub(w.since)
	a.window = window{since: now}
	a.calm = max(0, a.calm-1)
	if w.refusals > w.samples {
		a.overwhelmed(now, w, calm)
		return
	}
	a.last = w.mean()
	a.spread.add(w)
	a.move(now, w, calm)
	if a.limit != limit {
		// Requests that still run started under the old limit and would judge
		// the new one.
		a.window.since = now.Add(w.mean())
	}
}

// move changes the limit after a window in which most requests ran.
func (a *Adaptive) move(now time.Time, w window, calm bool) {
	mean := w.mean()
	// certain is what the latency is at least, but for chance.
	certain := mean - a.spread.deviation(mean, w.samples)
	a.learn(now, mean, certain)
	if !w.refused() && !a.high(certain) {
		a.calm = calmWindows
	}
	switch {
	case a.measured > 0:
		a.remeasure(now, mean)
	case w.refused():
		a.cut(w, refusalCut)
	case calm && a.jumped(certain):
		a.Restart(now)
		a.last = mean
		a.raised = streak{limit: a.limit, mean: mean}
	case a.unhelped(mean):
		a.floor, a.raised = mean, streak{}
		a.ramping = true
	case a.high(certain):
		a.slow(w, mean)
	case a.near(certain):
		a.doubts = 0
		a.grow(w)
	case w.peak >= int(a.limit) && now.Sub(a.floorAt) > max(leastFloorAge, floorAge*w.length):
		a.measured = a.limit
		a.set(a.limit * measurePart)
	}
}

// learn moves the floor. Upwards it only follows the few windows of a ramp:
// under lasting load it would run away together with the limit.
func (a *Adaptive) learn(now time.Time, mean, certain time.Duration) {
	switch {
	case a.floor == 0:
		a.floor = mean
	case mean < a.floor, a.near(certain) && (a.ramping || a.limit <= float64(a.cold)):
		a.floor += time.Duration(floorStep * float64(mean-a.floor))
	}
	if a.near(certain) {
		a.floorAt = now
	}
}

func (a *Adaptive) near(mean time.Duration) bool {
	return float64(mean) <= nearFloor*float64(a.floor)
}

func (a *Adaptive) high(mean time.Duration) bool {
	return float64(mean) > tolerance*float64(a.floor)
}

func (a *Adaptive) jumped(mean time.Duration) bool {
	return mean > restartJump*a.floor && mean-a.floor > leastJump
}

// overwhelmed handles a window in which most requests were refused or timed
// out. After a calm one this shows a restart: load alone rises step by step.
func (a *Adaptive) overwhelmed(now time.Time, w window, calm bool) {
	if calm {
		a.Restart(now)
		return
	}
	a.cut(w, majorityCut)
}

// cut lowers the limit from what was in use, since a limit that was not
// reached has not been tried.
func (a *Adaptive) cut(w window, factor float64) {
	a.ramping, a.measured = false, 0
	a.set(min(a.limit, float64(w.peak)) * factor)
}

// remeasure ends the measurement of the floor. A floor that was far too low
// has held the limit down, which then grows as from the cold limit.
func (a *Adaptive) remeasure(now time.Time, mean time.Duration) {
	a.ramping = !a.near(mean)
	a.floor, a.floorAt = mean, now
	a.set(a.measured)
	a.measured, a.raised = 0, streak{}
}

// unhelped reports whether the limit has been cut deeply without effect.
// Latency that does not fall with the limit comes from somewhere else, such as
// a deeper service, and becomes the new floor.
func (a *Adaptive) unhelped(mean time.Duration) bool {
	r := &a.raised
	if r.mean == 0 {
		return false
	}
	r.windows++
	tried := a.limit <= r.limit*deepCut || a.limit <= float64(a.cold) && r.windows >= relearnWindows
	if !tried {
		return false
	}
	helped := float64(mean) < helpedCut*float64(r.mean)
	*r = streak{limit: a.limit, mean: mean}
	return !helped && !a.near(mean)
}

// slow handles a window of raised latency.
func (a *Adaptive) slow(w window, mean time.Duration) {
	if a.raised.mean == 0 {
		a.raised = streak{limit: min(a.limit, float64(w.peak)), mean: mean}
	}
	a.doubts++
	if a.doubts < cutWindows || a.limit <= float64(a.cold) {
		return
	}
	factor := max(sharpestCut, tolerance*float64(a.floor)/float64(mean))
	a.cut(w, factor)
	a.set(max(a.limit, min(float64(a.cold), float64(w.peak))))
}

// grow raises a limit that was reached while latency was near its floor.
func (a *Adaptive) grow(w window) {
	if w.peak < int(a.limit) {
		return
	}
	if a.limit >= a.raised.limit {
		a.raised = streak{}
	}
	if a.ramping {
		a.set(math.Ceil(a.limit * rampGrowth))
		return
	}
	a.set(a.limit + max(1, math.Sqrt(a.limit)/2))
}
