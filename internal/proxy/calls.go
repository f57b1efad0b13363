package proxy

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/placement"
	"github.com/chicoryscale/chicoryscale/internal/poison"
)

const (
	// maxPlacements bounds the gates that one call asks for a slot. A gate that
	// is full answers within a millisecond, so asking another costs little next
	// to waiting for a slot.
	maxPlacements = 5
	// maxClosed bounds the gates that one call finds closed. After the end of a
	// roll-out all instances of the old version close together.
	maxClosed = 16
	// probesBeforeQueue is the number of gates that are asked for a free slot
	// before the call accepts to wait.
	probesBeforeQueue = 2
	// maxQueues is the number of refusals by queues after which a call is rejected.
	// The queues asked are the shortest by the gates' reports, so that others would
	// refuse it too.
	maxQueues = 2
	// minLeft is the time that a call needs to be worth sending.
	minLeft = 8 * time.Millisecond
	// configWait is the longest time that a request waits at a node that has just
	// started and is reading the configuration, a few round trips with its peers.
	configWait = 400 * time.Millisecond
	// configRetryAfter is the advice to a client of a node without configuration.
	configRetryAfter = 300 * time.Millisecond
	// placeRetryAfter is the advice to a client whose request found no instance.
	placeRetryAfter = 200 * time.Millisecond
	// overloadRetryAfter is the advice to a client whose request found no room.
	overloadRetryAfter = 250 * time.Millisecond
)

// call is a request in progress at its entry node.
type call struct {
	id          mesh.CallID
	route       *catalog.Route
	service     mesh.Service
	arrived     mesh.Time
	deadline    mesh.Time
	target      mesh.Time // answers are worth less afterwards
	fingerprint mesh.Fingerprint
	crashes     uint8

	attempt    uint8 // number of the attempt in flight or last sent
	sent       bool
	sentAt     mesh.Time
	to         placement.Choice
	placements int
	closed     int  // gates that took no request for their instance
	queued     bool // the attempt in flight may wait for a slot
	probes     int  // gates to be asked for a free slot before that
	// repeated is the probability that the next arrival at an instance is a repeat.
	repeated float64
	// runs counts the attempts that an instance may have run.
	runs int
	// full lists the instances whose gates had no slot, refused those whose queues
	// rejected the call, and failed those that are not asked again.
	full    []mesh.InstanceID
	refused []mesh.InstanceID
	failed  []mesh.InstanceID
	reason  mesh.Reason // of the last attempt without an answer
}

func (e CallArrived) apply(n *Node, s *step) {
	n.counters.Calls++
	if n.config == nil {
		n.hold(s, e)
		return
	}
	n.begin(s, e)
}

// waitingCall is a request that waits for the configuration.
type waitingCall struct {
	CallArrived
	arrived mesh.Time
}

// hold keeps a request until a node that has just started knows a configuration.
// A client that was refused would come back later than that, and not often.
func (n *Node) hold(s *step, e CallArrived) {
	if s.now.Sub(n.started) > startupTime || e.Budget > 0 && e.Budget < 2*configWait {
		n.rejectNew(s, e.Call, mesh.ReasonNoConfiguration, configRetryAfter)
		return
	}
	n.waiting = append(n.waiting, waitingCall{e, s.now})
}

// beginWaiting begins the requests that waited for the configuration.
func (n *Node) beginWaiting(s *step) {
	waiting := n.waiting
	n.waiting = nil
	for _, w := range waiting {
		if w.Budget > 0 {
			w.Budget -= s.now.Sub(w.arrived)
		}
		n.begin(s, w.CallArrived)
	}
}

// rejectWaiting rejects the requests that have waited for too long.
func (n *Node) rejectWaiting(s *step) {
	for len(n.waiting) > 0 && s.now.Sub(n.waiting[0].arrived) >= configWait {
		n.rejectNew(s, n.waiting[0].Call, mesh.ReasonNoConfiguration, configRetryAfter)
		n.waiting = n.waiting[1:]
	}
}

// begin starts a request at a node that knows a configuration.
func (n *Node) begin(s *step, e CallArrived) {
	route := n.config.Match(e.Host, e.Path)
	if route == nil {
		n.rejectNew(s, e.Call, mesh.ReasonNoRoute, 0)
		return
	}
	limit := callTime(e.Budget, route.Timeout)
	if n.stopping && s.now.Add(limit) > n.stopEnds {
		// It could not be answered before the process ends.
		n.rejectNew(s, e.Call, mesh.ReasonDraining, s.jitter(placeRetryAfter))
		return
	}
	check := n.poison.Check(s.now, e.Fingerprint, 0)
	if check.Verdict == poison.Convicted {
		s.record("call.blocked", "call", uint64(e.Call), "crashes", check.Crashes)
		n.counters.MayHaveRun++
		s.out.Calls = append(s.out.Calls, CallEffect{
			Call: e.Call, Action: CallReject, Outcome: mesh.MayHaveRun, Reason: mesh.ReasonPoison,
		})
		return
	}
	c := &call{
		id: e.Call, route: route, service: n.destination(s, route), arrived: s.now,
		fingerprint: e.Fingerprint, crashes: check.Crashes,
	}
	c.probes = n.table.Probes(s.now, s.random.Next(), c.service, probesBeforeQueue)
	c.deadline = s.now.Add(limit)
	c.target = s.now.Add(route.TargetLatency - n.spent(route.Name, e.Budget))
	n.calls[e.Call] = c
	n.countRequest(s, c)
	n.place(s, c)
}

// spent returns the time that the client has used up before this attempt. A
// client states the time that it still waits, and the first attempts of a route
// state the most.
func (n *Node) spent(route mesh.Route, budget time.Duration) time.Duration {
	if budget <= 0 {
		return 0
	}
	n.longest[route] = max(n.longest[route], budget)
	return n.longest[route] - budget
}

// longestCall bounds a call for which neither client nor route states a limit.
const longestCall = 30 * time.Second

// callTime returns the time that a call has: the client's or the route's,
// whichever ends first.
func callTime(client, route time.Duration) time.Duration {
	d := longestCall
	if client > 0 {
		d = min(d, client)
	}
	if route > 0 {
		d = min(d, route)
	}
	return d
}

func (n *Node) rejectNew(s *step, id mesh.CallID, reason mesh.Reason, retryAfter time.Duration) {
	n.counters.NotRun++
	s.out.Calls = append(s.out.Calls, CallEffect{
		Call: id, Action: CallReject, Outcome: mesh.NotRun, Reason: reason, RetryAfter: retryAfter,
	})
}

// place sends the call to the gate of the instance that is expected to answer
// first. The first gates are asked for a free slot; after that the call may wait.
func (n *Node) place(s *step, c *call) {
	if c.deadline.Sub(s.now) < minLeft {
		n.finish(s, c, mesh.ReasonDeadline)
		return
	}
	if c.placements >= maxPlacements || c.closed >= maxClosed || len(c.refused) >= maxQueues {
		n.finish(s, c, c.reason)
		return
	}
	choice, mayQueue := n.choose(s, c)
	if !choice.Found {
		if c.reason == mesh.ReasonNone {
			c.reason = mesh.ReasonNoTarget
		}
		n.finish(s, c, c.reason)
		return
	}
	m := n.members[choice.Host]
	c.to, c.sent, c.sentAt, c.queued = choice, true, s.now, mayQueue
	c.attempt++
	c.placements++
	n.counters.Forwards++
	effect := CallEffect{
		Call: c.id, Action: CallForward, Attempt: c.attempt, Host: m.Host, Addr: m.ForwardAddr,
		Instance: choice.ID, Route: c.route.Name, Rank: c.route.Rank, Idempotent: c.route.Idempotent,
		Deadline: c.deadline, TimeToTarget: c.target.Sub(s.now), MayQueue: mayQueue, Crashes: c.crashes,
		RepeatProbability: c.repeated,
	}
	if m.Host == n.settings.Host {
		effect.Addr = ""
	}
	s.out.Calls = append(s.out.Calls, effect)
}

// choose draws the target of the next attempt. mayQueue is set once enough gates
// have said that they are full, or no other is left.
func (n *Node) choose(s *step, c *call) (choice placement.Choice, mayQueue bool) {
	need := placement.Need{Service: c.service, Route: c.route.Name, Idempotent: c.route.Idempotent, Left: c.target.Sub(s.now)}
	if len(c.full) < c.probes {
		need.Excluded = slices.Concat(c.failed, c.full)
		choice = n.table.Choose(s.now, s.random.Next(), need)
		if choice.Found || len(c.full) == 0 {
			return choice, false
		}
	}
	need.Excluded = slices.Concat(c.failed, c.refused)
	return n.table.Choose(s.now, s.random.Next(), need), true
}

func (e AttemptDone) apply(n *Node, s *step) {
	c := n.calls[e.Call]
	if c == nil || !c.sent || e.Attempt != c.attempt {
		return
	}
	c.sent = false
	n.table.Done(s.now, c.to, placement.Result{
		Served: e.Outcome == mesh.Answered, Failed: e.Failed || e.Outcome == mesh.MayHaveRun || e.Outcome == mesh.NotRun && e.Reached,
		Draining: e.Reason == mesh.ReasonDraining, Probed: !c.queued, Full: e.Reason == mesh.ReasonOverload && !e.Reached, Duration: e.Duration, Bytes: e.Bytes, Backlog: e.Backlog, Load: e.Load, HasLoad: e.HasLoad,
	})
	if e.HostFailed {
		n.hostFailed(s, c.to.Host)
	}
	if e.Outcome != mesh.NotRun {
		c.runs++
	}
	if e.Crashes > c.crashes {
		c.crashes = e.Crashes
		n.poison.Merge(s.now, []poison.Entry{{Fingerprint: c.fingerprint, Crashes: e.Crashes, At: s.now}})
	}
	if e.Outcome == mesh.Answered && !n.worthRepeat(s, c, e) {
		n.respond(s, c)
		return
	}
	c.reason = e.Reason
	n.again(s, c, e)
}

// worthRepeat reports whether a failed answer is replaced by another attempt.
func (n *Node) worthRepeat(s *step, c *call, e AttemptDone) bool {
	if !e.Failed || !c.route.Idempotent || c.runs >= c.route.Attempts || c.deadline.Sub(s.now) < 2*minLeft {
		return false
	}
	return n.repeat(s, c, RepeatFailed)
}

// again decides what follows an attempt without an answer to deliver.
func (n *Node) again(s *step, c *call, e AttemptDone) {
	if e.Outcome == mesh.Answered { // its repeat is paid for
		c.failed = append(c.failed, c.to.ID)
		n.place(s, c)
		return
	}
	unseen := e.Outcome == mesh.NotRun && !e.Reached
	switch {
	case unseen && e.Reason == mesh.ReasonOverload && c.queued:
		c.refused = append(c.refused, c.to.ID)
	case unseen && e.Reason == mesh.ReasonOverload:
		c.full = append(c.full, c.to.ID)
	case unseen && e.Reason != mesh.ReasonDeadline:
		c.placements--
		c.closed++
		fallthrough
	default:
		c.failed = append(c.failed, c.to.ID)
	}
	if unseen && c.queued && s.now > c.target {
		// It has waited in vain and can only be late. The client learns it while
		// there is time to come back.
		n.finish(s, c, e.Reason)
		return
	}
	if c.crashes >= poison.ConvictionCrashes {
		c.runs = max(c.runs, 1) // the request has run before, under other identities
		n.finish(s, c, mesh.ReasonPoison)
		return
	}
	if c.runs > 0 && (!c.route.Idempotent || c.runs >= c.route.Attempts) {
		n.finish(s, c, e.Reason)
		return
	}
	// An attempt that no instance has seen costs nothing; any other draws on the
	// budget.
	cause := RepeatLost
	if e.Outcome == mesh.NotRun {
		cause = RepeatRefused
	}
	if !unseen && !n.repeat(s, c, cause) {
		n.finish(s, c, mesh.ReasonRetryBudget)
		return
	}
	n.place(s, c)
}

func (n *Node) respond(s *step, c *call) {
	n.counters.Answered++
	s.out.Calls = append(s.out.Calls, CallEffect{Call: c.id, Action: CallRespond, Attempt: c.attempt, Outcome: mesh.Answered})
	delete(n.calls, c.id)
}

// finish ends a call without an answer.
func (n *Node) finish(s *step, c *call, reason mesh.Reason) {
	effect := CallEffect{Call: c.id, Action: CallReject, Outcome: mesh.NotRun, Reason: reason}
	if c.runs > 0 {
		effect.Outcome = mesh.MayHaveRun
		n.counters.MayHaveRun++
	} else {
		n.counters.NotRun++
		effect.RetryAfter = n.retryAfter(s, c, reason)
	}
	s.out.Calls = append(s.out.Calls, effect)
	s.record("call.rejected", "call", uint64(c.id), "route", string(c.route.Name), "service", string(c.service),
		"outcome", effect.Outcome.String(), "reason", reason.String(), "placements", c.placements, "closed", c.closed, "runs", c.runs,
		"last_host", string(c.to.Host), "last_instance", string(c.to.ID),
		"waited_ms", s.now.Sub(c.arrived).Milliseconds(), "left_ms", c.deadline.Sub(s.now).Milliseconds(),
		"config", uint64(n.config.Version), "retry_after_ms", effect.RetryAfter.Milliseconds())
	delete(n.calls, c.id)
}

// retryAfter advises a client when to come back. The advice is spread, so that
// clients that were refused together do not return together.
func (n *Node) retryAfter(s *step, c *call, reason mesh.Reason) time.Duration {
	advice := overloadRetryAfter
	if reason == mesh.ReasonNoTarget || reason == mesh.ReasonConnectionLost || reason == mesh.ReasonDraining {
		advice = placeRetryAfter
	}
	return min(s.jitter(advice), max(c.deadline.Sub(s.now)/3, 0))
}

// cancelled calls count neither for nor against their target.
func (e CallCancelled) apply(n *Node, s *step) {
	c := n.calls[e.Call]
	if c == nil {
		n.waiting = slices.DeleteFunc(n.waiting, func(w waitingCall) bool { return w.Call == e.Call })
		return
	}
	n.counters.Cancelled++
	if c.sent {
		n.table.Done(s.now, c.to, placement.Result{})
	}
	s.record("call.cancelled", "call", uint64(c.id), "route", string(c.route.Name), "placements", c.placements,
		"waited_ms", s.now.Sub(c.arrived).Milliseconds())
	delete(n.calls, c.id)
}

// split spreads the requests of a route over its destinations in proportion to
// their weights, evenly over time.
type split struct {
	credit map[mesh.Service]int
}

// destination returns the service of the route's next request: the one whose
// credit is largest after each has gained its weight.
func (n *Node) destination(s *step, r *catalog.Route) mesh.Service {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	sp := n.splits[r.Name]
	if sp == nil {
		sp = &split{credit: make(map[mesh.Service]int)}
		n.splits[r.Name] = sp
		for _, d := range r.Destinations { // nodes start at different places
			sp.credit[d.Service] = int(s.random.Next() % uint64(max(d.Weight, 1)))
		}
	}
	total, best := 0, r.Destinations[0].Service
	for _, d := range r.Destinations {
		total += d.Weight
		sp.credit[d.Service] += d.Weight
		if sp.credit[d.Service] > sp.credit[best] {
			best = d.Service
		}
	}
	sp.credit[best] -= total
	return best
}
