package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against calls made by repeated runs that aren't charged to the retry budget of
// the called service.
func TestCallsOfRepeatedRunsCountAsRepeats(t *testing.T) {
	for _, c := range []struct {
		name         string
		refuse, lose map[mesh.Service]float64
		change       func(*meshWorkload)
	}{
		{name: "both refuse", refuse: map[mesh.Service]float64{frontService: 0.55, backService: 0.55}},
		{name: "front loses, back refuses", refuse: map[mesh.Service]float64{backService: 0.5}, lose: map[mesh.Service]float64{frontService: 0.5}},
		{
			name: "five calls each", refuse: map[mesh.Service]float64{frontService: 0.5, backService: 0.5},
			change: func(w *meshWorkload) { w.callsPerList, w.callShare, w.list, w.back = 5, 1, 120, 4 },
		},
		{
			name: "few requests with many calls", refuse: map[mesh.Service]float64{frontService: 0.5, backService: 0.4},
			change: func(w *meshWorkload) { w.callsPerList, w.callShare, w.list, w.book, w.balance = 5, 1, 8, 2, 4 },
		},
		{
			name: "chain of three services", refuse: map[mesh.Service]float64{frontService: 0.4, backService: 0.4, deepService: 0.4},
			change: func(w *meshWorkload) { w.deep, w.back = 3, 4 },
		},
		{
			name: "back fails most calls", refuse: map[mesh.Service]float64{backService: 0.8},
			change: func(w *meshWorkload) { w.list, w.book = 80, 300 },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			workload := defaultWorkload()
			workload.refuse, workload.lose = c.refuse, c.lose
			if c.change != nil {
				c.change(&workload)
			}
			sim := newMeshSimulation(t, 1, workload)
			sim.run(30 * time.Second)
			sim.checkBudget()
			sim.logSuccessShares()
		})
	}
}

// Guards against calls of a repeated run, and calls further down the call chain, that
// are counted as first attempts.
func TestRepeatProbabilityPropagatesDownTheCallTree(t *testing.T) {
	is := is.New(t)
	sim := newMeshSimulation(t, 1, defaultWorkload())
	front := sim.hosts[0]
	arrived := GateArrived{Call: 1 << 20, Instance: front.member.Instance.ID, Route: "list", TimeLeft: time.Second, TimeToTarget: time.Second}
	begin := func(repeated float64) GateDone {
		arrived.Call++
		arrived.RepeatProbability = repeated
		front.node.Step(sim.now, 1, arrived, &Ready{})
		return GateDone{Call: arrived.Call, Result: GateAnswered}
	}
	run := func(repeated float64) { front.node.Step(sim.now, 1, begin(repeated), &Ready{}) }
	call := func() float64 {
		var out Ready
		sim.nextID++
		front.node.Step(sim.now, 1, CallArrived{Call: sim.nextID, Host: "a", Path: "/stock/1", Budget: time.Second}, &out)
		return out.Calls[0].RepeatProbability
	}
	for range 5 {
		run(0)
	}
	unfinished := begin(0)
	is.Equal(call(), 0.0)
	run(1)
	run(1)
	sim.now = sim.now.Add(shareRefreshInterval)
	is.Equal(call(), 0.25) // two repeats in eight runs
	sim.now = sim.now.Add(2 * runWindow)
	for range 6 {
		run(0.5) // runs that are repeats with this probability
	}
	is.Equal(call(), 0.5)
	front.node.Step(sim.now, 1, unfinished, &Ready{})
	is.Equal(call(), 0.0) // without a run in progress the request is a client's
}

// Guards against requests of clients that are counted as calls of repeated runs and so
// use up the budget.
func TestClientRequestsAreDistinguishedFromInstanceCalls(t *testing.T) {
	workload := defaultWorkload()
	workload.callShare, workload.refuse = 0, map[mesh.Service]float64{frontService: 0.5, backService: 0.5}
	workload.balance = 400
	sim := newMeshSimulation(t, 1, workload)
	sim.run(30 * time.Second)
	sim.checkBudget()
	sim.logSuccessShares()
	repeats, allowed := sim.arrivals[backService].worstWindow()
	is.New(t).True(float64(repeats) >= 0.6*allowed) // nearly the fraction of the budget for refused requests
}

// rollingRestarts restarts the given hosts one after another, every half second.
func rollingRestarts(from time.Duration, hosts []int) map[time.Duration][]int {
	restarts := make(map[time.Duration][]int)
	for i, host := range hosts {
		restarts[from+time.Duration(i)*500*time.Millisecond] = []int{host}
	}
	return restarts
}

// Guards against nodes that may use the whole budget again after each restart.
func TestRestartedNodesDoNotSpendTheBudgetAgain(t *testing.T) {
	hosts := func(n int) (list []int) {
		for i := range n {
			list = append(list, i)
		}
		return list
	}
	for _, c := range []struct {
		name     string
		restarts map[time.Duration][]int
	}{
		{"half, then most", map[time.Duration][]int{15 * time.Second: hosts(7), 19 * time.Second: hosts(12)}},
		{"all", map[time.Duration][]int{14 * time.Second: hosts(13)}},
		{"all, as the fault begins", map[time.Duration][]int{13 * time.Second: hosts(13)}},
		{"all but one in turn", rollingRestarts(13*time.Second, hosts(12))},
		{"most, three times", map[time.Duration][]int{14 * time.Second: hosts(12), 17 * time.Second: hosts(12), 20 * time.Second: hosts(12)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			workload := defaultWorkload()
			workload.callShare, workload.restarts = 0, c.restarts
			workload.balance = 400 // replaces the load of the calls
			workload.refuse = map[mesh.Service]float64{frontService: 0.8, backService: 0.8}
			sim := newMeshSimulation(t, 1, workload)
			sim.run(30 * time.Second)
			sim.checkBudget()
			sim.logSuccessShares()
		})
	}
}

// Guards against repeats that aren't charged to the budget after an answer that didn't
// come from a gate: the request may have run.
func TestRepeatAfterUnknownOutcomeDrawsOnTheBudget(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	const calls = 500
	repeats := 0
	for id := range mesh.CallID(calls) {
		e := tn.endAttempt(tn.call(id+1, "/read/1"), AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonBadRequest})
		if e.Action == CallForward {
			repeats++
			tn.endAttempt(e, AttemptDone{Outcome: mesh.Answered, Reached: true})
		}
	}
	is.True(repeats > 0 && repeats <= 0.2*calls+60)
}

// Guards against a network partition in which the reachable hosts on each side divide
// the whole fixed part of the budget among themselves.
func TestPartitionedHostsKeepTheirShareOfTheBudget(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	tn.now = tn.now.Add(10 * time.Second)
	const calls, hosts = 20, 8
	for i := range hosts - 4 {
		host := mesh.HostID(fmt.Sprintf("cut%d", i))
		tn.step(MembersSeen{Members: []Member{remoteMember(host, "i-"+mesh.InstanceID(host), 1)}})
		tn.step(PeerChecked{Host: host})
	}
	repeats := 0
	for id := range mesh.CallID(calls) {
		e := tn.call(id+1, "/read/1")
		e = tn.endAttempt(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload, Reached: true})
		if e.Action == CallForward {
			repeats++
			tn.endAttempt(e, AttemptDone{Outcome: mesh.Answered, Reached: true})
		}
	}
	is.True(repeats > 0)
	is.True(float64(repeats) <= 0.2*calls+60.0/hosts)
}

// Guards against requests that are never repeated because each node's share of the
// budget is less than one repeat. With hundreds of hosts, a node gets about one request
// a second.
func TestRareRequestsAreRepeated(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withConfigAndMembers()
	for i := range 200 {
		host := mesh.HostID(fmt.Sprintf("m%d", i))
		tn.step(MembersSeen{Members: []Member{remoteMember(host, "i-"+mesh.InstanceID(host), 1)}})
	}
	tn.now = tn.now.Add(20 * time.Second)
	lost := AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true}
	for id := range mesh.CallID(12) {
		tn.endAttempt(tn.call(id+1, "/read/1"), AttemptDone{Outcome: mesh.Answered, Reached: true})
		tn.now = tn.now.Add(time.Second)
	}
	first := tn.endAttempt(tn.call(20, "/read/1"), lost)
	is.Equal(first.Action, CallForward)
	tn.endAttempt(first, AttemptDone{Outcome: mesh.Answered, Reached: true})
	is.Equal(tn.endAttempt(tn.call(21, "/read/1"), lost).Action, CallReject) // the window of ten seconds allows one
}
