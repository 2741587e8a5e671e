// Package config decides which version of settings and keys is in force on a
// node. Versions only rise.
package config

import (
	"net/netip"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// Key is what the fleet knows of one key.
type Key struct {
	Organisation mesh.OrganisationName

	// Withdrawn never goes back to false.
	Withdrawn bool
}

// Snapshot is all settings and keys at one version.
type Snapshot struct {
	// Version is at least 1 and never given to two different snapshots.
	Version uint64

	// Nonce tells the writer of a version from one that lost the race to it.
	Nonce string

	// Text is the settings tree as its operator wrote it.
	Text []byte

	// Tree is the parsed Text and has passed its checks.
	Tree *tree.Tree

	Keys map[mesh.KeyHash]Key
}

// View is what is in force on a node. It is immutable.
type View struct {
	Version uint64
	Index   *tree.Index
	Keys    map[mesh.KeyHash]Key

	// Confirmed is when the version was last known to be the newest one at
	// the platform.
	Confirmed time.Time
}

// Organisation returns the owner of a key that may be used at now.
func (v *View) Organisation(now time.Time, hash mesh.KeyHash) (name mesh.OrganisationName, refusal *mesh.Refusal) {
	key, found := v.Keys[hash]
	switch {
	case !found:
		return "", mesh.NotRun(header.KeyUnknown, "the key is not known in settings version %d", v.Version)
	case key.Withdrawn:
		return "", mesh.NotRun(header.KeyWithdrawn, "the key has been withdrawn")
	case now.Sub(v.Confirmed) > v.Index.Fleet.KeyGrace:
		return "", mesh.NotRun(header.KeyUnconfirmed, "keys could not be confirmed at the platform for longer than the setting key-grace, %v", v.Index.Fleet.KeyGrace)
	default:
		return key.Organisation, nil
	}
}

// State is the owner's record of what is in force.
type State struct {
	zone     mesh.ZoneName
	snapshot *Snapshot
	view     *View

	// fetching is the version that is on its way, or 0.
	fetching uint64
}

// New returns the state of a node that has no version yet.
func New(zone mesh.ZoneName) (s *State) { return &State{zone: zone} }

// Snapshot returns the snapshot in force, or nil.
func (s *State) Snapshot() (snapshot *Snapshot) { return s.snapshot }

// Version returns the version in force, or 0.
func (s *State) Version() (version uint64) {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Version
}

// Heard says that a version exists, how old its confirmation at the platform
// is, and who has it. An invalid From means the platform.
type Heard struct {
	Version uint64
	Age     time.Duration
	From    netip.AddrPort
}

// EventName implements mesh.Event.
func (Heard) EventName() string { return "heard" }

// Loaded brings a snapshot that was fetched.
type Loaded struct{ Snapshot *Snapshot }

// EventName implements mesh.Event.
func (Loaded) EventName() string { return "loaded" }

// FetchFailed says that the last fetch brought nothing.
type FetchFailed struct{}

// EventName implements mesh.Event.
func (FetchFailed) EventName() string { return "fetch-failed" }

// Action is something for the owner of the state to do.
type Action interface{ action() }

// Fetch asks for the snapshot of a version from the one who has it.
type Fetch struct {
	Version uint64
	From    netip.AddrPort
}

// Publish puts a view in force.
type Publish struct{ View *View }

func (Fetch) action()   {}
func (Publish) action() {}

// Step takes in one event.
func (s *State) Step(now time.Time, event mesh.Event) (actions []Action) {
	switch e := event.(type) {
	case Heard:
		return s.heard(now, e)
	case Loaded:
		return s.loaded(now, e.Snapshot)
	case FetchFailed:
		s.fetching = 0
	}
	return nil
}

func (s *State) heard(now time.Time, e Heard) (actions []Action) {
	switch {
	case e.Version > s.Version() && e.Version > s.fetching:
		s.fetching = e.Version
		return []Action{Fetch{Version: e.Version, From: e.From}}
	case e.Version == s.Version() && s.view != nil:
		return s.confirm(now.Add(-e.Age))
	}
	return nil
}

func (s *State) confirm(at time.Time) (actions []Action) {
	if !at.After(s.view.Confirmed) {
		return nil
	}
	renewed := *s.view
	renewed.Confirmed = at
	s.view = &renewed
	return []Action{Publish{View: s.view}}
}

func (s *State) loaded(now time.Time, snapshot *Snapshot) (actions []Action) {
	s.fetching = 0
	if snapshot.Version <= s.Version() {
		return nil
	}
	s.snapshot = snapshot
	s.view = &View{
		Version:   snapshot.Version,
		Index:     snapshot.Tree.Index(s.zone),
		Keys:      snapshot.Keys,
		Confirmed: now,
	}
	return []Action{Publish{View: s.view}}
}
