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

// resultKind is how a request ended for its caller.
type resultKind uint8

const (
	// answered requests brought the whole answer of a target in time.
	answered resultKind = iota

	// refused requests were not run, by the node's word.
	refused

	// rateLimited requests were refused for their organisation's rate.
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

// send makes one request of a caller.
func (c *client) send(ctx context.Context, entry netip.AddrPort, organisation mesh.OrganisationName, payout bool) (r result) {
	method, path := http.MethodGet, "/booking/quotes"
	if payout {
		method, path = http.MethodPost, "/booking/payouts"
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+path, strings.NewReader(""))
	if err != nil {
		return result{kind: unknown}
	}
	request.Header.Set("Authorization", "Bearer "+apiKeys[organisation])
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

// workload is how many requests a second an organisation sends.
type workload struct {
	organisation mesh.OrganisationName
	rate         float64

	// payoutFraction is the part of requests that are payoutFraction, from 0 to 1.
	payoutFraction float64

	// immediateRetries is how often a caller sends a refused request again, at once.
	immediateRetries int
}

// requestStats sums up the requests of one organisation and kind in a phase, by how
// their last attempt ended.
type requestStats struct {
	sent, answered, refused, rateRefused, uncertain int

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
		t.rateRefused++
	case unknown:
		t.uncertain++
	}
}

// answeredPercent returns the answered answeredPercent of what was sent, in percent.
func (t *requestStats) answeredPercent() (percent float64) {
	return 100 * float64(t.answered) / float64(max(1, t.sent))
}

func (t *requestStats) quantile(q float64) (d time.Duration) {
	return time.Duration(t.latencies.ValueAtQuantile(q)) * time.Microsecond
}

// phase is what was measured in one stretch of time.
type phase struct {
	name   string
	length time.Duration
	mu     sync.Mutex
	stats  map[string]*requestStats

	// answersPerSecond counts the answers in each second of the phase.
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

// run sends the demands for the length of the phase, at even distances, to
// random entries.
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

// call is one caller's request with its resends.
func (f *fleet) call(ctx context.Context, c *client, p *phase, d workload, started time.Time) {
	payout := rand.Float64() < d.payoutFraction
	name := string(d.organisation)
	if payout {
		name += " payouts"
	}
	var r result
	for range d.immediateRetries + 1 {
		r = c.send(ctx, f.entries[rand.IntN(len(f.entries))], d.organisation, payout)
		if r.kind == answered || r.kind == unknown {
			break
		}
	}
	p.record(name, time.Since(started), r)
}

// measureLatencies measures one kind of request, one at a time.
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
