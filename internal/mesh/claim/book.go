package claim

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

const (
	// MaxBatch is how many claims one transaction may carry.
	MaxBatch = 100

	// maxReads is how many rows are read in one go. Reads are made one after
	// the other, so a longer list would hold up claims behind it.
	maxReads = 8

	// maxInFlight is how many batches may be at the platform at a time.
	// Claims gather in the next batch meanwhile.
	maxInFlight = 4

	// linger is how long the first claim of a batch waits for others.
	linger = 2 * time.Millisecond

	// busyLinger is added while another batch is written. Short batches that
	// follow each other would cost more transactions and gain no time.
	busyLinger = 25 * time.Millisecond

	// maxEntries bounds the attempts that the book knows.
	maxEntries = 16 << 10

	// firstPause follows a first failure of the platform; it doubles with
	// each further one up to maxPause.
	firstPause = 100 * time.Millisecond
	maxPause   = 5 * time.Second

	// heldGrace is how long after its deadline a granted claim can still be
	// dropped. A later one stays claimed.
	heldGrace = time.Second
)

// stage is how far an attempt is.
type stage uint8

const (
	// claiming waits for its row to be written.
	claiming stage = iota

	// held was granted.
	held

	// freeing did not run and has to move its row on.
	freeing

	// done is forgotten.
	done
)

// entry is one attempt.
type entry struct {
	key   string
	call  *mesh.Call
	stage stage

	// base is the version that every claim of this attempt which may still
	// take effect is conditional on; 0 means that the row is absent.
	base uint64

	// row is the version that the write as free is conditional on.
	row uint64

	// tried holds the transactions that may have claimed the row.
	tried []*Batch

	// look is true when the row must be read before the next write.
	look bool

	// busy is true while the entry is in a queue or at the platform.
	busy bool
}

// Tracker is the owner's record of the attempts of this node.
type Tracker struct {
	nonce   func() Nonce
	entries map[string]*entry

	// held holds granted entries in the order of their grants.
	held []*entry

	// writes and reads are due. Groups are parts of a batch that met a
	// conflict; probes find out whether a lost transaction took effect.
	writes []*entry
	reads  []*entry
	groups [][]*entry
	probes []*Batch

	// inFlight is at most limit().
	inFlight int

	// reading is true while rows of reads are at the platform. One list at a
	// time leaves room for new claims after an outage.
	reading bool

	// writing is how many of them are transactions of claims.
	writing int

	// lingerUntil is when the queue of writes goes out even if it is short,
	// as long as no other batch is written.
	lingerUntil time.Time

	// pausedUntil is when the platform is tried again; failures counts its
	// failures in a row.
	pausedUntil time.Time
	failures    int

	// keep is how long claims are kept, by the settings last seen.
	keep time.Duration

	floor floor
	sweep sweep
	out   []Action
}

// New returns an empty book. Nonce must never return a value twice in the
// fleet.
func New(nonce func() Nonce) (b *Tracker) {
	return &Tracker{nonce: nonce, entries: make(map[string]*entry)}
}

// Len returns the number of attempts that the book knows.
func (b *Tracker) Len() (n int) { return len(b.entries) }

// Step takes in one event.
func (b *Tracker) Step(now time.Time, event mesh.Event) (actions []Action) {
	b.out = nil
	switch e := event.(type) {
	case Acquire:
		b.wanted(now, e)
	case Release:
		b.dropped(now, e.Call)
	case CommitResult:
		b.inFlight--
		b.ended(e.Batch)
		b.written(now, e)
	case Unsent:
		b.inFlight--
		b.ended(e.Batch)
		b.unsent(now, e.Batch)
	case ReadResult:
		b.inFlight--
		b.seen(now, e)
	}
	b.flush(now)
	return b.out
}

// ended counts a transaction of claims that is back.
func (b *Tracker) ended(batch *Batch) {
	if len(batch.frees) > 0 {
		b.writing--
	}
}

// Next returns when the book wants an Elapsed event; zero means not.
func (b *Tracker) Next() (at time.Time) {
	waiting := len(b.probes)
	if !b.reading {
		waiting += len(b.reads)
	}
	if !b.floor.reading {
		waiting += len(b.writes) + len(b.groups)
	}
	switch {
	case waiting == 0 || len(b.entries) == 0 || b.inFlight >= b.limit():
		return time.Time{}
	case b.pausedUntil.After(b.shortAt()):
		return b.pausedUntil
	default:
		return b.shortAt()
	}
}

// shortAt returns when a short batch may go out.
func (b *Tracker) shortAt() (at time.Time) {
	if b.writing > 0 {
		return b.lingerUntil.Add(busyLinger)
	}
	return b.lingerUntil
}

// limit returns how many batches may be at the platform. After a failure a
// single one shows whether it answers again, so that an outage does not leave
// claims behind that are written, refused and to be freed.
func (b *Tracker) limit() (batches int) {
	if b.failures > 0 {
		return 1
	}
	return maxInFlight
}

func (b *Tracker) act(a Action) { b.out = append(b.out, a) }

func (b *Tracker) refuse(c *mesh.Call, r *mesh.Refusal) { b.act(Refuse{Call: c, Refusal: r}) }

// wanted starts an attempt or refuses it.
func (b *Tracker) wanted(now time.Time, w Acquire) {
	if refusal := b.check(now, w); refusal != nil {
		b.refuse(w.Call, refusal)
		return
	}
	e := &entry{key: Key(w.Call), call: w.Call}
	b.entries[e.key] = e
	b.queue(now, e)
}

// check returns why an attempt is refused before anything is written.
func (b *Tracker) check(now time.Time, w Acquire) (refusal *mesh.Refusal) {
	b.forget(now)
	b.keep = w.Retention
	made := w.Call.ID.Time()
	earlier, found := b.entries[Key(w.Call)]
	switch {
	case made.After(now.Add(clockError)):
		return mesh.NotRun(header.RequestIDMalformed, "request id %s was made in the future", w.Call.ID)
	case made.Before(now.Add(-w.Retention)), made.Before(b.floor.at):
		return expired(w.Call)
	case found && earlier.stage == freeing:
		refusal = unavailable("an earlier attempt of request %s, which did not run, is being released", w.Call.ID)
		refusal.RetryAfter = firstPause
		return refusal
	case found:
		return started(w.Call)
	case now.Before(b.pausedUntil):
		refusal = unavailable("the platform does not answer")
		refusal.RetryAfter = b.pausedUntil.Sub(now)
		return refusal
	case len(b.entries) >= maxEntries:
		return mesh.NotRun(header.NodeBusy, "the node has no room to record the request")
	}
	return nil
}

// forget drops granted entries that nothing can release any more, and the
// oldest ones when there are too many.
func (b *Tracker) forget(now time.Time) {
	for len(b.held) > 0 {
		e := b.held[0]
		over := now.After(e.call.Deadline.Add(heldGrace)) || len(b.entries) >= maxEntries
		if e.stage == held && !over {
			return
		}
		if e.stage == held {
			b.remove(e)
		}
		b.held = b.held[1:]
	}
}

func (b *Tracker) remove(e *entry) {
	e.stage = done
	if b.entries[e.key] == e {
		delete(b.entries, e.key)
	}
}

// dropped frees the claim of an attempt that did not run.
func (b *Tracker) dropped(now time.Time, c *mesh.Call) {
	e, found := b.entries[Key(c)]
	switch {
	case !found || e.call != c:
		b.act(Released{Call: c})
	case e.stage == claiming && len(e.tried) == 0:
		b.finish(e)
	default:
		b.free(now, e)
	}
}

// finish ends an attempt that did not run and whose row holds up no other.
func (b *Tracker) finish(e *entry) {
	b.remove(e)
	b.act(Released{Call: e.call})
}

// free starts to move the row of an attempt on.
func (b *Tracker) free(now time.Time, e *entry) {
	if e.stage != freeing {
		e.stage, e.look = freeing, true
	}
	if !e.busy {
		b.queue(now, e)
	}
}

// giveUp refuses a claim that cannot be had now and fences off what was
// written for it.
func (b *Tracker) giveUp(now time.Time, e *entry, refusal *mesh.Refusal) {
	b.refuse(e.call, refusal)
	if len(e.tried) == 0 {
		b.finish(e)
		return
	}
	b.free(now, e)
}

// queue puts an entry where its next step is due.
func (b *Tracker) queue(now time.Time, e *entry) {
	e.busy = true
	if e.look {
		b.reads = append(b.reads, e)
		return
	}
	if len(b.writes) == 0 {
		b.lingerUntil = now.Add(linger)
	}
	b.writes = append(b.writes, e)
}

// requeue continues entries whose last step brought nothing final.
func (b *Tracker) requeue(now time.Time, entries []*entry) {
	for _, e := range entries {
		e.busy = false
		if e.stage == claiming || e.stage == freeing {
			b.queue(now, e)
		}
	}
}
