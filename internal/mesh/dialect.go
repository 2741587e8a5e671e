package mesh

import "time"

// Headers are the headers of a request or answer, by canonical name.
type Headers map[string][]string

// RequestInfo is what the headers of a caller's request contain.
type RequestInfo struct {
	// ID is the caller's request id, never empty.
	ID string

	// Parent is the id of the parent request, when a target makes the call; empty
	// when ID does not contain one.
	Parent string

	// Timeout is the caller's timeout; zero when not set.
	Timeout time.Duration

	// Key is the hash of the API key. It is valid only when HasKey is true.
	Key    KeyHash
	HasKey bool
}

// AnswerInfo is what the headers of a target's answer contain.
type AnswerInfo struct {
	// ID is the id of the answered request. An answer without one belongs to no request.
	ID string

	// Contradictory is true when a field that says whose answer it is, or what became of the
	// request, is there more than once.
	Contradictory bool

	// FromTarget is true when the answer proves that it comes from a target.
	FromTarget bool

	// NotRun is true when the target reports that it did not execute the request.
	NotRun bool

	// OtherTarget is true when a target other than the expected one answered.
	OtherTarget bool
}

// TargetStatus is the result of a health check of a target.
type TargetStatus struct {
	// Healthy is true when the target accepts requests.
	Healthy bool

	// Name is the target's own id.
	Name string

	// ColdRemaining is the remaining time of the target's cold start.
	ColdRemaining time.Duration
}

// Dialect is the header format that callers and targets use. Dialects differ in nothing
// but headers and status codes.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request. The error text is
	// meant for the caller and says how to correct the request.
	ParseRequest(h Headers) (info RequestInfo, err error)

	// SetTargetHeaders sets the headers of a call that is sent to a target, and
	// removes those that must not reach a target.
	SetTargetHeaders(h Headers, call *Call, to Target, left time.Duration)

	// ParseAnswer parses the status and headers of a target's answer.
	ParseAnswer(status int, h Headers) (info AnswerInfo)

	// ParseStatus parses the status and headers of the answer to a health check.
	// An error names those that are malformed; the rest of s is valid.
	ParseStatus(status int, h Headers) (s TargetStatus, err error)

	// WriteRefusal sets the headers of a refusal and returns its HTTP status. A
	// status that guarantees that the request was not executed is only used for
	// a refusal with the outcome NotRun.
	WriteRefusal(h Headers, r *Refusal) (status int)
}

// Announcement is a report of a target about its own state.
type Announcement struct {
	Zone   ZoneName
	Target Target

	// Sequence increases with each report within one incarnation of the target.
	Sequence uint64

	// Stopped is true when the target shuts down; then only Name is set in Target.
	Stopped bool
}
