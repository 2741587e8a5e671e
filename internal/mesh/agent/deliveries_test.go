package agent

import (
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestInheritPriority guards against a nested call that does not inherit the priority of its parent
// request, and against one that inherits it from a request that has already ended.
func TestInheritPriority(t *testing.T) {
	rh := &requestHandler{deliveries: newDeliveries()}
	parent := &mesh.Call{CallerRequestID: "p", Class: mesh.ClassNormal, Rank: 2, Organisation: "o", Retry: true}
	inherit := func(id string) (call mesh.Call) {
		call = mesh.Call{Class: mesh.ClassCritical, Rank: 1}
		rh.inheritPriority(&call, id)
		return call
	}
	rh.deliveries.begin(parent)
	got, want := inherit("p"), mesh.Call{Class: mesh.ClassNormal, Rank: 2, Nested: true, ParentOrganisation: "o", Retry: true}
	if got != want {
		t.Errorf("running parent: got %+v, want %+v", got, want)
	}
	unknown := mesh.Call{Class: mesh.ClassCritical, Rank: 1, Nested: true, ParentUnknown: true}
	for _, id := range []string{"", "other"} {
		if got := inherit(id); got != unknown {
			t.Errorf("parent %q: got %+v, want %+v", id, got, unknown)
		}
	}
	again := *parent
	rh.deliveries.begin(&again)
	rh.deliveries.end(parent)
	if got := inherit("p"); got != want {
		t.Errorf("retry that still runs: got %+v, want %+v", got, want)
	}
	rh.deliveries.end(&again)
	if got := inherit("p"); got != unknown {
		t.Errorf("ended parent: got %+v, want %+v", got, unknown)
	}
}

// TestPass guards against a field of a call that is lost between the sending node and the node
// of the target.
func TestPass(t *testing.T) {
	now := time.Unix(1e9, 0)
	want := &mesh.Call{
		Route:           &mesh.Route{Name: "r", Service: "s", Idempotent: true, LatencyObjective: time.Second},
		CallerRequestID: "p.1", Caller: "c", Class: mesh.ClassNormal, Rank: 2, Nested: true, ParentOrganisation: "o", Retry: true, Weight: 1,
		Deadline: now.Add(time.Second),
	}
	value, err := encodePass(now, want, mesh.Endpoint{Target: mesh.Target{Name: "i"}})
	if err != nil {
		t.Fatal(err)
	}
	got, target, err := decodePass(now, value)
	if err != nil {
		t.Fatal(err)
	}
	if got.Route.Name != want.Route.Name || got.Route.Idempotent != want.Route.Idempotent || target != "i" {
		t.Errorf("got route %+v and target %q, want %+v and i", got.Route, target, want.Route)
	}
	if left := got.Deadline.Sub(now); left != nextHopTime(time.Second) {
		t.Errorf("got %v left, want %v", left, nextHopTime(time.Second))
	}
	got.Route, got.Deadline = want.Route, want.Deadline
	if *got != *want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
