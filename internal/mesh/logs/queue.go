package logs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queueCapacity is the number of log lines that are buffered for a slow output.
const queueCapacity = 2048

// Queue is an asynchronous writer for log lines that never blocks its caller. When the
// buffer is full, new lines are dropped and counted.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewQueue returns a queue in front of out. Run writes the queued lines to out.
func NewQueue(out io.Writer) (q *Queue) {
	return &Queue{out: out, lines: make(chan []byte, queueCapacity)}
}

// Write implements io.Writer. It never blocks.
func (q *Queue) Write(line []byte) (n int, err error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() (n uint64) { return q.dropped.Load() }

// Name implements mesh.Duty.
func (q *Queue) Name() string { return "logs" }

// Run implements mesh.Duty. It flushes queued lines before it returns.
func (q *Queue) Run(ctx context.Context) (err error) {
	var reported uint64
	for {
		select {
		case line := <-q.lines:
			if err := q.write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return q.flush()
		}
		if dropped := q.dropped.Load(); dropped != reported {
			if err := q.write(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"logs: lines dropped\",\"lines\":%d}\n", dropped-reported)); err != nil {
				return err
			}
			reported = dropped
		}
	}
}

// write writes a line and all queued lines in a single call to the output.
func (q *Queue) write(line []byte) (err error) {
	for len(q.lines) > 0 {
		line = append(line, <-q.lines...)
	}
	_, err = q.out.Write(line)
	return err
}

func (q *Queue) flush() (err error) {
	select {
	case line := <-q.lines:
		return q.write(line)
	default:
		return nil
	}
}
