package calls

import (
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestDeeperKeepsClass guards against a payout that is shed as an ordinary
// request because a service behind it has routes of an ordinary class.
func TestDeeperKeepsClass(t *testing.T) {
	now := time.Now()
	b := New()
	b.Open("token", &mesh.Call{Class: mesh.ClassCritical, Route: &mesh.Route{Class: mesh.ClassCritical}, Deadline: now.Add(time.Second)})
	call, refusal := b.Deeper(now, "token", &mesh.Route{Class: mesh.ClassNormal, Timeout: time.Second})
	if refusal != nil {
		t.Fatal(refusal)
	}
	if got, want := call.Class, mesh.ClassCritical; got != want {
		t.Errorf("got class %v, want %v", got, want)
	}
}
