package fault

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/cmds"
	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/store"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
)

// nodeVariable is the environment variable that makes the test binary run a node instead
// of the tests.
const nodeVariable = "QUETZAL_FAULT_NODE"

// Timeout and interval of polling. The requirement is recovery "within seconds".
const (
	recoveryTimeout = 10 * time.Second
	pollInterval    = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	if file := os.Getenv(nodeVariable); file != "" {
		os.Exit(runNode(file))
	}
	os.Exit(m.Run())
}

func runNode(file string) (status int) {
	ctx, stop := signalContext()
	defer stop()
	return cmds.Execute(ctx, []string{"quetzalstack", "node", "-settings", file})
}

const settingsTree = `
settings: {timeout: 3s, retries: 2}
zones:
  luzon-a: {region: luzon}
  luzon-b: {region: luzon, out: %t}
  luzon-c: {region: luzon}
services:
  ledger:
    routes:
      payout: {path: /payouts, methods: [POST], settings: {class: critical}}
      read: {path: /, methods: [GET], settings: {idempotent: true}}
  balance:
    routes:
      read: {path: /, settings: {idempotent: true}}
organisations:
  cebu: {rate: 1000, burst: 1000}
`

// Hosts of a cluster.
const (
	entryHost   = 0 // zone luzon-a, no target
	ledgerHost  = 1 // zone luzon-b, ledger target, behind a relay that can drop traffic
	balanceHost = 2 // zone luzon-c, balance target
	otherHost   = 3 // zone luzon-c, no target, for retries
	hostCount   = 4
)

var hostZones = [hostCount]mesh.ZoneName{"luzon-a", "luzon-b", "luzon-c", "luzon-c"}

// cluster is a set of node processes with a stand-in platform and stand-in targets.
type cluster struct {
	t         *testing.T
	number    int
	platform  *pausablePlatform
	client    *store.Client
	link      *relay
	ledger    *pausableTarget
	balance   *pausableTarget
	nodes     [hostCount]*exec.Cmd
	key       string
	keysAdded int
}

// addr returns an address of the cluster. Each cluster uses its own loopback addresses, so
// that the ports of a node are still free when it restarts.
func (c *cluster) addr(host int, port uint16) (addr netip.AddrPort) {
	ip := netip.AddrFrom4([4]byte{127, byte(20 + os.Getpid()%200), byte(c.number), byte(host + 1)})
	return netip.AddrPortFrom(ip, port)
}

const (
	callerPort = 7080
	localPort  = 7081
	peerPort   = 7082
	targetPort = 7090

	// relayHost and platformHost are addresses without a node.
	relayHost    = 100
	platformHost = 101
)

func newCluster(t *testing.T, number int) (c *cluster) {
	t.Helper()
	c = &cluster{t: t, number: number}
	c.platform = newPausablePlatform(t, c.addr(platformHost, peerPort))
	c.client = store.New(c.addr(platformHost, peerPort))
	c.link = newRelay(t, c.addr(relayHost, peerPort), c.addr(ledgerHost, peerPort))
	c.putTree(false)
	c.addKey()
	for i := range hostCount {
		c.startNode(i)
	}
	t.Cleanup(c.stop)
	c.balance = newPausableTarget(t, "balance", c.addr(balanceHost, targetPort), c.addr(balanceHost, localPort), "")
	c.ledger = newPausableTarget(t, "ledger", c.addr(ledgerHost, targetPort), c.addr(ledgerHost, localPort), "/balance/x")
	c.awaitService()
	c.awaitShares()
	return c
}

// awaitShares waits until a host of each zone holds a share of the contract. A zone that
// is partitioned before that has no share to admit requests with.
func (c *cluster) awaitShares() {
	c.t.Helper()
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		zones := make(map[mesh.ZoneName]bool)
		for host, zone := range hostZones {
			if c.burstAt(host) >= 1 {
				zones[zone] = true
			}
		}
		if len(zones) == 3 {
			return
		}
	}
	c.logVars()
	c.t.Fatalf("got zones without a share of the contract after %v, want a share in every zone", recoveryTimeout)
}

// burstAt returns the share of the organisation's burst that a node holds.
func (c *cluster) burstAt(host int) (burst float64) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + c.addr(host, localPort).String() + "/debug/vars")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var vars struct {
		Node struct {
			Shares map[string]struct {
				Burst float64 `json:"burst"`
			} `json:"contract-shares"`
		} `json:"node"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return 0
	}
	return vars.Node.Shares["cebu"].Burst
}

func (c *cluster) putTree(zoneOut bool) {
	c.t.Helper()
	if _, err := admin.PutSettings(context.Background(), c.client, "test", fmt.Appendf(nil, settingsTree, zoneOut)); err != nil {
		c.t.Fatal(err)
	}
}

// addKey creates a key, which later requests use.
func (c *cluster) addKey() {
	c.t.Helper()
	c.keysAdded++
	c.key = fmt.Sprintf("key-%d-%d", c.number, c.keysAdded)
	if _, err := admin.AddKey(context.Background(), c.client, "test", "cebu", mesh.HashKey(c.key)); err != nil {
		c.t.Fatal(err)
	}
}

// peerAddr returns the peer address that a node advertises.
func (c *cluster) peerAddr(host int) (addr netip.AddrPort) {
	if host == ledgerHost {
		return c.addr(relayHost, peerPort)
	}
	return c.addr(host, peerPort)
}

func (c *cluster) startNode(host int) {
	c.t.Helper()
	file := filepath.Join(c.t.TempDir(), "node.yaml")
	text := fmt.Sprintf(`
zone: %s
caller-listen: %s
local-listen: %s
peer-listen: %s
peer-bind: %s
platform: %s
peers: [%s, %s]
secrets: [0123456789abcdef]
leave-time: 1s
`, hostZones[host], c.addr(host, callerPort), c.addr(host, localPort), c.peerAddr(host), c.addr(host, peerPort),
		c.addr(platformHost, peerPort), c.peerAddr(entryHost), c.peerAddr(balanceHost))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), nodeVariable+"="+file)
	if os.Getenv("QUETZAL_FAULT_LOG") != "" {
		cmd.Stderr = os.Stderr
	}
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.nodes[host] = cmd
}

// signal sends a signal to a node process.
func (c *cluster) signal(host int, signal syscall.Signal) {
	_ = c.nodes[host].Process.Signal(signal)
}

// kill kills a node process and waits until it has exited.
func (c *cluster) kill(host int) {
	_ = c.nodes[host].Process.Kill()
	_ = c.nodes[host].Wait()
}

func (c *cluster) stop() {
	for i := range c.nodes {
		c.kill(i)
	}
}

// awaitService waits until new requests through both entry hosts are served by the whole
// chain of targets.
func (c *cluster) awaitService() {
	c.t.Helper()
	for _, host := range []int{entryHost, otherHost} {
		c.awaitRan(host)
	}
}

func (c *cluster) awaitRan(host int) {
	c.t.Helper()
	var last result
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		before := c.balance.runCount()
		if last = c.payout(host, newID(c.t)); last.ran && c.balance.runCount() > before {
			return
		}
	}
	c.t.Fatalf("host %d: got %+v for %v, want a request that ran", host, last, recoveryTimeout)
}

// listen opens the listener of a stand-in.
func listen(t *testing.T, addr netip.AddrPort) (l net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func serve(l net.Listener, h http.Handler) (s *http.Server) {
	s = &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	return s
}

// pausablePlatform is a stand-in platform with breakpoints before and after the write of a
// claim.
type pausablePlatform struct {
	*stub.Stub
	beforeClaim, afterClaim breakpoint
}
