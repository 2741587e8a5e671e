package mesh

import (
	"fmt"
	"time"

	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// Refusal is the answer to a request that a node does not pass on, or whose
// answer it lost. It is an error so that it can travel as one.
type Refusal struct {
	Code header.RefusalCode

	// Outcome is NotRun or Unknown, never Ran.
	Outcome header.OutcomeValue

	Message string

	// RetryAfter is when a resend has a chance; zero means not stated.
	RetryAfter time.Duration

	// Level is the least important class that the refusing service accepts.
	// It only has a meaning with the code Overloaded.
	Level Class
}

// Error returns the code and message of the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// NotRun returns a refusal of a request of which no byte reached a target.
func NotRun(code header.RefusalCode, format string, args ...any) (refusal *Refusal) {
	return &Refusal{Code: code, Outcome: header.NotRun, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns the answer to a request that may have run.
func Unknown(code header.RefusalCode, format string, args ...any) (refusal *Refusal) {
	return &Refusal{Code: code, Outcome: header.Unknown, Message: fmt.Sprintf(format, args...)}
}
