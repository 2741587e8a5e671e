package claim

import (
	"encoding/binary"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// floorKey is the key of the row with the floor: request ids created before
	// that time are refused in the whole fleet.
	floorKey = "claim-floor"

	// floorLead is the minimum time between the announcement of a floor and the
	// deletion of the rows below it. A node writes and grants claims only while its
	// last read of the floor is younger than this, so it refuses the ids of all
	// deleted rows. This does not depend on synchronised clocks and also holds after
	// claim-keep is raised.
	floorLead = 20 * time.Minute
)

// floor is a node's cached copy of the floor row.
type floor struct {
	// at is the highest floor read; it never decreases. It is zero before the first
	// floor.
	at time.Time

	// readStartedAt is when the last completed read started; zero means that the row
	// has never been read.
	readStartedAt time.Time
	readInFlight  bool

	// version is the version of the row in the last read, versionSince the time when
	// it was first read.
	version      uint64
	versionSince time.Time
}

// fresh reports whether the last read of the floor is recent enough that no row at or
// above the known floor can have been deleted.
func (f *floor) fresh(now time.Time) bool {
	return !f.readStartedAt.IsZero() && now.Before(f.readStartedAt.Add(floorLead))
}

// due reports whether the row must be read again.
func (f *floor) due(now time.Time) bool {
	return !f.readInFlight && (f.readStartedAt.IsZero() || !now.Before(f.readStartedAt.Add(floorLead/2)))
}

// allows reports whether an attempt with the request id may run now.
func (f *floor) allows(now time.Time, id mesh.RequestID) bool {
	return f.fresh(now) && !id.Time().Before(f.at)
}

// update records the row as returned by a read that started at startedAt.
func (f *floor) update(now, startedAt time.Time, row mesh.Row) {
	f.readStartedAt = startedAt
	if at := parseFloor(row.Value); at.After(f.at) {
		f.at = at
	}
	if row.Version != f.version || f.versionSince.IsZero() {
		f.version, f.versionSince = row.Version, now
	}
}

// floorValue returns the encoded value of the floor row. From the nonce, the writer
// recognises its own write, also when the response to the write was lost.
func floorValue(at time.Time, nonce Nonce) (value []byte) {
	value = binary.BigEndian.AppendUint64(nil, uint64(max(0, at.UnixMilli())))
	return append(value, nonce[:]...)
}

func parseFloor(value []byte) (at time.Time) {
	if len(value) < 8 {
		return at
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(value)))
}
