package roster

import (
	"testing"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	north mesh.ZoneName = "north"
	south mesh.ZoneName = "south"
)

// TestSilentHostTurnsSuspect guards against a killed host that keeps getting
// work or stays in the table for ever.
func TestSilentHostTurnsSuspect(t *testing.T) {
	f := newFleet(north, north, north, north, north)
	f.run(20)
	f.stopped[addrOf(5)] = true
	f.run(6)
	f.check(t, "after 6 s of silence", 5, "suspect", 1, 2, 3, 4)
	f.skip(endedKeep)
	f.check(t, "after endedKeep", 5, "none", 1, 2, 3, 4)
}

// TestHostKilledAtItsStart guards against a host that is killed before its
// first heartbeat and gets work for longer than a few seconds.
func TestHostKilledAtItsStart(t *testing.T) {
	f := newFleet(north, north, north)
	f.step(addrOf(3), Elapsed{})
	f.stopped[addrOf(3)] = true
	f.run(8)
	f.check(t, "killed at its start", 3, "suspect", 1, 2)
}

// TestPausedHostComesBack guards against a host that stays suspect after a
// pause, or that comes back in the incarnation that others hold for suspect.
func TestPausedHostComesBack(t *testing.T) {
	f := newFleet(north, north, north, north)
	f.run(20)
	old := f.states[addrOf(4)].Self().Incarnation
	f.stopped[addrOf(4)] = true
	f.run(8)
	f.check(t, "paused", 4, "suspect", 1, 2, 3)
	f.stopped[addrOf(4)] = false
	f.run(2)
	f.check(t, "resumed", 4, "alive", 1, 2, 3, 4)
	if got := f.states[addrOf(4)].Self().Incarnation; got <= old {
		t.Errorf("incarnation: got %d, want above %d", got, old)
	}
	f.check(t, "the resumed watcher", 1, "alive", 4)
}

// TestCutZoneStaysAlive guards against hosts that are declared dead because
// another zone cannot reach them, and against tables that stay apart.
func TestCutZoneStaysAlive(t *testing.T) {
	f := newFleet(north, north, south, south)
	f.run(20)
	inNorth := func(i int) bool { return i <= 2 }
	f.lost = func(from, to netipAddr) bool { return inNorth(indexOf(from)) != inNorth(indexOf(to)) }
	f.run(60)
	f.check(t, "cut", 1, "alive", 2, 3, 4)
	f.check(t, "cut", 3, "alive", 1, 2, 4)
	f.step(addrOf(1), Announced{Target: targetOf(1, "ledger")})
	f.stopped[addrOf(4)] = true
	f.run(35)
	f.check(t, "cut", 4, "alive", 1, 2)
	f.lost = func(netipAddr, netipAddr) bool { return false }
	f.step(addrOf(1), Announced{Target: targetOf(1, "ledger")})
	f.run(5)
	f.check(t, "joined again", 4, "suspect", 1, 2, 3)
	if err := f.equal(); err != nil {
		t.Error(err)
	}
}

// TestIsolatedWatcherAccusesNobody guards against a host whose own link is cut
// and that declares all others suspect.
func TestIsolatedWatcherAccusesNobody(t *testing.T) {
	f := newFleet(north, north, north, north, north)
	f.run(20)
	f.lost = func(from, to netipAddr) bool { return from == addrOf(1) || to == addrOf(1) }
	f.run(15)
	for of := 2; of <= 5; of++ {
		f.check(t, "isolated", of, "alive", 1)
	}
	f.lost = func(from, to netipAddr) bool {
		return indexOf(from)*indexOf(to) > 2 && (from == addrOf(1) || to == addrOf(1))
	}
	f.run(2)
	for of := 2; of <= 5; of++ {
		f.check(t, "joined again by one link", of, "alive", 1)
	}
	f.lost = func(netipAddr, netipAddr) bool { return false }
	f.run(10)
	for of := 1; of <= 5; of++ {
		f.check(t, "joined again", of, "alive", 1, 2, 3, 4, 5)
	}
}

// TestSplitZoneJoinsAgain guards against two groups of hosts that hold each
// other for suspect and never speak again.
func TestSplitZoneJoinsAgain(t *testing.T) {
	f := newFleet(north, north, north, north, north, north)
	f.run(20)
	f.lost = func(from, to netipAddr) bool { return indexOf(from)%2 != indexOf(to)%2 }
	f.run(60)
	f.check(t, "split", 1, "suspect", 2, 4, 6)
	f.lost = func(netipAddr, netipAddr) bool { return false }
	f.run(30)
	for of := 1; of <= 6; of++ {
		f.check(t, "joined again", of, "alive", 1, 2, 3, 4, 5, 6)
	}
}

// TestReplacedHost guards against messages of an old process that outlive the
// start of a new one at the same address, and against a new process that an
// older clock keeps out.
func TestReplacedHost(t *testing.T) {
	f := newFleet(north, north, north)
	f.run(20)
	old := f.states[addrOf(3)]
	oldRow, _ := old.View().row(addrOf(3))
	f.add(3, north)
	f.run(3)
	now := f.states[addrOf(3)].Self()
	f.step(addrOf(1), PushReceived{From: senderOf(old), Rows: []Row{*oldRow, {Host: hostOf(9, north)}}})
	if got, _ := f.states[addrOf(1)].View().Host(addrOf(3)); got.Incarnation != now.Incarnation {
		t.Errorf("incarnation: got %d, want %d", got.Incarnation, now.Incarnation)
	}
	f.check(t, "message of the old process", 9, "none", 1)
	behind := hostOf(3, north)
	behind.Incarnation = 1
	f.states[addrOf(3)] = New(f.now, behind, f.states[addrOf(2)].random, WithSeeds(addrOf(1)))
	f.run(3)
	if got, _ := f.states[addrOf(1)].View().Host(addrOf(3)); got.Incarnation <= now.Incarnation {
		t.Errorf("incarnation after a start with an old clock: got %d, want above %d", got.Incarnation, now.Incarnation)
	}
	f.check(t, "old clock", 3, "alive", 1, 2, 3)
}

// TestLeavingHost guards against a host that leaves and still gets work, and
// against a draining host that is killed and stays.
func TestLeavingHost(t *testing.T) {
	f := newFleet(north, north, north, north)
	f.run(20)
	f.step(addrOf(3), Announced{Target: targetOf(3, "ledger")})
	f.step(addrOf(3), Leaving{})
	f.check(t, "leaving", 3, "draining", 1, 2, 4)
	if got := len(f.states[addrOf(1)].View().Endpoints("ledger", nil)); got != 0 {
		t.Errorf("targets of a draining host: got %d, want 0", got)
	}
	f.step(addrOf(3), Left{})
	f.check(t, "left", 3, "left", 1, 2, 4)
	f.stopped[addrOf(3)] = true
	f.step(addrOf(4), Leaving{})
	f.stopped[addrOf(4)] = true
	f.run(6)
	f.check(t, "killed while draining", 4, "left", 1, 2)
}

// TestTargets guards against a target that stops announcing itself, drains or
// starts anew without the others learning of it.
func TestTargets(t *testing.T) {
	f := newFleet(north, north)
	f.run(5)
	endpoints := func() (n int) { return len(f.states[addrOf(2)].View().Endpoints("ledger", nil)) }
	first, second := targetOf(1, "ledger"), targetOf(1, "ledger")
	second.Addr = addrOf(77)
	draining, older, restarted := second, first, first
	draining.Draining = true
	older.Incarnation--
	restarted.Incarnation++
	for _, c := range []struct {
		name    string
		targets []mesh.Target
		seconds int
		want    int
	}{
		{"two targets", []mesh.Target{first, second}, 4, 2},
		{"one drains", []mesh.Target{first, draining}, 4, 1},
		{"an older life announces itself", []mesh.Target{first, older}, 4, 1},
		{"a later life announces itself", []mesh.Target{restarted, older}, 4, 1},
		{"only the older life announces itself", []mesh.Target{older}, 4, 1},
	} {
		for range c.seconds {
			for _, target := range c.targets {
				f.step(addrOf(1), Announced{Target: target})
			}
			f.run(1)
		}
		if got := endpoints(); got != c.want {
			t.Errorf("%s: got %d targets, want %d", c.name, got, c.want)
		}
	}
	if got := f.states[addrOf(2)].View().Endpoints("ledger", nil)[0].Target; got != restarted {
		t.Errorf("target: got %v, want %v", got, restarted)
	}
	f.run(7)
	if got := endpoints(); got != 0 {
		t.Errorf("after 7 s of silence: got %d targets, want 0", got)
	}
}

// TestSeekBacksOff guards against a host that polls the platform while it
// knows nobody, and against one that gives up.
func TestSeekBacksOff(t *testing.T) {
	f := newFleet(north)
	f.run(600)
	seeks := 0
	for _, a := range f.seen {
		if _, is := a.(Discover); is {
			seeks++
		}
	}
	if seeks < 10 || seeks > 30 {
		t.Errorf("attempts to join in 10 minutes: got %d, want 10 to 30", seeks)
	}
}

// TestEachHostIsWatchedByThree guards against a host whose silence nobody
// notices.
func TestEachHostIsWatchedByThree(t *testing.T) {
	f := newFleet(north, north, north, north, north, north, south, south)
	f.run(30)
	for i, want := range map[int]int{1: 3, 2: 3, 3: 3, 4: 3, 5: 3, 6: 3, 7: 1, 8: 1} {
		watchers := 0
		for _, s := range f.states {
			if tm, found := s.watch.watched[addrOf(i)]; found && !tm.heard.IsZero() {
				watchers++
			}
		}
		if watchers != want {
			t.Errorf("watchers of host %d: got %d, want %d", i, watchers, want)
		}
	}
}
