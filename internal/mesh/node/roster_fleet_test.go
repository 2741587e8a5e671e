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

// rosterWaitTimeout limits each wait for a change for which the requirements allow a few
// seconds. No test asserts a shorter time.
const rosterWaitTimeout = 10 * time.Second

// testLeaveTime is the setting leave-time of test hosts.
const testLeaveTime = time.Second

const testTree = `
settings: {timeout: 5s, retries: 3, open: true, cold-limit: 64}
zones: {north: {region: luzon}}
services: {ledger: {routes: {pay: {path: /}}}}
`

// fakePlatform is a stub of the platform with a client of it.
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
	if _, err := admin.PutSettings(t.Context(), p.client, "test", []byte(testTree)); err != nil {
		t.Fatal(err)
	}
	return p
}

// hostRows returns the keys of all host rows at the platform.
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

// testHost is a host with a target and a node, which runs in this process or in its own.
type testHost struct {
	Settings
	target *target.Target
	cmd    *exec.Cmd

	// done receives the error with which the node ended and is then closed.
	done chan error
	node *Node
	stop context.CancelFunc
}

// firstPort and lastPort limit the ports of test hosts. They are below the system's
// range of ephemeral ports: an outgoing connection could otherwise take a port after it
// was found free and before the node starts.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

// freePort returns a port without a listener. It holds the fork lock, since a child
// process forked at the same time would keep the port open until its exec.
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

// newHost returns host i, not started yet. Each i has an IP address of its own.
func newHost(t *testing.T, p *fakePlatform, i int, peers ...netip.AddrPort) (h *testHost) {
	t.Helper()
	ip := fmt.Sprintf("127.0.1.%d", i)
	return &testHost{Settings: Settings{
		Zone: "north", CallerListen: freePort(t, ip), LocalListen: freePort(t, ip), PeerListen: freePort(t, ip),
		Platform: p.addr, Peers: peers, Secrets: []string{"0123456789abcdef0123456789abcdef"}, LeaveTime: testLeaveTime,
	}}
}

// startInProcess starts the node in the test process.
func (h *testHost) startInProcess(t *testing.T, p *fakePlatform) {
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

// startProcess starts the node in a child process, which is killed by its id when the
// test ends.
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

// cleanUp stops a node when its test ends. A node that outlived its test could reach
// the platform of another test on the same port.
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

// startTarget starts a target of the host in the test process.
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

// hosts returns the number of hosts that the node knows in each state, or nil if the
// node does not answer.
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

// waitFor polls a condition until it holds, and fails the test after rosterWaitTimeout.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(rosterWaitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: not seen within %v", what, rosterWaitTimeout)
}

// waitHosts waits until the node knows exactly want hosts in the state.
func (h *testHost) waitHosts(t *testing.T, state string, want int) {
	t.Helper()
	defer func() {
		if t.Failed() && len(h.done) > 0 {
			t.Logf("node %s has ended: %v", h.PeerListen, <-h.done)
		}
	}()
	waitFor(t, fmt.Sprintf("%s knows %d hosts as %s", h.PeerListen, want, state), func() bool { return h.hosts()[state] == want })
}

// waitExecution waits until the target of the host has started another request.
func (h *testHost) waitExecution(t *testing.T) {
	t.Helper()
	before := len(h.target.Executions())
	waitFor(t, "a request at "+h.PeerListen.String(), func() bool { return len(h.target.Executions()) > before })
}

// stream is a closed-loop load on one node that counts the answers.
type stream struct {
	to      netip.AddrPort
	stop    context.CancelFunc
	stopped sync.WaitGroup

	mu sync.Mutex

	// outcomes counts the answers by outcome and code. A request without a complete
	// answer counts as "cut".
	outcomes map[string]int

	// ids holds the request ids by outcome.
	ids map[header.OutcomeValue][]string
}

const (
	streamWorkers = 8

	// retryPause is the time between a refusal and the next request. Requests are
	// refused until the targets have announced themselves.
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

// send sends one request. It reports false when the node closes the connection or
// refuses new connections.
func (s *stream) send(client *http.Client) (more bool) {
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

// waitRan waits until more further requests have run.
func (s *stream) waitRan(t *testing.T, more int) {
	t.Helper()
	from := s.count("ran")
	waitFor(t, "requests run", func() bool { return s.count("ran") >= from+more })
}

// stopAndCheck stops the stream and compares the outcomes of its requests with their
// executions at the targets.
func (s *stream) stopAndCheck(t *testing.T, hosts ...*testHost) {
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

// checkComplete fails the test if an answer was incomplete or its outcome unknown.
func (s *stream) checkComplete(t *testing.T) {
	t.Helper()
	if s.outcomes["cut"] > 0 || len(s.ids[header.Unknown]) > 0 {
		t.Errorf("answers at %s: got %v, want none cut off or unknown", s.to, s.outcomes)
	}
}
