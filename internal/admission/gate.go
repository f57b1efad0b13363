package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	defaultQueuePerSlot       = 8
	defaultInitialServiceTime = 5 * time.Millisecond
)

// New returns a Gate without instances. Zero limits stand for the defaults:
// 8 queued calls per slot and an initial service time of 5 ms.
func New(limits Limits) *Gate {
	if limits.QueuePerSlot <= 0 {
		limits.QueuePerSlot = defaultQueuePerSlot
	}
	if limits.InitialServiceTime <= 0 {
		limits.InitialServiceTime = defaultInitialServiceTime
	}
	return &Gate{
		limits:    limits,
		instances: make(map[mesh.InstanceID]*instance),
		calls:     make(map[mesh.CallID]*call, 256),
	}
}

// SetInstance adds or updates an instance. The caller passes on every
// announcement, because after a crash the instance accepts calls again only once
// it is announced. A draining instance accepts no new calls: its queued calls are
// rejected, those in flight finish.
func (g *Gate) SetInstance(now mesh.Time, in Instance, out []Effect) []Effect {
	inst := g.instances[in.ID]
	if inst == nil {
		inst = newInstance(in.ID, g.limits)
		g.instances[in.ID] = inst
		i, _ := slices.BinarySearchFunc(g.instancesByID, in.ID, func(x *instance, id mesh.InstanceID) int {
			return cmp.Compare(x.id, id)
		})
		g.instancesByID = slices.Insert(g.instancesByID, i, inst)
	}
	inst.slots = max(1, int(in.Slots))
	inst.down = false
	inst.draining = in.Draining
	if inst.draining {
		out = g.rejectQueue(inst, mesh.ReasonDraining, out)
		return g.reportEmpty(inst, out)
	}
	inst.emptyReported = false
	return g.dispatch(now, inst, out)
}

// RemoveInstance removes an instance whose lease has expired. Its queued calls
// are rejected; calls in flight stay until Done.
func (g *Gate) RemoveInstance(_ mesh.Time, id mesh.InstanceID, out []Effect) []Effect {
	inst := g.instances[id]
	if inst == nil {
		return out
	}
	inst.down = true
	delete(g.instances, id)
	g.instancesByID = slices.DeleteFunc(g.instancesByID, func(x *instance) bool { return x == inst })
	out = g.rejectQueue(inst, mesh.ReasonNoTarget, out)
	return g.reportEmpty(inst, out)
}

// Arrive dispatches, queues or rejects a call. Queueing adds nothing to out. A
// call ID that is already present is rejected as a duplicate.
func (g *Gate) Arrive(now mesh.Time, c Call, out []Effect) []Effect {
	inst := g.instances[c.Instance]
	if reason := g.refusalReason(inst, c); reason != mesh.ReasonNone {
		return append(out, rejection(c.ID, c.Instance, reason, inst))
	}
	rec := g.newRecord(now, c, inst)
	if c.Work > 0 {
		rec.expected = inst.expectedServiceTime(c)
		g.shares.add(now, c.Tenant, rec.expected, 0)
	}
	rec.late = inst.missesTarget(now, c, inst.expectedWait(now, rec))
	if !inst.canAdmit(now, rec) {
		return g.rejectRecord(rec, mesh.ReasonDeadline, out)
	}
	if rec.late && !inst.hasRoomForLate() {
		return g.rejectRecord(rec, mesh.ReasonOverload, out)
	}
	if !inst.enqueue(rec, g.limits.QueuePerSlot) && !g.enqueueInsteadOfVictim(now, inst, rec) {
		return g.rejectRecord(rec, mesh.ReasonOverload, out)
	}
	if inst.overLimit(g.limits.QueuePerSlot) {
		out = g.rejectRecord(g.popOverflow(now, inst), mesh.ReasonOverload, out)
	}
	return g.dispatch(now, inst, out)
}

// enqueueInsteadOfVictim adds a call to the end of a full queue if another tenant's call
// is to be shed instead of it.
func (g *Gate) enqueueInsteadOfVictim(now mesh.Time, inst *instance, rec *call) bool {
	if rec.Work == 0 || g.victim(now, inst.queue, rec) < 0 {
		return false
	}
	inst.queue = append(inst.queue, rec)
	return true
}

// popOverflow removes the call to be shed from a queue that exceeds its limit.
func (g *Gate) popOverflow(now mesh.Time, inst *instance) *call {
	last := inst.queue[len(inst.queue)-1]
	if i := g.victim(now, inst.queue, last); last.Work > 0 && i >= 0 {
		last = inst.queue[i]
	}
	inst.dequeue(last)
	return last
}

// Done releases the slot of a dispatched call. It ignores unknown and queued
// calls.
func (g *Gate) Done(now mesh.Time, id mesh.CallID, finish Finish, out []Effect) []Effect {
	rec := g.calls[id]
	if rec == nil || rec.state == queued {
		return out
	}
	inst := rec.inst
	switch finish {
	case Finished:
		inst.recordServiceTime(rec.Call, now.Sub(rec.started))
	case Lost:
		inst.recordLost(now, rec.Fingerprint)
	}
	inst.release(rec)
	g.recycle(rec)
	out = g.dispatch(now, inst, out)
	return g.reportEmpty(inst, out)
}

// Crashed ends a dispatched call that was written to an instance that crashed. A
// call that was never written ends by Done with NotStarted. The first report of a
// crash appends to suspects the fingerprints of all calls that may have caused the
// crash: those in flight, those lost shortly before, and those of an earlier crash
// whose end is not yet reported. Later reports of the same crash append none. The
// instance accepts no calls until it is announced again, and its queued calls are
// rejected.
func (g *Gate) Crashed(now mesh.Time, id mesh.CallID, suspects []mesh.Fingerprint, out []Effect) ([]mesh.Fingerprint, []Effect) {
	rec := g.calls[id]
	if rec == nil || rec.state == queued {
		return suspects, out
	}
	inst := rec.inst
	if rec.state == running {
		suspects = inst.appendSuspects(rec, suspects)
		inst.markCrashed()
		out = g.rejectQueue(inst, mesh.ReasonConnectionLost, out)
	}
	inst.recordLost(now, rec.Fingerprint)
	inst.release(rec)
	g.recycle(rec)
	return suspects, g.reportEmpty(inst, out)
}

// Cancel removes a queued call, without an effect for it, and reports whether the
// call was queued. A call in flight keeps its slot until Done.
func (g *Gate) Cancel(now mesh.Time, id mesh.CallID, out []Effect) ([]Effect, bool) {
	rec := g.calls[id]
	if rec == nil || rec.state != queued {
		return out, false
	}
	inst := rec.inst
	inst.dequeue(rec)
	g.recycle(rec)
	out = g.dispatch(now, inst, out)
	return g.reportEmpty(inst, out), true
}

// Tick rejects queued calls that can no longer meet their deadline, and those
// expected to miss their target that were queued for longer than maxLateWait while
// calls that can meet theirs are queued.
func (g *Gate) Tick(now mesh.Time, out []Effect) []Effect {
	for _, inst := range g.instancesByID {
		for i := 0; i < len(inst.queue); {
			rec := inst.queue[i]
			reason := inst.expiryReason(now, rec)
			if reason == mesh.ReasonNone {
				i++
				continue
			}
			inst.dequeue(rec)
			out = g.rejectRecord(rec, reason, out)
		}
		out = g.dispatch(now, inst, out)
		out = g.reportEmpty(inst, out)
	}
	return out
}

// Drain starts to drain the whole gate: new calls are rejected and accepted calls
// finish, including queued ones, whose wait is bounded by their deadlines.
func (g *Gate) Drain(_ mesh.Time, out []Effect) []Effect {
	g.draining = true
	return g.reportNodeEmpty(out)
}

// Load returns the load of an instance; the zero Load for an unknown one.
func (g *Gate) Load(id mesh.InstanceID) mesh.Load {
	if inst := g.instances[id]; inst != nil {
		return inst.load()
	}
	return mesh.Load{}
}

// Empty reports whether no call is queued or in flight.
func (g *Gate) Empty() bool { return len(g.calls) == 0 }

func (g *Gate) refusalReason(inst *instance, c Call) mesh.Reason {
	switch {
	case g.calls[c.ID] != nil:
		return mesh.ReasonDuplicate
	case g.draining:
		return mesh.ReasonDraining
	case inst == nil || inst.down:
		return mesh.ReasonNoTarget
	case inst.draining:
		return mesh.ReasonDraining
	}
	return mesh.ReasonNone
}

// dispatch starts queued calls in order while slots are free. An exclusive call at
// the head of the queue blocks the calls behind it until the instance is idle;
// otherwise a steady flow of calls could starve it.
func (g *Gate) dispatch(now mesh.Time, inst *instance, out []Effect) []Effect {
	for len(inst.queue) > 0 && inst.hasFreeSlot() {
		rec := inst.queue[0]
		if !rec.late && inst.missesTarget(now, rec.Call, 0) && len(inst.queue) > 1 {
			inst.demote(rec)
			continue
		}
		if !inst.canMeetDeadline(now, rec.Call) {
			inst.dequeue(rec)
			out = g.rejectRecord(rec, mesh.ReasonDeadline, out)
			continue
		}
		if rec.Exclusive && len(inst.running) > 0 {
			break
		}
		inst.dequeue(rec)
		inst.start(now, rec)
		if rec.Work > 0 {
			g.shares.add(now, rec.Tenant, 0, rec.expected)
		}
		out = append(out, Effect{Action: Dispatch, Call: rec.ID, Instance: inst.id,
			Deadline: rec.Deadline, Load: inst.load(), Predicted: rec.expected})
	}
	return out
}

func (g *Gate) rejectQueue(inst *instance, reason mesh.Reason, out []Effect) []Effect {
	for len(inst.queue) > 0 {
		out = g.rejectRecord(inst.popLast(), reason, out)
	}
	return out
}

func (g *Gate) rejectRecord(rec *call, reason mesh.Reason, out []Effect) []Effect {
	out = append(out, rejection(rec.ID, rec.Instance, reason, rec.inst))
	g.recycle(rec)
	return out
}

func rejection(id mesh.CallID, target mesh.InstanceID, reason mesh.Reason, inst *instance) Effect {
	e := Effect{Action: Reject, Call: id, Instance: target, Reason: reason}
	if inst != nil {
		e.Load = inst.load()
	}
	return e
}

// reportEmpty reports, at most once each, that a draining instance and the
// draining gate have no call left.
func (g *Gate) reportEmpty(inst *instance, out []Effect) []Effect {
	if inst.draining && !inst.emptyReported && inst.empty() {
		inst.emptyReported = true
		out = append(out, Effect{Action: InstanceEmpty, Instance: inst.id, Load: inst.load()})
	}
	return g.reportNodeEmpty(out)
}

func (g *Gate) reportNodeEmpty(out []Effect) []Effect {
	if g.draining && !g.emptyReported && g.Empty() {
		g.emptyReported = true
		out = append(out, Effect{Action: NodeEmpty})
	}
	return out
}

func (g *Gate) newRecord(now mesh.Time, c Call, inst *instance) *call {
	rec := g.freeCalls
	if rec == nil {
		rec = &call{}
	} else {
		g.freeCalls = rec.next
	}
	g.sequence++
	*rec = call{Call: c, inst: inst, state: queued, arrived: now, sequence: g.sequence}
	g.calls[c.ID] = rec
	return rec
}

func (g *Gate) recycle(rec *call) {
	delete(g.calls, rec.ID)
	*rec = call{next: g.freeCalls}
	g.freeCalls = rec
}
