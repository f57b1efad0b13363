package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// snapshotWithHealthPath returns a configuration with a health path, so that instances
// can be probed.
func snapshotWithHealthPath(t *testing.T) *catalog.Snapshot {
	t.Helper()
	s := testSnapshot(t, 5)
	services := []catalog.Service{{Name: "s", HealthPath: "/health"}}
	s, err := catalog.Build(s.Version, s.Routes, services, s.Limits)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// predecessorRecord returns a record of the test node's host that its previous process
// published.
func predecessorRecord(sequence uint64, i MemberInstance) Member {
	m := remoteMember("h0", i.ID, sequence)
	m.Incarnation = 50
	i.Service, i.Slots, i.Version = "s", 2, "v1"
	m.Instance = &i
	return m
}

func (tn *testNode) arriveAtGate(id mesh.CallID, instance mesh.InstanceID) GateAction {
	tn.Helper()
	return tn.step(GateArrived{Call: id, Instance: instance, TimeLeft: time.Second, TimeToTarget: time.Second}).Gates[0].Action
}

// Guards against a restarted node that sends no requests to its running instance before
// the next heartbeat, and against that heartbeat ending the requests in progress.
func TestRestartedNodeAdoptsItsInstance(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	out := tn.step(MembersSeen{Members: []Member{predecessorRecord(9, MemberInstance{ID: "i0", Born: 7})}})
	is.Equal(len(out.Probes), 0) // the health path is not known yet
	out = tn.step(ConfigurationSeen{snapshotWithHealthPath(t)})
	is.Equal(out.Probes, []InstanceProbe{{ID: "i0", Path: "/health"}})
	out = tn.step(InstanceProbed{ID: "i0", Serving: true})
	is.True(out.Announce)
	is.Equal(string(tn.node.Self().Instance.ID), "i0")
	is.Equal(tn.node.Self().Incarnation, mesh.Incarnation(100))
	is.Equal(tn.arriveAtGate(1, "i0"), GateDispatch)
	tn.heartbeat(InstanceReported{ID: "i0", Born: 7, Sequence: 3})
	tn.step(GateDone{Call: 1, Result: GateAnswered})
	is.Equal(tn.node.LocalLoad(), mesh.Load{Slots: 2})
}

// Guards against the adoption of an instance that doesn't serve, or that has left while
// the probe was in progress.
func TestInstanceIsAdoptedOnlyAfterSuccessfulProbe(t *testing.T) {
	is := is.New(t)
	for _, events := range [][]Event{
		{},
		{InstanceProbed{ID: "i0", Serving: false}},
		{InstanceProbed{ID: "i9", Serving: true}},
		{InstanceLeft{ID: "i0"}, InstanceProbed{ID: "i0", Serving: true}},
		{MembersSeen{Members: []Member{predecessorRecord(10, MemberInstance{ID: "i0", Left: true, Closed: true})}}, InstanceProbed{ID: "i0", Serving: true}},
		{InstanceLeft{ID: "i0"}, MembersSeen{Members: []Member{predecessorRecord(10, MemberInstance{ID: "i0"})}}, InstanceProbed{ID: "i0", Serving: true}},
	} {
		tn := newTestNode(t)
		tn.step(ConfigurationSeen{snapshotWithHealthPath(t)})
		tn.step(MembersSeen{Members: []Member{predecessorRecord(9, MemberInstance{ID: "i0"})}})
		for _, e := range events {
			tn.step(e)
		}
		is.Equal(tn.arriveAtGate(1, "i0"), GateReject)
	}
	tn := newTestNode(t)
	tn.step(ConfigurationSeen{snapshotWithHealthPath(t)})
	out := tn.step(MembersSeen{Members: []Member{predecessorRecord(9, MemberInstance{ID: "i0", Closed: true, Left: true})}})
	is.Equal(len(out.Probes), 0) // an instance that has left is not probed
	tn = newTestNode(t)
	tn.step(ConfigurationSeen{snapshotWithHealthPath(t)})
	out = tn.step(MembersSeen{Members: []Member{predecessorRecord(9, MemberInstance{ID: "i0", Closed: true})}})
	is.Equal(len(out.Probes), 1) // one whose gate was closed otherwise may serve again
	is.Equal(tn.arriveAtGate(1, "i0"), GateReject)
	tn.step(InstanceProbed{ID: "i0", Serving: true})
	is.Equal(tn.arriveAtGate(2, "i0"), GateDispatch)
}

// Guards against a late heartbeat that revives an instance which has announced its exit
// to an earlier process, or to this one before its first heartbeat.
func TestLateHeartbeatDoesNotReviveInstanceThatLeft(t *testing.T) {
	is := is.New(t)
	born := int64(start) / int64(time.Millisecond)
	leaves := []Event{
		MembersSeen{Members: []Member{predecessorRecord(9, MemberInstance{ID: "i0", Left: true, Closed: true, Born: born})}},
		InstanceLeft{ID: "i0", Born: born},
		InstanceLeft{ID: "i0"},
	}
	for _, e := range leaves {
		for _, lateFirst := range []bool{false, true} {
			tn := newTestNode(t)
			tn.step(ConfigurationSeen{testSnapshot(t, 5)})
			late := InstanceReported{ID: "i0", Service: "s", Slots: 2, Born: born, Sequence: 3}
			events := []Event{e, late}
			if lateFirst {
				events = []Event{late, e}
			}
			for _, e := range events {
				tn.step(e)
			}
			is.Equal(tn.arriveAtGate(1, "i0"), GateReject)
			is.True(tn.node.Self().Instance.Left) // so that the next process learns it too
			late.Born, late.Sequence = born+1000, 1
			tn.step(late) // the instance was restarted
			is.Equal(tn.arriveAtGate(2, "i0"), GateDispatch)
		}
	}
}

// Guards against a late heartbeat that opens the gate of a restarted node for an instance
// whose exit the previous process has acknowledged. No record of that is left.
func TestHeartbeatAfterRestartOpensTheGateOnlyForAServingInstance(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	late := InstanceReported{ID: "i0", Born: 7, Sequence: 8}
	out := tn.heartbeat(late)
	is.Equal(len(out.Probes), 0) // the health path is not known yet
	is.True(out.Announce)        // hosts that start together need each other's records
	is.True(tn.node.Self().Instance.Closed)
	is.Equal(tn.arriveAtGate(1, "i0"), GateReject)
	out = tn.step(ConfigurationSeen{snapshotWithHealthPath(t)})
	is.Equal(out.Probes, []InstanceProbe{{ID: "i0", Path: "/health"}})
	tn.step(InstanceProbed{ID: "i0"})
	is.Equal(tn.arriveAtGate(2, "i0"), GateReject)

	// An instance that does serve is probed again with its next heartbeat.
	is.Equal(len(tn.heartbeat(InstanceReported{ID: "i0", Born: 7, Sequence: 9}).Probes), 1)
	is.Equal(len(tn.heartbeat(InstanceReported{ID: "i0", Born: 7, Sequence: 10}).Probes), 0) // one at a time
	is.Equal(tn.arriveAtGate(3, "i0"), GateReject)
	is.True(tn.step(InstanceProbed{ID: "i0", Serving: true}).Announce)
	is.Equal(tn.arriveAtGate(4, "i0"), GateDispatch)

	// The first instance serves until its successor is known to.
	is.Equal(len(tn.heartbeat(InstanceReported{ID: "i1", Born: 9, Sequence: 1}).Probes), 1)
	is.Equal(tn.arriveAtGate(5, "i0"), GateDispatch)
	is.Equal(tn.arriveAtGate(6, "i1"), GateReject)
	tn.step(InstanceProbed{ID: "i1", Serving: true})
	is.Equal(tn.arriveAtGate(7, "i1"), GateDispatch)
}

// Guards against a probe that was answered before the instance announced its exit, or a
// drain, and opens the gate afterwards.
func TestProbeDoesNotOutweighALaterLeave(t *testing.T) {
	is := is.New(t)
	for _, left := range []Event{
		InstanceLeft{ID: "i0", Born: 7},
		InstanceLeft{ID: "i0"},
		InstanceReported{ID: "i0", Service: "s", Slots: 2, Born: 7, Sequence: 9, Draining: true},
	} {
		tn := newTestNode(t)
		tn.step(ConfigurationSeen{snapshotWithHealthPath(t)})
		tn.heartbeat(InstanceReported{ID: "i0", Born: 7, Sequence: 8})
		tn.step(left)
		tn.step(InstanceProbed{ID: "i0", Serving: true})
		is.Equal(tn.arriveAtGate(1, "i0"), GateReject)
		tn.heartbeat(InstanceReported{ID: "i0", Born: 7, Sequence: 6})
		tn.step(InstanceProbed{ID: "i0", Serving: true})
		is.Equal(tn.arriveAtGate(2, "i0"), GateReject)
		is.True(tn.node.Self().Instance.Left)
	}
}

// Guards against a restarted host that can't get the record of its previous process from
// a peer. The peer returns it as long as it has no record of the new process.
func TestPreviousRecordOfRestartedHost(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	old, next := remoteMember("h1", "i1", 4), remoteMember("h1", "", 1)
	next.Incarnation, next.Instance = 2, nil
	tn.step(MembersSeen{Members: []Member{old}})
	is.Equal(tn.node.PreviousRecord(&next), old)
	tn.step(MembersSeen{Members: []Member{next}})
	is.Equal(tn.node.PreviousRecord(&next), Member{})
}
