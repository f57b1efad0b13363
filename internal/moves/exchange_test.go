package moves

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against resending the states with every tick because the caller sets
// equal links each time, and against a new child that has to wait for the next
// resend.
func TestStatesAreResentAtTheirInterval(t *testing.T) {
	is := is.New(t)
	r := New(Config{Host: "a-1", Domain: "a", Incarnation: 1})
	now := mesh.Time(time.Hour)
	var out Effects
	r.Message(now, "b-1", &Message{States: []MoveState{{
		ID: "m", Service: "s", From: "1", To: "2", State: Running, Step: 1, Started: now, Deadline: now.Add(time.Hour),
	}}}, &out)
	children := []mesh.HostID{"a-2"}
	sendsOfTick := func() int {
		out.Reset()
		r.SetLinks(Links{Children: children})
		r.Tick(now, &out)
		now = now.Add(10 * time.Millisecond)
		return len(out.Sends)
	}
	sends := 0
	for range int(5 * resendInterval / (10 * time.Millisecond)) {
		sends += sendsOfTick()
	}
	is.Equal(sends, 5)
	children[0] = "a-3" // SetLinks must copy the slice
	is.Equal(sendsOfTick(), 1)
	is.Equal(out.Sends[0].To, mesh.HostID("a-3"))
	is.Equal(sendsOfTick(), 0)
}

// Guards against delaying evidence on the new version for as long as evidence on
// the old version alone.
func TestOnlyOldVersionEvidenceIsDelayed(t *testing.T) {
	is := is.New(t)
	r, out := newFollower(stateOf(1, Running, 500))
	r.SetLinks(Links{Parent: "host-0"})
	reportsSent := func(now mesh.Time, v mesh.BackendVersion) int {
		r.Record(now, callTo(v))
		out.Reset()
		r.flushMessages(now, out)
		reports := 0
		for i := range out.Sends {
			reports += len(out.Sends[i].Message.Evidence)
		}
		return reports
	}
	is.Equal(reportsSent(startTime, "v1"), 1)
	is.Equal(reportsSent(startTime.Add(flushInterval), "v1"), 0)
	is.Equal(reportsSent(startTime.Add(oldOnlyInterval), "v1"), 1)
	is.Equal(reportsSent(startTime.Add(oldOnlyInterval+flushInterval), "v2"), 1)
}
