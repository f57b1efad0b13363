package retry

import "github.com/chicoryscale/chicoryscale/internal/mesh"

const (
	// retryCost is the balance of a token bucket, in basis points of a call, that pays
	// for one retry.
	retryCost = 10_000
	// maxSavedRetries is the capacity of a bucket in retries. A class with few calls
	// can still retry, but a quiet period does not pay for a retry storm.
	maxSavedRetries = 10
)

// class is the policy and token bucket of one class.
type class struct {
	policy  ClassPolicy
	balance int // of the bucket in basis points, at most maxSavedRetries*retryCost
}

// New returns a Retrier without classes.
func New() *Retrier {
	return &Retrier{classes: make(map[mesh.Class]*class)}
}

// SetClass adds a class or changes its policy. A changed class keeps the
// balance of its bucket; a new one starts with a full bucket.
func (r *Retrier) SetClass(p ClassPolicy) {
	if p.MaxAttempts == 0 {
		p.MaxAttempts = DefaultMaxAttempts
	}
	if p.MinRemaining == 0 {
		p.MinRemaining = DefaultMinRemaining
	}
	if c := r.classes[p.Class]; c != nil {
		c.policy = p
		return
	}
	r.classes[p.Class] = &class{policy: p, balance: maxSavedRetries * retryCost}
}

// RemoveClass removes a class. Its calls in progress keep their policy.
func (r *Retrier) RemoveClass(name mesh.Class) { delete(r.classes, name) }

// Begin starts a call with attempt 1 and adds the class's budget for one call to
// the bucket of the class. A call of an unknown class is never retried.
func (r *Retrier) Begin(name mesh.Class, deadline mesh.Time) Call {
	r.counters.FirstAttempts++
	c := r.classes[name]
	if c != nil {
		c.balance = min(c.balance+int(c.policy.Budget), maxSavedRetries*retryCost)
	}
	return Call{class: c, deadline: deadline, attempt: 1}
}

// Attempt returns the number of the awaited attempt.
func (c *Call) Attempt() uint8 { return c.attempt }

// Done decides what follows the result of an attempt. Only the awaited
// attempt of a call counts; any other result is discarded.
func (r *Retrier) Done(now mesh.Time, c *Call, res Result) Decision {
	if c.done || res.Attempt != c.attempt {
		r.counters.LateResults++
		return Decision{Action: Discard, Attempt: res.Attempt}
	}
	if res.Outcome == mesh.Answered {
		c.done = true
		return Decision{Action: Respond, Attempt: c.attempt, Outcome: mesh.Answered}
	}
	if res.Outcome != mesh.NotRun {
		c.mayHaveRun = true // an unset or unknown outcome counts as may-have-run
	}
	if reason := r.refuseRetry(now, c, res); reason != mesh.ReasonNone {
		return c.reject(reason)
	}
	c.class.balance -= retryCost
	c.attempt++
	r.counters.Retries++
	return Decision{Action: Retry, Attempt: c.attempt}
}

// NoTarget ends a call whose awaited attempt has no target. The attempt was not
// sent, so the outcome is that of the earlier attempts.
func (r *Retrier) NoTarget(c *Call, reason mesh.Reason) Decision {
	return c.reject(reason)
}

// Outcome returns the outcome over the finished attempts of a call that has
// no answer. Pending attempts count as may-have-run when inFlight is set.
func (c *Call) Outcome(inFlight bool) mesh.Outcome {
	if c.mayHaveRun || inFlight {
		return mesh.MayHaveRun
	}
	return mesh.NotRun
}

// Counters returns the counts since the start of the process.
func (r *Retrier) Counters() Counters { return r.counters }

// refuseRetry returns ReasonNone if another attempt is allowed, or the reason
// to give to the caller.
func (r *Retrier) refuseRetry(now mesh.Time, c *Call, res Result) mesh.Reason {
	switch {
	case c.class == nil || isFinal(res.Reason):
		return orConnectionLost(res.Reason)
	case c.mayHaveRun && !c.class.policy.Idempotent:
		return orConnectionLost(res.Reason)
	case c.attempt >= c.class.policy.MaxAttempts:
		return orConnectionLost(res.Reason)
	case c.deadline.Sub(now) < c.class.policy.MinRemaining:
		return mesh.ReasonDeadline
	case c.class.balance < retryCost:
		r.counters.BudgetRefusals++
		return mesh.ReasonRetryBudget
	}
	return mesh.ReasonNone
}

func (c *Call) reject(reason mesh.Reason) Decision {
	c.done = true
	return Decision{Action: Reject, Attempt: c.attempt, Outcome: c.Outcome(false), Reason: reason}
}

// isFinal reports whether every other target would refuse the call for the same
// reason.
func isFinal(reason mesh.Reason) bool {
	switch reason {
	case mesh.ReasonPoison, mesh.ReasonDuplicate, mesh.ReasonBadIdentity, mesh.ReasonBadRequest, mesh.ReasonNoRoute:
		return true
	}
	return false
}

// orConnectionLost returns the reason, or ReasonConnectionLost if none is set:
// refuseRetry returns ReasonNone for an allowed retry.
func orConnectionLost(reason mesh.Reason) mesh.Reason {
	if reason == mesh.ReasonNone {
		return mesh.ReasonConnectionLost
	}
	return reason
}
