package claim

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Acquire asks for the claim of a call. The call's address names the attempt.
type Acquire struct {
	Call *mesh.Call

	// Retention is how long claims are kept.
	Retention time.Duration
}

// Release says that an attempt did not run and will not. It may come at any
// time after Wanted.
type Release struct{ Call *mesh.Call }

// CommitResult brings the outcome of a Commit.
type CommitResult struct {
	Batch *Batch
	Err   error
}

// Unsent says that a batch was not handed to the platform.
type Unsent struct{ Batch *Batch }

// ReadResult brings the rows that a Fetch asked for. Rows has one row for each key,
// with Version 0 for an absent one.
type ReadResult struct {
	Batch *Batch
	Rows  []mesh.Row
	Err   error
}

// Elapsed says that the time of Next has come.
type Elapsed struct{}

// EventName implements mesh.Event.
func (Acquire) EventName() string { return "claim-wanted" }

// EventName implements mesh.Event.
func (Release) EventName() string { return "claim-dropped" }

// EventName implements mesh.Event.
func (CommitResult) EventName() string { return "claim-written" }

// EventName implements mesh.Event.
func (Unsent) EventName() string { return "claim-unsent" }

// EventName implements mesh.Event.
func (ReadResult) EventName() string { return "claim-seen" }

// EventName implements mesh.Event.
func (Elapsed) EventName() string { return "elapsed" }

// Action is something for the owner of the book to do.
type Action interface{ action() }

// Commit writes a batch in one transaction. Written follows.
type Commit struct {
	Batch  *Batch
	Writes []mesh.Write
}

// Fetch reads rows. Seen follows.
type Fetch struct {
	Batch *Batch
	Keys  []string
}

// Grant lets an attempt run.
type Grant struct{ Call *mesh.Call }

// Refuse turns an attempt away.
type Refuse struct {
	Call    *mesh.Call
	Refusal *mesh.Refusal
}

// Released says that the claim of a dropped attempt holds up no other attempt, or
// that the book no longer knows it.
type Released struct{ Call *mesh.Call }

func (Commit) action()   {}
func (Fetch) action()    {}
func (Grant) action()    {}
func (Refuse) action()   {}
func (Released) action() {}

// Batch is one transaction, or one reading of rows.
type Batch struct {
	nonce   Nonce
	entries []*entry

	// isRelease tells for each entry whether it was written as free.
	isRelease []bool

	// lost holds the entries of a lost transaction that wait until the row
	// of one of them was read.
	lost *Batch

	// isFloorRead is true for the reading of the isFloorRead, which began at asked.
	isFloorRead bool
	startedAt   time.Time

	// isSweep is true for a batch of the isSweep.
	isSweep bool
}
