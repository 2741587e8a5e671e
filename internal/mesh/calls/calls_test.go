package calls

import (
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// TestNested guards against nested calls that outlive their delivery or its deadline, share a
// request id, or take more than the delivery's retry budget.
func TestNested(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	route := &mesh.Route{Service: "ledger", Name: "all", Timeout: time.Minute}
	b := New()
	b.Open("token", &mesh.Call{Route: route, Deadline: now.Add(time.Second), AttemptsLeft: 3})
	seen := make(map[mesh.RequestID]bool)
	for i, want := range []int{2, 1, 0} {
		c, refusal := b.NewNested(now, "token", route)
		if refusal != nil {
			t.Fatal(refusal)
		}
		if got := c.AttemptsLeft; got != want {
			t.Errorf("nested call %d: got %d attempts, want %d", i, got, want)
		}
		if c.Deadline.After(now.Add(time.Second)) || seen[c.ID] {
			t.Errorf("nested call %d: got deadline %v and id %v, want them within the delivery's and new", i, c.Deadline, c.ID)
		}
		seen[c.ID] = true
	}
	for _, returned := range []int{2, 2, 7} {
		b.ReturnBudget("token", 2, returned, mesh.ClassLow)
	}
	if got, _ := b.Close("token"); got != 2 {
		t.Errorf("got %d attempts left, want the 2 that came back once", got)
	}
	b.ReturnBudget("token", 1, 1, mesh.ClassLow)
	if _, refusal := b.NewNested(now, "token", route); refusal == nil || refusal.Code != header.CallEnded || refusal.Outcome != header.NotRun {
		t.Errorf("after the delivery: got %v, want it refused as not run, call ended", refusal)
	}
}

// TestNestedKeepsClass guards against a critical request that is shed as an ordinary one
// because a service behind it has routes of a less important class.
func TestNestedKeepsClass(t *testing.T) {
	now := time.Now()
	b := New()
	b.Open("token", &mesh.Call{Class: mesh.ClassCritical, Route: &mesh.Route{Class: mesh.ClassCritical}, Deadline: now.Add(time.Second)})
	call, refusal := b.NewNested(now, "token", &mesh.Route{Class: mesh.ClassNormal, Timeout: time.Second})
	if refusal != nil {
		t.Fatal(refusal)
	}
	if got, want := call.Class, mesh.ClassCritical; got != want {
		t.Errorf("got class %v, want %v", got, want)
	}
}
