package mesh

import "time"

// Headers are the headers of a request or answer, by canonical name.
type Headers map[string][]string

// RequestInfo is what the headers of a caller's request say about it.
type RequestInfo struct {
	// ID is the caller's name for the request, never empty.
	ID string

	// Parent is the id of the request that a target makes this call for; empty
	// where the id does not show one.
	Parent string

	// Timeout is how long the caller waits; zero when it does not say.
	Timeout time.Duration

	// Key is set when HasKey is true.
	Key    KeyHash
	HasKey bool
}

// AnswerInfo is what the headers of a target's answer say about it.
type AnswerInfo struct {
	// ID is the request that is answered; empty when the target does not say.
	ID string

	// FromTarget is true when the answer shows that a target made it.
	FromTarget bool

	// NotRun is true when the target states that it did not run the request.
	NotRun bool

	// OtherTarget is true when another target than the expected one answered.
	OtherTarget bool
}

// TargetStatus is what a target's answer to a status check says about it.
type TargetStatus struct {
	// Healthy is true when the target takes work.
	Healthy bool

	// Name is the target's own id.
	Name string

	// ColdRemaining is how much longer the target is cold.
	ColdRemaining time.Duration
}

// Dialect is the way in which callers and targets write headers. Everything
// else about a request is the same for all of them.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request. An error says what
	// the caller has to change.
	ParseRequest(h Headers) (in RequestInfo, err error)

	// SetTargetHeaders sets the headers with which the call goes to a target, and
	// removes those that no target may see.
	SetTargetHeaders(h Headers, call *Call, to Target, left time.Duration)

	// ParseAnswer reads the status and headers of a target's answer.
	ParseAnswer(status int, h Headers) (v AnswerInfo)

	// ParseStatus reads the status and headers of a target's answer to a status
	// check. An error says which of them cannot be read; the rest is valid.
	ParseStatus(status int, h Headers) (s TargetStatus, err error)

	// WriteRefusal sets the headers of a refusal and returns its status. A status
	// that promises that the request did not run is used only for a refusal
	// with the outcome NotRun.
	WriteRefusal(h Headers, r *Refusal) (status int)
}

// Announcement is what a target reports about itself.
type Announcement struct {
	Zone   ZoneName
	Target Target

	// Sequence rises with each report of one incarnation of the target.
	Sequence uint64

	// Stopped is true when the target ends; of Target only Name is set then.
	Stopped bool
}
