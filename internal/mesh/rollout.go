package mesh

import (
	"context"
	"time"
)

// VersionName is the version of a target's software.
type VersionName string

// RolloutOrder is an operator's request to move the traffic of a service to another version of
// its targets.
type RolloutOrder struct {
	Service ServiceName
	To      VersionName

	// Limit is the time after the order by which the roll-out has to end; above zero.
	Limit time.Duration

	// Revision identifies the order. A later order for the service has a later one.
	Revision StoreVersion
}

// RolloutState is the state of a roll-out.
type RolloutState uint8

// States of a roll-out. All but RolloutRunning are final.
const (
	RolloutRunning RolloutState = iota

	// RolloutComplete means that the new version serves all requests.
	RolloutComplete

	// RolloutRolledBack means that the version before serves all requests.
	RolloutRolledBack

	// RolloutRejected means that the order cannot be carried out.
	RolloutRejected

	// RolloutWithdrawn means that the operator has taken the order back.
	RolloutWithdrawn
)

var rolloutStateNames = [...]string{"running", "complete", "rolled back", "rejected", "withdrawn"}

// String returns the name of the state as shown in logs and metrics.
func (s RolloutState) String() string {
	if int(s) >= len(rolloutStateNames) {
		return "invalid"
	}
	return rolloutStateNames[s]
}

// Repeats reports whether o is a later state's copy of the earlier order: a row that has survived the
// return of the store from a copy, or that operators have written again since.
func (o *RolloutOrder) Repeats(earlier *RolloutOrder) bool {
	return o.Revision.Era > earlier.Revision.Era && o.Service == earlier.Service && o.To == earlier.To && o.Limit == earlier.Limit
}

// Rollout is the progress of an order that the hosts agree on.
type Rollout struct {
	Order RolloutOrder
	State RolloutState

	// Step counts the decisions on this order. It starts at 1 and only increases, so that of two
	// records of one order the one with the higher step is in force.
	Step uint64

	// Share is the share of the service's requests that the new version gets, from 0 to 1.
	Share float64

	// Elapsed is the time from the order to this step.
	Elapsed time.Duration

	// Reason says in a sentence what decided this step.
	Reason string
}

// Supersedes reports whether r replaces the record other of the same service. Two hosts may have stored
// the same step in different eras of the store; a final one counts then.
func (r *Rollout) Supersedes(other *Rollout) bool {
	if r.Order.Revision != other.Order.Revision {
		return r.Order.Revision.After(other.Order.Revision)
	}
	if r.Step != other.Step {
		return r.Step > other.Step
	}
	return r.State != RolloutRunning && other.State == RolloutRunning
}

// RolloutStore stores the progress of roll-outs. Any host may write; a condition on the stored
// step orders the writes of two hosts that both decide.
type RolloutStore interface {
	// Rollouts returns the stored progress of all services.
	Rollouts(ctx context.Context) (stored []Rollout, err error)

	// Advance stores next, provided that the stored record of its service is last, or one before
	// last: a store that has come back from a copy has lost last. last is nil when there is none.
	// It returns the record that is stored now: next, or the one that another host has written.
	// After an error, next may have been stored.
	Advance(ctx context.Context, last *Rollout, next Rollout) (stored Rollout, err error)
}

// latencyBuckets is the number of buckets of a tally's latency histogram. The last one holds all
// latencies from about 33 s on.
const latencyBuckets = 32

// LatencyBuckets counts latencies: bucket i holds those of at least 1 ms times the square root of
// two to the power of i-1, and bucket 0 all shorter ones.
type LatencyBuckets [latencyBuckets]uint32

// VersionTally counts what one host has seen of one version of a service on one route since the
// host started. Its counts only grow, so that the latest report of a host replaces all earlier ones.
type VersionTally struct {
	Service ServiceName
	Version VersionName
	Route   string

	// Sent counts requests that were sent to a target, Answers those that it answered and
	// Failures the answers that were failures.
	Sent, Answers, Failures uint64

	// Latencies holds the latencies of the answers.
	Latencies LatencyBuckets
}

// VersionChoice says which targets of a service may run a call while a roll-out of the service is
// not settled. The zero value allows all targets.
type VersionChoice struct {
	// To is the new version, or empty when all targets are allowed.
	To VersionName

	// New is true when only targets of the new version are allowed, and false when all others are.
	New bool
}

// Allows reports whether a target of the version may run the call. A target whose version is not
// known counts as one of another version than the new one.
func (c VersionChoice) Allows(version VersionName) bool {
	return c.To == "" || (version == c.To) == c.New
}
