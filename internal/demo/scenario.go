package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Lengths of the phases, and the number of requests per latency measurement.
const (
	steadyLength   = 4 * time.Second
	surgeLength    = 6 * time.Second
	recoveryLength = 5 * time.Second
	zoneLength     = 6 * time.Second
	latencyProbes  = 400
)

// report contains the results of the demo.
type report struct {
	direct, viaNodes *requestStats
	phases           []*phase
	recovery         time.Duration
	recovered        bool
}

// scenario runs the phases in sequence.
func (f *fleet) scenario(ctx context.Context, out io.Writer) (r *report, err error) {
	r = new(report)
	if err := f.measureLatency(ctx, out, r); err != nil {
		return nil, err
	}
	steady := []workload{{"large", 150, 0.1, 0}, {"small", 50, 0.1, 0}}
	surge := []workload{{"large", 1200, 0.1, 3}, {"small", 50, 0.1, 0}}
	r.add(out, f.run(ctx, "steady", steadyLength, steady...))
	r.add(out, f.run(ctx, "surge: large sends 3 times its rate, with immediate retries", surgeLength, surge...))
	after := f.run(ctx, "after the surge", recoveryLength, steady...)
	r.add(out, after)
	r.recovery, r.recovered = recovery(after, 200)
	if err := f.putTree(ctx, true); err != nil {
		return nil, err
	}
	r.add(out, f.run(ctx, "zone demo-b taken out", zoneLength, steady...))
	if err := f.putTree(ctx, false); err != nil {
		return nil, err
	}
	r.add(out, f.run(ctx, "zone demo-b returned", zoneLength, steady...))
	return r, ctx.Err()
}

// measureLatency measures the latency of requests to a target, sent directly and through
// the nodes. It calls the last service of the chain, which makes no nested calls, so that
// the service time is the same.
func (f *fleet) measureLatency(ctx context.Context, out io.Writer, r *report) (err error) {
	fmt.Fprintf(out, "measuring the latency that nodes add, %d requests each\n", latencyProbes)
	c := newClient()
	get := func(url string) bool {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return false
		}
		request.Header.Set("Authorization", "Bearer "+organisationKeys["small"])
		response, err := c.http.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err == nil && response.StatusCode == http.StatusOK
	}
	if r.direct, err = measureLatencies(latencyProbes, func() bool { return get("http://" + f.direct.String() + "/x") }); err != nil {
		return err
	}
	entry := f.entryAddrs[0].String()
	r.viaNodes, err = measureLatencies(latencyProbes, func() bool { return get("http://" + entry + "/balance/x") })
	return err
}

// recovery returns the time from the start of a phase after which every second has at
// least 90% of the wanted answers.
func recovery(p *phase, wanted int) (d time.Duration, recovered bool) {
	recoveredAt := len(p.answersPerSecond)
	for i := len(p.answersPerSecond) - 1; i >= 0 && p.answersPerSecond[i] >= wanted*9/10; i-- {
		recoveredAt = i
	}
	return time.Duration(recoveredAt) * time.Second, recoveredAt < len(p.answersPerSecond)
}

func (r *report) add(out io.Writer, p *phase) {
	r.phases = append(r.phases, p)
	fmt.Fprintf(out, "  %s: done\n", p.name)
}

// write prints the report.
func (r *report) write(out io.Writer) {
	fmt.Fprintln(out, "\nreport")
	fmt.Fprintf(out, "  latency of the same call, direct:         p50 %v, p99 %v\n", r.direct.quantile(50), r.direct.quantile(99))
	fmt.Fprintf(out, "  latency of the same call, through nodes:  p50 %v, p99 %v\n", r.viaNodes.quantile(50), r.viaNodes.quantile(99))
	fmt.Fprintf(out, "  added by the nodes:                       p50 %v, p99 %v\n",
		r.viaNodes.quantile(50)-r.direct.quantile(50), r.viaNodes.quantile(99)-r.direct.quantile(99))
	for _, p := range r.phases {
		p.write(out)
	}
	if r.recovered {
		fmt.Fprintf(out, "  recovery after the surge: within %v of its end\n", r.recovery+time.Second)
	} else {
		fmt.Fprintln(out, "  recovery after the surge: not seen")
	}
}

func (p *phase) write(out io.Writer) {
	goodput, worst, worstName := 0, 101.0, ""
	for _, name := range slices.Sorted(maps.Keys(p.stats)) {
		t := p.stats[name]
		goodput += t.answered
		if t.answeredPercent() < worst {
			worst, worstName = t.answeredPercent(), name
		}
	}
	fmt.Fprintf(out, "  %s\n", p.name)
	fmt.Fprintf(out, "    goodput %.0f requests a second; worst served: %s, %.1f%% of its requests answered\n",
		float64(goodput)/p.length.Seconds(), worstName, worst)
	for _, name := range slices.Sorted(maps.Keys(p.stats)) {
		t := p.stats[name]
		fmt.Fprintf(out, "    %-14s sent %5d, answered %5d, refused for rate %5d, refused otherwise %5d, uncertain %3d, p99 %v\n",
			name, t.sent, t.answered, t.rateLimited, t.refused, t.unknown, t.quantile(99))
	}
}
