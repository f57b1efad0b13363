package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against records of dead, left or forgotten members that are kept and
// sent for ever, and against a late message of an old process that revives a
// member after its record left the table. Without the retired record the late
// record would be accepted.
func TestRetiredMemberIsNotRevived(t *testing.T) {
	is := is.New(t)
	for _, state := range []State{Dead, Left, Forgotten} {
		n, out := New(testSettings(0, 0, testEpoch)), Output{}
		late := Record{Host: "x", Domain: "d0", ControlAddr: "x:1", Incarnation: 5, Started: 5, State: Alive, Revision: 9}
		ended := late.withState(testEpoch, state)
		n.Receive(testEpoch, "y", 1, &Message{Kind: KindDelta, Records: Batch{late, ended}}, &out)
		n.Tick(testEpoch, 1, &out)
		now := testEpoch.Add(retention)
		n.Tick(now, 1, &out)
		is.Equal(len(n.table.records), 1) // only the local one is left in the table
		is.Equal(n.table.domain("d0").hosts, []mesh.HostID{"d0-000"})
		is.Equal(n.Member("x").State, state)
		n.Receive(now, "x", 5, &Message{Kind: KindHeartbeat, Records: Batch{late}}, &out)
		is.True(!n.Member("x").Live())
		restarted := Record{Host: "x", Domain: "d0", Incarnation: 6, Started: 6, State: Alive}
		n.Receive(now, "x", 6, &Message{Kind: KindHeartbeat, Records: Batch{restarted}}, &out)
		is.True(n.Member("x").Live())
		n.Tick(now.Add(retention+retiredRetention), 1, &out)
		is.Equal(len(n.retired), 0)
	}
}

// Guards against a node that was partitioned for longer than retention and keeps
// a member alive whose record the other nodes have already retired.
func TestStalePeerIsCorrected(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(2)
	m.run(5 * time.Second)
	stale := Record{Host: "x", Domain: "d1", Incarnation: 5, Started: 5, State: Alive}
	var out Output
	m.nodes[0].Receive(m.now, "y", 1, &Message{Kind: KindDelta, Records: Batch{stale.withState(m.now.Add(-retention), Dead)}}, &out)
	m.nodes[1].replace(m.now, "", &stale, &out)
	m.run(10 * time.Second)
	is.True(!m.nodes[0].Member("x").Live())
	is.True(!m.nodes[1].Member("x").Live())
	is.True(m.converged())
}
