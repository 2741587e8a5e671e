package memory

import "time"

// Stage is what a connection is doing.
type Stage uint8

// Stages of a connection, in the order in which a request passes them.
const (
	// Idle means that no byte of a request has arrived.
	Idle Stage = iota

	// Head and Body mean that part of a head or of a body has arrived.
	Head
	Body

	// Busy means that the whole request has arrived and may be at a target. Work that a target runs
	// is not cut.
	Busy

	// Answer means that the answer is on its way to the remote end.
	Answer
)

const (
	// ordinaryBytes is what a connection of an ordinary caller holds at most: the connection itself,
	// a head of some dozen lines and a small body.
	ordinaryBytes = 128 << 10

	// stallTime is how long a remote end may take nothing of its answer before it makes room for
	// others.
	stallTime = time.Second

	// pauseTime is the pause after which a head or body counts as one that does not go on. Without it
	// each new upload would push out the one that is nearest to its end, and none would arrive.
	pauseTime = 250 * time.Millisecond
)

// holding is the state of a holder that the rules look at.
type holding struct {
	stage Stage
	held  int64

	// still is the time since the holder last made progress.
	still time.Duration
}

// ordinary reports whether a holder has no more than one of an ordinary caller.
func (h holding) ordinary() bool { return h.held <= ordinaryBytes }

// evictable reports whether a holder may make room for others.
func (h holding) evictable() bool {
	return h.stage == Idle || h.stage == Head || h.stage == Body || h.stage == Answer && h.still >= stallTime
}

// yieldsTo reports whether a holder makes room for memory that another one asks for: one that makes no
// progress to all, and any that has more than an ordinary caller to an ordinary one.
func (h holding) yieldsTo(asking holding) bool {
	if !h.evictable() || h.weight() <= asking.weight() {
		return false
	}
	return h.stage == Idle || h.still >= pauseTime || !h.ordinary() && asking.ordinary()
}

// weight orders the holders that make room for memory: the one with the most held for the longest time
// without progress comes first. Ordinary holders come last, so that bodies and heads of unusual size
// never push out ordinary callers.
func (h holding) weight() (w float64) {
	w = float64(h.held) * (time.Second + h.still).Seconds()
	if !h.ordinary() {
		w += unusualWeight
	}
	return w
}

// unusualWeight exceeds the weight of each ordinary holder.
const unusualWeight = 1 << 50

// idleness orders the holders that make room for a socket: a head or body that has begun and does not
// go on, then a connection without a request, and among them the one that has been still for longest.
func (h holding) idleness() (w float64) {
	if h.stage != Idle && h.still >= stallTime {
		return h.still.Seconds() + unusualWeight
	}
	return h.still.Seconds()
}
