package route

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// minBackoff is the backoff after the first failure of a link. It doubles with
	// each further failure up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second

	// unavailableBackoff is how long no calls are sent to a target that reported
	// that it accepts no new work. Membership reflects that state within this time.
	unavailableBackoff = time.Second

	// nonRetryableProbeDelay is how much longer a failed link waits for a call that
	// can be retried, in case the probe fails, before any call may probe it.
	nonRetryableProbeDelay = time.Second

	// probeTimeout is the time after which a probe without a result counts as lost.
	probeTimeout = 5 * time.Second

	// levelTTL is how long a reported admission level is valid without a new report.
	// After each further levelTTL the next less important class is accepted again.
	levelTTL = time.Second

	// loadHalfLife is the half-life of a reported load. An outdated high load would
	// otherwise keep all calls away permanently.
	loadHalfLife = time.Second

	// fullLoad is the load assumed for a target that refused a call, in thousandths.
	fullLoad = 2000

	// slowStartTime is the duration of the slow start of a target that returned,
	// during which its weight grows from slowStartInitial to 1.
	slowStartTime    = 5 * time.Second
	slowStartInitial = 0.05

	// linkIdleTimeout is the time without use after which a link is evicted, and
	// evictInterval the interval between evictions.
	linkIdleTimeout = 10 * time.Minute
	evictInterval   = time.Minute
)

// endpointKey identifies a target of a host.
type endpointKey struct{ host, target netip.AddrPort }

func keyOf(e mesh.Endpoint) (k endpointKey) {
	return endpointKey{host: e.Host, target: e.Target.Addr}
}

// linkState is the state of the link to one target.
type linkState struct {
	mesh.Link

	incarnation mesh.Incarnation

	// lastSeen is the last time at which the target was among the endpoints of a
	// pick.
	lastSeen time.Time

	// slowStartAt is when the target appeared or became available again.
	slowStartAt time.Time

	// loadAt is the time at which Load was reported.
	loadAt time.Time

	// connectFailed is true when the last failure was that no connection could be
	// opened.
	connectFailed bool

	// probeSentAt is when a call was sent as a probe of the failed link; zero while
	// no probe is in flight.
	probeSentAt time.Time

	// levels holds the last reported admission level of each route, by route name:
	// routes depend on different downstream services.
	levels map[string]reportedLevel
}

type reportedLevel struct {
	class mesh.Class
	at    time.Time
}

// links holds the link states of one node.
type links struct {
	states map[endpointKey]*linkState

	// lastPick is the time of the last pick for each service.
	lastPick  map[mesh.ServiceName]time.Time
	evictedAt time.Time
}

func newLinks() (l *links) {
	return &links{states: make(map[endpointKey]*linkState), lastPick: make(map[mesh.ServiceName]time.Time)}
}

// observe returns the link to an endpoint of a pick and marks it as seen. A target
// that was not among the endpoints of the previous pick, or that has a new
// incarnation, begins a slow start.
func (l *links) observe(now, previous time.Time, e mesh.Endpoint) (s *linkState) {
	key := keyOf(e)
	s, found := l.states[key]
	if !found {
		s = &linkState{Link: mesh.Link{To: e.Host, Zone: e.Zone}, levels: make(map[string]reportedLevel)}
		l.states[key] = s
	}
	if found && s.incarnation != e.Target.Incarnation {
		// The failures belong to an earlier incarnation of the target.
		s.Failures, s.RetryAt, s.probeSentAt = 0, time.Time{}, time.Time{}
	}
	if !found || !s.lastSeen.Equal(previous) || s.incarnation != e.Target.Incarnation {
		s.slowStartAt = now
	}
	s.lastSeen, s.incarnation, s.Zone = now, e.Target.Incarnation, e.Zone
	return s
}

// evictIdle removes links that are no longer used. It reports whether it was due.
func (l *links) evictIdle(now time.Time) (due bool) {
	if now.Sub(l.evictedAt) < evictInterval {
		return false
	}
	l.evictedAt = now
	for k, s := range l.states {
		if now.Sub(s.lastSeen) > linkIdleTimeout {
			delete(l.states, k)
		}
	}
	return true
}

// usable reports whether calls, or one call as a probe, may be sent over the link.
func (s *linkState) usable(now time.Time, call *mesh.Call) (usable, probe bool) {
	if s.Failures == 0 {
		return !now.Before(s.RetryAt), false
	}
	due := s.RetryAt
	if !call.Route.Idempotent || call.AttemptsLeft == 0 {
		due = due.Add(nonRetryableProbeDelay)
	}
	probing := !s.probeSentAt.IsZero() && now.Sub(s.probeSentAt) < probeTimeout
	return !probing && !now.Before(due), true
}

// lastResort reports whether any call may probe a failed link because no other
// target is available, and otherwise after which time one may. When no connection
// can be opened, even a non-idempotent call can safely be used as a probe.
func (s *linkState) lastResort(now time.Time) (allowed bool, after time.Duration) {
	probing := !s.probeSentAt.IsZero() && now.Sub(s.probeSentAt) < probeTimeout
	switch {
	case s.Failures == 0 || !s.connectFailed:
		return false, 0
	case probing:
		return false, minBackoff
	}
	return !now.Before(s.RetryAt), max(0, s.RetryAt.Sub(now))
}

// level returns the least important class that the target accepts on a route.
func (s *linkState) level(now time.Time, route string) (class mesh.Class) {
	reported, found := s.levels[route]
	if !found {
		return mesh.ClassLow
	}
	expired := now.Sub(reported.at) / levelTTL
	return mesh.Class(min(int64(mesh.ClassLow), int64(reported.class)+int64(expired)))
}

func (s *linkState) load(now time.Time) (load int) {
	halves := max(0, now.Sub(s.loadAt)) / loadHalfLife
	return s.Load >> min(halves, 62)
}

// weight returns the slow-start weight of the target, up to 1.
func (s *linkState) weight(now time.Time) (fraction float64) {
	age := float64(now.Sub(s.slowStartAt)) / float64(slowStartTime)
	return min(1, slowStartInitial+(1-slowStartInitial)*age)
}

// record updates the link with the result of a call.
func (s *linkState) record(now time.Time, r mesh.LinkReport) {
	s.probeSentAt = time.Time{}
	switch {
	case r.Refusal == nil:
		s.levels[r.Call.Route.Name] = reportedLevel{class: r.Level, at: now}
		s.Load, s.loadAt = r.Load, now
		s.resetFailures(now)
	case r.Reached && r.Refusal.Code == header.AnswerLost:
		s.resetFailures(now)
	case r.Reached && r.Refusal.Code == header.TargetUnreachable:
		s.resetFailures(now)
		s.RetryAt = now.Add(unavailableBackoff)
	case linkFailed(r.Refusal.Code) && s.Failures > 0 && now.Before(s.RetryAt):
		// The call was in flight when the link failed, so this is the same
		// failure again.
	case linkFailed(r.Refusal.Code):
		s.connectFailed = r.Refusal.Code == header.TargetUnreachable
		s.Failures++
		s.RetryAt = now.Add(min(maxBackoff, minBackoff<<min(s.Failures-1, 10)))
	case unavailable(r.Refusal.Code):
		s.resetFailures(now)
		s.RetryAt = now.Add(unavailableBackoff)
	case r.Refusal.Code == header.Overloaded:
		s.levels[r.Call.Route.Name] = reportedLevel{class: r.Level, at: now}
		s.Load, s.loadAt = fullLoad, now
		s.resetFailures(now)
	case r.Refusal.Code == header.NodeBusy:
		s.Load, s.loadAt = fullLoad, now
	}
}

// resetFailures clears the failures of a link. A failed link begins a slow start.
func (s *linkState) resetFailures(now time.Time) {
	if s.Failures > 0 {
		s.slowStartAt = now
	}
	s.Failures, s.RetryAt = 0, time.Time{}
}

// linkFailed reports whether a refusal indicates a failure of the link.
func linkFailed(c header.RefusalCode) bool {
	return c == header.TargetUnreachable || c == header.AnswerLost
}

// unavailable reports whether the target or its node reported that it accepts no
// new work.
func unavailable(c header.RefusalCode) bool {
	switch c {
	case header.NodeLeaving, header.TargetDraining, header.ZoneOut, header.NoTarget:
		return true
	default:
		return false
	}
}
