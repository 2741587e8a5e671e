package accept

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
)

// serveModes are the ways of serving whose cost is compared.
var serveModes = []struct {
	name  string
	serve func(*http.Server, net.Listener) error
}{
	{"net-http", (*http.Server).Serve},
	{"accept", Serve},
}

// dialServer returns connections to a new server.
func dialServer(b *testing.B, serve func(*http.Server, net.Listener) error, conns int) (callers []net.Conn) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	done := make(chan error, 1)
	go func() { done <- serve(s, l) }()
	b.Cleanup(func() {
		for _, c := range callers {
			_ = c.Close()
		}
		_ = s.Close()
		<-done
	})
	for range conns {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		callers = append(callers, c)
	}
	return callers
}

func roundTrip(b *testing.B, c net.Conn, answers *bufio.Reader) {
	if _, err := io.WriteString(c, get("/")); err != nil {
		b.Fatal(err)
	}
	answer, err := http.ReadResponse(answers, nil)
	if err != nil {
		b.Fatal(err)
	}
	_ = answer.Body.Close()
}

// BenchmarkRequest measures one request on a kept connection.
func BenchmarkRequest(b *testing.B) {
	for _, m := range serveModes {
		b.Run(m.name, func(b *testing.B) {
			c := dialServer(b, m.serve, 1)[0]
			answers := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				roundTrip(b, c, answers)
			}
		})
	}
}

// BenchmarkIdleConnection measures the memory of a connection that has served a request.
func BenchmarkIdleConnection(b *testing.B) {
	const conns = 500
	for _, m := range serveModes {
		b.Run(m.name, func(b *testing.B) {
			for b.Loop() {
				callers := dialServer(b, m.serve, conns)
				before := memoryInUse()
				for _, c := range callers {
					roundTrip(b, c, bufio.NewReader(c))
				}
				b.ReportMetric(float64(memoryInUse()-before)/conns, "B/conn")
			}
		})
	}
}

func memoryInUse() (bytes int64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
