package retry

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// windowBuckets is the number of buckets of a Window, each of which counts one part
// of WindowBudget.Span. The budget is exact to the length of one bucket.
const windowBuckets = 20

// burstBuckets is the number of latest buckets whose repeats must also be within the
// budget of the requests in these buckets alone. A process that ends has then used
// little of the budget in advance of its requests. The next process on its host doesn't
// know what was used.
const burstBuckets = windowBuckets / 5

const (
	// routeExtraFraction is the fraction of the fixed budget that one route may use.
	// Runs that make up to six calls then cause no more repeats at another service than
	// the fixed budget of that service allows.
	routeExtraFraction = 0.25
	// minRepeats is the number of repeats that the limits for a route and for a burst
	// always allow, within the budget of the service. With hundreds of hosts, each sees
	// too few requests of a route for its share of the budget to reach one repeat.
	minRepeats = 1
)

// WindowBudget bounds the repeated attempts of a service in a sliding window,
// over all nodes of the deployment.
type WindowBudget struct {
	// Ratio is the number of repeats allowed per request of the service.
	Ratio float64
	// Extra is the fixed part of the budget: the number of repeats per window that all
	// nodes together may add, whatever the number of requests.
	Extra float64
	// Span is the length of the window.
	Span time.Duration
}

// Fractions of the budget up to which a node allows repeats, by their cause.
const (
	// FractionRefused is for requests that an instance has refused without running
	// them. With the bursts that burstBuckets allows after a restart, these repeats use
	// the whole budget.
	FractionRefused = 0.8
	// FractionLost is for requests that may have run. A repeat may do the same work
	// again.
	FractionLost = 0.6
	// FractionFailed is for answers that report a failure. If the cause is an overloaded
	// service further down the call chain, repeats would multiply its load.
	FractionFailed = 0.2
)

// Window counts the requests and repeats of one service or route at one node. A node
// uses its share of the common budget without coordination, so that the sum over all
// nodes stays within the budget while nodes cannot communicate.
type Window struct {
	buckets [windowBuckets]windowCounts
	current int64 // number of the current bucket since time zero
}

type windowCounts struct{ requests, repeats float64 }

// Request counts the first attempt of a request. repeatProbability is the probability
// that the request was made by a repeated run; all its attempts are then repeats.
func (w *Window) Request(now mesh.Time, b WindowBudget, repeatProbability float64) {
	bucket := w.bucket(now, b)
	bucket.requests += 1 - repeatProbability
	bucket.repeats += repeatProbability
}

// Allows reports whether another repeat is within a fraction of the budget of a
// service, given the number of nodes that share the budget.
func (w *Window) Allows(now mesh.Time, b WindowBudget, fraction float64, nodes int) bool {
	w.bucket(now, b)
	return w.withinBudget(windowBuckets, 0, b, fraction, nodes) && w.withinBudget(burstBuckets, minRepeats, b, fraction, nodes)
}

// AllowsRoute reports whether another repeat is within the fraction of the budget that
// one route of a service may use.
func (w *Window) AllowsRoute(now mesh.Time, b WindowBudget, fraction float64, nodes int) bool {
	b.Extra *= routeExtraFraction
	w.bucket(now, b)
	return w.withinBudget(windowBuckets, minRepeats, b, fraction, nodes)
}

// withinBudget reports whether, in the latest buckets, one more repeat is within this
// node's share of the given fraction of the budget, or within a minimum number of
// repeats.
// repeats.
func (w *Window) withinBudget(buckets int, minimum float64, b WindowBudget, fraction float64, nodes int) bool {
	requests, repeats := w.sumLatest(buckets)
	return repeats+1 <= max(minimum, fraction*(b.Ratio*requests+b.Extra/float64(max(nodes, 1))))
}

// Repeat counts one repeat.
func (w *Window) Repeat(now mesh.Time, b WindowBudget) { w.bucket(now, b).repeats++ }

// Sums returns the requests and repeats in the window.
func (w *Window) Sums(now mesh.Time, b WindowBudget) (requests, repeats float64) {
	w.bucket(now, b)
	return w.sumLatest(windowBuckets)
}

// sumLatest returns the requests and repeats in the given number of latest buckets.
func (w *Window) sumLatest(buckets int) (requests, repeats float64) {
	for i := range int64(buckets) {
		bucket := &w.buckets[(w.current+windowBuckets-i)%windowBuckets]
		requests += bucket.requests
		repeats += bucket.repeats
	}
	return requests, repeats
}

// bucket clears the buckets that have left the window and returns the current one.
func (w *Window) bucket(now mesh.Time, b WindowBudget) *windowCounts {
	width := max(int64(b.Span)/windowBuckets, 1)
	at := int64(now) / width
	for n := max(w.current, at-windowBuckets); n < at; n++ {
		w.buckets[(n+1)%windowBuckets] = windowCounts{}
	}
	w.current = max(w.current, at)
	return &w.buckets[w.current%windowBuckets]
}
