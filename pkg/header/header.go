// Package header defines the HTTP headers, outcomes and refusal codes that
// callers and targets exchange with a quetzalstack node.
package header

// Headers that callers and targets may send or receive.
const (
	// RequestID identifies a request; retries keep it. It is a UUIDv7.
	RequestID = "Quetzal-Request-Id"

	// Timeout is the time remaining until the deadline of the request, as a Go
	// duration such as "750ms". It is not an absolute time because the clocks of
	// hosts differ.
	Timeout = "Quetzal-Timeout"

	// Call identifies one attempt at a target. A target that makes a nested call
	// passes the value unchanged to its local node.
	Call = "Quetzal-Call"

	// Organisation is the organisation that sent the request.
	Organisation = "Quetzal-Organisation"

	// Class is the priority class of the request.
	Class = "Quetzal-Class"

	// Outcome states on every answer whether the request was executed.
	Outcome = "Quetzal-Outcome"

	// Code is the refusal code of an answer that comes from a node instead of a target.
	Code = "Quetzal-Code"
)

// Headers between nodes. Nodes strip them from the messages of callers and targets.
const (
	// Pass is the signed metadata of a call that is forwarded between nodes.
	Pass = "Quetzal-Pass"

	// AttemptsLeft is the unspent part of the call's retry budget.
	AttemptsLeft = "Quetzal-Attempts-Left"

	// Level is the admission level: the least important class that the answering
	// service accepts.
	Level = "Quetzal-Level"

	// Load is the utilisation of the target's concurrency limit, in thousandths.
	Load = "Quetzal-Load"

	// Room is what the target's node knows about how much the target takes: the limit, the
	// requests that run and that are queued, and the time of a request with and without its
	// nested calls in microseconds.
	Room = "Quetzal-Room"
)

// Prefix is the common prefix of the headers of this package.
const Prefix = "Quetzal-"

// OutcomeValue is a value of the Outcome header.
type OutcomeValue string

// Outcomes of a request. An answer carries exactly one of them.
const (
	// NotRun guarantees that no byte of this attempt reached a target, or that
	// the target itself reported that it did not execute the request.
	NotRun OutcomeValue = "not-run"

	// Ran means that a target executed the request and that this is its complete
	// answer.
	Ran OutcomeValue = "ran"

	// Unknown means that the request may have been executed.
	Unknown OutcomeValue = "unknown"
)
