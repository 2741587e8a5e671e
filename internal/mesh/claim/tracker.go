package claim

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// MaxBatch is the maximum number of writes in one transaction.
	MaxBatch = 100

	// readBatchSize is the maximum number of rows per read request. Rows are read one
	// after the other, so a larger batch would delay the claims queued behind it.
	readBatchSize = 8

	// maxInFlight is the maximum number of batches in flight to the platform. In the
	// meantime, claims accumulate in the next batch.
	maxInFlight = 4

	// batchDelay is how long the first claim of a batch waits for the batch to fill.
	batchDelay = 2 * time.Millisecond

	// busyBatchDelay is added to batchDelay while another transaction is in flight.
	// Partial batches in quick succession would cost more transactions without
	// reducing latency.
	busyBatchDelay = 25 * time.Millisecond

	// maxEntries is the maximum number of attempts that a Tracker tracks.
	maxEntries = 16 << 10

	// minBackoff is the backoff after the first failure of the platform. It doubles
	// with each consecutive failure, up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second

	// releaseGrace is how long after its deadline a granted claim can still be
	// released. After that it stays claimed.
	releaseGrace = time.Second
)

// stage is the stage of an attempt in the protocol.
type stage uint8

const (
	// claiming means that the claim is not yet known to be written.
	claiming stage = iota

	// granted means that the attempt may run.
	granted

	// releasing means that the attempt did not run and that its row needs a new
	// version, so that none of its claim writes can succeed any more.
	releasing

	// done means that the entry was removed.
	done
)

// entry is the state of one attempt.
type entry struct {
	key   string
	call  *mesh.Call
	stage stage

	// claimVersion is the row version that all claim writes of this attempt which may
	// still succeed have as their precondition; 0 means that the row does not exist.
	claimVersion uint64

	// releaseVersion is the row version that the release write has as its precondition.
	releaseVersion uint64

	// claimBatches are the transactions that may have claimed the row.
	claimBatches []*Batch

	// mustRead is true when the row must be read before the next write.
	mustRead bool

	// pending is true while the entry is queued or part of a batch in flight.
	pending bool
}

// Tracker tracks the claims of the attempts on this node. It is a state machine without
// I/O: Step takes an event and returns the operations that its caller must perform.
type Tracker struct {
	nonce   func() Nonce
	entries map[string]*entry

	// granted holds the granted entries in the order in which they were granted.
	granted []*entry

	// writes and reads are the queues of entries to write and to read. splitBatches
	// are the halves of batches that failed with a conflict. probes are reads that
	// determine whether a transaction with an unknown outcome was applied.
	writes       []*entry
	reads        []*entry
	splitBatches [][]*entry
	probes       []*Batch

	// inFlight is the number of batches in flight, at most limit().
	inFlight int

	// readInFlight is true while a read of queued entries is in flight. The limit of
	// one read at a time leaves capacity for new claims after an outage.
	readInFlight bool

	// commitsInFlight is the number of batches in flight that claim or release rows.
	commitsInFlight int

	// batchDelayEnd is when queued writes are sent as a partial batch, provided that
	// no other transaction is in flight.
	batchDelayEnd time.Time

	// backoffUntil is the end of the backoff after a failure of the platform; failures
	// is the number of consecutive failures.
	backoffUntil time.Time
	failures     int

	// retention is how long claims are kept, from the latest Acquire.
	retention time.Duration

	floor   floor
	sweep   sweep
	actions []Action
}

// New returns an empty tracker. nonce must return values that are unique in the fleet.
func New(nonce func() Nonce) (t *Tracker) {
	return &Tracker{nonce: nonce, entries: make(map[string]*entry)}
}

// Len returns the number of tracked attempts.
func (t *Tracker) Len() (n int) { return len(t.entries) }

// Step handles one event and returns the actions that follow from it.
func (t *Tracker) Step(now time.Time, event mesh.Event) (actions []Action) {
	t.actions = nil
	switch e := event.(type) {
	case Acquire:
		t.acquire(now, e)
	case Release:
		t.release(now, e.Call)
	case CommitResult:
		t.inFlight--
		t.decrementCommits(e.Batch)
		t.commitDone(now, e)
	case Unsent:
		t.inFlight--
		t.decrementCommits(e.Batch)
		t.unsent(now, e.Batch)
	case ReadResult:
		t.inFlight--
		t.readDone(now, e)
	}
	t.sendDue(now)
	return t.actions
}

// decrementCommits updates commitsInFlight when the batch is no longer in flight.
func (t *Tracker) decrementCommits(batch *Batch) {
	if len(batch.isRelease) > 0 {
		t.commitsInFlight--
	}
}

// Next returns the time at which the tracker needs a TimerExpired event, or zero if it needs
// none.
func (t *Tracker) Next() (at time.Time) {
	waiting := len(t.probes)
	if !t.readInFlight {
		waiting += len(t.reads)
	}
	if !t.floor.readInFlight {
		waiting += len(t.writes) + len(t.splitBatches)
	}
	switch {
	case waiting == 0 || len(t.entries) == 0 || t.inFlight >= t.limit():
		return time.Time{}
	case t.backoffUntil.After(t.partialBatchAt()):
		return t.backoffUntil
	default:
		return t.partialBatchAt()
	}
}

// partialBatchAt returns the time from which a partial batch may be sent.
func (t *Tracker) partialBatchAt() (at time.Time) {
	if t.commitsInFlight > 0 {
		return t.batchDelayEnd.Add(busyBatchDelay)
	}
	return t.batchDelayEnd
}

// limit returns the maximum number of batches in flight. After a failure it is one,
// which tests whether the platform responds again: during an outage, every further
// batch would leave claims that are written, then refused, and must be released.
func (t *Tracker) limit() (batches int) {
	if t.failures > 0 {
		return 1
	}
	return maxInFlight
}

func (t *Tracker) emit(a Action) { t.actions = append(t.actions, a) }

func (t *Tracker) refuse(c *mesh.Call, r *mesh.Refusal) { t.emit(Refuse{Call: c, Refusal: r}) }

// acquire starts tracking an attempt, or refuses it.
func (t *Tracker) acquire(now time.Time, a Acquire) {
	if refusal := t.check(now, a); refusal != nil {
		t.refuse(a.Call, refusal)
		return
	}
	e := &entry{key: Key(a.Call), call: a.Call}
	t.entries[e.key] = e
	t.enqueue(now, e)
}

// check returns the refusal of an attempt that is rejected before its claim is written,
// or nil.
func (t *Tracker) check(now time.Time, a Acquire) (refusal *mesh.Refusal) {
	t.evictGranted(now)
	t.retention = a.Retention
	created := a.Call.ID.Time()
	earlier, found := t.entries[Key(a.Call)]
	switch {
	case created.After(now.Add(maxClockSkew)):
		return mesh.NotRun(header.RequestIDMalformed, "request id %s has a creation time in the future", a.Call.ID)
	case created.Before(now.Add(-a.Retention)), created.Before(t.floor.at):
		return idExpired(a.Call)
	case found && earlier.stage == releasing:
		refusal = claimUnavailable("the claim of an earlier attempt of request %s, which did not run, is being released", a.Call.ID)
		refusal.RetryAfter = minBackoff
		return refusal
	case found:
		return alreadyClaimed(a.Call)
	case now.Before(t.backoffUntil):
		refusal = claimUnavailable("the platform is not responding")
		refusal.RetryAfter = t.backoffUntil.Sub(now)
		return refusal
	case len(t.entries) >= maxEntries:
		return mesh.NotRun(header.NodeBusy, "the node has reached its limit of tracked requests")
	}
	return nil
}

// evictGranted removes granted entries that are past their release grace, and the oldest
// ones when the number of entries reaches its limit.
func (t *Tracker) evictGranted(now time.Time) {
	for len(t.granted) > 0 {
		e := t.granted[0]
		evictable := now.After(e.call.Deadline.Add(releaseGrace)) || len(t.entries) >= maxEntries
		if e.stage == granted && !evictable {
			return
		}
		if e.stage == granted {
			t.remove(e)
		}
		t.granted = t.granted[1:]
	}
}

func (t *Tracker) remove(e *entry) {
	e.stage = done
	if t.entries[e.key] == e {
		delete(t.entries, e.key)
	}
}

// release releases the claim of an attempt that did not run.
func (t *Tracker) release(now time.Time, c *mesh.Call) {
	e, found := t.entries[Key(c)]
	switch {
	case !found || e.call != c:
		t.emit(Released{Call: c})
	case e.stage == claiming && len(e.claimBatches) == 0:
		t.finishRelease(e)
	default:
		t.startRelease(now, e)
	}
}

// finishRelease removes an attempt that did not run and whose row no longer blocks other
// attempts.
func (t *Tracker) finishRelease(e *entry) {
	t.remove(e)
	t.emit(Released{Call: e.call})
}

// startRelease queues the read and the write that release the row of an attempt.
func (t *Tracker) startRelease(now time.Time, e *entry) {
	if e.stage != releasing {
		e.stage, e.mustRead = releasing, true
	}
	if !e.pending {
		t.enqueue(now, e)
	}
}

// refuseAndRelease refuses an attempt and releases its claim, so that none of its claim
// writes that are still in flight can succeed later.
func (t *Tracker) refuseAndRelease(now time.Time, e *entry, refusal *mesh.Refusal) {
	t.refuse(e.call, refusal)
	if len(e.claimBatches) == 0 {
		t.finishRelease(e)
		return
	}
	t.startRelease(now, e)
}

// enqueue adds an entry to the queue of its next step: reads or writes.
func (t *Tracker) enqueue(now time.Time, e *entry) {
	e.pending = true
	if e.mustRead {
		t.reads = append(t.reads, e)
		return
	}
	if len(t.writes) == 0 {
		t.batchDelayEnd = now.Add(batchDelay)
	}
	t.writes = append(t.writes, e)
}

// requeue queues the next step of entries that are not yet finished.
func (t *Tracker) requeue(now time.Time, entries []*entry) {
	for _, e := range entries {
		e.pending = false
		if e.stage == claiming || e.stage == releasing {
			t.enqueue(now, e)
		}
	}
}
