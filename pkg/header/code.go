package header

// RefusalCode is a value of the Code header.
type RefusalCode string

// Refusal codes. docs/callers.md documents the guarantee of each code.
const (
	AlreadyClaimed     RefusalCode = "already-claimed"
	AnswerLost         RefusalCode = "answer-lost"
	BodyBroken         RefusalCode = "body-broken"
	BodyTooLarge       RefusalCode = "body-too-large"
	CallEnded          RefusalCode = "call-ended"
	CallerLeft         RefusalCode = "caller-left"
	ClaimUnavailable   RefusalCode = "claim-unavailable"
	DeadlineExceeded   RefusalCode = "deadline-exceeded"
	KeyMalformed       RefusalCode = "key-malformed"
	KeyMissing         RefusalCode = "key-missing"
	KeyUnconfirmed     RefusalCode = "key-unconfirmed"
	KeyUnknown         RefusalCode = "key-unknown"
	KeyWithdrawn       RefusalCode = "key-withdrawn"
	NoSettings         RefusalCode = "no-settings"
	NoTarget           RefusalCode = "no-target"
	NodeBusy           RefusalCode = "node-busy"
	NodeLeaving        RefusalCode = "node-leaving"
	Overloaded         RefusalCode = "overloaded"
	PassInvalid        RefusalCode = "pass-invalid"
	RateExceeded       RefusalCode = "rate-exceeded"
	RequestIDExpired   RefusalCode = "request-id-expired"
	RequestIDMalformed RefusalCode = "request-id-malformed"
	RouteUnknown       RefusalCode = "route-unknown"
	ServiceUnknown     RefusalCode = "service-unknown"
	TargetDraining     RefusalCode = "target-draining"
	TargetRefused      RefusalCode = "target-refused"
	TargetUnreachable  RefusalCode = "target-unreachable"
	TimeoutMalformed   RefusalCode = "timeout-malformed"
	ZoneOut            RefusalCode = "zone-out"
)

// Retryable reports whether a request that was refused with the code and was not run may
// succeed at another target or at a later time.
func (c RefusalCode) Retryable() bool {
	switch c {
	case Overloaded, NodeBusy, NodeLeaving, TargetDraining, TargetRefused, TargetUnreachable, ZoneOut:
		return true
	default:
		return false
	}
}
