package beat

import (
	"net/netip"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/quota"
)

func sample(now time.Time) (b *Beat) {
	addr := netip.MustParseAddrPort("10.0.0.1:7000")
	return &Beat{
		Host: mesh.Host{Addr: addr, Zone: "a", Incarnation: 7, Revision: 3, State: mesh.HostDraining, Targets: []mesh.Target{{
			Service: "ledger", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Name: "i", Slots: 5, Incarnation: 9,
			Draining: true, ColdUntil: now.Add(time.Second),
		}}},
		Usage: quota.Report{From: addr, Incarnation: 7, Usage: map[mesh.OrganisationName]quota.Usage{"o": {Offered: 4, Admitted: 2, Recent: []quota.Slot{{Offered: 1}, {Offered: 2, Admitted: 1}}}}},
		AsOf:  mesh.StoreVersion{Era: 2, Number: 11}, RulesVersion: 5, ConfigDigest: 1 << 63, Carries: true, KnownHosts: 13,
	}
}

// TestRoundTrip guards against a field that is lost in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	now := time.Unix(1e9, 0)
	want := sample(now)
	data, err := Encode(now, want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(now, data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if len(data) > 150 {
		t.Errorf("got %d bytes, want at most 150: beats go to all hosts", len(data))
	}
}

// TestWindowRoundTrip guards against a window of admitted requests that is lost or invalid, and against
// one that says nothing and counts as missing.
func TestWindowRoundTrip(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, want := range []map[mesh.OrganisationName][]uint64{nil, {}, {"a": {0, 300, 1}, "b": {1 << 20}}} {
		b := sample(now)
		b.Usage.Window = want
		data, err := Encode(now, b)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(now, data)
		if err != nil || !reflect.DeepEqual(got.Usage.Window, want) {
			t.Errorf("got window %v (%v), want %v", got.Usage.Window, err, want)
		}
	}
	for _, slots := range [][]byte{{0x80}, encodeSlots([]uint64{maxSlotRequests + 1})} {
		if got, err := decodeWindow(map[string][]byte{"a": slots}); err == nil {
			t.Errorf("slots % x: got window %v, want an error", slots, got)
		}
	}
}

// TestBadDatagrams guards against an invalid datagram that is partly used or that crashes the
// node.
func TestBadDatagrams(t *testing.T) {
	now := time.Unix(1e9, 0)
	data, err := Encode(now, sample(now))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range data {
		if _, err := Decode(now, data[:cut]); err == nil {
			t.Errorf("cut to %d bytes: got a beat, want an error", cut)
		}
	}
	for i := range data {
		for _, flip := range []byte{0x01, 0x80, 0xff} {
			changed := append([]byte(nil), data...)
			changed[i] ^= flip
			if b, err := Decode(now, changed); err == nil && (b.Host.Zone == "" || !b.Host.Addr.IsValid()) {
				t.Errorf("byte %d: got host %+v, want a zone and an address", i, b.Host)
			}
		}
	}
}

// BenchmarkDecode measures a heartbeat with nine organisations, as in a fleet of 85 hosts with 85
// contracts.
func BenchmarkDecode(b *testing.B) {
	now := time.Unix(1e9, 0)
	sent := sample(now)
	for i := range 9 {
		sent.Usage.Usage[mesh.OrganisationName("organisation-"+strconv.Itoa(i))] = quota.Usage{Offered: 1000, Admitted: 900, Recent: make([]quota.Slot, 5)}
	}
	data, err := Encode(now, sent)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(now, data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "datagram-B")
}
