package claim

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// sweepPage is how many rows are listed at a time.
	sweepPage = 1000

	// takeOver is how long the row with the floor must stay unchanged before
	// another node announces the next floor. The one that announced the last
	// floor does so every floorLead.
	takeOver = 2 * floorLead
)

// sweep deletes the rows below the floor. One node at a time does it; two at a
// time delete the same rows, which does no harm.
type sweep struct {
	// nonce is that of this node's last announcement.
	nonce Nonce

	// floor is that of this node's last announcement that a reading of the
	// row confirmed, at the time confirmed; zero means none.
	floor     time.Time
	confirmed time.Time

	// keys are rows below floor that are not yet deleted.
	keys []string

	// listed is true when no row below floor was left.
	listed bool

	// busy is true while a batch of the sweep is at the platform.
	busy bool

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

// sweepSeen takes in a reading of the row with the floor.
func (b *Tracker) sweepSeen(now time.Time, row mesh.Row) {
	s := &b.sweep
	own := s.nonce != Nonce{} && len(row.Value) == 8+NonceSize && Nonce(row.Value[8:]) == s.nonce
	switch {
	case own && s.confirmed.IsZero():
		s.floor, s.confirmed, s.listed = parseFloor(row.Value), now, false
	case own && s.listed, !own && now.Sub(b.floor.since) >= takeOver:
		b.announce(now, row)
	case !own:
		*s = sweep{busy: s.busy}
	}
}

// announce writes the next floor. A later reading shows whether the write took
// effect, so its answer is not needed.
func (b *Tracker) announce(now time.Time, row mesh.Row) {
	b.sweep = sweep{nonce: b.nonce(), busy: b.sweep.busy}
	at := now.Add(-b.keep - clockError)
	if before := parseFloor(row.Value); before.After(at) {
		at = before
	}
	w := mesh.Write{Key: floorKey, Value: floorValue(at, b.sweep.nonce), Condition: mesh.IfAbsent}
	if row.Version != 0 {
		w.Condition, w.Version = mesh.IfVersion, row.Version
	}
	b.act(Commit{Batch: &Batch{sweep: true}, Writes: []mesh.Write{w}})
	b.inFlight++
	b.sweep.busy = true
}

// sendSweep continues the sweep, when there is one and it is due.
func (b *Tracker) sendSweep(now time.Time) (sent bool) {
	s := &b.sweep
	if s.busy || s.listed || s.confirmed.IsZero() || now.Before(s.retryAt) || now.Before(s.confirmed.Add(floorLead)) {
		return false
	}
	s.busy = true
	batch := &Batch{sweep: true}
	if len(s.keys) == 0 {
		b.act(List{Batch: batch, Prefix: rowPrefix, Limit: sweepPage})
		return true
	}
	n := min(MaxBatch, len(s.keys))
	var writes []mesh.Write
	for _, key := range s.keys[:n] {
		writes = append(writes, mesh.Write{Key: key, Delete: true})
	}
	s.keys = s.keys[n:]
	b.act(Commit{Batch: batch, Writes: writes})
	return true
}

// sweepEnded takes in that a batch of the sweep is back. Rows that were not
// deleted are listed again.
func (b *Tracker) sweepEnded(now time.Time, err error) {
	b.sweep.busy = false
	if err != nil {
		b.sweep.retryAt = now.Add(maxPause)
	}
}

// sweepListed takes in the first rows of the claims. Keys start with the time
// of the id, so the rows below the floor come first.
func (b *Tracker) sweepListed(rows []mesh.Row) {
	s := &b.sweep
	s.keys = nil
	for _, row := range rows {
		if below(row.Key, s.floor) {
			s.keys = append(s.keys, row.Key)
		}
	}
	s.listed = len(s.keys) == 0
}
