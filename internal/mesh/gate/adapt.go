package gate

import (
	"math"
	"time"
)

const (
	// tolerance is how far, as a factor, the mean latency may lie above its
	// floor before it counts as raised.
	tolerance = 2

	// sharpestCut is the smallest factor by which one window lowers the limit.
	sharpestCut = 0.5

	// refusalCut is the factor for a window with refusals or timeouts.
	refusalCut = 0.8

	// rampGrowth is the factor of a window during the growth from the cold
	// limit.
	rampGrowth = 1.5

	// restartJump is the rise of the mean latency from one window to the next,
	// as a factor over the floor, that shows a restart. leastJump keeps a
	// queue in a deeper service, which adds tens of milliseconds, from passing
	// for one.
	restartJump = 4
	leastJump   = 100 * time.Millisecond

	// leastWindow and leastSamples bound a window from below, so that single
	// requests do not move the limit.
	leastWindow  = 20 * time.Millisecond
	leastSamples = 8

	// windowFloors is how many floors of latency a window lasts, so that its
	// samples ran under the limit that they judge.
	windowFloors = 2

	// floorDrift is the factor by which each window raises the floor. The
	// floor follows a target that became slower for good.
	floorDrift = 1.005

	// floorStep is the part of the way that the floor moves down to a window
	// below it. Windows of few samples vary, and the lowest of many would
	// make all others look raised.
	floorStep = 0.25

	// helpedCut is the part of the latency that remains when a cut of the
	// limit by half helped. Above it, load is not the cause of the latency.
	helpedCut = 0.8

	// relearnWindows is how many raised windows at the cold limit show that
	// load is not the cause of the latency.
	relearnWindows = 3
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

	// last is the mean of the window before, zero after a restart.
	last time.Duration

	window window
	raised streak
}

// window gathers what is observed until the limit is next looked at.
type window struct {
	since    time.Time
	samples  int
	total    time.Duration
	peak     int
	refusals int
}

// streak follows a run of windows with raised latency.
type streak struct {
	windows int

	// limit and mean are those that later windows are compared with.
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
	a.last, a.raised = 0, streak{}
	a.window = window{since: now}
}

// Observe implements mesh.Limiter.
func (a *Adaptive) Observe(now time.Time, latency time.Duration, inFlight int, overloaded bool) {
	w := &a.window
	if w.since.IsZero() {
		w.since = now
	}
	w.peak = max(w.peak, inFlight)
	if overloaded {
		w.refusals++
	} else {
		w.samples++
		w.total += latency
	}
	if a.complete(now) {
		a.judge(now)
	}
}

func (a *Adaptive) complete(now time.Time) bool {
	w := a.window
	age := now.Sub(w.since)
	return w.samples+w.refusals >= max(leastSamples, int(a.limit)) && age >= leastWindow && age >= windowFloors*a.floor
}

// judge moves the limit at the end of a window.
func (a *Adaptive) judge(now time.Time) {
	w := a.window
	a.window = window{since: now}
	if w.samples == 0 {
		a.cut(w, refusalCut)
		return
	}
	mean := w.total / time.Duration(w.samples)
	before := a.last
	a.last = mean
	a.learn(mean)
	switch {
	case w.refusals > 0:
		a.cut(w, refusalCut)
	case a.jumped(before, mean):
		a.Restart(now)
		a.last = mean
		a.raised = streak{limit: a.limit, mean: mean}
	case a.high(mean):
		a.slow(w, mean)
	default:
		a.grow(w)
	}
}

func (a *Adaptive) learn(mean time.Duration) {
	switch {
	case a.floor == 0:
		a.floor = mean
		return
	case mean < a.floor:
		a.floor += time.Duration(floorStep * float64(mean-a.floor))
		return
	}
	a.floor = time.Duration(float64(a.floor) * floorDrift)
}

func (a *Adaptive) high(mean time.Duration) bool {
	return float64(mean) > tolerance*float64(a.floor)
}

func (a *Adaptive) jumped(before, mean time.Duration) bool {
	return before > 0 && !a.high(before) && mean > restartJump*a.floor && mean-before > leastJump
}

// cut lowers the limit from what was in use, since a limit that was not
// reached has not been tried.
func (a *Adaptive) cut(w window, factor float64) {
	a.ramping = false
	a.set(min(a.limit, float64(w.peak)) * factor)
}

// slow handles a window of raised latency. Latency that does not fall with
// the limit comes from somewhere else, such as a deeper service, and becomes
// the new floor.
func (a *Adaptive) slow(w window, mean time.Duration) {
	if a.raised.mean == 0 {
		a.raised = streak{limit: min(a.limit, float64(w.peak)), mean: mean}
	}
	a.raised.windows++
	tried := a.limit <= a.raised.limit/2 || a.limit <= float64(a.cold) && a.raised.windows >= relearnWindows
	if tried {
		helped := float64(mean) < helpedCut*float64(a.raised.mean)
		a.raised = streak{limit: a.limit, mean: mean}
		if !helped {
			a.floor, a.raised = mean, streak{}
			a.ramping = true
			return
		}
	}
	if a.limit <= float64(a.cold) {
		return
	}
	factor := max(sharpestCut, tolerance*float64(a.floor)/float64(mean))
	a.cut(w, factor)
	a.set(max(a.limit, min(float64(a.cold), float64(w.peak))))
}

// grow raises a limit that was reached while latency was near its floor.
func (a *Adaptive) grow(w window) {
	a.raised = streak{}
	if w.peak < int(a.limit) {
		return
	}
	if a.ramping {
		a.set(math.Ceil(a.limit * rampGrowth))
		return
	}
	a.set(a.limit + max(1, math.Sqrt(a.limit)))
}
