package roster

import (
	"testing"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	north mesh.ZoneName = "north"
	south mesh.ZoneName = "south"
)

// TestSilentHostTurnsSuspect guards against a killed host that still receives requests
// or whose row is never removed.
func TestSilentHostTurnsSuspect(t *testing.T) {
	f := newFleet(north, north, north, north, north)
	f.run(20)
	f.stopped[addrOf(5)] = true
	f.run(6)
	f.check(t, "after 6 s of silence", 5, "suspect", 1, 2, 3, 4)
	f.advance(downRetention)
	f.check(t, "after downRetention", 5, "none", 1, 2, 3, 4)
}

// TestHostKilledAtItsStart guards against a host that is killed before its
// first heartbeat and receives requests for longer than a few seconds.
func TestHostKilledAtItsStart(t *testing.T) {
	f := newFleet(north, north, north)
	f.step(addrOf(3), TimerExpired{})
	f.stopped[addrOf(3)] = true
	f.run(8)
	f.check(t, "killed at its start", 3, "suspect", 1, 2)
}

// TestPausedHostComesBack guards against a host that stays suspect after a
// pause, or that resumes in the incarnation that others have declared suspect.
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
	f.check(t, "table of the resumed host", 1, "alive", 4)
}

// TestPartitionedZoneStaysAlive guards against hosts that turn suspect because of a partition
// between zones, and against tables that do not converge after it.
func TestPartitionedZoneStaysAlive(t *testing.T) {
	f := newFleet(north, north, south, south)
	f.run(20)
	inNorth := func(i int) bool { return i <= 2 }
	f.lost = func(from, to hostAddr) bool { return inNorth(indexOf(from)) != inNorth(indexOf(to)) }
	f.run(60)
	f.check(t, "partitioned", 1, "alive", 2, 3, 4)
	f.check(t, "partitioned", 3, "alive", 1, 2, 4)
	f.step(addrOf(1), Announced{Target: targetOf(1, "ledger")})
	f.stopped[addrOf(4)] = true
	f.run(35)
	f.check(t, "partitioned", 4, "alive", 1, 2)
	f.lost = func(hostAddr, hostAddr) bool { return false }
	f.step(addrOf(1), Announced{Target: targetOf(1, "ledger")})
	f.run(5)
	f.check(t, "rejoined", 4, "suspect", 1, 2, 3)
	if err := f.checkTablesEqual(); err != nil {
		t.Error(err)
	}
}

// TestIsolatedHostSuspectsNobody guards against a host that loses its own network link
// and declares all others suspect.
func TestIsolatedHostSuspectsNobody(t *testing.T) {
	f := newFleet(north, north, north, north, north)
	f.run(20)
	f.lost = func(from, to hostAddr) bool { return from == addrOf(1) || to == addrOf(1) }
	f.run(15)
	for of := 2; of <= 5; of++ {
		f.check(t, "isolated", of, "alive", 1)
	}
	f.lost = func(from, to hostAddr) bool {
		return indexOf(from)*indexOf(to) > 2 && (from == addrOf(1) || to == addrOf(1))
	}
	f.run(2)
	for of := 2; of <= 5; of++ {
		f.check(t, "rejoined by one link", of, "alive", 1)
	}
	f.lost = func(hostAddr, hostAddr) bool { return false }
	f.run(10)
	for of := 1; of <= 5; of++ {
		f.check(t, "rejoined", of, "alive", 1, 2, 3, 4, 5)
	}
}

// TestSplitZoneJoinsAgain guards against a partition within a zone after which both sides
// hold each other suspect and never exchange messages again.
func TestSplitZoneJoinsAgain(t *testing.T) {
	f := newFleet(north, north, north, north, north, north)
	f.run(20)
	f.lost = func(from, to hostAddr) bool { return indexOf(from)%2 != indexOf(to)%2 }
	f.run(60)
	f.check(t, "split", 1, "suspect", 2, 4, 6)
	f.lost = func(hostAddr, hostAddr) bool { return false }
	f.run(30)
	for of := 1; of <= 6; of++ {
		f.check(t, "rejoined", of, "alive", 1, 2, 3, 4, 5, 6)
	}
}

// TestReplacedHost guards against delayed messages of an old process that are accepted
// after a new one has started at the same address, and against a new process that is
// ignored because its clock is behind that of the old one.
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

// TestLeavingHost guards against a draining or left host that still receives requests, and
// against the row of a host killed while it drains that stays in state draining.
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

// TestTargets guards against a target that stops its announcements, drains or restarts
// while other hosts keep the old entry.
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
		{"an older incarnation announces itself", []mesh.Target{first, older}, 4, 1},
		{"a later incarnation announces itself", []mesh.Target{restarted, older}, 4, 1},
		{"only the older incarnation announces itself", []mesh.Target{older}, 4, 1},
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

// TestDiscoveryBacksOff guards against a host without peers that polls the platform
// without backoff, and against one that stops trying.
func TestDiscoveryBacksOff(t *testing.T) {
	f := newFleet(north)
	f.run(600)
	attempts := 0
	for _, a := range f.actions {
		if _, is := a.(Discover); is {
			attempts++
		}
	}
	if attempts < 10 || attempts > 30 {
		t.Errorf("discovery attempts in 10 minutes: got %d, want 10 to 30", attempts)
	}
}

// TestEachHostIsWatchedByThree guards against a host that too few others watch, so that
// its failure is not detected.
func TestEachHostIsWatchedByThree(t *testing.T) {
	f := newFleet(north, north, north, north, north, north, south, south)
	f.run(30)
	for i, want := range map[int]int{1: 3, 2: 3, 3: 3, 4: 3, 5: 3, 6: 3, 7: 1, 8: 1} {
		watchers := 0
		for _, s := range f.states {
			if tm, found := s.detector.watched[addrOf(i)]; found && !tm.lastMessage.IsZero() {
				watchers++
			}
		}
		if watchers != want {
			t.Errorf("watchers of host %d: got %d, want %d", i, watchers, want)
		}
	}
}
