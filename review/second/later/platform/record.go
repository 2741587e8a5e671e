package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// run is a request that an instance runs. end and outcome are set once it has ended.
type run struct {
	id, instance string
	at, end      time.Time
	outcome      string
}

// record holds what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	begun    time.Time
	lines    []string
	runs     []*run
	requests []*request

	// breaks are the places at which the rule was broken.
	breaks []string
}

func newRecord() (r *record) { return &record{begun: time.Now()} }

// seconds returns the time of an event as it stands in the record.
func (r *record) seconds(at time.Time) (s float64) { return at.Sub(r.begun).Seconds() }

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(time.Now(), format, args...)
}

func (r *record) add(at time.Time, format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  %s", r.seconds(at), fmt.Sprintf(format, args...)))
}

// broken notes that the rule was broken.
func (r *record) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.breaks = append(r.breaks, text)
	r.add(time.Now(), "RULE BROKEN  %s", text)
}

func (r *record) begin(u *run, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, u)
	r.add(u.at, "run   %s begins at %s: %s", u.id, u.instance, what)
}

func (r *record) finish(u *run, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.end, u.outcome = time.Now(), outcome
	r.add(u.end, "run   %s ends at %s: %s", u.id, u.instance, outcome)
}

func (r *record) send(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

func (r *record) answered(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := fmt.Sprintf("status %d, signature of the instance %t", q.status, q.signed)
	if q.err != nil {
		result += fmt.Sprintf(", %v", q.err)
	}
	r.add(q.done, "sent  %s at %.3f to %s, %s %s: %s", q.id, r.seconds(q.sent), q.to, q.method, q.path, result)
}

// runsByID returns the runs of each request.
func (r *record) runsByID() (runs map[string][]*run) {
	runs = make(map[string][]*run)
	for _, u := range r.runs {
		runs[u.id] = append(runs[u.id], u)
	}
	return runs
}

func (r *record) write(file string) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, l := range r.lines {
		if _, err := fmt.Fprintln(f, l); err != nil {
			return err
		}
	}
	return nil
}
