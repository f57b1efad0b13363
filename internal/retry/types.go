// Package retry decides what follows each attempt of a call: an answer, one
// more attempt within the retry budget of the call's class, or a rejection
// with the outcome over all attempts. It is a pure reducer. Window is separate from the
// Retrier: it counts attempts against a budget that all nodes share.
package retry

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// BasisPoints is a share of calls in units of one ten-thousandth.
type BasisPoints uint16

// Defaults of a class.
const (
	// DefaultBudget is the retry budget of a class for which none is configured.
	DefaultBudget BasisPoints = 1_000
	// DefaultMaxAttempts bounds the attempts of one call.
	DefaultMaxAttempts = 3
	// DefaultMinRemaining is the least time to the deadline for another attempt.
	DefaultMinRemaining = 2 * time.Millisecond
)

// ClassPolicy is the retry policy of one class of work.
type ClassPolicy struct {
	Class      mesh.Class
	Idempotent bool
	// Budget is the number of retries per ten thousand first attempts. Zero allows
	// only those that a new class's full bucket pays for.
	Budget BasisPoints
	// MaxAttempts includes the first attempt. Zero stands for the default.
	MaxAttempts uint8
	// MinRemaining is the least time to the deadline for another attempt.
	// Zero stands for the default.
	MinRemaining time.Duration
}

// Call is the retry state of one call. The caller of this package stores it
// by value and passes it to each step.
type Call struct {
	class      *class
	deadline   mesh.Time
	attempt    uint8
	mayHaveRun bool // some attempt may have run
	done       bool
}

// Result is the end of one attempt.
type Result struct {
	Attempt uint8
	Outcome mesh.Outcome
	Reason  mesh.Reason
}

// Action tells what to do with a call after an attempt.
type Action uint8

// Actions after an attempt.
const (
	// Respond returns the attempt's answer to the caller.
	Respond Action = iota + 1
	// Retry sends attempt number Decision.Attempt to another target.
	Retry
	// Reject returns Outcome and Reason to the caller.
	Reject
	// Discard drops the result of an attempt that is no longer awaited.
	Discard
)

// Decision is the result of Done. Outcome and Reason are set for Respond and
// Reject and cover all attempts of the call.
type Decision struct {
	Action  Action
	Attempt uint8
	Outcome mesh.Outcome
	Reason  mesh.Reason
}

// Counters counts decisions since the start of the process.
type Counters struct {
	FirstAttempts uint64
	Retries       uint64
	// BudgetRefusals counts retries refused by an empty bucket.
	BudgetRefusals uint64
	// LateResults counts results of attempts that were no longer awaited.
	LateResults uint64
}

// Retrier holds the retry budgets of one node. It is not safe for concurrent
// use.
type Retrier struct {
	classes  map[mesh.Class]*class
	counters Counters
}
