package proxy

import (
	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/warmup"
)

// The gate limits the requests to a cold instance of a service with a warm-up rate. The
// state of the instance is kept in package warmup. It is unknown after the start of this
// process, after the instance was down or evacuated, and after a second without requests.

// updateWarmUpLimit sets the warm-up rate of the local instance's service.
func (n *Node) updateWarmUpLimit(s *step) {
	rate := 0.0
	if n.config != nil {
		rate = n.config.WarmupPerSecond(n.local.service)
	}
	n.warmup.SetRate(s.now, rate)
}

// healthPath returns the health path of the local instance's service, empty if it has none
// or isn't known.
func (n *Node) healthPath() string {
	if n.config == nil {
		return ""
	}
	return n.config.HealthPath(n.local.service)
}

// resetWarmUp makes the state of the local instance unknown.
func (n *Node) resetWarmUp(s *step) {
	n.warmup.Reset(s.now)
	n.updateWarmUpLimit(s)
}

// LimitsWarmUp reports whether the gate limits requests because the local instance isn't
// known to be warm.
func (n *Node) LimitsWarmUp() bool {
	return n.local.id != "" && n.warmup.Limited() && n.warmup.State() != warmup.Warm
}

// refuseWarmUp refuses a request because of the limit of a cold instance.
func (n *Node) refuseWarmUp(s *step, id mesh.CallID, load mesh.Load) {
	n.counters.WarmUpRefused++
	n.counters.GateRejected++
	s.out.Gates = append(s.out.Gates, GateEffect{Call: id, Action: GateReject, Reason: mesh.ReasonOverload, Load: load, Suspicion: poison.Suspicion{}})
}

// refuseDispatch refuses a request that the admission gate wants to dispatch and that the
// limit of a cold instance doesn't allow. It frees the request's slot, so that requests
// behind it in the queue are refused as well and can go elsewhere.
func (n *Node) refuseDispatch(s *step, e *admission.Effect) {
	delete(n.gateCalls, e.Call)
	load := e.Load
	load.InUse-- // the load includes the request
	n.refuseWarmUp(s, e.Call, load)
	n.gateEffects = n.gate.Done(s.now, e.Call, admission.NotStarted, n.gateEffects)
}

// probeWarmUp asks the local instance whether it is cold if the limit needs to know. It
// also logs changes of the state.
func (n *Node) probeWarmUp(s *step) {
	// The state of an idle instance is unknown most of the time, which isn't logged.
	if state := n.warmup.State(); n.warmup.Limited() && state != warmup.Unknown && state != n.loggedWarmUp {
		s.log("instance.warm_up", "instance", string(n.local.id), "state", state.String(), "previous", n.loggedWarmUp.String())
		n.loggedWarmUp = state
	}
	l := &n.local
	if l.id == "" || l.down || l.left || l.draining || n.Evacuated(n.settings.Domain) {
		return
	}
	path := n.healthPath()
	if path == "" || !n.warmup.StartProbe(s.now) {
		return
	}
	n.counters.WarmUpProbes++
	s.out.Probes = append(s.out.Probes, InstanceProbe{ID: l.id, Path: path, WarmUpOnly: true})
}

// applyWarmUpProbe records the answer to a probe of probeWarmUp.
func (n *Node) applyWarmUpProbe(s *step, e InstanceProbed) {
	answer := e.warmUpAnswer()
	answer.Serving = answer.Serving && e.ID == n.local.id
	n.warmup.Probed(s.now, answer)
}

func (e *InstanceProbed) warmUpAnswer() warmup.Answer {
	return warmup.Answer{Serving: e.Serving, Stated: e.WarmUpStated, Left: e.WarmUp}
}

// isLimitRefusal reports whether the gate refused an attempt because of the limit of its
// cold instance: the instance has free slots, with which the gate would have accepted it.
func (e *AttemptDone) isLimitRefusal() bool {
	return e.Outcome == mesh.NotRun && !e.Reached && e.Reason == mesh.ReasonOverload && e.HasLoad && e.Load.InUse < e.Load.Slots
}

// limitedQueue is the number of queued requests for each slot that an entry node assumes
// at an instance whose gate limits requests. The assumption ends with the load report, so
// that the node tries the instance again a short time later.
const limitedQueue = 3

// limitedLoad returns the load with which an instance whose gate limits requests counts in
// placement. It makes nodes prefer other instances without counting as slow or failing.
func limitedLoad(l mesh.Load) mesh.Load {
	return mesh.Load{Slots: l.Slots, InUse: l.Slots, Queued: limitedQueue * l.Slots}
}
