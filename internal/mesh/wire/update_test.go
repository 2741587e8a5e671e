package wire

import (
	"errors"
	"testing"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
)

// TestUpdateRefused guards against a malformed update that is accepted, so that a node
// applies a version that it received only in part.
func TestUpdateRefused(t *testing.T) {
	base := &config.Snapshot{Version: 1, Text: []byte("zones: {a: {region: r}}")}
	next := &config.Snapshot{Version: 2, Text: []byte("zones: {b: {region: r}}"), Keys: map[mesh.KeyHash]config.Key{{}: {Organisation: "o"}}}
	change := FromChange(config.Diff(base, next))
	if got, err := ApplyChanges(base, []*Change{change}); err != nil || got.Tree == nil || len(got.Keys) != 1 {
		t.Fatalf("valid change: got %+v and %v, want a snapshot with a parsed tree", got, err)
	}
	packed, err := PackSnapshot(FromSnapshot(next))
	if err != nil {
		t.Fatal(err)
	}
	unpack := func(data []byte) error {
		_, err := UnpackSnapshot(data)
		return err
	}
	applyChanges := func(base *config.Snapshot, changes ...*Change) error {
		_, err := ApplyChanges(base, changes)
		return err
	}
	for _, c := range []struct {
		name string
		got  error
		want error
	}{
		{"snapshot cut off", unpack(packed[:len(packed)-9]), nil},
		{"no snapshot", unpack([]byte("x")), nil},
		{"change without a base", applyChanges(nil, change), config.ErrMismatch},
		{"change of a later version", applyChanges(base, &Change{Version: 3}), config.ErrMismatch},
		{"edit beyond the text", applyChanges(base, &Change{Version: 2, Tree: &TreeEdit{KeepStart: 99, Sum: change.GetTree().GetSum()}}), config.ErrMismatch},
		{"short hash of a key", applyChanges(base, &Change{Version: 2, Keys: []*Key{{Hash: []byte("x")}}}), ErrMalformed},
		{"short sum", applyChanges(base, &Change{Version: 2, Tree: &TreeEdit{}}), ErrMalformed},
	} {
		if c.got == nil || c.want != nil && !errors.Is(c.got, c.want) {
			t.Errorf("%s: got %v, want an error (%v)", c.name, c.got, c.want)
		}
	}
}
