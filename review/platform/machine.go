package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// heartbeat is the interval of an instance's liveness reports (heartbeatS of the settings).
const heartbeat = 1500 * time.Millisecond

// machine is a machine of the deployment: a node process and the instance next to it.
type machine struct {
	fleet         *fleet
	name, zone    string
	inst          *instance
	outbound      string
	ready         string
	control       string
	internal      int
	settings, log string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}

	// in is false after two questions in a row for /ready without a 200.
	in atomic.Bool

	// silent stops the regular reports of the instance.
	silent atomic.Bool
}

// fleet is a small deployment with its platform.
type fleet struct {
	record   *record
	store    *store
	dir      string
	machines []*machine
	done     chan struct{}
}

func newFleet(rec *record) (f *fleet, err error) {
	f = &fleet{record: rec, done: make(chan struct{})}
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	f.store, err = startStore()
	return f, err
}

// usedPorts keeps machines of this process from being given the same ports.
var usedPorts = map[int]bool{}

// freePorts returns n consecutive free ports below the range of outgoing connections.
func freePorts(n int) (first int) {
	for {
		first = 12000 + rand.IntN(18000)
		free := true
		for p := first; p < first+n && free; p++ {
			tcp, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				break
			}
			_ = tcp.Close()
			udp, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				break
			}
			_ = udp.Close()
			free = free && !usedPorts[p]
		}
		if free {
			for p := first; p < first+n; p++ {
				usedPorts[p] = true
			}
			return first
		}
	}
}

// add adds a machine with an instance of a service.
func (f *fleet) add(name, zone, service string, slots int) (m *machine, err error) {
	first := freePorts(6)
	at := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", first+offset) }
	m = &machine{fleet: f, name: name, zone: zone, internal: first, outbound: at(2), ready: at(3), control: at(4)}
	id := fmt.Sprintf("i-%s-%x", name, time.Now().UnixNano()&0xffffff)
	if m.inst, err = startInstance(f.record, id, service, zone, slots); err != nil {
		return nil, err
	}
	m.settings, m.log = filepath.Join(f.dir, name+".toml"), filepath.Join(f.dir, name+".log")
	text := fmt.Sprintf(settingsText, name, m.internal, m.internal+1, m.inst.addr(), service, zone, zone, at(5), m.outbound, m.ready, m.control, f.store.addr)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	return m, nil
}

// settingsText is the settings file of a process, with the figures of the pages' example.
const settingsText = `node = "%s"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "127.0.0.1"
internalPorts = [%d,%d]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "static"
entry = "static"
heartbeatS = 1.5
contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","places","platform"]
appAddr = "%s"
service = "%s"
zone = "%s"
region = "north"
[zones]
%s = "north"
[listen]
inbound = "%s"
outbound = "%s"
ready = "%s"
control = "%s"
[limits]
cpuShare = 0.64
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
inTouchS = 3
ackS = 4
catchUpS = 4
drainS = 2
graceS = 6
lossSlackS = 0.2
configApplyS = 2
rollbackSlackS = 0.25
maxStretchS = 5
strictRevoke = false
revokeS = 5
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 48
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
coldOverage = 1.5
coldSlack = 5
evacuateS = 5
recoveryS = 15
[platform]
address = "%s"
form = "table"
writesPerS = 400
readsPerS = 2000
txS = 0.008
partWritesPerS = 150
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobS = 0.025
blobMbPerS = 80.0
`

// start starts the node process with the command of deploy/system.toml.
func (m *machine) start() (err error) {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/quetzalstack", "attach")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "QUETZALSTACK_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	m.fleet.record.line(time.Now(), "node %s starts", m.name)
	go func() {
		_ = cmd.Wait()
		m.fleet.record.line(time.Now(), "node %s has ended: %v", m.name, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node process and returns a channel that is closed at its end.
func (m *machine) signal(s syscall.Signal) (ended chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.record.note("node %s gets %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
	return m.ended
}

// isReady asks the node once whether it is ready.
func (m *machine) isReady(client *http.Client) (ready bool) {
	answer, err := client.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until the node is ready.
func (m *machine) awaitReady(timeout time.Duration) (err error) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if m.isReady(client) {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %v", m.name, timeout)
}

// poll asks for /ready once per second, as the platform does.
func (m *machine) poll() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for ticker := time.NewTicker(time.Second); ; {
		select {
		case <-m.fleet.done:
			return
		case <-ticker.C:
		}
		if m.isReady(client) {
			misses = 0
		} else {
			misses++
		}
		m.in.Store(misses < 2)
	}
}

// mayReceive reports whether clients send new work to the machine: it is in, or fewer than half
// of its zone's nodes are.
func (m *machine) mayReceive() bool {
	if m.in.Load() {
		return true
	}
	in, all := 0, 0
	for _, other := range m.fleet.machines {
		if other.zone != m.zone {
			continue
		}
		all++
		if other.in.Load() {
			in++
		}
	}
	return 2*in < all
}

// beats sends the instance's liveness reports.
func (m *machine) beats() {
	for ticker := time.NewTicker(heartbeat); ; {
		if !m.silent.Load() {
			body, _ := m.inst.report("ready")
			_, _ = m.inst.tell(http.MethodPut, m.control, body)
		}
		select {
		case <-m.fleet.done:
			return
		case <-ticker.C:
		}
	}
}

// startAll writes the manifest, starts all machines and waits until they serve.
func (f *fleet) startAll(m manifest) (err error) {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	f.store.put("config", text)
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return err
		}
		m.in.Store(true)
		go m.poll()
		go m.beats()
	}
	time.Sleep(4 * time.Second)
	return nil
}

// stop kills all node processes that this process started.
func (f *fleet) stop() {
	close(f.done)
	for _, m := range f.machines {
		m.mu.Lock()
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
			<-m.ended
		}
		m.mu.Unlock()
		m.inst.exit()
	}
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		for _, m := range f.machines {
			if text, err := os.ReadFile(m.log); err == nil {
				_ = os.WriteFile(filepath.Join(dir, m.name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(f.dir)
}

// manifest is the operator's row op/config.
type manifest struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// newManifest returns a manifest with the limits of the pages' example.
func newManifest(services ...string) (m manifest) {
	m = manifest{Version: 7, Limits: map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}}
	for _, s := range services {
		m.Services = append(m.Services, map[string]any{
			"name": s, "healthPath": healthPath, "maxConnections": 364, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 8.4,
		})
	}
	return m
}

// route adds a route; its host name is NAME.example and its prefix /NAME/.
func (m *manifest) route(name, kind, service string, timeout, objective float64, attempts, priority int) {
	m.Routes = append(m.Routes, map[string]any{
		"name": "r-" + name, "host": name + ".example", "prefix": "/" + name + "/", "kind": kind, "timeoutS": timeout,
		"targetLatencyS": objective, "priority": priority, "service": service, "attempts": attempts, "public": false,
	})
}

// tenant adds a tenant with the key "key-of-NAME".
func (m *manifest) tenant(name string, rate, burst float64) {
	m.Tenants = append(m.Tenants, map[string]any{"name": name, "apiKeys": []string{keyOf(name)}, "priority": 1, "ratePerS": rate, "burst": burst})
}

func keyOf(tenant string) string { return "key-of-" + strings.Repeat(tenant, 2) }
