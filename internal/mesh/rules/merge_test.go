package rules

import (
	"slices"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

var (
	calm     = mesh.StoreVersion{Era: 1, Number: 90}
	restored = mesh.StoreVersion{Era: 2, Number: 70}
	written  = mesh.StoreVersion{Era: 2, Number: 71}
)

// state returns a configuration with zones that are out.
func state(asOf mesh.StoreVersion, version uint64, text string, out ...mesh.ZoneName) (c mesh.FleetConfig) {
	return mesh.FleetConfig{AsOf: asOf, Rules: &mesh.Rules{Version: version}, RulesText: []byte(text), ZonesOut: out}
}

// TestMergeEras guards against settings that are ignored, or that revert, since the store has come
// back from an older copy and counts from there.
func TestMergeEras(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, c := range []struct {
		name    string
		states  []mesh.FleetConfig
		version uint64
		text    string
		out     []mesh.ZoneName
	}{
		{"a zone is taken out after the return", []mesh.FleetConfig{state(calm, 2, "b"), state(restored, 1, "a"), state(written, 1, "a", "z")}, 2, "b", []mesh.ZoneName{"z"}},
		{"a zone is taken out, seen as the first of the era", []mesh.FleetConfig{state(calm, 2, "b"), state(written, 1, "a", "z")}, 2, "b", []mesh.ZoneName{"z"}},
		{"a zone out is lost", []mesh.FleetConfig{state(calm, 1, "a", "z"), state(restored, 1, "a")}, 1, "a", []mesh.ZoneName{"z"}},
		{"a zone out is lost, and the store goes on", []mesh.FleetConfig{state(calm, 1, "a", "z"), state(restored, 1, "a"), state(written, 1, "a", "y")}, 1, "a", []mesh.ZoneName{"y", "z"}},
		{
			"a zone out is written again and taken back",
			[]mesh.FleetConfig{state(calm, 1, "a", "z"), state(restored, 1, "a"), state(written, 1, "a", "z"), state(mesh.StoreVersion{Era: 2, Number: 72}, 1, "a")},
			1, "a", nil,
		},
		{"two returns one after the other", []mesh.FleetConfig{state(calm, 1, "a", "z"), state(restored, 1, "a"), state(mesh.StoreVersion{Era: 3, Number: 5}, 1, "a")}, 1, "a", []mesh.ZoneName{"z"}},
		{"an answer of the era before arrives late", []mesh.FleetConfig{state(calm, 2, "b"), state(restored, 2, "b", "z"), state(calm, 2, "b", "y")}, 2, "b", []mesh.ZoneName{"z"}},
		{"rules are written again with another text", []mesh.FleetConfig{state(calm, 2, "b"), state(restored, 1, "a"), state(written, 2, "c")}, 2, "c", nil},
		{"rules of an earlier version are written again", []mesh.FleetConfig{state(calm, 3, "c"), state(restored, 1, "a"), state(written, 2, "b")}, 3, "c", nil},
		{"rules of the era before are heard of late", []mesh.FleetConfig{state(restored, 1, "a"), state(calm, 2, "b")}, 2, "b", nil},
		{"no eras", []mesh.FleetConfig{state(mesh.StoreVersion{Number: 5}, 1, "a", "z"), state(mesh.StoreVersion{Number: 6}, 2, "b"), state(mesh.StoreVersion{Number: 4}, 1, "a", "y")}, 2, "b", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got mesh.FleetConfig
			for _, s := range c.states {
				got, _ = Merge(now, got, s)
			}
			if got.Rules.Version != c.version || string(got.RulesText) != c.text {
				t.Errorf("got rules %d with the text %q, want %d with %q", got.Rules.Version, got.RulesText, c.version, c.text)
			}
			if !slices.Equal(got.ZonesOut, c.out) {
				t.Errorf("got zones out %v, want %v", got.ZonesOut, c.out)
			}
		})
	}
}

// TestCarriedSettingsEnd guards against a zone that stays out for good although its row was lost and
// nobody wrote it again, and against one that is used before operators had the time to do so.
func TestCarriedSettingsEnd(t *testing.T) {
	now := time.Unix(1e9, 0)
	order := mesh.RolloutOrder{Service: "s", To: "v2", Limit: time.Minute, Revision: calm}
	known := state(calm, 1, "a", "z")
	known.Orders = []mesh.RolloutOrder{order}
	c, _ := Merge(now, known, state(restored, 1, "a", "y"))
	if got, changed := Expire(now.Add(CarryTime-time.Nanosecond), c); changed || len(got.ZonesOut) != 2 || len(got.Orders) != 1 {
		t.Errorf("before the end: got %v, %v (changed: %v), want both zones and the order", got.ZonesOut, got.Orders, changed)
	}
	got, changed := Expire(now.Add(CarryTime), c)
	if want := []mesh.ZoneName{"y"}; !changed || !slices.Equal(got.ZonesOut, want) || len(got.Orders) > 0 {
		t.Errorf("at the end: got %v, %v (changed: %v), want %v and no order", got.ZonesOut, got.Orders, changed, want)
	}
	if _, changed := Expire(now.Add(2*CarryTime), got); changed {
		t.Error("after the end: got a change, want none")
	}
}

// TestCarriedSettingsSpread guards against a host that starts after the store has come back and does
// not learn what the store has lost.
func TestCarriedSettingsSpread(t *testing.T) {
	now := time.Unix(1e9, 0)
	witness, _ := Merge(now, state(calm, 1, "a", "z"), state(restored, 1, "a"))
	for name, read := range map[string]mesh.FleetConfig{"the same state": state(restored, 1, "a"), "a later state": state(written, 1, "a")} {
		started, _ := Merge(now, mesh.FleetConfig{}, read)
		if got, want := read.AsOf, started.AsOf; got != want {
			t.Fatalf("%s: got state %v, want %v", name, got, want)
		}
		started, changed := Merge(now, started, witness)
		if want := []mesh.ZoneName{"z"}; !changed || !slices.Equal(started.ZonesOut, want) || started.AsOf != read.AsOf {
			t.Errorf("%s: got zones out %v as of %v (changed: %v), want %v as of %v", name, started.ZonesOut, started.AsOf, changed, want, read.AsOf)
		}
	}
	rewritten, _ := Merge(now, witness, state(written, 1, "a", "z"))
	again, _ := Merge(now, rewritten, witness)
	if got, want := again.Carried.Pending(), false; got != want {
		t.Errorf("after the zone was written again: got carried settings %v, want none", again.Carried.ZonesOut)
	}
}
