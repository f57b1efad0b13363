package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// withHealthPath is a configuration whose instances can be probed.
func withHealthPath(t *testing.T) *catalog.Snapshot {
	t.Helper()
	s := snapshot(t, 5)
	services := []catalog.Service{{Name: "s", HealthPath: "/health"}}
	s, err := catalog.Build(s.Version, s.Routes, services, s.Limits)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// earlier is the record of the rig's host by its earlier process.
func earlier(sequence uint64, i MemberInstance) Member {
	m := remote("h0", i.ID, sequence)
	m.Incarnation = 50
	i.Service, i.Slots, i.Version = "s", 2, "v1"
	m.Instance = &i
	return m
}

func (r *rig) gateAction(id mesh.CallID, instance mesh.InstanceID) GateAction {
	r.Helper()
	return r.step(GateArrived{Call: id, Instance: instance, TimeLeft: time.Second, TimeToTarget: time.Second}).Gates[0].Action
}

// Guards against a restarted node that serves nothing until its instance's next
// heartbeat, and against a heartbeat that ends the requests in progress.
func TestRestartedNodeAdoptsItsInstance(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	out := r.step(MembersSeen{Members: []Member{earlier(9, MemberInstance{ID: "i0", Born: 7})}})
	is.Equal(len(out.Probes), 0) // the path is not known yet
	out = r.step(ConfigurationSeen{withHealthPath(t)})
	is.Equal(out.Probes, []InstanceProbe{{ID: "i0", Path: "/health"}})
	out = r.step(InstanceProbed{ID: "i0", Serving: true})
	is.True(out.Announce)
	is.Equal(string(r.node.Self().Instance.ID), "i0")
	is.Equal(r.node.Self().Incarnation, mesh.Incarnation(100))
	is.Equal(r.gateAction(1, "i0"), GateDispatch)
	r.report(InstanceReported{ID: "i0", Born: 7, Sequence: 3})
	r.step(GateDone{Call: 1, Result: GateAnswered})
	is.Equal(r.node.LocalLoad(), mesh.Load{Slots: 2})
}

// Guards against the adoption of an instance that doesn't serve, or that has left
// while it was being asked.
func TestNothingIsAdoptedWithoutTheInstancesWord(t *testing.T) {
	is := is.New(t)
	for _, events := range [][]Event{
		{},
		{InstanceProbed{ID: "i0", Serving: false}},
		{InstanceProbed{ID: "i9", Serving: true}},
		{InstanceLeft{ID: "i0"}, InstanceProbed{ID: "i0", Serving: true}},
		{MembersSeen{Members: []Member{earlier(10, MemberInstance{ID: "i0", Left: true, Closed: true})}}, InstanceProbed{ID: "i0", Serving: true}},
		{InstanceLeft{ID: "i0"}, MembersSeen{Members: []Member{earlier(10, MemberInstance{ID: "i0"})}}, InstanceProbed{ID: "i0", Serving: true}},
	} {
		r := newRig(t)
		r.step(ConfigurationSeen{withHealthPath(t)})
		r.step(MembersSeen{Members: []Member{earlier(9, MemberInstance{ID: "i0"})}})
		for _, e := range events {
			r.step(e)
		}
		is.Equal(r.gateAction(1, "i0"), GateReject)
	}
	r := newRig(t)
	r.step(ConfigurationSeen{withHealthPath(t)})
	out := r.step(MembersSeen{Members: []Member{earlier(9, MemberInstance{ID: "i0", Closed: true})}})
	is.Equal(len(out.Probes), 0) // one that was closed is left alone
}

// Guards against a late heartbeat that brings back an instance which had told an
// earlier process, or this one before its first heartbeat, that it leaves.
func TestLateHeartbeatBringsNoLeaverBack(t *testing.T) {
	is := is.New(t)
	born := int64(start) / int64(time.Millisecond)
	told := []Event{
		MembersSeen{Members: []Member{earlier(9, MemberInstance{ID: "i0", Left: true, Closed: true, Born: born})}},
		InstanceLeft{ID: "i0", Born: born},
		InstanceLeft{ID: "i0"},
	}
	for _, e := range told {
		for _, lateFirst := range []bool{false, true} {
			r := newRig(t)
			late := InstanceReported{ID: "i0", Service: "s", Slots: 2, Born: born, Sequence: 3}
			events := []Event{e, late}
			if lateFirst {
				events = []Event{late, e}
			}
			for _, e := range events {
				r.step(e)
			}
			is.Equal(r.gateAction(1, "i0"), GateReject)
			is.True(r.node.Self().Instance.Left) // the next process learns it too
			late.Born, late.Sequence = born+1000, 1
			r.step(late) // it has started again
			is.Equal(r.gateAction(2, "i0"), GateDispatch)
		}
	}
}

// Guards against a record of the earlier process that is lost because a peer has
// heard of the new one.
func TestPeerTellsTheEarlierRecord(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	old, next := remote("h1", "i1", 4), remote("h1", "", 1)
	next.Incarnation, next.Instance = 2, nil
	r.step(MembersSeen{Members: []Member{old}})
	is.Equal(r.node.PreviousRecord(&next), old)
	r.step(MembersSeen{Members: []Member{next}})
	is.Equal(r.node.PreviousRecord(&next), Member{})
}
