package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// fill returns a state with n hosts in 11 zones, each with one target.
func fill(n int) (s *State) {
	s = New(start, hostOf(0, "z0"), rand.New(rand.NewPCG(1, 1)))
	var rows []Row
	for i := 1; i < n; i++ {
		h := hostOf(i, mesh.ZoneName(fmt.Sprint("z", i%11)))
		h.Targets = []mesh.Target{targetOf(i, mesh.ServiceName(fmt.Sprint("service-", i%190)))}
		rows = append(rows, Row{Host: h})
	}
	s.Step(start, Compared{From: Sender{Host: addrOf(1)}, Rows: rows})
	return s
}

// benchmarkSizes runs a benchmark over tables of several sizes.
func benchmarkSizes(b *testing.B, run func(b *testing.B, s *State, n int)) {
	for _, n := range []int{50, 500, 7500} {
		b.Run(fmt.Sprint("hosts-", n), func(b *testing.B) {
			s := fill(n)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s, n)
		})
	}
}

// BenchmarkChange measures a pushed row that changes a host and its target.
func BenchmarkChange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *State, n int) {
		for i := range b.N {
			h := hostOf(1+i%(n-1), mesh.ZoneName(fmt.Sprint("z", (1+i%(n-1))%11)))
			h.Revision = uint64(i + 1)
			h.Targets = []mesh.Target{targetOf(i, mesh.ServiceName(fmt.Sprint("service-", i%190)))}
			s.Step(start, PushReceived{From: Sender{Host: addrOf(1), Incarnation: h.Incarnation + 1<<40}, Rows: []Row{{Host: h}}})
		}
	})
}

// BenchmarkSecond measures one tick with three received heartbeats.
func BenchmarkSecond(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *State, _ int) {
		now := start
		for range b.N {
			now = now.Add(time.Second)
			for _, a := range s.neighbours(s.self, -1) {
				h, _ := s.View().Host(a)
				s.Step(now, MessageReceived{From: Sender{Host: a, Incarnation: h.Incarnation}})
			}
			s.Step(now, TimerExpired{})
		}
	})
}

// BenchmarkPeer measures the selection of a random peer.
func BenchmarkPeer(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *State, _ int) {
		for i := range b.N {
			s.View().Peer(i % s.View().PeerCount())
		}
	})
}
