package core

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Property tests draw the same values in each run, unless the flags are given.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	// callLimit is the deadline of the calls of a random run. endLimit is the
	// time within which each of them has an end.
	callLimit = 500 * time.Millisecond
	endLimit  = callLimit + callEndGrace + expireInterval + TickInterval
	// healTime is the time after the end of all faults within which each node
	// serves lookups and new orders again.
	healTime = 15 * time.Second
)

// randomRun is a group with faults, calls, and the checks on them.
type randomRun struct {
	*group
	t          *rapid.T
	rng        *rand.Rand
	next       mesh.CallID
	sent       map[mesh.CallID]mesh.Time
	identityOf map[mesh.CallID]string
	identities []string
	runsOf     map[string]map[mesh.CallID]bool // calls sent under an identity
	highest    map[string]mesh.ConfigVersion
	operations int
	parted     bool
	lossy      int // percentage of lost envelopes
	violations []string
}

func newRandomRun(outer testing.TB, t *rapid.T) *randomRun {
	hosts := []string{"ifrane-1", "azrou-1", "ifrane-2", "azrou-2", "ifrane-3", "azrou-3"}
	r := &randomRun{
		group: readyOn(outer, hosts[:rapid.IntRange(4, 6).Draw(t, "hosts")]...), t: t,
		rng:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		sent: map[mesh.CallID]mesh.Time{}, identityOf: map[mesh.CallID]string{},
		runsOf: map[string]map[mesh.CallID]bool{}, highest: map[string]mesh.ConfigVersion{},
	}
	r.apart = func(a, b string) bool {
		return (r.parted && domainsApart(a, b)) || r.rng.IntN(100) < r.lossy
	}
	r.onEnd = r.checkEnd
	return r
}

func (r *randomRun) violation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// starts returns how often a request was given to a backend server.
func (r *randomRun) starts(id mesh.CallID) int {
	identity, ok := r.identityOf[id]
	if !ok {
		return r.runs[id]
	}
	total := 0
	for c := range r.runsOf[identity] {
		total += r.runs[c]
	}
	return total
}

func (r *randomRun) checkEnd(c CallEffect) {
	if r.ends[c.Call] > 1 {
		r.violation("call %d has two ends", c.Call)
	}
	if c.Action == CallReject && c.Outcome == mesh.NotRun && r.starts(c.Call) > 0 {
		r.violation("call %d is rejected as not-run but was given to a backend server", c.Call)
	}
	if took := r.now.Sub(r.sent[c.Call]); took > endLimit {
		r.violation("call %d ends after %v", c.Call, took)
	}
}

func (r *randomRun) check() {
	for identity, calls := range r.runsOf {
		for c := range calls {
			if r.starts(c) > 1 {
				r.violation("identity %s ran %d times", identity, r.starts(c))
			}
			break
		}
	}
	for host, n := range r.nodes {
		if n == nil {
			continue
		}
		if v := n.Applied(); v != 0 && v < r.highest[host] {
			r.violation("%s reverted from version %v to %v", host, r.highest[host], v)
		} else if v != 0 {
			r.highest[host] = v
		}
	}
	if len(r.violations) > 0 {
		r.t.Fatalf("%v", r.violations)
	}
}

// sendCall sends an order under an identity, or a lookup if it is empty.
func (r *randomRun) sendCall(host, identity string) mesh.CallID {
	if r.nodes[host] == nil {
		return 0
	}
	r.next++
	c := CallArrived{Call: r.next, Method: []byte("GET"), Path: []byte("/stock/7")}
	if identity != "" {
		c = orderCall(r.next, identity)
		r.identityOf[r.next] = identity
		if r.runsOf[identity] == nil {
			r.runsOf[identity] = map[mesh.CallID]bool{}
			r.identities = append(r.identities, identity)
		}
		r.runsOf[identity][r.next] = true
	}
	c.DeadlineMillis = uint32(callLimit / time.Millisecond)
	r.sent[r.next] = r.now
	r.send(host, c)
	return r.next
}

func (r *randomRun) restart(host string) {
	if r.nodes[host] == nil {
		r.start(host)
		r.announce(host, "v1")
	}
}

// act takes one random step.
func (r *randomRun) act() {
	host := rapid.SampledFrom(r.hosts).Draw(r.t, "host")
	home := host[:len(host)-2]
	switch rapid.IntRange(0, 16).Draw(r.t, "step") {
	case 0, 1, 2:
		r.sendCall(host, r.identity(home))
	case 3, 4, 5, 6:
		if len(r.identities) > 0 {
			recent := r.identities[max(0, len(r.identities)-4):]
			r.sendCall(host, rapid.SampledFrom(recent).Draw(r.t, "resend"))
		}
	case 7:
		r.sendCall(host, "")
	case 8:
		r.kill(host)
	case 9:
		r.restart(host)
	case 10:
		r.parted = !r.parted
	case 11:
		r.cut[host] = !r.cut[host]
	case 12:
		all := rapid.Bool().Draw(r.t, "platform")
		for _, h := range r.hosts {
			r.cut[h] = all
		}
	case 13:
		r.lossy = rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(r.t, "lossy")
		share := rapid.SampledFrom([]int{0, 0, 30}).Draw(r.t, "lost results")
		r.lose = func() bool { return r.rng.IntN(100) < share }
	case 14:
		result := rapid.SampledFrom([]GateResult{GateAnswered, GateLost, GateShed, GateNotSent}).Draw(r.t, "result")
		r.backend = func(string, mesh.BackendVersion) GateDone { return GateDone{Result: result} }
		slow := rapid.SampledFrom([]int{1, 50, 700}).Draw(r.t, "busy")
		r.busy = func() time.Duration { return time.Duration(1+r.rng.IntN(slow)) * time.Millisecond }
	case 15:
		r.sendCall(host, r.identity(home))
		r.run(time.Duration(rapid.IntRange(0, 6).Draw(r.t, "until gone")) * time.Millisecond)
		r.cancelNewest()
	case 16:
		if n := r.nodes[host]; n != nil {
			r.operations++
			r.startApply(host, n.Applied(), fmt.Sprintf("random-%d", r.operations))
		}
	}
}

// cancelNewest lets the caller of the newest call go away, and its entry node
// give up the attempt.
func (r *randomRun) cancelNewest() {
	id := r.next
	entry := r.entries[id]
	if id == 0 || r.ends[id] > 0 || r.nodes[entry] == nil {
		return
	}
	r.ends[id] = 1
	r.step(entry, Event{Kind: KindCallCancelled, CallID: id})
	for call := r.nextGate; call > 0 && call+8 > r.nextGate; call-- {
		for _, h := range r.hosts {
			if a := r.gates[gateKey{h, call}]; a.call == id {
				r.step(h, Event{Kind: KindGateCancelled, CallID: call})
			}
		}
	}
}

// heal ends all faults and restarts the dead nodes.
func (r *randomRun) heal() {
	r.parted, r.lossy, r.lose, r.backend, r.busy = false, 0, nil, nil, nil
	clear(r.cut)
	for _, h := range r.hosts {
		r.restart(h)
	}
	r.run(healTime)
}

// checkService checks that all calls have ended and that nodes serve again.
func (r *randomRun) checkService() {
	for id := range r.sent {
		if r.ends[id] != 1 {
			r.violation("call %d has %d ends", id, r.ends[id])
		}
	}
	for _, h := range r.hosts {
		n := r.nodes[h]
		if len(n.calls)+len(n.gateCalls)+len(n.applies) > 0 {
			r.violation("%s keeps %d calls, %d calls at the gate, %d operations", h, len(n.calls), len(n.gateCalls), len(n.applies))
		}
		if open := n.claims.Open(); open > 0 {
			r.violation("%s keeps %d claims", h, open)
		}
		if len(n.firstSeen) > len(r.hosts) {
			r.violation("%s keeps %d instances", h, len(n.firstSeen))
		}
		if n.Applied() != r.nodes[r.hosts[0]].Applied() {
			r.violation("%s has version %v in force", h, n.Applied())
		}
	}
	for _, h := range r.hosts {
		for _, identity := range []string{"", r.identity(h[:len(h)-2])} {
			id := r.sendCall(h, identity)
			r.run(callLimit)
			if c := r.results[id]; c.Action != CallRespond {
				r.violation("call %d at %s is rejected %v after the faults: %s, %s", id, h, healTime, c.Outcome, c.Reason)
			}
		}
	}
	for _, identity := range r.identities {
		r.sendCall(r.hosts[0], identity)
	}
	r.run(time.Second)
	r.check()
}

// Guards against a request identity that runs twice, a false not-run, an
// answer to the wrong call or given twice, a call without an end, a version
// that goes back, and state or refusals that outlast the faults, over random
// calls, resends, losses, late results, deaths, restarts, partitions and
// platform outages (G1, G5, G6, G7).
func TestRandomSessions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		r := newRandomRun(t, rt)
		for range rapid.IntRange(20, 50).Draw(rt, "steps") {
			r.act()
			r.run(time.Duration(rapid.SampledFrom([]int{1, 3, 50, 600, 2500}).Draw(rt, "ms")) * time.Millisecond)
			r.check()
		}
		r.heal()
		r.checkService()
	})
}
