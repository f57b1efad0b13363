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

// arrive passes a call whose deadline lies the given time after the start.
func arrive(g *Gate, id mesh.CallID, p mesh.Priority, deadline time.Duration) []Effect {
	return g.Arrive(start, Call{ID: id, Instance: inst, Priority: p, Deadline: start.Add(deadline),
		Fingerprint: mesh.Fingerprint(id)}, nil)
}

// want is the essential part of an effect.
type want struct {
	action Action
	call   mesh.CallID
	reason mesh.Reason
}

func got(effects []Effect) []want {
	list := []want{}
	for _, e := range effects {
		list = append(list, want{e.Action, e.Call, e.Reason})
	}
	return list
}

// Guards against a queue that ignores priority, deadline or order of arrival.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	is.Equal(got(arrive(g, 1, mesh.Normal, time.Second)), []want{{Dispatch, 1, 0}})
	arrive(g, 2, mesh.Bulk, 300*ms)
	arrive(g, 3, mesh.Normal, 500*ms)
	arrive(g, 4, mesh.Normal, 400*ms)
	arrive(g, 5, mesh.Normal, 400*ms)
	arrive(g, 6, mesh.Critical, time.Second)
	is.Equal(g.Load(inst), mesh.Load{Slots: 1, InUse: 1, Queued: 5})
	running := mesh.CallID(1)
	for _, next := range []mesh.CallID{6, 4, 5, 3, 2} {
		is.Equal(got(g.Done(start, running, Finished, nil)), []want{{Dispatch, next, 0}})
		running = next
	}
}

// Guards against more urgent work being refused while less urgent work waits.
func TestFullQueueShedsLeastUrgent(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 3)
	for id, p := range []mesh.Priority{mesh.Normal, mesh.Bulk, mesh.Normal, mesh.Critical} {
		arrive(g, mesh.CallID(id+1), p, time.Second)
	}
	is.Equal(got(arrive(g, 10, mesh.Bulk, 2*time.Second)), []want{{Reject, 10, mesh.ReasonOverload}})
	is.Equal(got(arrive(g, 11, mesh.Critical, time.Second)), []want{{Reject, 2, mesh.ReasonOverload}})
	is.Equal(got(arrive(g, 12, mesh.Critical, time.Second)), []want{{Reject, 3, mesh.ReasonOverload}})
	is.Equal(got(arrive(g, 13, mesh.Critical, 900*ms)), []want{{Reject, 12, mesh.ReasonOverload}})
	is.Equal(got(arrive(g, 14, mesh.Normal, 900*ms)), []want{{Reject, 14, mesh.ReasonOverload}})
}

// Guards against work on calls whose answer would come too late.
func TestDeadlineThatCannotBeMet(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	is.Equal(got(arrive(g, 1, mesh.Normal, 9*ms)), []want{{Reject, 1, mesh.ReasonDeadline}})
	is.Equal(got(arrive(g, 2, mesh.Normal, 10*ms)), []want{{Dispatch, 2, 0}})
	is.Equal(got(arrive(g, 3, mesh.Normal, 19*ms)), []want{{Reject, 3, mesh.ReasonDeadline}})
	is.Equal(len(arrive(g, 4, mesh.Normal, 25*ms)), 0)
	is.Equal(len(arrive(g, 5, mesh.Normal, 40*ms)), 0)
	is.Equal(len(g.Tick(start.Add(15*ms), nil)), 0)
	is.Equal(got(g.Tick(start.Add(16*ms), nil)), []want{{Reject, 4, mesh.ReasonDeadline}})
	is.Equal(got(g.Done(start.Add(35*ms), 2, NotStarted, nil)), []want{{Reject, 5, mesh.ReasonDeadline}})
}

// Guards against a service time estimate that does not follow the instance.
func TestServiceTimeIsLearned(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	for id := range mesh.CallID(200) {
		arrive(g, id, mesh.Normal, time.Second)
		g.Done(start.Add(100*ms), id, Finished, nil)
	}
	is.Equal(got(arrive(g, 1000, mesh.Normal, 90*ms)), []want{{Reject, 1000, mesh.ReasonDeadline}})
}

// Guards against an instance drain that takes new work, runs queued work in a
// backend server that refuses it, or is reported before the last call ended.
func TestInstanceDrain(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	arrive(g, 1, mesh.Normal, time.Second)
	arrive(g, 2, mesh.Normal, time.Second)
	is.Equal(got(g.SetInstance(start, Instance{ID: inst, Slots: 1, Draining: true}, nil)),
		[]want{{Reject, 2, mesh.ReasonDraining}})
	is.Equal(got(arrive(g, 3, mesh.Normal, time.Second)), []want{{Reject, 3, mesh.ReasonDraining}})
	is.Equal(got(g.Done(start, 1, Finished, nil)), []want{{InstanceEmpty, 0, 0}})
	is.Equal(len(g.SetInstance(start, Instance{ID: inst, Slots: 1, Draining: true}, nil)), 0) // once
}

// Guards against a node that exits while accepted calls wait or run.
func TestNodeDrain(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	for id := range mesh.CallID(3) {
		arrive(g, id, mesh.Normal, time.Second)
	}
	is.Equal(len(g.Drain(start, nil)), 0)
	is.Equal(got(arrive(g, 9, mesh.Normal, time.Second)), []want{{Reject, 9, mesh.ReasonDraining}})
	is.Equal(got(g.Done(start, 0, Finished, nil)), []want{{Dispatch, 1, 0}})
	out, queued := g.Cancel(start, 2, nil)
	is.True(queued)
	is.Equal(len(out), 0)
	is.True(!g.Empty())
	is.Equal(got(g.Done(start, 1, Lost, nil)), []want{{NodeEmpty, 0, 0}})
	is.True(g.Empty())
	is.Equal(got(New(Limits{}).Drain(start, nil)), []want{{NodeEmpty, 0, 0}})
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
	is.Equal(len(g.Done(start, 1, Finished, nil)), 0) // a second report releases nothing
	is.Equal(g.Load(inst), mesh.Load{Slots: 1})
}

// Guards against a suspect that runs next to another call, and against one
// that waits for ever behind a steady flow of calls.
func TestExclusiveCallRunsAlone(t *testing.T) {
	is := is.New(t)
	g := newGate(2, 8)
	arrive(g, 1, mesh.Normal, time.Second)
	suspect := Call{ID: 2, Instance: inst, Priority: mesh.Normal, Deadline: start.Add(500 * ms), Exclusive: true}
	is.Equal(len(g.Arrive(start, suspect, nil)), 0)
	is.Equal(len(arrive(g, 3, mesh.Normal, time.Second)), 0) // held back though a slot is free
	is.Equal(got(g.Done(start, 1, Finished, nil)), []want{{Dispatch, 2, 0}})
	is.Equal(len(arrive(g, 4, mesh.Normal, time.Second)), 0)
	is.Equal(got(g.Done(start, 2, Finished, nil)), []want{{Dispatch, 3, 0}, {Dispatch, 4, 0}})
}

// Guards against one crash that is counted twice, against a suspect list
// without the calls whose connections broke first, and against calls that go
// to a dead instance.
func TestCrash(t *testing.T) {
	is := is.New(t)
	g := newGate(3, 8)
	for id := mesh.CallID(1); id <= 4; id++ {
		arrive(g, id, mesh.Normal, time.Second)
	}
	g.Done(start, 1, Lost, nil) // its slot goes to call 4
	arrive(g, 5, mesh.Normal, time.Second)
	f, out := g.Crashed(start, 2, nil, nil)
	is.Equal(f, []mesh.Fingerprint{2, 3, 4, 1})
	is.Equal(got(out), []want{{Reject, 5, mesh.ReasonConnectionLost}})
	f, out = g.Crashed(start, 3, nil, nil)
	is.Equal(len(f)+len(out), 0)
	is.Equal(got(arrive(g, 6, mesh.Normal, time.Second)), []want{{Reject, 6, mesh.ReasonNoTarget}})
	g.SetInstance(start, Instance{ID: inst, Slots: 3}, nil)
	is.Equal(got(arrive(g, 7, mesh.Normal, time.Second)), []want{{Dispatch, 7, 0}})
	f, _ = g.Crashed(start, 4, nil, nil) // a late report of the first crash
	is.Equal(len(f), 0)
	is.Equal(g.Load(inst).InUse, uint16(1))
}

// Guards against a suspect that is charged alone for a crash because the calls
// lost with the dying process had already been reported.
func TestCallOfDyingProcessIsNotAlone(t *testing.T) {
	is := is.New(t)
	g := newGate(2, 8)
	suspect := Call{ID: 2, Instance: inst, Deadline: start.Add(time.Minute), Fingerprint: 2, Exclusive: true}
	arrive(g, 1, mesh.Normal, time.Second)
	g.Done(start, 1, Lost, nil)
	is.Equal(got(g.Arrive(start.Add(lostWindow), suspect, nil)), []want{{Dispatch, 2, 0}})
	f, _ := g.Crashed(start.Add(5*time.Second), 2, nil, nil) // a late report
	is.Equal(f, []mesh.Fingerprint{2, 1})
	g.SetInstance(start, Instance{ID: inst, Slots: 2}, nil)
	g.Arrive(start.Add(10*time.Second), suspect, nil)
	f, _ = g.Crashed(start.Add(10*time.Second), 2, nil, nil)
	is.Equal(f, []mesh.Fingerprint{2})
}

// Guards against calls that are left without an answer when the lease ends.
func TestRemoveInstance(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	arrive(g, 1, mesh.Normal, time.Second)
	arrive(g, 2, mesh.Normal, time.Second)
	is.Equal(got(g.RemoveInstance(start, inst, nil)), []want{{Reject, 2, mesh.ReasonNoTarget}})
	is.Equal(got(arrive(g, 3, mesh.Normal, time.Second)), []want{{Reject, 3, mesh.ReasonNoTarget}})
	is.True(!g.Empty())
	is.Equal(len(g.Done(start, 1, Finished, nil)), 0)
	is.True(g.Empty())
}
