package config

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// ErrMismatch means that a change does not apply to the snapshot, so that the
// full snapshot has to be fetched.
var ErrMismatch = errors.New("change does not apply to the version in force")

// Change is the delta from one version to the next.
type Change struct {
	// Version is the new version, one above the version that the change applies to.
	Version uint64

	Nonce string

	// Tree is nil when the settings tree is unchanged.
	Tree *TreeEdit

	// Keys holds the added and withdrawn keys.
	Keys map[mesh.KeyHash]Key
}

// TreeEdit replaces the text between a common prefix and a common suffix. Most
// changes affect a single place in a tree of a few hundred kilobytes.
type TreeEdit struct {
	// PrefixLength and SuffixLength are the numbers of bytes kept from the start
	// and the end of the old text. They never overlap.
	PrefixLength, SuffixLength int

	Insert []byte

	// Sum is the SHA-256 hash of the new text.
	Sum [sha256.Size]byte
}

// Diff returns the change between two consecutive snapshots.
func Diff(from, to *Snapshot) (c Change) {
	c = Change{Version: to.Version, Nonce: to.Nonce, Keys: make(map[mesh.KeyHash]Key)}
	if !bytes.Equal(from.Text, to.Text) {
		c.Tree = edit(from.Text, to.Text)
	}
	for hash, key := range to.Keys {
		if old, found := from.Keys[hash]; !found || old != key {
			c.Keys[hash] = key
		}
	}
	return c
}

func edit(from, to []byte) (e *TreeEdit) {
	e = &TreeEdit{Sum: sha256.Sum256(to)}
	shorter := min(len(from), len(to))
	for e.PrefixLength < shorter && from[e.PrefixLength] == to[e.PrefixLength] {
		e.PrefixLength++
	}
	for e.SuffixLength < shorter-e.PrefixLength && from[len(from)-1-e.SuffixLength] == to[len(to)-1-e.SuffixLength] {
		e.SuffixLength++
	}
	e.Insert = to[e.PrefixLength : len(to)-e.SuffixLength]
	return e
}

// Apply returns the snapshot that results from a change, or ErrMismatch. Its Tree
// is nil when the text changed and must be parsed.
func (s *Snapshot) Apply(c Change) (next *Snapshot, err error) {
	if c.Version != s.Version+1 {
		return nil, fmt.Errorf("change to version %d on version %d: %w", c.Version, s.Version, ErrMismatch)
	}
	next = &Snapshot{Version: c.Version, Nonce: c.Nonce, Text: s.Text, Tree: s.Tree, Keys: maps.Clone(s.Keys)}
	if next.Keys == nil {
		next.Keys = make(map[mesh.KeyHash]Key)
	}
	for hash, key := range c.Keys {
		key.Withdrawn = key.Withdrawn || s.Keys[hash].Withdrawn
		next.Keys[hash] = key
	}
	if c.Tree == nil {
		return next, nil
	}
	next.Tree = nil
	next.Text, err = c.Tree.apply(s.Text)
	return next, err
}

func (e *TreeEdit) apply(text []byte) (edited []byte, err error) {
	if e.PrefixLength < 0 || e.SuffixLength < 0 || e.PrefixLength+e.SuffixLength > len(text) {
		return nil, fmt.Errorf("prefix and suffix exceed the text of %d bytes: %w", len(text), ErrMismatch)
	}
	edited = append(edited, text[:e.PrefixLength]...)
	edited = append(edited, e.Insert...)
	edited = append(edited, text[len(text)-e.SuffixLength:]...)
	if sha256.Sum256(edited) != e.Sum {
		return nil, fmt.Errorf("hash of the edited text differs: %w", ErrMismatch)
	}
	return edited, nil
}
