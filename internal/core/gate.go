package core

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/membership"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
)

// gateCall is a forwarded call that is queued or in flight at the gate of this
// host. The gate admits calls to the backend servers on the host.
type gateCall struct {
	instance    mesh.InstanceID
	fingerprint mesh.Fingerprint
	suspicion   poison.Suspicion // known when the call arrived
}

// gateArrived admits, queues or rejects a forwarded call.
func (n *Node) gateArrived(ev *Event, out *Ready) {
	in := &ev.Gate
	n.counters.GateCalls++
	backend, _ := n.members.Backend(in.Instance) // the gate rejects a call for an unknown instance
	fingerprint := poison.Request{Hash: in.Hash, Service: backend.Service}.Fingerprint()
	check := n.poison.Check(ev.Now, fingerprint, poison.Suspicion{Crashes: in.Crashes})
	if check.Verdict == poison.Convicted {
		n.counters.GateRejected++
		out.Gates = append(out.Gates, GateEffect{
			Call: in.Call, Action: GateReject, Outcome: mesh.MayHaveRun, Reason: mesh.ReasonPoison,
		})
		return
	}
	n.gateCalls[in.Call] = gateCall{instance: in.Instance, fingerprint: fingerprint, suspicion: check.Suspicion}
	n.scratch.gate = n.gate.Arrive(ev.Now, admission.Call{
		ID: in.Call, Instance: in.Instance, Priority: in.Priority,
		Deadline:    ev.Now.Add(time.Duration(in.DeadlineMillis) * time.Millisecond),
		Fingerprint: fingerprint, Exclusive: check.Verdict == poison.Suspect,
	}, n.scratch.gate)
	n.flushGate(out)
}

// gateDone frees the slot of a call and updates the poison table: an answer clears
// a request that was suspected of a crash, and a crash is charged to the requests
// that may have caused it.
func (n *Node) gateDone(ev *Event, out *Ready) {
	in := &ev.GateDone
	c, ok := n.gateCalls[in.Call]
	if !ok {
		n.counters.BadMessages++
		return
	}
	delete(n.gateCalls, in.Call)
	switch in.Result {
	case GateAnswered:
		n.poison.RecordSuccess(ev.Now, c.fingerprint, c.suspicion)
		n.scratch.gate = n.gate.Done(ev.Now, in.Call, admission.Finished, n.scratch.gate)
	case GateLost:
		n.gateConnectionLost(ev, c, out)
	default:
		n.scratch.gate = n.gate.Done(ev.Now, in.Call, admission.NotStarted, n.scratch.gate)
	}
	n.flushGate(out)
}

// gateConnectionLost ends a call whose connection to the backend server was lost.
// If the backend server crashed, it charges the crash to all calls that may have
// caused it and reports the new crash count of the request.
func (n *Node) gateConnectionLost(ev *Event, c gateCall, out *Ready) {
	if !ev.GateDone.Crashed {
		n.scratch.gate = n.gate.Done(ev.Now, ev.GateDone.Call, admission.Lost, n.scratch.gate)
		return
	}
	n.scratch.crashSuspects, n.scratch.gate = n.gate.Crashed(ev.Now, ev.GateDone.Call, n.scratch.crashSuspects[:0], n.scratch.gate)
	if len(n.scratch.crashSuspects) > 0 {
		n.counters.Crashes++
		n.poison.RecordCrash(ev.Now, n.scratch.crashSuspects, c.suspicion)
	}
	out.Gates = append(out.Gates, GateEffect{
		Call: ev.GateDone.Call, Action: GateCrashReport, Crashes: n.poison.Check(ev.Now, c.fingerprint, poison.Suspicion{}).Suspicion.Crashes,
	})
}

// gateCancelled removes a queued call that its entry node abandoned. A call that
// is in flight keeps its slot until the backend server has ended it.
func (n *Node) gateCancelled(ev *Event, out *Ready) {
	var queued bool
	n.scratch.gate, queued = n.gate.Cancel(ev.Now, ev.CallID, n.scratch.gate)
	if queued {
		delete(n.gateCalls, ev.CallID)
	}
	n.flushGate(out)
}

// announced registers a local backend server or renews its registration.
func (n *Node) announced(ev *Event, out *Ready) {
	a := ev.Announcement
	err := n.members.Announce(ev.Now, membership.Announcement{
		Backend: membership.Backend{
			Instance: a.Instance, Service: a.Service, Version: a.Version, Slots: a.Slots, Draining: a.Draining || n.drainStartedAt != 0,
		},
		Addr: a.Addr, Lease: time.Duration(a.LeaseMillis) * time.Millisecond,
	}, &n.scratch.members)
	if err != nil {
		n.counters.BadMessages++
		return
	}
	n.localInstances[a.Instance] = true
	n.scratch.gate = n.gate.SetInstance(ev.Now, admission.Instance{ID: a.Instance, Slots: a.Slots, Draining: a.Draining}, n.scratch.gate)
	n.flushMembers(ev.Now, out)
	n.flushGate(out)
}

// removeExpiredInstances removes backend servers whose lease has expired from
// the gate.
func (n *Node) removeExpiredInstances(now mesh.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.localInstances)) {
		if _, ok := n.members.Backend(id); ok {
			continue
		}
		delete(n.localInstances, id)
		n.scratch.gate = n.gate.RemoveInstance(now, id, n.scratch.gate)
	}
}

// flushGate turns the gate's effects into effects of the step.
func (n *Node) flushGate(out *Ready) {
	for _, e := range n.scratch.gate {
		switch e.Action {
		case admission.Dispatch:
			n.dispatch(e, out)
		case admission.Reject:
			delete(n.gateCalls, e.Call)
			n.counters.GateRejected++
			out.Gates = append(out.Gates, GateEffect{
				Call: e.Call, Action: GateReject, Outcome: mesh.NotRun, Reason: e.Reason, Load: e.Load,
			})
		case admission.InstanceEmpty:
			out.Timeline = append(out.Timeline, TimelineEntry{Kind: "backend.drained", Detail: string(e.Instance), Host: n.settings.Host})
		}
	}
	n.scratch.gate = n.scratch.gate[:0]
}

func (n *Node) dispatch(e admission.Effect, out *Ready) {
	backend, _ := n.members.Backend(e.Instance)
	out.Gates = append(out.Gates, GateEffect{
		Call: e.Call, Action: GateDispatch, Addr: backend.Addr, Version: backend.Version, Deadline: e.Deadline, Load: e.Load,
	})
}
