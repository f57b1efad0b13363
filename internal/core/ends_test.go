package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against a call that never ends because the result of its attempt was
// lost, which would also block a graceful stop forever.
func TestCallWithoutResultEndsAtItsDeadline(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	g.dropResult = func() bool { return true }
	for id, c := range []CallArrived{{Method: []byte("GET"), Path: []byte("/stock/7")}, orderCall(0, g.identity("ifrane"))} {
		c.Call = mesh.CallID(id + 1)
		start := g.now
		g.send("ifrane-1", c)
		g.run(time.Second)
		is.Equal(g.results[c.Call].Outcome, mesh.MayHaveRun)
		is.Equal(g.results[c.Call].Reason, mesh.ReasonDeadline)
		is.True(g.endedAt[c.Call].Sub(start) <= 500*time.Millisecond+callEndGrace+expireInterval+TickInterval)
	}
	is.Equal(len(g.nodes["ifrane-1"].calls), 0)
}

// Guards against an attempt that starts after the deadline of its call because
// the claim was granted late.
func TestClaimGrantedAfterDeadlineIsNotUsed(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	g.executions = 0
	c := orderCall(1, g.identity("azrou")) // two hops in each direction take longer than 1 ms
	c.DeadlineMillis = 1
	g.send("ifrane-1", c)
	g.run(time.Second)
	is.Equal(g.results[1].Reason, mesh.ReasonDeadline)
	is.Equal(g.executions, 0)
}

// Guards against a relayed call that never ends because its peer cannot be
// reached, and against a graceful stop that does not wait for relayed calls
// (guarantee G9).
func TestRelayedCallGoesToAnotherPeer(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	for _, h := range g.hosts {
		g.platformDown[h] = true
	}
	g.start("azrou-1")
	g.run(5 * time.Second)
	g.partitioned = func(a, b string) bool { return a == "azrou-1" && b == "azrou-2" }
	is.Equal(g.lookup("azrou-1", 1).Action, CallRespond)
	g.partitioned = func(a, b string) bool { return a == "azrou-1" }
	is.Equal(g.lookup("azrou-1", 2).Outcome, mesh.NotRun)
	is.Equal(g.order("azrou-1", 3, g.identity("azrou")).Outcome, mesh.MayHaveRun)
	g.partitioned = nil
	g.serviceTime = func() time.Duration { return 300 * time.Millisecond }
	g.send("azrou-1", CallArrived{Call: 4, Method: []byte("GET"), Path: []byte("/stock/7")})
	is.Equal(len(g.nodes["azrou-1"].calls), 1) // checkDrained waits for it
	g.run(time.Second)
	is.Equal(g.results[4].Action, CallRespond)
	is.Equal(len(g.nodes["azrou-1"].calls), 0)
}
