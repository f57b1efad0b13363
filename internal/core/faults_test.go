package core

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// faults extends group with faults, observers and the bookkeeping that the
// guarantees are checked against.
type faults struct {
	before func(host string, ev *Event)
	after  func(host string, out *Ready)
	// apart separates two hosts; lose drops the result of an attempt; busy is
	// the time that a backend server works on a call.
	apart func(a, b string) bool
	lose  func() bool
	busy  func() time.Duration
	// backendOf answers a call by its number; it takes the place of backend.
	backendOf func(mesh.CallID) GateDone
	crashed   map[string]int // crashes of the backend server of a host

	arrivals map[mesh.CallID]CallArrived
	entries  map[mesh.CallID]string // host at which a call arrived
	relays   map[mesh.CallID]attemptKey
	runs     map[mesh.CallID]int // starts of a call in backend servers
	ends     map[mesh.CallID]int
	endedAt  map[mesh.CallID]mesh.Time
	answered map[attemptKey]bool
	// onEnd sees each end of a call at the node it arrived at.
	onEnd func(CallEffect)
}

func newFaults() faults {
	return faults{
		crashed:  map[string]int{},
		arrivals: map[mesh.CallID]CallArrived{}, entries: map[mesh.CallID]string{}, relays: map[mesh.CallID]attemptKey{},
		runs: map[mesh.CallID]int{}, ends: map[mesh.CallID]int{}, endedAt: map[mesh.CallID]mesh.Time{}, answered: map[attemptKey]bool{},
	}
}

func (g *group) reaches(a, b string) bool { return g.apart == nil || a == b || !g.apart(a, b) }

// domainsApart separates hosts of different failure domains.
func domainsApart(a, b string) bool { return a[:len(a)-2] != b[:len(b)-2] }

func (g *group) deliver(host string, ev Event) {
	g.schedule(delivery{at: g.now.Add(delay), host: host, node: g.nodes[host], ev: ev})
}

func (g *group) later(d time.Duration, do func()) {
	g.schedule(delivery{at: g.now.Add(d), do: do})
}

func (g *group) schedule(d delivery) {
	i := sort.Search(len(g.queue), func(i int) bool { return g.queue[i].at > d.at })
	g.queue = slices.Insert(g.queue, i, d)
}

// send lets a call arrive at a node.
func (g *group) send(host string, c CallArrived) {
	g.arrivals[c.Call], g.entries[c.Call] = c, host
	g.step(host, Event{Kind: KindCallArrived, Call: c})
}

func orderCall(id mesh.CallID, identity string) CallArrived {
	return CallArrived{Call: id, Method: []byte("POST"), Path: []byte("/orders"), RequestID: []byte(identity)}
}

func (g *group) relay(host string, c CallEffect) {
	g.relays[c.Call] = attemptKey{host, c.Call, c.Attempt}
	if g.nodes[c.Addr] == nil || !g.reaches(host, c.Addr) {
		g.deliver(host, Event{Kind: KindAttemptDone, Attempt: AttemptDone{
			Call: c.Call, Attempt: c.Attempt, Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost,
		}})
		return
	}
	arrived := g.arrivals[c.Call]
	arrived.Relayed = true
	g.deliver(c.Addr, Event{Kind: KindCallArrived, Call: arrived})
}

// end takes in the end of a call. The answer to a relayed call goes back to
// the node that relayed it.
func (g *group) end(host string, c CallEffect) {
	if entry := g.entries[c.Call]; entry != "" && entry != host {
		key := g.relays[c.Call]
		outcome := c.Outcome
		if c.Action == CallRespond {
			outcome = mesh.Answered
		}
		if g.reaches(host, entry) {
			g.deliver(entry, Event{Kind: KindAttemptDone, Attempt: AttemptDone{
				Call: c.Call, Attempt: key.attempt, Outcome: outcome, Reason: c.Reason,
			}})
		}
		g.checkAnswer(host, c)
		return
	}
	g.checkAnswer(host, c)
	g.ended(c)
}

func (g *group) checkAnswer(host string, c CallEffect) {
	if c.Action == CallRespond && !g.answered[attemptKey{host, c.Call, c.Attempt}] {
		g.t.Errorf("call %d is answered with attempt %d, which has no answer", c.Call, c.Attempt)
	}
}

func (g *group) ended(c CallEffect) {
	g.results[c.Call], g.endedAt[c.Call] = c, g.now
	g.ends[c.Call]++
	delete(g.relays, c.Call) // the runtime prefers the reducer's end to a late answer of the peer
	if g.onEnd != nil {
		g.onEnd(c)
	}
}

// settleRelay lets the answer of a peer stand if the reducer adds no effect.
func (g *group) settleRelay(host string, ev *Event, out *Ready) {
	key, ok := g.relays[ev.Attempt.Call]
	if ev.Kind != KindAttemptDone || !ok || key.host != host || key.attempt != ev.Attempt.Attempt || len(out.Calls) > 0 {
		return
	}
	delete(g.relays, ev.Attempt.Call)
	c := CallEffect{Call: ev.Attempt.Call, Action: CallReject, Outcome: ev.Attempt.Outcome, Reason: ev.Attempt.Reason}
	if c.Outcome == mesh.Answered {
		c.Action = CallRespond
	}
	g.ended(c)
}

// kill ends a process. Callers lose their connections, and entry nodes the
// attempts at its gate.
func (g *group) kill(host string) {
	g.nodes[host] = nil
	var lost []gateKey
	for k, a := range g.gates {
		if k.host == host {
			lost = append(lost, k)
		}
		if a.host == host {
			delete(g.gates, k)
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
	for id, entry := range g.entries {
		if entry == host && g.ends[id] == 0 {
			g.ends[id] = 1
		}
	}
}

// trace writes one line for each effect on a call and each time line entry.
func (g *group) trace(w *strings.Builder) {
	start := g.now
	line := func(host, format string, args ...any) {
		fmt.Fprintf(w, "%6dms %-9s %s\n", g.now.Sub(start).Milliseconds(), host, fmt.Sprintf(format, args...))
	}
	g.before = func(host string, ev *Event) {
		if c := ev.Call; ev.Kind == KindCallArrived {
			line(host, "call %d arrives: %s %s %s", c.Call, c.Method, c.Path, c.RequestID)
		}
	}
	g.after = func(host string, out *Ready) {
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
			call := g.gates[gateKey{host, e.Call}].call
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
