// Package meter records the outcomes and latencies of requests as metrics.
package meter

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/ring"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	queueCapacity = 4096

	// Range of the histograms in microseconds, and their precision in significant digits.
	minLatency        = 1
	maxLatency        = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Duty maintains the histograms. When its queue is full, a measurement is dropped and
// counted.
type Duty struct {
	events  *ring.Ring
	answers *expvar.Map

	// mu guards histograms, which expvar reads while it serves metrics.
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// New returns the duty and publishes its metrics in vars.
func New(vars *expvar.Map) (d *Duty) {
	d = &Duty{
		events:     ring.New(vars, "meter", queueCapacity),
		answers:    new(expvar.Map),
		histograms: make(map[string]*hdrhistogram.Histogram),
	}
	vars.Set("answers", d.answers)
	vars.Set("latency", expvar.Func(d.latencies))
	return d
}

// Name implements mesh.Duty.
func (d *Duty) Name() string { return "meter" }

// Measurement is the outcome and latency of one request of a caller.
type Measurement struct {
	Organisation mesh.OrganisationName
	Class        mesh.Class

	// Route is empty when the request is only counted by class.
	Route   string
	Outcome header.OutcomeValue

	// Code is the refusal code; empty when the target answered.
	Code    header.RefusalCode
	Latency time.Duration

	// Overrun is how long after its deadline the request was answered; zero or below when it
	// was answered in time.
	Overrun time.Duration
}

// EventName implements mesh.Event.
func (Measurement) EventName() string { return "measurement" }

// Record queues a measurement without blocking.
func (d *Duty) Record(m Measurement) { d.events.Offer(m) }

// Run implements mesh.Duty.
func (d *Duty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.record(e.(Measurement))
		}
	}
}

func (d *Duty) record(m Measurement) {
	if m.Code != "" {
		d.answers.Add("refused-"+string(m.Code), 1)
	}
	d.answers.Add(string(m.Outcome), 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.histogram("class-" + m.Class.String()).RecordValue(m.Latency.Microseconds())
	if m.Overrun > 0 {
		d.histogram("overrun").RecordValue(m.Overrun.Microseconds())
	}
	if m.Route != "" {
		d.histogram("route-" + m.Route).RecordValue(m.Latency.Microseconds())
	}
	if m.Organisation != "" {
		d.histogram("organisation-" + string(m.Organisation)).RecordValue(m.Latency.Microseconds())
	}
}

func (d *Duty) histogram(name string) (h *hdrhistogram.Histogram) {
	h, found := d.histograms[name]
	if !found {
		h = hdrhistogram.New(minLatency, maxLatency, significantDigits)
		d.histograms[name] = h
	}
	return h
}

// summary is the exported summary of a histogram. Times are in microseconds.
type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-us"`
	P99   int64 `json:"p99-us"`
	Max   int64 `json:"max-us"`
}

func (d *Duty) latencies() (values any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]summary, len(d.histograms))
	for name, h := range d.histograms {
		all[name] = summary{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
	}
	return all
}
