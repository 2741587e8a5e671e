package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// graceTime is the time between SIGTERM and SIGKILL.
const graceTime = 6 * time.Second

// node is a process of the deploy file beside an instance.
type node struct {
	name, ip, zone, service, app, storeAddr, folder, binary string
	base                                                    int

	// zones names the region of each zone. reached is the IP address at which other machines reach the
	// node; a proxy stands there, unless it is ip.
	zones   map[string]string
	reached string

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	stopping bool
	rec      *record
}

func (n *node) port(offset int) (addr string) { return fmt.Sprintf("%s:%d", n.ip, n.base+offset) }

// Ports of a machine, counted from the first one.
const (
	internalPort = 0
	metricsPort  = 1
	controlPort  = 40
	inboundPort  = 43
	readyPort    = 46
	appPort      = 47
	outboundPort = 48
)

func (n *node) outbound() (addr string) { return n.port(outboundPort) }

// settings returns the settings file, with the fields and bounds of the pages.
func (n *node) settings() (text string) {
	var zones strings.Builder
	for z, region := range n.zones {
		fmt.Fprintf(&zones, "%s = %q\n", z, region)
	}
	bind := ""
	if n.reached != n.ip {
		bind = fmt.Sprintf("peerBind = %q\n", n.port(internalPort))
	}
	return fmt.Sprintf(`node = %q
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = %q
internalPorts = [%d,%d]
%sseeds = []
bootstrap = false
countsAsLoss = false
discovery = "static"
entry = "static"
heartbeatS = 1.5
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
graceS = %g
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
`, n.name, n.reached, n.zone, n.zones[n.zone], n.base+internalPort, n.base+internalPort+15, bind, n.app, n.service, zones.String(),
		n.port(inboundPort), n.port(outboundPort), n.port(readyPort), n.port(controlPort), graceTime.Seconds(), n.storeAddr)
}

func (n *node) start() (err error) {
	file := filepath.Join(n.folder, n.name+".toml")
	if err := os.WriteFile(file, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.binary, "attach")
	cmd.Env = append(os.Environ(), "QUETZALSTACK_NODE_FILE="+file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.ended, n.stopping = cmd, make(chan struct{}), false
	go n.wait(cmd, n.ended, log)
	return nil
}

func (n *node) wait(cmd *exec.Cmd, ended chan struct{}, log *os.File) {
	err := cmd.Wait()
	log.Close()
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	if !stopping {
		n.rec.note("%s ended by itself: %v", n.name, err)
	}
	close(ended)
}

// stop sends a signal and waits for the end of the process, which is killed after graceTime.
func (n *node) stop(s syscall.Signal) {
	n.mu.Lock()
	n.stopping = true
	cmd, ended := n.cmd, n.ended
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s) // It fails when the process has ended.
	select {
	case <-ended:
	case <-time.After(graceTime):
		n.rec.note("%s still runs %v after %v", n.name, graceTime, s)
		_ = cmd.Process.Kill()
		<-ended
	}
}

func (n *node) ready() (ok bool) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + n.port(readyPort) + "/ready")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}
