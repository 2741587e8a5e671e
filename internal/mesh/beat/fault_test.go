package beat

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

func testFault() (f Fault) {
	return Fault{From: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 3, Service: "s", Revision: mesh.StoreVersion{Era: 2, Number: 7}, Reason: "6 of 20 answers were failures"}
}

// TestFaultSurvivesEncoding guards against faults that change on the wire, and against ones that name
// nothing.
func TestFaultSurvivesEncoding(t *testing.T) {
	want := testFault()
	data, err := EncodeFault(&want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeFault(data); err != nil || *got != want || !IsFault(data) || IsRollout(data) {
		t.Errorf("got %+v (%v), want %+v", got, err, want)
	}
	for name, change := range map[string]func(f *Fault){
		"no host":             func(f *Fault) { f.From = netip.AddrPort{} },
		"no service":          func(f *Fault) { f.Service = "" },
		"no reason":           func(f *Fault) { f.Reason = "" },
		"a long service name": func(f *Fault) { f.Service = mesh.ServiceName(strings.Repeat("s", maxNameBytes+1)) },
	} {
		f := testFault()
		change(&f)
		data, err := EncodeFault(&f)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeFault(data); err == nil {
			t.Errorf("%s: got %+v, want an error", name, got)
		}
	}
	long := testFault()
	long.Reason = strings.Repeat("é", maxFaultReasonBytes)
	data, err = EncodeFault(&long)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeFault(data); err != nil || !strings.HasPrefix(long.Reason, got.Reason) || len(got.Reason) < maxFaultReasonBytes-1 {
		t.Errorf("got %+v (%v), want the reason cut", got, err)
	}
}

// FuzzDecodeFault guards against datagrams that end the process, and against faults that name nothing.
func FuzzDecodeFault(f *testing.F) {
	fault := testFault()
	data, err := EncodeFault(&fault)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := DecodeFault(data)
		if err != nil {
			return
		}
		if !got.From.IsValid() || got.Service == "" || got.Reason == "" {
			t.Errorf("got the invalid fault %+v", got)
		}
		if _, err := EncodeFault(got); err != nil {
			t.Errorf("got %v from the decoded fault, want it encoded", err)
		}
	})
}
