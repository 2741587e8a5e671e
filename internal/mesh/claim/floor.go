package claim

import (
	"encoding/binary"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

const (
	// floorKey is the row with the floor, the time before which ids are
	// refused in the whole fleet.
	floorKey = "claim-floor"

	// floorLead is how long a floor is announced before the rows below it
	// are deleted. A node claims only while its reading of the floor is
	// younger, so it refuses the ids of every row that is gone. This needs
	// no agreement of clocks and also holds when claim-keep is raised.
	floorLead = 20 * time.Minute
)

// floor is what a node knows of the row with the floor.
type floor struct {
	// at only rises. It is zero before the first floor.
	at time.Time

	// readStartedAt is when the last reading began; zero means never read.
	readStartedAt time.Time
	readInFlight  bool

	// version is that of the last reading, since is when a reading first
	// brought it.
	version      uint64
	versionSince time.Time
}

// fresh reports whether no row above the known floor can be gone.
func (f *floor) fresh(now time.Time) bool {
	return !f.readStartedAt.IsZero() && now.Before(f.readStartedAt.Add(floorLead))
}

// due reports whether the row should be read again.
func (f *floor) due(now time.Time) bool {
	return !f.readInFlight && (f.readStartedAt.IsZero() || !now.Before(f.readStartedAt.Add(floorLead/2)))
}

// allows reports whether an attempt with the id may run now.
func (f *floor) allows(now time.Time, id mesh.RequestID) bool {
	return f.fresh(now) && !id.Time().Before(f.at)
}

// update takes in the row.
func (f *floor) update(now, startedAt time.Time, row mesh.Row) {
	f.readStartedAt = startedAt
	if at := parseFloor(row.Value); at.After(f.at) {
		f.at = at
	}
	if row.Version != f.version || f.versionSince.IsZero() {
		f.version, f.versionSince = row.Version, now
	}
}

// floorValue returns the value of the row for a floor. The nonce tells the
// writer whether a write whose answer was lost took effect.
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
