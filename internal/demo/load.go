package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// resultKind is the result of a request as seen by its caller.
type resultKind uint8

const (
	// answered requests received the complete answer of a target in time.
	answered resultKind = iota

	// refused requests were refused with the outcome not-run.
	refused

	// rateLimited requests were refused by their organisation's rate limit.
	rateLimited

	// unknown requests may have run.
	unknown
)

type result struct {
	kind    resultKind
	latency time.Duration
}

type client struct{ http *http.Client }

func newClient() (c *client) {
	return &client{http: &http.Client{
		Timeout:   3 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}}
}

// send sends a single request.
func (c *client) send(ctx context.Context, entry netip.AddrPort, organisation mesh.OrganisationName, payout bool) (r result) {
	method, path := http.MethodGet, "/booking/quotes"
	if payout {
		method, path = http.MethodPost, "/booking/payouts"
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+path, strings.NewReader(""))
	if err != nil {
		return result{kind: unknown}
	}
	request.Header.Set("Authorization", "Bearer "+organisationKeys[organisation])
	started := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return result{kind: unknown, latency: time.Since(started)}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	r.latency = time.Since(started)
	switch {
	case err == nil && response.StatusCode == http.StatusOK:
		r.kind = answered
	case response.Header.Get(header.Code) == string(header.RateExceeded):
		r.kind = rateLimited
	case response.Header.Get(header.Outcome) == string(header.NotRun):
		r.kind = refused
	default:
		r.kind = unknown
	}
	return r
}

// workload is the load that one organisation generates.
type workload struct {
	organisation mesh.OrganisationName
	rate         float64 // in requests per second

	// payoutFraction is the fraction of requests that are payouts, from 0 to 1.
	payoutFraction float64

	// immediateRetries is the number of retries of a refused request, without backoff.
	immediateRetries int
}

// requestStats counts the requests of one organisation and kind in a phase by the result of
// their last attempt.
type requestStats struct {
	sent, answered, refused, rateLimited, unknown int

	latencies *hdrhistogram.Histogram
}

func newRequestStats() (t *requestStats) {
	return &requestStats{latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)}
}

func (t *requestStats) add(r result) {
	t.sent++
	switch r.kind {
	case answered:
		t.answered++
		_ = t.latencies.RecordValue(r.latency.Microseconds())
	case refused:
		t.refused++
	case rateLimited:
		t.rateLimited++
	case unknown:
		t.unknown++
	}
}

// answeredPercent returns the percentage of sent requests that were answered.
func (t *requestStats) answeredPercent() (percent float64) {
	return 100 * float64(t.answered) / float64(max(1, t.sent))
}

func (t *requestStats) quantile(q float64) (d time.Duration) {
	return time.Duration(t.latencies.ValueAtQuantile(q)) * time.Microsecond
}

// phase contains the measurements of one phase of the demo.
type phase struct {
	name   string
	length time.Duration
	mu     sync.Mutex
	stats  map[string]*requestStats

	// answersPerSecond is the number of answers in each second of the phase.
	answersPerSecond []int
}

func (p *phase) record(name string, since time.Duration, r result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, found := p.stats[name]
	if !found {
		t = newRequestStats()
		p.stats[name] = t
	}
	t.add(r)
	if i := int(since / time.Second); r.kind == answered && i < len(p.answersPerSecond) {
		p.answersPerSecond[i]++
	}
}

// run generates the workloads for the length of the phase. Each sends requests at a
// constant rate to random entry nodes.
func (f *fleet) run(ctx context.Context, name string, length time.Duration, workloads ...workload) (p *phase) {
	p = &phase{name: name, length: length, stats: make(map[string]*requestStats), answersPerSecond: make([]int, int(length/time.Second))}
	c := newClient()
	var callers sync.WaitGroup
	started := time.Now()
	for _, d := range workloads {
		callers.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / d.rate))
			defer ticker.Stop()
			for time.Since(started) < length && ctx.Err() == nil {
				<-ticker.C
				callers.Go(func() { f.call(ctx, c, p, d, started) })
			}
		})
	}
	callers.Wait()
	return p
}

// call sends one request with its retries and records the result.
func (f *fleet) call(ctx context.Context, c *client, p *phase, d workload, started time.Time) {
	payout := rand.Float64() < d.payoutFraction
	name := string(d.organisation)
	if payout {
		name += " payouts"
	}
	var r result
	for range d.immediateRetries + 1 {
		r = c.send(ctx, f.entryAddrs[rand.IntN(len(f.entryAddrs))], d.organisation, payout)
		if r.kind == answered || r.kind == unknown {
			break
		}
	}
	p.record(name, time.Since(started), r)
}

// measureLatencies measures the latency of n sequential requests.
func measureLatencies(n int, send func() bool) (t *requestStats, err error) {
	t = newRequestStats()
	for range n {
		started := time.Now()
		if !send() {
			return nil, fmt.Errorf("a request for the latency measurement failed")
		}
		t.add(result{kind: answered, latency: time.Since(started)})
		time.Sleep(time.Millisecond)
	}
	return t, nil
}
