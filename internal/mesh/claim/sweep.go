package claim

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// sweepPageSize is the maximum number of rows per list request.
	sweepPageSize = 1000

	// takeoverDelay is how long the floor row must stay unchanged before another
	// node announces the next floor. The node that announced the last floor
	// normally announces the next one after floorLead.
	takeoverDelay = 2 * floorLead
)

// sweep is the state of the deletion of expired rows, those below the floor. Normally
// one node runs the sweep. When two do, they delete the same rows, which is harmless.
type sweep struct {
	// nonce is the nonce of the last floor that this node announced.
	nonce Nonce

	// floor is the last floor that this node announced and then found in the row, at
	// the time confirmedAt; both are zero when there is none.
	floor       time.Time
	confirmedAt time.Time

	// keys are the listed rows below floor whose deletion has not been sent.
	keys []string

	// complete is true when the last list found no rows below floor.
	complete bool

	// inFlight is true while a batch of the sweep is in flight.
	inFlight bool

	// retryAt is the end of the backoff after a failure.
	retryAt time.Time
}

// List reads the first Limit rows whose keys start with Prefix. The caller answers with
// ReadResult or Unsent.
type List struct {
	Batch  *Batch
	Prefix string
	Limit  int
}

func (List) action() {}

// sweepFloorRead handles a read of the floor row: it starts the sweep of this node's
// own floor, announces the next floor when it is this node's turn, or drops the state of
// its sweep when another node announced the current floor.
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

// announceFloor writes the next floor. A later read of the row shows whether the write
// was applied, so its result is not needed.
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

// sendSweep sends the next batch of the sweep: a list, or the deletion of listed rows.
// It reports false when none is due.
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

// sweepDone handles the result of a batch of the sweep. Rows whose deletion failed are
// found again by a later list.
func (t *Tracker) sweepDone(now time.Time, err error) {
	t.sweep.inFlight = false
	if err != nil {
		t.sweep.retryAt = now.Add(maxBackoff)
	}
}

// sweepListed handles the first page of claim rows. Keys start with the time of the
// request id, so the rows below the floor come first.
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
