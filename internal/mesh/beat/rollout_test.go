package beat

import (
	"math"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

func sampleRollout() (r *RolloutReport) {
	tally := mesh.VersionTally{Service: "ledger", Version: "v2", Route: "read", Sent: 9, Answers: 8, Failures: 1}
	tally.Latencies[5], tally.Latencies[8] = 6, 2
	full := mesh.VersionTally{Service: "ledger", Version: "v1", Route: "read", Sent: 1 << 40, Answers: 1 << 40}
	for i := range full.Latencies {
		full.Latencies[i] = math.MaxUint32
	}
	return &RolloutReport{
		From: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 7,
		Targets: []TargetVersion{{Addr: netip.MustParseAddrPort("10.0.0.1:80"), Name: "i", Service: "ledger", Version: "v2", Running: 3}},
		Tallies: []mesh.VersionTally{tally, full, {Service: "ledger", Version: "v3"}},
		Rollouts: []mesh.Rollout{{
			Order: mesh.RolloutOrder{Service: "ledger", To: "v2", Limit: 12*time.Second + time.Nanosecond, Revision: mesh.StoreVersion{Era: 3, Number: 412}},
			State: mesh.RolloutRolledBack, Step: 4, Share: 0.05, Elapsed: 3 * time.Second, Reason: "40 of 90 answers were failures",
		}},
	}
}

// TestRolloutRoundTrip guards against a field of a report that is lost in encoding or decoding.
func TestRolloutRoundTrip(t *testing.T) {
	for name, want := range map[string]*RolloutReport{"all fields": sampleRollout(), "no entries": {From: sampleRollout().From}} {
		data, err := EncodeRollout(want)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got, err := DecodeRollout(data)
		if err != nil || !reflect.DeepEqual(got, want) || !IsRollout(data) || IsAsk(data) {
			t.Errorf("%s: got %+v (%v), want %+v", name, got, err, want)
		}
	}
}

// TestRolloutReasonCut guards against a report that the receivers cannot decode because its reason was
// cut within a character.
func TestRolloutReasonCut(t *testing.T) {
	r := sampleRollout()
	r.Rollouts[0].Reason = "zürich"[:2]
	data, err := EncodeRollout(r)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeRollout(data); err != nil || got.Rollouts[0].Reason != "z" {
		t.Errorf("got %+v (%v), want the reason z", got, err)
	}
}

// TestInvalidRolloutReports guards against a report that is sent although the receivers ignore it.
func TestInvalidRolloutReports(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	for name, change := range map[string]func(r *RolloutReport){
		"too many targets":    func(r *RolloutReport) { r.Targets = make([]TargetVersion, maxTargets+1) },
		"too many bytes":      func(r *RolloutReport) { r.Tallies = manyTallies(maxTallies, maxNameBytes) },
		"too many tallies":    func(r *RolloutReport) { r.Tallies = manyTallies(maxTallies+1, 1) },
		"long name":           func(r *RolloutReport) { r.Targets[0].Name = long },
		"no service":          func(r *RolloutReport) { r.Tallies[0].Service = "" },
		"negative count":      func(r *RolloutReport) { r.Targets[0].Running = -1 },
		"more failures":       func(r *RolloutReport) { r.Tallies[0].Failures = 9 },
		"share above 1":       func(r *RolloutReport) { r.Rollouts[0].Share = 1.01 },
		"share not a number":  func(r *RolloutReport) { r.Rollouts[0].Share = math.NaN() },
		"unknown state":       func(r *RolloutReport) { r.Rollouts[0].State = mesh.RolloutWithdrawn + 1 },
		"no step":             func(r *RolloutReport) { r.Rollouts[0].Step = 0 },
		"no limit":            func(r *RolloutReport) { r.Rollouts[0].Order.Limit = 0 },
		"no version":          func(r *RolloutReport) { r.Rollouts[0].Order.To = "" },
		"negative time":       func(r *RolloutReport) { r.Rollouts[0].Elapsed = -1 },
		"reason without end":  func(r *RolloutReport) { r.Rollouts[0].Reason = strings.Repeat("x", maxReasonBytes+1) },
		"too many roll-outs":  func(r *RolloutReport) { r.Rollouts = make([]mesh.Rollout, maxRollouts+1) },
		"long version":        func(r *RolloutReport) { r.Tallies[1].Version = mesh.VersionName(long) },
		"many requests there": func(r *RolloutReport) { r.Targets[0].Running = maxRunning + 1 },
	} {
		r := sampleRollout()
		change(r)
		if data, err := EncodeRollout(r); err == nil {
			t.Errorf("%s: got %d bytes, want an error", name, len(data))
		}
	}
}

func manyTallies(n, nameBytes int) (tallies []mesh.VersionTally) {
	name := strings.Repeat("x", nameBytes)
	for range n {
		tallies = append(tallies, mesh.VersionTally{Service: mesh.ServiceName(name), Version: "v", Route: name})
	}
	return tallies
}

// FuzzDecodeRollout guards against a datagram that crashes the node, or that is accepted although
// this node would not send it.
func FuzzDecodeRollout(f *testing.F) {
	data, err := EncodeRollout(sampleRollout())
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{nil, {flagRollout}, data, data[:len(data)/2], append([]byte{flagAsk}, data[1:]...)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRollout(data)
		if err != nil {
			return
		}
		if _, err := EncodeRollout(r); err != nil && len(data) < MaxBytes/2 {
			t.Errorf("got %v for a decoded report, want it to be valid", err)
		}
	})
}
