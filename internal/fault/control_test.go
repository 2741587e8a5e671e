package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/store"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	"github.com/quetzalstack/quetzalstack/internal/sample"
)

const (
	controlCluster = 200

	// controlWarmUp is the time for the membership to converge before the measurement.
	controlWarmUp = 15 * time.Second

	// controlDuration is the duration of the measurement.
	controlDuration = 20 * time.Second

	// clockTick is the unit of CPU time in /proc on Linux.
	clockTick = 10 * time.Millisecond
)

// usage is the cumulative CPU time and traffic, and the memory, of one or more nodes.
type usage struct {
	processor time.Duration
	resident  int64
	bytes     int64
}

// controlFleet is a fleet of node processes for benchmarks.
type controlFleet struct {
	b          *testing.B
	platform   *stub.Stub
	client     *store.Client
	nodes      []*exec.Cmd
	localAddrs []netip.AddrPort
}

// BenchmarkControl measures the traffic, CPU time and memory of the control plane per node
// for several fleet sizes, without requests. The settings change once during the
// measurement.
func BenchmarkControl(b *testing.B) {
	for i, n := range []int{10, 40, 120} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) { measureControl(b, controlCluster+i, n) })
	}
}

func measureControl(b *testing.B, number, count int) {
	f := startFleet(b, number, count)
	f.announceAll()
	time.Sleep(controlWarmUp)
	before, reads, writes := f.usage(), f.platform.Counts().Reads, f.platform.Counts().Writes
	time.Sleep(controlDuration / 2)
	f.putSettings()
	time.Sleep(controlDuration / 2)
	after := f.usage()
	seconds := controlDuration.Seconds()
	b.ReportMetric(float64(after.bytes-before.bytes)/seconds/float64(count), "bytes/s/node")
	b.ReportMetric(100*(after.processor-before.processor).Seconds()/seconds/float64(count), "%core/node")
	b.ReportMetric(float64(after.resident)/float64(count)/(1<<20), "MB/node")
	b.ReportMetric(float64(f.platform.Counts().Reads-reads)/seconds, "platform-reads/s")
	b.ReportMetric(float64(f.platform.Counts().Writes-writes)/seconds, "platform-writes/s")
}

// Load of BenchmarkAdded: addedCallers concurrent callers, each with a pause of
// addedInterval before a request, after addedWarmUp warm-up requests.
const (
	addedCallers  = 4
	addedInterval = 10 * time.Millisecond
	addedWarmUp   = 2000
)

// BenchmarkAdded measures the latency that nodes add: the same request is sent to a target
// directly, through the node on its host, and through two nodes. Nodes are separate
// processes.
func BenchmarkAdded(b *testing.B) {
	f := startFleet(b, controlCluster+10, 3)
	if _, err := admin.AddKey(context.Background(), f.client, "bench", "cebu", mesh.HashKey("added-key")); err != nil {
		b.Fatal(err)
	}
	target := netip.AddrPortFrom(f.localAddrs[1].Addr(), targetPort)
	l, err := net.Listen("tcp", target.String())
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = sample.New("ledger", f.localAddrs[1], sample.WithSlots(64)).Run(ctx, l) }()
	for _, c := range []struct {
		name, path string
		addr       netip.AddrPort
	}{
		{"direct", "/x", target},
		{"one-node", "/ledger/x", netip.AddrPortFrom(f.localAddrs[1].Addr(), callerPort)},
		{"two-nodes", "/ledger/x", netip.AddrPortFrom(f.localAddrs[0].Addr(), callerPort)},
	} {
		url := "http://" + c.addr.String() + c.path
		measureAdded(b, url, addedWarmUp)
		b.Run(c.name, func(b *testing.B) {
			latencies := measureAdded(b, url, b.N)
			b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-us")
		})
	}
}

// measureAdded sends n requests and returns the latencies of the answered ones in
// microseconds.
func measureAdded(b *testing.B, url string, n int) (latencies *hdrhistogram.Histogram) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: addedCallers}}
	latencies = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range addedCallers {
		callers.Go(func() {
			for k := i; k < n; k += addedCallers {
				time.Sleep(addedInterval)
				started := time.Now()
				if answered(client, url) {
					mu.Lock()
					_ = latencies.RecordValue(time.Since(started).Microseconds())
					mu.Unlock()
				}
			}
		})
	}
	callers.Wait()
	b.ReportMetric(100*float64(latencies.TotalCount())/float64(n), "%answered")
	return latencies
}

func answered(client *http.Client, url string) (ok bool) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer added-key")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func startFleet(b *testing.B, number, count int) (f *controlFleet) {
	b.Helper()
	f = &controlFleet{b: b, platform: stub.New()}
	addr := func(host int, port uint16) netip.AddrPort {
		ip := netip.AddrFrom4([4]byte{127, byte(20 + os.Getpid()%200), byte(number), byte(host + 1)})
		return netip.AddrPortFrom(ip, port)
	}
	platformAddr := addr(platformHost+100, peerPort)
	server := &http.Server{Addr: platformAddr.String(), Handler: f.platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.ListenAndServe() }()
	b.Cleanup(func() { _ = server.Close() })
	f.client = store.New(platformAddr)
	f.putSettings()
	for i := range count {
		text := fmt.Sprintf("zone: %s\ncaller-listen: %s\nlocal-listen: %s\npeer-listen: %s\nplatform: %s\npeers: [%s, %s]\nsecrets: [0123456789abcdef]\n",
			hostZones[i%3], addr(i, callerPort), addr(i, localPort), addr(i, peerPort), platformAddr, addr(0, peerPort), addr(1, peerPort))
		file := filepath.Join(b.TempDir(), "node.yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), nodeVariable+"="+file)
		if err := cmd.Start(); err != nil {
			b.Fatal(err)
		}
		f.nodes = append(f.nodes, cmd)
		f.localAddrs = append(f.localAddrs, addr(i, localPort))
	}
	b.Cleanup(f.stop)
	return f
}

// announceAll announces a target that does not exist to each node.
func (f *controlFleet) announceAll() {
	f.b.Helper()
	for _, local := range f.localAddrs {
		f.announce(local, netip.AddrPortFrom(local.Addr(), targetPort))
	}
}

func (f *controlFleet) stop() {
	for _, n := range f.nodes {
		_ = n.Process.Kill()
		_ = n.Wait()
	}
}

func (f *controlFleet) putSettings() {
	f.b.Helper()
	// The rate limit is far above the load of the benchmarks.
	text := strings.Replace(fmt.Sprintf(settingsTree, false), "{rate: 1000, burst: 1000}", "{rate: 100000, burst: 100000}", 1)
	if _, err := admin.PutSettings(context.Background(), f.client, "bench", []byte(text)); err != nil {
		f.b.Fatal(err)
	}
}

// announce announces a target to a node as soon as the node listens.
func (f *controlFleet) announce(local, target netip.AddrPort) {
	f.b.Helper()
	body, _ := json.Marshal(map[string]any{
		"service": mesh.ServiceName("ledger"), "addr": target, "slots": 16, "connections": 160, "incarnation": time.Now().UnixNano(),
	})
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		request, err := http.NewRequest(http.MethodPut, "http://"+local.String()+"/quetzal/target", bytes.NewReader(body))
		if err != nil {
			f.b.Fatal(err)
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
			return
		}
	}
	f.b.Fatalf("node %s does not listen after %v", local, recoveryTimeout)
}

func (f *controlFleet) usage() (sum usage) {
	f.b.Helper()
	for i, n := range f.nodes {
		processor, resident := processUsage(f.b, n.Process.Pid)
		sum.processor += processor
		sum.resident += resident
		sum.bytes += peerBytes(f.b, f.localAddrs[i])
	}
	return sum
}

// processUsage returns the CPU time and resident memory of a process.
func processUsage(b *testing.B, pid int) (processor time.Duration, resident int64) {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * clockTick, pages * int64(os.Getpagesize())
}

// peerBytes returns the number of bytes that a node has exchanged with its peers.
func peerBytes(b *testing.B, local netip.AddrPort) (n int64) {
	b.Helper()
	response, err := http.Get("http://" + local.String() + "/debug/vars")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var vars struct {
		Node struct {
			Sent     int64 `json:"peer-bytes-sent"`
			Received int64 `json:"peer-bytes-received"`
		} `json:"node"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		b.Fatal(err)
	}
	return vars.Node.Sent + vars.Node.Received
}
