package quota

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestBatchesAroundKill guards against a contract that is given out again after nodes were killed: an
// organisation sends a batch, the nodes are killed and started again, and the next batch comes when its
// demand has been low for a while. The store, or a node that lived on, tells what the first one used.
func TestBatchesAroundKill(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts int

		// left is the number of hosts that live on, and rolling is true when the hosts are restarted
		// one after the other.
		left      int
		rolling   bool
		storeDown bool
	}{
		{"all of 6", 6, 0, false, false},
		{"all of 6, store down", 6, 0, false, true},
		{"all but one of 6", 6, 1, false, false},
		{"all but one of 6, store down", 6, 1, false, true},
		{"half of 13", 13, 7, false, false},
		{"13 one after the other", 13, 13, true, false},
		{"13 one after the other, store down", 13, 13, true, true},
		{"all of 60", 60, 0, false, false},
	} {
		for _, gap := range []time.Duration{500 * time.Millisecond, 2300 * time.Millisecond, 3500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, next batch after %v", c.name, gap), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(6) {
					r := newSimulation(seed, c.hosts, 0, mesh.Contract{Organisation: "a", Rate: 40, Burst: 40})
					r.setReportInterval()
					r.run(8 * time.Second)
					r.storeDown = c.storeDown
					r.spread(300, c.hosts, 0)
					r.run(time.Second)
					r.spread(0, c.hosts, 0)
					switch {
					case c.rolling:
						for _, h := range r.hosts {
							r.restart(h)
							r.run((gap / time.Duration(c.hosts)).Truncate(step))
						}
					default:
						killed := r.hosts[c.left:]
						for _, h := range killed {
							h.down = true
						}
						r.run(300 * time.Millisecond)
						for _, h := range killed {
							h.down = false
							r.restart(h)
						}
						r.run(gap)
					}
					r.spread(300, c.hosts, 0)
					r.run(1500 * time.Millisecond)
					r.spread(0, c.hosts, 0)
					r.run(time.Second)
					if got, want := r.maxInWindow(), r.windowBound(); got > want {
						t.Errorf("seed %d: got %d requests in a window of %v, want at most %d", seed, got, window, want)
					}
				}
			})
		}
	}
}

// TestStartBesideOthers guards against refused requests within the contract in the seconds after some
// nodes were restarted, when the others know what was admitted.
func TestStartBesideOthers(t *testing.T) {
	for _, c := range []struct{ hosts, restarted int }{{13, 1}, {13, 6}, {65, 20}} {
		t.Run(fmt.Sprintf("%d of %d hosts", c.restarted, c.hosts), func(t *testing.T) {
			t.Parallel()
			admitted, refused := 0, 0
			for seed := range uint64(6) {
				r := newSimulation(seed, c.hosts, 159, mesh.Contract{Organisation: "a", Rate: 254, Burst: 254})
				r.run(2 * window)
				for _, h := range r.hosts[:c.restarted] {
					r.restart(h)
				}
				r.storeDown = true
				r.run(500 * time.Millisecond)
				r.admitted, r.refused = nil, nil
				r.run(window)
				admitted += sum(r.admitted)
				refused += sum(r.refused)
			}
			if got, want := float64(refused)/float64(admitted+refused), 0.05; got > want {
				t.Errorf("got %.4f of %d requests refused, want at most %g", got, admitted+refused, want)
			}
		})
	}
}

// TestWindowWithoutNegativeSlots guards against a window that no host can decode, so that all take its
// sender for silent: a slot of a report may hold less than nothing.
func TestWindowWithoutNegativeSlots(t *testing.T) {
	now := time.Unix(1e9, 0)
	b := New()
	self := netip.MustParseAddrPort("10.0.0.1:7000")
	b.SetFleet(now, Fleet{Self: self, Candidates: []netip.AddrPort{self}, ZoneSize: 1, ZoneSizes: []int{1, 1}})
	b.Configure(now, []mesh.Contract{{Organisation: "a", Rate: 100, Burst: 100}})
	for range windowSlots {
		now = now.Add(slotLength)
		b.Tick(now)
	}
	r := Report{From: netip.MustParseAddrPort("10.0.0.2:7000"), Incarnation: 1, Usage: map[mesh.OrganisationName]Usage{
		"a": {Offered: 40, Admitted: 40, Recent: []Slot{{Offered: 5, Admitted: 5}, {Offered: 15, Admitted: 15}}},
	}}
	b.ApplyReport(now, r)
	now = now.Add(slotLength)
	b.Tick(now)
	r.Usage["a"] = Usage{Offered: 41, Admitted: 41, Recent: []Slot{{Offered: 2, Admitted: 2}, {Offered: 6, Admitted: 6}, {Offered: 16, Admitted: 16}}}
	b.ApplyReport(now, r)
	slots := b.LocalWindow(now)["a"]
	if len(slots) == 0 {
		t.Fatal("got no window, want one for the host that has started")
	}
	for i, got := range slots {
		if want := uint64(41); got > want {
			t.Errorf("slot %d: got %d requests, want at most %d", i, got, want)
		}
	}
}

// TestRecords guards against a record for each slot of a steady demand, and against a record that stays
// high for good.
func TestRecords(t *testing.T) {
	r := newSimulation(1, 13, 159, mesh.Contract{Organisation: "a", Rate: 254, Burst: 254})
	r.run(2 * window)
	leader := r.byZone[0][0].limiter
	written := 0
	last := leader.recorder.recorded["a"]
	for range 240 {
		r.run(slotLength)
		if n := leader.recorder.recorded["a"]; n != last {
			written, last = written+1, n
		}
	}
	if want := 12; written > want {
		t.Errorf("got %d records in a minute of a steady demand, want at most %d", written, want)
	}
	if used := uint64(159 * 5); last.Window < used || last.Window > used*5/4 || last.Second < used/5 || last.Second > used/5*3/2 {
		t.Errorf("got %+v recorded at a usage of about %d, want at most a quarter more in a window and half in a second", last, used)
	}
	r.spread(0, 13, 0)
	r.run(lowerTime + 2*window)
	if got := leader.recorder.recorded["a"]; got != (mesh.ContractUsage{}) {
		t.Errorf("got %+v recorded without a demand, want none", got)
	}
}
