package core

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// faults extends nodeGroup with injected faults, with observers, and with records
// of calls for checking the guarantees (G1 and so on, see docs/guarantees.md).
type faults struct {
	// onEvent and onEffects, if set, are called before and after each step.
	onEvent   func(host string, ev *Event)
	onEffects func(host string, out *Ready)
	// partitioned reports whether messages between two hosts are lost.
	partitioned func(a, b string) bool
	// dropResult reports whether the result of an attempt is lost.
	dropResult func() bool
	// serviceTime is the time that a backend server works on a call.
	serviceTime func() time.Duration
	// backendForCall replaces backend if it is set: it ends a dispatched call
	// depending on the call's ID.
	backendForCall func(mesh.CallID) GateDone
	backendCrashes map[string]int // number of crashes by host

	// The records below are kept by call.
	arrivals         map[mesh.CallID]CallArrived
	entryHosts       map[mesh.CallID]string     // host of the entry node of each call
	relays           map[mesh.CallID]attemptKey // relay in flight
	executionsByCall map[mesh.CallID]int        // how often backend servers ran each call
	endCounts        map[mesh.CallID]int
	endedAt          map[mesh.CallID]mesh.Time
	// answered is set for attempts that a backend server answered.
	answered map[attemptKey]bool
	// onEnd, if set, is called with each end of a call at its entry node.
	onEnd func(CallEffect)
}

func newFaults() faults {
	return faults{
		backendCrashes: map[string]int{},
		arrivals:       map[mesh.CallID]CallArrived{}, entryHosts: map[mesh.CallID]string{}, relays: map[mesh.CallID]attemptKey{},
		executionsByCall: map[mesh.CallID]int{}, endCounts: map[mesh.CallID]int{}, endedAt: map[mesh.CallID]mesh.Time{}, answered: map[attemptKey]bool{},
	}
}

func (g *nodeGroup) canReach(a, b string) bool {
	return g.partitioned == nil || a == b || !g.partitioned(a, b)
}

// inDifferentDomains reports whether two hosts are in different failure domains.
func inDifferentDomains(a, b string) bool { return a[:len(a)-2] != b[:len(b)-2] }

func (g *nodeGroup) deliver(host string, ev Event) {
	g.schedule(delivery{at: g.now.Add(deliveryDelay), host: host, node: g.nodes[host], ev: ev})
}

func (g *nodeGroup) runAfter(d time.Duration, do func()) {
	g.schedule(delivery{at: g.now.Add(d), do: do})
}

func (g *nodeGroup) schedule(d delivery) {
	i := sort.Search(len(g.queue), func(i int) bool { return g.queue[i].at > d.at })
	g.queue = slices.Insert(g.queue, i, d)
}

// send delivers a call from a caller to its entry node.
func (g *nodeGroup) send(host string, c CallArrived) {
	g.arrivals[c.Call], g.entryHosts[c.Call] = c, host
	g.step(host, Event{Kind: KindCallArrived, Call: c})
}

func orderCall(id mesh.CallID, identity string) CallArrived {
	return CallArrived{Call: id, Method: []byte("POST"), Path: []byte("/orders"), RequestID: []byte(identity)}
}

func (g *nodeGroup) executeRelay(host string, c CallEffect) {
	g.relays[c.Call] = attemptKey{host, c.Call, c.Attempt}
	if g.nodes[c.Addr] == nil || !g.canReach(host, c.Addr) {
		g.deliver(host, Event{Kind: KindAttemptDone, Attempt: AttemptDone{
			Call: c.Call, Attempt: c.Attempt, Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost,
		}})
		return
	}
	arrived := g.arrivals[c.Call]
	arrived.Relayed = true
	g.deliver(c.Addr, Event{Kind: KindCallArrived, Call: arrived})
}

// handleCallEnd handles the end of a call at a node. The answer to a relayed call
// is returned to the node that relayed it.
func (g *nodeGroup) handleCallEnd(host string, c CallEffect) {
	if entry := g.entryHosts[c.Call]; entry != "" && entry != host {
		key := g.relays[c.Call]
		outcome := c.Outcome
		if c.Action == CallRespond {
			outcome = mesh.Answered
		}
		if g.canReach(host, entry) {
			g.deliver(entry, Event{Kind: KindAttemptDone, Attempt: AttemptDone{
				Call: c.Call, Attempt: key.attempt, Outcome: outcome, Reason: c.Reason,
			}})
		}
		g.checkAnswer(host, c)
		return
	}
	g.checkAnswer(host, c)
	g.recordCallEnd(c)
}

func (g *nodeGroup) checkAnswer(host string, c CallEffect) {
	if c.Action == CallRespond && !g.answered[attemptKey{host, c.Call, c.Attempt}] {
		g.t.Errorf("call %d is answered by attempt %d, which was not answered", c.Call, c.Attempt)
	}
}

func (g *nodeGroup) recordCallEnd(c CallEffect) {
	g.results[c.Call], g.endedAt[c.Call] = c, g.now
	g.endCounts[c.Call]++
	delete(g.relays, c.Call) // as in the runtime, an end by the reducer overrides a late answer of the peer
	if g.onEnd != nil {
		g.onEnd(c)
	}
}

// finishRelay ends a relayed call with the answer of the peer if the reducer added
// no effect, as the runtime does.
func (g *nodeGroup) finishRelay(host string, ev *Event, out *Ready) {
	key, ok := g.relays[ev.Attempt.Call]
	if ev.Kind != KindAttemptDone || !ok || key.host != host || key.attempt != ev.Attempt.Attempt || len(out.Calls) > 0 {
		return
	}
	delete(g.relays, ev.Attempt.Call)
	c := CallEffect{Call: ev.Attempt.Call, Action: CallReject, Outcome: ev.Attempt.Outcome, Reason: ev.Attempt.Reason}
	if c.Outcome == mesh.Answered {
		c.Action = CallRespond
	}
	g.recordCallEnd(c)
}

// kill ends the process of a node. Its callers lose their connections, and entry
// nodes lose the attempts that are at its gate.
func (g *nodeGroup) kill(host string) {
	g.nodes[host] = nil
	var lost []gateKey
	for k, a := range g.gateAttempts {
		if k.host == host {
			lost = append(lost, k)
		}
		if a.host == host {
			delete(g.gateAttempts, k)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].call < lost[j].call })
	for _, k := range lost {
		g.attemptDone(host, k.call, AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost})
	}
	for id, key := range g.relays {
		if key.host == host {
			delete(g.relays, id)
		}
	}
	for id, entry := range g.entryHosts {
		if entry == host && g.endCounts[id] == 0 {
			g.endCounts[id] = 1
		}
	}
}

// trace makes each later step write its arriving call, its effects on calls, its
// timeline entries and its replies to w, one line each.
func (g *nodeGroup) trace(w *strings.Builder) {
	start := g.now
	line := func(host, format string, args ...any) {
		fmt.Fprintf(w, "%6dms %-9s %s\n", g.now.Sub(start).Milliseconds(), host, fmt.Sprintf(format, args...))
	}
	g.onEvent = func(host string, ev *Event) {
		if c := ev.Call; ev.Kind == KindCallArrived {
			line(host, "call %d arrives: %s %s %s", c.Call, c.Method, c.Path, c.RequestID)
		}
	}
	g.onEffects = func(host string, out *Ready) {
		for _, c := range out.Calls {
			switch c.Action {
			case CallForward:
				line(host, "call %d attempt %d to %s", c.Call, c.Attempt, c.Instance)
			case CallRelay:
				line(host, "call %d relayed to %s", c.Call, c.Host)
			case CallRespond:
				line(host, "call %d answered by attempt %d", c.Call, c.Attempt)
			default:
				line(host, "call %d rejected: %s, %s", c.Call, c.Outcome, c.Reason)
			}
		}
		for _, e := range out.Gates {
			call := g.gateAttempts[gateKey{host, e.Call}].call
			switch e.Action {
			case GateDispatch:
				line(host, "gate runs call %d", call)
			case GateReject:
				line(host, "gate rejects call %d: %s, %s", call, e.Outcome, e.Reason)
			}
		}
		for _, e := range out.Timeline {
			line(host, "%s", strings.Join(strings.Fields(fmt.Sprintf("%s %s %s%s %s", e.Kind, e.Host, versionText(e.Config), e.Move, e.Detail)), " "))
		}
		for _, r := range out.Replies {
			if r.Publish != nil {
				line(host, "reply: %s, version %s", r.Publish.Status, r.Publish.Version)
			}
		}
		if out.Drained && !g.drained[host] {
			line(host, "may exit")
		}
	}
}
