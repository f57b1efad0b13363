package proxy

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

const (
	// runWindow is the time over which the runs of an instance are counted. Most of the
	// calls that arrive come from runs that began within it.
	runWindow = 2 * time.Second
	// shareRefreshInterval is the time for which a share of repeats is cached before it
	// is computed again.
	shareRefreshInterval = 100 * time.Millisecond
	// minRuns is the smallest number of runs by which a route's repeats are divided for
	// its share of repeats. One repeat among a few runs is not significant, so routes with
	// fewer runs get a smaller share.
	minRuns = 4
	// originPeriod is the length of a period in which requests are counted by origin:
	// from clients or from the instance. The current period and the one before it are
	// used.
	originPeriod = 10 * time.Second
	// minIdle is the shortest time by which a number of arrivals is divided to get a
	// rate. Arrivals in a shorter idle time thus give a lower rate than the measured one.
	minIdle = 500 * time.Millisecond
)

// instanceRuns counts the runs of the instance on this host, to estimate the
// probability that a request that arrives here is a call made by a repeated run.
// Clients and the instance send to the same address, and a call doesn't name the run
// that made it.
type instanceRuns struct {
	routes map[mesh.Route]*retry.Window // runs of each route and the repeats among them
	// cachedShare is the result of repeatedShare as of shareComputedAt.
	cachedShare     float64
	shareComputedAt mesh.Time
	inProgress      int       // runs in progress
	accountedUntil  mesh.Time // the time up to which inProgress is accounted for

	// Requests by origin in the current period and in the one before it.
	current, previous originCounts
}

// originCounts distinguishes requests of clients from calls of the instance: while the
// instance has no run in progress, all requests are from clients.
type originCounts struct {
	startedAt mesh.Time
	idle      time.Duration // without runs in progress
	// arrivals counts all requests by route, idleArrivals those that arrived without
	// runs in progress.
	arrivals, idleArrivals map[mesh.Route]int
}

// runWindowBudget only sets the length of the windows in which runs are counted.
var runWindowBudget = retry.WindowBudget{Span: runWindow}

func newInstanceRuns(now mesh.Time) instanceRuns {
	return instanceRuns{routes: make(map[mesh.Route]*retry.Window), current: newOriginCounts(now), previous: newOriginCounts(now), accountedUntil: now}
}

func newOriginCounts(now mesh.Time) originCounts {
	return originCounts{startedAt: now, arrivals: make(map[mesh.Route]int), idleArrivals: make(map[mesh.Route]int)}
}

// begin counts the start of a run that is a repeat with the given probability.
func (r *instanceRuns) begin(now mesh.Time, route mesh.Route, repeatProbability float64) {
	windowOf(r.routes, route).Request(now, runWindowBudget, repeatProbability)
	r.accountIdleTime(now)
	r.inProgress++
}

// end counts the end of a run.
func (r *instanceRuns) end(now mesh.Time) {
	r.accountIdleTime(now)
	r.inProgress--
}

// countArrival counts a request and returns the probability that it is a call made by a
// repeated run.
func (r *instanceRuns) countArrival(now mesh.Time, route mesh.Route) float64 {
	r.accountIdleTime(now)
	r.current.arrivals[route]++
	if r.inProgress == 0 {
		r.current.idleArrivals[route]++
		return 0
	}
	return r.repeatedShare(now) * r.callShare(now, route)
}

// accountIdleTime adds the time since the last event to the idle time if no run was in
// progress, and starts a new period when the current one is over.
func (r *instanceRuns) accountIdleTime(now mesh.Time) {
	if r.inProgress == 0 {
		r.current.idle += now.Sub(r.accountedUntil)
	}
	r.accountedUntil = now
	if now.Sub(r.current.startedAt) >= originPeriod {
		r.previous, r.current = r.current, newOriginCounts(now)
	}
}

// repeatedShare returns the probability that a call of the instance was made by a
// repeated run. It isn't known which routes make calls, so the largest share of repeats
// among all routes is used.
func (r *instanceRuns) repeatedShare(now mesh.Time) float64 {
	if now.Sub(r.shareComputedAt) < shareRefreshInterval {
		return r.cachedShare
	}
	r.cachedShare, r.shareComputedAt = 0, now
	for route, w := range r.routes {
		firstRuns, repeats := w.Sums(now, runWindowBudget)
		if firstRuns+repeats == 0 {
			delete(r.routes, route)
			continue
		}
		r.cachedShare = max(r.cachedShare, repeats/max(firstRuns+repeats, minRuns))
	}
	return r.cachedShare
}

// callShare returns the estimated share of the instance's own calls among the requests
// of a route. The clients' request rate is measured while no run is in progress; what
// arrives beyond that rate counts as calls.
func (r *instanceRuns) callShare(now mesh.Time, route mesh.Route) float64 {
	arrivals := r.current.arrivals[route] + r.previous.arrivals[route]
	idleArrivals := r.current.idleArrivals[route] + r.previous.idleArrivals[route]
	idle := max(r.current.idle+r.previous.idle, minIdle)
	clientRate := float64(idleArrivals) / idle.Seconds()
	totalRate := float64(arrivals) / max(now.Sub(r.previous.startedAt), minIdle).Seconds()
	return max(0, 1-clientRate/totalRate)
}
