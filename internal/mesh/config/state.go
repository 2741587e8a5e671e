package config

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
)

const (
	// fetchTimeout is how long a fetch may take before the version is
	// fetched from someone else. A fetch may be lost without a trace.
	fetchTimeout = 3 * time.Second

	// unusableWait is how long a version that could not be used is not
	// fetched again. A node of an older release may not know a setting in
	// it, and a snapshot a second would exceed what control may cost.
	unusableWait = time.Minute

	// startWait is how long a node that starts looks for the newest version
	// when the platform does not name it. A node that is restarted in an
	// outage would otherwise serve the version of the first peer that
	// answers, which may be older than what its last life served.
	startWait = 3 * time.Second
)

// State is the owner's record of what is in force.
type State struct {
	zone mesh.ZoneName

	// snapshot is the newest one that was loaded; its version only rises.
	snapshot *Snapshot

	// confirmed is when snapshot was last known to be the newest version.
	confirmed time.Time

	// view is nil until the node may serve, and belongs to snapshot after.
	view *View

	// indexed is the tree that the index of view was made from, so that a
	// change of keys does not make it anew.
	indexed *tree.Tree

	// started is the time of the first event.
	started time.Time

	// head is the newest version that the platform named, or 0; newest is
	// the newest one that anybody named.
	head, newest uint64

	// fetching is the version that is on its way until fetchUntil, or 0.
	fetching   uint64
	fetchUntil time.Time

	// whole is true after a change that did not fit.
	whole bool
}

// New returns the state of a node that has no version yet.
func New(zone mesh.ZoneName) (s *State) { return &State{zone: zone} }

// Snapshot returns the newest snapshot, or nil.
func (s *State) Snapshot() (snapshot *Snapshot) { return s.snapshot }

// Version returns the newest version that was loaded, or 0.
func (s *State) Version() (version uint64) {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Version
}

// Newest returns the newest version that the state knows of.
func (s *State) Newest() (version uint64) { return max(s.newest, s.Version()) }

// VersionSeen says that a version exists and who has it.
type VersionSeen struct {
	Version uint64

	// Confirmed is when the version was known to be the newest one at the
	// platform, by the clock of this host. Zero says nothing. It must not be
	// later than the truth, or ages would shrink as they are passed on.
	Confirmed time.Time

	// From is a peer; invalid means the platform.
	From netip.AddrPort
}

// EventName implements mesh.Event.
func (VersionSeen) EventName() string { return "heard" }

// Loaded brings a snapshot that was fetched.
type Loaded struct {
	Snapshot *Snapshot

	// Confirmed is as in Heard.
	Confirmed time.Time
}

// EventName implements mesh.Event.
func (Loaded) EventName() string { return "loaded" }

// FetchFailed says that the last fetch brought nothing.
type FetchFailed struct {
	// Mismatch is true when changes came that do not fit.
	Mismatch bool

	// Unusable is true when what came could not be read.
	Unusable bool
}

// EventName implements mesh.Event.
func (FetchFailed) EventName() string { return "fetch-failed" }

// Tick says that time has passed.
type Tick struct{}

// EventName implements mesh.Event.
func (Tick) EventName() string { return "tick" }

// Action is something for the owner of the state to do.
type Action interface{ action() }

// Fetch asks the one who has a version for what leads to it.
type Fetch struct {
	Version uint64

	// Base is the version to start from; 0 asks for the whole snapshot.
	Base uint64

	From netip.AddrPort
}

// Publish puts a view in force.
type Publish struct{ View *View }

func (Fetch) action()   {}
func (Publish) action() {}

// Step takes in one event.
func (s *State) Step(now time.Time, event mesh.Event) (actions []Action) {
	if s.started.IsZero() {
		s.started = now
	}
	switch e := event.(type) {
	case VersionSeen:
		return s.heard(now, e)
	case Loaded:
		return s.loaded(now, e)
	case FetchFailed:
		s.failed(now, e)
	case Tick:
		return s.release(now)
	}
	return nil
}

func (s *State) heard(now time.Time, e VersionSeen) (actions []Action) {
	s.newest = max(s.newest, e.Version)
	if !e.From.IsValid() {
		s.head = max(s.head, e.Version)
	}
	switch {
	case e.Version > s.Version():
		return s.fetch(now, e)
	case e.Version == s.Version() && s.snapshot != nil:
		return s.confirm(now, e.Confirmed)
	}
	return nil
}

func (s *State) fetch(now time.Time, e VersionSeen) (actions []Action) {
	if e.Version <= s.fetching && now.Before(s.fetchUntil) {
		return nil
	}
	s.fetching, s.fetchUntil = e.Version, now.Add(fetchTimeout)
	f := Fetch{Version: e.Version, Base: s.Version(), From: e.From}
	if s.whole {
		f.Base = 0
	}
	return []Action{f}
}

func (s *State) failed(now time.Time, e FetchFailed) {
	s.whole = s.whole || e.Mismatch
	if e.Unusable {
		s.fetchUntil = now.Add(unusableWait)
		return
	}
	s.fetching = 0
}

func (s *State) confirm(now, at time.Time) (actions []Action) {
	if at.After(s.confirmed) {
		s.confirmed = at
		if s.view != nil {
			return s.publish()
		}
	}
	return s.release(now)
}

func (s *State) loaded(now time.Time, e Loaded) (actions []Action) {
	s.fetching = 0
	switch {
	case e.Snapshot.Version < s.Version():
		return nil
	case e.Snapshot.Version == s.Version():
		return s.confirm(now, e.Confirmed)
	}
	s.snapshot, s.confirmed, s.whole = e.Snapshot, e.Confirmed, false
	if s.view != nil {
		return s.publish()
	}
	return s.release(now)
}

// release puts the first version in force, once it is known to be the newest
// one or the wait for a newer one is over.
func (s *State) release(now time.Time) (actions []Action) {
	if s.view != nil || s.snapshot == nil {
		return nil
	}
	newest := s.head > 0 && s.Version() >= s.head
	if !newest && now.Sub(s.started) < startWait {
		return nil
	}
	return s.publish()
}

func (s *State) publish() (actions []Action) {
	v := &View{Version: s.snapshot.Version, Keys: s.snapshot.Keys, Confirmed: s.confirmed}
	if s.view != nil && s.indexed == s.snapshot.Tree {
		v.Index = s.view.Index
	} else {
		v.Index, s.indexed = s.snapshot.Tree.Index(s.zone), s.snapshot.Tree
	}
	s.view = v
	return []Action{Publish{View: v}}
}
