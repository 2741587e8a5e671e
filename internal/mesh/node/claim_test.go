package node

import (
	"context"
	"encoding/binary"
	"errors"
	"expvar"
	"fmt"
	"io"
	"log"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/logs"
	"github.com/quetzalstack/quetzalstack/internal/mesh/store"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// fakeTable is an in-memory table that answers after delay. If the context of a write
// ends earlier, its answer is lost, but the write is applied.
type fakeTable struct {
	mesh.Objects
	mu    sync.Mutex
	delay time.Duration

	// loseAnswers is the number of next writes that are applied without an answer.
	loseAnswers int

	rows    map[string]mesh.Row
	commits int
}

// setFaults sets the delay and the number of writes whose answer is lost.
func (f *fakeTable) setFaults(delay time.Duration, lose int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay, f.loseAnswers = delay, lose
}

func (f *fakeTable) wait(ctx context.Context) (err error) {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return mesh.ErrPlatformUnavailable
	}
}

// Read implements mesh.Table.
func (f *fakeTable) Read(ctx context.Context, key string) (row mesh.Row, found bool, err error) {
	if err := f.wait(ctx); err != nil {
		return row, false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	row, found = f.rows[key]
	return row, found, nil
}

// List implements mesh.Table.
func (f *fakeTable) List(context.Context, string, string, int) (rows []mesh.Row, err error) {
	return nil, mesh.ErrPlatformUnavailable
}

// Commit implements mesh.Table.
func (f *fakeTable) Commit(ctx context.Context, writes []mesh.Write) (err error) {
	answered := f.wait(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	for _, w := range writes {
		if row := f.rows[w.Key]; row.Version != w.Version {
			row.Key = w.Key
			return errors.Join(answered, &mesh.ConflictError{Current: row})
		}
	}
	for _, w := range writes {
		f.rows[w.Key] = mesh.Row{Key: w.Key, Value: w.Value, Version: w.Version + 1}
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return mesh.ErrPlatformUnavailable
	}
	return answered
}

func quietLog() (l logs.Log) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logs.WithPrefix(logger, "test")
}

// startClaimDuty starts a claim duty and its platform duty.
func startClaimDuty(ctx context.Context, platform mesh.Platform) (d *claimDuty) {
	vars := new(expvar.Map)
	p := newPlatformDuty(vars, "platform", platform)
	d = newClaimDuty(vars, p, func() time.Duration { return 24 * time.Hour }, quietLog())
	go func() { _ = p.Run(ctx) }()
	go func() { _ = d.Run(ctx) }()
	return d
}

var testCalls atomic.Uint64

// newTestCall returns a call with a unique id that carries the current time. It does not
// use the uuid package, whose UUIDv7 times never decrease, not even in a test whose
// clock starts earlier.
func newTestCall(timeout time.Duration) (c *mesh.Call) {
	now := time.Now()
	c = &mesh.Call{Organisation: "org", Route: &mesh.Route{Service: "ledger"}, Deadline: now.Add(timeout)}
	binary.BigEndian.PutUint64(c.ID[:8], uint64(now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(c.ID[8:], testCalls.Add(1))
	return c
}

// TestClaimDuty guards against a duty that blocks while a platform request is pending,
// an answer that reaches another request, and a claim that is not released when its
// request was not run.
func TestClaimDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := &fakeTable{delay: 5 * time.Millisecond, rows: make(map[string]mesh.Row), loseAnswers: 1}
		one, two := startClaimDuty(ctx, f), startClaimDuty(ctx, f)
		call := newTestCall(time.Second)
		if got := one.Claim(ctx, call); got != nil {
			t.Fatalf("claim with a lost answer: got %v, want none", got)
		}
		resend := *call
		for _, d := range []*claimDuty{one, two} {
			if got := d.Claim(ctx, &resend); got == nil || got.Outcome != header.Unknown || got.Code != header.AlreadyClaimed {
				t.Errorf("resend: got %v, want an unknown outcome, already claimed", got)
			}
		}
		f.setFaults(f.delay, 1)
		one.Release(call)
		if got := two.Claim(ctx, &resend); got != nil {
			t.Errorf("resend after a release with a lost answer: got %v, want none", got)
		}
		synctest.Wait()
		if len(one.claims)+len(one.releases)+len(two.claims)+len(two.releases) != 0 {
			t.Errorf("got unanswered replies, want none")
		}
	})
}

// TestClaimWaitsUntilDeadline guards against a claim that waits for a slow platform
// beyond the deadline, and against one that is written after the deadline and blocks
// resends of the request.
func TestClaimWaitsUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := &fakeTable{rows: make(map[string]mesh.Row)}
		d := startClaimDuty(ctx, f)
		if got := d.Claim(ctx, newTestCall(time.Second)); got != nil {
			t.Fatal(got)
		}
		f.setFaults(700*time.Millisecond, 0)
		call := newTestCall(300 * time.Millisecond)
		within, stop := context.WithDeadline(ctx, call.Deadline)
		defer stop()
		got := d.Claim(within, call)
		if now := time.Now(); got == nil || got.Outcome != header.NotRun || now.After(call.Deadline) {
			t.Errorf("got %v at %v, want it refused as not run by %v", got, now, call.Deadline)
		}
		time.Sleep(10 * time.Second)
		f.setFaults(0, 0)
		resend := *call
		resend.Deadline = time.Now().Add(time.Second)
		if got := d.Claim(ctx, &resend); got != nil {
			t.Errorf("resend: got %v, want none", got)
		}
	})
}

// TestClaimsShareTransactions guards against concurrent claims that are written in one
// transaction each instead of in batches.
func TestClaimsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := &fakeTable{delay: 5 * time.Millisecond, rows: make(map[string]mesh.Row)}
		d := startClaimDuty(ctx, f)
		const claims = 500
		var group sync.WaitGroup
		for range claims {
			group.Go(func() {
				if got := d.Claim(ctx, newTestCall(time.Second)); got != nil {
					t.Errorf("got %v, want none", got)
				}
			})
		}
		group.Wait()
		if f.commits > 8 {
			t.Errorf("got %d transactions for %d claims, want at most 8", f.commits, claims)
		}
	})
}

// TestClaimsOverHTTP guards against a request that is granted to both of two nodes, or
// to none, when answers of the platform are lost.
func TestClaimsOverHTTP(t *testing.T) {
	platform := stub.New()
	server := httptest.NewUnstartedServer(platform.Handler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	duties := []*claimDuty{startClaimDuty(ctx, store.New(addr)), startClaimDuty(ctx, store.New(addr))}
	const requests = 400
	grants := make([]atomic.Int64, requests)
	var group sync.WaitGroup
	for i := range requests {
		call := newTestCall(20 * time.Second)
		if i%20 == 0 {
			platform.SetFaults(stub.Faults{LoseAnswers: 2})
		}
		for _, d := range duties {
			sent := *call
			group.Go(func() {
				if d.Claim(ctx, &sent) == nil {
					grants[i].Add(1)
				}
			})
		}
	}
	group.Wait()
	for i := range grants {
		if got := grants[i].Load(); got != 1 {
			t.Errorf("request %d: got %d grants, want 1", i, got)
		}
	}
}

// BenchmarkClaim reports claims per second and their median and 99th percentile latency
// for different numbers of concurrent requests. The stub platform answers after 5 ms.
func BenchmarkClaim(b *testing.B) {
	for _, workers := range []int{1, 16, 100, 400, 1000} {
		b.Run(fmt.Sprintf("requests-%d", workers), func(b *testing.B) { benchmarkClaims(b, workers) })
	}
}

func benchmarkClaims(b *testing.B, workers int) {
	platform := stub.New()
	platform.SetFaults(stub.Faults{Delay: 5 * time.Millisecond})
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := startClaimDuty(ctx, store.New(netip.MustParseAddrPort(server.Listener.Addr().String())))
	d.Claim(ctx, newTestCall(time.Second))
	b.ReportAllocs()
	measureClaims(b, platform, []*claimDuty{d}, workers)
}

// measureClaims runs at least b.N claims in total, with the same number of workers at
// each duty.
func measureClaims(b *testing.B, platform *stub.Stub, duties []*claimDuty, workers int) {
	before := platform.Counts()
	latencies := make([][]time.Duration, len(duties)*workers)
	b.ResetTimer()
	var group sync.WaitGroup
	for w := range latencies {
		group.Go(func() {
			for range b.N/len(latencies) + 1 {
				started := time.Now()
				if got := duties[w%len(duties)].Claim(context.Background(), newTestCall(10*time.Second)); got != nil {
					b.Error(got)
				}
				latencies[w] = append(latencies[w], time.Since(started))
			}
		})
	}
	group.Wait()
	elapsed := b.Elapsed()
	all := slices.Sorted(slices.Values(slices.Concat(latencies...)))
	b.ReportMetric(float64(len(all))/elapsed.Seconds(), "claims/s")
	b.ReportMetric(float64(platform.Counts().Writes-before.Writes)/elapsed.Seconds(), "transactions/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1000, "ms-p99")
}
