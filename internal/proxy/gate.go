package proxy

import (
	"cmp"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
	"github.com/chicoryscale/chicoryscale/internal/workcost"
)

const (
	// queuePerSlot bounds the requests that wait for each slot of the instance.
	queuePerSlot = 3
	// initialServiceTime is the expected duration of a request until a duration was
	// measured.
	initialServiceTime = 50 * time.Millisecond
	// evidenceInterval is the shortest time between two reports of evidence, the counts
	// of the instance's answers, from a gate to the driver of a roll-out.
	evidenceInterval = 300 * time.Millisecond
	// maxEvidenceInterval replaces evidenceInterval while the counts don't change.
	maxEvidenceInterval = 600 * time.Millisecond
	// maxClockDifference bounds by how much the instance's time of day may be ahead of this
	// process's, which is that of its start.
	maxClockDifference = time.Hour
)

// gateCall is a forwarded request that is queued at the gate of this host or runs at
// its instance.
type gateCall struct {
	instance          mesh.InstanceID
	route             mesh.Route
	fingerprint       mesh.Fingerprint
	suspicion         poison.Suspicion // known when the request arrived
	repeatProbability float64
	dispatchedAt      mesh.Time
	features          workcost.Request
}

// localInstance is the instance on this host.
type localInstance struct {
	id       mesh.InstanceID
	service  mesh.Service
	version  mesh.BackendVersion
	slots    uint16
	born     int64
	sequence int64
	// adopted is set while the instance is known only from the record of an earlier
	// process of this node.
	adopted  bool
	draining bool      // a heartbeat reported that the instance drains
	left     bool      // the instance announced that it exits
	down     bool      // connections fail; until the next heartbeat
	warmAt   mesh.Time // end of the warm-up
	// routeCounts counts the answers by route since the start of the roll-out whose
	// order has the revision countsOrder. countsUnreported is set when counts were added
	// since the last report to its driver.
	routeCounts        map[mesh.Route]*rollout.RouteCount
	countsOrder        platform.Revision
	countsUnreported   bool
	evidenceReportedAt mesh.Time
	evidenceReportedTo mesh.HostID
}

func (e GateArrived) apply(n *Node, s *step) {
	n.counters.GateCalls++
	check := n.poison.Check(s.now, e.Fingerprint, e.Suspicion)
	if check.Verdict == poison.Convicted {
		n.rejectAtGate(s, e.Call, mesh.ReasonPoison, check.Suspicion)
		return
	}
	reason := n.gateClosedReason(e.Instance)
	if n.stopping && s.now.Add(e.TimeLeft) > n.stopDeadline {
		reason = mesh.ReasonDraining // could not be answered before the process ends
	}
	if reason != mesh.ReasonNone {
		n.rejectAtGate(s, e.Call, reason, poison.Suspicion{})
		return
	}
	load := n.gate.Load(n.local.id)
	if !e.MayQueue && load.InUse >= load.Slots {
		n.rejectAtGate(s, e.Call, mesh.ReasonOverload, poison.Suspicion{})
		return
	}
	if !n.warmup.Allow(s.now) {
		n.refuseWarmUp(s, e.Call, load)
		return
	}
	n.gateCalls[e.Call] = &gateCall{instance: e.Instance, route: e.Route, fingerprint: e.Fingerprint, suspicion: check.Suspicion, repeatProbability: e.RepeatProbability, features: e.workRequest()}
	n.gateEffects = n.gate.Arrive(s.now, admission.Call{
		ID: e.Call, Instance: e.Instance, Route: e.Route, Priority: priority(e.Rank), Tenant: e.Tenant, TenantRank: e.TenantRank,
		Deadline: s.now.Add(e.TimeLeft), Target: s.now.Add(e.TimeToTarget),
		Fingerprint: e.Fingerprint, Exclusive: check.Verdict == poison.Suspect, Work: n.predictWork(s.now, e.workRequest()),
	}, n.gateEffects)
}

// priority maps the rank of a route to the gate's priorities.
func priority(rank int) mesh.Priority {
	return mesh.Priority(max(int(mesh.Critical)-max(rank, 0), int(mesh.Bulk)))
}

// gateClosedReason returns the reason for which the gate accepts no request for an
// instance, ReasonNone if it does accept requests.
func (n *Node) gateClosedReason(id mesh.InstanceID) mesh.Reason {
	switch {
	case n.self.Leaving || n.Evacuated(n.settings.Domain):
		return mesh.ReasonDraining
	case n.local.id == "" || n.local.id != id || n.local.down:
		return mesh.ReasonNoTarget
	case n.local.draining || n.local.left:
		return mesh.ReasonDraining
	}
	return mesh.ReasonNone
}

func (n *Node) rejectAtGate(s *step, id mesh.CallID, reason mesh.Reason, suspicion poison.Suspicion) {
	n.counters.GateRejected++
	s.out.Gates = append(s.out.Gates, GateEffect{
		Call: id, Action: GateReject, Reason: reason, Load: n.gate.Load(n.local.id), Suspicion: suspicion,
	})
	n.setStartsIn(s)
}

func (e GateDone) apply(n *Node, s *step) {
	c := n.gateCalls[e.Call]
	if c == nil {
		return
	}
	delete(n.gateCalls, e.Call)
	if c.dispatchedAt != 0 {
		n.runs.end(s.now)
	}
	n.countEvidence(s, c, e)
	if c.instance == n.local.id && (e.Result == GateLost || e.Result == GateNotSent) {
		n.warmup.ConnectionLost()
	}
	switch e.Result {
	case GateAnswered:
		if !e.Failed {
			n.recordWork(s.now, c.features, n.gate.RelativeWork(c.instance, c.route, s.now.Sub(c.dispatchedAt)))
		}
		if n.poison.RecordSuccess(s.now, c.fingerprint, c.suspicion) {
			s.log("request.cleared", "fingerprint", uint64(c.fingerprint), "instance", string(c.instance))
		}
		n.gateEffects = n.gate.Done(s.now, e.Call, admission.Finished, n.gateEffects)
	case GateLost:
		if !e.Down {
			n.gateEffects = n.gate.Done(s.now, e.Call, admission.Lost, n.gateEffects)
			break
		}
		var inFlight []mesh.Fingerprint
		inFlight, n.gateEffects = n.gate.Crashed(s.now, e.Call, nil, n.gateEffects)
		if convicted := n.poison.RecordCrash(s.now, inFlight, c.suspicion); len(inFlight) > 0 {
			s.log("instance.crash_charged", "instance", string(c.instance), "fingerprint", uint64(c.fingerprint), "in_flight", len(inFlight),
				"known_crashes", c.suspicion.Crashes, "cleared", c.suspicion.Cleared, "convicted", convicted)
		}
		n.markInstanceDown(s, c.instance, "connection lost")
	case GateMisdirected:
		n.gateEffects = n.gate.Done(s.now, e.Call, admission.NotStarted, n.gateEffects)
		n.markInstanceDown(s, c.instance, "another instance answers")
	default:
		n.gateEffects = n.gate.Done(s.now, e.Call, admission.NotStarted, n.gateEffects)
		if e.Down {
			n.markInstanceDown(s, c.instance, "connection refused")
		}
	}
}

// markInstanceDown closes the gate until the next heartbeat of the instance.
func (n *Node) markInstanceDown(s *step, id mesh.InstanceID, cause string) {
	if n.local.id != id || n.local.down {
		return
	}
	n.local.down = true
	n.resetWarmUp(s)
	s.log("instance.down", "instance", string(id), "cause", cause)
	n.gateEffects = n.gate.RemoveInstance(s.now, id, n.gateEffects)
	n.announceSelf(s)
}

// LocalLoad returns the load of the instance on this host.
func (n *Node) LocalLoad() mesh.Load { return n.gate.Load(n.local.id) }

// Suspicion returns how far a request is suspected of crashing instances.
func (n *Node) Suspicion(now mesh.Time, f mesh.Fingerprint) poison.Suspicion {
	return n.poison.Check(now, f, poison.Suspicion{}).Suspicion
}

func (e GateCancelled) apply(n *Node, s *step) {
	var queued bool
	n.gateEffects, queued = n.gate.Cancel(s.now, e.Call, n.gateEffects)
	if queued {
		delete(n.gateCalls, e.Call)
	}
}

// flushGate converts the pending effects of the admission gate into effects of the
// step.
func (n *Node) flushGate(s *step) {
	for i := 0; i < len(n.gateEffects); i++ { // refuseDispatch appends effects
		e := n.gateEffects[i]
		switch e.Action {
		case admission.Dispatch:
			if !n.warmup.Allow(s.now) {
				n.refuseDispatch(s, &e)
				continue
			}
			n.warmup.Dispatched(s.now)
			n.counters.GateDispatched++
			if c := n.gateCalls[e.Call]; c != nil {
				c.dispatchedAt = s.now
				n.runs.begin(s.now, c.route, c.repeatProbability)
				if c.repeatProbability == 1 {
					n.counters.GateRepeats++
				}
			}
			s.out.Gates = append(s.out.Gates, GateEffect{
				Call: e.Call, Action: GateDispatch, Instance: e.Instance, Deadline: e.Deadline, Load: e.Load, Predicted: e.Predicted,
			})
		case admission.Reject:
			delete(n.gateCalls, e.Call)
			n.counters.GateRejected++
			s.out.Gates = append(s.out.Gates, GateEffect{Call: e.Call, Action: GateReject, Reason: e.Reason, Load: e.Load})
			n.setStartsIn(s)
		}
	}
	n.gateEffects = n.gateEffects[:0]
}

func (e InstanceReported) apply(n *Node, s *step) {
	if !n.acceptsHeartbeat(s, &e) {
		n.counters.HeartbeatsIgnored++
		return
	}
	n.counters.HeartbeatsAccepted++
	switch {
	case !n.mustConfirm(&e):
		n.applyReport(s, &e)
	case n.unconfirmed == nil || e.newer(n.unconfirmed):
		n.holdReport(s, &e)
	}
}

// applyReport makes the instance of a heartbeat the one of this host.
func (n *Node) applyReport(s *step, e *InstanceReported) {
	l := &n.local
	if n.unconfirmed != nil && e.newer(n.unconfirmed) {
		n.unconfirmed = nil
	}
	if l.adopted && l.id == e.ID {
		l.born, l.adopted = e.Born, false
	}
	isNew := l.id != e.ID || l.born != e.Born
	if isNew {
		if l.id != "" {
			n.gateEffects = n.gate.RemoveInstance(s.now, l.id, n.gateEffects)
		}
		*l = localInstance{id: e.ID, born: e.Born}
		n.resetWarmUp(s)
	}
	previous := *l
	l.service, l.version, l.slots = e.Service, e.Version, max(e.Slots, 1)
	if isNew || e.Sequence > l.sequence {
		l.sequence = e.Sequence
	}
	l.draining, l.down = e.Draining || l.draining && !isNew || n.hasLeft(e.ID, e.Born), false
	l.warmAt = s.now.Add(e.WarmUp)
	n.updateWarmUpLimit(s)
	n.warmup.Heartbeat(s.now, e.WarmUp, n.healthPath() != "")
	n.setGateInstance(s)
	if isNew || previous.version != l.version || previous.slots != l.slots || previous.draining != l.draining || previous.down != l.down || previous.service != l.service {
		s.log("instance.reported", "instance", string(l.id), "service", string(l.service), "version", string(l.version),
			"slots", l.slots, "draining", l.draining, "warm_up_ms", e.WarmUp.Milliseconds(), "sequence", e.Sequence, "born", e.Born)
		n.announceSelf(s)
	}
}

// newer reports whether a heartbeat was sent after another one on the same host.
func (e *InstanceReported) newer(other *InstanceReported) bool {
	return cmp.Or(cmp.Compare(e.Born, other.Born), cmp.Compare(e.Sequence, other.Sequence)) > 0
}

// acceptsHeartbeat reports whether a heartbeat is from the current instance or its
// successor. It rejects late heartbeats, those of a service that is neither this host's
// nor in the configuration, and those from the future, after which no true one would count.
func (n *Node) acceptsHeartbeat(s *step, e *InstanceReported) bool {
	l := &n.local
	if e.Born > int64(s.now.Add(maxClockDifference))/int64(time.Millisecond) {
		return false
	}
	if n.settings.Service != "" && e.Service != n.settings.Service && (n.config == nil || !n.config.Has(e.Service)) {
		return false
	}
	if e.ID != l.id {
		return e.Born >= l.born
	}
	if e.Born != l.born {
		return e.Born > l.born
	}
	// A drain is never taken back, so it counts however late it arrives, and whatever
	// another writer has stated about this instance.
	return (e.Sequence > l.sequence || e.Draining) && !l.left
}

func (e InstanceLeft) apply(n *Node, s *step) {
	unconfirmed := n.unconfirmed != nil && n.unconfirmed.ID == e.ID
	if unconfirmed {
		n.unconfirmed = nil
	}
	if n.local.id == "" || unconfirmed {
		n.recordInstanceLeft(s, leftBeforeHeartbeat(s.now, e))
		return
	}
	if e.ID != n.local.id || n.local.left {
		return
	}
	n.local.left = true
	s.log("instance.left", "instance", string(e.ID), "known", true)
	n.setGateInstance(s)
	n.announceSelf(s)
}

// beginCounts starts the counts for an order, unless they are for this order already.
func (l *localInstance) beginCounts(order platform.Revision) {
	if l.countsOrder != order {
		l.routeCounts, l.countsOrder = make(map[mesh.Route]*rollout.RouteCount), order
	}
}

// tooSlow reports whether the time limit of a request passed although a warm instance had the
// time within which it should answer. Such a request is evidence like the instance's own
// answer that the time is over, which may arrive too late to be seen.
func (n *Node) tooSlow(s *step, c *gateCall, e GateDone) bool {
	return e.Result == GateTimedOut && s.now >= n.local.warmAt && n.overTarget(s, c)
}

// overTarget reports whether the instance has taken as long for a request as the route's target
// latency. That can't be told of a route without a target, or that was removed.
func (n *Node) overTarget(s *step, c *gateCall) bool {
	if n.config == nil {
		return false
	}
	route := n.config.Route(c.route)
	return route != nil && route.TargetLatency > 0 && s.now.Sub(c.dispatchedAt) >= route.TargetLatency
}

// countEvidence adds the result of a request to the evidence about the version of the
// instance, if a roll-out of its service is running.
func (n *Node) countEvidence(s *step, c *gateCall, e GateDone) {
	l := &n.local
	if c.instance != l.id || c.dispatchedAt == 0 || e.Result != GateAnswered && e.Result != GateLost && !n.tooSlow(s, c, e) {
		return
	}
	order := n.rollouts.OrderRevision(l.service)
	if order == 0 {
		return
	}
	l.beginCounts(order)
	r := l.routeCounts[c.route]
	if r == nil {
		r = &rollout.RouteCount{Route: c.route}
		l.routeCounts[c.route] = r
	}
	l.countsUnreported = true
	r.Answers++
	if e.Failed || e.Result != GateAnswered {
		r.Failures++
		return
	}
	if s.now >= l.warmAt {
		r.Measured++
		r.Busy += s.now.Sub(c.dispatchedAt)
		if n.overTarget(s, c) {
			r.Late++
		}
	}
}
