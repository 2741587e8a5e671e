package claim

import (
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Acquire requests the claim of a call. The pointer Call identifies the attempt.
type Acquire struct {
	Call *mesh.Call

	// Retention is how long claims are kept after the creation of their request ids.
	Retention time.Duration
}

// Release reports that an attempt did not run and will not run, so that its claim is
// released. It may come at any time after Acquire.
type Release struct{ Call *mesh.Call }

// CommitResult is the result of a Commit.
type CommitResult struct {
	Batch *Batch
	Err   error
}

// Unsent reports that a batch was not sent to the platform.
type Unsent struct{ Batch *Batch }

// ReadResult is the result of a Fetch or a List. For a Fetch without an error, Rows has
// one row for each key, with Version 0 if the row does not exist. After an error it may
// have only the first ones.
type ReadResult struct {
	Batch *Batch
	Rows  []mesh.Row
	Err   error
}

// TimerExpired reports that the time returned by Next has been reached.
type TimerExpired struct{}

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
func (TimerExpired) EventName() string { return "elapsed" }

// Action is an operation that the caller of Step must perform.
type Action interface{ action() }

// Commit writes a batch in one transaction. The caller answers with CommitResult or
// Unsent.
type Commit struct {
	Batch  *Batch
	Writes []mesh.Write
}

// Fetch reads rows by key. The caller answers with ReadResult or Unsent.
type Fetch struct {
	Batch *Batch
	Keys  []string
}

// Grant allows an attempt to run.
type Grant struct{ Call *mesh.Call }

// Refuse rejects an attempt.
type Refuse struct {
	Call    *mesh.Call
	Refusal *mesh.Refusal
}

// Released reports that the claim of an attempt that did not run no longer blocks other
// attempts, or that the tracker has no entry for the attempt any more.
type Released struct{ Call *mesh.Call }

func (Commit) action()   {}
func (Fetch) action()    {}
func (Grant) action()    {}
func (Refuse) action()   {}
func (Released) action() {}

// Batch is one transaction or one read request.
type Batch struct {
	nonce   Nonce
	entries []*entry

	// isRelease reports for each entry whether its write releases the claim. It is
	// empty for batches of the sweep and for reads.
	isRelease []bool

	// lost is the transaction with an unknown outcome that this read of the row of
	// its first entry resolves; nil for other batches.
	lost *Batch

	// isFloorRead is true for a read of the floor row, which started at startedAt.
	isFloorRead bool
	startedAt   time.Time

	// isSweep is true for a batch of the sweep.
	isSweep bool
}
