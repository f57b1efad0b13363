package moves

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against states that are sent with every tick because the caller sets
// its unchanged links again, and against a new child that waits for its states.
func TestStatesAreRepeatedAtTheirInterval(t *testing.T) {
	is := is.New(t)
	r := New(Config{Host: "a-1", Domain: "a", Incarnation: 1})
	now := mesh.Time(time.Hour)
	var out Effects
	r.Message(now, "b-1", &Message{States: []MoveState{{
		ID: "m", Service: "s", From: "1", To: "2", State: Running, Step: 1, Started: now, Deadline: now.Add(time.Hour),
	}}}, &out)
	children := []mesh.HostID{"a-2"}
	tick := func() int {
		out.Reset()
		r.SetLinks(Links{Children: children})
		r.Tick(now, &out)
		now = now.Add(10 * time.Millisecond)
		return len(out.Sends)
	}
	sends := 0
	for range int(5 * repeatInterval / (10 * time.Millisecond)) {
		sends += tick()
	}
	is.Equal(sends, 5)
	children[0] = "a-3" // the caller may reuse its slice
	is.Equal(tick(), 1)
	is.Equal(out.Sends[0].To, mesh.HostID("a-3"))
	is.Equal(tick(), 0)
}

// Guards against evidence on the new version that waits as long as evidence on
// the old version alone may.
func TestOnlyOldEvidenceWaits(t *testing.T) {
	is := is.New(t)
	r, out := follower(state(1, Running, 500))
	r.SetLinks(Links{Parent: "host-0"})
	sent := func(now mesh.Time, v mesh.BackendVersion) int {
		r.Record(now, callTo(v))
		out.Reset()
		r.flush(now, out)
		evidence := 0
		for i := range out.Sends {
			evidence += len(out.Sends[i].Message.Evidence)
		}
		return evidence
	}
	is.Equal(sent(start, "v1"), 1)
	is.Equal(sent(start.Add(flushInterval), "v1"), 0)
	is.Equal(sent(start.Add(idleInterval), "v1"), 1)
	is.Equal(sent(start.Add(idleInterval+flushInterval), "v2"), 1)
}
