package gate

import (
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestLanes guards against a wrong priority of ranks and nested calls: a request
// queued behind a lower-rank one of the same organisation, a nested call behind
// requests of its own rank, or a nested call of a lower rank before a request of a
// higher one.
func TestLanes(t *testing.T) {
	now := time.Unix(1e9, 0)
	route := &mesh.Route{Name: "r"}
	arrivals := []mesh.Call{
		{Class: mesh.ClassNormal, Rank: 2, Organisation: "a"},
		{Class: mesh.ClassNormal, Rank: 2, ParentOrganisation: "a", Nested: true},
		{Class: mesh.ClassNormal, Rank: 0, Organisation: "a"},
		{Class: mesh.ClassNormal, Rank: 0, ParentOrganisation: "a", Nested: true},
		{Class: mesh.ClassHigh, Rank: 3, Organisation: "b"},
		{Class: mesh.ClassCritical, Rank: 0, Nested: true},
	}
	want := []mesh.Ticket{5, 4, 3, 2, 1, 0}
	q := NewFair(10, time.Second)
	for i := range arrivals {
		arrivals[i].Route = route
		q.Push(mesh.Waiter{Ticket: mesh.Ticket(i), Call: &arrivals[i], Since: now})
	}
	for i, w := range want {
		got, found := q.Pop(now)
		if !found || got.Ticket != w {
			t.Errorf("place %d: got request %d (found %t), want %d", i, got.Ticket, found, w)
		}
	}
}

// TestOwners guards against nested calls on behalf of one organisation that take
// all turns from those on behalf of another one.
func TestOwners(t *testing.T) {
	now := time.Unix(1e9, 0)
	q := NewFair(100, time.Second)
	for i := range 40 {
		call := &mesh.Call{Route: &mesh.Route{Name: "r"}, Nested: true, ParentOrganisation: "many"}
		if i >= 36 {
			call.ParentOrganisation = "few"
		}
		q.Push(mesh.Waiter{Ticket: mesh.Ticket(i), Call: call, Since: now})
	}
	few := 0
	for range 8 {
		if next, _ := q.Pop(now); next.Call.ParentOrganisation == "few" {
			few++
		}
	}
	if got, want := few, 4; got != want {
		t.Errorf("got %d of the first 8 turns for the organisation with few calls, want %d", got, want)
	}
}
