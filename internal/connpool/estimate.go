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
	// boundScale is a safety factor for calls that are slower than the usual spread.
	boundScale = 4
	// peakScale and peakShift keep rare slow calls of a route from being aborted: the
	// bound is at least twice the peak duration, which decays by 1/64 with each sample.
	peakScale = 2
	peakShift = 6
)

// A route is identified by the method and the first path segments, so that calls of a
// slow route are not bounded by the estimate of a fast one on the same backend server.
const (
	estimateBuckets = 64 // a power of two
	routeSegments   = 2
)

// estimate tracks the duration of the calls of one route.
type estimate struct {
	mean, deviation, peak time.Duration
}

// estimates holds the estimates of one pool by the hash of the route. Routes whose
// hashes fall into the same bucket share an estimate.
type estimates [estimateBuckets]estimate

// forRequest returns the estimate for a request's route.
func (e *estimates) forRequest(req *fasthttp.Request) *estimate {
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

// add updates the estimate with the duration of a finished call, or with the time
// until a call was aborted at its bound. The latter raises the bound for a peer that
// is slow rather than silent.
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

// bound returns the duration of a call after which its connection counts as silent.
// Without a sample there is no bound, and only the call's deadline applies.
func (e *estimate) bound(floor time.Duration) (time.Duration, bool) {
	if e.mean == 0 {
		return 0, false
	}
	return max(floor, peakScale*e.peak, boundScale*(e.mean+deviationScale*e.deviation)), true
}
