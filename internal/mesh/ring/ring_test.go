package ring

import (
	"expvar"
	"testing"
)

type event string

func (e event) EventName() string { return string(e) }

// TestOfferRefusesWhenFull guards against a queue that grows or blocks when it is full.
func TestOfferRefusesWhenFull(t *testing.T) {
	r := New(new(expvar.Map), "test", 2)
	for i, want := range []bool{true, true, false} {
		if got := r.Offer(event("e")); got != want {
			t.Errorf("offer %d: got %v, want %v", i, got, want)
		}
	}
}

// TestReplyKeepsFirstAnswer guards against a late reply that overwrites the first
// one.
func TestReplyKeepsFirstAnswer(t *testing.T) {
	r := NewReply()
	r.Answer(event("first"))
	if got := r.Answer(event("late")); got {
		t.Errorf("second answer: got %v, want false", got)
	}
	if got, want := <-r.Events(), event("first"); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestLatestReplacesByKey guards against a full queue that drops the newest event or
// keeps two events of one key.
func TestLatestReplacesByKey(t *testing.T) {
	l := NewLatest(new(expvar.Map), "test", 2)
	l.Put("a", event("a1"))
	l.Put("b", event("b1"))
	l.Put("b", event("b2"))
	l.Put("c", event("c1"))
	for _, want := range []event{"b2", "c1"} {
		if got, found := l.Take(); !found || got != want {
			t.Errorf("got %v %v, want %v", got, found, want)
		}
	}
	if _, found := l.Take(); found {
		t.Errorf("got another event, want none")
	}
}
