package claim

import (
	"errors"
	"slices"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// written takes in the outcome of a transaction.
func (b *Tracker) written(now time.Time, w CommitResult) {
	var conflict *mesh.ConflictError
	switch {
	case w.Batch.sweep:
		b.sweepEnded(now, w.Err)
	case w.Err == nil:
		b.failures = 0
		b.landed(now, w.Batch)
		b.requeue(now, w.Batch.entries)
	case errors.As(w.Err, &conflict):
		b.failures = 0
		b.conflicted(now, w.Batch, conflict.Current)
	default:
		b.probes = append(b.probes, &Batch{entries: w.Batch.entries[:1], rest: w.Batch})
	}
}

// landed grants or ends the attempts of a transaction that took effect. It
// takes effect as a whole, so one of its rows proves it for all.
func (b *Tracker) landed(now time.Time, batch *Batch) {
	for i, e := range batch.entries {
		switch {
		case e.stage == freeing && batch.frees[i]:
			b.finish(e)
		case e.stage == claiming:
			b.grant(now, e)
		}
	}
}

// grant lets an attempt run whose claim is known to have taken effect.
func (b *Tracker) grant(now time.Time, e *entry) {
	switch {
	case e.call.Remaining(now) <= 0:
		b.giveUp(now, e, mesh.NotRun(header.DeadlineExceeded, "the deadline passed while the request was recorded"))
	case !b.floor.covers(now, e.call.ID):
		b.giveUp(now, e, unavailable("the platform was out of reach for too long while the request was recorded"))
	default:
		e.stage = held
		b.held = append(b.held, e)
		b.act(Grant{Call: e.call})
	}
}

// conflicted takes in the row that made a transaction fail. The others are
// tried again in two halves, so that a few conflicts cannot hold up the
// claims beside them for long.
func (b *Tracker) conflicted(now time.Time, batch *Batch, current mesh.Row) {
	var others []*entry
	for _, e := range batch.entries {
		if e.key != current.Key {
			others = append(others, e)
			continue
		}
		e.busy = false
		b.observe(now, e, current)
	}
	if len(others) == len(batch.entries) {
		b.requeue(now, others)
		return
	}
	half := (len(others) + 1) / 2
	for _, part := range [][]*entry{others[:half], others[half:]} {
		if len(part) > 0 {
			b.groups = append(b.groups, part)
		}
	}
}

// observe takes in the row of an entry that is not busy.
func (b *Tracker) observe(now time.Time, e *entry, row mesh.Row) {
	switch e.stage {
	case claiming:
		b.observeClaiming(now, e, row)
	case freeing:
		b.observeFreeing(now, e, row)
	}
}

func (b *Tracker) observeClaiming(now time.Time, e *entry, row mesh.Row) {
	record := ParseRecord(row.Value)
	own := e.own(row, record)
	switch {
	case own != nil:
		b.landed(now, own)
	case row.Version == 0 && e.base != 0:
		// A row only goes away when its id is too old.
		b.refuse(e.call, expired(e.call))
		b.remove(e)
	case row.Version != 0 && record.Kind == Claimed:
		b.refuse(e.call, started(e.call))
		b.remove(e)
	default:
		e.base, e.look = row.Version, false
		b.queue(now, e)
	}
}

func (b *Tracker) observeFreeing(now time.Time, e *entry, row mesh.Row) {
	if e.own(row, ParseRecord(row.Value)) == nil && row.Version != e.base {
		b.finish(e)
		return
	}
	e.row, e.look = row.Version, false
	b.queue(now, e)
}

// own returns the transaction of this attempt that claimed the row, or nil.
func (e *entry) own(row mesh.Row, record Record) (batch *Batch) {
	if row.Version == 0 || record.Kind != Claimed {
		return nil
	}
	for _, t := range e.tried {
		if t.nonce == record.Nonce {
			return t
		}
	}
	return nil
}

// unsent takes back a batch that never left the node.
func (b *Tracker) unsent(now time.Time, batch *Batch) {
	if batch.sweep {
		b.sweepEnded(now, mesh.ErrPlatformUnavailable)
		return
	}
	if len(batch.frees) == 0 {
		b.seen(now, ReadResult{Batch: batch, Err: mesh.ErrPlatformUnavailable})
		return
	}
	for _, e := range batch.entries {
		e.tried = slices.DeleteFunc(e.tried, func(t *Batch) bool { return t == batch })
	}
	b.fail(now, batch.entries, mesh.NotRun(header.NodeBusy, "the platform is busy"))
}

// seen takes in rows that were read.
func (b *Tracker) seen(now time.Time, s ReadResult) {
	switch {
	case s.Batch.sweep:
		b.sweepEnded(now, s.Err)
		if s.Err == nil {
			b.sweepListed(s.Rows)
		}
		return
	case s.Batch.floor:
		b.floor.reading = false
		if s.Err == nil {
			b.failures = 0
			b.floor.read(now, s.Batch.asked, s.Rows[0])
			b.sweepSeen(now, s.Rows[0])
			return
		}
	case s.Batch.rest != nil && s.Err == nil:
		b.probed(now, s.Batch.rest, s.Rows[0])
		return
	}
	entries := s.Batch.entries
	if s.Batch.rest != nil {
		entries = s.Batch.rest.entries
	} else if !s.Batch.floor {
		b.reading = false
	}
	for i, row := range s.Rows {
		b.failures = 0
		entries[i].busy = false
		b.observe(now, entries[i], row)
	}
	if s.Err != nil {
		b.fail(now, entries[len(s.Rows):], unavailable("the platform does not answer"))
	}
}

// probed decides from the row of its first entry whether a lost transaction
// took effect. If it did not, it may still do so; its claims are written again
// under the same conditions, which only one of both can meet.
func (b *Tracker) probed(now time.Time, lost *Batch, row mesh.Row) {
	b.failures = 0
	if row.Version != 0 && ParseRecord(row.Value).Nonce == lost.nonce {
		b.landed(now, lost)
		b.requeue(now, lost.entries)
		return
	}
	lost.entries[0].busy = false
	b.observe(now, lost.entries[0], row)
	b.requeue(now, lost.entries[1:])
}

// fail pauses the platform. The claims that wait for it are refused, so that
// they hold no slots of their targets meanwhile.
func (b *Tracker) fail(now time.Time, entries []*entry, refusal *mesh.Refusal) {
	b.pausedUntil = now.Add(min(maxPause, firstPause<<min(b.failures, 10)))
	b.failures++
	waiting := slices.Concat(entries, b.writes, b.reads)
	for _, g := range b.groups {
		waiting = append(waiting, g...)
	}
	b.writes, b.reads, b.groups = nil, nil, nil
	for _, p := range b.probes {
		b.failClaims(now, p.rest.entries, refusal)
	}
	for _, e := range waiting {
		e.busy = false
		switch e.stage {
		case claiming:
			b.giveUp(now, e, refusal)
		case freeing:
			e.look = true
			b.queue(now, e)
		}
	}
}

// failClaims refuses the claims of a lost transaction that is still to be looked
// into.
func (b *Tracker) failClaims(now time.Time, entries []*entry, refusal *mesh.Refusal) {
	for _, e := range entries {
		if e.stage == claiming {
			b.giveUp(now, e, refusal)
		}
	}
}

func expired(c *mesh.Call) (refusal *mesh.Refusal) {
	return mesh.Unknown(header.RequestIDExpired, "request id %s is too old to tell whether the request ran", c.ID)
}

func started(c *mesh.Call) (refusal *mesh.Refusal) {
	return mesh.Unknown(header.AlreadyClaimed, "request %s was started before", c.ID)
}

func unavailable(format string, args ...any) (refusal *mesh.Refusal) {
	return mesh.NotRun(header.ClaimUnavailable, format, args...)
}
