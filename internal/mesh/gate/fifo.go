package gate

import (
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// FIFO is a queue in order of arrival that rejects new requests when it is full.
// It is the baseline in comparisons with other queues.
type FIFO struct {
	length  int
	waiting []mesh.Waiter
}

// NewFIFO returns an empty queue with the given maximum length.
func NewFIFO(length int) (q *FIFO) { return &FIFO{length: length} }

// Push implements mesh.Queue.
func (q *FIFO) Push(w mesh.Waiter) (displaced mesh.Waiter, full bool) {
	if len(q.waiting) >= q.length {
		return w, true
	}
	q.waiting = append(q.waiting, w)
	return mesh.Waiter{}, false
}

// Pop implements mesh.Queue.
func (q *FIFO) Pop(time.Time) (next mesh.Waiter, found bool) {
	if len(q.waiting) == 0 {
		return mesh.Waiter{}, false
	}
	next = q.waiting[0]
	q.waiting = q.waiting[1:]
	return next, true
}

// Remove implements mesh.Queue.
func (q *FIFO) Remove(t mesh.Ticket) (found bool) {
	i := slices.IndexFunc(q.waiting, func(w mesh.Waiter) bool { return w.Ticket == t })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Each implements mesh.Queue.
func (q *FIFO) Each(visit func(w mesh.Waiter) (more bool)) {
	for _, w := range q.waiting {
		if !visit(w) {
			return
		}
	}
}

// Resize implements mesh.Queue.
func (q *FIFO) Resize(length int) (displaced []mesh.Waiter) {
	q.length = length
	if len(q.waiting) > length {
		displaced = slices.Clone(q.waiting[length:])
		q.waiting = q.waiting[:length]
	}
	return displaced
}

// Len implements mesh.Queue.
func (q *FIFO) Len() (n int) { return len(q.waiting) }
