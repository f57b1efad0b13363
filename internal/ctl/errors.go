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
	// ExitFailure means a fault that no other code describes.
	ExitFailure ExitCode = 1
	// ExitUsage means that the flags, the arguments or the settings are invalid.
	ExitUsage ExitCode = 2
	// ExitRejected means that the configuration or the order is invalid.
	// Nothing was changed.
	ExitRejected ExitCode = 3
	// ExitConflict means that the order contradicts the present state, such as
	// a newer version. Nothing was changed.
	ExitConflict ExitCode = 4
	// ExitUnavailable means that no node or not the platform answered and that
	// this command changed nothing.
	ExitUnavailable ExitCode = 5
	// ExitUnsettled means that the order may have taken effect.
	ExitUnsettled ExitCode = 6
	// ExitNotInForce means that the configuration was accepted and is not yet
	// in force on all hosts.
	ExitNotInForce ExitCode = 7
)

// Error is a failed command: what happened, what to do, and the exit code.
type Error struct {
	Code   ExitCode
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

func fail(code ExitCode, advice, format string, args ...any) error {
	return &Error{Code: code, Reason: fmt.Sprintf(format, args...), Advice: advice}
}

func usage(format string, args ...any) error {
	return fail(ExitUsage, "See the command's --help.", format, args...)
}

// codeOf returns the exit code of a command's error.
func codeOf(err error) ExitCode {
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

// publishError turns the result of a publication into an error.
func publishError(r *publish.Reply, operation publish.OperationID) error {
	repeat := fmt.Sprintf("Repeat the command with --operation %s; it takes effect at most once.", operation)
	switch r.Status {
	case publish.Done:
		return nil
	case publish.Conflict:
		return fail(ExitConflict,
			"Compare with `chicoryctl config diff`, then repeat the command with --base set to the current version.",
			"conflict: the current version is %v", r.Version)
	case publish.Rejected, publish.NotFound:
		return fail(ExitRejected, "Correct the request and repeat the command. Nothing was changed.",
			"%s: %s", r.Status, strings.Join(reasons(r), "\n"))
	case publish.Unavailable:
		return fail(ExitUnavailable, "Nothing was changed by this command. "+repeat,
			"the platform did not answer: %s", r.Detail)
	case publish.Unsettled:
		return fail(ExitUnsettled, repeat,
			"the platform did not answer and the change may yet take effect: %s", r.Detail)
	default:
		return fail(ExitFailure, "The rows of the platform need a repair.", "%s: %s", r.Status, r.Detail)
	}
}

func reasons(r *publish.Reply) []string {
	lines := []string{r.Detail}
	for _, fault := range r.Faults {
		lines = append(lines, fault.String())
	}
	return lines
}

// moveError turns a node's refusal of a move's order into an error.
func moveError(reply *core.OperatorReply) error {
	switch {
	case reply.Err == "":
		return nil
	case reply.Refusal == core.RefusalConflict:
		return fail(ExitConflict, "See `chicoryctl moves list`. Nothing was changed.", "%s", reply.Err)
	case reply.Refusal == core.RefusalInvalid:
		return fail(ExitRejected, "Correct the order and repeat the command. Nothing was changed.", "%s", reply.Err)
	case reply.Refusal == core.RefusalUnsettled:
		return fail(ExitUnsettled, "Repeat the command with the same move ID and the same deadline.", "%s", reply.Err)
	default:
		return fail(ExitFailure, "", "%s", reply.Err)
	}
}
