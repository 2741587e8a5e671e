package claim

import (
	"errors"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// commitDone handles the result of a transaction. If the outcome is unknown, it queues a
// probe: a read of the row of the first entry.
func (t *Tracker) commitDone(now time.Time, r CommitResult) {
	var conflict *mesh.ConflictError
	switch {
	case r.Batch.isSweep:
		t.sweepDone(now, r.Err)
	case r.Err == nil:
		t.failures = 0
		t.commitApplied(now, r.Batch)
		t.requeue(now, r.Batch.entries)
	case errors.As(r.Err, &conflict):
		t.failures = 0
		t.commitConflicted(now, r.Batch, conflict.Current)
	default:
		t.probes = append(t.probes, &Batch{entries: r.Batch.entries[:1], lost: r.Batch})
	}
}

// commitApplied grants or finishes the attempts of a transaction that was applied.
// Transactions are atomic, so one row with its nonce shows that all writes were applied.
func (t *Tracker) commitApplied(now time.Time, batch *Batch) {
	for i, e := range batch.entries {
		switch {
		case e.stage == releasing && batch.isRelease[i]:
			t.finishRelease(e)
		case e.stage == claiming:
			t.grant(now, e)
		}
	}
}

// grant allows an attempt to run once its claim is known to be written. It refuses the
// attempt if the deadline has passed or if the row may have been deleted since.
func (t *Tracker) grant(now time.Time, e *entry) {
	switch {
	case e.call.Remaining(now) <= 0:
		t.refuseAndRelease(now, e, mesh.NotRun(header.DeadlineExceeded, "the deadline passed while the claim was written"))
	case !t.floor.allows(now, e.call.ID):
		t.refuseAndRelease(now, e, claimUnavailable("the platform was unreachable for too long while the claim was written"))
	default:
		e.stage = granted
		t.granted = append(t.granted, e)
		t.emit(Grant{Call: e.call})
	}
}

// commitConflicted handles the row whose precondition failed a transaction. The other
// entries are retried in two halves, so that a few conflicts do not delay the other
// claims of the batch for long.
func (t *Tracker) commitConflicted(now time.Time, batch *Batch, current mesh.Row) {
	var others []*entry
	for _, e := range batch.entries {
		if e.key != current.Key {
			others = append(others, e)
			continue
		}
		e.pending = false
		t.observe(now, e, current)
	}
	if len(others) == len(batch.entries) {
		t.requeue(now, others)
		return
	}
	half := (len(others) + 1) / 2
	for _, subset := range [][]*entry{others[:half], others[half:]} {
		if len(subset) > 0 {
			t.splitBatches = append(t.splitBatches, subset)
		}
	}
}

// observe advances an entry that is not pending, given the current state of its row.
func (t *Tracker) observe(now time.Time, e *entry, row mesh.Row) {
	switch e.stage {
	case claiming:
		t.observeClaiming(now, e, row)
	case releasing:
		t.observeReleasing(now, e, row)
	}
}

func (t *Tracker) observeClaiming(now time.Time, e *entry, row mesh.Row) {
	record := ParseRecord(row.Value)
	own := e.ownBatch(row, record)
	switch {
	case own != nil:
		t.commitApplied(now, own)
	case row.Version == 0 && e.claimVersion != 0:
		// The row has been deleted, which happens only to rows of expired ids.
		t.refuse(e.call, idExpired(e.call))
		t.remove(e)
	case row.Version != 0 && record.Kind == Claimed:
		t.refuse(e.call, alreadyClaimed(e.call))
		t.remove(e)
	default:
		e.claimVersion, e.mustRead = row.Version, false
		t.enqueue(now, e)
	}
}

func (t *Tracker) observeReleasing(now time.Time, e *entry, row mesh.Row) {
	if e.ownBatch(row, ParseRecord(row.Value)) == nil && row.Version != e.claimVersion {
		t.finishRelease(e)
		return
	}
	e.releaseVersion, e.mustRead = row.Version, false
	t.enqueue(now, e)
}

// ownBatch returns the transaction of this attempt that wrote the claim in the row, or
// nil.
func (e *entry) ownBatch(row mesh.Row, record Record) (batch *Batch) {
	if row.Version == 0 || record.Kind != Claimed {
		return nil
	}
	for _, t := range e.claimBatches {
		if t.nonce == record.Nonce {
			return t
		}
	}
	return nil
}

// unsent handles a batch that was not sent to the platform.
func (t *Tracker) unsent(now time.Time, batch *Batch) {
	if batch.isSweep {
		t.sweepDone(now, mesh.ErrPlatformUnavailable)
		return
	}
	if len(batch.isRelease) == 0 {
		t.readDone(now, ReadResult{Batch: batch, Err: mesh.ErrPlatformUnavailable})
		return
	}
	for _, e := range batch.entries {
		e.claimBatches = slices.DeleteFunc(e.claimBatches, func(t *Batch) bool { return t == batch })
	}
	t.backOff(now, batch.entries, mesh.NotRun(header.NodeBusy, "the platform queue of the node is full"))
}

// readDone handles the result of a read.
func (t *Tracker) readDone(now time.Time, r ReadResult) {
	switch {
	case r.Batch.isSweep:
		t.sweepDone(now, r.Err)
		if r.Err == nil {
			t.sweepListed(r.Rows)
		}
		return
	case r.Batch.isFloorRead:
		t.floor.readInFlight = false
		if r.Err == nil {
			t.failures = 0
			t.floor.update(now, r.Batch.startedAt, r.Rows[0])
			t.sweepFloorRead(now, r.Rows[0])
			return
		}
	case r.Batch.lost != nil && r.Err == nil:
		t.probeDone(now, r.Batch.lost, r.Rows[0])
		return
	}
	entries := r.Batch.entries
	if r.Batch.lost != nil {
		entries = r.Batch.lost.entries
	} else if !r.Batch.isFloorRead {
		t.readInFlight = false
	}
	for i, row := range r.Rows {
		t.failures = 0
		entries[i].pending = false
		t.observe(now, entries[i], row)
	}
	if r.Err != nil {
		t.backOff(now, entries[len(r.Rows):], claimUnavailable("the platform did not respond"))
	}
}

// probeDone determines from the row of its first entry whether a transaction with an
// unknown outcome was applied. If it was not, it may still be in flight. Its claims are
// then written again with the same preconditions, so only one of the two transactions can
// succeed.
func (t *Tracker) probeDone(now time.Time, lost *Batch, row mesh.Row) {
	t.failures = 0
	if row.Version != 0 && ParseRecord(row.Value).Nonce == lost.nonce {
		t.commitApplied(now, lost)
		t.requeue(now, lost.entries)
		return
	}
	lost.entries[0].pending = false
	t.observe(now, lost.entries[0], row)
	t.requeue(now, lost.entries[1:])
}

// backOff sends nothing to the platform until an exponential backoff has passed. All
// queued claims are refused, so that they do not occupy concurrency slots of their
// targets in the meantime.
func (t *Tracker) backOff(now time.Time, entries []*entry, refusal *mesh.Refusal) {
	t.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(t.failures, 10)))
	t.failures++
	waiting := slices.Concat(entries, t.writes, t.reads)
	for _, g := range t.splitBatches {
		waiting = append(waiting, g...)
	}
	t.writes, t.reads, t.splitBatches = nil, nil, nil
	for _, p := range t.probes {
		t.refuseClaims(now, p.lost.entries, refusal)
	}
	for _, e := range waiting {
		e.pending = false
		switch e.stage {
		case claiming:
			t.refuseAndRelease(now, e, refusal)
		case releasing:
			e.mustRead = true
			t.enqueue(now, e)
		}
	}
}

// refuseClaims refuses the claims of a transaction whose outcome is unknown and whose
// probe has not been sent.
func (t *Tracker) refuseClaims(now time.Time, entries []*entry, refusal *mesh.Refusal) {
	for _, e := range entries {
		if e.stage == claiming {
			t.refuseAndRelease(now, e, refusal)
		}
	}
}

func idExpired(c *mesh.Call) (refusal *mesh.Refusal) {
	return mesh.Unknown(header.RequestIDExpired, "request id %s has expired, so it is unknown whether the request ran", c.ID)
}

func alreadyClaimed(c *mesh.Call) (refusal *mesh.Refusal) {
	return mesh.Unknown(header.AlreadyClaimed, "request %s is already claimed and may have run", c.ID)
}

func claimUnavailable(format string, args ...any) (refusal *mesh.Refusal) {
	return mesh.NotRun(header.ClaimUnavailable, format, args...)
}
