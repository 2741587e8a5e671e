package share

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// BatchSize returns the encoded size of a batch. The external test package sets it.
var BatchSize func(from Process, b Batch) (bytes int)

// BenchmarkAdmit measures an admission from a share that the node holds: in one allocation,
// and in as many as a node holds of a contract over 11 zones.
func BenchmarkAdmit(b *testing.B) {
	for _, allocations := range []int{1, 33} {
		b.Run(fmt.Sprintf("allocations-%d", allocations), func(b *testing.B) {
			f := newFleet(1, 1, 1e9, 1e9)
			f.runFor(5 * time.Second)
			a := f.ledgers[f.addrs[0]].accounts[testOrganisation]
			for i := range allocations - 1 {
				root := Process{Addr: addrOf(100 + i)}
				a.openAllocation(f.now, AllocationKey{Lender: root, Root: root}, f.now.Add(testLease), true)
			}
			l, now := f.ledgers[f.addrs[0]], f.now
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				if v, _ := l.Admit(now, testOrganisation, mesh.ClassNormal, now.Add(time.Second), uint64(i)); v != Admitted {
					b.Fatalf("admission %d: got %v, want %v", i, v, Admitted)
				}
			}
		})
	}
}

// arrival selects the node at which the i-th request arrives.
type arrival func(f *fleet, i int) (at netip.AddrPort)

// BenchmarkArrival measures the refusals within the rate, and the messages about shares of one
// organisation per second of simulated time. The one-way delay between zones is 5 ms. Requests
// arrive every 1/90 s under a rate of 100.
func BenchmarkArrival(b *testing.B) {
	cases := []struct {
		name   string
		choose arrival
	}{
		{"steady", func(f *fleet, i int) netip.AddrPort { return f.addrs[i*7%len(f.addrs)] }},
		{"one-node", func(f *fleet, _ int) netip.AddrPort { return f.addrs[len(f.addrs)-1] }},
		{"zone-moves-each-10s", func(f *fleet, i int) netip.AddrPort { return f.addrs[i/900*8%len(f.addrs)+i%8] }},
		{"node-moves-each-10s", func(f *fleet, i int) netip.AddrPort { return f.addrs[i/900*5%len(f.addrs)] }},
	}
	for _, zones := range []int{3, 11} {
		for _, c := range cases {
			b.Run(fmt.Sprintf("%s/zones-%d", c.name, zones), func(b *testing.B) {
				for b.Loop() {
					measureArrival(b, zones, c.choose, 1.0/90)
				}
			})
		}
		b.Run(fmt.Sprintf("above-the-rate/zones-%d", zones), func(b *testing.B) {
			for b.Loop() {
				measureArrival(b, zones, cases[0].choose, 1.0/300)
			}
		})
	}
}

func measureArrival(b *testing.B, zones int, choose arrival, interval float64) {
	f := newFleet(zones, 8, 100, 100)
	f.remoteDelay = 5 * time.Millisecond
	f.runFor(10 * time.Second)
	start, bytes, messages := f.now, f.bytes, f.messages
	n := int(60 / interval)
	for i := range n {
		f.admit(choose(f, i))
		f.runFor(time.Duration(interval * float64(time.Second)))
	}
	f.runFor(time.Second)
	f.check(b)
	seconds := f.now.Sub(start).Seconds() * float64(len(f.addrs))
	b.ReportMetric(100*float64(f.refusals())/float64(n), "%refused")
	b.ReportMetric(float64(f.messages-messages)/seconds, "messages/s/node")
	b.ReportMetric(float64(f.bytes-bytes)/seconds, "B/s/node")
	b.ReportMetric(float64(f.longestWait.Microseconds())/1000, "longest-wait-ms")
}
