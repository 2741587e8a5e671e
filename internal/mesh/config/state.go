package config

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
)

const (
	// fetchTimeout is the time after which a version may be fetched again, from any
	// source. A fetch may be lost without a FetchFailed event.
	fetchTimeout = 3 * time.Second

	// unusableRetryDelay is the time before a version that could not be read is
	// fetched again. A node of an older release may not support a setting in it,
	// and one snapshot per second would exceed the budget for control traffic.
	unusableRetryDelay = time.Minute

	// startTimeout is how long a starting node waits for a newer version while the
	// platform has not reported the newest one. Without the wait, a node that restarts
	// during an outage would serve the version of the first peer that answers, which
	// may be older than the version it served before the restart.
	startTimeout = 3 * time.Second
)

// State is the state machine that decides which version is in force. It does no
// I/O: Step takes events and returns the actions to perform.
type State struct {
	zone mesh.ZoneName

	// snapshot is the newest loaded snapshot. Its version never decreases.
	snapshot *Snapshot

	// confirmed is the last time at which snapshot was known to be the newest version.
	confirmed time.Time

	// view is nil until a version is in force; from then on it matches snapshot.
	view *View

	// indexedTree is the tree from which view.Index was built. The index is reused
	// when only keys change.
	indexedTree *tree.Tree

	// started is the time of the first event.
	started time.Time

	// head is the newest version reported by the platform, or 0 when none was; newest
	// is the newest version reported by the platform or a peer.
	head, newest uint64

	// fetching is the version being fetched, or 0. No other fetch of this or an older
	// version starts before fetchUntil.
	fetching   uint64
	fetchUntil time.Time

	// fullFetch is true after a change that did not apply; the next fetch then
	// requests the full snapshot.
	fullFetch bool
}

// New returns the state of a node that has not loaded a version.
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

// Newest returns the newest known version, loaded or not.
func (s *State) Newest() (version uint64) { return max(s.newest, s.Version()) }

// VersionSeen reports a version and a source to fetch it from.
type VersionSeen struct {
	Version uint64

	// Confirmed is the time at which the version was known to be the newest one in
	// the platform's store, on this host's clock. Zero means unknown. It must not be
	// later than the true time: otherwise the age of a confirmation would shrink each
	// time it is passed from peer to peer.
	Confirmed time.Time

	// From is the peer that has the version; invalid means the platform.
	From netip.AddrPort
}

// EventName implements mesh.Event.
func (VersionSeen) EventName() string { return "heard" }

// Loaded contains a fetched snapshot.
type Loaded struct {
	Snapshot *Snapshot

	// Confirmed has the same meaning as in VersionSeen.
	Confirmed time.Time
}

// EventName implements mesh.Event.
func (Loaded) EventName() string { return "loaded" }

// FetchFailed reports that the last fetch failed.
type FetchFailed struct {
	// Mismatch is true when the received changes did not apply.
	Mismatch bool

	// Unusable is true when the received data could not be read.
	Unusable bool
}

// EventName implements mesh.Event.
func (FetchFailed) EventName() string { return "fetch-failed" }

// Tick makes the state check its timeouts.
type Tick struct{}

// EventName implements mesh.Event.
func (Tick) EventName() string { return "tick" }

// Action is an action that the caller of Step has to perform.
type Action interface{ action() }

// Fetch requests a version from a source.
type Fetch struct {
	Version uint64

	// Base is the version that changes have to apply to; 0 requests the full snapshot.
	Base uint64

	// From is the peer to fetch from; invalid means the platform.
	From netip.AddrPort
}

// Publish puts a view in force.
type Publish struct{ View *View }

func (Fetch) action()   {}
func (Publish) action() {}

// Step processes one event.
func (s *State) Step(now time.Time, event mesh.Event) (actions []Action) {
	if s.started.IsZero() {
		s.started = now
	}
	switch e := event.(type) {
	case VersionSeen:
		return s.versionSeen(now, e)
	case Loaded:
		return s.snapshotLoaded(now, e)
	case FetchFailed:
		s.fetchFailed(now, e)
	case Tick:
		return s.publishFirst(now)
	}
	return nil
}

func (s *State) versionSeen(now time.Time, e VersionSeen) (actions []Action) {
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
	if s.fullFetch {
		f.Base = 0
	}
	return []Action{f}
}

func (s *State) fetchFailed(now time.Time, e FetchFailed) {
	s.fullFetch = s.fullFetch || e.Mismatch
	if e.Unusable {
		s.fetchUntil = now.Add(unusableRetryDelay)
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
	return s.publishFirst(now)
}

func (s *State) snapshotLoaded(now time.Time, e Loaded) (actions []Action) {
	s.fetching = 0
	switch {
	case e.Snapshot.Version < s.Version():
		return nil
	case e.Snapshot.Version == s.Version():
		return s.confirm(now, e.Confirmed)
	}
	s.snapshot, s.confirmed, s.fullFetch = e.Snapshot, e.Confirmed, false
	if s.view != nil {
		return s.publish()
	}
	return s.publishFirst(now)
}

// publishFirst puts the first version in force once it is known to be the newest
// or startTimeout has passed.
func (s *State) publishFirst(now time.Time) (actions []Action) {
	if s.view != nil || s.snapshot == nil {
		return nil
	}
	newest := s.head > 0 && s.Version() >= s.head
	if !newest && now.Sub(s.started) < startTimeout {
		return nil
	}
	return s.publish()
}

func (s *State) publish() (actions []Action) {
	v := &View{Version: s.snapshot.Version, Keys: s.snapshot.Keys, Confirmed: s.confirmed}
	if s.view != nil && s.indexedTree == s.snapshot.Tree {
		v.Index = s.view.Index
	} else {
		v.Index, s.indexedTree = s.snapshot.Tree.Index(s.zone), s.snapshot.Tree
	}
	s.view = v
	return []Action{Publish{View: v}}
}
