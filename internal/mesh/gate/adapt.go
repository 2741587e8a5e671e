package gate

import (
	"math"
	"time"
)

const (
	// growthTolerance is how far, as a factor, the mean latency may lie above its
	// floor while the limit grows.
	growthTolerance = 1.25

	// raisedTolerance is the factor over the floor from which on the mean latency
	// counts as raised. Between nearFloor and raisedTolerance the limit stays.
	raisedTolerance = 1.5

	// minLatencyCut is the smallest factor by which one window lowers the limit.
	minLatencyCut = 0.7

	// refusalThreshold is the part of a window from which on refusals and timeouts
	// lower the limit. A single slow request is no sign of overload.
	refusalThreshold = 0.05

	// refusalCut is the factor for a window with refusals or timeouts, and
	// majorityCut for one in which most requests end so.
	refusalCut  = 0.8
	majorityCut = 0.5

	// rampGrowth is the factor of a window during the growth from the cold
	// limit.
	rampGrowth = 1.5

	// restartLatencyFactor is the factor over the floor that shows a restart when the
	// mean latency reaches it right after a calm window. leastJump keeps a
	// queue in a deeper service, which adds tens of milliseconds, from passing
	// for one.
	restartLatencyFactor = 4
	minRestartIncrease   = 100 * time.Millisecond

	// cutWindows is from how many raised windows on the limit falls. One alone
	// is often chance.
	cutWindows = 2

	// calmWindows is for how many windows a calm one is remembered. The window
	// in which a target restarts is part calm, part not.
	calmWindows = 2

	// minWindow and leastSamples bound a window from below, so that single
	// requests do not move the limit.
	minWindow  = 20 * time.Millisecond
	minWindowSamples = 8

	// targetPrecision is the standard error, as a part of the mean latency, at which
	// a window has enough samples, and rampPrecision that at the cold limit and
	// during the growth from it. Few samples of a service whose times vary would
	// show a raised latency that is not there.
	targetPrecision     = 0.12
	rampPrecision = 0.25

	// maxWindow ends a window that does not reach its precision.
	maxWindow = 2 * time.Second

	// minWindowLatencies is how many floors of latency a window lasts, so that its
	// samples ran under the limit that they judge.
	minWindowLatencies = 2

	// floorAge is how long, at least and in windows, a busy target may stay
	// above its floor before that is measured again. Without it a target that
	// is never idle would keep the floor of another time.
	minMeasureInterval = 3 * time.Second
	measureIntervalWindows      = 20

	// measureFraction is the part of the limit at which the floor is measured.
	measureFraction = 0.5

	// baseLatencyGain is the part of the way that the floor moves down to a window
	// below it. Windows of few samples vary, and the lowest of many would
	// make all others look raised.
	baseLatencyGain = 0.25

	// deepCutFraction is the part of the limit from which on a cut must have helped,
	// and helpedCut the part of the latency that remains when it did. Above
	// it, load is not the cause of the latency.
	deepCutFraction   = 0.6
	effectiveCutFraction = 0.8

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

	// baseLatency is the mean latency of an unloaded target, zero while unknown.
	baseLatency time.Duration

	// nearBaseAt is when latency was last near the floor.
	nearBaseAt time.Time

	// savedLimit is the limit to return to after the floor was savedLimit, zero
	// while it is not.
	savedLimit float64

	// calm is calmWindows after a window without raised latency and refusals,
	// and falls to zero by one with each other window.
	calm int

	// raisedCount counts the windows of raised latency since it was last near the
	// floor.
	raisedCount int

	// lastMean is the mean of the window before, zero after a restart.
	lastMean time.Duration

	window window
	reference cutReference
	variation latencyVariation
}

// window gathers what is observed until the limit is next looked at.
type window struct {
	start time.Time

	// duration is how long the window was, zero until its end.
	duration time.Duration

	samples  int
	total    time.Duration
	peak     int
	refusals int

	// squares is the sum of the squared latencies, in seconds.
	squares float64
}

// mean returns the mean latency.
func (w window) mean() (mean time.Duration) { return w.total / time.Duration(max(1, w.samples)) }

// manyRefusals reports whether refusals and timeouts are more than single ones.
func (w window) manyRefusals() bool {
	return float64(w.refusals) > refusalThreshold*float64(w.samples+w.refusals)
}

// cutReference follows the windows since latency was raised.
type cutReference struct {
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
	if a.ramping && a.lastMean == 0 {
		a.limit = float64(a.cold)
	}
	a.setLimit(a.limit)
}

func (a *Adaptive) setLimit(limit float64) { a.limit = min(max(1, limit), float64(a.slots)) }

// Restart implements mesh.Limiter. The floor stays, so that a target that
// comes back slower than it was is not taken for a warm one.
func (a *Adaptive) Restart(now time.Time) {
	a.limit, a.ramping = float64(a.cold), true
	a.calm, a.raisedCount, a.lastMean, a.savedLimit, a.reference = 0, 0, 0, 0, cutReference{}
	a.window = window{start: now}
}

// Observe implements mesh.Limiter.
func (a *Adaptive) Observe(now time.Time, latency time.Duration, inFlight int, overloaded bool) {
	w := &a.window
	if w.start.IsZero() {
		w.start = now
	}
	if now.Before(w.start) {
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
	if a.windowComplete(now) {
		a.evaluate(now)
	}
}

func (a *Adaptive) windowComplete(now time.Time) bool {
	w := a.window
	age := now.Sub(w.start)
	// A limit that is not reached needs no more samples than what is in use.
	enough := max(minWindowSamples, min(int(a.limit), w.peak))
	switch {
	case w.samples+w.refusals < enough, age < minWindow, age < minWindowLatencies*a.baseLatency:
		return false
	case w.refusals > w.samples, age >= maxWindow:
		return true
	default:
		return w.samples >= a.variation.requiredSamples(a.requiredPrecision())
	}
}

func (a *Adaptive) requiredPrecision() (part float64) {
	if a.ramping || a.limit <= float64(a.cold) {
		return rampPrecision
	}
	return targetPrecision
}

// evaluate looks at the limit at the end of a window.
func (a *Adaptive) evaluate(now time.Time) {
	w, limit, calm := a.window, a.limit, a.calm > 0
	w.duration = now.Sub(w.start)
	a.window = window{start: now}
	a.calm = max(0, a.calm-1)
	if w.refusals > w.samples {
		a.mostRefused(now, w, calm)
		return
	}
	a.lastMean = w.mean()
	a.variation.add(w)
	a.adjust(now, w, calm)
	if a.limit != limit {
		// Requests that still run started under the old limit and would judge
		// the new one.
		a.window.start = now.Add(w.mean())
	}
}

// adjust changes the limit after a window in which most requests ran.
func (a *Adaptive) adjust(now time.Time, w window, calm bool) {
	mean := w.mean()
	// lowerBound is what the latency is at least, but for chance.
	lowerBound := mean - a.variation.standardError(mean, w.samples)
	a.updateBaseLatency(now, mean, lowerBound)
	if !w.manyRefusals() && !a.isRaised(lowerBound) {
		a.calm = calmWindows
	}
	switch {
	case a.savedLimit > 0:
		a.finishMeasurement(now, mean)
	case w.manyRefusals():
		a.cut(w, refusalCut)
	case calm && a.jumped(lowerBound):
		a.Restart(now)
		a.lastMean = mean
		a.reference = cutReference{limit: a.limit, mean: mean}
	case a.cutIneffective(mean):
		a.baseLatency, a.reference = mean, cutReference{}
		a.ramping = true
	case a.isRaised(lowerBound):
		a.handleRaised(w, mean)
	case a.nearBase(lowerBound):
		a.raisedCount = 0
		a.grow(w)
	case w.peak >= int(a.limit) && now.Sub(a.nearBaseAt) > max(minMeasureInterval, measureIntervalWindows*w.duration):
		a.savedLimit = a.limit
		a.setLimit(a.limit * measureFraction)
	}
}

// updateBaseLatency moves the floor. Upwards it only follows the few windows of a ramp:
// under lasting load it would run away together with the limit.
func (a *Adaptive) updateBaseLatency(now time.Time, mean, lowerBound time.Duration) {
	switch {
	case a.baseLatency == 0:
		a.baseLatency = mean
	case mean < a.baseLatency, a.nearBase(lowerBound) && (a.ramping || a.limit <= float64(a.cold)):
		a.baseLatency += time.Duration(baseLatencyGain * float64(mean-a.baseLatency))
	}
	if a.nearBase(lowerBound) {
		a.nearBaseAt = now
	}
}

func (a *Adaptive) nearBase(mean time.Duration) bool {
	return float64(mean) <= growthTolerance*float64(a.baseLatency)
}

func (a *Adaptive) isRaised(mean time.Duration) bool {
	return float64(mean) > raisedTolerance*float64(a.baseLatency)
}

func (a *Adaptive) jumped(mean time.Duration) bool {
	return mean > restartLatencyFactor*a.baseLatency && mean-a.baseLatency > minRestartIncrease
}

// mostRefused handles a window in which most requests were refused or timed
// out. After a calm one this shows a restart: load alone rises step by step.
func (a *Adaptive) mostRefused(now time.Time, w window, calm bool) {
	if calm {
		a.Restart(now)
		return
	}
	a.cut(w, majorityCut)
}

// cut lowers the limit from what was in use, since a limit that was not
// reached has not been tried.
func (a *Adaptive) cut(w window, factor float64) {
	a.ramping, a.savedLimit = false, 0
	a.setLimit(min(a.limit, float64(w.peak)) * factor)
}

// finishMeasurement ends the measurement of the floor. A floor that was far too low
// has held the limit down, which then grows as from the cold limit.
func (a *Adaptive) finishMeasurement(now time.Time, mean time.Duration) {
	a.ramping = !a.nearBase(mean)
	a.baseLatency, a.nearBaseAt = mean, now
	a.setLimit(a.savedLimit)
	a.savedLimit, a.reference = 0, cutReference{}
}

// cutIneffective reports whether the limit has been cut deeply without effect.
// Latency that does not fall with the limit comes from somewhere else, such as
// a deeper service, and becomes the new floor.
func (a *Adaptive) cutIneffective(mean time.Duration) bool {
	r := &a.reference
	if r.mean == 0 {
		return false
	}
	r.windows++
	tried := a.limit <= r.limit*deepCutFraction || a.limit <= float64(a.cold) && r.windows >= relearnWindows
	if !tried {
		return false
	}
	effective := float64(mean) < effectiveCutFraction*float64(r.mean)
	*r = cutReference{limit: a.limit, mean: mean}
	return !effective && !a.nearBase(mean)
}

// handleRaised handles a window of raised latency.
func (a *Adaptive) handleRaised(w window, mean time.Duration) {
	if a.reference.mean == 0 {
		a.reference = cutReference{limit: min(a.limit, float64(w.peak)), mean: mean}
	}
	a.raisedCount++
	if a.raisedCount < cutWindows || a.limit <= float64(a.cold) {
		return
	}
	factor := max(minLatencyCut, raisedTolerance*float64(a.baseLatency)/float64(mean))
	a.cut(w, factor)
	a.setLimit(max(a.limit, min(float64(a.cold), float64(w.peak))))
}

// grow raises a limit that was reached while latency was near its floor.
func (a *Adaptive) grow(w window) {
	if w.peak < int(a.limit) {
		return
	}
	if a.limit >= a.reference.limit {
		a.reference = cutReference{}
	}
	if a.ramping {
		a.setLimit(math.Ceil(a.limit * rampGrowth))
		return
	}
	a.setLimit(a.limit + max(1, math.Sqrt(a.limit)/2))
}
