package connpool

import "time"

// Weights of the estimator, as in TCP's retransmission timer (RFC 6298).
const (
	meanShift      = 3 // a sample weighs 1/8 in the mean
	deviationShift = 2 // a sample weighs 1/4 in the deviation
	deviationScale = 4 // deviations added to the mean
	// boundScale leaves room for calls that are slower than the usual spread.
	boundScale = 4
)

// estimate follows the duration of the calls of one pool.
type estimate struct {
	mean, deviation time.Duration
}

// add takes in the duration of a finished call, or the bound of a call that was
// cut, which raises the bound for calls to a peer that is slow and not silent.
func (e *estimate) add(sample time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	diff := sample - e.mean
	e.mean += diff >> meanShift
	e.deviation += (diff.Abs() - e.deviation) >> deviationShift
}

// bound returns the time after which a connection is taken for silent. Without
// a sample there is no bound and the call's deadline applies alone.
func (e *estimate) bound(floor time.Duration) (time.Duration, bool) {
	if e.mean == 0 {
		return 0, false
	}
	return max(floor, boundScale*(e.mean+deviationScale*e.deviation)), true
}
