package claim

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// flush sends what is due.
func (b *Tracker) flush(now time.Time) {
	for b.inFlight < b.limit() && !now.Before(b.pausedUntil) && b.send(now) {
		b.inFlight++
	}
}

// send makes the next batch and reports false when none is due.
func (b *Tracker) send(now time.Time) (sent bool) {
	if len(b.entries) > 0 && b.floor.due(now) {
		b.floor.reading = true
		b.act(Fetch{Batch: &Batch{floor: true, asked: now}, Keys: []string{floorKey}})
		return true
	}
	if len(b.probes) > 0 {
		probe := b.probes[0]
		b.probes = b.probes[1:]
		b.act(Fetch{Batch: probe, Keys: []string{probe.entries[0].key}})
		return true
	}
	return b.sendReads() || b.floor.fresh(now) && b.sendWrites(now) || b.sendSweep(now)
}

func (b *Tracker) sendReads() (sent bool) {
	batch := &Batch{}
	var keys []string
	for !b.reading && len(b.reads) > 0 && len(keys) < maxReads {
		e := b.reads[0]
		b.reads = b.reads[1:]
		if e.stage == done {
			continue
		}
		batch.entries = append(batch.entries, e)
		keys = append(keys, e.key)
	}
	if len(keys) == 0 {
		return false
	}
	b.reading = true
	b.act(Fetch{Batch: batch, Keys: keys})
	return true
}

func (b *Tracker) sendWrites(now time.Time) (sent bool) {
	for len(b.groups) > 0 {
		group := b.groups[0]
		b.groups = b.groups[1:]
		if b.commit(group) {
			return true
		}
	}
	for len(b.writes) >= MaxBatch || len(b.writes) > 0 && !now.Before(b.shortAt()) {
		n := min(MaxBatch, len(b.writes))
		group := b.writes[:n:n]
		b.writes = b.writes[n:]
		if b.commit(group) {
			return true
		}
	}
	return false
}

// commit writes the entries that still want it in one transaction.
func (b *Tracker) commit(entries []*entry) (sent bool) {
	batch := &Batch{nonce: b.nonce()}
	writes := make([]mesh.Write, 0, len(entries))
	for _, e := range entries {
		switch {
		case e.stage == claiming:
			e.tried = append(e.tried, batch)
		case e.stage == freeing && e.look:
			b.reads = append(b.reads, e)
			continue
		case e.stage != freeing:
			e.busy = false
			continue
		}
		batch.entries = append(batch.entries, e)
		batch.frees = append(batch.frees, e.stage == freeing)
		writes = append(writes, e.write(batch.nonce))
	}
	if len(writes) == 0 {
		return false
	}
	b.writing++
	b.act(Commit{Batch: batch, Writes: writes})
	return true
}

// write returns the conditional write of the entry's next step.
func (e *entry) write(nonce Nonce) (w mesh.Write) {
	kind, version := Claimed, e.base
	if e.stage == freeing {
		kind, version = Free, e.row
	}
	w = mesh.Write{Key: e.key, Value: Record{Kind: kind, Nonce: nonce}.Value(), Condition: mesh.IfAbsent}
	if version != 0 {
		w.Condition, w.Version = mesh.IfVersion, version
	}
	return w
}
