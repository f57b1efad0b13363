package connpool

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// Weights of the estimator, as in TCP's retransmission timer (RFC 6298).
const (
	meanShift      = 3 // a sample weighs 1/8 in the mean
	deviationShift = 2 // a sample weighs 1/4 in the deviation
	deviationScale = 4 // deviations added to the mean
	// boundScale leaves room for calls that are slower than the usual spread.
	boundScale = 4
	// peakScale and peakShift keep rare slow calls of a route from being cut:
	// the bound is at least twice the peak, which fades by 1/64 a sample.
	peakScale = 2
	peakShift = 6
)

// Routes are told apart by method and leading path segments, so that a slow
// route is not measured by a fast one on the same backend server.
const (
	estimateBuckets = 64 // a power of two
	routeSegments   = 2
)

// estimate follows the duration of the calls of one route.
type estimate struct {
	mean, deviation, peak time.Duration
}

// estimates holds the estimates of one pool by hash of the route.
type estimates [estimateBuckets]estimate

// of returns the estimate for a request's route.
func (e *estimates) of(req *fasthttp.Request) *estimate {
	target := req.Header.RequestURI()
	route := target
	for i, segments := 0, 0; i < len(target); i++ {
		if target[i] == '/' {
			segments++
		}
		if target[i] == '?' || segments > routeSegments {
			route = target[:i]
			break
		}
	}
	route = bytes.TrimRight(route, "/")
	return &e[(xxhash.Sum64(route)^xxhash.Sum64(req.Header.Method()))%estimateBuckets]
}

// add takes in the duration of a finished call, or the bound of a call that was
// cut, which raises the bound for calls to a peer that is slow and not silent.
func (e *estimate) add(sample time.Duration) {
	e.peak = max(sample, e.peak-e.peak>>peakShift)
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
	return max(floor, peakScale*e.peak, boundScale*(e.mean+deviationScale*e.deviation)), true
}
