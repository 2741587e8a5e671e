package link

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// BenchmarkExchange measures a request with a small answer over a connection that is kept, with the
// processor time of both ends.
func BenchmarkExchange(b *testing.B) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Sun, 06 Dec 2026 12:00:00 GMT\r\n" + idHeader + ": request\r\nX-Signature: 6d1f0c7ab2\r\nContent-Length: 200\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		text := []byte(answer + string(make([]byte, 200)))
		for reader := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := c.Write(text); err != nil {
				return
			}
		}
	}()
	p := NewPool(netip.MustParseAddrPort(listener.Addr().String()))
	b.Cleanup(p.Close)
	b.ReportAllocs()
	before := processorTime()
	for b.Loop() {
		answer, _, err := p.Exchange(b.Context(), &Request{
			Method: http.MethodGet, Path: "/", Host: "test", Headers: mesh.Headers{idHeader: {"request"}},
			Match: func(_ int, h mesh.Headers) Match {
				if h[idHeader][0] != "request" {
					return NoMatch
				}
				return MatchByID
			},
		})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			b.Fatal(err)
		}
		_ = answer.Body.Close()
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}

// processorTime returns the processor time that the process has used.
func processorTime() (d time.Duration) {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
