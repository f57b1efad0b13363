package retry

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// windowBuckets is the number of buckets of a Window, each of which counts one part
// of WindowBudget.Span. Counts leave the window a bucket at a time, so its length is
// exact only to that of one bucket.
const windowBuckets = 20

// burstBuckets is the number of latest buckets whose repeats must also be within the
// budget for these buckets alone: all of Extra, but Ratio only of the requests in these
// buckets. Without this limit, a process could use the budget that the requests of the
// whole window have earned in one burst before it ends, and the next process on its host
// doesn't know what was used.
const burstBuckets = windowBuckets / 5

const (
	// routeExtraFraction is the fraction of WindowBudget.Extra that one route may use. It
	// bounds the repeats that the calls of a route's repeated runs cause at another
	// service by the Extra of that service. For repeats of lost requests the bound holds
	// for runs that make up to six calls: 6 * 0.25 * FractionLost = 0.9 of Extra. For
	// repeats of refused requests it holds up to five: 5 * 0.25 * FractionRefused = 1.
	routeExtraFraction = 0.25
	// minRepeats is the number of repeats that the limits for a route and for a burst
	// allow at least. The limit for the whole window of the service has no such minimum
	// and still applies. With hundreds of hosts, each sees too few requests of a route for
	// its share of the budget to reach one repeat.
	minRepeats = 1
)

// WindowBudget bounds the repeats of a service in a sliding window, over all nodes of the
// deployment. A repeat is an attempt after an earlier one of the same request has reached,
// or may have reached, an instance. The attempts of a call that an instance makes while it
// runs a repeat count as repeats too.
type WindowBudget struct {
	// Ratio is the number of repeats allowed per request of the service.
	Ratio float64
	// Extra is the fixed part of the budget: the number of repeats per window that all
	// nodes together may add, whatever the number of requests.
	Extra float64
	// Span is the length of the window.
	Span time.Duration
}

// Fractions of the budget up to which a node allows another repeat, by the way in which
// the attempt before it ended.
const (
	// FractionRefused is for requests that an instance has refused without running
	// them. The rest of the budget is reserved for the bursts that burstBuckets allows in
	// addition after a restart, when the new process doesn't know the repeats of the old
	// one.
	FractionRefused = 0.8
	// FractionLost is for requests that may have run. A repeat may do the same work
	// again.
	FractionLost = 0.6
	// FractionFailed is for answers that report a failure. If the cause is an overloaded
	// service further down the call chain, repeats would multiply its load.
	FractionFailed = 0.2
)

// Window counts the requests and repeats of one service or route at one node. A node
// uses its share of the common budget without coordination: Ratio of its own requests and
// an equal part of Extra. The sum over all nodes thus stays within the budget even while
// nodes cannot communicate.
type Window struct {
	buckets [windowBuckets]windowCounts
	// current is the number of the latest bucket, counted from time zero. Its index in
	// buckets is current modulo windowBuckets.
	current int64
}

type windowCounts struct{ requests, repeats float64 }

// Request counts the first attempt of a request. repeatProbability is the probability
// that all attempts of the request are repeats, because the request is a call that an
// instance makes while it runs a repeat of another request.
func (w *Window) Request(now mesh.Time, b WindowBudget, repeatProbability float64) {
	bucket := w.advance(now, b)
	bucket.requests += 1 - repeatProbability
	bucket.repeats += repeatProbability
}

// Allows reports whether another repeat is within a fraction of the budget of a
// service, both for the whole window and for its latest burstBuckets. nodes is the number
// of nodes that share the budget.
func (w *Window) Allows(now mesh.Time, b WindowBudget, fraction float64, nodes int) bool {
	w.advance(now, b)
	return w.withinBudget(windowBuckets, 0, b, fraction, nodes) && w.withinBudget(burstBuckets, minRepeats, b, fraction, nodes)
}

// AllowsRoute reports whether another repeat of one route is within a fraction of the
// route's budget, which is b, the budget of its service, with only routeExtraFraction of
// Extra.
func (w *Window) AllowsRoute(now mesh.Time, b WindowBudget, fraction float64, nodes int) bool {
	b.Extra *= routeExtraFraction
	w.advance(now, b)
	return w.withinBudget(windowBuckets, minRepeats, b, fraction, nodes)
}

// withinBudget reports whether, in the latest buckets, one more repeat is within this
// node's share of the given fraction of the budget, or within a minimum number of
// repeats.
func (w *Window) withinBudget(buckets int, minimum float64, b WindowBudget, fraction float64, nodes int) bool {
	requests, repeats := w.sumLatest(buckets)
	return repeats+1 <= max(minimum, fraction*(b.Ratio*requests+b.Extra/float64(max(nodes, 1))))
}

// Repeat counts one repeat.
func (w *Window) Repeat(now mesh.Time, b WindowBudget) { w.advance(now, b).repeats++ }

// Sums returns the requests and repeats in the window.
func (w *Window) Sums(now mesh.Time, b WindowBudget) (requests, repeats float64) {
	w.advance(now, b)
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

// advance moves the window forward to now: it clears the buckets that have left the
// window and returns the current one.
func (w *Window) advance(now mesh.Time, b WindowBudget) *windowCounts {
	width := max(int64(b.Span)/windowBuckets, 1)
	at := int64(now) / width
	for n := max(w.current, at-windowBuckets); n < at; n++ {
		w.buckets[(n+1)%windowBuckets] = windowCounts{}
	}
	w.current = max(w.current, at)
	return &w.buckets[w.current%windowBuckets]
}
