// Package calls tracks the requests that run at the targets of this host (deliveries), so that
// nested calls of a target are matched to their parent requests.
package calls

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/retry"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// Token identifies one delivery to its target. It is random, so that a target cannot guess the
// token of another delivery.
type Token string

// Tracker holds the deliveries that are running.
type Tracker struct{ deliveries map[Token]*delivery }

type delivery struct {
	call        *mesh.Call
	retryBudget *retry.AttemptBudget

	// ordinals counts the nested calls to each route.
	ordinals map[ordinalKey]int

	// level is the lowest admission level in the answers of nested calls.
	level mesh.Class
}

type ordinalKey struct {
	service mesh.ServiceName
	route   string
}

// New returns an empty tracker.
func New() (t *Tracker) { return &Tracker{deliveries: make(map[Token]*delivery)} }

// Len returns the number of running deliveries.
func (t *Tracker) Len() (n int) { return len(t.deliveries) }

// Open records the start of a delivery.
func (t *Tracker) Open(token Token, call *mesh.Call) {
	t.deliveries[token] = &delivery{
		call:        call,
		retryBudget: retry.NewAttemptBudget(call.AttemptsLeft),
		ordinals:    make(map[ordinalKey]int),
		level:       mesh.ClassLow,
	}
}

// Close removes a delivery. It returns the unspent part of its retry budget and the lowest
// admission level in the answers of its nested calls.
func (t *Tracker) Close(token Token) (attempts int, level mesh.Class) {
	d, found := t.deliveries[token]
	if !found {
		return 0, mesh.ClassLow
	}
	delete(t.deliveries, token)
	return d.retryBudget.Left(), d.level
}

// NewNested returns a nested call to route that the target of a delivery makes. The call takes
// half of the delivery's remaining retry budget and gets a derived request id.
func (t *Tracker) NewNested(now time.Time, token Token, route *mesh.Route) (call *mesh.Call, refusal *mesh.Refusal) {
	d, found := t.deliveries[token]
	if !found {
		return nil, mesh.NotRun(header.CallEnded, "the delivery identified by %s has ended", header.Call)
	}
	key := ordinalKey{service: route.Service, route: route.Name}
	d.ordinals[key]++
	deadline := d.call.Deadline
	if own := now.Add(route.Timeout); own.Before(deadline) {
		deadline = own
	}
	nested := *d.call
	nested.Nested = true
	nested.ID = d.call.ID.Derive(route.Service, route.Name, d.ordinals[key])
	nested.Route = route
	nested.Deadline = deadline
	nested.AttemptsLeft = d.retryBudget.DelegateHalf()
	return &nested, nil
}

// ReturnBudget returns the unspent retry budget of a nested call to its delivery, and records
// the admission level of the answer.
func (t *Tracker) ReturnBudget(token Token, granted, returned int, level mesh.Class) {
	d, found := t.deliveries[token]
	if !found {
		return
	}
	d.retryBudget.Return(granted, returned)
	d.level = min(d.level, level)
}

// Call returns the call of a running delivery.
func (t *Tracker) Call(token Token) (call *mesh.Call, found bool) {
	d, found := t.deliveries[token]
	if !found {
		return nil, false
	}
	return d.call, true
}
