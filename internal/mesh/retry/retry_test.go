package retry

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for rapid, so that each run tests the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// callTree simulates one request at a node and all nested calls below it, and counts the
// retries. It returns the attempts that the answer returns, which may be too many.
func callTree(t *rapid.T, budget, depth int, retries *int) (returned int) {
	p := NewAttemptBudget(budget)
	for range rapid.IntRange(0, 3).Draw(t, "retries") {
		sent := p.DelegateAllBut(rapid.IntRange(0, 1).Draw(t, "keep"))
		p.Return(sent, delivery(t, sent, depth, retries))
		if rapid.Bool().Draw(t, "counted twice") {
			p.Return(sent, sent)
		}
		if p.Spend() {
			*retries++
		}
	}
	if rapid.Bool().Draw(t, "returns too much") {
		return budget + 5
	}
	return p.Left()
}

// delivery simulates the nested calls of a target. Concurrent calls hold separate parts of
// the budget.
func delivery(t *rapid.T, budget, depth int, retries *int) (returned int) {
	if depth == 0 || rapid.Bool().Draw(t, "leaf") {
		return budget
	}
	p := NewAttemptBudget(budget)
	type open struct{ budget, returned int }
	var parallel []open
	for range rapid.IntRange(0, 3).Draw(t, "nested calls") {
		delegated := p.DelegateHalf()
		c := open{budget: delegated, returned: callTree(t, delegated, depth-1, retries)}
		if rapid.Bool().Draw(t, "sequential") {
			p.Return(c.budget, c.returned)
			continue
		}
		parallel = append(parallel, c)
	}
	for _, c := range parallel {
		if !rapid.Bool().Draw(t, "answer lost") {
			p.Return(c.budget, c.returned)
		}
	}
	return p.Left()
}

// TestBudgetOfTree guards against retries that multiply along a chain of calls. Sequential
// and concurrent calls, lost answers and answers that return too much must never cause more
// retries than the budget set at the entry node.
func TestBudgetOfTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 16).Draw(t, "budget")
		retries := 0
		callTree(t, budget, 4, &retries)
		if retries > budget {
			t.Errorf("got %d retries, want at most %d", retries, budget)
		}
	})
}

// TestRatio guards against retries above the allowed fraction of the calls of their link,
// and against a link with few calls that can never retry.
func TestRatio(t *testing.T) {
	link := netip.MustParseAddrPort("127.0.0.1:1")
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		now, r := start, NewLinkBudgets()
		calls, retries := 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.Bool().Draw(t, "call") {
				r.CountCall(now, link)
				calls++
			} else if r.AllowRetry(now, link, 0.1) {
				retries++
			}
			periods := 1 + now.Sub(start).Seconds()/decayTime.Seconds()
			if most := 0.1*calls + minRetries*periods; retries > most+1e-6 {
				t.Fatalf("got %v retries, want at most %v", retries, most)
			}
		}
		if !r.AllowRetry(now.Add(10*decayTime), link, 0.1) {
			t.Error("got no retry on an idle link, want one")
		}
	})
}

// TestBackoff guards against backoff without jitter and backoff that grows without bound.
func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for attempt, bound := range []time.Duration{5, 10, 20, 40, 80, 160, 320, 500, 500} {
		low, high := time.Hour, time.Duration(0)
		for range 1000 {
			got := Backoff(attempt, random.Int64N)
			low, high = min(low, got), max(high, got)
		}
		bound *= time.Millisecond
		if low <= 0 || low > bound/50 || high > bound || high < bound*49/50 {
			t.Errorf("attempt %d: got waits from %v to %v, want them spread from 0 to %v", attempt, low, high, bound)
		}
	}
	if got := Backoff(1000, func(n int64) int64 { return n - 1 }); got != maxBackoff {
		t.Errorf("attempt 1000: got %v, want %v", got, maxBackoff)
	}
}
