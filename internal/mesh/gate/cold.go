package gate

import "time"

// coldBurst is the token bucket size of a cold target. In any second the number of
// started requests is at most the rate plus this burst.
const coldBurst = 4

// coldMargin is how long the rate limit stays in force after the announced end of
// a cold start. The end is measured on another clock, and all queued requests
// would start at it.
const coldMargin = 200 * time.Millisecond

// minTokenWait is the minimum wait for the next token.
const minTokenWait = time.Millisecond

// ColdStarted sets the cold start of the target, during which its request rate is
// limited.
type ColdStarted struct {
	// Until is the end of the cold start.
	Until time.Time

	// PerSecond is the rate limit in requests per second; zero means no limit.
	PerSecond float64
}

// EventName implements mesh.Event.
func (ColdStarted) EventName() string { return "chilled" }

// coldPacer limits the request rate of a cold target with a token bucket. The
// concurrency limit alone would let many short requests through.
type coldPacer struct {
	until time.Time
	rate  float64

	// tokens is at most coldBurst. It was last refilled at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// update sets the end and the rate of a cold start. A target that is already cold
// keeps its tokens.
func (p *coldPacer) update(now time.Time, c ColdStarted) {
	if !p.active(now) {
		p.tokens, p.refilledAt = 1, now
	}
	p.until, p.rate = c.Until, c.PerSecond
	if c.Until.After(now) {
		p.until = c.Until.Add(coldMargin)
	}
}

func (p *coldPacer) active(now time.Time) bool { return p.rate > 0 && now.Before(p.until) }

// remaining returns the remaining time of the rate limit; zero when the target is
// warm.
func (p *coldPacer) remaining(now time.Time) (left time.Duration) {
	if !p.active(now) {
		return 0
	}
	return p.until.Sub(now)
}

// ready reports whether a request may start now.
func (p *coldPacer) ready(now time.Time) bool {
	if !p.active(now) {
		return true
	}
	if elapsed := now.Sub(p.refilledAt); elapsed > 0 {
		p.tokens = min(coldBurst, p.tokens+p.rate*elapsed.Seconds())
		p.refilledAt = now
	}
	return p.tokens >= 1
}

// consume takes a token for a request that starts.
func (p *coldPacer) consume(now time.Time) {
	if p.active(now) {
		p.tokens--
	}
}

// nextToken returns the time at which the next request may start; zero when one
// may start now.
func (p *coldPacer) nextToken(now time.Time) (at time.Time) {
	if p.ready(now) {
		return time.Time{}
	}
	// A wait that rounds to zero would make the gate run again at once, before any
	// part of the next token is refilled.
	at = now.Add(max(minTokenWait, time.Duration((1-p.tokens)/p.rate*float64(time.Second))))
	if at.After(p.until) {
		return p.until
	}
	return at
}
