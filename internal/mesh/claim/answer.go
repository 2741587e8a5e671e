package claim

import (
	"errors"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// commitDone takes in the outcome of a transaction.
func (t *Tracker) commitDone(now time.Time, w CommitResult) {
	var conflict *mesh.ConflictError
	switch {
	case w.Batch.isSweep:
		t.sweepDone(now, w.Err)
	case w.Err == nil:
		t.failures = 0
		t.commitApplied(now, w.Batch)
		t.requeue(now, w.Batch.entries)
	case errors.As(w.Err, &conflict):
		t.failures = 0
		t.commitConflicted(now, w.Batch, conflict.Current)
	default:
		t.probes = append(t.probes, &Batch{entries: w.Batch.entries[:1], lost: w.Batch})
	}
}

// commitApplied grants or ends the attempts of a transaction that took effect. It
// takes effect as a whole, so one of its rows proves it for all.
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

// grant lets an attempt run whose claim is known to have taken effect.
func (t *Tracker) grant(now time.Time, e *entry) {
	switch {
	case e.call.Remaining(now) <= 0:
		t.refuseAndRelease(now, e, mesh.NotRun(header.DeadlineExceeded, "the deadline passed while the request was recorded"))
	case !t.floor.allows(now, e.call.ID):
		t.refuseAndRelease(now, e, claimUnavailable("the platform was out of reach for too long while the request was recorded"))
	default:
		e.stage = granted
		t.granted = append(t.granted, e)
		t.emit(Grant{Call: e.call})
	}
}

// commitConflicted takes in the row that made a transaction fail. The others are
// tried again in two halves, so that a few conflicts cannot hold up the
// claims beside them for long.
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
	for _, part := range [][]*entry{others[:half], others[half:]} {
		if len(part) > 0 {
			t.splitBatches = append(t.splitBatches, part)
		}
	}
}

// observe takes in the row of an entry that is not busy.
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
		// A row only goes away when its id is too old.
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

// ownBatch returns the transaction of this attempt that claimed the row, or nil.
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

// unsent takes back a batch that never left the node.
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
	t.backOff(now, batch.entries, mesh.NotRun(header.NodeBusy, "the platform is busy"))
}

// readDone takes in rows that were read.
func (t *Tracker) readDone(now time.Time, s ReadResult) {
	switch {
	case s.Batch.isSweep:
		t.sweepDone(now, s.Err)
		if s.Err == nil {
			t.sweepListed(s.Rows)
		}
		return
	case s.Batch.isFloorRead:
		t.floor.readInFlight = false
		if s.Err == nil {
			t.failures = 0
			t.floor.update(now, s.Batch.startedAt, s.Rows[0])
			t.sweepFloorRead(now, s.Rows[0])
			return
		}
	case s.Batch.lost != nil && s.Err == nil:
		t.probeDone(now, s.Batch.lost, s.Rows[0])
		return
	}
	entries := s.Batch.entries
	if s.Batch.lost != nil {
		entries = s.Batch.lost.entries
	} else if !s.Batch.isFloorRead {
		t.readInFlight = false
	}
	for i, row := range s.Rows {
		t.failures = 0
		entries[i].pending = false
		t.observe(now, entries[i], row)
	}
	if s.Err != nil {
		t.backOff(now, entries[len(s.Rows):], claimUnavailable("the platform does not answer"))
	}
}

// probeDone decides from the row of its first entry whether a lost transaction
// took effect. If it did not, it may still do so; its claims are written again
// under the same conditions, which only one of both can meet.
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

// backOff pauses the platform. The claims that wait for it are refused, so that
// they hold no slots of their targets meanwhile.
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

// refuseClaims refuses the claims of a lost transaction that is still to be looked
// into.
func (t *Tracker) refuseClaims(now time.Time, entries []*entry, refusal *mesh.Refusal) {
	for _, e := range entries {
		if e.stage == claiming {
			t.refuseAndRelease(now, e, refusal)
		}
	}
}

func idExpired(c *mesh.Call) (refusal *mesh.Refusal) {
	return mesh.Unknown(header.RequestIDExpired, "request id %s is too old to tell whether the request ran", c.ID)
}

func alreadyClaimed(c *mesh.Call) (refusal *mesh.Refusal) {
	return mesh.Unknown(header.AlreadyClaimed, "request %s was started before", c.ID)
}

func claimUnavailable(format string, args ...any) (refusal *mesh.Refusal) {
	return mesh.NotRun(header.ClaimUnavailable, format, args...)
}
