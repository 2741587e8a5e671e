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

// fleet simulates several states, the platform's head and the messages between
// them, which may be reordered, duplicated or lost.
type fleet struct {
	now    time.Time
	states []*State
	views  []*View

	// headSince holds the time at which each version became the head, by version.
	headSince []time.Time

	// queue holds undelivered messages to states.
	queue []message
}

type message struct {
	to    int
	event mesh.Event
}

func hostAddr(i int) (addr netip.AddrPort) {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i)}), 9)
}

func newFleet(count int) (f *fleet) {
	f = &fleet{now: time.Unix(1000, 0), headSince: make([]time.Time, 1)}
	for range count {
		f.states = append(f.states, New("a"))
		f.views = append(f.views, nil)
	}
	f.advanceHead()
	return f
}

func (f *fleet) advanceHead() { f.headSince = append(f.headSince, f.now) }

func (f *fleet) head() (version uint64) { return uint64(len(f.headSince) - 1) }

// failer is implemented by the T types of rapid and testing.
type failer interface {
	Fatalf(format string, args ...any)
}

// step passes an event to a state, checks the views that it publishes and queues
// the results of its fetches.
func (f *fleet) step(t failer, i int, event mesh.Event) {
	for _, a := range f.states[i].Step(f.now, event) {
		switch a := a.(type) {
		case Publish:
			f.publish(t, i, a.View)
		case Fetch:
			f.queue = append(f.queue, message{i, f.answer(a)})
		}
	}
}

func (f *fleet) publish(t failer, i int, v *View) {
	if old := f.views[i]; old != nil && v.Version < old.Version {
		t.Fatalf("state %d: version went from %d to %d, want no decrease", i, old.Version, v.Version)
	}
	if next := v.Version + 1; next <= f.head() && v.Confirmed.After(f.headSince[next]) {
		t.Fatalf("state %d: got version %d confirmed at %v, want no confirmation after version %d was written at %v", i, v.Version, v.Confirmed, next, f.headSince[next])
	}
	f.views[i] = v
}

// answer returns the result of a fetch that is answered immediately.
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

// gossip queues a message to state i with the version of state j.
func (f *fleet) gossip(i, j int) {
	if v := f.views[j]; v != nil && i != j {
		f.queue = append(f.queue, message{i, VersionSeen{Version: v.Version, Confirmed: v.Confirmed, From: hostAddr(j)}})
	}
}

func (f *fleet) poll(i int) {
	f.queue = append(f.queue, message{i, VersionSeen{Version: f.head(), Confirmed: f.now}})
}

// TestStateModel guards against a node that reverts to an older version, treats a
// version as confirmed that was no longer the newest, or does not catch up after
// messages were lost.
func TestStateModel(t *testing.T) {
	const count = 3
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(count)
		draw := func(n int, name string) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"raise":   func(*rapid.T) { f.advanceHead() },
			"poll":    func(*rapid.T) { f.poll(draw(count, "host")) },
			"compare": func(*rapid.T) { f.gossip(draw(count, "to"), draw(count, "from")) },
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
				if len(f.queue) == 0 {
					t.Skip("no mail")
				}
				k := draw(len(f.queue), "mail")
				m := f.queue[k]
				switch draw(4, "fate") {
				case 0: // lost
					f.queue = append(f.queue[:k:k], f.queue[k+1:]...)
				case 1: // delivered again later
					f.step(t, m.to, m.event)
				default:
					f.queue = append(f.queue[:k:k], f.queue[k+1:]...)
					f.step(t, m.to, m.event)
				}
			},
		})
		f.settle(t)
	})
}

// settle delivers all messages and checks that all states reach the head version.
func (f *fleet) settle(t failer) {
	for range 2 + int(unusableRetryDelay/fetchTimeout) {
		f.now = f.now.Add(fetchTimeout)
		f.poll(0)
		for i := range f.states {
			f.gossip(i, 0)
			f.step(t, i, Tick{})
		}
		for len(f.queue) > 0 {
			m := f.queue[0]
			f.queue = f.queue[1:]
			f.step(t, m.to, m.event)
		}
	}
	for i, v := range f.views {
		if v == nil || v.Version != f.head() {
			t.Fatalf("state %d after settling: got %+v, want version %d", i, v, f.head())
		}
	}
}

// TestStartInOutage guards against a node that starts while the platform is
// unavailable and serves the version of the first peer that answers, although
// another peer has a newer one.
func TestStartInOutage(t *testing.T) {
	s, now := New("a"), time.Unix(1000, 0)
	s.Step(now, VersionSeen{Version: 3, From: hostAddr(1)})
	if got := s.Step(now, Loaded{Snapshot: snapshotOf(3)}); len(got) != 0 {
		t.Fatalf("first answer: got %v, want to wait", got)
	}
	now = now.Add(time.Second)
	s.Step(now, VersionSeen{Version: 4, From: hostAddr(2)})
	s.Step(now, Loaded{Snapshot: snapshotOf(4)})
	got := s.Step(now.Add(startTimeout), Tick{})
	if len(got) != 1 || got[0].(Publish).View.Version != 4 {
		t.Errorf("after the wait: got %v, want version 4 in force", got)
	}
}

// TestUnusable guards against a node that fetches an unreadable version in a tight
// loop, and against one that never retries it.
func TestUnusable(t *testing.T) {
	s, now := New("a"), time.Unix(1000, 0)
	fetchesAfter := func(version uint64, wait time.Duration) (fetches int) {
		now = now.Add(wait)
		return len(s.Step(now, VersionSeen{Version: version, From: hostAddr(1)}))
	}
	first := fetchesAfter(2, 0)
	s.Step(now, FetchFailed{Unusable: true})
	if got := []int{first, fetchesAfter(2, time.Second), fetchesAfter(2, unusableRetryDelay), fetchesAfter(3, time.Second)}; !slices.Equal(got, []int{1, 0, 1, 1}) {
		t.Errorf("fetches: got %v, want one at first, none within the retry delay, one after it, and one for a newer version", got)
	}
}

// TestKeyGrace guards against keys that are accepted for longer than key-grace
// because a version from a peer counts as confirmed at the time of its arrival.
func TestKeyGrace(t *testing.T) {
	s, now := New("a"), time.Unix(1000, 0)
	hash := mesh.HashKey("key")
	snapshot := snapshotOf(1)
	snapshot.Keys = map[mesh.KeyHash]Key{hash: {Organisation: "o"}}
	s.Step(now, VersionSeen{Version: 1, From: hostAddr(1)})
	s.Step(now, Loaded{Snapshot: snapshot, Confirmed: now.Add(-14 * time.Minute)})
	now = now.Add(startTimeout)
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

// init sets the default seed and number of runs of the model tests. Flags on the
// command line override them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "12", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
