package gate

import (
	"math"
	"time"
)

const (
	// growthTolerance is the highest ratio of mean latency to base latency at which
	// the limit grows.
	growthTolerance = 1.25

	// raisedTolerance is the ratio of mean latency to base latency above which the
	// latency counts as raised. Between growthTolerance and raisedTolerance the
	// limit does not change.
	raisedTolerance = 1.5

	// minLatencyCut is the smallest factor by which one window of raised latency
	// lowers the limit.
	minLatencyCut = 0.7

	// refusalThreshold is the fraction of refusals and timeouts in a window above
	// which they lower the limit. A single slow request does not indicate overload.
	refusalThreshold = 0.05

	// refusalCut is the factor applied to the limit after a window with refusals or
	// timeouts, and majorityCut the one when they are the majority.
	refusalCut  = 0.8
	majorityCut = 0.5

	// rampGrowth is the growth factor per window while the limit ramps up from the
	// cold limit.
	rampGrowth = 1.5

	// restartLatencyFactor is the ratio of mean latency to base latency that
	// indicates a restart when it is exceeded right after a calm window.
	// minRestartIncrease keeps a queue in a downstream service, which adds tens of
	// milliseconds, from being mistaken for a restart.
	restartLatencyFactor = 4
	minRestartIncrease   = 100 * time.Millisecond

	// cutWindows is the number of windows of raised latency before the limit is
	// lowered. A single one is often chance.
	cutWindows = 2

	// calmWindows is the number of windows for which a calm one is remembered. The
	// window in which a target restarts includes samples from before the restart.
	calmWindows = 2

	// minWindow and minWindowSamples are the minimum duration and number of samples
	// of a window, so that single requests do not change the limit.
	minWindow        = 20 * time.Millisecond
	minWindowSamples = 8

	// targetPrecision is the relative standard error of the mean latency at which a
	// window has enough samples. rampPrecision applies at the cold limit and while
	// the limit ramps up. With high variance, too few samples would show a raised
	// latency by chance.
	targetPrecision = 0.12
	rampPrecision   = 0.25

	// maxWindow is the duration after which a window ends without reaching its
	// precision.
	maxWindow = 2 * time.Second

	// minWindowLatencies is the minimum duration of a window in base latencies, so
	// that its samples ran under the limit that they are used to evaluate.
	minWindowLatencies = 2

	// minMeasureInterval and measureIntervalWindows, in time and in windows, are how
	// long the latency of a busy target must not be near the base latency before that
	// is measured again. Without the measurement, a target that is never idle would
	// keep an outdated base latency.
	minMeasureInterval     = 3 * time.Second
	measureIntervalWindows = 20

	// measureFraction is the fraction of the limit that is in force while the base
	// latency is measured.
	measureFraction = 0.5

	// baseLatencyGain is the smoothing factor with which the base latency follows a
	// lower mean. The means of windows with few samples vary, and with their minimum
	// as the base latency all others would look raised.
	baseLatencyGain = 0.25

	// deepCutFraction is the fraction of the limit at or below which a cut must have
	// reduced the latency, and effectiveCutFraction the fraction of the latency
	// below which it did. If the latency stays higher, it is not caused by load.
	deepCutFraction      = 0.6
	effectiveCutFraction = 0.8

	// relearnWindows is the number of windows of raised latency at the cold limit
	// after which the latency is not attributed to load.
	relearnWindows = 2
)

// Adaptive is a limiter that controls the concurrency limit by the latency of the
// target. Its only input is the results of requests.
type Adaptive struct {
	cold, slots int

	// limit is between 1 and slots.
	limit float64

	// ramping is true while the limit grows by rampGrowth: after a restart or a new
	// base latency, until the limit is next lowered.
	ramping bool

	// baseLatency is the mean latency of the unloaded target; zero while unknown.
	baseLatency time.Duration

	// nearBaseAt is the last time at which the latency was near the base latency.
	nearBaseAt time.Time

	// savedLimit is the limit to restore after the base latency has been measured;
	// zero when no measurement is running.
	savedLimit float64

	// calm is set to calmWindows by a window without raised latency and refusals,
	// and decreases by one with each other window.
	calm int

	// raisedCount is the number of windows of raised latency since it was last near
	// the base latency.
	raisedCount int

	// lastMean is the mean latency of the previous window; zero after a restart.
	lastMean time.Duration

	window    window
	reference cutReference
	variation latencyVariation
}

// window accumulates samples until the limit is next evaluated.
type window struct {
	start time.Time

	// duration is set at the end of the window; zero before.
	duration time.Duration

	samples  int
	total    time.Duration
	peak     int
	refusals int

	// squares is the sum of the squared latencies, in seconds.
	squares float64
}

func (w window) mean() (mean time.Duration) { return w.total / time.Duration(max(1, w.samples)) }

// manyRefusals reports whether the fraction of refusals and timeouts is above the
// threshold.
func (w window) manyRefusals() bool {
	return float64(w.refusals) > refusalThreshold*float64(w.samples+w.refusals)
}

// cutReference is the state at the start of a period of raised latency. It is used
// to check whether lowering the limit reduces the latency.
type cutReference struct {
	windows int

	// limit and mean are compared with those of later windows; zero while the
	// latency is not raised.
	limit float64
	mean  time.Duration
}

// NewAdaptive returns the limiter of a cold target that announced the given slots.
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

// Restart implements mesh.Limiter. The base latency is kept, so that a target that
// is slower after its restart is not mistaken for a warm one.
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
	// When the limit was not reached, the highest concurrency in use decides how
	// many samples are needed.
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

func (a *Adaptive) requiredPrecision() (precision float64) {
	if a.ramping || a.limit <= float64(a.cold) {
		return rampPrecision
	}
	return targetPrecision
}

// evaluate updates the limit at the end of a window.
func (a *Adaptive) evaluate(now time.Time) {
	w, limit, calm := a.window, a.limit, a.calm > 0
	w.duration = now.Sub(w.start)
	a.window = window{start: now}
	a.calm = max(0, a.calm-1)
	if w.refusals > w.samples {
		a.majorityRefused(now, w, calm)
		return
	}
	a.lastMean = w.mean()
	a.variation.add(w)
	a.adjust(now, w, calm)
	if a.limit != limit {
		// Requests still in flight started under the old limit and must not count for
		// the new one.
		a.window.start = now.Add(w.mean())
	}
}

// adjust updates the limit after a window in which most requests succeeded.
func (a *Adaptive) adjust(now time.Time, w window, calm bool) {
	mean := w.mean()
	// lowerBound is the mean less its standard error.
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

// updateBaseLatency updates the base latency. It is raised only during the few
// windows of a ramp or at the cold limit: under sustained load it would grow
// together with the limit without bound.
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

// majorityRefused handles a window in which most requests were refused or timed out.
// Right after a calm window this indicates a restart, since load alone increases
// gradually.
func (a *Adaptive) majorityRefused(now time.Time, w window, calm bool) {
	if calm {
		a.Restart(now)
		return
	}
	a.cut(w, majorityCut)
}

// cut lowers the limit, starting from the concurrency in use, since a limit that was
// not reached has not been tested.
func (a *Adaptive) cut(w window, factor float64) {
	a.ramping, a.savedLimit = false, 0
	a.setLimit(min(a.limit, float64(w.peak)) * factor)
}

// finishMeasurement ends the measurement of the base latency. If the old value was
// far too low, it has kept the limit too low; the limit then ramps up as from the
// cold limit.
func (a *Adaptive) finishMeasurement(now time.Time, mean time.Duration) {
	a.ramping = !a.nearBase(mean)
	a.baseLatency, a.nearBaseAt = mean, now
	a.setLimit(a.savedLimit)
	a.savedLimit, a.reference = 0, cutReference{}
}

// cutIneffective reports whether the limit was lowered substantially without
// effect. Latency that does not fall with the limit has another cause, such as a
// downstream service, and becomes the new base latency.
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

// grow raises the limit if it was reached while the latency was near the base
// latency.
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
