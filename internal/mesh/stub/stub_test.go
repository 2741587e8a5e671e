package stub

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// TestFaults guards against a stub that behaves better than the platform. A write
// without an answer must take effect, immediately or later, and a rejected write must
// not.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name        string
		faults      Faults
		wait        time.Duration
		unavailable bool
		atOnce      bool
		later       bool
	}{
		{"none", Faults{}, time.Minute, false, true, true},
		{"down", Faults{Down: true}, time.Minute, true, false, false},
		{"slow", Faults{Delay: time.Second}, time.Minute, false, true, true},
		{"slower than the caller waits", Faults{Delay: 5 * time.Second}, time.Second, true, false, true},
		{"answer lost", Faults{LoseAnswers: 1}, time.Minute, true, true, true},
		{"late", Faults{LateWrites: 1, LateBy: 3 * time.Second}, time.Minute, true, false, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := New()
			s.SetFaults(c.faults)
			ctx, cancel := context.WithTimeout(t.Context(), c.wait)
			defer cancel()
			err := s.Commit(ctx, []mesh.Write{{Key: "k", Condition: mesh.IfAbsent}})
			if got := errors.Is(err, mesh.ErrPlatformUnavailable); got != c.unavailable {
				t.Errorf("%s: got %v, want unavailable=%t", c.name, err, c.unavailable)
			}
			s.SetFaults(Faults{})
			if _, got, _ := s.Read(t.Context(), "k"); got != c.atOnce {
				t.Errorf("%s: row at once: got %t, want %t", c.name, got, c.atOnce)
			}
			time.Sleep(10 * time.Second)
			if _, got, _ := s.Read(t.Context(), "k"); got != c.later {
				t.Errorf("%s: row later: got %t, want %t", c.name, got, c.later)
			}
		})
	}
}

// TestLimits guards against rate limits that are not enforced or counted, which would
// hide that the design exceeds the capacity of the platform.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(WithLimits(2, 3))
		for range 2 {
			for range 5 {
				_ = s.Put(t.Context(), "o", nil)
				_, _, _ = s.Read(t.Context(), "k")
			}
			time.Sleep(time.Second)
		}
		want := Counts{Reads: 6, Writes: 4, RefusedReads: 4, RefusedWrites: 6, PeakReads: 3, PeakWrites: 2}
		if got := s.Counts(); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}
