// Package header names the HTTP headers, outcomes and refusal codes that
// callers and targets exchange with a quetzalstack node.
package header

// Headers that callers and targets may send or receive.
const (
	// RequestID identifies a request across resends. It is a UUIDv7.
	RequestID = "Quetzal-Request-Id"

	// Timeout is the time that remains for the request, as a Go duration
	// such as "750ms". It is a remaining amount because clocks of hosts differ.
	Timeout = "Quetzal-Timeout"

	// Call stands for one delivery to a target. A target that makes a deeper
	// call sends it to its local node unchanged.
	Call = "Quetzal-Call"

	// Organisation tells a target for whom the request runs.
	Organisation = "Quetzal-Organisation"

	// Class tells a target the importance class of the request.
	Class = "Quetzal-Class"

	// Outcome says on every answer whether the request ran.
	Outcome = "Quetzal-Outcome"

	// Code holds the refusal code on an answer that a node made itself.
	Code = "Quetzal-Code"
)

// Headers between nodes. They are removed from what callers and targets send.
const (
	// Pass is the signed description of a call.
	Pass = "Quetzal-Pass"

	// AttemptsLeft returns the unspent part of the retry budget.
	AttemptsLeft = "Quetzal-Attempts-Left"

	// Level is the least important class that the service behind the answer
	// accepts now.
	Level = "Quetzal-Level"

	// Load is the share of its concurrency limit that the target uses, in
	// thousandths.
	Load = "Quetzal-Load"
)

// Prefix starts the name of every header of this package.
const Prefix = "Quetzal-"

// OutcomeValue is a value of the Outcome header.
type OutcomeValue string

// Outcomes of a request. An answer carries exactly one of them.
const (
	// NotRun promises that no byte of this attempt reached a target, or that
	// the target itself said that it did not run it.
	NotRun OutcomeValue = "not-run"

	// Ran means that a target ran the request and this is its whole answer.
	Ran OutcomeValue = "ran"

	// Unknown means that the request may have run.
	Unknown OutcomeValue = "unknown"
)
