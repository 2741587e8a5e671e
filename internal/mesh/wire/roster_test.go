package wire_test

import (
	"math/rand/v2"
	"net/netip"
	"reflect"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/roster"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
)

var start = time.Unix(1_800_000_000, 0)

func rowOf(i int) (r roster.Row) {
	ip := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return roster.Row{Host: mesh.Host{
		Addr: netip.AddrPortFrom(ip, 8080), Zone: mesh.ZoneName("ee-north-" + string(rune('a'+i%11))),
		Incarnation: mesh.NewIncarnation(start) + mesh.Incarnation(i),
		Targets: []mesh.Target{{
			Service: mesh.ServiceName("settlement-" + string(rune('a'+i%190))), Addr: netip.AddrPortFrom(ip, 9000),
			Slots: 180, Connections: 1200, Incarnation: mesh.NewIncarnation(start),
		}},
	}}
}

func rowsOf(n int) (rows []roster.Row) {
	for i := range n {
		rows = append(rows, rowOf(i))
	}
	return rows
}

// TestRowRoundTrip guards against a field of a membership entry, or the age of its end
// time, that is lost between hosts.
func TestRowRoundTrip(t *testing.T) {
	want := rowOf(1)
	want.Host.State, want.Host.Revision, want.DownSince = mesh.HostSuspect, 3, start
	received := start.Add(time.Hour)
	got, err := wire.ToRow(wire.FromRow(want, start.Add(time.Minute)), received)
	want.DownSince = received.Add(-time.Minute)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
}

// TestRowRejected guards against membership entries with an invalid address or state that
// are accepted.
func TestRowRejected(t *testing.T) {
	for name, change := range map[string]func(*wire.HostRow){
		"no address":      func(r *wire.HostRow) { r.Addr = nil },
		"short address":   func(r *wire.HostRow) { r.Addr = r.Addr[:3] },
		"target address":  func(r *wire.HostRow) { r.Targets[0].Addr = []byte{1} },
		"state of future": func(r *wire.HostRow) { r.State = 9 },
	} {
		m := wire.FromRow(rowOf(1), start)
		change(m)
		if _, err := wire.ToRow(m, start); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

// stateWithHosts returns a membership state that contains n hosts.
func stateWithHosts(n int) (s *roster.State) {
	s = roster.New(start, rowOf(n).Host, rand.New(rand.NewPCG(1, 1)))
	rows := rowsOf(n)
	for len(rows) > 0 {
		part := rows[:min(len(rows), 256)]
		rows = rows[len(part):]
		s.Step(start, roster.Compared{From: roster.Sender{Host: part[0].Host.Addr}, Rows: part})
	}
	return s
}

// TestFigures logs the traffic and memory cost of membership for several fleet sizes.
func TestFigures(t *testing.T) {
	sender := &wire.Sender{Host: "10.0.29.76:8080", Incarnation: uint64(mesh.NewIncarnation(start))}
	receipt := proto.Size(&wire.Receipt{Sender: sender})
	beat := proto.Size(&wire.Heartbeat{Sender: sender})
	row := proto.Size(wire.FromRow(rowOf(7000), start))
	t.Logf("bytes: row %d, heartbeat %d, receipt %d", row, beat, receipt)
	for _, n := range []int{50, 500, 7500} {
		s := stateWithHosts(n)
		compare := proto.Size(&wire.TableDigests{Sender: sender, Root: s.View().Digest()})
		digests := s.View().Digests()
		digests[5]++
		_, rows, _ := s.View().Differing(digests, 0)
		bucket := proto.Size(&wire.TableDifference{Hosts: wire.FromRows(rows, start)})
		// Each second a host sends three heartbeats and one digest comparison and
		// receives as many. Each of them is answered.
		idle := 2 * (3*(beat+receipt) + compare + receipt)
		push := proto.Size(&wire.HostRows{Sender: sender, Hosts: []*wire.HostRow{wire.FromRow(rowOf(1), start)}}) + receipt
		t.Logf("hosts %d: idle 8 messages and %d B a second both ways; one change: 3 pushes sent and 3 received, %d B each; a differing bucket: %d rows, %d B", n, idle, push, len(rows), bucket)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := stateWithHosts(7500)
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("memory of 7,500 hosts: %d KB", (after.HeapAlloc-before.HeapAlloc)>>10)
	runtime.KeepAlive(s)
}
