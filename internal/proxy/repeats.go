package proxy

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

// Which attempts are repeats, and when another one is within the budget that all
// nodes share. A run that is a repeat makes its calls again, and these are repeats
// at the services that are called. A call names no run that made it, so its entry
// node, which is the gate of that run, goes by the share of repeats among the runs
// of its instance.

// RepeatCause is the end of an attempt that is followed by a repeat.
type RepeatCause uint8

// Causes of repeats.
const (
	// RepeatRefused follows an instance's word that it has not run the request.
	RepeatRefused RepeatCause = iota
	// RepeatLost follows an attempt without an answer, which may have run.
	RepeatLost
	// RepeatFailed follows an answer that states a failure.
	RepeatFailed
	repeatCauses
)

var repeatCauseNames = [repeatCauses]string{"refused", "lost", "failed"}

// String implements fmt.Stringer.
func (c RepeatCause) String() string { return repeatCauseNames[c] }

// repeatParts are the parts of the budget by the cause of the repeat.
var repeatParts = [repeatCauses]float64{retry.PartRefused, retry.PartLost, retry.PartFailed}

// repeat draws on the shared budget for one more attempt at an instance.
func (n *Node) repeat(s *step, c *call, cause RepeatCause) bool {
	// Hosts that can't be reached may go on spending their share.
	b, part, hosts := n.repeatBudget(s.now), repeatParts[cause], len(n.members)
	service, route := windowOf(n.windows, c.service), windowOf(n.routeWindows, c.route.Name)
	// A route keeps to the budget too: the calls of its repeated runs then stay
	// within that share of all its calls, whatever other routes its service has.
	allowed := service.Allows(s.now, b, part, hosts) && route.AllowsRoute(s.now, b, part, hosts)
	kind := "call.repeated"
	if allowed {
		service.Repeat(s.now, b)
		route.Repeat(s.now, b)
		n.counters.Repeats[cause]++
		c.repeated = 1
	} else {
		n.counters.RepeatsRefused++
		kind = "call.repeat_refused"
	}
	requests, repeats := service.Sums(s.now, b)
	routeRequests, routeRepeats := route.Sums(s.now, b)
	s.record(kind, "call", uint64(c.id), "route", string(c.route.Name), "service", string(c.service), "cause", cause.String(),
		"requests", int(requests), "repeats", int(repeats), "route_requests", int(routeRequests), "route_repeats", int(routeRepeats),
		"hosts", hosts, "last_instance", string(c.to.ID))
	return allowed
}

// repeatBudget returns the budget that this process may use. The fixed part waits
// until the window holds nothing of the process before it on this host.
func (n *Node) repeatBudget(now mesh.Time) retry.WindowBudget {
	b := n.settings.Repeats
	if now.Sub(n.started) < b.Span {
		b.Extra = 0
	}
	return b
}

// countRequest counts the first attempt of a request against the budgets.
func (n *Node) countRequest(s *step, c *call) {
	if c.service != n.local.service { // instances don't call their own service
		c.repeated = n.runs.arrived(s.now, c.route.Name)
	}
	windowOf(n.windows, c.service).Request(s.now, n.settings.Repeats, c.repeated)
	windowOf(n.routeWindows, c.route.Name).Request(s.now, n.settings.Repeats, c.repeated)
}

// windowOf returns the window of a service or route, which begins with its first use.
func windowOf[K comparable](windows map[K]*retry.Window, key K) *retry.Window {
	w := windows[key]
	if w == nil {
		w = &retry.Window{}
		windows[key] = w
	}
	return w
}
