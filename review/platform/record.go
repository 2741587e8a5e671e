package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes record.txt and counts the violations of the rule.
type record struct {
	mu         sync.Mutex
	began      time.Time
	file       *os.File
	out        *bufio.Writer
	violations int
}

func newRecord(dir string) (r *record, err error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// at returns a time in seconds since the start of the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.began).Seconds()) }

// line writes one line with the time of the event.
func (r *record) line(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%s "+format+"\n", append([]any{r.at(t)}, args...)...)
}

// note writes a line to the record and to standard output.
func (r *record) note(format string, args ...any) {
	now := time.Now()
	r.line(now, format, args...)
	fmt.Printf("%s "+format+"\n", append([]any{r.at(now)}, args...)...)
}

// violate records a violation of the rule.
func (r *record) violate(format string, args ...any) {
	r.mu.Lock()
	r.violations++
	n := r.violations
	r.mu.Unlock()
	if n > maxPrintedViolations {
		r.line(time.Now(), "BROKEN "+format, args...)
		return
	}
	r.note("BROKEN "+format, args...)
}

// maxPrintedViolations is how many violations are also printed to standard output.
const maxPrintedViolations = 8

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
