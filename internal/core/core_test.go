package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/publish"
)

func newReadyGroup(t testing.TB) *nodeGroup {
	return newReadyGroupOn(t, "ifrane-1", "ifrane-2", "azrou-1", "azrou-2")
}

// newReadyGroupOn starts nodes with a backend server each and applies testConfig.
func newReadyGroupOn(t testing.TB, hosts ...string) *nodeGroup {
	t.Helper()
	g := newNodeGroup(t, hosts...)
	g.run(3 * time.Second)
	for _, h := range g.hosts {
		g.announce(h, "v1")
	}
	if r := g.apply("ifrane-1", 0, "op-1"); r.Publish == nil || r.Publish.Status != publish.Done {
		t.Fatalf("apply: %+v", r)
	}
	g.run(10 * time.Second)
	return g
}

// Guards against an accepted configuration that is not in force on every node
// when the group is ready, 14 s after it was published, and against nodes that
// cannot route calls with it.
func TestAcceptedConfigurationServesCallsOnEveryNode(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	for i, h := range g.hosts {
		is.Equal(g.nodes[h].Applied(), mesh.ConfigVersion(1))
		is.Equal(g.lookup(h, mesh.CallID(i+1)).Action, CallRespond)
	}
}

// Guards against two operators publishing different configurations under one
// version number.
func TestConflictingApplyReturnsCurrentVersion(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	r := g.apply("azrou-1", 0, "op-2")
	is.Equal(r.Publish.Status, publish.Conflict)
	is.Equal(r.Publish.Version, mesh.ConfigVersion(1))
}

// Guards against a restarted node that applies an old version or rejects calls
// while the platform is unreachable.
func TestRestartedNodeRelaysUntilItsFloorIsKnown(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	for _, h := range g.hosts {
		g.platformDown[h] = true
	}
	g.start("azrou-1")
	g.run(5 * time.Second)
	is.Equal(g.nodes["azrou-1"].Applied(), mesh.ConfigVersion(0))
	is.Equal(g.lookup("azrou-1", 50).Action, CallRespond)
	for _, h := range g.hosts {
		delete(g.platformDown, h)
	}
	g.run(10 * time.Second)
	is.Equal(g.nodes["azrou-1"].Applied(), mesh.ConfigVersion(1))
}

// Guards against a non-idempotent request that runs twice because it is resent to
// another node, and against a resend that is reported as not run.
func TestResentOrderRunsOnce(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	g.executions = 0
	id := g.identity("ifrane")
	is.Equal(g.order("ifrane-1", 1, id).Action, CallRespond)
	for i, h := range g.hosts {
		r := g.order(h, mesh.CallID(10+i), id)
		is.Equal(r.Action, CallReject)
		is.Equal(r.Outcome, mesh.MayHaveRun)
		is.Equal(r.Reason, mesh.ReasonDuplicate)
	}
	is.Equal(g.executions, 1)
}

// Guards against a retry of a non-idempotent call whose connection to the backend
// server was lost, since it may have run.
func TestLostOrderIsNotRetried(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	g.executions = 0
	g.backend = func(string, mesh.BackendVersion) GateDone { return GateDone{Result: GateLost} }
	r := g.order("ifrane-1", 1, g.identity("ifrane"))
	is.Equal(r.Outcome, mesh.MayHaveRun)
	is.Equal(g.executions, 1)
}

// Guards against a resend that is rejected as a duplicate although no backend
// server ran the request.
func TestNotRunOrderMayBeResent(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	g.backend = func(string, mesh.BackendVersion) GateDone { return GateDone{Result: GateShed} }
	id := g.identity("azrou")
	is.Equal(g.order("azrou-1", 1, id).Outcome, mesh.NotRun)
	g.backend = nil
	is.Equal(g.order("ifrane-2", 2, id).Action, CallRespond)
}

// Guards against a graceful stop that ends while a call is in flight or never
// ends.
func TestDrainWaitsForCallsInFlight(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	g.backend = func(string, mesh.BackendVersion) GateDone { return GateDone{} }
	g.step("ifrane-2", Event{Kind: KindGateArrived, Gate: GateArrived{Call: 9999, Instance: "ifrane-2-v1", DeadlineMillis: 60_000}})
	g.backend = nil
	g.step("ifrane-2", Event{Kind: KindDrain})
	g.run(3 * time.Second)
	is.True(!g.drained["ifrane-2"])
	g.step("ifrane-2", Event{Kind: KindGateDone, GateDone: GateDone{Call: 9999, Result: GateAnswered}})
	g.run(time.Second)
	is.True(g.drained["ifrane-2"])
	for i := range 20 {
		is.Equal(g.lookup("ifrane-1", mesh.CallID(100+i)).Action, CallRespond)
	}
}

// Guards against calls that still fail, and claims that are still unavailable,
// after a dead node was detected.
func TestCallsSucceedAfterNodeDeath(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	g.nodes["azrou-2"] = nil
	g.run(12 * time.Second)
	for i := range 20 {
		is.Equal(g.lookup("azrou-1", mesh.CallID(i+1)).Action, CallRespond)
	}
	is.Equal(g.order("azrou-1", 100, g.identity("azrou")).Action, CallRespond)
}

// Guards against a request that crashes a backend server with each resend.
func TestCrashingRequestIsBlocked(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	g.backend = func(string, mesh.BackendVersion) GateDone {
		return GateDone{Result: GateLost, Crashed: true}
	}
	for i := range 6 {
		for _, h := range g.hosts {
			g.announce(h, "v1") // the crashed backend servers restart
		}
		is.Equal(g.lookup("ifrane-1", mesh.CallID(i+1)).Outcome, mesh.MayHaveRun)
	}
	is.Equal(g.executions, 2)
	g.run(5 * time.Second)
	is.Equal(g.lookup("azrou-1", 50).Reason, mesh.ReasonPoison)
}

// Guards against a gate that refuses the calls of a service because the same request has
// crashed backend servers of another service.
func TestCrashesOfOneServiceBlockNoCallsToAnother(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	n := g.nodes["ifrane-1"]
	announce := func(service mesh.Service) {
		g.step("ifrane-1", Event{Kind: KindAnnounced, Announcement: &Announcement{
			Instance: mesh.InstanceID(service), Service: service, Version: "v1", Addr: "ifrane-1:1", Slots: 9, LeaseMillis: 600_000,
		}})
	}
	step := func(ev Event) GateEffect {
		ev.Now, ev.Seed = g.now, 1
		var out Ready
		n.Step(&ev, &out)
		return out.Gates[0]
	}
	arrive := func(id mesh.CallID, service mesh.Service) GateEffect {
		return step(Event{Kind: KindGateArrived, Gate: GateArrived{Call: id, Instance: mesh.InstanceID(service), DeadlineMillis: 1000, Hash: 13}})
	}
	announce("depot")
	for id := range mesh.CallID(2) {
		announce("shop") // again after the crash
		is.Equal(arrive(id+1, "shop").Action, GateDispatch)
		step(Event{Kind: KindGateDone, GateDone: GateDone{Call: id + 1, Result: GateLost, Crashed: true}})
	}
	announce("shop")
	is.Equal(arrive(3, "shop").Reason, mesh.ReasonPoison)
	is.Equal(arrive(4, "depot").Action, GateDispatch)
}

// Guards against calls to a version that no move has started to use, and against
// a restarted node that sends calls to a version whose move was withdrawn.
func TestNewVersionGetsCallsOnlyFromMove(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	reached := map[mesh.BackendVersion]int{}
	g.backend = func(_ string, v mesh.BackendVersion) GateDone {
		reached[v]++
		return GateDone{Result: GateAnswered}
	}
	for _, h := range g.hosts {
		g.announce(h, "a2")
	}
	g.announce("azrou-1", "a2-more")
	g.run(3 * time.Second)
	lastCall := mesh.CallID(0)
	sendCalls := func(host string) {
		for range 20 {
			lastCall++
			g.step(host, Event{Kind: KindCallArrived, Call: CallArrived{Call: lastCall, Method: []byte("GET"), Path: []byte("/stock/7")}})
			g.run(20 * time.Millisecond)
		}
	}
	sendCalls("ifrane-1")
	is.Equal(reached, map[mesh.BackendVersion]int{"v1": 20})
	g.step("ifrane-1", Event{Kind: KindOperator, Operator: &OperatorRequest{ID: 1, StartMove: &StartMoveRequest{
		Move: "m1", Service: "stock", From: "v1", To: "a2", Deadline: g.now.Add(time.Hour),
	}}})
	g.run(2 * time.Second)
	is.Equal(g.replies[1].Err, "")
	g.step("ifrane-1", Event{Kind: KindOperator, Operator: &OperatorRequest{ID: 2, Withdraw: &WithdrawRequest{Move: "m1"}}})
	g.run(4 * time.Second)
	is.Equal(g.replies[2].Err, "")
	clear(reached)
	g.start("azrou-1")
	g.announce("azrou-1", "a2")
	for range 20 {
		sendCalls("azrou-1")
	}
	is.Equal(reached["a2"], 0)
}

// Guards against allocations of the entry node in the steps of a call.
func BenchmarkCallDecisions(b *testing.B) {
	g := newReadyGroup(b)
	n := g.nodes["ifrane-1"]
	var out Ready
	arrived := Event{Kind: KindCallArrived, Now: g.now, Call: CallArrived{Method: []byte("GET"), Path: []byte("/stock/7")}}
	done := Event{Kind: KindAttemptDone, Now: g.now, Attempt: AttemptDone{Attempt: 1, Outcome: mesh.Answered}}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		arrived.Call.Call, done.Attempt.Call = mesh.CallID(1_000_000+i), mesh.CallID(1_000_000+i)
		arrived.Seed, done.Seed = deriveSeed(uint64(i)), deriveSeed(uint64(i))
		n.Step(&arrived, &out)
		n.Step(&done, &out)
		out.Reset()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

// Guards against allocations of the gate in the steps of a call.
func BenchmarkGateDecisions(b *testing.B) {
	g := newReadyGroup(b)
	n := g.nodes["ifrane-1"]
	var out Ready
	arrived := Event{Kind: KindGateArrived, Now: g.now, Gate: GateArrived{Instance: "ifrane-1-v1", DeadlineMillis: 500}}
	done := Event{Kind: KindGateDone, Now: g.now, GateDone: GateDone{Result: GateAnswered}}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		arrived.Gate.Call, done.GateDone.Call = mesh.CallID(1_000_000+i), mesh.CallID(1_000_000+i)
		n.Step(&arrived, &out)
		n.Step(&done, &out)
		out.Reset()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

// Guards against an operator tool that cannot tell a conflict from an invalid
// command.
func TestRefusalsOfMovesAreClassified(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	start := func(id uint64, move mesh.MoveID, to mesh.BackendVersion) Refusal {
		g.step("ifrane-1", Event{Kind: KindOperator, Operator: &OperatorRequest{ID: id, StartMove: &StartMoveRequest{
			Move: move, Service: "stock", From: "v1", To: to, Deadline: g.now.Add(time.Hour),
		}}})
		g.run(2 * time.Second)
		return g.replies[id].Refusal
	}
	is.Equal(start(1, "m1", "v2"), RefusalNone)
	is.Equal(start(2, "m2", "v3"), RefusalConflict)
	is.Equal(start(3, "m3", "v1"), RefusalInvalid)
}

// BenchmarkIdleSecond reports the processor time of a node's ticks in one
// second without calls.
func BenchmarkIdleSecond(b *testing.B) {
	g := newReadyGroup(b)
	n := g.nodes["ifrane-1"]
	var out Ready
	for b.Loop() {
		for range int(time.Second / TickInterval) {
			g.now = g.now.Add(TickInterval)
			n.Step(&Event{Kind: KindTick, Now: g.now, Seed: deriveSeed(g.seed)}, &out)
			out.Reset()
		}
	}
}

// Guards against a request that is rejected as not run although an earlier send
// may have run. Before the verdict on its claim, that is certain only for a call
// without an identity.
func TestEarlyRejectionWithIdentityIsMayHaveRun(t *testing.T) {
	is := is.New(t)
	g := newReadyGroup(t)
	reject := func(id mesh.CallID, identity string) CallEffect {
		g.step("ifrane-1", Event{Kind: KindCallArrived, Call: CallArrived{
			Call: id, Method: []byte("POST"), Path: []byte("/nowhere"), RequestID: []byte(identity),
		}})
		return g.results[id]
	}
	is.Equal(reject(1, "").Outcome, mesh.NotRun)
	is.Equal(reject(2, g.identity("ifrane")).Outcome, mesh.MayHaveRun)
	is.Equal(g.results[2].Reason, mesh.ReasonNoRoute)
}
