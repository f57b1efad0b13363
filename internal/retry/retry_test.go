package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	start    = mesh.Time(time.Hour)
	deadline = start + mesh.Time(time.Second)
)

func newRetrier(p ClassPolicy) *Retrier {
	r := New()
	p.Class = "work"
	r.SetClass(p)
	return r
}

// Guards against the outcome not-run for a request that some attempt may have run, a
// second run of a non-idempotent request, and too many attempts.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		policy := ClassPolicy{Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Budget: DefaultBudget, MaxAttempts: rapid.Uint8Range(1, 5).Draw(t, "max attempts")}
		r := newRetrier(policy)
		c := r.Begin("work", deadline)
		mayHaveRun, attempts := false, uint8(1)
		for {
			outcome := rapid.SampledFrom([]mesh.Outcome{0, mesh.Answered, mesh.NotRun, mesh.MayHaveRun}).Draw(t, "outcome")
			reason := rapid.SampledFrom([]mesh.Reason{mesh.ReasonNone, mesh.ReasonOverload, mesh.ReasonConnectionLost}).Draw(t, "reason")
			d := r.Done(start, &c, Result{Attempt: attempts, Outcome: outcome, Reason: reason})
			mayHaveRun = mayHaveRun || outcome == mesh.MayHaveRun || outcome == 0
			switch d.Action {
			case Retry:
				is.True(outcome != mesh.Answered)
				is.True(policy.Idempotent || !mayHaveRun)
				attempts++
				is.Equal(d.Attempt, attempts)
				is.True(attempts <= policy.MaxAttempts)
				continue
			case Respond:
				is.Equal(outcome, mesh.Answered)
			case Reject:
				is.Equal(d.Outcome == mesh.MayHaveRun, mayHaveRun)
				is.True(d.Reason != mesh.ReasonNone)
			default:
				t.Fatalf("action %d for the awaited attempt", d.Action)
			}
			return
		}
	})
}

// Guards against the answer of an attempt that was given up, or a second
// result of the same attempt, being taken for the current one.
func TestLateResultsAreDiscarded(t *testing.T) {
	is := is.New(t)
	r := newRetrier(ClassPolicy{Idempotent: true, Budget: DefaultBudget})
	c := r.Begin("work", deadline)
	is.Equal(r.Done(start, &c, Result{1, mesh.MayHaveRun, mesh.ReasonConnectionLost}).Action, Retry)
	is.Equal(r.Done(start, &c, Result{1, mesh.Answered, mesh.ReasonNone}).Action, Discard)
	is.Equal(r.Done(start, &c, Result{3, mesh.Answered, mesh.ReasonNone}).Action, Discard)
	is.Equal(r.Done(start, &c, Result{2, mesh.Answered, mesh.ReasonNone}).Action, Respond)
	is.Equal(r.Done(start, &c, Result{2, mesh.Answered, mesh.ReasonNone}).Action, Discard)
	is.Equal(r.Counters().LateResults, uint64(3))
}

// Guards against the outcome not-run for a call that ends without a target although an
// earlier attempt may have run.
func TestNoTargetKeepsEarlierOutcome(t *testing.T) {
	is := is.New(t)
	r := newRetrier(ClassPolicy{Idempotent: true, Budget: DefaultBudget})
	c := r.Begin("work", deadline)
	is.Equal(c.Outcome(false), mesh.NotRun)
	is.Equal(c.Outcome(true), mesh.MayHaveRun)
	r.Done(start, &c, Result{1, mesh.MayHaveRun, mesh.ReasonConnectionLost})
	d := r.NoTarget(&c, mesh.ReasonNoTarget)
	is.Equal(d, Decision{Reject, 2, mesh.MayHaveRun, mesh.ReasonNoTarget})
}

// Guards against retries that cannot end before the deadline, or that every target
// would refuse for the same reason.
func TestUselessRetriesAreRefused(t *testing.T) {
	is := is.New(t)
	r := newRetrier(ClassPolicy{Idempotent: true, Budget: DefaultBudget, MinRemaining: 10 * time.Millisecond})
	c := r.Begin("work", deadline)
	d := r.Done(deadline.Add(-9*time.Millisecond), &c, Result{1, mesh.NotRun, mesh.ReasonOverload})
	is.Equal(d, Decision{Reject, 1, mesh.NotRun, mesh.ReasonDeadline})
	c = r.Begin("work", deadline)
	d = r.Done(start, &c, Result{1, mesh.MayHaveRun, mesh.ReasonPoison})
	is.Equal(d, Decision{Reject, 1, mesh.MayHaveRun, mesh.ReasonPoison})
	c = r.Begin("unknown class", deadline)
	is.Equal(r.Done(start, &c, Result{1, mesh.NotRun, mesh.ReasonOverload}).Action, Reject)
}

// Guards against a retry storm: however many calls fail, the retries stay
// within the budget and the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		budget := rapid.SampledFrom([]BasisPoints{0, 100, DefaultBudget, 5000}).Draw(t, "budget")
		calls := rapid.IntRange(0, 2000).Draw(t, "calls")
		r := newRetrier(ClassPolicy{Idempotent: true, Budget: budget})
		for range calls {
			c := r.Begin("work", deadline)
			for r.Done(start, &c, Result{c.Attempt(), mesh.NotRun, mesh.ReasonOverload}).Action == Retry {
				continue
			}
		}
		limit := calls*int(budget)/retryCost + maxSavedRetries
		is.True(r.Counters().Retries <= uint64(limit))
		r.SetClass(ClassPolicy{Class: "work", Budget: budget}) // a changed policy grants no new burst
		c := r.Begin("work", deadline)
		if calls > 100 && budget <= DefaultBudget && r.classes["work"].balance < retryCost {
			is.Equal(r.Done(start, &c, Result{1, mesh.NotRun, mesh.ReasonOverload}).Reason, mesh.ReasonRetryBudget)
		}
	})
}

// Guards against heap allocations on the call path.
func TestCallsAllocateNothing(t *testing.T) {
	is := is.New(t)
	r := newRetrier(ClassPolicy{Idempotent: true, Budget: DefaultBudget})
	is.Equal(testing.AllocsPerRun(1000, func() {
		c := r.Begin("work", deadline)
		r.Done(start, &c, Result{1, mesh.NotRun, mesh.ReasonOverload})
		r.Done(start, &c, Result{2, mesh.Answered, mesh.ReasonNone})
	}), 0.0)
}
