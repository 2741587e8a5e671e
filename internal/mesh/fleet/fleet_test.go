package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

var (
	start = time.Unix(1e9, 0)
	self  = mesh.Host{Addr: netip.MustParseAddrPort("10.0.0.1:7000"), Zone: "a", Incarnation: 1}
)

func remoteHost(incarnation mesh.Incarnation, revision uint64, targets ...mesh.Target) (h mesh.Host) {
	return mesh.Host{Addr: netip.MustParseAddrPort("10.0.0.2:7000"), Zone: "b", Incarnation: incarnation, Revision: revision, Targets: targets}
}

func target(name string, incarnation mesh.Incarnation) (t mesh.Target) {
	return mesh.Target{Service: "ledger", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Name: name, Slots: 5, Incarnation: incarnation}
}

func targetNames(v *View) (all []string) {
	for _, e := range v.Targets["ledger"] {
		all = append(all, e.Target.Name)
	}
	return all
}

// TestLateReports guards against a report that arrives late and restores a stopped target,
// or an earlier state of a target.
func TestLateReports(t *testing.T) {
	type report struct {
		name        string
		incarnation mesh.Incarnation
		sequence    uint64
		draining    bool
		stopped     bool
		accepted    bool
	}
	for _, c := range []struct {
		name    string
		reports []report
		want    int
	}{
		{"in order", []report{{"i", 1, 1, false, false, true}, {"i", 1, 2, false, false, true}}, 1},
		{"overtaken", []report{{"i", 1, 2, true, false, true}, {"i", 1, 1, false, false, false}}, 0},
		{"after the end", []report{{"i", 1, 1, false, false, true}, {"i", 1, 0, false, true, true}, {"i", 1, 2, false, false, false}}, 0},
		{"stop report received first", []report{{"i", 0, 0, false, true, true}, {"i", 0, 2, false, false, false}}, 0},
		{"started again", []report{{"i", 1, 9, false, false, true}, {"i", 1, 0, false, true, true}, {"i", 2, 1, false, false, true}}, 1},
		{"earlier start", []report{{"i", 2, 1, false, false, true}, {"i", 1, 9, true, false, false}}, 1},
		{"replaced at its address", []report{{"i", 1, 5, false, false, true}, {"j", 2, 1, false, false, true}, {"i", 1, 6, false, false, false}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(self)
			for i, r := range c.reports {
				now := start.Add(time.Duration(i) * time.Second)
				if r.stopped {
					s.RemoveTarget(now, r.name)
					continue
				}
				a := mesh.Announcement{Target: target(r.name, r.incarnation), Sequence: r.sequence}
				a.Target.Draining = r.draining
				if got, _ := s.ApplyReport(now, a); got != r.accepted {
					t.Errorf("report %d: got accepted %v, want %v", i, got, r.accepted)
				}
			}
			if got := len(targetNames(s.View(start))); got != c.want {
				t.Errorf("got %d targets that accept requests, want %d", got, c.want)
			}
		})
	}
}

// TestStopBeforeFirstReport guards against a target that left before a restarted node had had a
// report of it, and that is used again because of a late report.
func TestStopBeforeFirstReport(t *testing.T) {
	stop := start.Add(time.Minute)
	for _, c := range []struct {
		name string

		// checked is true when the health check has registered the target before it left.
		checked  bool
		started  time.Time
		accepted bool
	}{
		{"late report, target known by its health check", true, start, false},
		{"late report, target unknown", false, start, false},
		{"later start, target known by its health check", true, stop.Add(time.Second), true},
		{"later start, target unknown", false, stop.Add(time.Second), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(self)
			if c.checked {
				s.ApplyReport(stop.Add(-time.Second), mesh.Announcement{Target: target("i", 0)})
			}
			s.RemoveTarget(stop, "i")
			for sequence := range uint64(3) {
				report := mesh.Announcement{Target: target("i", mesh.NewIncarnation(c.started)), Sequence: 7 + sequence}
				if got, _ := s.ApplyReport(stop.Add(2*time.Second), report); got != c.accepted {
					t.Errorf("report %d: got accepted %v, want %v", report.Sequence, got, c.accepted)
				}
			}
			if got := len(targetNames(s.View(stop))) > 0; got != c.accepted {
				t.Errorf("target accepts requests: got %v, want %v", got, c.accepted)
			}
		})
	}
}

// TestLateReportOfEarlierStart guards against a report of an earlier start that arrives late at a
// restarted node, and ends the cold start that the health check has shown.
func TestLateReportOfEarlierStart(t *testing.T) {
	checked := target("i", 0)
	checked.ColdUntil = start.Add(3 * time.Second)
	s := New(self)
	s.ApplyReport(start, mesh.Announcement{Target: checked})
	s.ApplyReport(start.Add(time.Second), mesh.Announcement{Target: target("i", 1), Sequence: 9})
	if got := s.Target(checked.Addr); !got.ColdUntil.Equal(checked.ColdUntil) {
		t.Errorf("after the late report: got cold until %v, want %v", got.ColdUntil, checked.ColdUntil)
	}
	s.ApplyReport(start.Add(2*time.Second), mesh.Announcement{Target: target("i", 2), Sequence: 1})
	if got := s.Target(checked.Addr); !got.ColdUntil.IsZero() {
		t.Errorf("after a report of a later start: got cold until %v, want none", got.ColdUntil)
	}
}

// TestSilentTarget guards against requests to a target that stopped without reporting it.
func TestSilentTarget(t *testing.T) {
	s := New(self)
	s.ApplyReport(start, mesh.Announcement{Target: target("i", 1), Sequence: 1})
	if got := s.ExpireTargets(start.Add(reportTimeout)); len(got) != 0 {
		t.Errorf("got %v expired, want none", got)
	}
	if got := s.ExpireTargets(start.Add(reportTimeout + time.Second)); len(got) != 1 {
		t.Errorf("got %v expired, want one", got)
	}
	if got := len(targetNames(s.View(start))); got != 0 {
		t.Errorf("got %d targets that accept requests, want 0", got)
	}
}

// TestStaleHeartbeat guards against an older heartbeat that arrives late and overwrites the
// state from a newer one.
func TestStaleHeartbeat(t *testing.T) {
	s := New(self)
	draining := target("i", 1)
	draining.Draining = true
	for _, h := range []mesh.Host{remoteHost(2, 4, target("i", 1)), remoteHost(2, 5, draining), remoteHost(2, 4, target("i", 1)), remoteHost(1, 9, target("i", 1))} {
		s.ApplyHeartbeat(start, h, 2)
	}
	if got := len(targetNames(s.View(start))); got != 0 {
		t.Errorf("got %d targets that accept requests, want 0", got)
	}
	s.ApplyHeartbeat(start, remoteHost(3, 1, target("i", 1)), 2)
	if got := len(targetNames(s.View(start))); got != 1 {
		t.Errorf("after a restart: got %d targets that accept requests, want 1", got)
	}
}

// TestSilentHost guards against requests to a host that died, and against a service without
// targets although a silent host may still run it.
func TestSilentHost(t *testing.T) {
	s := New(self)
	s.ApplyHeartbeat(start, remoteHost(1, 1, target("far", 1)), 2)
	s.ApplyReport(start, mesh.Announcement{Target: target("near", 1), Sequence: 1})
	later := start.Add(3 * time.Second)
	if got := targetNames(s.View(later)); len(got) != 1 || got[0] != "near" {
		t.Errorf("got targets %v, want near", got)
	}
	if !s.ExpireHosts(later, start) {
		t.Error("got no change when the host became silent, want one")
	}
	s.RemoveTarget(later, "near")
	if got := targetNames(s.View(later)); len(got) != 1 || got[0] != "far" {
		t.Errorf("got targets %v, want far", got)
	}
}

// TestOut guards against requests to a zone that operators have taken out of service, and
// to a draining host.
func TestOut(t *testing.T) {
	s := New(self)
	s.ApplyHeartbeat(start, remoteHost(1, 1, target("far", 1)), 2)
	s.ApplyReport(start, mesh.Announcement{Target: target("near", 1), Sequence: 1})
	s.SetZonesOut([]mesh.ZoneName{"b"})
	if got := targetNames(s.View(start)); len(got) != 1 || got[0] != "near" {
		t.Errorf("zone out: got targets %v, want near", got)
	}
	s.SetZonesOut(nil)
	s.Drain()
	if got := targetNames(s.View(start)); len(got) != 1 || got[0] != "far" {
		t.Errorf("leaving: got targets %v, want far", got)
	}
}

// TestDue guards against heartbeats that are sent too often to silent hosts, or too late to
// others.
func TestDue(t *testing.T) {
	s := New(self)
	s.ApplyHeartbeat(start, remoteHost(1, 1), 2)
	if direct, _ := s.DueHeartbeats(start, false); len(direct) != 1 {
		t.Errorf("first: got %d, want 1", len(direct))
	}
	if direct, _ := s.DueHeartbeats(start.Add(100*time.Millisecond), false); len(direct) != 0 {
		t.Errorf("soon: got %d, want 0", len(direct))
	}
	if direct, _ := s.DueHeartbeats(start.Add(150*time.Millisecond), true); len(direct) != 1 {
		t.Errorf("urgent: got %d, want 1", len(direct))
	}
	if direct, _ := s.DueHeartbeats(start.Add(1900*time.Millisecond), false); len(direct) != 0 {
		t.Errorf("silent: got %d, want 0", len(direct))
	}
	if direct, _ := s.DueHeartbeats(start.Add(2200*time.Millisecond), false); len(direct) != 1 {
		t.Errorf("silent for long: got %d, want 1", len(direct))
	}
}

// TestKnownHosts guards against a node that has just started and takes the few hosts from
// which it has received heartbeats for the whole fleet.
func TestKnownHosts(t *testing.T) {
	s := New(self)
	if got, want := s.View(start).FleetSize, 1; got != want {
		t.Errorf("alone: got %d hosts, want %d", got, want)
	}
	s.ApplyHeartbeat(start, remoteHost(1, 1), 40)
	if got, want := s.View(start).FleetSize, 40; got != want {
		t.Errorf("after a heartbeat: got %d hosts, want %d", got, want)
	}
	if got, want := s.KnownHosts(), 2; got != want {
		t.Errorf("known hosts: got %d, want %d", got, want)
	}
	if got, want := s.View(start.Add(time.Minute)).FleetSize, 2; got != want {
		t.Errorf("after a minute of silence: got %d hosts, want %d", got, want)
	}
}
