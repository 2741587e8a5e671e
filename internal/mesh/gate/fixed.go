package gate

import "time"

// Fixed is a limiter with a constant limit. It is the baseline in comparisons with
// adaptive limiters.
type Fixed struct{ limit int }

// NewFixed returns a limiter with the given limit.
func NewFixed(limit int) (f *Fixed) { return &Fixed{limit: max(1, limit)} }

// Limit implements mesh.Limiter.
func (f *Fixed) Limit() (limit int) { return f.limit }

// Observe implements mesh.Limiter.
func (f *Fixed) Observe(time.Time, time.Duration, int, bool) {}

// Restart implements mesh.Limiter.
func (f *Fixed) Restart(time.Time) {}

// Resize implements mesh.Limiter. It sets the limit to the number of slots.
func (f *Fixed) Resize(_, slots int) { f.limit = max(1, slots) }
