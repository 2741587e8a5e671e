package claim

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// sendDue sends all batches that are due, up to the limit of batches in flight.
func (t *Tracker) sendDue(now time.Time) {
	for t.inFlight < t.limit() && !now.Before(t.backoffUntil) && t.sendNext(now) {
		t.inFlight++
	}
}

// sendNext sends the next batch. It reports false when none is due.
func (t *Tracker) sendNext(now time.Time) (sent bool) {
	if len(t.entries) > 0 && t.floor.due(now) {
		t.floor.readInFlight = true
		t.emit(Fetch{Batch: &Batch{isFloorRead: true, startedAt: now}, Keys: []string{floorKey}})
		return true
	}
	if len(t.probes) > 0 {
		probe := t.probes[0]
		t.probes = t.probes[1:]
		t.emit(Fetch{Batch: probe, Keys: []string{probe.entries[0].key}})
		return true
	}
	return t.sendReads() || t.floor.fresh(now) && t.sendWrites(now) || t.sendSweep(now)
}

func (t *Tracker) sendReads() (sent bool) {
	batch := &Batch{}
	var keys []string
	for !t.readInFlight && len(t.reads) > 0 && len(keys) < readBatchSize {
		e := t.reads[0]
		t.reads = t.reads[1:]
		if e.stage == done {
			continue
		}
		batch.entries = append(batch.entries, e)
		keys = append(keys, e.key)
	}
	if len(keys) == 0 {
		return false
	}
	t.readInFlight = true
	t.emit(Fetch{Batch: batch, Keys: keys})
	return true
}

func (t *Tracker) sendWrites(now time.Time) (sent bool) {
	for len(t.splitBatches) > 0 {
		group := t.splitBatches[0]
		t.splitBatches = t.splitBatches[1:]
		if t.commit(group) {
			return true
		}
	}
	for len(t.writes) >= MaxBatch || len(t.writes) > 0 && !now.Before(t.partialBatchAt()) {
		n := min(MaxBatch, len(t.writes))
		group := t.writes[:n:n]
		t.writes = t.writes[n:]
		if t.commit(group) {
			return true
		}
	}
	return false
}

// commit sends one transaction with the writes of the entries that still need one. It
// reports false when none does.
func (t *Tracker) commit(entries []*entry) (sent bool) {
	batch := &Batch{nonce: t.nonce()}
	writes := make([]mesh.Write, 0, len(entries))
	for _, e := range entries {
		switch {
		case e.stage == claiming:
			e.claimBatches = append(e.claimBatches, batch)
		case e.stage == releasing && e.mustRead:
			t.reads = append(t.reads, e)
			continue
		case e.stage != releasing:
			e.pending = false
			continue
		}
		batch.entries = append(batch.entries, e)
		batch.isRelease = append(batch.isRelease, e.stage == releasing)
		writes = append(writes, e.write(batch.nonce))
	}
	if len(writes) == 0 {
		return false
	}
	t.commitsInFlight++
	t.emit(Commit{Batch: batch, Writes: writes})
	return true
}

// write returns the conditional write that claims or releases the row of the entry.
func (e *entry) write(nonce Nonce) (w mesh.Write) {
	kind, version := Claimed, e.claimVersion
	if e.stage == releasing {
		kind, version = Free, e.releaseVersion
	}
	w = mesh.Write{Key: e.key, Value: Record{Kind: kind, Nonce: nonce}.Value(), Condition: mesh.IfAbsent}
	if version != 0 {
		w.Condition, w.Version = mesh.IfVersion, version
	}
	return w
}
