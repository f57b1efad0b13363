package proxy

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
)

const (
	// queuePerSlot bounds the requests that wait for each slot of the instance.
	queuePerSlot = 3
	// initialServiceTime is the expected duration of a request before any was
	// seen.
	initialServiceTime = 50 * time.Millisecond
	// evidenceInterval is the period at which a gate reports to the driver of a
	// roll-out.
	evidenceInterval = 300 * time.Millisecond
)

// gateCall is a forwarded request that waits or runs at this host.
type gateCall struct {
	instance    mesh.InstanceID
	route       mesh.Route
	fingerprint mesh.Fingerprint
	crashes     uint8
	repeated    float64
	dispatched  mesh.Time
}

// localInstance is the instance on this host.
type localInstance struct {
	id       mesh.InstanceID
	service  mesh.Service
	version  mesh.BackendVersion
	slots    uint16
	born     int64
	sequence int64
	// adopted is set while the instance is known from an earlier process of this
	// node only.
	adopted  bool
	draining bool
	left     bool
	down     bool
	warmAt   mesh.Time
	// counts are the answers by route since the start of the roll-out that
	// countsOrder names.
	counts      map[mesh.Route]*rollout.RouteCount
	countsOrder uint64
	countsDirty bool
	reportedAt  mesh.Time
}

func (e GateArrived) apply(n *Node, s *step) {
	n.counters.GateCalls++
	check := n.poison.Check(s.now, e.Fingerprint, e.Crashes)
	if check.Verdict == poison.Convicted {
		n.rejectAtGate(s, e.Call, mesh.ReasonPoison, check.Crashes)
		return
	}
	reason := n.closed(e.Instance)
	if n.stopping && s.now.Add(e.TimeLeft) > n.stopEnds {
		reason = mesh.ReasonDraining // it could not be answered before the process ends
	}
	if reason != mesh.ReasonNone {
		n.rejectAtGate(s, e.Call, reason, 0)
		return
	}
	load := n.gate.Load(n.local.id)
	if !e.MayQueue && load.InUse >= load.Slots {
		n.rejectAtGate(s, e.Call, mesh.ReasonOverload, 0)
		return
	}
	n.gateCalls[e.Call] = &gateCall{instance: e.Instance, route: e.Route, fingerprint: e.Fingerprint, crashes: check.Crashes, repeated: e.RepeatProbability}
	n.gateOut = n.gate.Arrive(s.now, admission.Call{
		ID: e.Call, Instance: e.Instance, Route: e.Route, Priority: priority(e.Rank),
		Deadline: s.now.Add(e.TimeLeft), Target: s.now.Add(e.TimeToTarget),
		Fingerprint: e.Fingerprint, Exclusive: check.Verdict == poison.Suspect,
	}, n.gateOut)
}

// priority maps the rank of a route to the gate's priorities.
func priority(rank int) mesh.Priority {
	return mesh.Priority(max(int(mesh.Critical)-max(rank, 0), int(mesh.Bulk)))
}

// closed tells why the gate takes no request for an instance.
func (n *Node) closed(id mesh.InstanceID) mesh.Reason {
	switch {
	case n.self.Leaving:
		return mesh.ReasonDraining
	case n.local.id == "" || n.local.id != id || n.local.down:
		return mesh.ReasonNoTarget
	case n.local.draining || n.local.left:
		return mesh.ReasonDraining
	}
	return mesh.ReasonNone
}

func (n *Node) rejectAtGate(s *step, id mesh.CallID, reason mesh.Reason, crashes uint8) {
	n.counters.GateRejected++
	s.out.Gates = append(s.out.Gates, GateEffect{
		Call: id, Action: GateReject, Reason: reason, Load: n.gate.Load(n.local.id), Crashes: crashes,
	})
}

func (e GateDone) apply(n *Node, s *step) {
	c := n.gateCalls[e.Call]
	if c == nil {
		return
	}
	delete(n.gateCalls, e.Call)
	if c.dispatched != 0 {
		n.runs.end(s.now)
	}
	n.count(s, c, e)
	switch e.Result {
	case GateAnswered:
		n.poison.Succeeded(s.now, c.fingerprint)
		n.gateOut = n.gate.Done(s.now, e.Call, admission.Finished, n.gateOut)
	case GateLost:
		if !e.Down {
			n.gateOut = n.gate.Done(s.now, e.Call, admission.Lost, n.gateOut)
			break
		}
		var inFlight []mesh.Fingerprint
		inFlight, n.gateOut = n.gate.Crashed(s.now, e.Call, nil, n.gateOut)
		n.poison.Crashed(s.now, inFlight, c.crashes)
		n.instanceDown(s, c.instance, "connection lost")
	case GateMisdirected:
		n.gateOut = n.gate.Done(s.now, e.Call, admission.NotStarted, n.gateOut)
		n.instanceDown(s, c.instance, "another instance answers")
	default:
		n.gateOut = n.gate.Done(s.now, e.Call, admission.NotStarted, n.gateOut)
		if e.Down {
			n.instanceDown(s, c.instance, "connection refused")
		}
	}
}

// instanceDown closes the gate until the instance reports again.
func (n *Node) instanceDown(s *step, id mesh.InstanceID, cause string) {
	if n.local.id != id || n.local.down {
		return
	}
	n.local.down = true
	s.record("instance.down", "instance", string(id), "cause", cause)
	n.gateOut = n.gate.RemoveInstance(s.now, id, n.gateOut)
	n.announceSelf(s)
}

// LocalLoad returns the load of the instance on this host.
func (n *Node) LocalLoad() mesh.Load { return n.gate.Load(n.local.id) }

// CrashCount returns the number of crashes that a request is charged with.
func (n *Node) CrashCount(now mesh.Time, f mesh.Fingerprint) uint8 {
	return n.poison.Check(now, f, 0).Crashes
}

func (e GateCancelled) apply(n *Node, s *step) {
	var queued bool
	n.gateOut, queued = n.gate.Cancel(s.now, e.Call, n.gateOut)
	if queued {
		delete(n.gateCalls, e.Call)
	}
}

// flushGate turns the gate's effects into effects of the step.
func (n *Node) flushGate(s *step) {
	for _, e := range n.gateOut {
		switch e.Action {
		case admission.Dispatch:
			n.counters.GateDispatched++
			if c := n.gateCalls[e.Call]; c != nil {
				c.dispatched = s.now
				n.runs.begin(s.now, c.route, c.repeated)
				if c.repeated == 1 {
					n.counters.GateRepeats++
				}
			}
			s.out.Gates = append(s.out.Gates, GateEffect{
				Call: e.Call, Action: GateDispatch, Instance: e.Instance, Deadline: e.Deadline, Load: e.Load,
			})
		case admission.Reject:
			delete(n.gateCalls, e.Call)
			n.counters.GateRejected++
			s.out.Gates = append(s.out.Gates, GateEffect{Call: e.Call, Action: GateReject, Reason: e.Reason, Load: e.Load})
		}
	}
	n.gateOut = n.gateOut[:0]
}

func (e InstanceReported) apply(n *Node, s *step) {
	l := &n.local
	if !n.acceptsReport(&e) {
		n.counters.HeartbeatsIgnored++
		return
	}
	n.counters.HeartbeatsAccepted++
	if l.adopted && l.id == e.ID {
		l.born, l.adopted = e.Born, false
	}
	fresh := l.id != e.ID || l.born != e.Born
	if fresh {
		if l.id != "" {
			n.gateOut = n.gate.RemoveInstance(s.now, l.id, n.gateOut)
		}
		*l = localInstance{id: e.ID, born: e.Born}
	}
	was := *l
	l.service, l.version, l.slots, l.sequence = e.Service, e.Version, max(e.Slots, 1), e.Sequence
	l.draining, l.down = e.Draining || l.draining && !fresh || n.hasLeft(e.ID, e.Born), false
	l.warmAt = s.now.Add(e.WarmUp)
	n.gateOut = n.gate.SetInstance(s.now, admission.Instance{ID: l.id, Slots: l.slots, Draining: l.draining || l.left}, n.gateOut)
	if fresh || was.version != l.version || was.slots != l.slots || was.draining != l.draining || was.down != l.down || was.service != l.service {
		s.record("instance.reported", "instance", string(l.id), "service", string(l.service), "version", string(l.version),
			"slots", l.slots, "draining", l.draining, "warm_up_ms", e.WarmUp.Milliseconds(), "sequence", e.Sequence, "born", e.Born)
		n.announceSelf(s)
	}
}

// acceptsReport tells a heartbeat of the present instance, or of its successor,
// from one that is late or names no instance of this host.
func (n *Node) acceptsReport(e *InstanceReported) bool {
	l := &n.local
	if n.settings.Service != "" && e.Service != n.settings.Service && (n.config == nil || !n.config.Has(e.Service)) {
		return false
	}
	if e.ID != l.id {
		return e.Born >= l.born
	}
	if e.Born != l.born {
		return e.Born > l.born
	}
	return e.Sequence > l.sequence && !l.left
}

func (e InstanceLeft) apply(n *Node, s *step) {
	if n.local.id == "" {
		n.noteLeft(s, leftUnknown(s.now, e))
		return
	}
	if e.ID != n.local.id || n.local.left {
		return
	}
	n.local.left = true
	s.record("instance.left", "instance", string(e.ID), "known", true)
	n.gateOut = n.gate.SetInstance(s.now, admission.Instance{ID: e.ID, Slots: n.local.slots, Draining: true}, n.gateOut)
	n.announceSelf(s)
}

// count adds the end of a request to the evidence on the instance's version.
func (n *Node) count(s *step, c *gateCall, e GateDone) {
	l := &n.local
	if c.instance != l.id || c.dispatched == 0 || e.Result != GateAnswered && e.Result != GateLost {
		return
	}
	order := n.rollouts.Order(l.service)
	if order == 0 {
		return
	}
	if l.countsOrder != order {
		l.counts, l.countsOrder = make(map[mesh.Route]*rollout.RouteCount), order
	}
	r := l.counts[c.route]
	if r == nil {
		r = &rollout.RouteCount{Route: c.route}
		l.counts[c.route] = r
	}
	l.countsDirty = true
	r.Answers++
	if e.Failed || e.Result == GateLost {
		r.Failures++
		return
	}
	if s.now >= l.warmAt {
		r.Measured++
		r.Busy += s.now.Sub(c.dispatched)
	}
}
