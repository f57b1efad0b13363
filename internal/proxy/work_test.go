package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

// Guards against clients that are told to retry before the gates expect room, and against
// a node without predicted work that uses what another node reports.
func TestRetryAfterFollowsTheExpectedRoom(t *testing.T) {
	is := is.New(t)
	for _, workAware := range []bool{true, false} {
		tn := newTestNode(t)
		tn.node = New(start, Settings{
			Host: "h0", Domain: "a", ForwardAddr: "h0:1", PeerAddr: "h0:2", Service: "s", Incarnation: 100, WorkAware: workAware,
			Repeats: retry.WindowBudget{Ratio: 0.2, Extra: 60, Span: 10 * time.Second},
		})
		tn.withConfigAndMembers()
		e := tn.call(1, "/read/1")
		for e.Action == CallForward {
			e = tn.endAttempt(e, AttemptDone{
				Outcome: mesh.NotRun, Reason: mesh.ReasonOverload, Load: mesh.Load{Slots: 2, InUse: 2}, HasLoad: true,
				StartsIn: 260 * ms, HasStartsIn: true,
			})
		}
		is.Equal(e.Outcome, mesh.NotRun)
		is.Equal(e.RetryAfter >= 260*ms, workAware)
		is.True(e.RetryAfter <= time.Second/3) // a third of the time that the client has left
	}
}
