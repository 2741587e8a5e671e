package config

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestChangeModel guards against a node that applies changes and ends up with
// different settings or keys than a node that loads the snapshot.
func TestChangeModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab\n")), 0, 12)
		from := &Snapshot{Version: 1, Text: text.Draw(t, "from"), Keys: map[mesh.KeyHash]Key{}}
		for i := range rapid.IntRange(0, 3).Draw(t, "old keys") {
			from.Keys[mesh.HashKey(fmt.Sprint(i))] = Key{Organisation: "o"}
		}
		to := &Snapshot{Version: 2, Nonce: "n", Text: text.Draw(t, "to"), Keys: maps.Clone(from.Keys)}
		for i := range rapid.IntRange(0, 5).Draw(t, "new keys") {
			to.Keys[mesh.HashKey(fmt.Sprint(i))] = Key{Organisation: "o", Withdrawn: rapid.Bool().Draw(t, "withdrawn")}
		}
		got, err := from.Apply(Diff(from, to))
		if err != nil || string(got.Text) != string(to.Text) || !maps.Equal(got.Keys, to.Keys) || got.Version != 2 || got.Nonce != "n" {
			t.Fatalf("got %+v and %v, want %+v", got, err, to)
		}
	})
}

// TestChangeMismatch guards against a change that is applied to a version other
// than its base, and against a withdrawn key that becomes valid again.
func TestChangeMismatch(t *testing.T) {
	hash := mesh.HashKey("k")
	base := &Snapshot{Version: 1, Text: []byte("one two"), Keys: map[mesh.KeyHash]Key{hash: {"o", true}}}
	next := &Snapshot{Version: 2, Text: []byte("one three two"), Keys: map[mesh.KeyHash]Key{hash: {"o", false}}}
	c := Diff(base, next)
	for name, s := range map[string]*Snapshot{
		"later version": {Version: 2, Text: base.Text},
		"other text":    {Version: 1, Text: []byte("one 2 two")},
		"shorter text":  {Version: 1, Text: []byte("o")},
	} {
		if _, err := s.Apply(c); !errors.Is(err, ErrMismatch) {
			t.Errorf("%s: got %v, want %v", name, err, ErrMismatch)
		}
	}
	if got, err := base.Apply(c); err != nil || !got.Keys[hash].Withdrawn {
		t.Errorf("got %+v and %v, want the key still withdrawn", got, err)
	}
}

// TestRollout guards against a version that is reported as in force while a live
// host has not acknowledged it in its current incarnation.
func TestRollout(t *testing.T) {
	hosts := map[netip.AddrPort]mesh.Host{}
	add := func(i int, zone mesh.ZoneName, state mesh.HostState) {
		hosts[hostAddr(i)] = mesh.Host{Addr: hostAddr(i), Zone: zone, Incarnation: 5, State: state}
	}
	add(0, "a", mesh.HostAlive)
	add(1, "a", mesh.HostDraining)
	add(2, "a", mesh.HostSuspect)
	add(3, "a", mesh.HostLeft)
	add(4, "b", mesh.HostAlive)
	a := NewAcks()
	for _, c := range []struct {
		name    string
		acked   Ack
		inForce uint64
		pending []netip.AddrPort
	}{
		{"nobody else reported", Ack{Host: hostAddr(0), Incarnation: 5, Version: 7}, 0, []netip.AddrPort{hostAddr(1)}},
		{"report of an earlier incarnation", Ack{Host: hostAddr(1), Incarnation: 4, Version: 7}, 0, []netip.AddrPort{hostAddr(1)}},
		{"older version", Ack{Host: hostAddr(1), Incarnation: 5, Version: 6}, 6, []netip.AddrPort{hostAddr(1)}},
		{"newest version", Ack{Host: hostAddr(1), Incarnation: 5, Version: 7}, 7, nil},
		{"late report of an older version", Ack{Host: hostAddr(1), Incarnation: 5, Version: 6}, 7, nil},
		{"new incarnation without a version", Ack{Host: hostAddr(0), Incarnation: 6, Version: 0}, 0, []netip.AddrPort{hostAddr(0)}},
	} {
		a.Record(c.acked)
		got := a.Rollout("a", 7, maps.All(hosts))
		if got.InForce != c.inForce || !slices.Equal(got.Pending, c.pending) || got.Hosts != 2 || got.Suspect != 1 {
			t.Errorf("%s: got %+v, want version %d in force, pending %v, 2 hosts, 1 suspect", c.name, got, c.inForce, c.pending)
		}
	}
}

// TestCollectors guards against zones without pollers, against more than three
// polling hosts per zone, against a change of all pollers when one host fails, and
// against an uneven distribution of hosts over the collectors.
func TestCollectors(t *testing.T) {
	const perZone = 100
	hosts := map[netip.AddrPort]mesh.Host{}
	for i := range 2 * perZone {
		hosts[hostAddr(i)] = mesh.Host{Addr: hostAddr(i), Zone: mesh.ZoneName([]string{"a", "b"}[i%2])}
	}
	before := NewCollectors("a", maps.All(hosts))
	if len(before) != 10 || len(before.Pollers()) != pollerCount {
		t.Fatalf("got %v, want 10 collectors, %d of them pollers", before, pollerCount)
	}
	groups := make(map[netip.AddrPort]int)
	for addr, h := range hosts {
		if h.Zone == "a" {
			c, _ := before.Of(addr)
			groups[c]++
		}
	}
	for _, c := range before {
		if got := groups[c]; got < 2 || got > 3*perZone/len(before) {
			t.Errorf("group of %s: got %d hosts, want about %d", c, got, perZone/len(before))
		}
	}
	suspect := hosts[before[0]]
	suspect.State = mesh.HostSuspect
	hosts[before[0]] = suspect
	after := NewCollectors("a", maps.All(hosts))
	if !slices.Equal(after[:9], before[1:]) {
		t.Errorf("got %v, want %v first", after, before[1:])
	}
	if got := NewCollectors("c", maps.All(hosts)); len(got.Pollers()) != 0 {
		t.Errorf("empty zone: got %v, want none", got)
	}
}

// TestAcksSince guards against an acknowledgement that a collector loses or
// forwards twice, and against pollers that forward all entries of the zone to
// each other.
func TestAcksSince(t *testing.T) {
	a := NewAcks()
	a.Record(Ack{Host: hostAddr(0), Version: 1})
	a.Record(Ack{Host: hostAddr(1), Version: 1, Collected: true})
	a.Record(Ack{Host: hostAddr(2), Version: 1})
	a.Record(Ack{Host: hostAddr(0), Version: 2})
	first, last := a.Since(0, 1)
	rest, end := a.Since(last, 10)
	if len(first) != 1 || first[0].Host != hostAddr(2) || len(rest) != 1 || rest[0].Version != 2 {
		t.Errorf("got %v, then %v, want host 2, then version 2 of host 0", first, rest)
	}
	a.Record(Ack{Host: hostAddr(0), Version: 2, Collected: true})
	if again, _ := a.Since(end, 10); len(again) != 0 {
		t.Errorf("after all: got %v, want nothing", again)
	}
	a.Record(Ack{Host: hostAddr(1), Version: 1})
	if again, _ := a.Since(end, 10); len(again) != 1 {
		t.Errorf("host that lost its collector: got %v, want its entry", again)
	}
}
