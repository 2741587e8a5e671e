package gate

import (
	"math"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// learnWindow is the minimum duration of a window, and learnSamples the minimum number of
	// its samples. The mean of fewer samples varies by more than the slowdown that is looked for.
	learnWindow  = 250 * time.Millisecond
	learnSamples = 100

	// learnMaxWindow is the duration after which a window with too few samples is discarded.
	learnMaxWindow = 4 * time.Second

	// raisedSlowdown is the ratio of latency to base latency above which a target counts as
	// slowed down, and calmSlowdown the one up to which it does not. A trial turns requests away
	// at the busiest time, which a smaller slowdown is not worth.
	raisedSlowdown = 1.35
	calmSlowdown   = 1.15

	// minRaisedTime is how long a target must be slow before a lower limit is tried. Noisy
	// neighbours slow a target for spells of about half a second, which end without help.
	minRaisedTime = 1200 * time.Millisecond

	// settleTime is how long nothing is learned after a restart. A target that has just started
	// is slow for some seconds at any load.
	settleTime = 6 * time.Second

	// lowerFactor and raiseFactor are the factors by which a trial changes the limit.
	lowerFactor = 0.9
	raiseFactor = 1.1

	// throughputTolerance is the relative loss of throughput up to which a lower limit counts as
	// no loss. It exceeds the variation of the mean of a window.
	throughputTolerance = 0.05

	// saturatedFraction is the fraction of the limit that must have been in use for a window to
	// say something about the limit.
	saturatedFraction = 0.9

	// minTrialPause and maxTrialPause bound the time between a trial that did not help and the
	// next one in the same direction. It doubles with each.
	minTrialPause = 2 * time.Second
	maxTrialPause = 16 * time.Second

	// idleRecovery is the fraction of the distance to the maximum by which the limit recovers in
	// a window in which it was not reached. An old limit is no evidence about a target that has
	// had less to do since.
	idleRecovery = 0.05

	// baseFall is the weight with which the base latency of a route follows a lower mean, baseRise
	// the one for a higher mean at low load, and lowLoad the fraction of the maximum that counts
	// as low.
	baseFall = 0.25
	baseRise = 0.1
	lowLoad  = 0.5

	// baseSamples is the minimum number of samples of a route in a window that can change its
	// base latency.
	baseSamples = 5

	// maxLearnedRoutes bounds the memory for routes; further ones are not learned.
	maxLearnedRoutes = 256

	// serviceGain is the weight of a window in the mean service time, and idleServiceGain that of a
	// window with few samples, after which the mean is old.
	serviceGain     = 0.3
	idleServiceGain = 0.7

	// idleSamples is the number of requests from which on such a window has its full weight.
	idleSamples = 10

	// minSuccessShare is the lower bound of the share of successes by which the service time is
	// divided.
	minSuccessShare = 0.1
)

// Learned is a limiter that starts at the announced size and holds back only where that is seen
// to help: it lowers the limit of a target that has slowed down, and keeps the lower limit only
// if the target then finishes as much as before. A target that is slow for another reason than
// its load finishes less with fewer requests at once, and gets its limit back.
type Learned struct {
	// maximum is the limit of a target without slowdown; at least 1.
	maximum int

	// limit is between 1 and maximum.
	limit float64

	// routes holds the routes whose latency is known, by name.
	routes map[string]*learnedRoute

	// quietUntil is the time until which nothing is learned.
	quietUntil time.Time

	// raisedSince is since when the target has been slow; zero when it is not.
	raisedSince time.Time

	trial  trial
	window learnedWindow

	// lower and raise are the pauses between trials in each direction.
	lower, raise trialPause

	// held is the mean time for which the target holds a request that succeeds, and own the part of
	// it without nested calls; zero while unknown.
	held, own time.Duration

	// success is the share of requests that succeed, from 0 to 1.
	success float64

	// measuredAt is when the target last finished a request.
	measuredAt time.Time

	// kept is the share of the throughput that lower limits have kept since the limit was last at
	// its maximum. It bounds what many small losses add up to.
	kept float64

	// slowdown is the ratio of latency to base latency in the last window; zero while unknown.
	slowdown float64
}

// learnedRoute is what is known about one route.
type learnedRoute struct {
	// base is the mean latency at low load without nested calls; zero while unknown.
	base time.Duration

	// total and samples are those of the current window.
	total   time.Duration
	samples int
}

// learnedWindow accumulates samples until the limit is next evaluated.
type learnedWindow struct {
	// start is when the window began. Samples before it are ignored.
	start time.Time

	samples, failed, peak int

	// held is the sum of the latencies, nested calls included, and own without them.
	held, own time.Duration
}

// trial is a change of the limit whose effect has not been seen yet.
type trial struct {
	// from is the limit before the trial; zero when no trial is running.
	from float64

	// slowdown is that of the window before the trial.
	slowdown float64
}

// trialPause is the time until the next trial in one direction.
type trialPause struct {
	until time.Time
	last  time.Duration
}

func (p *trialPause) failed(now time.Time) {
	p.last = min(maxTrialPause, max(minTrialPause, 2*p.last))
	p.until = now.Add(p.last)
}

// NewLearned returns the limiter of a target that starts at the given limit, which it never
// exceeds.
func NewLearned(limit int) (l *Learned) {
	l = &Learned{kept: 1, success: 1, routes: make(map[string]*learnedRoute)}
	l.Resize(0, limit)
	l.limit = float64(l.maximum)
	return l
}

// Limit implements mesh.Limiter.
func (l *Learned) Limit() (limit int) { return max(1, int(l.limit+0.5)) }

// Service returns the mean time for which the target holds a request; zero while unknown. A share
// of failures raises it like the retries that they cause, so that a target that fails fast does
// not look fast.
func (l *Learned) Service() (d time.Duration) { return l.perSuccess(l.held) }

// Own returns the part of Service in which the target did not wait for nested calls.
func (l *Learned) Own() (d time.Duration) { return l.perSuccess(min(l.own, l.held)) }

// MeasuredAt returns when the target last finished a request; zero when it has not.
func (l *Learned) MeasuredAt() (at time.Time) { return l.measuredAt }

func (l *Learned) perSuccess(d time.Duration) (perSuccess time.Duration) {
	return time.Duration(float64(d) / max(minSuccessShare, l.success))
}

// BaseLatencies returns the mean latency of each route at low load, without nested calls.
func (l *Learned) BaseLatencies() (byRoute map[string]time.Duration) {
	byRoute = make(map[string]time.Duration, len(l.routes))
	for name, r := range l.routes {
		if r.base > 0 {
			byRoute[name] = r.base
		}
	}
	return byRoute
}

// Slowdown returns the ratio of the latency to the base latency in the last window; zero while
// unknown.
func (l *Learned) Slowdown() (ratio float64) { return l.slowdown }

// Resize implements mesh.Limiter. A limit that was held back is kept as a share of the maximum.
func (l *Learned) Resize(_, slots int) {
	slots = max(1, slots)
	if slots == l.maximum {
		return
	}
	if l.maximum > 0 {
		l.limit *= float64(slots) / float64(l.maximum)
	}
	l.maximum = slots
	l.trial = trial{}
	l.setLimit(l.limit)
}

func (l *Learned) setLimit(limit float64) {
	l.limit = min(max(1, limit), float64(l.maximum))
	if l.Limit() == l.maximum && l.trial.from == 0 {
		l.kept = 1
	}
}

// Restart implements mesh.Limiter. A new incarnation is judged anew, since it may be another
// version on another host.
func (l *Learned) Restart(now time.Time) {
	*l = Learned{maximum: l.maximum, limit: float64(l.maximum), kept: 1, success: 1, routes: make(map[string]*learnedRoute), quietUntil: now.Add(settleTime)}
	l.beginWindow(l.quietUntil)
}

// Observe implements mesh.Limiter. Results without a meaningful latency are ignored: a target that
// refuses is full, which its announced slots already bound.
func (l *Learned) Observe(time.Time, time.Duration, int, bool) {}

// ObserveSample implements mesh.SampleLimiter.
func (l *Learned) ObserveSample(now time.Time, s mesh.Sample) {
	l.measuredAt = now
	w := &l.window
	if w.start.IsZero() {
		w.start = now
	}
	if now.Before(w.start) {
		return
	}
	w.peak = max(w.peak, s.InFlight)
	if s.Failed {
		w.failed++
	} else {
		w.samples++
		w.held += s.Latency
		w.own += max(0, s.Latency-s.Nested)
		l.addToRoute(s)
	}
	age := now.Sub(w.start)
	enough := w.samples+w.failed >= learnSamples && age >= 2*w.held/time.Duration(max(1, w.samples))
	if age >= learnWindow && enough || age >= learnMaxWindow {
		l.evaluate(now)
	}
}

func (l *Learned) addToRoute(s mesh.Sample) {
	r := l.routes[s.Route]
	if r == nil {
		if len(l.routes) >= maxLearnedRoutes {
			return
		}
		r = new(learnedRoute)
		l.routes[s.Route] = r
	}
	r.total += max(0, s.Latency-s.Nested)
	r.samples++
}

func (l *Learned) beginWindow(start time.Time) {
	l.window = learnedWindow{start: start}
	for _, r := range l.routes {
		r.total, r.samples = 0, 0
	}
}

// evaluate updates the limit at the end of a window.
func (l *Learned) evaluate(now time.Time) {
	w, limit := l.window, l.limit
	l.updateService(w)
	if w.samples >= learnSamples {
		l.slowdown = l.measure(w)
		if l.slowdown > 0 {
			l.adjust(now, w)
		}
	}
	start := now
	if l.limit != limit {
		// Requests still in flight started under the old limit.
		start = now.Add(w.held / time.Duration(max(1, w.samples)))
	}
	l.beginWindow(start)
}

func (l *Learned) updateService(w learnedWindow) {
	finished := w.samples + w.failed
	if finished == 0 {
		return
	}
	gain := serviceGain
	if finished < learnSamples {
		gain = idleServiceGain * min(1, float64(finished)/idleSamples)
	}
	l.success += gain * (float64(w.samples)/float64(finished) - l.success)
	if w.samples == 0 {
		return
	}
	held, own := w.held/time.Duration(w.samples), w.own/time.Duration(w.samples)
	if l.held == 0 {
		l.held, l.own = held, own
	}
	l.held += time.Duration(gain * float64(held-l.held))
	l.own += time.Duration(gain * float64(own-l.own))
}

// measure returns the ratio of the latencies of a window to the base latencies of the same
// requests, zero if none is known, and updates the base latencies.
func (l *Learned) measure(w learnedWindow) (slowdown float64) {
	var measured, expected time.Duration
	for _, r := range l.routes {
		if r.base > 0 {
			measured += r.total
			expected += r.base * time.Duration(r.samples)
		}
		r.updateBase(float64(w.peak) < lowLoad*float64(l.maximum))
	}
	if expected == 0 {
		return 0
	}
	return float64(measured) / float64(expected)
}

// updateBase lets the base latency follow the mean of a window: a lower mean at any load, a higher
// one only at low load, where load is not the cause.
func (r *learnedRoute) updateBase(low bool) {
	if r.samples < baseSamples {
		return
	}
	mean := r.total / time.Duration(r.samples)
	switch {
	case r.base == 0:
		r.base = mean
	case mean < r.base:
		r.base += time.Duration(baseFall * float64(mean-r.base))
	case low:
		r.base += time.Duration(baseRise * float64(mean-r.base))
	}
}

// adjust updates the limit after a window.
func (l *Learned) adjust(now time.Time, w learnedWindow) {
	saturated := float64(w.peak) >= saturatedFraction*l.limit
	switch {
	case l.slowdown < raisedSlowdown:
		l.raisedSince = time.Time{}
	case l.raisedSince.IsZero():
		l.raisedSince = w.start
	}
	switch {
	case l.trial.from > 0:
		l.finishTrial(now, saturated)
	case !saturated:
		l.setLimit(l.limit + idleRecovery*(float64(l.maximum)-l.limit))
	case !l.raisedSince.IsZero() && now.Sub(l.raisedSince) < minRaisedTime:
	case !l.raisedSince.IsZero() && !now.Before(l.lower.until) && l.Limit() > 1:
		l.try(min(float64(l.Limit()-1), math.Floor(float64(l.Limit())*lowerFactor)))
	case l.limit < float64(l.maximum) && !now.Before(l.raise.until) && (l.slowdown <= calmSlowdown || l.lower.last > 0):
		// After a lower limit that did not help, the load is not the cause of the slowdown.
		l.try(math.Ceil(float64(l.Limit())*raiseFactor) + 1)
	}
}

// try changes the limit for one window. Limits that are tried are whole, as those in use are.
func (l *Learned) try(limit float64) {
	l.trial = trial{from: float64(l.Limit()), slowdown: l.slowdown}
	l.setLimit(limit)
}

// finishTrial keeps the tried limit or returns to the one before. Throughput at the limit is the
// limit divided by the latency.
func (l *Learned) finishTrial(now time.Time, saturated bool) {
	t := l.trial
	l.trial = trial{}
	if !saturated {
		// The window says nothing about the tried limit.
		l.setLimit(max(l.limit, t.from))
		return
	}
	change := l.limit / t.from
	gain := change * t.slowdown / l.slowdown
	switch {
	case change < 1 && l.kept*gain >= 1-throughputTolerance:
		l.lower = trialPause{}
		l.kept *= min(1, gain)
	case change < 1:
		l.setLimit(t.from)
		l.lower.failed(now)
	case gain >= 1+(change-1)/2:
		l.raise = trialPause{}
		l.kept = min(1, l.kept*gain)
	default:
		l.setLimit(t.from)
		l.raise.failed(now)
	}
}
