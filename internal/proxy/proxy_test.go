package proxy

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

const (
	start = mesh.Time(time.Hour)
	ms    = time.Millisecond
)

// testNode drives the reducer of host h0 with one event at a time.
type testNode struct {
	*testing.T
	node *Node
	now  mesh.Time
	out  Ready
	seed uint64
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()
	tn := &testNode{T: t, now: start}
	tn.node = New(start, Settings{
		Host: "h0", Domain: "a", ForwardAddr: "h0:1", PeerAddr: "h0:2", Service: "s", Incarnation: 100,
		Repeats: retry.WindowBudget{Ratio: 0.2, Extra: 60, Span: 10 * time.Second},
	})
	return tn
}

func (tn *testNode) step(ev Event) *Ready {
	tn.seed++
	tn.out.Reset()
	tn.node.Step(tn.now, tn.seed, ev, &tn.out)
	return &tn.out
}

func testSnapshot(t *testing.T, version mesh.ConfigVersion) *catalog.Snapshot {
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

func remoteMember(host mesh.HostID, instance mesh.InstanceID, sequence uint64) Member {
	return Member{Host: host, Domain: "a", ForwardAddr: string(host) + ":1", PeerAddr: string(host) + ":2", Incarnation: 1, Sequence: sequence,
		Instance: &MemberInstance{ID: instance, Service: "s", Version: "v1", Slots: 2}}
}

func (tn *testNode) withConfigAndMembers() *testNode {
	tn.step(ConfigurationSeen{testSnapshot(tn.T, 5)})
	tn.step(MembersSeen{Members: []Member{remoteMember("h1", "i1", 1), remoteMember("h2", "i2", 1), remoteMember("h3", "i3", 1)}})
	return tn
}

func (tn *testNode) call(id mesh.CallID, path string) CallEffect {
	tn.Helper()
	out := tn.step(CallArrived{Call: id, Host: "a", Path: path, Hash: mesh.RequestHash(id), Budget: time.Second})
	if len(out.Calls) != 1 {
		tn.Fatalf("%d effects on a new call", len(out.Calls))
	}
	return out.Calls[0]
}

func (tn *testNode) endAttempt(e CallEffect, a AttemptDone) CallEffect {
	tn.Helper()
	a.Call, a.Attempt = e.Call, e.Attempt
	out := tn.step(a)
	if len(out.Calls) != 1 {
		tn.Fatalf("%d effects after an attempt", len(out.Calls))
	}
	return out.Calls[0]
}

// Guards against a node without configuration that answers no-route, and against
// rejections without a retry-after time.
func TestNodeWithoutConfigurationAdvisesRetryAfter(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	is.True(!tn.node.Ready())
	arrived := CallArrived{Call: 1, Host: "a", Path: "/read/1", Budget: time.Second}
	is.Equal(len(tn.step(arrived).Calls), 0) // held, since the configuration may still arrive
	tn.now = tn.now.Add(configHoldTime)
	e := tn.step(Tick{}).Calls[0]
	is.Equal(e.Outcome, mesh.NotRun)
	is.Equal(e.Reason, mesh.ReasonNoConfiguration)
	is.True(e.RetryAfter > 0)
	tn.now = tn.now.Add(startupPeriod)
	arrived.Call = 3
	is.Equal(tn.step(arrived).Calls[0].Reason, mesh.ReasonNoConfiguration) // after startup, requests are no longer held
	tn.withConfigAndMembers()
	is.True(tn.node.Ready())
	is.Equal(tn.call(2, "/other/1").Reason, mesh.ReasonNoRoute)
}

// Guards against requests that a restarted node rejects some milliseconds before it
// could serve them, and against a request that is held after its client has
// disconnected.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	tn.step(MembersSeen{Members: []Member{remoteMember("h1", "i1", 1)}})
	for id := range mesh.CallID(2) {
		is.Equal(len(tn.step(CallArrived{Call: id, Host: "a", Path: "/read/1", Budget: time.Second}).Calls), 0)
	}
	tn.step(CallCancelled{Call: 0})
	tn.now = tn.now.Add(100 * ms)
	out := tn.step(ConfigurationSeen{testSnapshot(t, 5)})
	is.Equal(len(out.Calls), 1)
	is.Equal(out.Calls[0].Call, mesh.CallID(1))
	is.Equal(out.Calls[0].Action, CallForward)
	is.Equal(out.Calls[0].Deadline, tn.now.Add(900*ms)) // the time for which it was held counts
}

// Guards against a node that reverts to an older configuration.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	tn.step(ConfigurationSeen{testSnapshot(t, 4)})
	is.Equal(tn.node.Config().Version, mesh.ConfigVersion(5))
	tn.step(ConfigurationSeen{testSnapshot(t, 9)})
	is.Equal(tn.node.Config().Version, mesh.ConfigVersion(9))
}

// Guards against a request that queues at the first gate while others have free slots,
// and against one that is never allowed to queue.
func TestProbesOtherGatesBeforeQueueing(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	e := tn.call(1, "/read/1")
	probed := map[mesh.InstanceID]bool{}
	for range probesBeforeQueue {
		is.Equal(e.Action, CallForward)
		is.True(!e.MayQueue && !probed[e.Instance])
		probed[e.Instance] = true
		e = tn.endAttempt(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload, Load: mesh.Load{Slots: 2, InUse: 2}, HasLoad: true})
	}
	is.True(e.MayQueue)
}

// Guards against a non-idempotent request that runs twice, and against the outcome
// not-run after an attempt that may have run.
func TestLostNonIdempotentRequestIsNotRepeated(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	e := tn.endAttempt(tn.call(1, "/book/1"), AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true})
	is.Equal(e.Action, CallReject)
	is.Equal(e.Outcome, mesh.MayHaveRun)
	// A request that has reached no instance is forwarded again.
	first := tn.call(2, "/book/2")
	again := tn.endAttempt(first, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost, HostFailed: true})
	is.Equal(again.Action, CallForward)
	is.True(again.Host != first.Host)
}

// Guards against an idempotent request that fails because its first instance does, and
// against one with more attempts than its route allows.
func TestIdempotentRequestIsRepeatedWithinItsAttempts(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	tn.now = tn.now.Add(10 * time.Second) // the fixed part of the budget is available after one window
	first := tn.call(1, "/read/1")
	second := tn.endAttempt(first, AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true})
	is.Equal(second.Action, CallForward)
	is.True(second.Instance != first.Instance)
	last := tn.endAttempt(second, AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true})
	is.Equal(last.Action, CallReject)
	is.Equal(last.Outcome, mesh.MayHaveRun)
}

// Guards against a failing service that gets more repeats than the budget allows.
func TestRepeatsEndWithTheBudget(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	repeats := 0
	for id := mesh.CallID(1); id <= 500; id++ {
		e := tn.call(id, "/read/1")
		e = tn.endAttempt(e, AttemptDone{Outcome: mesh.Answered, Failed: true, Reached: true})
		if e.Action == CallForward {
			repeats++
			tn.endAttempt(e, AttemptDone{Outcome: mesh.Answered, Failed: true, Reached: true})
		}
	}
	is.True(repeats > 0 && repeats <= int(0.2*500+60))
}

// Guards against requests that clients retry after a rejection, and that can't be
// answered within the target any more, taking slots from requests that can.
func TestTimeAlreadyWaitedReducesTimeToTarget(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	fresh := tn.call(1, "/read/1")
	is.Equal(fresh.TimeToTarget, 300*ms)
	out := tn.step(CallArrived{Call: 2, Host: "a", Path: "/read/1", Hash: 2, Budget: 600 * ms})
	is.Equal(out.Calls[0].TimeToTarget, -100*ms)
}

func (tn *testNode) heartbeat(e InstanceReported) *Ready {
	e.Service, e.Version, e.Slots = "s", "v1", 2
	return tn.step(e)
}

// Guards against requests that name the service of the start as their caller after the
// settings have changed.
func TestCallerIsTheServiceOfTheCurrentSettings(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	before := tn.call(1, "/read/1")
	is.Equal(before.Caller, mesh.Service("s"))
	tn.step(SettingsChanged{Service: "other"})
	is.Equal(tn.call(2, "/read/1").Caller, mesh.Service("other"))
	again := tn.endAttempt(before, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload})
	is.Equal(again.Caller, mesh.Service("s")) // the call arrived before the change
}

// Guards against a late heartbeat that revives an instance or replaces its successor.
func TestLateHeartbeatsAreIgnored(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	tn.heartbeat(InstanceReported{ID: "old", Born: 1000, Sequence: 9})
	tn.heartbeat(InstanceReported{ID: "new", Born: 2000, Sequence: 1})
	tn.heartbeat(InstanceReported{ID: "old", Born: 1000, Sequence: 10})
	is.Equal(string(tn.node.Self().Instance.ID), "new")
	tn.heartbeat(InstanceReported{ID: "new", Born: 2000, Sequence: 3, Draining: true})
	tn.heartbeat(InstanceReported{ID: "new", Born: 2000, Sequence: 2})
	is.True(tn.node.Self().Instance.Closed)
	tn.heartbeat(InstanceReported{ID: "new", Born: 3000, Sequence: 1}) // restarted under the same ID
	is.True(!tn.node.Self().Instance.Closed)
	out := tn.step(InstanceReported{ID: "x", Service: "other", Version: "v1", Slots: 2, Born: 9000, Sequence: 1})
	is.True(!out.Announce)
}

// Guards against a heartbeat of another writer that keeps the instance's own from counting:
// one from the future, one of another instance, or one with a large sequence number.
func TestHeartbeatOfAnotherWriterDoesNotDisplaceTheInstance(t *testing.T) {
	is := is.New(t)
	for _, other := range []InstanceReported{
		{ID: "i0", Born: math.MaxInt64, Sequence: 1}, {ID: "i9", Born: math.MaxInt64, Sequence: 1},
		{ID: "i9", Born: 1001, Sequence: 1}, {ID: "i0", Born: 1000, Sequence: math.MaxInt64},
	} {
		tn := newTestNode(t)
		tn.step(ConfigurationSeen{snapshotWithHealthPath(t)})
		tn.heartbeat(InstanceReported{ID: "i0", Born: 1000, Sequence: 1})
		tn.step(InstanceProbed{ID: "i0", Serving: true})
		tn.heartbeat(other)
		tn.step(InstanceProbed{ID: other.ID, Serving: other.ID == "i0"})
		is.Equal(tn.arriveAtGate(1, "i0"), GateDispatch)
		tn.heartbeat(InstanceReported{ID: "i0", Born: 1000, Sequence: 2, Draining: true})
		is.Equal(tn.arriveAtGate(2, "i0"), GateReject)
	}
}

// Guards against requests that reach an instance after it has reported that it drains.
func TestGateOfDrainingInstanceIsClosed(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	tn.heartbeat(InstanceReported{ID: "i0", Born: 1, Sequence: 1})
	arrive := GateArrived{Call: 1, Instance: "i0", Route: "read", TimeLeft: time.Second, TimeToTarget: 300 * ms}
	is.Equal(tn.step(arrive).Gates[0].Action, GateDispatch)
	out := tn.heartbeat(InstanceReported{ID: "i0", Born: 1, Sequence: 2, Draining: true})
	is.True(out.Announce)
	arrive.Call = 2
	e := tn.step(arrive).Gates[0]
	is.Equal(e.Action, GateReject)
	is.Equal(e.Reason, mesh.ReasonDraining)
}

// Guards against a stopping node that accepts requests it cannot finish, and against one
// that other nodes continue to use.
func TestStoppingNodeAcceptsOnlyWorkThatEndsInTime(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	tn.heartbeat(InstanceReported{ID: "i0", Born: 1, Sequence: 1})
	tn.step(Stop{Ends: tn.now.Add(4 * time.Second)})
	is.True(!tn.node.Ready())
	is.Equal(tn.call(1, "/read/1").Action, CallForward) // would end before the process does
	arrive := GateArrived{Call: 3, Instance: "i0", TimeLeft: time.Second, TimeToTarget: time.Second}
	is.Equal(tn.step(arrive).Gates[0].Action, GateDispatch) // the gate stays open while clients move to other nodes
	tn.now = tn.now.Add(gateCloseDelay)
	out := tn.step(Tick{})
	is.True(out.Announce && tn.node.Self().Leaving)
	arrive.Call = 4
	is.Equal(tn.step(arrive).Gates[0].Reason, mesh.ReasonDraining)
	tn.now = tn.now.Add(1600 * ms)
	e := tn.call(2, "/read/1")
	is.Equal(e.Outcome, mesh.NotRun)
	is.True(e.RetryAfter > 0)
}

// Guards against a stopping gate that accepts a request which may run longer than the
// process.
func TestStoppingGateTakesNoLongRequest(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	tn.heartbeat(InstanceReported{ID: "i0", Born: 1, Sequence: 1})
	tn.step(Stop{Ends: tn.now.Add(900 * ms)})
	gate := tn.step(GateArrived{Call: 3, Instance: "i0", TimeLeft: time.Second, TimeToTarget: time.Second})
	is.Equal(gate.Gates[0].Reason, mesh.ReasonDraining)
}

// Guards against a restarted node whose clock was set back, so that other nodes ignore
// its records as old.
func TestIncarnationExceedsThatOfThePreviousProcess(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	out := tn.step(MembersSeen{Members: []Member{{Host: "h0", Incarnation: 500, Sequence: 7}}})
	is.True(out.Announce)
	is.True(tn.node.Self().Incarnation > 500)
}

// Guards against requests that are still sent to an unreachable host, and against a host
// that is never used again after it was unreachable.
func TestUnreachableHostIsAvoidedUntilItAnswers(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	e := tn.call(1, "/read/1")
	out := tn.step(AttemptDone{Call: 1, Attempt: e.Attempt, Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost, HostFailed: true})
	is.Equal(len(out.Checks), 1)
	for id := mesh.CallID(10); id < 40; id++ {
		is.True(tn.call(id, "/read/1").Host != e.Host)
	}
	tn.now = tn.now.Add(checkInterval)
	is.Equal(len(tn.step(Tick{}).Checks), 1)
	tn.step(PeerChecked{Host: e.Host, Alive: true})
	used := false
	for id := mesh.CallID(50); id < 80; id++ {
		used = used || tn.call(id, "/read/1").Host == e.Host
	}
	is.True(used)
}

// Guards against a request that crashes instances and is repeated without limit.
func TestCrashingRequestIsBlocked(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	e := tn.endAttempt(tn.call(1, "/read/1"), AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true, Suspicion: poison.Suspicion{Crashes: 2}})
	is.Equal(e.Reason, mesh.ReasonPoison)
	is.Equal(e.Outcome, mesh.MayHaveRun)
}

// Guards against destinations of a traffic split that get more or less than their
// weight.
func TestSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	route := &catalog.Route{Name: "x", Destinations: []catalog.Destination{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[mesh.Service]int{}
	for range 1000 {
		service := tn.node.nextDestination(&step{now: start}, route)
		tn.node.takeDestination(route, service)
		counts[service]++
	}
	is.True(counts["b"] >= 99 && counts["b"] <= 101)
}

// Guards against nodes that follow an unreachable reader.
func TestReaderOfAFailureDomain(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	is.True(tn.node.Role().Reads) // h0 is the first host of its failure domain
	other := New(start, Settings{Host: "h9", Domain: "a", ForwardAddr: "h9:1", PeerAddr: "h9:2", Incarnation: 1})
	var out Ready
	other.Step(start, 1, MembersSeen{Members: []Member{remoteMember("h1", "i1", 1), remoteMember("h2", "i2", 1)}}, &out)
	is.True(!other.Role().Reads)
	is.Equal(string(other.Role().Reader.Host), "h1")
	other.Step(start, 1, PeerChecked{Host: "h1", Alive: false}, &out)
	is.Equal(string(other.Role().Reader.Host), "h2") // the next host becomes the reader
	wide := remoteMember("h7", "i7", 1)
	wide.LinkMbps = 200
	other.Step(start, 1, MembersSeen{Members: []Member{wide}}, &out)
	is.Equal(string(other.Role().Reader.Host), "h7") // the host with the largest link, since a reader sends to all its followers
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
				n.Step(start, 1, MembersSeen{Members: []Member{remoteMember(mesh.HostID(fmt.Sprintf("h%02d", i)), mesh.InstanceID(fmt.Sprintf("i%d", i)), 1)}}, &out)
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

// Guards against a change of a host that is announced only within its own failure
// domain.
func TestReadersOfAllFailureDomains(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	for i, domain := range []string{"b", "b", "c"} {
		m := remoteMember(mesh.HostID(fmt.Sprintf("x%d", i)), mesh.InstanceID(fmt.Sprintf("y%d", i)), 1)
		m.Domain = mesh.FailureDomain(domain)
		tn.step(MembersSeen{Members: []Member{m}})
	}
	var hosts []string
	for _, m := range tn.node.Readers() {
		hosts = append(hosts, string(m.Host))
	}
	is.Equal(hosts, []string{"x0", "x2"}) // h0 itself reads for its own domain
}

// Guards against rows of replaced hosts that accumulate in the store, and against the
// removal of a row whose host was only restarted.
func TestRowOfHostThatLeftIsRemoved(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	tn.step(StoreState{Loaded: true, Alive: true})
	gone := remoteMember("h1", "i1", 2)
	gone.Leaving = true
	back := gone
	back.Host = "h2"
	tn.step(MembersSeen{Members: []Member{gone, back}})
	back.Incarnation, back.Leaving = 2, false
	tn.step(MembersSeen{Members: []Member{back}})
	is.Equal(len(tn.step(Tick{}).Removals), 0)
	tn.now = tn.now.Add(forgetLeftAfter + ms)
	is.Equal(tn.step(Tick{}).Removals, []mesh.HostID{"h1"})
}

// Guards against a request that is rejected because it has met only gates that have just
// closed, as the gates of all instances of the old version do after a roll-out.
func TestClosedGatesDoNotCountAsPlacements(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t)
	tn.step(ConfigurationSeen{testSnapshot(t, 5)})
	var list []Member
	for i := range 12 {
		name := strconv.Itoa(i)
		list = append(list, remoteMember(mesh.HostID("h1"+name), mesh.InstanceID("i"+name), 1))
	}
	tn.step(MembersSeen{Members: list})
	e := tn.call(1, "/read/1")
	for range 11 {
		is.Equal(e.Action, CallForward)
		e = tn.endAttempt(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonDraining})
	}
	is.Equal(e.Action, CallForward)
}

// Guards against a request that is queued at one gate after another until its client has
// no time left for a retry.
func TestLateRequestIsNotQueuedAgain(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	e := tn.call(1, "/read/1")
	for range probesBeforeQueue {
		e = tn.endAttempt(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload})
	}
	is.True(e.MayQueue)
	tn.now = tn.now.Add(320 * ms) // past the target
	e = tn.endAttempt(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload})
	is.Equal(e.Action, CallReject)
	is.True(e.RetryAfter > 0)
}

// Guards against an entry node that forwards a request again after gates have reported
// to it that the request crashed two instances.
func TestEntryNodeRemembersTheCrashesThatGatesReport(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	again := func(id mesh.CallID) CallEffect {
		return tn.step(CallArrived{Call: id, Host: "a", Path: "/read/1", Hash: 7, Budget: time.Second}).Calls[0]
	}
	lost := AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true, Suspicion: poison.Suspicion{Crashes: 1}}
	tn.endAttempt(again(1), lost)
	second := again(2)
	is.Equal(second.Action, CallForward)
	is.Equal(second.Suspicion.Crashes, uint8(1)) // so that the next gate runs it exclusively
	lost.Suspicion.Crashes = 2
	tn.endAttempt(second, lost)
	is.Equal(again(3).Reason, mesh.ReasonPoison)
	is.Equal(tn.call(4, "/read/2").Action, CallForward) // another request
}
