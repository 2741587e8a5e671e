// Package calls records the deliveries that run at the targets of this host,
// so that deeper calls of a target are tied to the request they belong to.
package calls

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/retry"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// Token stands for one delivery towards its target. It is random, so that a
// target cannot guess that of another delivery.
type Token string

// Tracker is the owner's record of deliveries.
type Tracker struct{ deliveries map[Token]*delivery }

type delivery struct {
	call *mesh.Call
	pot  *retry.Pot

	// ordinals counts the deeper calls to each route.
	ordinals map[ordinalKey]int

	// level is the lowest level that a deeper answer carried.
	level mesh.Class
}

type ordinalKey struct {
	service mesh.ServiceName
	route   string
}

// New returns an empty book.
func New() (b *Tracker) { return &Tracker{deliveries: make(map[Token]*delivery)} }

// Len returns the number of deliveries that run.
func (b *Tracker) Len() (n int) { return len(b.deliveries) }

// Open records a delivery.
func (b *Tracker) Open(token Token, call *mesh.Call) {
	b.deliveries[token] = &delivery{
		call:     call,
		pot:      retry.NewPot(call.AttemptsLeft),
		ordinals: make(map[ordinalKey]int),
		level:    mesh.ClassLow,
	}
}

// Close ends a delivery and returns what is left of its retry budget and the
// lowest level that its deeper calls met.
func (b *Tracker) Close(token Token) (attempts int, level mesh.Class) {
	d, found := b.deliveries[token]
	if !found {
		return 0, mesh.ClassLow
	}
	delete(b.deliveries, token)
	return d.pot.Left(), d.level
}

// NewNested returns a call that the target of a delivery makes to route. It takes
// half of the delivery's retry budget along and is given a derived request id.
func (b *Tracker) NewNested(now time.Time, token Token, route *mesh.Route) (call *mesh.Call, refusal *mesh.Refusal) {
	d, found := b.deliveries[token]
	if !found {
		return nil, mesh.NotRun(header.CallEnded, "the delivery that %s stands for has ended", header.Call)
	}
	key := ordinalKey{service: route.Service, route: route.Name}
	d.ordinals[key]++
	deadline := d.call.Deadline
	if own := now.Add(route.Timeout); own.Before(deadline) {
		deadline = own
	}
	deeper := *d.call
	deeper.Nested = true
	deeper.ID = d.call.ID.Derive(route.Service, route.Name, d.ordinals[key])
	deeper.Route = route
	deeper.Deadline = deadline
	deeper.AttemptsLeft = d.pot.TakeHalf()
	return &deeper, nil
}

// ReturnBudget takes back what a deeper call left of its retry budget, and the
// level that its answer carried.
func (b *Tracker) ReturnBudget(token Token, given, returned int, level mesh.Class) {
	d, found := b.deliveries[token]
	if !found {
		return
	}
	d.pot.Return(given, returned)
	d.level = min(d.level, level)
}

// Call returns the call of a delivery that runs.
func (b *Tracker) Call(token Token) (call *mesh.Call, found bool) {
	d, found := b.deliveries[token]
	if !found {
		return nil, false
	}
	return d.call, true
}
