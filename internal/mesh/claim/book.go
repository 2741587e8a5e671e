package claim

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// MaxBatch is how many claims one transaction may carry.
	MaxBatch = 100

	// readBatchSize is how many rows are read in one go. Reads are made one after
	// the other, so a longer list would hold up claims behind it.
	readBatchSize = 8

	// maxInFlight is how many batches may be at the platform at a time.
	// Claims gather in the next batch meanwhile.
	maxInFlight = 4

	// batchDelay is how long the first claim of a batch waits for others.
	batchDelay = 2 * time.Millisecond

	// busyBatchDelay is added while another batch is written. Short batches that
	// follow each other would cost more transactions and gain no time.
	busyBatchDelay = 25 * time.Millisecond

	// maxEntries bounds the attempts that the book knows.
	maxEntries = 16 << 10

	// minBackoff follows a first failure of the platform; it doubles with
	// each further one up to maxPause.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second

	// releaseGrace is how long after its deadline a granted claim can still be
	// dropped. A later one stays claimed.
	releaseGrace = time.Second
)

// stage is how far an attempt is.
type stage uint8

const (
	// claiming waits for its row to be written.
	claiming stage = iota

	// granted was granted.
	granted

	// releasing did not run and has to move its row on.
	releasing

	// done is forgotten.
	done
)

// entry is one attempt.
type entry struct {
	key   string
	call  *mesh.Call
	stage stage

	// claimVersion is the version that every claim of this attempt which may still
	// take effect is conditional on; 0 means that the row is absent.
	claimVersion uint64

	// releaseVersion is the version that the write as free is conditional on.
	releaseVersion uint64

	// claimBatches holds the transactions that may have claimed the row.
	claimBatches []*Batch

	// mustRead is true when the row must be read before the next write.
	mustRead bool

	// pending is true while the entry is in a queue or at the platform.
	pending bool
}

// Tracker is the owner's record of the attempts of this node.
type Tracker struct {
	nonce   func() Nonce
	entries map[string]*entry

	// granted holds granted entries in the order of their grants.
	granted []*entry

	// writes and reads are due. Groups are parts of a batch that met a
	// conflict; probes find out whether a lost transaction took effect.
	writes       []*entry
	reads        []*entry
	splitBatches [][]*entry
	probes       []*Batch

	// inFlight is at most limit().
	inFlight int

	// readInFlight is true while rows of reads are at the platform. One list at a
	// time leaves room for new claims after an outage.
	readInFlight bool

	// commitsInFlight is how many of them are transactions of claims.
	commitsInFlight int

	// partialBatchDue is when the queue of writes goes out even if it is short,
	// as long as no other batch is written.
	partialBatchDue time.Time

	// backoffUntil is when the platform is tried again; failures counts its
	// failures in a row.
	backoffUntil time.Time
	failures     int

	// retention is how long claims are kept, by the settings last seen.
	retention time.Duration

	floor   floor
	sweep   sweep
	actions []Action
}

// New returns an empty book. Nonce must never return a value twice in the
// fleet.
func New(nonce func() Nonce) (t *Tracker) {
	return &Tracker{nonce: nonce, entries: make(map[string]*entry)}
}

// Len returns the number of attempts that the book knows.
func (t *Tracker) Len() (n int) { return len(t.entries) }

// Step takes in one event.
func (t *Tracker) Step(now time.Time, event mesh.Event) (actions []Action) {
	t.actions = nil
	switch e := event.(type) {
	case Acquire:
		t.acquire(now, e)
	case Release:
		t.release(now, e.Call)
	case CommitResult:
		t.inFlight--
		t.commitEnded(e.Batch)
		t.commitDone(now, e)
	case Unsent:
		t.inFlight--
		t.commitEnded(e.Batch)
		t.unsent(now, e.Batch)
	case ReadResult:
		t.inFlight--
		t.readDone(now, e)
	}
	t.sendDue(now)
	return t.actions
}

// commitEnded counts a transaction of claims that is back.
func (t *Tracker) commitEnded(batch *Batch) {
	if len(batch.isRelease) > 0 {
		t.commitsInFlight--
	}
}

// Next returns when the book wants an Elapsed event; zero means not.
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

// partialBatchAt returns when a short batch may go out.
func (t *Tracker) partialBatchAt() (at time.Time) {
	if t.commitsInFlight > 0 {
		return t.partialBatchDue.Add(busyBatchDelay)
	}
	return t.partialBatchDue
}

// limit returns how many batches may be at the platform. After a failure a
// single one shows whether it answers again, so that an outage does not leave
// claims behind that are written, refused and to be freed.
func (t *Tracker) limit() (batches int) {
	if t.failures > 0 {
		return 1
	}
	return maxInFlight
}

func (t *Tracker) emit(a Action) { t.actions = append(t.actions, a) }

func (t *Tracker) refuse(c *mesh.Call, r *mesh.Refusal) { t.emit(Refuse{Call: c, Refusal: r}) }

// acquire starts an attempt or refuses it.
func (t *Tracker) acquire(now time.Time, w Acquire) {
	if refusal := t.check(now, w); refusal != nil {
		t.refuse(w.Call, refusal)
		return
	}
	e := &entry{key: Key(w.Call), call: w.Call}
	t.entries[e.key] = e
	t.enqueue(now, e)
}

// check returns why an attempt is refused before anything is written.
func (t *Tracker) check(now time.Time, w Acquire) (refusal *mesh.Refusal) {
	t.evictGranted(now)
	t.retention = w.Retention
	created := w.Call.ID.Time()
	earlier, found := t.entries[Key(w.Call)]
	switch {
	case created.After(now.Add(maxClockSkew)):
		return mesh.NotRun(header.RequestIDMalformed, "request id %s was made in the future", w.Call.ID)
	case created.Before(now.Add(-w.Retention)), created.Before(t.floor.at):
		return idExpired(w.Call)
	case found && earlier.stage == releasing:
		refusal = claimUnavailable("an earlier attempt of request %s, which did not run, is being released", w.Call.ID)
		refusal.RetryAfter = minBackoff
		return refusal
	case found:
		return alreadyClaimed(w.Call)
	case now.Before(t.backoffUntil):
		refusal = claimUnavailable("the platform does not answer")
		refusal.RetryAfter = t.backoffUntil.Sub(now)
		return refusal
	case len(t.entries) >= maxEntries:
		return mesh.NotRun(header.NodeBusy, "the node has no room to record the request")
	}
	return nil
}

// evictGranted drops granted entries that nothing can release any more, and the
// oldest ones when there are too many.
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

// release frees the claim of an attempt that did not run.
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

// finishRelease ends an attempt that did not run and whose row holds up no other.
func (t *Tracker) finishRelease(e *entry) {
	t.remove(e)
	t.emit(Released{Call: e.call})
}

// startRelease starts to move the row of an attempt on.
func (t *Tracker) startRelease(now time.Time, e *entry) {
	if e.stage != releasing {
		e.stage, e.mustRead = releasing, true
	}
	if !e.pending {
		t.enqueue(now, e)
	}
}

// refuseAndRelease refuses a claim that cannot be had now and fences off what was
// written for it.
func (t *Tracker) refuseAndRelease(now time.Time, e *entry, refusal *mesh.Refusal) {
	t.refuse(e.call, refusal)
	if len(e.claimBatches) == 0 {
		t.finishRelease(e)
		return
	}
	t.startRelease(now, e)
}

// enqueue puts an entry where its next step is due.
func (t *Tracker) enqueue(now time.Time, e *entry) {
	e.pending = true
	if e.mustRead {
		t.reads = append(t.reads, e)
		return
	}
	if len(t.writes) == 0 {
		t.partialBatchDue = now.Add(batchDelay)
	}
	t.writes = append(t.writes, e)
}

// requeue continues entries whose last step brought nothing final.
func (t *Tracker) requeue(now time.Time, entries []*entry) {
	for _, e := range entries {
		e.pending = false
		if e.stage == claiming || e.stage == releasing {
			t.enqueue(now, e)
		}
	}
}
