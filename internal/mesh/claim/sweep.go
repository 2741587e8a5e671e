package claim

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// sweepPageSize is how many rows are listed at a time.
	sweepPageSize = 1000

	// takeoverDelay is how long the row with the floor must stay unchanged before
	// another node announces the next floor. The one that announced the last
	// floor does so every floorLead.
	takeoverDelay = 2 * floorLead
)

// sweep deletes the rows below the floor. One node at a time does it; two at a
// time delete the same rows, which does no harm.
type sweep struct {
	// nonce is that of this node's last announcement.
	nonce Nonce

	// floor is that of this node's last announcement that a reading of the
	// row confirmed, at the time confirmed; zero means none.
	floor       time.Time
	confirmedAt time.Time

	// keys are rows below floor that are not yet deleted.
	keys []string

	// complete is true when no row below floor was left.
	complete bool

	// inFlight is true while a batch of the sweep is at the platform.
	inFlight bool

	// retryAt is when the sweep goes on after a failure.
	retryAt time.Time
}

// List reads the first rows of the claims. Seen follows.
type List struct {
	Batch  *Batch
	Prefix string
	Limit  int
}

func (List) action() {}

// sweepFloorRead takes in a reading of the row with the floor.
func (t *Tracker) sweepFloorRead(now time.Time, row mesh.Row) {
	s := &t.sweep
	own := s.nonce != Nonce{} && len(row.Value) == 8+NonceSize && Nonce(row.Value[8:]) == s.nonce
	switch {
	case own && s.confirmedAt.IsZero():
		s.floor, s.confirmedAt, s.complete = parseFloor(row.Value), now, false
	case own && s.complete, !own && now.Sub(t.floor.versionSince) >= takeoverDelay:
		t.announceFloor(now, row)
	case !own:
		*s = sweep{inFlight: s.inFlight}
	}
}

// announceFloor writes the next floor. A later reading shows whether the write took
// effect, so its answer is not needed.
func (t *Tracker) announceFloor(now time.Time, row mesh.Row) {
	t.sweep = sweep{nonce: t.nonce(), inFlight: t.sweep.inFlight}
	at := now.Add(-t.retention - maxClockSkew)
	if current := parseFloor(row.Value); current.After(at) {
		at = current
	}
	w := mesh.Write{Key: floorKey, Value: floorValue(at, t.sweep.nonce), Condition: mesh.IfAbsent}
	if row.Version != 0 {
		w.Condition, w.Version = mesh.IfVersion, row.Version
	}
	t.emit(Commit{Batch: &Batch{isSweep: true}, Writes: []mesh.Write{w}})
	t.inFlight++
	t.sweep.inFlight = true
}

// sendSweep continues the sweep, when there is one and it is due.
func (t *Tracker) sendSweep(now time.Time) (sent bool) {
	s := &t.sweep
	if s.inFlight || s.complete || s.confirmedAt.IsZero() || now.Before(s.retryAt) || now.Before(s.confirmedAt.Add(floorLead)) {
		return false
	}
	s.inFlight = true
	batch := &Batch{isSweep: true}
	if len(s.keys) == 0 {
		t.emit(List{Batch: batch, Prefix: rowPrefix, Limit: sweepPageSize})
		return true
	}
	n := min(MaxBatch, len(s.keys))
	var writes []mesh.Write
	for _, key := range s.keys[:n] {
		writes = append(writes, mesh.Write{Key: key, Delete: true})
	}
	s.keys = s.keys[n:]
	t.emit(Commit{Batch: batch, Writes: writes})
	return true
}

// sweepDone takes in that a batch of the sweep is back. Rows that were not
// deleted are listed again.
func (t *Tracker) sweepDone(now time.Time, err error) {
	t.sweep.inFlight = false
	if err != nil {
		t.sweep.retryAt = now.Add(maxBackoff)
	}
}

// sweepListed takes in the first rows of the claims. Keys start with the time
// of the id, so the rows below the floor come first.
func (t *Tracker) sweepListed(rows []mesh.Row) {
	s := &t.sweep
	s.keys = nil
	for _, row := range rows {
		if belowFloor(row.Key, s.floor) {
			s.keys = append(s.keys, row.Key)
		}
	}
	s.complete = len(s.keys) == 0
}
