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
	sharpestCut = 0.5

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

	// calmWindows is for how many windows a calm one is remembered. The window
	// in which a target restarts is part calm, part not.
	calmWindows = 2

	// leastWindow and leastSamples bound a window from below, so that single
	// requests do not move the limit.
	leastWindow  = 20 * time.Millisecond
	leastSamples = 8

	// windowFloors is how many floors of latency a window lasts, so that its
	// samples ran under the limit that they judge.
	windowFloors = 2

	// floorAge is how long, at least and in floors, a busy target may stay
	// above its floor before that is measured again. Without it a target that
	// is never idle would keep the floor of another time.
	leastFloorAge = 10 * time.Second
	floorAge      = 100

	// measurePart is the part of the limit at which the floor is measured.
	measurePart = 0.5

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

	// floorAt is when latency was last near the floor.
	floorAt time.Time

	// measured is the limit to return to after the floor was measured, zero
	// while it is not.
	measured float64

	// calm is calmWindows after a window without raised latency and refusals,
	// and falls to zero by one with each other window.
	calm int

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
	a.calm, a.last, a.measured, a.raised = 0, 0, 0, streak{}
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
	return w.samples+w.refusals >= enough && age >= leastWindow && age >= windowFloors*a.floor
}

// judge moves the limit at the end of a window.
func (a *Adaptive) judge(now time.Time) {
	w := a.window
	limit := a.limit
	a.window = window{since: now}
	calm := a.calm > 0
	a.calm = max(0, a.calm-1)
	if w.refusals > w.samples {
		a.overwhelmed(now, w, calm)
		return
	}
	mean := w.total / time.Duration(w.samples)
	a.last = mean
	defer func() {
		// Requests that still run started under the old limit and would judge
		// the new one.
		if a.limit != limit {
			a.window.since = now.Add(mean)
		}
	}()
	a.learn(now, mean)
	if w.refusals == 0 && !a.high(mean) {
		a.calm = calmWindows
	}
	switch {
	case a.measured > 0:
		a.floor, a.floorAt = mean, now
		a.set(a.measured)
		a.measured = 0
	case w.refusals > 0:
		a.cut(w, refusalCut)
	case calm && a.jumped(mean):
		a.Restart(now)
		a.last = mean
		a.raised = streak{limit: a.limit, mean: mean}
	case a.high(mean):
		a.slow(w, mean)
	case a.near(mean):
		a.grow(w)
	case w.peak >= int(a.limit) && now.Sub(a.floorAt) > max(leastFloorAge, floorAge*a.floor):
		a.measured = a.limit
		a.set(a.limit * measurePart)
	}
}

func (a *Adaptive) learn(now time.Time, mean time.Duration) {
	switch {
	case a.floor == 0:
		a.floor = mean
	case mean < a.floor:
		a.floor += time.Duration(floorStep * float64(mean-a.floor))
	}
	if a.near(mean) {
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
	a.set(a.limit + max(1, math.Sqrt(a.limit)/2))
}
