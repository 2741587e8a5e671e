// Package ring provides the bounded rings that join the duties of a node.
package ring

import (
	"context"
	"expvar"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Ring is a first-in first-out ring of fixed capacity. Offer refuses when the
// ring is full, Send waits.
type Ring struct {
	events  chan mesh.Event
	refused *expvar.Int
}

// New returns a ring and publishes its depth and refusals in vars under name.
func New(vars *expvar.Map, name string, capacity int) (r *Ring) {
	r = &Ring{events: make(chan mesh.Event, capacity), refused: new(expvar.Int)}
	vars.Set(name+"-depth", expvar.Func(func() any { return len(r.events) }))
	vars.Set(name+"-refused", r.refused)
	return r
}

// Offer adds the event and reports false when the ring is full.
func (r *Ring) Offer(event mesh.Event) (taken bool) {
	select {
	case r.events <- event:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Send adds the event and waits while the ring is full.
func (r *Ring) Send(ctx context.Context, event mesh.Event) (err error) {
	select {
	case r.events <- event:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Events returns the consumer's end.
func (r *Ring) Events() <-chan mesh.Event { return r.events }

// Reply is a ring of capacity one for the answer to one request. A second
// answer is dropped, so a late one has nowhere else to go.
type Reply struct{ events chan mesh.Event }

// NewReply returns an empty reply ring.
func NewReply() (r Reply) { return Reply{events: make(chan mesh.Event, 1)} }

// Answer sets the answer and reports false when there already was one.
func (r Reply) Answer(event mesh.Event) (taken bool) {
	select {
	case r.events <- event:
		return true
	default:
		return false
	}
}

// Events returns the receiver's end.
func (r Reply) Events() <-chan mesh.Event { return r.events }
