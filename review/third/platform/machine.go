package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is the interval of the reports of instances.
const heartbeat = 1500 * time.Millisecond

// ports are the ports of a day, the same on all machines.
type ports struct{ app, inbound, outbound, ready, control, internal int }

// machine is a machine with an instance and its node. Each has a loopback address of its own.
type machine struct {
	name, zone, service, ip string

	world    *world
	instance *instance

	// process is the node; exited is closed when it has ended, and stopping is set when it was told to.
	process  *exec.Cmd
	exited   chan struct{}
	stopping bool
}

func (m *machine) addr(port int) (addr string) { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// settings returns the text of the settings file.
func (m *machine) settings() (text string) {
	w := m.world
	var zones strings.Builder
	for _, z := range w.zones {
		fmt.Fprintf(&zones, "%s = \"home\"\n", z)
	}
	return fmt.Sprintf(`node = %q
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "home"
internalPorts = [%d,%d]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "static"
entry = "static"
heartbeatS = %g
contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","places","platform"]
appAddr = %q
service = %q
[zones]
%s[listen]
inbound = %q
outbound = %q
ready = %q
control = %q
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
address = %q
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
`, m.name, m.ip, m.zone, w.ports.internal, w.ports.internal+15, heartbeat.Seconds(), m.addr(w.ports.app), m.service, zones.String(),
		m.addr(w.ports.inbound), m.addr(w.ports.outbound), m.addr(w.ports.ready), m.addr(w.ports.control), w.store.addr)
}

// startNode starts the node with the command of the deploy file.
func (m *machine) startNode() (err error) {
	file := filepath.Join(m.world.folder, m.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.world.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	command := exec.Command("target/quetzalstack", "attach")
	command.Dir = m.world.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "QUETZALSTACK_NODE_FILE=" + file}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	m.process, m.exited, m.stopping = command, make(chan struct{}), false
	exited := m.exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node.
func (m *machine) signal(s syscall.Signal) { _ = m.process.Process.Signal(s) }

// kill ends the node at once.
func (m *machine) kill() {
	m.stopping = true
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// alive reports whether the node runs.
func (m *machine) alive() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// ready asks the node once whether it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + m.addr(m.world.ports.ready) + "/ready")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// run is one request that an instance has run.
type run struct {
	id, instance, service, zone, path, tenant, caller string
	at                                                time.Time
}

// instance is an application instance. It runs requests for a fixed time.
type instance struct {
	machine *machine
	server  *http.Server
	work    time.Duration

	id   string
	born time.Time

	mu  sync.Mutex
	seq int

	// left is set once the instance has reported that it is gone. It serves on, and sends no reports.
	left bool
}

func (m *machine) startInstance(work time.Duration) (err error) {
	l, err := net.Listen("tcp", m.addr(m.world.ports.app))
	if err != nil {
		return err
	}
	i := &instance{machine: m, work: work, id: fmt.Sprintf("i-%s-%08x", m.name, uint32(time.Now().UnixNano())), born: time.Now()}
	m.instance = i
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve)}
	go func() { _ = i.server.Serve(l) }()
	go i.report()
	return nil
}

// slots is the number of slots of an instance.
const slots = 100

func (i *instance) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", i.id)
		if i.hasLeft() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	m := i.machine
	m.world.record.ran(run{
		id: request, instance: i.id, service: m.service, zone: m.zone, path: r.URL.Path, tenant: r.Header.Get("X-Tenant"),
		caller: r.Header.Get("X-Caller-Service"), at: time.Now(),
	})
	time.Sleep(i.work)
	body := "answer to " + request
	w.Header().Set("X-Response-Signature", "proof-of-"+request)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func (i *instance) hasLeft() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.left
}

// leave reports that the instance is gone, until the node acknowledges that.
func (i *instance) leave() (ack time.Time) {
	i.mu.Lock()
	i.left = true
	i.mu.Unlock()
	for i.machine.control(http.MethodDelete, i.id, nil) != nil {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Now()
}

// report sends a report at each heartbeat, and again soon after one that was not acknowledged.
func (i *instance) report() {
	for !i.hasLeft() {
		wait := heartbeat
		if i.machine.control(http.MethodPut, i.id, i.nextReport()) != nil {
			wait = 300 * time.Millisecond
		}
		time.Sleep(wait)
	}
}

// nextReport returns the next report, which says that the instance is ready.
func (i *instance) nextReport() (text []byte) {
	i.mu.Lock()
	defer i.mu.Unlock()
	m := i.machine
	i.seq++
	text, err := json.Marshal(map[string]any{
		"address": m.addr(m.world.ports.app), "born": i.born.UnixMilli(),
		"info":   map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "slots": slots},
		"status": map[string]any{"state": "ready", "seq": i.seq, "coldRemainingS": 0},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// control sends a call to the control address of the node.
func (m *machine) control(method, id string, body []byte) (err error) {
	request, err := http.NewRequest(method, "http://"+m.addr(m.world.ports.control)+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.New(answer.Status)
	}
	return nil
}
