package proxy

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

const (
	start = mesh.Time(time.Hour)
	ms    = time.Millisecond
)

// rig is a node with two remote hosts and an instance of its own.
type rig struct {
	*testing.T
	node *Node
	now  mesh.Time
	out  Ready
	seed uint64
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{T: t, now: start}
	r.node = New(start, Settings{
		Host: "h0", Domain: "a", ForwardAddr: "h0:1", PeerAddr: "h0:2", Service: "s", Incarnation: 100,
		Repeats: retry.WindowBudget{Ratio: 0.2, Extra: 60, Span: 10 * time.Second},
	})
	return r
}

func (r *rig) step(ev Event) *Ready {
	r.seed++
	r.out.Reset()
	r.node.Step(r.now, r.seed, ev, &r.out)
	return &r.out
}

func snapshot(t *testing.T, version mesh.ConfigVersion) *catalog.Snapshot {
	t.Helper()
	dest := []catalog.Destination{{Service: "s", Weight: 1}}
	s, err := catalog.Build(version, []catalog.Route{
		{Name: "read", Host: "a", Prefix: "/read/", Idempotent: true, Timeout: time.Second, TargetLatency: 300 * ms, Attempts: 2, Rank: 2, Destinations: dest},
		{Name: "book", Host: "a", Prefix: "/book/", Timeout: time.Second, TargetLatency: 300 * ms, Attempts: 2, Rank: 1, Destinations: dest},
	}, []catalog.Service{{Name: "s"}}, catalog.ClientLimits{})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func remote(host mesh.HostID, instance mesh.InstanceID, sequence uint64) Member {
	return Member{Host: host, Domain: "a", ForwardAddr: string(host) + ":1", PeerAddr: string(host) + ":2", Incarnation: 1, Sequence: sequence,
		Instance: &MemberInstance{ID: instance, Service: "s", Version: "v1", Slots: 2}}
}

func (r *rig) serving() *rig {
	r.step(ConfigurationSeen{snapshot(r.T, 5)})
	r.step(MembersSeen{Members: []Member{remote("h1", "i1", 1), remote("h2", "i2", 1), remote("h3", "i3", 1)}})
	return r
}

func (r *rig) call(id mesh.CallID, path string) CallEffect {
	r.Helper()
	out := r.step(CallArrived{Call: id, Host: "a", Path: path, Fingerprint: mesh.Fingerprint(id), Budget: time.Second})
	if len(out.Calls) != 1 {
		r.Fatalf("%d effects on a new call", len(out.Calls))
	}
	return out.Calls[0]
}

func (r *rig) done(e CallEffect, a AttemptDone) CallEffect {
	r.Helper()
	a.Call, a.Attempt = e.Call, e.Attempt
	out := r.step(a)
	if len(out.Calls) != 1 {
		r.Fatalf("%d effects after an attempt", len(out.Calls))
	}
	return out.Calls[0]
}

// Guards against a node without configuration that denies a route, and against
// refusals that tell the client nothing.
func TestNodeWithoutConfigurationAsksToComeBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	is.True(!r.node.Ready())
	arrived := CallArrived{Call: 1, Host: "a", Path: "/read/1", Budget: time.Second}
	is.Equal(len(r.step(arrived).Calls), 0) // the configuration may come any moment
	r.now = r.now.Add(configWait)
	e := r.step(Tick{}).Calls[0]
	is.Equal(e.Outcome, mesh.NotRun)
	is.Equal(e.Reason, mesh.ReasonNoConfiguration)
	is.True(e.RetryAfter > 0)
	r.now = r.now.Add(startupTime)
	arrived.Call = 3
	is.Equal(r.step(arrived).Calls[0].Reason, mesh.ReasonNoConfiguration) // no longer expected
	r.serving()
	is.True(r.node.Ready())
	is.Equal(r.call(2, "/other/1").Reason, mesh.ReasonNoRoute)
}

// Guards against requests that a restarted node refuses some milliseconds before
// it could serve them, and against one that is kept though its client has left.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.step(MembersSeen{Members: []Member{remote("h1", "i1", 1)}})
	for id := range mesh.CallID(2) {
		is.Equal(len(r.step(CallArrived{Call: id, Host: "a", Path: "/read/1", Budget: time.Second}).Calls), 0)
	}
	r.step(CallCancelled{Call: 0})
	r.now = r.now.Add(100 * ms)
	out := r.step(ConfigurationSeen{snapshot(t, 5)})
	is.Equal(len(out.Calls), 1)
	is.Equal(out.Calls[0].Call, mesh.CallID(1))
	is.Equal(out.Calls[0].Action, CallForward)
	is.Equal(out.Calls[0].Deadline, r.now.Add(900*ms)) // the wait counts
}

// Guards against a node that returns to an older configuration.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	r.step(ConfigurationSeen{snapshot(t, 4)})
	is.Equal(r.node.Config().Version, mesh.ConfigVersion(5))
	r.step(ConfigurationSeen{snapshot(t, 9)})
	is.Equal(r.node.Config().Version, mesh.ConfigVersion(9))
}

// Guards against a request that waits at the first gate while others have free
// slots, and against one that never accepts to wait.
func TestAsksOtherGatesBeforeItWaits(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	e := r.call(1, "/read/1")
	asked := map[mesh.InstanceID]bool{}
	for range probesBeforeQueue {
		is.Equal(e.Action, CallForward)
		is.True(!e.MayQueue && !asked[e.Instance])
		asked[e.Instance] = true
		e = r.done(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload, Load: mesh.Load{Slots: 2, InUse: 2}, HasLoad: true})
	}
	is.True(e.MayQueue)
}

// Guards against a request that runs twice although it may run once at most, and
// against a refusal that says it has not run.
func TestLostNonIdempotentRequestIsNotRepeated(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	e := r.done(r.call(1, "/book/1"), AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true})
	is.Equal(e.Action, CallReject)
	is.Equal(e.Outcome, mesh.MayHaveRun)
	// One that no instance has seen is placed again.
	first := r.call(2, "/book/2")
	again := r.done(first, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost, HostFailed: true})
	is.Equal(again.Action, CallForward)
	is.True(again.Host != first.Host)
}

// Guards against an idempotent request that fails with its first instance, and
// against one that runs on more instances than its route allows.
func TestIdempotentRequestIsRepeatedWithinItsAttempts(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	r.now = r.now.Add(10 * time.Second) // the fixed part of the budget counts from here
	first := r.call(1, "/read/1")
	second := r.done(first, AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true})
	is.Equal(second.Action, CallForward)
	is.True(second.Instance != first.Instance)
	last := r.done(second, AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true})
	is.Equal(last.Action, CallReject)
	is.Equal(last.Outcome, mesh.MayHaveRun)
}

// Guards against a failing service that is flooded with repeats.
func TestRepeatsEndWithTheBudget(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	repeats := 0
	for id := mesh.CallID(1); id <= 500; id++ {
		e := r.call(id, "/read/1")
		e = r.done(e, AttemptDone{Outcome: mesh.Answered, Failed: true, Reached: true})
		if e.Action == CallForward {
			repeats++
			r.done(e, AttemptDone{Outcome: mesh.Answered, Failed: true, Reached: true})
		}
	}
	is.True(repeats > 0 && repeats <= int(0.2*500+60))
}

// Guards against answers within the target that are given up for requests whose
// clients come back after a refusal, and are late whatever happens.
func TestReturningRequestIsKnownToBeLate(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	fresh := r.call(1, "/read/1")
	is.Equal(fresh.TimeToTarget, 300*ms)
	out := r.step(CallArrived{Call: 2, Host: "a", Path: "/read/1", Fingerprint: 2, Budget: 600 * ms})
	is.Equal(out.Calls[0].TimeToTarget, -100*ms)
}

func (r *rig) report(e InstanceReported) *Ready {
	e.Service, e.Version, e.Slots = "s", "v1", 2
	return r.step(e)
}

// Guards against a late heartbeat that revives an instance or takes back its
// successor.
func TestLateHeartbeatsAreIgnored(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	r.report(InstanceReported{ID: "old", Born: 1000, Sequence: 9})
	r.report(InstanceReported{ID: "new", Born: 2000, Sequence: 1})
	r.report(InstanceReported{ID: "old", Born: 1000, Sequence: 10})
	is.Equal(string(r.node.Self().Instance.ID), "new")
	r.report(InstanceReported{ID: "new", Born: 2000, Sequence: 3, Draining: true})
	r.report(InstanceReported{ID: "new", Born: 2000, Sequence: 2})
	is.True(r.node.Self().Instance.Closed)
	r.report(InstanceReported{ID: "new", Born: 3000, Sequence: 1}) // started again under its name
	is.True(!r.node.Self().Instance.Closed)
	out := r.step(InstanceReported{ID: "x", Service: "other", Version: "v1", Slots: 2, Born: 9000, Sequence: 1})
	is.True(!out.Announce)
}

// Guards against work that reaches an instance after it has said that it drains.
func TestGateOfDrainingInstanceIsClosed(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	r.report(InstanceReported{ID: "i0", Born: 1, Sequence: 1})
	arrive := GateArrived{Call: 1, Instance: "i0", Route: "read", TimeLeft: time.Second, TimeToTarget: 300 * ms}
	is.Equal(r.step(arrive).Gates[0].Action, GateDispatch)
	out := r.report(InstanceReported{ID: "i0", Born: 1, Sequence: 2, Draining: true})
	is.True(out.Announce)
	arrive.Call = 2
	e := r.step(arrive).Gates[0]
	is.Equal(e.Action, GateReject)
	is.Equal(e.Reason, mesh.ReasonDraining)
}

// Guards against a stopping node that takes work it cannot finish, and that
// other nodes go on using.
func TestStoppingNode(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	r.report(InstanceReported{ID: "i0", Born: 1, Sequence: 1})
	r.step(Stop{Ends: r.now.Add(4 * time.Second)})
	is.True(!r.node.Ready())
	is.Equal(r.call(1, "/read/1").Action, CallForward) // ends in time
	arrive := GateArrived{Call: 3, Instance: "i0", TimeLeft: time.Second, TimeToTarget: time.Second}
	is.Equal(r.step(arrive).Gates[0].Action, GateDispatch) // clients are still on their way to other nodes
	r.now = r.now.Add(gateOpenTime)
	out := r.step(Tick{})
	is.True(out.Announce && r.node.Self().Leaving)
	arrive.Call = 4
	is.Equal(r.step(arrive).Gates[0].Reason, mesh.ReasonDraining)
	r.now = r.now.Add(1600 * ms)
	e := r.call(2, "/read/1")
	is.Equal(e.Outcome, mesh.NotRun)
	is.True(e.RetryAfter > 0)
}

// Guards against a gate that takes a request which outlasts the process.
func TestStoppingGateTakesNoLongRequest(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	r.report(InstanceReported{ID: "i0", Born: 1, Sequence: 1})
	r.step(Stop{Ends: r.now.Add(900 * ms)})
	gate := r.step(GateArrived{Call: 3, Instance: "i0", TimeLeft: time.Second, TimeToTarget: time.Second})
	is.Equal(gate.Gates[0].Reason, mesh.ReasonDraining)
}

// Guards against a restarted node whose clock was set back and whose records are
// taken for old ones.
func TestIncarnationPassesEarlierProcess(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	out := r.step(MembersSeen{Members: []Member{{Host: "h0", Incarnation: 500, Sequence: 7}}})
	is.True(out.Announce)
	is.True(r.node.Self().Incarnation > 500)
}

// Guards against requests that go on to a host without a sign of life, and
// against a host that is never used again.
func TestFailedHostIsLeftUntilItAnswers(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	e := r.call(1, "/read/1")
	out := r.step(AttemptDone{Call: 1, Attempt: e.Attempt, Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost, HostFailed: true})
	is.Equal(len(out.Checks), 1)
	for id := mesh.CallID(10); id < 40; id++ {
		is.True(r.call(id, "/read/1").Host != e.Host)
	}
	r.now = r.now.Add(checkInterval)
	is.Equal(len(r.step(Tick{}).Checks), 1)
	r.step(PeerChecked{Host: e.Host, Alive: true})
	used := false
	for id := mesh.CallID(50); id < 80; id++ {
		used = used || r.call(id, "/read/1").Host == e.Host
	}
	is.True(used)
}

// Guards against a request that crashes instances and is tried again and again.
func TestCrashingRequestIsBlocked(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	e := r.done(r.call(1, "/read/1"), AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true, Crashes: 2})
	is.Equal(e.Reason, mesh.ReasonPoison)
	is.Equal(e.Outcome, mesh.MayHaveRun)
}

// Guards against parts of a traffic split that get more or less than their weight.
func TestSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	route := &catalog.Route{Name: "x", Destinations: []catalog.Destination{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[mesh.Service]int{}
	for range 1000 {
		counts[r.node.destination(&step{now: start}, route)]++
	}
	is.True(counts["b"] >= 99 && counts["b"] <= 101)
}

// Guards against nodes that follow a reader which gives no sign of life.
func TestReaderOfAFailureDomain(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	is.True(r.node.Role().Reads) // h0 is the first of its domain
	other := New(start, Settings{Host: "h9", Domain: "a", ForwardAddr: "h9:1", PeerAddr: "h9:2", Incarnation: 1})
	var out Ready
	other.Step(start, 1, MembersSeen{Members: []Member{remote("h1", "i1", 1), remote("h2", "i2", 1)}}, &out)
	is.True(!other.Role().Reads)
	is.Equal(string(other.Role().Reader.Host), "h1")
	other.Step(start, 1, PeerChecked{Host: "h1", Alive: false}, &out)
	is.Equal(string(other.Role().Reader.Host), "h2") // the next one takes its place
	wide := remote("h7", "i7", 1)
	wide.LinkMbps = 200
	other.Step(start, 1, MembersSeen{Members: []Member{wide}}, &out)
	is.Equal(string(other.Role().Reader.Host), "h7") // a reader sends to all its followers
}

// Guards against an outage in which every node of a failure domain tries the store.
func TestFewSubstitutesTryTheStore(t *testing.T) {
	is := is.New(t)
	substitutes, readers := 0, 0
	for own := range 12 {
		n := New(start, Settings{Host: mesh.HostID(fmt.Sprintf("h%02d", own)), Domain: "a", ForwardAddr: "x:1", PeerAddr: "x:2", Incarnation: 1})
		var out Ready
		for i := range 12 {
			if i != own {
				n.Step(start, 1, MembersSeen{Members: []Member{remote(mesh.HostID(fmt.Sprintf("h%02d", i)), mesh.InstanceID(fmt.Sprintf("i%d", i)), 1)}}, &out)
			}
		}
		if n.Role().Reads {
			readers++
		}
		if n.Role().Substitute {
			substitutes++
		}
	}
	is.Equal(readers, 1)
	is.Equal(substitutes, substitutesPerReader)
}

// Guards against a change of a host that its own failure domain alone is told of.
func TestReadersOfAllFailureDomains(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	for i, domain := range []string{"b", "b", "c"} {
		m := remote(mesh.HostID(fmt.Sprintf("x%d", i)), mesh.InstanceID(fmt.Sprintf("y%d", i)), 1)
		m.Domain = mesh.FailureDomain(domain)
		r.step(MembersSeen{Members: []Member{m}})
	}
	var hosts []string
	for _, m := range r.node.Readers() {
		hosts = append(hosts, string(m.Host))
	}
	is.Equal(hosts, []string{"x0", "x2"}) // this host reads for its own
}

// Guards against rows of replaced hosts that pile up in the store, and against
// one that is removed while its host is only restarted.
func TestRowOfALeftHostIsRemoved(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	r.step(StoreState{Loaded: true, Alive: true})
	gone := remote("h1", "i1", 2)
	gone.Leaving = true
	back := gone
	back.Host = "h2"
	r.step(MembersSeen{Members: []Member{gone, back}})
	back.Incarnation, back.Leaving = 2, false
	r.step(MembersSeen{Members: []Member{back}})
	is.Equal(len(r.step(Tick{}).Removals), 0)
	r.now = r.now.Add(leaveTime + ms)
	is.Equal(r.step(Tick{}).Removals, []mesh.HostID{"h1"})
}

// Guards against a request that is refused because it has met only gates that
// have just closed, as all those of the old version do after a roll-out.
func TestClosedGatesDoNotUseUpACall(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.step(ConfigurationSeen{snapshot(t, 5)})
	var list []Member
	for i := range 12 {
		name := strconv.Itoa(i)
		list = append(list, remote(mesh.HostID("h1"+name), mesh.InstanceID("i"+name), 1))
	}
	r.step(MembersSeen{Members: list})
	e := r.call(1, "/read/1")
	for range 11 {
		is.Equal(e.Action, CallForward)
		e = r.done(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonDraining})
	}
	is.Equal(e.Action, CallForward)
}

// Guards against a request that is held at one gate after the other until its
// client has no time left to come back.
func TestLateRequestIsNotQueuedAgain(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	e := r.call(1, "/read/1")
	for range probesBeforeQueue {
		e = r.done(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload})
	}
	is.True(e.MayQueue)
	r.now = r.now.Add(320 * ms) // past the target
	e = r.done(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload})
	is.Equal(e.Action, CallReject)
	is.True(e.RetryAfter > 0)
}

// Guards against an entry node that passes a request on which has crashed two
// instances, though their gates have told it.
func TestEntryNodeRemembersTheCrashesThatGatesReport(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	again := func(id mesh.CallID) CallEffect {
		return r.step(CallArrived{Call: id, Host: "a", Path: "/read/1", Fingerprint: 7, Budget: time.Second}).Calls[0]
	}
	lost := AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true, Crashes: 1}
	r.done(again(1), lost)
	second := again(2)
	is.Equal(second.Action, CallForward)
	is.Equal(second.Crashes, uint8(1)) // runs alone at the next gate
	lost.Crashes = 2
	r.done(second, lost)
	is.Equal(again(3).Reason, mesh.ReasonPoison)
	is.Equal(r.call(4, "/read/2").Action, CallForward) // another request
}
