// Package config decides which version of the settings and API keys is in force
// on a node. The version in force never decreases.
package config

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// Key is the state of one API key.
type Key struct {
	Organisation mesh.OrganisationName

	// Withdrawn is final: it is never reset to false.
	Withdrawn bool
}

// Snapshot holds all settings and keys at one version.
type Snapshot struct {
	// Version is at least 1 and unique to the snapshot.
	Version uint64

	// Nonce identifies the write that created the version. Concurrent writes of
	// the same version have different nonces; only one of them succeeds.
	Nonce string

	// Text is the source text of the settings tree, as written by the operator.
	Text []byte

	// Tree is the parsed and validated Text.
	Tree *tree.Tree

	Keys map[mesh.KeyHash]Key
}

// View is the version of settings and keys in force on a node. It is immutable.
type View struct {
	Version uint64
	Index   *tree.Index
	Keys    map[mesh.KeyHash]Key

	// Confirmed is the last time at which the version was known to be the newest
	// one in the platform's store.
	Confirmed time.Time
}

// Organisation returns the organisation that owns a key, or a refusal when the key
// is not accepted at now.
func (v *View) Organisation(now time.Time, hash mesh.KeyHash) (name mesh.OrganisationName, refusal *mesh.Refusal) {
	key, found := v.Keys[hash]
	switch {
	case !found:
		return "", mesh.NotRun(header.KeyUnknown, "the API key is unknown in settings version %d", v.Version)
	case key.Withdrawn:
		return "", mesh.NotRun(header.KeyWithdrawn, "the API key has been withdrawn")
	case now.Sub(v.Confirmed) > v.Index.Fleet.KeyGrace:
		return "", mesh.NotRun(header.KeyUnconfirmed, "API keys could not be confirmed with the platform for longer than the setting key-grace, %v", v.Index.Fleet.KeyGrace)
	default:
		return key.Organisation, nil
	}
}
