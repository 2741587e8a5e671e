package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/store"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	"github.com/quetzalstack/quetzalstack/internal/sample"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const benchTree = `
settings: {timeout: 5s, retries: 1}
zones:
  luzon-a: {region: luzon}
services:
  ledger:
    routes:
      read: {path: /, settings: {idempotent: true}}
organisations:
  cebu: {rate: 1000000, burst: 1000000}
`

const (
	benchKey    = "bench-key"
	benchSecret = "0123456789abcdef"

	// benchCallers is the number of concurrent callers.
	benchCallers = 4

	// benchPause is the pause of a caller before each request. It keeps the load
	// far below the capacity of the host, so that the benchmark measures the added
	// latency and not the wait for a CPU.
	benchPause = time.Millisecond
)

// freeAddr returns a loopback address with an unused port.
func freeAddr(tb testing.TB) (addr netip.AddrPort) {
	tb.Helper()
	return freePort(tb, "127.0.0.1")
}

// startNode runs a node until the test ends.
func startNode(tb testing.TB, platform mesh.Platform, peers []netip.AddrPort, options ...Option) (s Settings) {
	tb.Helper()
	s = Settings{
		Zone: "luzon-a", CallerListen: freeAddr(tb), LocalListen: freeAddr(tb), PeerListen: freeAddr(tb),
		Peers: peers, Secrets: []string{benchSecret},
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n, err := New(s, append([]Option{WithPlatform(platform), WithLogger(logger)}, options...)...)
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := n.Run(ctx); err != nil {
			tb.Error(err)
		}
	}()
	tb.Cleanup(func() { cancel(); <-ended })
	for _, addr := range []netip.AddrPort{s.CallerListen, s.LocalListen, s.PeerListen} {
		awaitListener(tb, addr)
	}
	return s
}

// awaitListener waits until connections are accepted.
func awaitListener(tb testing.TB, addr netip.AddrPort) {
	tb.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", addr.String()); err == nil {
			conn.Close()
			return
		}
	}
	tb.Fatalf("got no listener at %s in 10s, want one", addr)
}

// startTarget runs a sample target until the test ends.
func startTarget(tb testing.TB, node netip.AddrPort, options ...sample.Option) (addr netip.AddrPort) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = sample.New("ledger", node, options...).Run(ctx, l)
	}()
	tb.Cleanup(func() { cancel(); <-ended })
	return netip.MustParseAddrPort(l.Addr().String())
}

// seedPlatform returns a platform that stores the settings tree and one API key.
func seedPlatform(tb testing.TB, tree string) (platform mesh.Platform) {
	tb.Helper()
	server := httptest.NewServer(stub.New().Handler())
	tb.Cleanup(server.Close)
	p := store.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	ctx := context.Background()
	if _, err := admin.PutSettings(ctx, p, "test", []byte(tree)); err != nil {
		tb.Fatal(err)
	}
	if _, err := admin.AddKey(ctx, p, "test", "cebu", mesh.HashKey(benchKey)); err != nil {
		tb.Fatal(err)
	}
	return p
}

// get sends one request and reports whether the answer was complete with status 200.
func get(client *http.Client, url string) (ran bool) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+benchKey)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// await resends the request until a target answers it.
func await(tb testing.TB, url string) {
	tb.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if get(http.DefaultClient, url) {
			return
		}
	}
	tb.Fatalf("got no answer from %s in 10s, want one", url)
}

// awaitCode resends the request until it is refused with the code.
func awaitCode(tb testing.TB, url string, code header.RefusalCode) {
	tb.Helper()
	var got string
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(url)
		if err != nil {
			continue
		}
		response.Body.Close()
		if got = response.Header.Get(header.Code); got == string(code) {
			return
		}
	}
	tb.Fatalf("got code %q from %s after 10s, want %q", got, url, code)
}

// measureLatency sends b.N requests from benchCallers callers and reports
// percentiles of the latency.
func measureLatency(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	var mu sync.Mutex
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var callers sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	for i := range benchCallers {
		callers.Go(func() {
			for n := i; n < b.N; n += benchCallers {
				time.Sleep(benchPause)
				started := time.Now()
				if !get(client, url) {
					b.Error("got no answer, want one")
					return
				}
				latency := time.Since(started).Microseconds()
				mu.Lock()
				_ = latencies.RecordValue(latency)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-us")
}

// BenchmarkLatency measures the same request sent to the target directly,
// through the node beside it, and through two nodes.
func BenchmarkLatency(b *testing.B) {
	platform := seedPlatform(b, benchTree)
	remote := startNode(b, platform, nil)
	target := startTarget(b, remote.LocalListen, sample.WithSlots(64))
	entry := startNode(b, platform, []netip.AddrPort{remote.PeerListen})
	for _, c := range []struct{ name, url string }{
		{"direct", "http://" + target.String() + "/x"},
		{"one-node", "http://" + remote.CallerListen.String() + "/ledger/x"},
		{"two-nodes", "http://" + entry.CallerListen.String() + "/ledger/x"},
	} {
		await(b, c.url)
		b.Run(c.name, func(b *testing.B) { measureLatency(b, c.url) })
	}
}
