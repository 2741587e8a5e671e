package route

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// linkRetry is the wait after the first failure of a link; it doubles
	// with each further one up to maxLinkRetry.
	linkRetry    = 100 * time.Millisecond
	maxLinkRetry = 5 * time.Second

	// awayTime is how long a target is left alone that said it takes no new
	// work. The roster shows it within that time.
	awayTime = time.Second

	// probePatience is how much longer a failed link waits for a call that
	// can be sent again, should the probe fail, before any call probes it.
	probePatience = time.Second

	// probeLife is after which time a probe without a report counts as lost.
	probeLife = 5 * time.Second

	// levelLife is how long a level holds without news. After each further
	// one the next less important class is accepted again.
	levelLife = time.Second

	// loadHalfLife is how fast a load that was reported loses its weight. An
	// old high load would otherwise keep all calls away for good.
	loadHalfLife = time.Second

	// fullLoad is the load of a target that refused a call, in thousandths.
	fullLoad = 2000

	// growTime is how long the share of a target that returned takes to grow
	// from growStart to its usual size.
	growTime  = 5 * time.Second
	growStart = 0.05

	// forgetTime is after which time without use a link is forgotten, and
	// forgetInterval how often that is looked for.
	forgetTime     = 10 * time.Minute
	forgetInterval = time.Minute
)

// endpointKey names one target of one host.
type endpointKey struct{ host, target netip.AddrPort }

func keyOf(e mesh.Endpoint) (k endpointKey) {
	return endpointKey{host: e.Host, target: e.Target.Addr}
}

// state is what is known of the link to one target.
type state struct {
	mesh.Link

	incarnation mesh.Incarnation

	// seen is when the target was last among the endpoints of a pick.
	seen time.Time

	// since is when the target appeared or came back.
	since time.Time

	// loadAt is when Load was reported.
	loadAt time.Time

	// unreached is true when the last failure was a connection that could not
	// be opened.
	unreached bool

	// probeAt is when a call went out to probe the failed link, zero while
	// none is on its way.
	probeAt time.Time

	// levels holds the last level of each route, by the route's name: routes
	// differ in the services behind them.
	levels map[string]seenLevel
}

type seenLevel struct {
	class mesh.Class
	at    time.Time
}

// links holds the links of one node.
type links struct {
	states map[endpointKey]*state

	// picked is when a target of each service was last picked.
	picked    map[mesh.ServiceName]time.Time
	forgotten time.Time
}

func newLinks() (l *links) {
	return &links{states: make(map[endpointKey]*state), picked: make(map[mesh.ServiceName]time.Time)}
}

// meet returns the link to an endpoint of a pick. A target that the pick
// before did not show, or that lives anew, starts with a small share.
func (l *links) meet(now, before time.Time, e mesh.Endpoint) (s *state) {
	key := keyOf(e)
	s, found := l.states[key]
	if !found {
		s = &state{Link: mesh.Link{To: e.Host, Zone: e.Zone}, levels: make(map[string]seenLevel)}
		l.states[key] = s
	}
	if found && s.incarnation != e.Target.Incarnation {
		// The failures belong to the earlier life of the target.
		s.Failures, s.RetryAt, s.probeAt = 0, time.Time{}, time.Time{}
	}
	if !found || !s.seen.Equal(before) || s.incarnation != e.Target.Incarnation {
		s.since = now
	}
	s.seen, s.incarnation, s.Zone = now, e.Target.Incarnation, e.Zone
	return s
}

// forget drops links that are no longer used.
func (l *links) forget(now time.Time) {
	if now.Sub(l.forgotten) < forgetInterval {
		return
	}
	l.forgotten = now
	for k, s := range l.states {
		if now.Sub(s.seen) > forgetTime {
			delete(l.states, k)
		}
	}
}

// usable reports whether the link takes calls, or one call as a probe.
func (s *state) usable(now time.Time, call *mesh.Call) (usable, probe bool) {
	if s.Failures == 0 {
		return !now.Before(s.RetryAt), false
	}
	due := s.RetryAt
	if !call.Route.Idempotent || call.AttemptsLeft == 0 {
		due = due.Add(probePatience)
	}
	waits := !s.probeAt.IsZero() && now.Sub(s.probeAt) < probeLife
	return !waits && !now.Before(due), true
}

// lastResort reports whether any call may probe a failed link for want of another
// one, and otherwise when it may. Where connections cannot be opened, a call that
// may not run twice loses nothing.
func (s *state) lastResort(now time.Time) (allowed bool, after time.Duration) {
	waits := !s.probeAt.IsZero() && now.Sub(s.probeAt) < probeLife
	switch {
	case s.Failures == 0 || !s.unreached:
		return false, 0
	case waits:
		return false, linkRetry
	}
	return !now.Before(s.RetryAt), max(0, s.RetryAt.Sub(now))
}

// level returns the least important class that the target accepts on a route.
func (s *state) level(now time.Time, route string) (class mesh.Class) {
	seen, found := s.levels[route]
	if !found {
		return mesh.ClassLow
	}
	expired := now.Sub(seen.at) / levelLife
	return mesh.Class(min(int64(mesh.ClassLow), int64(seen.class)+int64(expired)))
}

func (s *state) load(now time.Time) (load int) {
	halves := max(0, now.Sub(s.loadAt)) / loadHalfLife
	return s.Load >> min(halves, 62)
}

// growth returns the part of its usual share that the target gets.
func (s *state) growth(now time.Time) (part float64) {
	age := float64(now.Sub(s.since)) / float64(growTime)
	return min(1, growStart+(1-growStart)*age)
}

// report takes in how a call went.
func (s *state) report(now time.Time, r mesh.LinkReport) {
	s.probeAt = time.Time{}
	switch {
	case r.Refusal == nil:
		s.levels[r.Call.Route.Name] = seenLevel{class: r.Level, at: now}
		s.Load, s.loadAt = r.Load, now
		s.reached(now)
	case r.Reached && r.Refusal.Code == header.AnswerLost:
		s.reached(now)
	case r.Reached && r.Refusal.Code == header.TargetUnreachable:
		s.reached(now)
		s.RetryAt = now.Add(awayTime)
	case lost(r.Refusal.Code) && s.Failures > 0 && now.Before(s.RetryAt):
		// The call was under way when the link failed, so it shows the same
		// failure once more.
	case lost(r.Refusal.Code):
		s.unreached = r.Refusal.Code == header.TargetUnreachable
		s.Failures++
		s.RetryAt = now.Add(min(maxLinkRetry, linkRetry<<min(s.Failures-1, 10)))
	case away(r.Refusal.Code):
		s.reached(now)
		s.RetryAt = now.Add(awayTime)
	case r.Refusal.Code == header.Overloaded:
		s.levels[r.Call.Route.Name] = seenLevel{class: r.Level, at: now}
		s.Load, s.loadAt = fullLoad, now
		s.reached(now)
	case r.Refusal.Code == header.NodeBusy:
		s.Load, s.loadAt = fullLoad, now
	}
}

// reached ends the failures of a link, whose share then grows again.
func (s *state) reached(now time.Time) {
	if s.Failures > 0 {
		s.since = now
	}
	s.Failures, s.RetryAt = 0, time.Time{}
}

// lost reports whether a refusal shows a failure of the link.
func lost(c header.RefusalCode) bool {
	return c == header.TargetUnreachable || c == header.AnswerLost
}

// away reports whether the target or its node said that it takes no new work.
func away(c header.RefusalCode) bool {
	switch c {
	case header.NodeLeaving, header.TargetDraining, header.ZoneOut, header.NoTarget:
		return true
	default:
		return false
	}
}
