package ctl

import (
	"errors"
	"fmt"
	"strings"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/publish"
)

// ExitCode is the exit code of the process.
type ExitCode int

// Exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailure means an error that no other code describes, and for `config check`
	// that the configuration has errors.
	ExitFailure ExitCode = 1
	// ExitUsage means that the flags, the arguments or the settings are invalid.
	ExitUsage ExitCode = 2
	// ExitRejected means that the configuration or the command's request is
	// invalid. Nothing was changed.
	ExitRejected ExitCode = 3
	// ExitConflict means that the command contradicts the current state, for
	// example because a newer version was accepted. Nothing was changed.
	ExitConflict ExitCode = 4
	// ExitUnavailable means that no node answered, or that the platform did not,
	// and that this command changed nothing.
	ExitUnavailable ExitCode = 5
	// ExitUnsettled means that the outcome of the command is unknown: it may have
	// taken effect, or may yet do so.
	ExitUnsettled ExitCode = 6
	// ExitNotInForce means that the configuration was accepted but was not in
	// force on all hosts before the time-out of --wait.
	ExitNotInForce ExitCode = 7
	// ExitWarnings means that `config check` found warnings and no errors.
	ExitWarnings ExitCode = 8
)

// Error is the error of a failed command.
type Error struct {
	Code ExitCode
	// Reason tells what went wrong.
	Reason string
	// Advice tells the operator what to do next. It may be empty.
	Advice string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Advice == "" {
		return e.Reason
	}
	return e.Reason + "\n" + e.Advice
}

func newError(code ExitCode, advice, format string, args ...any) error {
	return &Error{Code: code, Reason: fmt.Sprintf(format, args...), Advice: advice}
}

// newUsageError returns an error with the code ExitUsage.
func newUsageError(format string, args ...any) error {
	return newError(ExitUsage, "See the command's --help.", format, args...)
}

// exitCodeOf returns the exit code for a command's error, ExitFailure if the
// error is not an *Error.
func exitCodeOf(err error) ExitCode {
	var e *Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.Code
	default:
		return ExitFailure
	}
}

// publishError converts the reply to `config apply` or `config history` into an
// error, nil if the status is publish.Done. operation is the ID in the advice to
// repeat the command.
func publishError(r *publish.Reply, operation publish.OperationID) error {
	repeatAdvice := fmt.Sprintf("Repeat the command with --operation %s; it takes effect at most once.", operation)
	switch r.Status {
	case publish.Done:
		return nil
	case publish.Conflict:
		return newError(ExitConflict,
			"Compare with `chicoryctl config diff`, then repeat the command with --base set to the current version.",
			"conflict: the current version is %v", r.Version)
	case publish.Rejected, publish.NotFound:
		return newError(ExitRejected, "Correct the request and repeat the command. Nothing was changed.",
			"%s: %s", r.Status, strings.Join(rejectionReasons(r), "\n"))
	case publish.Unavailable:
		return newError(ExitUnavailable, "Nothing was changed by this command. "+repeatAdvice,
			"the platform did not answer: %s", r.Detail)
	case publish.Unsettled:
		return newError(ExitUnsettled, repeatAdvice,
			"the platform did not answer and the change may yet take effect: %s", r.Detail)
	default:
		return newError(ExitFailure, "The rows in the platform's table are malformed or missing and need repair.", "%s: %s", r.Status, r.Detail)
	}
}

// rejectionReasons returns the detail of a reply and its configuration faults.
func rejectionReasons(r *publish.Reply) []string {
	lines := []string{r.Detail}
	for _, fault := range r.Faults {
		lines = append(lines, fault.String())
	}
	return lines
}

// moveError converts a node's reply to a move command into an error, nil if the
// node carried out the command.
func moveError(reply *core.OperatorReply) error {
	switch {
	case reply.Err == "":
		return nil
	case reply.Refusal == core.RefusalConflict:
		return newError(ExitConflict, "See `chicoryctl moves list`. Nothing was changed.", "%s", reply.Err)
	case reply.Refusal == core.RefusalInvalid:
		return newError(ExitRejected, "Correct the command and repeat it. Nothing was changed.", "%s", reply.Err)
	case reply.Refusal == core.RefusalUnsettled:
		return newError(ExitUnsettled, "Repeat the command with the same move ID and the same deadline.", "%s", reply.Err)
	default:
		return newError(ExitFailure, "", "%s", reply.Err)
	}
}
