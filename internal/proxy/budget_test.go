package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Guards against calls of repeated runs that come on top of the called service's
// own budget.
func TestCallsOfRepeatedRunsCountAsRepeats(t *testing.T) {
	for _, c := range []struct {
		name         string
		refuse, lose map[mesh.Service]float64
		change       func(*meshLoad)
	}{
		{name: "both refuse", refuse: map[mesh.Service]float64{frontService: 0.55, backService: 0.55}},
		{name: "front loses, back refuses", refuse: map[mesh.Service]float64{backService: 0.5}, lose: map[mesh.Service]float64{frontService: 0.5}},
		{
			name: "five calls each", refuse: map[mesh.Service]float64{frontService: 0.5, backService: 0.5},
			change: func(l *meshLoad) { l.calls, l.callShare, l.list, l.back = 5, 1, 120, 4 },
		},
		{
			name: "few requests with many calls", refuse: map[mesh.Service]float64{frontService: 0.5, backService: 0.4},
			change: func(l *meshLoad) { l.calls, l.callShare, l.list, l.book, l.balance = 5, 1, 8, 2, 4 },
		},
		{
			name: "three services in a row", refuse: map[mesh.Service]float64{frontService: 0.4, backService: 0.4, deepService: 0.4},
			change: func(l *meshLoad) { l.deep, l.back = 3, 4 },
		},
		{
			name: "back fails most calls", refuse: map[mesh.Service]float64{backService: 0.8},
			change: func(l *meshLoad) { l.list, l.book = 80, 300 },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			load := ordinaryLoad()
			load.refuse, load.lose = c.refuse, c.lose
			if c.change != nil {
				c.change(&load)
			}
			p := newMeshPlay(t, 1, load)
			p.play(30 * time.Second)
			p.checkBudget()
			p.logServed()
		})
	}
}

// Guards against a repeat whose calls, and theirs, look like first attempts.
func TestRepeatIsMarkedDownTheCallTree(t *testing.T) {
	is := is.New(t)
	play := newMeshPlay(t, 1, ordinaryLoad())
	front := play.hosts[0]
	arrived := GateArrived{Call: 1 << 20, Instance: front.member.Instance.ID, Route: "list", TimeLeft: time.Second, TimeToTarget: time.Second}
	begin := func(repeated float64) GateDone {
		arrived.Call++
		arrived.RepeatProbability = repeated
		front.node.Step(play.now, 1, arrived, &Ready{})
		return GateDone{Call: arrived.Call, Result: GateAnswered}
	}
	run := func(repeated float64) { front.node.Step(play.now, 1, begin(repeated), &Ready{}) }
	call := func() float64 {
		var out Ready
		play.nextID++
		front.node.Step(play.now, 1, CallArrived{Call: play.nextID, Host: "a", Path: "/stock/1", Budget: time.Second}, &out)
		return out.Calls[0].RepeatProbability
	}
	for range 5 {
		run(0)
	}
	last := begin(0)
	is.Equal(call(), 0.0)
	run(1)
	run(1)
	play.now = play.now.Add(shareInterval)
	is.Equal(call(), 0.25) // of eight runs
	play.now = play.now.Add(2 * runSpan)
	for range 6 {
		run(0.5) // calls of runs that are repeats with this probability
	}
	is.Equal(call(), 0.5)
	front.node.Step(play.now, 1, last, &Ready{})
	is.Equal(call(), 0.0) // without a run it is a client's
}

// Guards against requests of clients that use up the budget as if they were calls.
func TestRequestsOfClientsAreToldFromCalls(t *testing.T) {
	load := ordinaryLoad()
	load.callShare, load.refuse = 0, map[mesh.Service]float64{frontService: 0.5, backService: 0.5}
	load.balance = 400
	p := newMeshPlay(t, 1, load)
	p.play(30 * time.Second)
	p.checkBudget()
	p.logServed()
	beyond, allowed := p.arrivals[backService].worst()
	is.New(t).True(float64(beyond) >= 0.6*allowed) // nearly the part for refused requests
}

// oneAfterTheOther restarts hosts every half second.
func oneAfterTheOther(from time.Duration, hosts []int) map[time.Duration][]int {
	restarts := make(map[time.Duration][]int)
	for i, host := range hosts {
		restarts[from+time.Duration(i)*500*time.Millisecond] = []int{host}
	}
	return restarts
}

// Guards against nodes that spend the budget again after each restart.
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
		{"all but one in turn", oneAfterTheOther(13*time.Second, hosts(12))},
		{"most, three times", map[time.Duration][]int{14 * time.Second: hosts(12), 17 * time.Second: hosts(12), 20 * time.Second: hosts(12)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			load := ordinaryLoad()
			load.callShare, load.restarts = 0, c.restarts
			load.balance = 400 // in place of the calls
			load.refuse = map[mesh.Service]float64{frontService: 0.8, backService: 0.8}
			p := newMeshPlay(t, 1, load)
			p.play(30 * time.Second)
			p.checkBudget()
			p.logServed()
		})
	}
}

// Guards against repeats that cost nothing after an answer that no gate has given:
// the request may have run.
func TestRepeatAfterAnUnknownEndDrawsOnTheBudget(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	const calls = 500
	repeats := 0
	for id := range mesh.CallID(calls) {
		e := r.done(r.call(id+1, "/read/1"), AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonBadRequest})
		if e.Action == CallForward {
			repeats++
			r.done(e, AttemptDone{Outcome: mesh.Answered, Reached: true})
		}
	}
	is.True(repeats > 0 && repeats <= 0.2*calls+60)
}

// Guards against hosts that are cut off from each other and share out the fixed
// part of the budget among those that are left on each side.
func TestCutOffHostsKeepTheirShareOfTheBudget(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	r.now = r.now.Add(10 * time.Second)
	const calls, hosts = 20, 8
	for i := range hosts - 4 {
		host := mesh.HostID(fmt.Sprintf("cut%d", i))
		r.step(MembersSeen{Members: []Member{remote(host, "i-"+mesh.InstanceID(host), 1)}})
		r.step(PeerChecked{Host: host})
	}
	repeats := 0
	for id := range mesh.CallID(calls) {
		e := r.call(id+1, "/read/1")
		e = r.done(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload, Reached: true})
		if e.Action == CallForward {
			repeats++
			r.done(e, AttemptDone{Outcome: mesh.Answered, Reached: true})
		}
	}
	is.True(repeats > 0)
	is.True(float64(repeats) <= 0.2*calls+60.0/hosts)
}

// Guards against requests that come to a node once a second, as on hundreds of hosts,
// and are never repeated because no node's share of the budget reaches one.
func TestRareRequestsAreRepeated(t *testing.T) {
	is := is.New(t)
	r := newRig(t).serving()
	for i := range 200 {
		host := mesh.HostID(fmt.Sprintf("m%d", i))
		r.step(MembersSeen{Members: []Member{remote(host, "i-"+mesh.InstanceID(host), 1)}})
	}
	r.now = r.now.Add(20 * time.Second)
	lost := AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true}
	for id := range mesh.CallID(12) {
		r.done(r.call(id+1, "/read/1"), AttemptDone{Outcome: mesh.Answered, Reached: true})
		r.now = r.now.Add(time.Second)
	}
	first := r.done(r.call(20, "/read/1"), lost)
	is.Equal(first.Action, CallForward)
	r.done(first, AttemptDone{Outcome: mesh.Answered, Reached: true})
	is.Equal(r.done(r.call(21, "/read/1"), lost).Action, CallReject) // one of ten
}
