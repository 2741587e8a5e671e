package route

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// minBackoff is the wait after the first failure of a link; it doubles
	// with each further one up to maxLinkRetry.
	minBackoff    = 100 * time.Millisecond
	maxBackoff = 5 * time.Second

	// unavailableBackoff is how long a target is left alone that said it takes no new
	// work. The roster shows it within that time.
	unavailableBackoff = time.Second

	// nonRetryableProbeDelay is how much longer a failed link waits for a call that
	// can be sent again, should the probe fail, before any call probes it.
	nonRetryableProbeDelay = time.Second

	// probeTimeout is after which time a probe without a report counts as lost.
	probeTimeout = 5 * time.Second

	// levelTTL is how long a level holds without news. After each further
	// one the next less important class is accepted again.
	levelTTL = time.Second

	// loadHalfLife is how fast a load that was reported loses its weight. An
	// old high load would otherwise keep all calls away for good.
	loadHalfLife = time.Second

	// fullLoad is the load of a target that refused a call, in thousandths.
	fullLoad = 2000

	// slowStartTime is how long the share of a target that returned takes to grow
	// from growStart to its usual size.
	slowStartTime  = 5 * time.Second
	slowStartInitial = 0.05

	// linkIdleTimeout is after which time without use a link is forgotten, and
	// forgetInterval how often that is looked for.
	linkIdleTimeout     = 10 * time.Minute
	evictInterval = time.Minute
)

// endpointKey names one target of one host.
type endpointKey struct{ host, target netip.AddrPort }

func keyOf(e mesh.Endpoint) (k endpointKey) {
	return endpointKey{host: e.Host, target: e.Target.Addr}
}

// linkState is what is known of the link to one target.
type linkState struct {
	mesh.Link

	incarnation mesh.Incarnation

	// lastSeen is when the target was last among the endpoints of a pick.
	lastSeen time.Time

	// slowStartAt is when the target appeared or came back.
	slowStartAt time.Time

	// loadAt is when Load was reported.
	loadAt time.Time

	// connectFailed is true when the last failure was a connection that could not
	// be opened.
	connectFailed bool

	// probeSentAt is when a call went out to probe the failed link, zero while
	// none is on its way.
	probeSentAt time.Time

	// levels holds the last level of each route, by the route's name: routes
	// differ in the services behind them.
	levels map[string]reportedLevel
}

type reportedLevel struct {
	class mesh.Class
	at    time.Time
}

// links holds the links of one node.
type links struct {
	states map[endpointKey]*linkState

	// lastPick is when a target of each service was last lastPick.
	lastPick    map[mesh.ServiceName]time.Time
	evictedAt time.Time
}

func newLinks() (l *links) {
	return &links{states: make(map[endpointKey]*linkState), lastPick: make(map[mesh.ServiceName]time.Time)}
}

// observe returns the link to an endpoint of a pick. A target that the pick
// before did not show, or that lives anew, starts with a small share.
func (l *links) observe(now, previous time.Time, e mesh.Endpoint) (s *linkState) {
	key := keyOf(e)
	s, found := l.states[key]
	if !found {
		s = &linkState{Link: mesh.Link{To: e.Host, Zone: e.Zone}, levels: make(map[string]reportedLevel)}
		l.states[key] = s
	}
	if found && s.incarnation != e.Target.Incarnation {
		// The failures belong to the earlier life of the target.
		s.Failures, s.RetryAt, s.probeSentAt = 0, time.Time{}, time.Time{}
	}
	if !found || !s.lastSeen.Equal(previous) || s.incarnation != e.Target.Incarnation {
		s.slowStartAt = now
	}
	s.lastSeen, s.incarnation, s.Zone = now, e.Target.Incarnation, e.Zone
	return s
}

// evictIdle drops links that are no longer used.
func (l *links) evictIdle(now time.Time) {
	if now.Sub(l.evictedAt) < evictInterval {
		return
	}
	l.evictedAt = now
	for k, s := range l.states {
		if now.Sub(s.lastSeen) > linkIdleTimeout {
			delete(l.states, k)
		}
	}
}

// usable reports whether the link takes calls, or one call as a probe.
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

// lastResort reports whether any call may probe a failed link for want of another
// one, and otherwise when it may. Where connections cannot be opened, a call that
// may not run twice loses nothing.
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
	seen, found := s.levels[route]
	if !found {
		return mesh.ClassLow
	}
	expired := now.Sub(seen.at) / levelTTL
	return mesh.Class(min(int64(mesh.ClassLow), int64(seen.class)+int64(expired)))
}

func (s *linkState) load(now time.Time) (load int) {
	halves := max(0, now.Sub(s.loadAt)) / loadHalfLife
	return s.Load >> min(halves, 62)
}

// weight returns the part of its usual share that the target gets.
func (s *linkState) weight(now time.Time) (part float64) {
	age := float64(now.Sub(s.slowStartAt)) / float64(slowStartTime)
	return min(1, slowStartInitial+(1-slowStartInitial)*age)
}

// record takes in how a call went.
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
		// The call was under way when the link failed, so it shows the same
		// failure once more.
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

// resetFailures ends the failures of a link, whose share then grows again.
func (s *linkState) resetFailures(now time.Time) {
	if s.Failures > 0 {
		s.slowStartAt = now
	}
	s.Failures, s.RetryAt = 0, time.Time{}
}

// linkFailed reports whether a refusal shows a failure of the link.
func linkFailed(c header.RefusalCode) bool {
	return c == header.TargetUnreachable || c == header.AnswerLost
}

// unavailable reports whether the target or its node said that it takes no new work.
func unavailable(c header.RefusalCode) bool {
	switch c {
	case header.NodeLeaving, header.TargetDraining, header.ZoneOut, header.NoTarget:
		return true
	default:
		return false
	}
}
