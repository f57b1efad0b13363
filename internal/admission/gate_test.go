package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	start = mesh.Time(time.Hour)
	ms    = time.Millisecond
	inst  = mesh.InstanceID("i")
)

func newGate(slots uint16, perSlot int) *Gate {
	g := New(Limits{QueuePerSlot: perSlot, InitialServiceTime: 10 * ms})
	g.SetInstance(start, Instance{ID: inst, Slots: slots}, nil)
	return g
}

// arrive delivers a call at start. deadline is relative to start.
func arrive(g *Gate, id mesh.CallID, p mesh.Priority, deadline time.Duration) []Effect {
	return g.Arrive(start, Call{ID: id, Instance: inst, Priority: p, Deadline: start.Add(deadline),
		Fingerprint: mesh.Fingerprint(id)}, nil)
}

// decision holds the fields of an effect that the tests compare.
type decision struct {
	action Action
	call   mesh.CallID
	reason mesh.Reason
}

func decisions(effects []Effect) []decision {
	list := []decision{}
	for _, e := range effects {
		list = append(list, decision{e.Action, e.Call, e.Reason})
	}
	return list
}

// Guards against a tenant with a lower priority whose request is served before that of a
// tenant with a higher one because its route has a higher priority.
func TestTenantRankGoesBeforeRoutePriority(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	arrive(g, 1, mesh.Normal, time.Second)
	for id, rank := range []int{2: 1, 3: 0, 4: 1} {
		if id < 2 {
			continue
		}
		g.Arrive(start, Call{ID: mesh.CallID(id), Instance: inst, Priority: mesh.Priority(id - 2), TenantRank: rank, Deadline: start.Add(time.Second)}, nil)
	}
	running := mesh.CallID(1)
	for _, next := range []mesh.CallID{3, 4, 2} {
		is.Equal(decisions(g.Done(start, running, Finished, nil)), []decision{{Dispatch, next, 0}})
		running = next
	}
}

// Guards against a queue that ignores priority, deadline or order of arrival.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	is.Equal(decisions(arrive(g, 1, mesh.Normal, time.Second)), []decision{{Dispatch, 1, 0}})
	arrive(g, 2, mesh.Bulk, 300*ms)
	arrive(g, 3, mesh.Normal, 500*ms)
	arrive(g, 4, mesh.Normal, 400*ms)
	arrive(g, 5, mesh.Normal, 400*ms)
	arrive(g, 6, mesh.Critical, time.Second)
	is.Equal(g.Load(inst), mesh.Load{Slots: 1, InUse: 1, Queued: 5})
	running := mesh.CallID(1)
	for _, next := range []mesh.CallID{6, 4, 5, 3, 2} {
		is.Equal(decisions(g.Done(start, running, Finished, nil)), []decision{{Dispatch, next, 0}})
		running = next
	}
}

// Guards against a call that is rejected while calls of lower priority are queued.
func TestFullQueueShedsLeastUrgent(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 3)
	for id, p := range []mesh.Priority{mesh.Normal, mesh.Bulk, mesh.Normal, mesh.Critical} {
		arrive(g, mesh.CallID(id+1), p, time.Second)
	}
	is.Equal(decisions(arrive(g, 10, mesh.Bulk, 2*time.Second)), []decision{{Reject, 10, mesh.ReasonOverload}})
	is.Equal(decisions(arrive(g, 11, mesh.Critical, time.Second)), []decision{{Reject, 2, mesh.ReasonOverload}})
	is.Equal(decisions(arrive(g, 12, mesh.Critical, time.Second)), []decision{{Reject, 3, mesh.ReasonOverload}})
	is.Equal(decisions(arrive(g, 13, mesh.Critical, 900*ms)), []decision{{Reject, 12, mesh.ReasonOverload}})
	is.Equal(decisions(arrive(g, 14, mesh.Normal, 900*ms)), []decision{{Reject, 14, mesh.ReasonOverload}})
}

// Guards against dispatching or queueing calls that would end after their
// deadline.
func TestDeadlineThatCannotBeMet(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	is.Equal(decisions(arrive(g, 1, mesh.Normal, 9*ms)), []decision{{Reject, 1, mesh.ReasonDeadline}})
	is.Equal(decisions(arrive(g, 2, mesh.Normal, 10*ms)), []decision{{Dispatch, 2, 0}})
	is.Equal(decisions(arrive(g, 3, mesh.Normal, 19*ms)), []decision{{Reject, 3, mesh.ReasonDeadline}})
	is.Equal(len(arrive(g, 4, mesh.Normal, 25*ms)), 0)
	is.Equal(len(arrive(g, 5, mesh.Normal, 40*ms)), 0)
	is.Equal(len(g.Tick(start.Add(15*ms), nil)), 0)
	is.Equal(decisions(g.Tick(start.Add(16*ms), nil)), []decision{{Reject, 4, mesh.ReasonDeadline}})
	is.Equal(decisions(g.Done(start.Add(35*ms), 2, NotStarted, nil)), []decision{{Reject, 5, mesh.ReasonDeadline}})
}

// Guards against a service time estimate that does not follow the instance.
func TestServiceTimeIsLearned(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	for id := range mesh.CallID(200) {
		arrive(g, id, mesh.Normal, time.Second)
		g.Done(start.Add(100*ms), id, Finished, nil)
	}
	is.Equal(decisions(arrive(g, 1000, mesh.Normal, 90*ms)), []decision{{Reject, 1000, mesh.ReasonDeadline}})
}

// Guards against a draining instance that accepts new calls or is given queued
// ones, which its backend server would refuse, and against a drain that is
// reported as complete before the last call has ended.
func TestInstanceDrain(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	arrive(g, 1, mesh.Normal, time.Second)
	arrive(g, 2, mesh.Normal, time.Second)
	is.Equal(decisions(g.SetInstance(start, Instance{ID: inst, Slots: 1, Draining: true}, nil)),
		[]decision{{Reject, 2, mesh.ReasonDraining}})
	is.Equal(decisions(arrive(g, 3, mesh.Normal, time.Second)), []decision{{Reject, 3, mesh.ReasonDraining}})
	is.Equal(decisions(g.Done(start, 1, Finished, nil)), []decision{{InstanceEmpty, 0, 0}})
	is.Equal(len(g.SetInstance(start, Instance{ID: inst, Slots: 1, Draining: true}, nil)), 0) // the drain is reported only once
}

// Guards against a node that exits while accepted calls are queued or in flight.
func TestNodeDrain(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	for id := range mesh.CallID(3) {
		arrive(g, id, mesh.Normal, time.Second)
	}
	is.Equal(len(g.Drain(start, nil)), 0)
	is.Equal(decisions(arrive(g, 9, mesh.Normal, time.Second)), []decision{{Reject, 9, mesh.ReasonDraining}})
	is.Equal(decisions(g.Done(start, 0, Finished, nil)), []decision{{Dispatch, 1, 0}})
	out, queued := g.Cancel(start, 2, nil)
	is.True(queued)
	is.Equal(len(out), 0)
	is.True(!g.Empty())
	is.Equal(decisions(g.Done(start, 1, Lost, nil)), []decision{{NodeEmpty, 0, 0}})
	is.True(g.Empty())
	is.Equal(decisions(New(Limits{}).Drain(start, nil)), []decision{{NodeEmpty, 0, 0}})
}

// Guards against a cancelled call that is dispatched, or that frees the slot
// of a call still running.
func TestCancel(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	arrive(g, 1, mesh.Normal, time.Second)
	arrive(g, 2, mesh.Normal, time.Second)
	_, queued := g.Cancel(start, 1, nil)
	is.True(!queued) // in flight
	_, queued = g.Cancel(start, 2, nil)
	is.True(queued)
	is.Equal(len(g.Done(start, 1, Finished, nil)), 0)
	is.Equal(len(g.Done(start, 1, Finished, nil)), 0) // a repeated report releases no slot
	is.Equal(g.Load(inst), mesh.Load{Slots: 1})
}

// Guards against an exclusive call that runs next to another call, and against one
// that is starved by a steady flow of calls.
func TestExclusiveCallRunsAlone(t *testing.T) {
	is := is.New(t)
	g := newGate(2, 8)
	arrive(g, 1, mesh.Normal, time.Second)
	suspect := Call{ID: 2, Instance: inst, Priority: mesh.Normal, Deadline: start.Add(500 * ms), Exclusive: true}
	is.Equal(len(g.Arrive(start, suspect, nil)), 0)
	is.Equal(len(arrive(g, 3, mesh.Normal, time.Second)), 0) // queued behind the exclusive call though a slot is free
	is.Equal(decisions(g.Done(start, 1, Finished, nil)), []decision{{Dispatch, 2, 0}})
	is.Equal(len(arrive(g, 4, mesh.Normal, time.Second)), 0)
	is.Equal(decisions(g.Done(start, 2, Finished, nil)), []decision{{Dispatch, 3, 0}, {Dispatch, 4, 0}})
}

// Guards against one crash that is counted twice, against a suspect list without
// the calls whose connections broke first, and against calls that are dispatched
// to a crashed instance.
func TestCrash(t *testing.T) {
	is := is.New(t)
	g := newGate(3, 8)
	for id := mesh.CallID(1); id <= 4; id++ {
		arrive(g, id, mesh.Normal, time.Second)
	}
	g.Done(start, 1, Lost, nil) // its slot goes to call 4
	arrive(g, 5, mesh.Normal, time.Second)
	suspects, out := g.Crashed(start, 2, nil, nil)
	is.Equal(suspects, []mesh.Fingerprint{2, 3, 4, 1})
	is.Equal(decisions(out), []decision{{Reject, 5, mesh.ReasonConnectionLost}})
	suspects, out = g.Crashed(start, 3, nil, nil)
	is.Equal(len(suspects)+len(out), 0)
	is.Equal(decisions(arrive(g, 6, mesh.Normal, time.Second)), []decision{{Reject, 6, mesh.ReasonNoTarget}})
	g.SetInstance(start, Instance{ID: inst, Slots: 3}, nil)
	is.Equal(decisions(arrive(g, 7, mesh.Normal, time.Second)), []decision{{Dispatch, 7, 0}})
	suspects, _ = g.Crashed(start, 4, nil, nil) // a late report of the first crash
	is.Equal(len(suspects), 0)
	is.Equal(g.Load(inst).InUse, uint16(1))
}

// Guards against a suspect that alone is charged with a crash because the calls
// lost while the process was crashing had already been reported.
func TestSuspectSharesCrashWithRecentlyLostCalls(t *testing.T) {
	is := is.New(t)
	g := newGate(2, 8)
	suspect := Call{ID: 2, Instance: inst, Deadline: start.Add(time.Minute), Fingerprint: 2, Exclusive: true}
	arrive(g, 1, mesh.Normal, time.Second)
	g.Done(start, 1, Lost, nil)
	is.Equal(decisions(g.Arrive(start.Add(lostWindow), suspect, nil)), []decision{{Dispatch, 2, 0}})
	suspects, _ := g.Crashed(start.Add(5*time.Second), 2, nil, nil) // a late report
	is.Equal(suspects, []mesh.Fingerprint{2, 1})
	g.SetInstance(start, Instance{ID: inst, Slots: 2}, nil)
	g.Arrive(start.Add(10*time.Second), suspect, nil)
	suspects, _ = g.Crashed(start.Add(10*time.Second), 2, nil, nil)
	is.Equal(suspects, []mesh.Fingerprint{2})
}

// Guards against queued calls without an answer and calls in flight that are
// forgotten when the lease of their instance expires.
func TestRemoveInstance(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	arrive(g, 1, mesh.Normal, time.Second)
	arrive(g, 2, mesh.Normal, time.Second)
	is.Equal(decisions(g.RemoveInstance(start, inst, nil)), []decision{{Reject, 2, mesh.ReasonNoTarget}})
	is.Equal(decisions(arrive(g, 3, mesh.Normal, time.Second)), []decision{{Reject, 3, mesh.ReasonNoTarget}})
	is.True(!g.Empty())
	is.Equal(len(g.Done(start, 1, Finished, nil)), 0)
	is.True(g.Empty())
}
