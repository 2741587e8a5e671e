package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.yaml.in/yaml/v3"

	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/store"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	target "github.com/quetzalstack/quetzalstack/internal/sample"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// waitBound is how long a test waits for what the requirements grant a few
// seconds. No test asserts a shorter time.
const waitBound = 10 * time.Second

// testLeaveTime is the leave time of test hosts.
const testLeaveTime = time.Second

const testTree = `
settings: {timeout: 5s, retries: 3, open: true, cold-limit: 64}
zones: {north: {region: luzon}}
services: {ledger: {routes: {pay: {path: /}}}}
`

// fakePlatform is the stand-in for the platform with its client.
type fakePlatform struct {
	*stub.Stub
	addr   netip.AddrPort
	client *store.Client
}

func newPlatform(t *testing.T) (p *fakePlatform) {
	t.Helper()
	p = &fakePlatform{Stub: stub.New()}
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	p.addr = netip.MustParseAddrPort(server.Listener.Addr().String())
	p.client = store.New(p.addr)
	if _, err := admin.Put(t.Context(), p.client, "test", []byte(testTree)); err != nil {
		t.Fatal(err)
	}
	return p
}

// hostRows returns the addresses that have a row at the platform.
func (p *fakePlatform) hostRows(t *testing.T) (rows string) {
	t.Helper()
	found, err := p.client.List(t.Context(), hostsPrefix, "", 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range found {
		rows += r.Key + " "
	}
	return rows
}

// testHost is one host: a node, in this process or its own, and its target.
type testHost struct {
	Settings
	target *target.Target
	cmd    *exec.Cmd

	// done receives what the node returned at its end and is then closed.
	done chan error
	node *Node
	stop context.CancelFunc
}

// firstPort and lastPort bound the ports of test hosts. They are below the
// range that the system takes for outgoing connections, one of which may take a
// port between the moment it is found free and the start of a node.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

// freePort returns a port that nothing listens at. No process may be started
// meanwhile: it would hold the port open until it has loaded its program.
func freePort(t testing.TB, ip string) (addr netip.AddrPort) {
	t.Helper()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return netip.MustParseAddrPort(l.Addr().String())
	}
	t.Fatalf("no free port at %s", ip)
	return addr
}

// newHost returns the settings of host i of a test. Hosts of a test differ in
// their addresses.
func newHost(t *testing.T, p *fakePlatform, i int, peers ...netip.AddrPort) (h *testHost) {
	t.Helper()
	ip := fmt.Sprintf("127.0.1.%d", i)
	return &testHost{Settings: Settings{
		Zone: "north", CallerListen: freePort(t, ip), LocalListen: freePort(t, ip), PeerListen: freePort(t, ip),
		Platform: p.addr, Peers: peers, Secrets: []string{"0123456789abcdef0123456789abcdef"}, LeaveTime: testLeaveTime,
	}}
}

// startHere runs the node in this process.
func (h *testHost) startHere(t *testing.T, p *fakePlatform) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n, err := New(h.Settings, WithLogger(logger), WithPlatform(p.client))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	h.node, h.stop, h.done = n, cancel, done
	go func() {
		done <- n.Run(ctx)
		close(done)
	}()
	cleanUp(t, cancel, done)
}

// startProcess runs the node in a process of its own, which the test kills by
// its id when it ends.
func (h *testHost) startProcess(t *testing.T) {
	t.Helper()
	text, err := yaml.Marshal(h.Settings)
	if err != nil {
		t.Fatal(err)
	}
	h.cmd = exec.Command(os.Args[0])
	h.cmd.Env = append(os.Environ(), nodeVariable+"="+string(text))
	if err := h.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	h.done = make(chan error, 1)
	cmd, done := h.cmd, h.done
	go func() {
		done <- cmd.Wait()
		close(done)
	}()
	cleanUp(t, func() { _ = cmd.Process.Kill() }, done)
}

// cleanUp ends a node with its test. A node that outlived its test could reach
// the platform of another test that is given the same port.
func cleanUp(t *testing.T, stop func(), done <-chan error) {
	t.Cleanup(func() {
		stop()
		for err := range done {
			t.Logf("node ended: %v", err)
		}
	})
}

func (h *testHost) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := h.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// startTarget runs a target of the host in this process.
func (h *testHost) startTarget(t *testing.T, work time.Duration) {
	t.Helper()
	listener, err := net.Listen("tcp", h.PeerListen.Addr().String()+":0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h.target = target.New("ledger", h.LocalListen, target.WithSlots(32), target.WithServiceTime(work))
	go func() { _ = h.target.Run(ctx, listener) }()
}

// hosts returns how many hosts the node knows in each state, or nothing while
// it does not answer.
func (h *testHost) hosts() (counts map[string]int) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.LocalListen.String() + "/debug/vars")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var vars struct {
		Node struct {
			Hosts map[string]int `json:"hosts"`
		} `json:"node"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return nil
	}
	return vars.Node.Hosts
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: not seen within %v", what, waitBound)
}

// waitHosts waits until the node knows as many hosts in a state.
func (h *testHost) waitHosts(t *testing.T, state string, want int) {
	t.Helper()
	defer func() {
		if t.Failed() && len(h.done) > 0 {
			t.Logf("%s has ended: %v", h.PeerListen, <-h.done)
		}
	}()
	waitFor(t, fmt.Sprintf("%s knows %d hosts as %s", h.PeerListen, want, state), func() bool { return h.hosts()[state] == want })
}

// waitWork waits until the target of the host has begun another request.
func (h *testHost) waitWork(t *testing.T) {
	t.Helper()
	before := len(h.target.Executions())
	waitFor(t, "a request at "+h.PeerListen.String(), func() bool { return len(h.target.Executions()) > before })
}

// stream sends requests to one node without a pause and keeps the answers.
type stream struct {
	to      netip.AddrPort
	stop    context.CancelFunc
	stopped sync.WaitGroup

	mu sync.Mutex

	// outcomes counts the answers by outcome and code. A request whose answer
	// broke off counts as "cut".
	outcomes map[string]int

	// ids holds the requests by outcome.
	ids map[header.OutcomeValue][]string
}

const (
	streamWorkers = 8

	// retryPause is how long a caller waits after a refusal, as they come
	// before the targets have announced themselves.
	retryPause = 20 * time.Millisecond
)

func startStream(t *testing.T, to netip.AddrPort) (s *stream) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s = &stream{to: to, stop: cancel, outcomes: make(map[string]int), ids: make(map[header.OutcomeValue][]string)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamWorkers}}
	for range streamWorkers {
		s.stopped.Go(func() {
			for ctx.Err() == nil {
				if !s.send(client) {
					return
				}
			}
		})
	}
	return s
}

// send reports false when the node says that it closes the connection or takes
// no more connections.
func (s *stream) send(client *http.Client) (goOn bool) {
	response, err := client.Post("http://"+s.to.String()+"/ledger/pay", "text/plain", strings.NewReader("body"))
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return false
	}
	if err == nil {
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
	}
	if err != nil {
		s.record("cut", "", "")
		return true
	}
	h := response.Header
	outcome := header.OutcomeValue(h.Get(header.Outcome))
	s.record(outcome, h.Get(header.Code), h.Get(header.RequestID))
	if outcome != header.Ran {
		time.Sleep(retryPause)
	}
	return !response.Close
}

func (s *stream) record(outcome header.OutcomeValue, code, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[strings.TrimSpace(string(outcome)+" "+code)]++
	s.ids[outcome] = append(s.ids[outcome], id)
}

func (s *stream) count(outcome string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes[outcome]
}

// waitRan waits until further requests have run.
func (s *stream) waitRan(t *testing.T, more int) {
	t.Helper()
	from := s.count("ran")
	waitFor(t, "requests run", func() bool { return s.count("ran") >= from+more })
}

// end stops the stream and compares its answers with what the targets ran.
func (s *stream) end(t *testing.T, hosts ...*testHost) {
	t.Helper()
	s.stop()
	s.stopped.Wait()
	t.Logf("answers at %s: %v", s.to, s.outcomes)
	runs := make(map[string]int)
	for _, h := range hosts {
		for id, n := range h.target.Executions() {
			runs[id] += n
		}
	}
	for outcome, want := range map[header.OutcomeValue]int{header.Ran: 1, header.NotRun: 0} {
		for _, id := range s.ids[outcome] {
			if runs[id] != want {
				t.Errorf("request %s answered %s: got %d executions, want %d", id, outcome, runs[id], want)
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("request %s: got %d executions, want at most 1", id, n)
		}
	}
}

// wantWhole fails when an answer broke off or is unknown.
func (s *stream) wantWhole(t *testing.T) {
	t.Helper()
	if s.outcomes["cut"] > 0 || len(s.ids[header.Unknown]) > 0 {
		t.Errorf("answers at %s: got %v, want none cut or unknown", s.to, s.outcomes)
	}
}
