// Package ring provides the bounded queues between the duties of a node.
package ring

import (
	"context"
	"expvar"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Ring is a FIFO queue of fixed capacity. When it is full, Offer rejects the event and
// Send blocks.
type Ring struct {
	events  chan mesh.Event
	refused *expvar.Int
}

// New returns an empty queue and publishes its depth and its number of rejected events
// in vars under name.
func New(vars *expvar.Map, name string, capacity int) (r *Ring) {
	r = &Ring{events: make(chan mesh.Event, capacity), refused: new(expvar.Int)}
	vars.Set(name+"-depth", expvar.Func(func() any { return len(r.events) }))
	vars.Set(name+"-refused", r.refused)
	return r
}

// Offer adds the event without blocking. It reports false when the queue is full.
func (r *Ring) Offer(event mesh.Event) (taken bool) {
	select {
	case r.events <- event:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Send adds the event and blocks while the queue is full, until ctx is done.
func (r *Ring) Send(ctx context.Context, event mesh.Event) (err error) {
	select {
	case r.events <- event:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Events returns the channel that the consumer receives from.
func (r *Ring) Events() <-chan mesh.Event { return r.events }

// Reply holds the reply to a single request. Any further reply is dropped, so a late
// one cannot block its sender or reach another request.
type Reply struct{ events chan mesh.Event }

// NewReply returns an empty reply.
func NewReply() (r Reply) { return Reply{events: make(chan mesh.Event, 1)} }

// Answer sets the reply. It reports false when the reply was already set.
func (r Reply) Answer(event mesh.Event) (taken bool) {
	select {
	case r.events <- event:
		return true
	default:
		return false
	}
}

// Events returns the channel on which the reply arrives.
func (r Reply) Events() <-chan mesh.Event { return r.events }
