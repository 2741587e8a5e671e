package fault

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// Cluster numbers of these tests. The fault matrix uses the numbers from 0.
const (
	withdrawCluster = 100 + iota
	zoneCluster
	drainCluster
	raceCluster
	terminateCluster
	contractCluster
	withinRateCluster
	outageCluster
	slowCluster
	isolatedZoneCluster
	slowKeyCluster
	coldCluster
)

// awaitRefused waits until a request is refused as not run with one of the codes.
func (c *cluster) awaitRefused(host int, codes ...header.RefusalCode) {
	c.t.Helper()
	var last result
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		last = c.payout(host, newID(c.t))
		for _, code := range codes {
			if last.outcome == header.NotRun && last.code == string(code) {
				return
			}
		}
	}
	c.t.Fatalf("host %d: got %+v for %v, want %v", host, last, recoveryTimeout, codes)
}

// expectNoRuns sends requests through both entry hosts and checks that none reaches the
// target.
func (c *cluster) expectNoRuns(n int) {
	c.t.Helper()
	before := c.ledger.runCount()
	for range n {
		for _, host := range []int{entryHost, otherHost} {
			if r := c.payout(host, newID(c.t)); r.outcome != header.NotRun {
				c.t.Errorf("host %d: got %+v, want a refusal as not run", host, r)
			}
		}
	}
	if got := c.ledger.runCount(); got != before {
		c.t.Errorf("got %d new runs, want none", got-before)
	}
}

// TestWithdrawnKeyStops guards against a key that is still accepted seconds after it was
// withdrawn, on a new or a kept-alive connection.
func TestWithdrawnKeyStops(t *testing.T) {
	t.Parallel()
	c := newCluster(t, withdrawCluster)
	keepAliveClient := &http.Client{Timeout: attemptTimeout}
	if code := c.readCode(keepAliveClient, entryHost); code != "" {
		t.Fatalf("got code %q, want an answer", code)
	}
	withdrawKey(c)
	for _, host := range []int{entryHost, otherHost, ledgerHost, balanceHost} {
		c.awaitRefused(host, header.KeyWithdrawn)
	}
	c.expectNoRuns(20)
	if got, want := c.readCode(keepAliveClient, entryHost), string(header.KeyWithdrawn); got != want {
		t.Errorf("kept-alive connection: got code %q, want %q", got, want)
	}
}

// readCode sends an idempotent request and returns its refusal code, which is empty when a
// target answered.
func (c *cluster) readCode(client *http.Client, host int) (code string) {
	return c.readPathCode(client, host, "/ledger/x")
}

func (c *cluster) readPathCode(client *http.Client, host int, path string) (code string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+c.addr(host, callerPort).String()+path, nil)
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Header.Get(header.Code)
}

// TestZoneOutGetsNoNewWork guards against a zone that still receives requests seconds
// after it was taken out of service, and one that receives none after it was put back.
func TestZoneOutGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, zoneCluster)
	c.putTree(true)
	for _, host := range []int{entryHost, otherHost, ledgerHost} {
		c.awaitRefused(host, header.NoTarget, header.ZoneOut)
	}
	c.expectNoRuns(20)
	c.putTree(false)
	c.awaitService()
}

// TestDrainingTargetGetsNoNewWork guards against a draining target that still receives
// new requests after some seconds.
func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, drainCluster)
	c.ledger.setDraining(true)
	for _, host := range []int{entryHost, otherHost} {
		c.awaitRefused(host, header.NoTarget, header.TargetDraining)
	}
	c.expectNoRuns(20)
	c.ledger.setDraining(false)
	c.awaitService()
}

// TestOperatorRace guards against lost updates when several operators change the settings
// at the same time.
func TestOperatorRace(t *testing.T) {
	t.Parallel()
	c := newCluster(t, raceCluster)
	const operators = 8
	var group sync.WaitGroup
	var accepted, conflicts atomic.Int64
	before, _, err := admin.Current(context.Background(), c.client)
	if err != nil {
		t.Fatal(err)
	}
	for i := range operators {
		group.Go(func() {
			_, err := admin.PutSettings(context.Background(), c.client, fmt.Sprintf("operator-%d", i), fmt.Appendf(nil, settingsTree, false))
			var conflict *admin.ConflictError
			switch {
			case err == nil:
				accepted.Add(1)
			case errors.As(err, &conflict) && conflict.Winner.By != "":
				conflicts.Add(1)
			default:
				t.Errorf("got %v, want success or a conflict that names the winner", err)
			}
		})
	}
	group.Wait()
	after, _, err := admin.Current(context.Background(), c.client)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := after.Version-before.Version, uint64(accepted.Load()); got != want {
		t.Errorf("got %d new versions, want one for each of %d accepted changes (%d conflicts)", got, want, conflicts.Load())
	}
	c.awaitService()
}

// TestTerminateUnderLoad guards against a graceful shutdown that cuts off requests in
// flight, of the node's own callers or forwarded by other nodes.
func TestTerminateUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, terminateCluster)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var sent, uncertain atomic.Int64
	for range 8 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				// A connection that is refused after the listener closed (status 0)
				// is not a request that was cut off.
				if r := c.payout(entryHost, newID(t)); !r.ran && r.outcome != header.NotRun && r.status != 0 {
					uncertain.Add(1)
					t.Errorf("got %+v, want an answer or a refusal as not run", r)
				}
			}
		})
	}
	time.Sleep(time.Second)
	c.signal(ledgerHost, syscall.SIGTERM)
	if err := c.nodes[ledgerHost].Wait(); err != nil {
		t.Errorf("exit: got %v, want none", err)
	}
	c.startNode(ledgerHost)
	c.awaitRan(otherHost)
	close(stop)
	group.Wait()
	t.Logf("%d requests, %d uncertain", sent.Load(), uncertain.Load())
}

// TestPlatformOutage guards against services that stop, keys that are refused, or nodes
// that cannot start while the platform is down.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, outageCluster)
	platformFault(downFaults)(c)
	client := &http.Client{Timeout: attemptTimeout}
	for range 20 {
		if code := c.readCode(client, entryHost); code != "" {
			c.logVars()
			t.Errorf("read: got code %q, want an answer", code)
		}
	}
	c.kill(otherHost)
	c.startNode(otherHost)
	c.awaitRead(otherHost)
	if r := c.payout(entryHost, newID(t)); r.outcome != header.NotRun || r.code != string(header.ClaimUnavailable) {
		t.Errorf("payout: got %+v, want %s", r, header.ClaimUnavailable)
	}
	platformFault(noFaults)(c)
	c.awaitService()
}

// TestSlowPlatformLeavesReads guards against requests that occupy slots of a target while
// they wait for a slow platform, so that idempotent requests are refused.
func TestSlowPlatformLeavesReads(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slowCluster)
	platformFault(stub.Faults{Delay: time.Minute})(c)
	var payouts sync.WaitGroup
	var done atomic.Bool
	for range 40 {
		payouts.Go(func() {
			for !done.Load() {
				// The last claims are written once the platform answers again.
				if r := c.payout(entryHost, newID(t)); r.outcome != header.NotRun && !r.ran {
					t.Errorf("payout: got %+v, want a refusal as not run", r)
				}
			}
		})
	}
	client := &http.Client{Timeout: attemptTimeout}
	for range 50 {
		if code := c.readCode(client, otherHost); code != "" {
			t.Errorf("read: got code %q, want an answer", code)
		}
		time.Sleep(pollInterval)
	}
	done.Store(true)
	platformFault(noFaults)(c)
	payouts.Wait()
	c.awaitService()
}

// TestWithdrawalOnSlowPlatform guards against the withdrawal of a key that is queued
// behind the claims of many requests while the platform is slow.
func TestWithdrawalOnSlowPlatform(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slowKeyCluster)
	validKey := c.key
	c.addKey()
	c.awaitNewKey()
	withdrawn := c.key
	platformFault(stub.Faults{Delay: time.Second})(c)
	var done atomic.Bool
	var callers sync.WaitGroup
	for range 40 {
		callers.Go(func() {
			for !done.Load() {
				c.payoutWithKey(validKey, ledgerHost, newID(t))
				c.payoutWithKey(validKey, entryHost, newID(t))
			}
		})
	}
	time.Sleep(2 * time.Second)
	if _, err := admin.WithdrawKey(context.Background(), c.client, "test", mesh.HashKey(withdrawn)); err != nil {
		t.Fatal(err)
	}
	accepted := time.Now()
	c.awaitAllRefused(header.KeyWithdrawn)
	t.Logf("in force on all hosts %v after it was accepted", time.Since(accepted))
	done.Store(true)
	platformFault(noFaults)(c)
	callers.Wait()
}

// awaitAllRefused waits until every host has refused the cluster's key.
func (c *cluster) awaitAllRefused(code header.RefusalCode) {
	c.t.Helper()
	client := &http.Client{Timeout: attemptTimeout}
	refused := make(map[int]bool)
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for host := range hostCount {
			refused[host] = refused[host] || c.readCode(client, host) == string(code)
		}
		if len(refused) == hostCount && refused[0] && refused[1] && refused[2] && refused[3] {
			return
		}
	}
	c.t.Fatalf("got refusals at hosts %v after %v, want %s at all", refused, recoveryTimeout, code)
}

// TestZoneAlone guards against a zone that stops serving its own targets while it is
// partitioned from the other zones and the platform, and against one that does not rejoin
// the fleet afterwards. The partition is simulated with stopped processes and a platform
// that is down, which the zone cannot distinguish from a network partition.
func TestZoneAlone(t *testing.T) {
	t.Parallel()
	c := newCluster(t, isolatedZoneCluster)
	platformFault(downFaults)(c)
	c.signal(entryHost, syscall.SIGSTOP)
	c.signal(ledgerHost, syscall.SIGSTOP)
	client := &http.Client{Timeout: attemptTimeout}
	refused := make(map[string]int)
	for end := time.Now().Add(2 * suspectDelay); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, host := range []int{otherHost, balanceHost} {
			if code := c.readPathCode(client, host, "/balance/x"); code != "" {
				refused[code]++
			}
		}
	}
	if len(refused) > 0 {
		c.logVars()
		t.Errorf("got refusals %v, want none", refused)
	}
	platformFault(noFaults)(c)
	c.signal(entryHost, syscall.SIGCONT)
	c.signal(ledgerHost, syscall.SIGCONT)
	c.awaitService()
}

// defaultColdLimit is the default concurrency limit of a target during its cold start.
const defaultColdLimit = 2

// TestColdStart guards against a target that receives more concurrent requests than its
// cold limit after a restart, while many callers are waiting for it.
func TestColdStart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, coldCluster)
	var done atomic.Bool
	var callers sync.WaitGroup
	for range 40 {
		callers.Go(func() {
			client := &http.Client{Timeout: attemptTimeout}
			for !done.Load() {
				c.readCode(client, entryHost)
			}
		})
	}
	for range 3 {
		time.Sleep(500 * time.Millisecond)
		c.ledger.kill()
		c.ledger.freeze.Lock()
		c.ledger.inFlight.Store(0)
		c.ledger.start(t)
		c.ledger.announce()
		time.Sleep(500 * time.Millisecond)
		if got := c.ledger.inFlight.Load(); got > defaultColdLimit {
			t.Errorf("got %d requests at a cold target, want at most %d", got, defaultColdLimit)
		}
		c.ledger.freeze.Unlock()
	}
	done.Store(true)
	callers.Wait()
	c.awaitService()
}

// awaitRead waits until an idempotent request is served.
func (c *cluster) awaitRead(host int) {
	c.t.Helper()
	client := &http.Client{Timeout: attemptTimeout}
	var code string
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if code = c.readCode(client, host); code == "" {
			return
		}
	}
	c.logVars()
	c.t.Fatalf("host %d: got code %q for %v, want an answer", host, code, recoveryTimeout)
}

// logVars logs the metrics of all nodes for the diagnosis of a failure.
func (c *cluster) logVars() {
	c.t.Helper()
	client := http.Client{Timeout: time.Second}
	for host := range hostCount {
		response, err := client.Get("http://" + c.addr(host, localPort).String() + "/debug/vars")
		if err != nil {
			c.t.Logf("host %d: %v", host, err)
			continue
		}
		var vars struct{ Node json.RawMessage }
		err = json.NewDecoder(response.Body).Decode(&vars)
		response.Body.Close()
		c.t.Logf("host %d: %s %v", host, vars.Node, err)
	}
}

// requestTimes are the send and receive times of an admitted request at its caller.
type requestTimes struct{ sent, received time.Time }

// TestContractOverAllHosts guards against an organisation that exceeds its rate and burst
// by sending to all hosts at the same time.
func TestContractOverAllHosts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, contractCluster)
	const rate, burst = 50.0, 20.0
	c.setContract(rate, burst)
	var mu sync.Mutex
	var admitted []requestTimes
	var group sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	for host := range hostCount {
		for range 4 {
			group.Go(func() {
				client := &http.Client{Timeout: attemptTimeout}
				for time.Now().Before(end) {
					sent := time.Now()
					if c.readCode(client, host) != "" {
						continue
					}
					mu.Lock()
					admitted = append(admitted, requestTimes{sent: sent, received: time.Now()})
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
	checkContract(t, admitted, rate, burst)
	t.Logf("%d requests admitted in 4s", len(admitted))
}

// checkContract checks that in every time window, the number of requests that lie entirely
// within it is at most burst + rate x window.
func checkContract(t *testing.T, admitted []requestTimes, rate, burst float64) {
	t.Helper()
	for _, first := range admitted {
		for _, last := range admitted {
			window := last.received.Sub(first.sent)
			if window <= 0 {
				continue
			}
			n := 0
			for _, a := range admitted {
				if !a.sent.Before(first.sent) && !a.received.After(last.received) {
					n++
				}
			}
			if limit := burst + rate*window.Seconds(); float64(n) > limit {
				t.Fatalf("got %d requests in %v, want at most %.1f", n, window, limit)
			}
		}
	}
}

// setContract changes the organisation's contract and waits until it is in force on all
// hosts.
func (c *cluster) setContract(rate, burst float64) {
	c.t.Helper()
	text := fmt.Sprintf(settingsTree, false)
	text = strings.Replace(text, "{rate: 1000, burst: 1000}", fmt.Sprintf("{rate: %v, burst: %v}", rate, burst), 1)
	if _, err := admin.PutSettings(context.Background(), c.client, "test", []byte(text)); err != nil {
		c.t.Fatal(err)
	}
	c.awaitNewKey()
}

// TestInsideContract guards against an organisation that is refused although it stays
// within its rate, when all its requests arrive at one host.
//
// It does not run in parallel: a request waits at most a quarter of a second for tokens
// from other nodes, and the transfer takes longer on a machine without free processors.
func TestInsideContract(t *testing.T) {
	c := newCluster(t, withinRateCluster)
	c.setContract(100, 50)
	client := &http.Client{Timeout: attemptTimeout}
	refused := 0
	ticker := time.NewTicker(time.Second / 80)
	defer ticker.Stop()
	for range 400 {
		<-ticker.C
		if c.readCode(client, entryHost) == string(header.RateExceeded) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("got %d refusals in 400 requests at 80 a second, want none at a rate of 100", refused)
	}
}
