package retry

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// windowBuckets is the number of spans that a Window counts in. The budget is
// exact to one span.
const windowBuckets = 20

// burstBuckets is the number of the latest spans in which repeats keep to the
// budget by themselves. A process that ends has then spent little ahead of its
// requests, which the next process on its host knows nothing of.
const burstBuckets = windowBuckets / 5

const (
	// routeExtra is the part of the fixed budget that a route may use. Runs that make
	// up to six calls then cause no more repeats at another service than its own fixed
	// budget holds.
	routeExtra = 0.25
	// leastRepeats is the number of repeats that neither a route nor a burst is
	// refused while its service has room: on hundreds of hosts each sees too few
	// requests of a route to earn one.
	leastRepeats = 1
)

// WindowBudget bounds the repeated attempts of a service in a sliding window,
// over all nodes of the deployment.
type WindowBudget struct {
	// Ratio is the share of the service's requests that may be repeated.
	Ratio float64
	// Extra is the number of repeats that all nodes together may add.
	Extra float64
	// Span is the length of the window.
	Span time.Duration
}

// Parts of the budget that a node uses up, by the cause of the repeat.
const (
	// PartRefused is for requests that an instance has refused without running
	// them. With the bursts that burstBuckets allows after a restart it fills the
	// budget.
	PartRefused = 0.8
	// PartLost is for requests that may have run. The work was done, and is done
	// again.
	PartLost = 0.6
	// PartFailed is for answers that state a failure. A failure that comes from an
	// overloaded service further on would be multiplied by repeats.
	PartFailed = 0.2
)

// Window counts the requests and repeats of one service or route at one node. A
// node uses its share of the common budget without asking others, so that the sum
// holds while nodes cannot talk.
type Window struct {
	buckets [windowBuckets]windowCounts
	current int64 // number of the span that is counted in
}

type windowCounts struct{ requests, repeats float64 }

// Request counts the first attempt of a request. repeated is the probability that
// a repeated run has made the request: its arrivals are then all repeats.
func (w *Window) Request(now mesh.Time, b WindowBudget, repeated float64) {
	bucket := w.bucket(now, b)
	bucket.requests += 1 - repeated
	bucket.repeats += repeated
}

// Allows reports whether another attempt is within a part of the budget of a
// service, given the number of nodes that share it.
func (w *Window) Allows(now mesh.Time, b WindowBudget, part float64, nodes int) bool {
	w.bucket(now, b)
	return w.within(windowBuckets, 0, b, part, nodes) && w.within(burstBuckets, leastRepeats, b, part, nodes)
}

// AllowsRoute reports the same for one of a service's routes.
func (w *Window) AllowsRoute(now mesh.Time, b WindowBudget, part float64, nodes int) bool {
	b.Extra *= routeExtra
	w.bucket(now, b)
	return w.within(windowBuckets, leastRepeats, b, part, nodes)
}

// within reports whether another repeat is within the budget, or the least number,
// in the latest spans.
func (w *Window) within(buckets int, least float64, b WindowBudget, part float64, nodes int) bool {
	requests, repeats := w.latest(buckets)
	return repeats+1 <= max(least, part*(b.Ratio*requests+b.Extra/float64(max(nodes, 1))))
}

// Repeat counts another attempt.
func (w *Window) Repeat(now mesh.Time, b WindowBudget) { w.bucket(now, b).repeats++ }

// Sums returns the requests and repeats in the window.
func (w *Window) Sums(now mesh.Time, b WindowBudget) (requests, repeats float64) {
	w.bucket(now, b)
	return w.latest(windowBuckets)
}

// latest returns the requests and repeats in a number of spans up to the present.
func (w *Window) latest(buckets int) (requests, repeats float64) {
	for i := range int64(buckets) {
		bucket := &w.buckets[(w.current+windowBuckets-i)%windowBuckets]
		requests += bucket.requests
		repeats += bucket.repeats
	}
	return requests, repeats
}

// bucket clears the spans that have left the window and returns the present one.
func (w *Window) bucket(now mesh.Time, b WindowBudget) *windowCounts {
	span := max(int64(b.Span)/windowBuckets, 1)
	at := int64(now) / span
	for n := max(w.current, at-windowBuckets); n < at; n++ {
		w.buckets[(n+1)%windowBuckets] = windowCounts{}
	}
	w.current = max(w.current, at)
	return &w.buckets[w.current%windowBuckets]
}
