// Package config decides which version of settings and keys is in force on a
// node. Versions only rise.
package config

import (
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
