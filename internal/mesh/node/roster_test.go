package node

import (
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// targetLatency is the execution time of a request.
	targetLatency = 100 * time.Millisecond

	// slowTargetLatency is the execution time at the host that fails or leaves. It is
	// above testLeaveTime, so that requests are in flight when the listeners close.
	slowTargetLatency = 1500 * time.Millisecond
)

// TestLeaveCutsNothing guards against a planned stop that interrupts a request, answers
// one with an unknown outcome, or does not delete the platform row of the host.
func TestLeaveCutsNothing(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	staying, leaving, third := newHost(t, p, 11), newHost(t, p, 12), newHost(t, p, 13)
	for _, h := range []*testHost{staying, third, leaving} {
		h.startInProcess(t, p)
	}
	staying.startTarget(t, targetLatency)
	third.startTarget(t, targetLatency)
	leaving.startTarget(t, slowTargetLatency)
	staying.waitHosts(t, "alive", 3)
	s, own := startStream(t, staying.CallerListen), startStream(t, leaving.CallerListen)
	s.waitRan(t, 30)
	waitFor(t, "platform rows", func() bool { return strings.Count(p.hostRows(t), "hosts/north/") == 3 })
	leaving.waitExecution(t)
	leaving.stop()
	if err := <-leaving.done; err != nil {
		t.Errorf("run of the leaving node: got %v, want no error", err)
	}
	s.waitRan(t, 30)
	s.stopAndCheck(t, staying, leaving, third)
	own.stopAndCheck(t, staying, leaving, third)
	s.checkComplete(t)
	own.checkComplete(t)
	staying.waitHosts(t, "left", 1)
	third.waitHosts(t, "left", 1)
	if got := p.hostRows(t); strings.Contains(got, leaving.PeerListen.String()) {
		t.Errorf("platform rows: got %q, want none of %s", got, leaving.PeerListen)
	}
}

// TestFailedListenerEndsNode guards against a node that keeps running after one of its
// listeners failed, or that keeps ports open after it failed to start.
//
// It does not run in parallel: a child process that another test forks inherits the
// ports that this test closes, and holds them open until its exec.
func TestFailedListenerEndsNode(t *testing.T) {
	p := newPlatform(t)
	h := newHost(t, p, 14)
	taken, err := net.Listen("tcp", h.LocalListen.String())
	if err != nil {
		t.Fatal(err)
	}
	h.startInProcess(t, p)
	if err := <-h.done; err == nil {
		t.Error("start with a port taken: got no error")
	}
	_ = taken.Close()
	h.startInProcess(t, p)
	h.waitHosts(t, "alive", 1)
	_ = h.node.servers[1].listener.Close()
	select {
	case err := <-h.done:
		if err == nil {
			t.Error("listener failed: got no error")
		}
	case <-time.After(rosterWaitTimeout):
		t.Fatalf("listener failed: the node still runs after %v", rosterWaitTimeout)
	}
}

// TestKilledNode guards against requests that are still sent to a killed host once it is
// suspect, and against answers whose outcome is not what the targets executed.
func TestKilledNode(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	hosts := startProcesses(t, p, 21, 22, 23)
	s := startStream(t, hosts[0].CallerListen)
	s.waitRan(t, 30)
	hosts[2].waitExecution(t)
	hosts[2].signal(t, syscall.SIGKILL)
	hosts[0].waitHosts(t, "suspect", 1)
	hosts[1].waitHosts(t, "suspect", 1)
	unknown := s.count("unknown answer-lost")
	s.waitRan(t, 30)
	if got := s.count("unknown answer-lost"); got != unknown {
		t.Errorf("answers lost after the host was suspect: got %d more, want none", got-unknown)
	}
	hosts[2].startProcess(t)
	hosts[0].waitHosts(t, "alive", 3)
	hosts[2].waitHosts(t, "alive", 3)
	s.waitRan(t, 30)
	s.stopAndCheck(t, hosts...)
}

// TestPausedNode guards against a host that stays suspect after a pause, that marks the
// other hosts as suspect, or that runs requests whose deadline passed during the pause.
func TestPausedNode(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	hosts := startProcesses(t, p, 31, 32, 33)
	s := startStream(t, hosts[0].CallerListen)
	s.waitRan(t, 30)
	hosts[2].waitExecution(t)
	hosts[2].signal(t, syscall.SIGSTOP)
	hosts[0].waitHosts(t, "suspect", 1)
	hosts[1].waitHosts(t, "suspect", 1)
	s.waitRan(t, 30)
	hosts[2].signal(t, syscall.SIGCONT)
	for _, h := range hosts {
		h.waitHosts(t, "alive", 3)
	}
	hosts[2].waitExecution(t)
	s.stopAndCheck(t, hosts...)
}

// TestStartWithoutPlatform guards against a node that stops, polls without a delay, or
// does not find the other hosts when it starts during an outage of the platform.
func TestStartWithoutPlatform(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	hosts := startProcesses(t, p, 41, 42)
	p.SetFaults(stub.Faults{Down: true})
	named, unnamed := newHost(t, p, 43, hosts[0].PeerListen), newHost(t, p, 44)
	named.startProcess(t)
	unnamed.startProcess(t)
	named.waitHosts(t, "alive", 3)
	unnamed.waitHosts(t, "alive", 1)
	p.SetFaults(stub.Faults{})
	for _, h := range []*testHost{hosts[0], hosts[1], named, unnamed} {
		h.waitHosts(t, "alive", 4)
	}
}

// TestTerminatedUnderLoad guards against a process that exits on SIGTERM while requests
// are in flight, also while the platform is down.
func TestTerminatedUnderLoad(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	hosts := startProcesses(t, p, 51, 52, 53)
	s, own := startStream(t, hosts[0].CallerListen), startStream(t, hosts[2].CallerListen)
	s.waitRan(t, 30)
	hosts[2].waitExecution(t)
	hosts[2].signal(t, syscall.SIGTERM)
	if err := <-hosts[2].done; err != nil {
		t.Errorf("process: got %v, want exit without an error", err)
	}
	s.waitRan(t, 30)
	s.stopAndCheck(t, hosts...)
	own.stopAndCheck(t, hosts...)
	s.checkComplete(t)
	own.checkComplete(t)
	hosts[0].waitHosts(t, "left", 1)
	p.SetFaults(stub.Faults{Down: true})
	hosts[1].signal(t, syscall.SIGTERM)
	if err := <-hosts[1].done; err != nil {
		t.Errorf("process during an outage: got %v, want exit without an error", err)
	}
}

// startProcesses starts nodes with one target each, the last of them slow, and waits
// until all nodes know each other.
func startProcesses(t *testing.T, p *fakePlatform, numbers ...int) (hosts []*testHost) {
	t.Helper()
	for _, i := range numbers {
		h := newHost(t, p, i)
		h.startProcess(t)
		hosts = append(hosts, h)
	}
	last := len(hosts) - 1
	for _, h := range hosts[:last] {
		h.startTarget(t, targetLatency)
	}
	hosts[last].startTarget(t, slowTargetLatency)
	for _, h := range hosts {
		h.waitHosts(t, "alive", len(hosts))
	}
	return hosts
}

// TestPlatformRow guards against a wrong platform row after a lost answer or a delayed
// delete: the row of a later incarnation of a host must not be deleted.
func TestPlatformRow(t *testing.T) {
	p := newPlatform(t)
	events := ring.New(new(expvar.Map), "test", 8)
	first := mesh.Host{Addr: freePort(t, "127.0.1.61"), Zone: "north", Incarnation: 1}
	second := first
	second.Incarnation = 2
	p.SetFaults(stub.Faults{LoseAnswers: 1})
	writeHost{events: events, host: first}.Do(t.Context(), p.client)
	writeHost{events: events, host: first}.Do(t.Context(), p.client)
	writeHost{events: events, host: second}.Do(t.Context(), p.client)
	eraseHost{events: events, host: first}.Do(t.Context(), p.client)
	if got := p.hostRows(t); !strings.Contains(got, first.Addr.String()) {
		t.Errorf("rows after the delete of an older incarnation: got %q, want that of %s", got, first.Addr)
	}
	p.SetFaults(stub.Faults{LoseAnswers: 1})
	eraseHost{events: events, host: second}.Do(t.Context(), p.client)
	if got := p.hostRows(t); got != "" {
		t.Errorf("rows after the delete: got %q, want none", got)
	}
}

// TestLateNestedCall guards against a nested call that a target makes late in the shutdown of its
// node, and that is refused or broken off while another target runs it.
func TestLateNestedCall(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	staying, leaving := newHost(t, p, 14), newHost(t, p, 15)
	staying.startInProcess(t, p)
	leaving.startInProcess(t, p)
	staying.waitHosts(t, "alive", 2)
	stopped, nested := make(chan time.Time, 1), make(chan http.Header, 1)
	parent := newScriptedTarget(t, func(n int, conn net.Conn, r *http.Request) (open bool) {
		time.Sleep(time.Until((<-stopped).Add(testLeaveTime + 200*time.Millisecond)))
		request, _ := http.NewRequest(http.MethodPost, "http://"+leaving.LocalListen.String()+"/ledger/pay", nil)
		request.Header.Set(header.Call, r.Header.Get(header.Call))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Errorf("nested call: got error %v, want an answer", err)
			close(nested)
			return false
		}
		response.Body.Close()
		nested <- response.Header
		return answerID(n, conn, r)
	})
	report := fmt.Sprintf(`{"service":"ledger","addr":%q,"slots":64,"connections":640,"incarnation":%d}`, parent.addr(), time.Now().UnixNano())
	waitFor(t, "the target is announced", func() bool {
		request, _ := http.NewRequest(http.MethodPut, "http://"+leaving.LocalListen.String()+"/quetzal/target", strings.NewReader(report))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusNoContent
	})
	answer := make(chan string, 1)
	go func() {
		for range 100 {
			response, err := http.Post("http://"+leaving.CallerListen.String()+"/ledger/pay", "text/plain", nil)
			if err != nil {
				break
			}
			response.Body.Close()
			if got := response.Header.Get(header.Outcome); got == string(header.Ran) {
				answer <- got
				return
			}
			time.Sleep(retryPause)
		}
		answer <- "none"
	}()
	waitFor(t, "the parent request runs", func() bool {
		parent.mu.Lock()
		defer parent.mu.Unlock()
		return parent.total > 0
	})
	staying.startTarget(t, slowTargetLatency)
	leaving.stop()
	stopped <- time.Now()
	if got := (<-nested).Get(header.Outcome); got != string(header.Ran) {
		t.Errorf("nested call: got outcome %q, want %q", got, header.Ran)
	}
	if got := <-answer; got != string(header.Ran) {
		t.Errorf("parent request: got outcome %q, want %q", got, header.Ran)
	}
	if err := <-leaving.done; err != nil {
		t.Errorf("run of the leaving node: got %v, want no error", err)
	}
}
