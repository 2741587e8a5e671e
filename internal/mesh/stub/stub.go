// Package stub implements an in-memory stub of the platform's table service and
// object store, with fault injection, for demos and tests.
package stub

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Rate limits of the platform, in requests per second.
const (
	DefaultWrites = 500
	DefaultReads  = 2000
)

// maxWrites is the maximum number of writes in a transaction.
const maxWrites = 100

// Errors of requests that are not answered or not served.
var (
	errUnavailable = fmt.Errorf("%w: injected outage", mesh.ErrPlatformUnavailable)
	errRateLimited = fmt.Errorf("%w: request rate limit exceeded", mesh.ErrPlatformUnavailable)
	errAnswerLost  = fmt.Errorf("%w: the answer was lost", mesh.ErrPlatformUnavailable)
)

// errTransactionSize means that a transaction is empty or too large.
var errTransactionSize = fmt.Errorf("a transaction must have from 1 to %d writes", maxWrites)

// Faults are the faults that the stub injects.
type Faults struct {
	// Down makes every request fail before it takes effect.
	Down bool `json:"down"`

	// Delay is added to every request. A write whose caller times out during the
	// delay still takes effect.
	Delay time.Duration `json:"delay"`

	// LoseAnswers is the number of writes that take effect but are not answered.
	LoseAnswers int `json:"lose-answers"`

	// LateWrites is the number of writes that are not answered and take effect after
	// LateBy.
	LateWrites int `json:"late-writes"`

	LateBy time.Duration `json:"late-by"`

	// Every limits LoseAnswers and LateWrites to every n-th write.
	Every int `json:"every"`
}

// Counts holds the numbers of requests since the start.
type Counts struct {
	// Reads and Writes are the numbers of requests within the rate limits. A
	// transaction counts as one write.
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`

	// RefusedReads and RefusedWrites are the numbers of requests above the rate limits.
	RefusedReads  int64 `json:"refused-reads"`
	RefusedWrites int64 `json:"refused-writes"`

	// PeakReads and PeakWrites are the highest numbers of requests served in one second.
	PeakReads  int64 `json:"peak-reads"`
	PeakWrites int64 `json:"peak-writes"`
}

// Stub is an in-memory platform. It implements mesh.Platform, so that tests can use
// it without a network.
type Stub struct {
	limits struct{ reads, writes int64 }

	mu sync.Mutex

	// sequence is the last row version. It is shared by all rows, so that a row that
	// is deleted and created again never reuses a version.
	sequence uint64

	rows    map[string]mesh.Row
	objects map[string][]byte
	faults  Faults
	counts  Counts
	window  window
}

// window counts the requests in the current second.
type window struct {
	start         time.Time
	reads, writes int64
}

// Option configures a Stub.
type Option func(*Stub)

// WithLimits sets the rate limits, in writes and reads per second.
func WithLimits(writes, reads int64) Option {
	return func(s *Stub) { s.limits.writes, s.limits.reads = writes, reads }
}

// New returns an empty platform.
func New(options ...Option) (s *Stub) {
	s = &Stub{rows: make(map[string]mesh.Row), objects: make(map[string][]byte)}
	s.limits.writes, s.limits.reads = DefaultWrites, DefaultReads
	for _, o := range options {
		o(s)
	}
	return s
}

// SetFaults replaces the injected faults.
func (s *Stub) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Stub) Faults() (f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the request counters.
func (s *Stub) Counts() (counts Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Read implements mesh.Table.
func (s *Stub) Read(ctx context.Context, key string) (row mesh.Row, found bool, err error) {
	if err := s.startRead(ctx); err != nil {
		return row, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, found = s.rows[key]
	return row, found, nil
}

// List implements mesh.Table.
func (s *Stub) List(ctx context.Context, prefix, after string, limit int) (rows []mesh.Row, err error) {
	if err := s.startRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = []mesh.Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b mesh.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// Get implements mesh.Objects.
func (s *Stub) Get(ctx context.Context, name string) (data []byte, err error) {
	if err := s.startRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, found := s.objects[name]
	if !found {
		return nil, mesh.ErrObjectNotFound
	}
	return data, nil
}

// Commit implements mesh.Table.
func (s *Stub) Commit(ctx context.Context, writes []mesh.Write) (err error) {
	if len(writes) == 0 || len(writes) > maxWrites {
		return errTransactionSize
	}
	writes = slices.Clone(writes)
	return s.write(ctx, func() error { return s.apply(writes) })
}

// Put implements mesh.Objects.
func (s *Stub) Put(ctx context.Context, name string, data []byte) (err error) {
	data = slices.Clone(data)
	return s.write(ctx, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.objects[name] = data
		return nil
	})
}

// startRead counts a read and injects faults.
func (s *Stub) startRead(ctx context.Context) (err error) {
	f, err := s.admit(s.countRead)
	if err != nil {
		return err
	}
	if left := sleep(ctx, f.Delay); left > 0 {
		return errors.Join(errAnswerLost, context.Cause(ctx))
	}
	return nil
}

// write counts a write, injects faults and runs apply.
func (s *Stub) write(ctx context.Context, apply func() error) (err error) {
	if _, err := s.admit(s.countWrite); err != nil {
		return err
	}
	f := s.consumeWriteFault()
	if f.LateWrites > 0 {
		time.AfterFunc(f.LateBy, func() { _ = apply() })
		return errAnswerLost
	}
	if left := sleep(ctx, f.Delay); left > 0 {
		time.AfterFunc(left, func() { _ = apply() })
		return errors.Join(errAnswerLost, context.Cause(ctx))
	}
	if err = apply(); f.LoseAnswers > 0 {
		return errAnswerLost
	}
	return err
}

// admit counts a request and returns the faults to inject. It fails when the stub is
// down or the rate limit is exceeded.
func (s *Stub) admit(count func() bool) (f Faults, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceWindow(time.Now())
	switch {
	case s.faults.Down:
		return f, errUnavailable
	case !count():
		return f, errRateLimited
	}
	return s.faults, nil
}

// consumeWriteFault returns the faults to inject into a write, and decrements the
// counter of the injected one.
func (s *Stub) consumeWriteFault() (f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f = s.faults
	if f.Every > 1 && s.counts.Writes%int64(f.Every) != 0 {
		f.LateWrites, f.LoseAnswers = 0, 0
		return f
	}
	switch {
	case f.LateWrites > 0:
		s.faults.LateWrites--
	case f.LoseAnswers > 0:
		s.faults.LoseAnswers--
	}
	return f
}

func (s *Stub) advanceWindow(now time.Time) {
	if now.Sub(s.window.start) >= time.Second {
		s.window = window{start: now}
	}
}

func (s *Stub) countRead() (served bool) {
	if s.window.reads >= s.limits.reads {
		s.counts.RefusedReads++
		return false
	}
	s.window.reads++
	s.counts.Reads++
	s.counts.PeakReads = max(s.counts.PeakReads, s.window.reads)
	return true
}

func (s *Stub) countWrite() (served bool) {
	if s.window.writes >= s.limits.writes {
		s.counts.RefusedWrites++
		return false
	}
	s.window.writes++
	s.counts.Writes++
	s.counts.PeakWrites = max(s.counts.PeakWrites, s.window.writes)
	return true
}

// sleep waits for d. It returns the remaining time when ctx is done first, otherwise 0.
func sleep(ctx context.Context, d time.Duration) (remaining time.Duration) {
	if d <= 0 {
		return 0
	}
	started := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return 0
	case <-ctx.Done():
		return max(time.Nanosecond, d-time.Since(started))
	}
}

// apply commits all writes, or none when a precondition fails.
func (s *Stub) apply(writes []mesh.Write) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		row, found := s.rows[w.Key]
		switch {
		case w.Condition == mesh.IfAbsent && found,
			w.Condition == mesh.IfVersion && row.Version != w.Version:
			row.Key = w.Key
			return &mesh.ConflictError{Current: row}
		}
	}
	for _, w := range writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.sequence++
		s.rows[w.Key] = mesh.Row{Key: w.Key, Value: w.Value, Version: s.sequence}
	}
	return nil
}
