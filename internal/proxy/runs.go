package proxy

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

const (
	// runSpan is the time over which the runs of an instance are counted. Most of
	// the calls that arrive come from runs of that time.
	runSpan = 2 * time.Second
	// shareInterval is the time for which a share is used before it is worked out
	// anew.
	shareInterval = 100 * time.Millisecond
	// leastRuns is the number of runs of a route from which its share is taken as it
	// is. One repeat among a few runs says little.
	leastRuns = 4
	// originSpan is the time over which the origin of requests is observed, with the
	// one before it.
	originSpan = 10 * time.Second
	// leastIdle is the time without runs from which the requests that arrive in it
	// count in full.
	leastIdle = 500 * time.Millisecond
)

// instanceRuns watches the runs of the instance on this host, to tell how likely a
// request that arrives here is a call of a repeated run. Clients and the instance
// use the same address, and a call names no run.
type instanceRuns struct {
	routes map[mesh.Route]*retry.Window // runs and the repeats among them
	// share is the result of repeatedShare at sharedAt.
	share      float64
	sharedAt   mesh.Time
	inProgress int
	observedAt mesh.Time // the time up to which inProgress is accounted for

	// Requests by origin in the present span and the one before it.
	present, previous originCounts
}

// originCounts tell the requests of clients from calls of the instance: no call
// arrives while the instance has no run in progress.
type originCounts struct {
	began mesh.Time
	idle  time.Duration // without runs in progress
	// arrivals and idleArrivals are the requests by route, and those that arrived
	// without runs in progress.
	arrivals, idleArrivals map[mesh.Route]int
}

// runBudget gives the windows of runs their span.
var runBudget = retry.WindowBudget{Span: runSpan}

func newInstanceRuns(now mesh.Time) instanceRuns {
	return instanceRuns{routes: make(map[mesh.Route]*retry.Window), present: newOriginCounts(now), previous: newOriginCounts(now), observedAt: now}
}

func newOriginCounts(now mesh.Time) originCounts {
	return originCounts{began: now, arrivals: make(map[mesh.Route]int), idleArrivals: make(map[mesh.Route]int)}
}

// begin counts a run that is a repeat with the given probability.
func (r *instanceRuns) begin(now mesh.Time, route mesh.Route, repeated float64) {
	windowOf(r.routes, route).Request(now, runBudget, repeated)
	r.observe(now)
	r.inProgress++
}

// end counts the end of a run.
func (r *instanceRuns) end(now mesh.Time) {
	r.observe(now)
	r.inProgress--
}

// arrived counts a request and returns the probability that it is a call of a
// repeated run.
func (r *instanceRuns) arrived(now mesh.Time, route mesh.Route) float64 {
	r.observe(now)
	r.present.arrivals[route]++
	if r.inProgress == 0 {
		r.present.idleArrivals[route]++
		return 0
	}
	return r.repeatedShare(now) * r.callShare(now, route)
}

// observe accounts for the time since the last event.
func (r *instanceRuns) observe(now mesh.Time) {
	if r.inProgress == 0 {
		r.present.idle += now.Sub(r.observedAt)
	}
	r.observedAt = now
	if now.Sub(r.present.began) >= originSpan {
		r.previous, r.present = r.present, newOriginCounts(now)
	}
}

// repeatedShare returns the probability that a call of the instance comes from a
// repeated run. Which of its routes make calls isn't known, so it is that of the
// route with the most repeats.
func (r *instanceRuns) repeatedShare(now mesh.Time) float64 {
	if now.Sub(r.sharedAt) < shareInterval {
		return r.share
	}
	r.share, r.sharedAt = 0, now
	for route, w := range r.routes {
		first, repeats := w.Sums(now, runBudget)
		if first+repeats == 0 {
			delete(r.routes, route)
			continue
		}
		r.share = max(r.share, repeats/max(first+repeats, leastRuns))
	}
	return r.share
}

// callShare returns the share of calls among the requests of a route: what arrives
// beyond the rate of its clients, which is that of the time without runs.
func (r *instanceRuns) callShare(now mesh.Time, route mesh.Route) float64 {
	arrivals := r.present.arrivals[route] + r.previous.arrivals[route]
	idleArrivals := r.present.idleArrivals[route] + r.previous.idleArrivals[route]
	idle := max(r.present.idle+r.previous.idle, leastIdle)
	clients := float64(idleArrivals) / idle.Seconds()
	all := float64(arrivals) / max(now.Sub(r.previous.began), leastIdle).Seconds()
	return max(0, 1-clients/all)
}
