package config

import (
	"flag"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/tree"
)

// fleet is a few states, the platform's head and the messages between them,
// which arrive in any order, more than once or not at all.
type fleet struct {
	now    time.Time
	states []*State
	views  []*View

	// raised holds when each version became the head, by version.
	raised []time.Time

	// mail holds messages to states.
	mail []mail
}

type mail struct {
	to    int
	event mesh.Event
}

func hostAddr(i int) (addr netip.AddrPort) {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i)}), 9)
}

func newFleet(count int) (f *fleet) {
	f = &fleet{now: time.Unix(1000, 0), raised: make([]time.Time, 1)}
	for range count {
		f.states = append(f.states, New("a"))
		f.views = append(f.views, nil)
	}
	f.raise()
	return f
}

func (f *fleet) raise() { f.raised = append(f.raised, f.now) }

func (f *fleet) head() (version uint64) { return uint64(len(f.raised) - 1) }

// checker is what rapid and testing have in common.
type checker interface {
	Fatalf(format string, args ...any)
}

// step gives an event to a state, checks what it puts in force and posts the
// answers to what it asks for.
func (f *fleet) step(t checker, i int, event mesh.Event) {
	for _, a := range f.states[i].Step(f.now, event) {
		switch a := a.(type) {
		case Publish:
			f.publish(t, i, a.View)
		case Fetch:
			f.mail = append(f.mail, mail{i, f.answer(a)})
		}
	}
}

func (f *fleet) publish(t checker, i int, v *View) {
	if old := f.views[i]; old != nil && v.Version < old.Version {
		t.Fatalf("state %d went from version %d to %d, want never back", i, old.Version, v.Version)
	}
	if next := v.Version + 1; next <= f.head() && v.Confirmed.After(f.raised[next]) {
		t.Fatalf("state %d has version %d confirmed at %v, but version %d exists since %v", i, v.Version, v.Confirmed, next, f.raised[next])
	}
	f.views[i] = v
}

// answer returns what a fetch brings when it is answered at once.
func (f *fleet) answer(a Fetch) (event mesh.Event) {
	if !a.From.IsValid() {
		return Loaded{Snapshot: snapshotOf(f.head()), Confirmed: f.now}
	}
	from := int(a.From.Addr().As4()[3]) - 1
	if v := f.views[from]; v != nil && v.Version > a.Base {
		return Loaded{Snapshot: snapshotOf(v.Version), Confirmed: v.Confirmed}
	}
	return FetchFailed{}
}

func snapshotOf(version uint64) (s *Snapshot) { return &Snapshot{Version: version, Tree: &tree.Tree{}} }

// compare posts what state j tells state i.
func (f *fleet) compare(i, j int) {
	if v := f.views[j]; v != nil && i != j {
		f.mail = append(f.mail, mail{i, VersionSeen{Version: v.Version, Confirmed: v.Confirmed, From: hostAddr(j)}})
	}
}

func (f *fleet) poll(i int) {
	f.mail = append(f.mail, mail{i, VersionSeen{Version: f.head(), Confirmed: f.now}})
}

// TestStateModel guards against a node that goes back to an older version,
// takes a version for confirmed that was no longer the newest, or stays behind
// after messages were lost.
func TestStateModel(t *testing.T) {
	const count = 3
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(count)
		draw := func(n int, name string) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"raise":   func(*rapid.T) { f.raise() },
			"poll":    func(*rapid.T) { f.poll(draw(count, "host")) },
			"compare": func(*rapid.T) { f.compare(draw(count, "to"), draw(count, "from")) },
			"wait":    func(*rapid.T) { f.now = f.now.Add(time.Duration(1+draw(4000, "ms")) * time.Millisecond) },
			"tick":    func(t *rapid.T) { f.step(t, draw(count, "host"), Tick{}) },
			"fail": func(t *rapid.T) {
				f.step(t, draw(count, "host"), FetchFailed{Mismatch: rapid.Bool().Draw(t, "mismatch"), Unusable: rapid.Bool().Draw(t, "unusable")})
			},
			"restart": func(*rapid.T) {
				i := draw(count, "host")
				f.states[i], f.views[i] = New("a"), nil
			},
			"deliver": func(t *rapid.T) {
				if len(f.mail) == 0 {
					t.Skip("no mail")
				}
				k := draw(len(f.mail), "mail")
				m := f.mail[k]
				switch draw(4, "fate") {
				case 0: // lost
					f.mail = append(f.mail[:k:k], f.mail[k+1:]...)
				case 1: // repeated later
					f.step(t, m.to, m.event)
				default:
					f.mail = append(f.mail[:k:k], f.mail[k+1:]...)
					f.step(t, m.to, m.event)
				}
			},
		})
		f.settle(t)
	})
}

// settle lets messages through and checks that all states end at the head.
func (f *fleet) settle(t checker) {
	for range 2 + int(unusableWait/fetchTimeout) {
		f.now = f.now.Add(fetchTimeout)
		f.poll(0)
		for i := range f.states {
			f.compare(i, 0)
			f.step(t, i, Tick{})
		}
		for len(f.mail) > 0 {
			m := f.mail[0]
			f.mail = f.mail[1:]
			f.step(t, m.to, m.event)
		}
	}
	for i, v := range f.views {
		if v == nil || v.Version != f.head() {
			t.Fatalf("state %d ends at %+v, want version %d", i, v, f.head())
		}
	}
}

// TestStartInOutage guards against a node that starts while the platform is
// down and serves the version of the first peer that answers, though another
// peer has a newer one.
func TestStartInOutage(t *testing.T) {
	s, now := New("a"), time.Unix(1000, 0)
	s.Step(now, VersionSeen{Version: 3, From: hostAddr(1)})
	if got := s.Step(now, Loaded{Snapshot: snapshotOf(3)}); len(got) != 0 {
		t.Fatalf("first answer: got %v, want to wait", got)
	}
	now = now.Add(time.Second)
	s.Step(now, VersionSeen{Version: 4, From: hostAddr(2)})
	s.Step(now, Loaded{Snapshot: snapshotOf(4)})
	got := s.Step(now.Add(startWait), Tick{})
	if len(got) != 1 || got[0].(Publish).View.Version != 4 {
		t.Errorf("after the wait: got %v, want version 4 in force", got)
	}
}

// TestUnusable guards against a node that fetches a version which it cannot
// read again and again, and against one that never tries again.
func TestUnusable(t *testing.T) {
	s, now := New("a"), time.Unix(1000, 0)
	heard := func(version uint64, wait time.Duration) (fetches int) {
		now = now.Add(wait)
		return len(s.Step(now, VersionSeen{Version: version, From: hostAddr(1)}))
	}
	first := heard(2, 0)
	s.Step(now, FetchFailed{Unusable: true})
	if got := []int{first, heard(2, time.Second), heard(2, unusableWait), heard(3, time.Second)}; !slices.Equal(got, []int{1, 0, 1, 1}) {
		t.Errorf("fetches: got %v, want at first, not soon after, after the wait, and of a newer version", got)
	}
}

// TestKeyGrace guards against keys that are accepted for longer than the grace
// because a version from a peer counts as confirmed when it arrives.
func TestKeyGrace(t *testing.T) {
	s, now := New("a"), time.Unix(1000, 0)
	hash := mesh.HashKey("key")
	snapshot := snapshotOf(1)
	snapshot.Keys = map[mesh.KeyHash]Key{hash: {Organisation: "o"}}
	s.Step(now, VersionSeen{Version: 1, From: hostAddr(1)})
	s.Step(now, Loaded{Snapshot: snapshot, Confirmed: now.Add(-14 * time.Minute)})
	now = now.Add(startWait)
	v := s.Step(now, Tick{})[0].(Publish).View
	if _, refusal := v.Organisation(now, hash); refusal != nil {
		t.Errorf("within the grace: got %v, want no refusal", refusal)
	}
	now = now.Add(time.Minute)
	if _, refusal := v.Organisation(now, hash); refusal == nil {
		t.Error("after the grace: got no refusal, want one")
	}
	s.Step(now, VersionSeen{Version: 1, Confirmed: now})
	if _, refusal := s.view.Organisation(now, hash); refusal != nil {
		t.Errorf("after a confirmation: got %v, want no refusal", refusal)
	}
}

// init fixes the seed and the number of the model tests' runs. Flags on the
// command line go before it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "12", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
