package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against joining nodes that know few members and all send their
// heartbeats to the root, and against an assignment that does not expire.
func TestMisplacedChildIsReassigned(t *testing.T) {
	is := is.New(t)
	var records Batch
	for i := range 40 {
		records = append(records, Record{Host: mesh.HostID(fmt.Sprintf("d0-%03d", i)), Domain: "d0",
			ControlAddr: fmt.Sprintf("10.0.0.%d:7100", i), Incarnation: 1, Started: 1, State: Alive})
	}
	full := New(testSettings(0, 0, testEpoch))
	var out Output
	full.Receive(testEpoch, "d0-001", 1, &Message{Kind: KindDelta, Records: records}, &out)
	order := full.Members("d0")
	rootHost, leafHost, parentHost := order[0].Host, order[39].Host, order[(39-1)/FanOut].Host
	root, leaf := New(testSettingsFor(rootHost)), New(testSettingsFor(leafHost))
	root.Receive(testEpoch, "x", 1, &Message{Kind: KindDelta, Records: records}, &out)
	out.Reset()
	root.Receive(testEpoch, leafHost, 1, &Message{Kind: KindHeartbeat}, &out)
	is.Equal(out.Sends[0].Message.Assignment.Parent, parentHost)
	leaf.Receive(testEpoch, rootHost, 1, &Message{Kind: KindDelta, Records: Batch{*order[0], *order[1]}}, &Output{})
	initial, _ := leaf.Parent()
	is.Equal(initial, rootHost)
	leaf.Receive(testEpoch, rootHost, 1, &out.Sends[0].Message, &Output{})
	parent, ok := leaf.Parent()
	is.True(ok)
	is.Equal(parent, parentHost)
	leaf.Tick(testEpoch, 1, &Output{})
	leaf.Tick(testEpoch.Add(assignmentTimeout+time.Second), 1, &Output{})
	is.Equal(leaf.assigned.Parent, mesh.HostID(""))
}

func testSettingsFor(host mesh.HostID) Settings {
	return Settings{Host: host, Domain: "d0", ControlAddr: string(host) + ":7100", Incarnation: 2}
}
