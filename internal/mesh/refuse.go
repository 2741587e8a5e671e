package mesh

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// Refusal is a node's answer to a request that it rejects, or whose answer from the
// target was lost. It implements error.
type Refusal struct {
	Code header.RefusalCode

	// Outcome is NotRun or Unknown, never Ran.
	Outcome header.OutcomeValue

	Message string

	// RetryAfter is the delay before a retry can succeed; zero means not set.
	RetryAfter time.Duration

	// Level is the admission level: the least important class that the refusing
	// service accepts. It is valid only with the code Overloaded.
	Level Class
}

// Error returns the code and message of the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// ErrShutdown is the cause of a context that ended because the node shuts down.
var ErrShutdown = errors.New("the node is shutting down")

// Interrupted returns the refusal of a request whose context ended because of cause. The context of
// a request is cancelled only when its caller closes the connection, or with ErrShutdown. doing says
// what the node was doing.
func Interrupted(cause error, outcome header.OutcomeValue, doing string) (refusal *Refusal) {
	switch {
	case errors.Is(cause, ErrShutdown):
		return &Refusal{Code: header.NodeLeaving, Outcome: outcome, Message: "the node shut down " + doing}
	case errors.Is(cause, context.Canceled):
		return &Refusal{Code: header.CallerLeft, Outcome: outcome, Message: "the caller disconnected " + doing}
	default:
		return &Refusal{Code: header.DeadlineExceeded, Outcome: outcome, Message: "the deadline passed " + doing}
	}
}

// NotRun returns the refusal of a request of which no byte reached a target.
func NotRun(code header.RefusalCode, format string, args ...any) (refusal *Refusal) {
	return &Refusal{Code: code, Outcome: header.NotRun, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns the refusal of a request that may have run.
func Unknown(code header.RefusalCode, format string, args ...any) (refusal *Refusal) {
	return &Refusal{Code: code, Outcome: header.Unknown, Message: fmt.Sprintf(format, args...)}
}
