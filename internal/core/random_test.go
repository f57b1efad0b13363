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

// The property tests draw the same values in each run unless the flags are given.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	// randomCallTimeout is the timeout of the calls of a random run.
	// maxCallDuration is the time within which each of them must end.
	randomCallTimeout = 500 * time.Millisecond
	maxCallDuration   = randomCallTimeout + callEndGrace + expireInterval + TickInterval
	// recoveryTime is the time after the end of all faults within which each node
	// must serve lookups and new orders again.
	recoveryTime = 15 * time.Second
)

// randomRun is a node group with random faults and calls, and with checks of the
// guarantees.
type randomRun struct {
	*nodeGroup
	t              *rapid.T
	rng            *rand.Rand
	lastCall       mesh.CallID
	sentAt         map[mesh.CallID]mesh.Time
	identityOf     map[mesh.CallID]string
	identities     []string
	callsOf        map[string]map[mesh.CallID]bool // calls sent under an identity
	highestApplied map[string]mesh.ConfigVersion
	operations     int
	domainsSplit   bool // hosts of different failure domains cannot reach each other
	lossPercent    int  // percentage of lost envelopes
	violations     []string
}

func newRandomRun(outer testing.TB, t *rapid.T) *randomRun {
	hosts := []string{"ifrane-1", "azrou-1", "ifrane-2", "azrou-2", "ifrane-3", "azrou-3"}
	r := &randomRun{
		nodeGroup: newReadyGroupOn(outer, hosts[:rapid.IntRange(4, 6).Draw(t, "hosts")]...), t: t,
		rng:    rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		sentAt: map[mesh.CallID]mesh.Time{}, identityOf: map[mesh.CallID]string{},
		callsOf: map[string]map[mesh.CallID]bool{}, highestApplied: map[string]mesh.ConfigVersion{},
	}
	r.partitioned = func(a, b string) bool {
		return (r.domainsSplit && inDifferentDomains(a, b)) || r.rng.IntN(100) < r.lossPercent
	}
	r.onEnd = r.checkEnd
	return r
}

func (r *randomRun) violation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// requestExecutions returns how often backend servers ran the request of a call,
// over all calls with its identity.
func (r *randomRun) requestExecutions(id mesh.CallID) int {
	identity, ok := r.identityOf[id]
	if !ok {
		return r.executionsByCall[id]
	}
	total := 0
	for c := range r.callsOf[identity] {
		total += r.executionsByCall[c]
	}
	return total
}

func (r *randomRun) checkEnd(c CallEffect) {
	if r.endCounts[c.Call] > 1 {
		r.violation("call %d has two ends", c.Call)
	}
	if c.Action == CallReject && c.Outcome == mesh.NotRun && r.requestExecutions(c.Call) > 0 {
		r.violation("call %d is rejected as not-run but a backend server ran its request", c.Call)
	}
	if took := r.now.Sub(r.sentAt[c.Call]); took > maxCallDuration {
		r.violation("call %d ends after %v", c.Call, took)
	}
}

func (r *randomRun) check() {
	for identity, calls := range r.callsOf {
		for c := range calls {
			if r.requestExecutions(c) > 1 {
				r.violation("identity %s ran %d times", identity, r.requestExecutions(c))
			}
			break
		}
	}
	for host, n := range r.nodes {
		if n == nil {
			continue
		}
		if v := n.Applied(); v != 0 && v < r.highestApplied[host] {
			r.violation("%s reverted from version %v to %v", host, r.highestApplied[host], v)
		} else if v != 0 {
			r.highestApplied[host] = v
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
	r.lastCall++
	c := CallArrived{Call: r.lastCall, Method: []byte("GET"), Path: []byte("/stock/7")}
	if identity != "" {
		c = orderCall(r.lastCall, identity)
		r.identityOf[r.lastCall] = identity
		if r.callsOf[identity] == nil {
			r.callsOf[identity] = map[mesh.CallID]bool{}
			r.identities = append(r.identities, identity)
		}
		r.callsOf[identity][r.lastCall] = true
	}
	c.DeadlineMillis = uint32(randomCallTimeout / time.Millisecond)
	r.sentAt[r.lastCall] = r.now
	r.send(host, c)
	return r.lastCall
}

func (r *randomRun) restart(host string) {
	if r.nodes[host] == nil {
		r.start(host)
		r.announce(host, "v1")
	}
}

// randomAction performs one random action: a call, a resend, or a change of the
// faults.
func (r *randomRun) randomAction() {
	host := rapid.SampledFrom(r.hosts).Draw(r.t, "host")
	domain := host[:len(host)-2]
	switch rapid.IntRange(0, 16).Draw(r.t, "step") {
	case 0, 1, 2:
		r.sendCall(host, r.identity(domain))
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
		r.domainsSplit = !r.domainsSplit
	case 11:
		r.platformDown[host] = !r.platformDown[host]
	case 12:
		down := rapid.Bool().Draw(r.t, "platform down")
		for _, h := range r.hosts {
			r.platformDown[h] = down
		}
	case 13:
		r.lossPercent = rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(r.t, "loss percent")
		resultLossPercent := rapid.SampledFrom([]int{0, 0, 30}).Draw(r.t, "result loss percent")
		r.dropResult = func() bool { return r.rng.IntN(100) < resultLossPercent }
	case 14:
		result := rapid.SampledFrom([]GateResult{GateAnswered, GateLost, GateShed, GateNotSent}).Draw(r.t, "result")
		r.backend = func(string, mesh.BackendVersion) GateDone { return GateDone{Result: result} }
		maxMillis := rapid.SampledFrom([]int{1, 50, 700}).Draw(r.t, "max service time in ms")
		r.serviceTime = func() time.Duration { return time.Duration(1+r.rng.IntN(maxMillis)) * time.Millisecond }
	case 15:
		r.sendCall(host, r.identity(domain))
		r.run(time.Duration(rapid.IntRange(0, 6).Draw(r.t, "ms until cancel")) * time.Millisecond)
		r.cancelNewest()
	case 16:
		if n := r.nodes[host]; n != nil {
			r.operations++
			r.startApply(host, n.Applied(), fmt.Sprintf("random-%d", r.operations))
		}
	}
}

// cancelNewest closes the connection of the caller of the newest call and cancels
// its attempt at the gate.
func (r *randomRun) cancelNewest() {
	id := r.lastCall
	entry := r.entryHosts[id]
	if id == 0 || r.endCounts[id] > 0 || r.nodes[entry] == nil {
		return
	}
	r.endCounts[id] = 1
	r.step(entry, Event{Kind: KindCallCancelled, CallID: id})
	for call := r.lastGateCall; call > 0 && call+8 > r.lastGateCall; call-- {
		for _, h := range r.hosts {
			if a := r.gateAttempts[gateKey{h, call}]; a.call == id {
				r.step(h, Event{Kind: KindGateCancelled, CallID: call})
			}
		}
	}
}

// heal ends all faults and restarts the dead nodes.
func (r *randomRun) heal() {
	r.domainsSplit, r.lossPercent, r.dropResult, r.backend, r.serviceTime = false, 0, nil, nil, nil
	clear(r.platformDown)
	for _, h := range r.hosts {
		r.restart(h)
	}
	r.run(recoveryTime)
}

// checkRecovered checks that all calls have ended, that no node keeps state of
// them and that all nodes serve calls again.
func (r *randomRun) checkRecovered() {
	for id := range r.sentAt {
		if r.endCounts[id] != 1 {
			r.violation("call %d has %d ends", id, r.endCounts[id])
		}
	}
	for _, h := range r.hosts {
		n := r.nodes[h]
		if len(n.calls)+len(n.gateCalls)+len(n.pendingApplies) > 0 {
			r.violation("%s keeps %d calls, %d calls at the gate, %d operations", h, len(n.calls), len(n.gateCalls), len(n.pendingApplies))
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
			r.run(randomCallTimeout)
			if c := r.results[id]; c.Action != CallRespond {
				r.violation("call %d at %s is rejected %v after the faults: %s, %s", id, h, recoveryTime, c.Outcome, c.Reason)
			}
		}
	}
	for _, identity := range r.identities {
		r.sendCall(r.hosts[0], identity)
	}
	r.run(time.Second)
	r.check()
}

// Guards against a request with an identity that runs twice, a request reported
// as not run that ran, an answer to the wrong call or given twice, a call that
// never ends, a configuration version that is reverted, and state or rejections
// that remain after the faults. The runs consist of random calls, resends, losses,
// late results, process ends, restarts, partitions and platform outages
// (guarantees G1, G5, G6 and G7).
func TestRandomSessions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		r := newRandomRun(t, rt)
		for range rapid.IntRange(20, 50).Draw(rt, "steps") {
			r.randomAction()
			r.run(time.Duration(rapid.SampledFrom([]int{1, 3, 50, 600, 2500}).Draw(rt, "ms")) * time.Millisecond)
			r.check()
		}
		r.heal()
		r.checkRecovered()
	})
}
