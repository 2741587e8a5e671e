package node

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
	meterRing = 4096

	// Range and digits of the histograms, in microseconds.
	minLatency   = 1
	maxLatency   = int64(10 * time.Minute / time.Microsecond)
	latencyDigit = 2
)

// meterDuty owns the histograms. Full ring: the measurement is dropped and counted.
type meterDuty struct {
	events  *ring.Ring
	answers *expvar.Map

	// mu guards histograms, which expvar reads when metrics are served.
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newMeterDuty(vars *expvar.Map) (d *meterDuty) {
	d = &meterDuty{
		events:     ring.New(vars, "meter", meterRing),
		answers:    new(expvar.Map),
		histograms: make(map[string]*hdrhistogram.Histogram),
	}
	vars.Set("answers", d.answers)
	vars.Set("latency", expvar.Func(d.latencies))
	return d
}

// Name implements mesh.Duty.
func (d *meterDuty) Name() string { return "meter" }

// measurement is how one request of a caller ended.
type measurement struct {
	organisation mesh.OrganisationName
	class        mesh.Class
	outcome      header.OutcomeValue
	code         header.RefusalCode
	latency      time.Duration
}

// EventName implements mesh.Event.
func (measurement) EventName() string { return "measurement" }

// Run implements mesh.Duty.
func (d *meterDuty) Run(ctx context.Context) (err error) {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.Events():
			d.record(e.(measurement))
		}
	}
}

func (d *meterDuty) record(s measurement) {
	if s.code != "" {
		d.answers.Add("refused-"+string(s.code), 1)
	}
	d.answers.Add(string(s.outcome), 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.histogram("class-" + s.class.String()).RecordValue(s.latency.Microseconds())
	if s.organisation != "" {
		d.histogram("organisation-" + string(s.organisation)).RecordValue(s.latency.Microseconds())
	}
}

func (d *meterDuty) histogram(name string) (h *hdrhistogram.Histogram) {
	h, found := d.histograms[name]
	if !found {
		h = hdrhistogram.New(minLatency, maxLatency, latencyDigit)
		d.histograms[name] = h
	}
	return h
}

// summary is what the metrics show of a histogram. Times are in microseconds.
type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-us"`
	P99   int64 `json:"p99-us"`
	Max   int64 `json:"max-us"`
}

func (d *meterDuty) latencies() (values any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]summary, len(d.histograms))
	for name, h := range d.histograms {
		all[name] = summary{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
	}
	return all
}
