package fault

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/admin"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// step is a step in the processing of a request at which a fault is injected.
type step struct {
	name string

	// stopAt returns the breakpoint of the step; nil means that the fault is injected
	// before the request is sent.
	stopAt func(c *cluster) *breakpoint
}

var steps = []step{
	{"before-send", nil},
	{"claim-sent", func(c *cluster) *breakpoint { return &c.platform.beforeClaim }},
	{"claim-written", func(c *cluster) *breakpoint { return &c.platform.afterClaim }},
	{"target-received", func(c *cluster) *breakpoint { return &c.ledger.afterReceive }},
	{"deeper-received", func(c *cluster) *breakpoint { return &c.balance.afterReceive }},
	{"target-worked", func(c *cluster) *breakpoint { return &c.ledger.afterWork }},
	{"answer-half-sent", func(c *cluster) *breakpoint { return &c.ledger.midAnswer }},
}

// fault is a fault with the functions that inject and heal it.
type fault struct {
	name   string
	inject func(c *cluster)
	heal   func(c *cluster)

	// planned is true for planned operations, which must not interrupt a request
	// that has reached a target.
	planned bool
}

// suspectDelay is longer than the heartbeat timeout after which a host is suspect.
const suspectDelay = 3500 * time.Millisecond

func killNode(host int) (inject, heal func(c *cluster)) {
	return func(c *cluster) { c.kill(host) }, func(c *cluster) { c.startNode(host) }
}

func pauseNode(host int) (inject, heal func(c *cluster)) {
	return func(c *cluster) {
		c.signal(host, syscall.SIGSTOP)
		time.Sleep(suspectDelay)
	}, func(c *cluster) { c.signal(host, syscall.SIGCONT) }
}

func faults() (all []fault) {
	add := func(name string, inject, heal func(c *cluster)) {
		all = append(all, fault{name: name, inject: inject, heal: heal})
	}
	killEntry, startEntry := killNode(entryHost)
	killLedger, startLedger := killNode(ledgerHost)
	killBalance, startBalance := killNode(balanceHost)
	pauseEntry, continueEntry := pauseNode(entryHost)
	pauseLedger, continueLedger := pauseNode(ledgerHost)
	add("kill-entry-node", killEntry, startEntry)
	add("kill-target-node", killLedger, startLedger)
	add("kill-deeper-node", killBalance, startBalance)
	add("pause-entry-node", pauseEntry, continueEntry)
	add("pause-target-node", pauseLedger, continueLedger)
	add("kill-target", func(c *cluster) { c.ledger.kill() }, func(c *cluster) { c.ledger.start(c.t) })
	add("link-cut", func(c *cluster) { c.link.setCut(true) }, func(c *cluster) { c.link.setCut(false) })
	add("platform-down", platformFault(downFaults), platformFault(noFaults))
	add("platform-slow", platformFault(stub.Faults{Delay: 500 * time.Millisecond}), platformFault(noFaults))
	add("platform-answer-lost", platformFault(stub.Faults{LoseAnswers: 1}), platformFault(noFaults))
	add("key-withdrawn", withdrawKey, func(c *cluster) { c.addKey() })
	add("kill-target-node-and-platform-down",
		func(c *cluster) { killLedger(c); platformFault(downFaults)(c) },
		func(c *cluster) { platformFault(noFaults)(c); startLedger(c) })
	add("link-cut-and-answer-lost",
		func(c *cluster) { c.link.setCut(true); platformFault(stub.Faults{LoseAnswers: 1})(c) },
		func(c *cluster) { platformFault(noFaults)(c); c.link.setCut(false) })
	all = append(all,
		fault{
			name: "zone-out", planned: true,
			inject: func(c *cluster) { c.putTree(true) }, heal: func(c *cluster) { c.putTree(false) },
		},
		fault{
			name: "target-draining", planned: true,
			inject: func(c *cluster) { c.ledger.setDraining(true) }, heal: func(c *cluster) { c.ledger.setDraining(false) },
		},
		fault{
			name: "terminate-target-node", planned: true,
			inject: func(c *cluster) { c.signal(ledgerHost, syscall.SIGTERM) },
			heal:   func(c *cluster) { _ = c.nodes[ledgerHost].Wait(); startLedger(c) },
		},
		fault{
			name: "terminate-entry-node", planned: true,
			inject: func(c *cluster) { c.signal(entryHost, syscall.SIGTERM) },
			heal:   func(c *cluster) { _ = c.nodes[entryHost].Wait(); startEntry(c) },
		})
	return all
}

func platformFault(f stub.Faults) (inject func(c *cluster)) {
	return func(c *cluster) { c.platform.SetFaults(f) }
}

func withdrawKey(c *cluster) {
	if _, err := admin.WithdrawKey(context.Background(), c.client, "test", mesh.HashKey(c.key)); err != nil {
		c.t.Error(err)
	}
}

func newID(t *testing.T) (id string) {
	t.Helper()
	made, err := mesh.NewRequestID()
	if err != nil {
		t.Fatal(err)
	}
	return made.String()
}

// result is the result of one attempt as seen by the caller.
type result struct {
	status  int
	outcome header.OutcomeValue
	code    string

	// ran is true when the complete answer to this request arrived.
	ran bool

	// wrongAnswer is true when an answer with the outcome ran arrived without an error
	// but its body differs from the expected one.
	wrongAnswer bool
}

// attemptTimeout is the caller's timeout of one attempt. It is longer than the timeout of
// the route.
const attemptTimeout = 6 * time.Second

// payout sends a non-idempotent request.
func (c *cluster) payout(host int, id string) (r result) { return c.payoutWithKey(c.key, host, id) }

func (c *cluster) payoutWithKey(key string, host int, id string) (r result) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	url := "http://" + c.addr(host, callerPort).String() + "/ledger/payouts"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("amount=1"))
	if err != nil {
		return r
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(header.RequestID, id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return r
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	r.outcome = header.OutcomeValue(response.Header.Get(header.Outcome))
	r.code = response.Header.Get(header.Code)
	body, err := io.ReadAll(response.Body)
	if err == nil && r.outcome == header.Ran {
		r.ran = string(body) == answerText(id)
		r.wrongAnswer = !r.ran
	}
	return r
}

// TestFaultMatrix injects every fault at every step of a request and checks the results at
// targets and callers. It guards against a request that runs twice, a refusal as not run
// of a request that ran, an answer that is incomplete or belongs to another request, a key
// that reaches a target, and a service that does not recover.
func TestFaultMatrix(t *testing.T) {
	if testing.Short() {
		t.Skip("starts many processes")
	}
	for i, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, i)
			for _, s := range steps {
				t.Run(s.name, func(t *testing.T) { c.runCell(t, f, s) })
			}
		})
	}
}

// runCell runs one combination of a fault and a step with one request.
func (c *cluster) runCell(t *testing.T, f fault, s step) {
	id := newID(t)
	first := c.sendUnderFault(t, f, s, id)
	runsAfterFirst := c.ledger.runs(id)
	if first.outcome == header.NotRun && runsAfterFirst > 0 {
		t.Errorf("first attempt: got not-run (%s) and %d runs, want none", first.code, runsAfterFirst)
	}
	if f.planned && s.stopAt != nil && runsAfterFirst > 0 && !first.ran {
		t.Errorf("planned operation: got %+v, want the complete answer", first)
	}
	retry := c.payout(otherHost, id)
	f.heal(c)
	c.awaitService()
	afterHeal := c.payout(otherHost, id)
	for i, r := range []result{first, retry, afterHeal} {
		if r.wrongAnswer {
			t.Errorf("attempt %d: got the answer to another request", i)
		}
	}
	runs, keys := c.ledger.maxRuns()
	if runs > 1 {
		t.Errorf("got %d runs of one request, want at most 1; attempts %+v %+v %+v", runs, first, retry, afterHeal)
	}
	if keys > 0 {
		t.Errorf("got %d requests with a key at the target, want none", keys)
	}
	if notRun(first) && notRun(retry) && notRun(afterHeal) && c.ledger.runs(id) > 0 {
		t.Errorf("got a run of a request whose attempts were all refused as not run")
	}
	t.Logf("first attempt %+v, retry %+v, after healing %+v", first, retry, afterHeal)
}

func notRun(r result) bool { return r.outcome == header.NotRun }

// sendUnderFault sends a request, injects the fault when the request has reached the step,
// and returns the caller's result.
func (c *cluster) sendUnderFault(t *testing.T, f fault, s step, id string) (r result) {
	t.Helper()
	if s.stopAt == nil {
		f.inject(c)
		return c.payout(entryHost, id)
	}
	h := s.stopAt(c)
	h.arm()
	defer h.releaseAll()
	answer := make(chan result, 1)
	go func() { answer <- c.payout(entryHost, id) }()
	if !h.awaitHit() {
		t.Fatalf("the request did not reach the step in %v", recoveryTimeout)
	}
	f.inject(c)
	h.releaseAll()
	return <-answer
}

// Fault configurations of the stand-in platform.
var (
	noFaults   = stub.Faults{}
	downFaults = stub.Faults{Down: true}
)

// awaitNewKey creates a key and waits until all hosts accept it. Then all earlier versions
// of the settings are in force as well.
func (c *cluster) awaitNewKey() {
	c.t.Helper()
	c.addKey()
	for host := range hostCount {
		c.awaitRead(host)
	}
}
