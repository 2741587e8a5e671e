// Package roster maintains the membership table: all hosts, their targets and their states.
//
// Every host runs a failure detector for some hosts of its zone, pushes changed rows to
// random peers (gossip), and compares digests with random peers (anti-entropy). Rows of one
// host are ordered by incarnation, revision and state, and a merge keeps the highest, so
// tables converge regardless of the order of messages.
package roster

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// tickInterval is the interval of heartbeats and of table comparisons.
	tickInterval = time.Second

	// suspectTimeout is the silence after which a host is suspect, and the gap
	// between two steps after which this host assumes that others suspect it.
	suspectTimeout = 3 * time.Second
)

// State is the membership table of this host with its timers. It is not safe for concurrent
// use; readers use its views.
type State struct {
	self   netip.AddrPort
	random *rand.Rand
	seeds  []netip.AddrPort

	// view is the last published view and is immutable.
	view *View

	// draft is the modified copy of view during a step; nil without changes.
	draft *View

	// endpointsCopied is true when the draft has its own copy of the endpoints map.
	endpointsCopied bool

	// actions collects the actions of the current step.
	actions []Action

	// lastStep is the time of the last step.
	lastStep time.Time

	// tickAt is the time of the next tick.
	tickAt time.Time

	lastAnnounced announceTimes
	detector      failureDetector
	pushes        pushQueue
	join          join
	removals      removals
}

// Option configures a state in New.
type Option func(*State)

// WithSeeds sets hosts to join through, in addition to those registered on the platform.
func WithSeeds(seeds ...netip.AddrPort) Option {
	return func(s *State) { s.seeds = seeds }
}

// New returns the state of a host that starts. Its table contains only the host itself.
func New(now time.Time, self mesh.Host, random *rand.Rand, options ...Option) (s *State) {
	s = &State{
		self:          self.Addr,
		random:        random,
		view:          &View{self: self.Addr, endpoints: make(map[mesh.ServiceName][]mesh.Endpoint)},
		lastStep:      now,
		tickAt:        now,
		lastAnnounced: make(announceTimes),
		detector:      newFailureDetector(self.Zone, now),
		removals:      newRemovals(),
	}
	for _, o := range options {
		o(s)
	}
	s.seeds = slices.DeleteFunc(slices.Clone(s.seeds), func(a netip.AddrPort) bool { return a == s.self })
	s.put(Row{Host: self})
	s.pushes.add(self.Addr)
	s.finish()
	return s
}

// Step handles one event and returns the actions to carry out.
func (s *State) Step(now time.Time, event mesh.Event) (actions []Action) {
	s.handlePause(now)
	s.lastStep = now
	switch e := event.(type) {
	case TimerExpired:
		s.tick(now)
	case Announced:
		s.announced(now, e.Target)
	case MessageReceived:
		s.messageReceived(now, e.From)
	case PushReceived:
		s.pushReceived(now, e)
	case ConflictReceived:
		s.merge(now, e.Row)
	case UnknownToPeer:
		s.pushSelf(e.Peer)
	case Compared:
		s.compared(now, e)
	case Discovered:
		s.discovered(now, e)
	case Registered:
		s.registered(now, e.Success)
	case Leaving:
		s.setState(now, mesh.HostDraining)
	case Left:
		s.leave(now)
	}
	s.flush(now)
	return s.finish()
}

// finish publishes the view if it changed and returns the actions of the step.
func (s *State) finish() (actions []Action) {
	if s.draft != nil {
		s.view, s.draft, s.endpointsCopied = s.draft, nil, false
		s.actions = slices.Insert(s.actions, 0, Action(Publish{View: s.view}))
	}
	actions, s.actions = s.actions, nil
	return actions
}

// Next returns the time at which the owner must pass a TimerExpired event.
func (s *State) Next() (at time.Time) {
	if s.pushes.hasPending() && s.current().PeerCount() > 0 && s.pushes.nextAt.Before(s.tickAt) {
		return s.pushes.nextAt
	}
	return s.tickAt
}

// View returns the last published view.
func (s *State) View() (v *View) { return s.view }

// Self returns this host's row.
func (s *State) Self() (self mesh.Host) {
	r, _ := s.current().row(s.self)
	return r.Host
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// current returns the view including the changes of the current step.
func (s *State) current() (v *View) {
	if s.draft != nil {
		return s.draft
	}
	return s.view
}

// mutableView returns the view to modify during the current step. It copies only the bucket
// headers; set replaces the rows of the buckets that change.
func (s *State) mutableView() (v *View) {
	if s.draft == nil {
		s.draft = new(View)
		*s.draft = *s.view
	}
	return s.draft
}

// put inserts r, or replaces the row of its host.
func (s *State) put(r Row) {
	v := s.mutableView()
	old, _ := v.row(r.Host.Addr)
	v.set(r.Host.Addr, &r)
	s.setEndpoints(endpointsOf(old), endpointsOf(&r))
	s.detector.addToRing(r.Host)
	s.removals.track(r)
}

// drop removes the row of a host from the table.
func (s *State) drop(r Row) {
	v := s.mutableView()
	v.set(r.Host.Addr, nil)
	s.setEndpoints(endpointsOf(&r), nil)
	s.detector.removeFromRing(r.Host)
}

// setEndpoints replaces the endpoints of one host in the lists of their services.
func (s *State) setEndpoints(before, after []mesh.Endpoint) {
	if slices.Equal(before, after) {
		return
	}
	v := s.mutableView()
	if !s.endpointsCopied {
		v.endpoints = maps.Clone(v.endpoints)
		s.endpointsCopied = true
	}
	v.setEndpoints(before, after)
}

// setSelf changes this host's own row and pushes it without delay.
func (s *State) setSelf(now time.Time, self mesh.Host) {
	self.Revision++
	r := Row{Host: self}
	if !r.up() {
		r.DownSince = now
	}
	s.put(r)
	s.pushes.addFirst(s.self)
}

// setState changes this host's state to one of higher precedence.
func (s *State) setState(now time.Time, state mesh.HostState) {
	self := s.Self()
	if self.State >= state {
		return
	}
	self.State = state
	s.setSelf(now, self)
}

// handlePause raises the incarnation when the time since the last step is so long that
// others must have declared this host suspect.
func (s *State) handlePause(now time.Time) {
	if now.Sub(s.lastStep) <= suspectTimeout {
		return
	}
	s.detector.resetTimers(now)
	self := s.Self()
	if self.State == mesh.HostLeft {
		return
	}
	self.Incarnation++
	s.setSelf(now, self)
}

func (s *State) tick(now time.Time) {
	if now.Before(s.tickAt) {
		return
	}
	s.tickAt = now.Add(tickInterval)
	s.expireRows(now)
	if s.Self().State == mesh.HostLeft {
		return
	}
	s.expireTargets(now)
	s.detectFailures(now)
	s.sendHeartbeats()
	s.compareTables()
	s.discover(now)
	s.register(now)
}

// leave marks this host as left and deregisters it.
func (s *State) leave(now time.Time) {
	s.setState(now, mesh.HostLeft)
	s.emit(Deregister{Host: s.Self()})
}

// stale reports whether a message was sent by an older incarnation of a host than the
// known one.
func (s *State) stale(from Sender) (stale bool) {
	r, found := s.current().row(from.Host)
	return found && r.Host.Incarnation > from.Incarnation
}

func (s *State) pushReceived(now time.Time, e PushReceived) {
	if s.stale(e.From) {
		return
	}
	s.messageReceived(now, e.From)
	for _, r := range e.Rows {
		if s.merge(now, r) {
			s.pushes.add(r.Host.Addr)
		}
	}
}

// merge puts a row into the table when it is newer than the known one.
func (s *State) merge(now time.Time, r Row) (changed bool) {
	if r.Host.Addr == s.self {
		s.refute(now, r.Host)
		return false
	}
	if s.shouldReject(now, r) {
		return false
	}
	old, found := s.current().row(r.Host.Addr)
	if found && !newer(r.Host, old.Host) {
		return false
	}
	s.put(r)
	return true
}

// refute raises the incarnation when a peer's row of this host overrides its own row: the
// peer suspects this host or knows a later incarnation of it.
func (s *State) refute(now time.Time, remote mesh.Host) {
	self := s.Self()
	if self.State == mesh.HostLeft || !newer(remote, self) {
		return
	}
	self.Incarnation = remote.Incarnation + 1
	s.setSelf(now, self)
}
