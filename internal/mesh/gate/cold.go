package gate

import "time"

// coldBurst is how many requests a cold target may get at one moment. Their
// number in any second is at most the rate and this burst.
const coldBurst = 4

// coldMargin is for how long the rate holds after the announced end of a cold
// start. The end is measured on another clock, and the requests that waited
// would all start at it.
const coldMargin = 200 * time.Millisecond

// minTokenWait is the shortest wait for the next request of a cold target.
const minTokenWait = time.Millisecond

// ColdStarted says that the target is cold for a while and bears only a few
// requests a second.
type ColdStarted struct {
	// Until is when the cold start ends.
	Until time.Time

	// PerSecond is how many requests the target bears meanwhile; zero means
	// any number.
	PerSecond float64
}

// EventName implements mesh.Event.
func (ColdStarted) EventName() string { return "chilled" }

// coldPacer spaces the requests to a cold target. The limit on requests at a time
// alone would let many short ones through.
type coldPacer struct {
	until     time.Time
	rate float64

	// tokens is at most coldBurst; it was last filled at filled.
	tokens float64
	refilledAt time.Time
}

// update takes in news of a cold start. A target that is already cold keeps what
// it used of its rate.
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

// remaining returns how much longer the target is cold.
func (p *coldPacer) remaining(now time.Time) (left time.Duration) {
	if !p.active(now) {
		return 0
	}
	return p.until.Sub(now)
}

// ready reports whether one more request may start.
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

// consume counts a request that starts.
func (p *coldPacer) consume(now time.Time) {
	if p.active(now) {
		p.tokens--
	}
}

// nextToken returns when a further request may start, and zero when one may.
func (p *coldPacer) nextToken(now time.Time) (at time.Time) {
	if p.ready(now) {
		return time.Time{}
	}
	// A wait that rounds to nothing would make the gate look again at once,
	// before any of the next token is there.
	at = now.Add(max(minTokenWait, time.Duration((1-p.tokens)/p.rate*float64(time.Second))))
	if at.After(p.until) {
		return p.until
	}
	return at
}
