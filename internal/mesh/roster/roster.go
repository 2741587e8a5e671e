// Package roster decides which hosts and targets exist and in which state.
//
// Rows of one host are ordered by incarnation, revision and state, and merging
// keeps the highest, so tables that exchange enough become equal in whatever
// order messages arrive.
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
	// tickInterval is the time between heartbeats and between comparisons.
	tickInterval = time.Second

	// suspectTime is the silence after which a host is suspect, and the gap
	// between two steps after which this host takes itself for suspect.
	suspectTime = 3 * time.Second
)

// State is the owner's record of all hosts.
type State struct {
	self   netip.AddrPort
	random *rand.Rand
	seeds  []netip.AddrPort

	// view is the last published view and is never changed.
	view *View

	// draft is the changed copy of view during a step, or nil.
	draft *View

	// ownEndpoints says that the draft no longer shares its map of targets.
	ownEndpoints bool

	// actions collects what the running step decides.
	actions []Action

	// lastStep is when the last step ran.
	lastStep time.Time

	// tickAt is when the next heartbeats are due.
	tickAt time.Time

	targets  targetTimes
	watch    watch
	spread   spread
	join     join
	removals removals
}

// Option changes a state as it is made.
type Option func(*State)

// WithSeeds names hosts to join from besides those of the platform.
func WithSeeds(seeds ...netip.AddrPort) Option {
	return func(s *State) { s.seeds = seeds }
}

// New returns the roster of a host that starts.
func New(now time.Time, self mesh.Host, random *rand.Rand, options ...Option) (s *State) {
	s = &State{
		self:     self.Addr,
		random:   random,
		view:     &View{self: self.Addr, endpoints: make(map[mesh.ServiceName][]mesh.Endpoint)},
		lastStep: now,
		tickAt:   now,
		targets:  make(targetTimes),
		watch:    newWatch(self.Zone, now),
		removals: newRemovals(),
	}
	for _, o := range options {
		o(s)
	}
	s.seeds = slices.DeleteFunc(slices.Clone(s.seeds), func(a netip.AddrPort) bool { return a == s.self })
	s.put(Row{Host: self})
	s.spread.add(self.Addr)
	s.finish()
	return s
}

// Step takes in one event and returns what has to be done.
func (s *State) Step(now time.Time, event mesh.Event) (actions []Action) {
	s.notePause(now)
	s.lastStep = now
	switch e := event.(type) {
	case Elapsed:
		s.elapsed(now)
	case Announced:
		s.announced(now, e.Target)
	case MessageReceived:
		s.heard(now, e.From)
	case PushReceived:
		s.merged(now, e)
	case ConflictReceived:
		s.merge(now, e.Row)
	case UnknownToPeer:
		s.introduce(e.By)
	case Compared:
		s.compared(now, e)
	case Discovered:
		s.found(now, e)
	case Registered:
		s.recorded(now, e.Success)
	case Leaving:
		s.setState(now, mesh.HostDraining)
	case Left:
		s.leave(now)
	}
	s.flush(now)
	return s.finish()
}

// finish publishes the view when it changed and hands out the actions.
func (s *State) finish() (actions []Action) {
	if s.draft != nil {
		s.view, s.draft, s.ownEndpoints = s.draft, nil, false
		s.actions = slices.Insert(s.actions, 0, Action(Publish{View: s.view}))
	}
	actions, s.actions = s.actions, nil
	return actions
}

// Next returns when the state wants an Elapsed event.
func (s *State) Next() (at time.Time) {
	if s.spread.waits() && s.current().PeerCount() > 0 && s.spread.nextAt.Before(s.tickAt) {
		return s.spread.nextAt
	}
	return s.tickAt
}

// View returns the roster as it stands.
func (s *State) View() (v *View) { return s.view }

// Self returns this host's row.
func (s *State) Self() (self mesh.Host) {
	r, _ := s.current().row(s.self)
	return r.Host
}

func (s *State) do(a Action) { s.actions = append(s.actions, a) }

// current returns the view with the changes of the running step.
func (s *State) current() (v *View) {
	if s.draft != nil {
		return s.draft
	}
	return s.view
}

// change returns the view for changes. It copies the headers of the buckets
// only; set replaces the buckets that change.
func (s *State) change() (v *View) {
	if s.draft == nil {
		s.draft = new(View)
		*s.draft = *s.view
	}
	return s.draft
}

// put makes r the row of its host.
func (s *State) put(r Row) {
	v := s.change()
	old, _ := v.row(r.Host.Addr)
	v.set(r.Host.Addr, &r)
	s.setEndpoints(endpointsOf(old), endpointsOf(&r))
	s.watch.place(r.Host)
	s.removals.note(r)
}

// drop takes the row of a host out of the table.
func (s *State) drop(r Row) {
	v := s.change()
	v.set(r.Host.Addr, nil)
	s.setEndpoints(endpointsOf(&r), nil)
	s.watch.displace(r.Host)
}

// setEndpoints brings the lists of targets from those of one row of a host to
// those of another.
func (s *State) setEndpoints(before, after []mesh.Endpoint) {
	if slices.Equal(before, after) {
		return
	}
	v := s.change()
	if !s.ownEndpoints {
		v.endpoints = maps.Clone(v.endpoints)
		s.ownEndpoints = true
	}
	v.setEndpoints(before, after)
}

// setSelf makes a change of this host's own row and pushes it at once.
func (s *State) setSelf(now time.Time, self mesh.Host) {
	self.Revision++
	r := Row{Host: self}
	if !r.up() {
		r.DownSince = now
	}
	s.put(r)
	s.spread.addFirst(s.self)
}

// setState moves this host on to a later state.
func (s *State) setState(now time.Time, state mesh.HostState) {
	self := s.Self()
	if self.State >= state {
		return
	}
	self.State = state
	s.setSelf(now, self)
}

// notePause takes a higher incarnation when so much time has passed since the
// last step that others must have taken this host for suspect.
func (s *State) notePause(now time.Time) {
	if now.Sub(s.lastStep) <= suspectTime {
		return
	}
	s.watch.restart(now)
	self := s.Self()
	if self.State == mesh.HostLeft {
		return
	}
	self.Incarnation++
	s.setSelf(now, self)
}

func (s *State) elapsed(now time.Time) {
	if now.Before(s.tickAt) {
		return
	}
	s.tickAt = now.Add(tickInterval)
	s.expireRows(now)
	if s.Self().State == mesh.HostLeft {
		return
	}
	s.expireTargets(now)
	s.judge(now)
	s.beat()
	s.gossip()
	s.seek(now)
	s.record(now)
}

// leave ends this host's part in the fleet.
func (s *State) leave(now time.Time) {
	s.setState(now, mesh.HostLeft)
	s.do(Deregister{Host: s.Self()})
}

// stale reports whether a message comes from a life of a host that a later one
// has replaced.
func (s *State) stale(from Sender) (stale bool) {
	r, found := s.current().row(from.Host)
	return found && r.Host.Incarnation > from.Incarnation
}

func (s *State) merged(now time.Time, e PushReceived) {
	if s.stale(e.From) {
		return
	}
	s.heard(now, e.From)
	for _, r := range e.Rows {
		if s.merge(now, r) {
			s.spread.add(r.Host.Addr)
		}
	}
}

// merge takes in a row when it is newer than the known one.
func (s *State) merge(now time.Time, r Row) (changed bool) {
	if r.Host.Addr == s.self {
		s.refute(now, r.Host)
		return false
	}
	if s.rejects(now, r) {
		return false
	}
	old, found := s.current().row(r.Host.Addr)
	if found && !newer(r.Host, old.Host) {
		return false
	}
	s.put(r)
	return true
}

// refute takes a higher incarnation when others hold this host for suspect or
// know a later life of it than this one.
func (s *State) refute(now time.Time, seen mesh.Host) {
	self := s.Self()
	if self.State == mesh.HostLeft || !newer(seen, self) {
		return
	}
	self.Incarnation = seen.Incarnation + 1
	s.setSelf(now, self)
}
