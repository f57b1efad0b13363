package proxy

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

// An attempt is a repeat if an earlier attempt of the same request has or may have
// reached an instance; all nodes share one budget for repeats. A repeated run, which is a
// run that a repeat has started, makes its outgoing calls again, and these are repeats at
// the services that they call. A call doesn't name the run that made it. Its entry node is
// on the host of that run and therefore estimates the probability that the call is a
// repeat from the share of repeats among the runs of its instance.

// RepeatCause is the way in which the attempt before a repeat ended.
type RepeatCause uint8

// Causes of repeats.
const (
	// RepeatRefused follows an instance's answer that it did not run the request.
	RepeatRefused RepeatCause = iota
	// RepeatLost follows an attempt that gave no answer and may have run.
	RepeatLost
	// RepeatFailed follows an answer that reports a failure.
	RepeatFailed
	repeatCauses
)

var repeatCauseNames = [repeatCauses]string{"refused", "lost", "failed"}

// String implements fmt.Stringer.
func (c RepeatCause) String() string { return repeatCauseNames[c] }

// budgetFractions are the fractions of the retry budget up to which repeats are allowed,
// by cause.
var budgetFractions = [repeatCauses]float64{retry.FractionRefused, retry.FractionLost, retry.FractionFailed}

// tryRepeat charges one repeat to the shared budget and reports whether the budget
// allowed it.
func (n *Node) tryRepeat(s *step, c *call, cause RepeatCause) bool {
	// Unreachable hosts count too, since they may still be using their share of the
	// budget.
	budget, fraction, hosts := n.repeatBudget(s.now), budgetFractions[cause], len(n.members)
	serviceWindow, routeWindow := windowOf(n.windows, c.service), windowOf(n.routeWindows, c.route.Name)
	// The budget also applies to each route by itself. The calls made by the repeated runs
	// of a route then stay within the same share of the calls made by all its runs,
	// whatever other routes its service has.
	allowed := serviceWindow.Allows(s.now, budget, fraction, hosts) && routeWindow.AllowsRoute(s.now, budget, fraction, hosts)
	kind := "call.repeated"
	if allowed {
		serviceWindow.Repeat(s.now, budget)
		routeWindow.Repeat(s.now, budget)
		n.counters.Repeats[cause]++
		c.repeatProbability = 1
	} else {
		n.counters.RepeatsRefused++
		kind = "call.repeat_refused"
	}
	requests, repeats := serviceWindow.Sums(s.now, budget)
	routeRequests, routeRepeats := routeWindow.Sums(s.now, budget)
	s.log(kind, "call", uint64(c.id), "route", string(c.route.Name), "service", string(c.service), "cause", cause.String(),
		"requests", int(requests), "repeats", int(repeats), "route_requests", int(routeRequests), "route_repeats", int(routeRepeats),
		"hosts", hosts, "last_instance", string(c.choice.ID))
	return allowed
}

// repeatBudget returns the budget that this process may use. Extra, the fixed part, is
// withheld for one window after the start, because the previous process on this host may
// have used it.
func (n *Node) repeatBudget(now mesh.Time) retry.WindowBudget {
	b := n.settings.Repeats
	if now.Sub(n.started) < b.Span {
		b.Extra = 0
	}
	return b
}

// countRequest counts the first attempt of a request in the windows of its service and
// route. It counts as a repeat with the probability that a repeated run made the request.
func (n *Node) countRequest(s *step, c *call) {
	if c.service != n.local.service { // instances don't call their own service
		c.repeatProbability = n.runs.countArrival(s.now, c.route.Name)
	}
	windowOf(n.windows, c.service).Request(s.now, n.settings.Repeats, c.repeatProbability)
	windowOf(n.routeWindows, c.route.Name).Request(s.now, n.settings.Repeats, c.repeatProbability)
}

// windowOf returns the window of a service or route and creates it on first use.
func windowOf[K comparable](windows map[K]*retry.Window, key K) *retry.Window {
	w := windows[key]
	if w == nil {
		w = &retry.Window{}
		windows[key] = w
	}
	return w
}
