package proxy

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/placement"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/workcost"
)

const (
	// maxPlacements bounds the attempts of one call, except those that meet a closed
	// gate. A gate that is full answers within a millisecond, so trying another gate
	// costs little compared with waiting for a slot.
	maxPlacements = 5
	// maxClosedGates bounds the attempts of one call that meet a closed gate. These are
	// the attempts that reach no instance for a reason other than a full gate or the
	// deadline, such as a draining instance or an unreachable host. They have a bound of
	// their own because after the end of a roll-out the gates of all instances of the old
	// version close at the same time.
	maxClosedGates = 16
	// probesBeforeQueue is the largest number of full gates that a call meets before it
	// is sent with permission to queue.
	probesBeforeQueue = 2
	// maxQueueRejections is the number of gates' queues that may reject a call before the
	// call itself is rejected. A queue rejects a call if it is full or if its place is
	// needed for calls that can still meet their latency target. The call tries the queues
	// that are shortest by the gates' load reports, so the other ones would reject it too.
	maxQueueRejections = 2
	// minTimeLeft is the time to its deadline below which a call isn't forwarded.
	minTimeLeft = 8 * time.Millisecond
	// configHoldTime is the longest time for which a node that has just started holds a
	// request until it has a configuration. Fetching a configuration from peers takes a
	// few round trips.
	configHoldTime = 400 * time.Millisecond
	// configRetryAfter is the retry-after time for requests at a node without
	// configuration.
	configRetryAfter = 300 * time.Millisecond
	// noTargetRetryAfter is the retry-after time, before jitter, for requests without a
	// usable instance.
	noTargetRetryAfter = 200 * time.Millisecond
	// overloadRetryAfter is the retry-after time, before jitter, for requests that met
	// only full instances, if their gates report no expected wait for a slot.
	overloadRetryAfter = 250 * time.Millisecond
	// minRetryAfter is the least retry-after time, before jitter, that is derived from the
	// expected wait for a slot.
	minRetryAfter = 100 * time.Millisecond
)

// call is a request in progress at its entry node. Attempts that reach no instance are
// free of charge. An attempt after one that has, or may have, reached an instance is a
// repeat, which is charged to the retry budget.
type call struct {
	id          mesh.CallID
	route       *catalog.Route
	service     mesh.Service
	caller      mesh.Service    // the service of this host when the call arrived
	tenant      *catalog.Tenant // nil for a call without a key
	charge      quotaCharge     // to the tenant's quota
	arrived     mesh.Time
	deadline    mesh.Time
	targetAt    mesh.Time // time of the route's latency target
	fingerprint mesh.Fingerprint
	suspicion   poison.Suspicion // of crashes that the request caused
	features    workcost.Request
	work        float64 // predicted, as a multiple of the route's mean; zero if unknown

	attempt     uint8 // number of the attempt in flight or of the last one
	inFlight    bool
	sentAt      mesh.Time
	choice      placement.Choice
	placements  int  // attempts, except those that met a closed gate
	closedGates int  // attempts that met a closed gate, see maxClosedGates
	mayQueue    bool // the attempt in flight may queue for a slot
	probeLimit  int  // full gates to be met before mayQueue is set
	// repeatProbability is the probability that the next attempt, if it arrives at an
	// instance, is a repeat. It is 1 once a repeat was charged to the retry budget. Before
	// that, it is the estimated probability that the request is a call made by a repeated
	// run (see repeats.go).
	repeatProbability float64
	// possibleRuns counts the attempts that an instance has run or may have run.
	possibleRuns int
	// fullInstances lists the instances whose gates had no free slot for an attempt that
	// was not allowed to queue; only an attempt that may queue tries them again.
	// queueRejections lists the instances whose gates rejected an attempt that was allowed
	// to queue; no attempt that may queue tries them again. excluded lists the instances
	// that no attempt tries again.
	fullInstances   []mesh.InstanceID
	queueRejections []mesh.InstanceID
	excluded        []mesh.InstanceID
	lastReason      mesh.Reason // of the last attempt, which gave the client no answer
	// startsIn is the shortest expected wait for a slot among the gates that refused the
	// call, valid if hasStartsIn is set.
	startsIn    time.Duration
	hasStartsIn bool
}

func (e CallArrived) apply(n *Node, s *step) {
	n.counters.Calls++
	if n.config == nil {
		n.holdForConfig(s, e)
		return
	}
	n.beginCall(s, e, nil)
}

// heldCall is a request that waits for the first configuration of the node.
type heldCall struct {
	CallArrived
	arrived mesh.Time
}

// holdForConfig holds a request until a node that has just started has a configuration.
// A rejected client would retry only after the configuration has arrived, and only a few
// times. Requests are rejected if startup is over, or if the client's remaining time is so
// short that less than configHoldTime would be left after the longest hold.
func (n *Node) holdForConfig(s *step, e CallArrived) {
	if s.now.Sub(n.started) > startupPeriod || e.Budget > 0 && e.Budget < 2*configHoldTime {
		n.rejectNew(s, e.Call, mesh.ReasonNoConfiguration, configRetryAfter)
		return
	}
	n.heldCalls = append(n.heldCalls, heldCall{e, s.now})
}

// beginHeldCalls starts the requests that were held until the configuration was known.
func (n *Node) beginHeldCalls(s *step) {
	held := n.heldCalls
	n.heldCalls = nil
	for _, w := range held {
		if w.Budget > 0 {
			w.Budget -= s.now.Sub(w.arrived)
		}
		n.beginCall(s, w.CallArrived, nil)
	}
}

// rejectExpiredHeldCalls rejects the requests that were held for configHoldTime.
func (n *Node) rejectExpiredHeldCalls(s *step) {
	for len(n.heldCalls) > 0 && s.now.Sub(n.heldCalls[0].arrived) >= configHoldTime {
		n.rejectNew(s, n.heldCalls[0].Call, mesh.ReasonNoConfiguration, configRetryAfter)
		n.heldCalls = n.heldCalls[1:]
	}
}

// beginCall starts a request at a node that has a configuration. waited is set if it has
// waited for the token server of its tenant.
func (n *Node) beginCall(s *step, e CallArrived, waited *waitingCall) {
	route := n.config.Match(e.Host, e.Path)
	if route == nil {
		n.rejectNew(s, e.Call, mesh.ReasonNoRoute, 0)
		return
	}
	tenant := n.config.TenantOf(e.Key)
	if tenant == nil && n.config.RequiresKey(route) {
		n.counters.UnknownKeys++
		n.rejectNew(s, e.Call, mesh.ReasonUnknownKey, 0)
		return
	}
	limit := callTimeLimit(e.Budget, route.Timeout)
	if n.stopping && s.now.Add(limit) > n.stopDeadline {
		// The call could not be answered before the process ends.
		n.rejectNew(s, e.Call, mesh.ReasonDraining, s.jitter(noTargetRetryAfter))
		return
	}
	service := n.nextDestination(s, route)
	fingerprint := n.identify(&e, service, tenant).Fingerprint()
	check := n.poison.Check(s.now, fingerprint, poison.Suspicion{})
	if check.Verdict == poison.Convicted {
		// This call is not sent, but the request has already run as part of other calls.
		n.takeDestination(route, service)
		s.log("call.blocked", "call", uint64(e.Call), "route", string(route.Name), "service", string(service), "fingerprint", uint64(fingerprint),
			"crashes", check.Suspicion.Crashes, "cleared", check.Suspicion.Cleared)
		n.counters.MayHaveRun++
		s.out.Calls = append(s.out.Calls, CallEffect{
			Call: e.Call, Action: CallReject, Outcome: mesh.MayHaveRun, Reason: mesh.ReasonPoison,
		})
		return
	}
	charge, admitted := n.admitToQuota(s, &e, tenant, waited)
	if !admitted {
		return
	}
	n.takeDestination(route, service)
	c := &call{
		id: e.Call, route: route, service: service, caller: n.settings.Service, arrived: s.now,
		fingerprint: fingerprint, suspicion: check.Suspicion, tenant: tenant, charge: charge,
	}
	c.probeLimit = n.table.ProbeCount(s.now, s.random.Next(), c.service, probesBeforeQueue)
	c.features = c.workRequest(&e)
	c.work = n.predictWork(s.now, c.features)
	c.deadline = s.now.Add(limit)
	c.targetAt = s.now.Add(route.TargetLatency - n.timeSpentByClient(route.Name, e.Budget))
	n.calls[e.Call] = c
	n.countRequest(s, c)
	n.place(s, c)
}

// identify returns the identity of a request that is sent to a service.
func (n *Node) identify(e *CallArrived, service mesh.Service, tenant *catalog.Tenant) poison.Request {
	r := poison.Request{Hash: e.Hash, Service: service, Caller: n.settings.Service}
	if tenant != nil {
		r.Tenant = tenant.Name
	}
	return r
}

// timeSpentByClient returns the time that the client spent on earlier attempts of its
// own. remaining is the time for which the client still waits, zero if it sets no limit.
// The client's first attempt comes with its full time limit, so the largest remaining
// time seen on the route is taken for the limit of all its clients.
func (n *Node) timeSpentByClient(route mesh.Route, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	n.maxClientTime[route] = max(n.maxClientTime[route], remaining)
	return n.maxClientTime[route] - remaining
}

// maxCallTime bounds a call for which neither the client nor the route sets a limit.
const maxCallTime = 30 * time.Second

// callTimeLimit returns the shorter of the client's and the route's time limit, at most
// maxCallTime. An argument of zero sets no limit.
func callTimeLimit(client, route time.Duration) time.Duration {
	d := maxCallTime
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

// place forwards the call to the gate of the instance that is expected to answer first.
// The first attempts are accepted only by a gate with a free slot; later ones may queue.
func (n *Node) place(s *step, c *call) {
	if c.deadline.Sub(s.now) < minTimeLeft {
		n.endWithoutAnswer(s, c, mesh.ReasonDeadline)
		return
	}
	if c.placements >= maxPlacements || c.closedGates >= maxClosedGates || len(c.queueRejections) >= maxQueueRejections {
		n.endWithoutAnswer(s, c, c.lastReason)
		return
	}
	choice, mayQueue := n.chooseTarget(s, c)
	if !choice.Found {
		if c.lastReason == mesh.ReasonNone {
			c.lastReason = mesh.ReasonNoTarget
		}
		n.endWithoutAnswer(s, c, c.lastReason)
		return
	}
	m := n.members[choice.Host]
	c.choice, c.inFlight, c.sentAt, c.mayQueue = choice, true, s.now, mayQueue
	c.attempt++
	c.placements++
	n.counters.Forwards++
	effect := CallEffect{
		Call: c.id, Action: CallForward, Attempt: c.attempt, Host: m.Host, Addr: m.ForwardAddr,
		Instance: choice.ID, Route: c.route.Name, Rank: c.route.Rank, Idempotent: c.route.Idempotent, Fingerprint: c.fingerprint,
		Deadline: c.deadline, TimeToTarget: c.targetAt.Sub(s.now), MayQueue: mayQueue, Suspicion: c.suspicion,
		RepeatProbability: c.repeatProbability, Caller: c.caller,
	}
	if m.Host == n.settings.Host {
		effect.Addr = "" // the gate of this host
	}
	if c.tenant != nil {
		effect.Tenant, effect.TenantRank = c.tenant.Name, c.tenant.Rank
	}
	s.out.Calls = append(s.out.Calls, effect)
}

// chooseTarget chooses the target of the next attempt. mayQueue is set once enough
// gates have reported that they are full, or when no other gate is left.
func (n *Node) chooseTarget(s *step, c *call) (choice placement.Choice, mayQueue bool) {
	req := placement.Request{Service: c.service, Route: c.route.Name, Idempotent: c.route.Idempotent, TimeToTarget: c.targetAt.Sub(s.now), Work: c.work}
	if len(c.fullInstances) < c.probeLimit {
		req.Excluded = slices.Concat(c.excluded, c.fullInstances)
		choice = n.table.Choose(s.now, s.random.Next(), req)
		if choice.Found || len(c.fullInstances) == 0 {
			return choice, false
		}
	}
	req.Excluded = slices.Concat(c.excluded, c.queueRejections)
	return n.table.Choose(s.now, s.random.Next(), req), true
}

func (e AttemptDone) apply(n *Node, s *step) {
	c := n.calls[e.Call]
	if c == nil || !c.inFlight || e.Attempt != c.attempt {
		return
	}
	c.inFlight = false
	if e.Outcome == mesh.Answered && !e.Failed {
		n.recordWork(s.now, c.features, n.table.RelativeWork(s.now, c.choice, e.Duration))
	}
	limited := e.isLimitRefusal()
	if limited {
		e.Load = limitedLoad(e.Load)
	}
	n.table.Done(s.now, c.choice, placement.Result{
		Served: e.Outcome == mesh.Answered, Failed: e.Failed || e.Outcome == mesh.MayHaveRun || e.Outcome == mesh.NotRun && e.Reached,
		Draining: e.Reason == mesh.ReasonDraining, Probed: !c.mayQueue && !limited, Full: e.Reason == mesh.ReasonOverload && !e.Reached, Duration: e.Duration, Bytes: e.Bytes, Backlog: e.Backlog, Load: e.Load, HasLoad: e.HasLoad,
		StartsIn: e.StartsIn, HasStartsIn: e.HasStartsIn && n.work != nil && !limited,
	})
	if e.HostFailed {
		n.markUnreachable(s, c.choice.Host)
	}
	if e.Outcome != mesh.NotRun {
		c.possibleRuns++
	}
	if e.Suspicion.Supersedes(c.suspicion) {
		c.suspicion = e.Suspicion
		n.poison.Merge(s.now, []poison.Entry{{Fingerprint: c.fingerprint, Crashes: e.Suspicion.Crashes, Cleared: e.Suspicion.Cleared, At: s.now}})
	}
	if e.Outcome == mesh.Answered && !n.tryRepeatFailedAnswer(s, c, e) {
		n.respond(s, c)
		return
	}
	c.lastReason = e.Reason
	if e.HasStartsIn && n.work != nil && (!c.hasStartsIn || e.StartsIn < c.startsIn) {
		c.startsIn, c.hasStartsIn = e.StartsIn, true
	}
	n.continueAfterAttempt(s, c, e, limited)
}

// tryRepeatFailedAnswer reports whether another attempt follows an answer that reports a
// failure. If so, it has charged the attempt to the retry budget.
func (n *Node) tryRepeatFailedAnswer(s *step, c *call, e AttemptDone) bool {
	if !e.Failed || !c.route.Idempotent || c.possibleRuns >= c.route.Attempts || c.deadline.Sub(s.now) < 2*minTimeLeft {
		return false
	}
	return n.tryRepeat(s, c, RepeatFailed)
}

// continueAfterAttempt decides whether another attempt follows one that gave no answer
// for the client, or ends the call. An attempt with a failed answer gets here only if
// tryRepeatFailedAnswer has allowed another one. limited is set for a refusal by the limit
// of a cold instance, after which the call is sent to other instances as after a closed gate.
func (n *Node) continueAfterAttempt(s *step, c *call, e AttemptDone, limited bool) {
	if e.Outcome == mesh.Answered { // the repeat is already charged to the retry budget
		c.excluded = append(c.excluded, c.choice.ID)
		n.place(s, c)
		return
	}
	notReached := e.Outcome == mesh.NotRun && !e.Reached
	switch {
	case limited:
		c.placements--
		c.closedGates++
		c.excluded = append(c.excluded, c.choice.ID)
	case notReached && e.Reason == mesh.ReasonOverload && c.mayQueue:
		c.queueRejections = append(c.queueRejections, c.choice.ID)
	case notReached && e.Reason == mesh.ReasonOverload:
		c.fullInstances = append(c.fullInstances, c.choice.ID)
	case notReached && e.Reason != mesh.ReasonDeadline:
		c.placements--
		c.closedGates++
		fallthrough
	default:
		c.excluded = append(c.excluded, c.choice.ID)
	}
	if notReached && c.mayQueue && s.now > c.targetAt {
		// The attempt was allowed to queue but reached no instance, and the latency target
		// has passed. Rejecting the call now leaves the client time for a retry.
		n.endWithoutAnswer(s, c, e.Reason)
		return
	}
	if c.suspicion.Crashes >= poison.ConvictionCrashes {
		c.possibleRuns = max(c.possibleRuns, 1) // the request has already run as part of other calls
		n.endWithoutAnswer(s, c, mesh.ReasonPoison)
		return
	}
	if c.possibleRuns > 0 && (!c.route.Idempotent || c.possibleRuns >= c.route.Attempts) {
		n.endWithoutAnswer(s, c, e.Reason)
		return
	}
	// Another attempt is free of charge if the last one reached no instance. Otherwise it
	// is a repeat and is charged to the retry budget.
	cause := RepeatLost
	if e.Outcome == mesh.NotRun {
		cause = RepeatRefused
	}
	if !notReached && !n.tryRepeat(s, c, cause) {
		n.endWithoutAnswer(s, c, mesh.ReasonRetryBudget)
		return
	}
	n.place(s, c)
}

func (n *Node) respond(s *step, c *call) {
	n.counters.Answered++
	n.endCharge(s, c, true)
	s.out.Calls = append(s.out.Calls, CallEffect{Call: c.id, Action: CallRespond, Attempt: c.attempt, Outcome: mesh.Answered})
	delete(n.calls, c.id)
}

// endWithoutAnswer rejects a call. Its outcome is may-have-run if an instance may have
// run any of its attempts.
func (n *Node) endWithoutAnswer(s *step, c *call, reason mesh.Reason) {
	n.endCharge(s, c, c.possibleRuns > 0)
	effect := CallEffect{Call: c.id, Action: CallReject, Outcome: mesh.NotRun, Reason: reason}
	if c.possibleRuns > 0 {
		effect.Outcome = mesh.MayHaveRun
		n.counters.MayHaveRun++
	} else {
		n.counters.NotRun++
		effect.RetryAfter = n.retryAfter(s, c, reason)
	}
	s.out.Calls = append(s.out.Calls, effect)
	s.log("call.rejected", "call", uint64(c.id), "route", string(c.route.Name), "service", string(c.service),
		"outcome", effect.Outcome.String(), "reason", reason.String(), "placements", c.placements, "closed", c.closedGates, "runs", c.possibleRuns,
		"last_host", string(c.choice.Host), "last_instance", string(c.choice.ID),
		"waited_ms", s.now.Sub(c.arrived).Milliseconds(), "left_ms", c.deadline.Sub(s.now).Milliseconds(),
		"config", uint64(n.config.Version), "retry_after_ms", effect.RetryAfter.Milliseconds())
	delete(n.calls, c.id)
}

// retryAfter returns the time after which the client should retry. It has jitter, so
// that clients that were rejected together don't retry together.
func (n *Node) retryAfter(s *step, c *call, reason mesh.Reason) time.Duration {
	base := overloadRetryAfter
	if reason == mesh.ReasonNoTarget || reason == mesh.ReasonConnectionLost || reason == mesh.ReasonDraining {
		base = noTargetRetryAfter
	}
	if c.hasStartsIn && (reason == mesh.ReasonOverload || reason == mesh.ReasonDeadline) {
		base = max(2*c.startsIn, minRetryAfter) // after jitter at least startsIn
	}
	return min(s.jitter(base), max(c.deadline.Sub(s.now)/3, 0))
}

// apply ends the call. A cancelled call counts neither as a success nor as a failure of
// the chosen instance.
func (e CallCancelled) apply(n *Node, s *step) {
	c := n.calls[e.Call]
	if c == nil {
		n.heldCalls = slices.DeleteFunc(n.heldCalls, func(w heldCall) bool { return w.Call == e.Call })
		n.waitingCalls = slices.DeleteFunc(n.waitingCalls, func(w waitingCall) bool { return w.Call == e.Call })
		return
	}
	n.counters.Cancelled++
	n.endCharge(s, c, c.possibleRuns > 0 || c.inFlight)
	if c.inFlight {
		n.table.Done(s.now, c.choice, placement.Result{})
	}
	s.log("call.cancelled", "call", uint64(c.id), "route", string(c.route.Name), "placements", c.placements,
		"waited_ms", s.now.Sub(c.arrived).Milliseconds())
	delete(n.calls, c.id)
}
