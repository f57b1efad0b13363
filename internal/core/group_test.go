package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/platform/memstore"
	"github.com/chicoryscale/chicoryscale/internal/publish"
)

// deliveryDelay is the time that an envelope, an attempt or a platform operation
// takes.
const deliveryDelay = time.Millisecond

// nodeGroup simulates several nodes: it connects their reducers with an in-memory
// platform and fake backend servers and executes their effects in virtual time.
type nodeGroup struct {
	t     testing.TB
	now   mesh.Time
	seed  uint64
	nodes map[string]*Node // by control address
	hosts []string
	store *memstore.Store
	queue []delivery
	// platformDown is set for hosts that cannot reach the platform.
	platformDown map[string]bool
	// backend returns how a dispatched call ends. Without it each call is answered.
	// The zero result leaves the call in flight.
	backend func(host string, version mesh.BackendVersion) GateDone
	// gateAttempts maps a call at a gate to the attempt that waits for it.
	gateAttempts map[gateKey]attemptKey
	lastGateCall mesh.CallID
	// crashCounts holds the crash counts that gates reported, by call at the gate.
	crashCounts map[mesh.CallID]uint8
	results     map[mesh.CallID]CallEffect
	replies     map[uint64]OperatorReply
	// executions counts the calls that backend servers ran.
	executions int
	// identities counts the created request identities.
	identities    int
	applyRequests uint64
	log           []string // timeline entries
	drained       map[string]bool
	meter         *byteMeter
	faults
}

// delivery is an event for one process of a host, or an action if do is set. An
// event is dropped if the process has ended when it is due.
type delivery struct {
	at   mesh.Time
	host string
	node *Node
	ev   Event
	do   func()
}

type gateKey struct {
	host string
	call mesh.CallID
}

type attemptKey struct {
	host    string
	call    mesh.CallID
	attempt uint8
}

func newNodeGroup(t testing.TB, hosts ...string) *nodeGroup {
	g := &nodeGroup{
		t: t, now: mesh.Time(time.Hour), nodes: map[string]*Node{}, hosts: hosts, store: memstore.New(),
		platformDown: map[string]bool{}, gateAttempts: map[gateKey]attemptKey{}, results: map[mesh.CallID]CallEffect{}, crashCounts: map[mesh.CallID]uint8{},
		replies: map[uint64]OperatorReply{}, drained: map[string]bool{}, faults: newFaults(),
	}
	for _, h := range hosts {
		g.start(h)
	}
	return g
}

// start starts a node. Hosts are named "<failure domain>-<number>".
func (g *nodeGroup) start(host string) {
	domain := host[:len(host)-2]
	g.nodes[host] = New(Settings{
		Host: mesh.HostID(host), Domain: mesh.FailureDomain(domain), ControlAddr: host, PeerAddr: host,
		Started: g.now, Seeds: g.hosts,
	})
}

func (g *nodeGroup) step(host string, ev Event) {
	n := g.nodes[host]
	if n == nil {
		return
	}
	g.seed++
	ev.Now, ev.Seed = g.now, deriveSeed(g.seed)
	var out Ready
	if g.onEvent != nil {
		g.onEvent(host, &ev)
	}
	n.Step(&ev, &out)
	if g.onEffects != nil {
		g.onEffects(host, &out)
	}
	g.finishRelay(host, &ev, &out)
	g.execute(host, &out)
}

func (g *nodeGroup) execute(host string, out *Ready) {
	for i := range out.Sends {
		if g.meter != nil {
			g.meter.count(host, &out.Sends[i])
		}
		if g.canReach(host, out.Sends[i].Addr) {
			g.deliver(out.Sends[i].Addr, Event{Kind: KindEnvelope, Envelope: &out.Sends[i].Envelope})
		}
	}
	for _, r := range out.Platform {
		res := platform.Result{ID: r.Request.ID, Op: r.Request.Op, Status: platform.Unknown}
		if !g.platformDown[host] {
			res = g.store.Execute(&r.Request)
		}
		g.deliver(host, Event{Kind: KindPlatform, Platform: &PlatformResult{Owner: r.Owner, Result: res}})
	}
	for _, c := range out.Calls {
		g.executeCall(host, c)
	}
	for _, e := range out.Gates {
		g.executeGate(host, e)
	}
	for _, r := range out.Replies {
		g.replies[r.ID] = r
	}
	for _, e := range out.Timeline {
		g.log = append(g.log, fmt.Sprintf("%6dms %s %s %s %s%s%s", g.now.Sub(mesh.Time(time.Hour)).Milliseconds(), host, e.Kind, e.Host, versionText(e.Config), e.Move, e.Detail))
	}
	if out.Drained {
		g.drained[host] = true
	}
}

func versionText(v mesh.ConfigVersion) string {
	if v == 0 {
		return ""
	}
	return v.String() + " "
}

func (g *nodeGroup) executeCall(host string, c CallEffect) {
	switch c.Action {
	case CallForward:
		g.lastGateCall++
		g.gateAttempts[gateKey{c.Addr, g.lastGateCall}] = attemptKey{host, c.Call, c.Attempt}
		if g.nodes[c.Addr] == nil || !g.canReach(host, c.Addr) {
			g.attemptDone(c.Addr, g.lastGateCall, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost})
			return
		}
		g.deliver(c.Addr, Event{Kind: KindGateArrived, Gate: GateArrived{
			Call: g.lastGateCall, Instance: c.Instance, Priority: c.Priority, Idempotent: c.Idempotent, Crashes: c.Crashes,
			Hash: g.arrivals[c.Call].Hash, DeadlineMillis: uint32(c.Deadline.Sub(g.now) / time.Millisecond),
		}})
	case CallRelay:
		g.executeRelay(host, c)
	default:
		g.handleCallEnd(host, c)
	}
}

func (g *nodeGroup) executeGate(host string, e GateEffect) {
	if e.Action == GateCrashReport {
		g.crashCounts[e.Call] = e.Crashes
		return
	}
	if e.Action == GateReject {
		g.attemptDone(host, e.Call, AttemptDone{Outcome: e.Outcome, Reason: e.Reason, Load: e.Load, HasLoad: true})
		return
	}
	done := GateDone{Result: GateAnswered}
	if g.backend != nil {
		done = g.backend(host, e.Version)
	}
	if g.backendForCall != nil {
		done = g.backendForCall(g.gateAttempts[gateKey{host, e.Call}].call)
	}
	if done.Result == 0 {
		return // the backend server is still working on the call
	}
	if done.Result == GateAnswered || done.Result == GateLost {
		g.executions++
		g.executionsByCall[g.gateAttempts[gateKey{host, e.Call}].call]++
	}
	if g.serviceTime == nil {
		g.gateDone(host, e, done)
		return
	}
	n, crashes := g.nodes[host], g.backendCrashes[host]
	g.runAfter(g.serviceTime(), func() {
		if done.Crashed {
			g.backendCrashes[host]++
		} else if g.backendCrashes[host] != crashes {
			done = GateDone{Result: GateLost, Crashed: true} // lost in the crash of another call
		}
		if g.nodes[host] == n {
			g.gateDone(host, e, done)
		}
	})
}

func (g *nodeGroup) gateDone(host string, e GateEffect, done GateDone) {
	done.Call = e.Call
	g.step(host, Event{Kind: KindGateDone, GateDone: done})
	result := AttemptDone{Outcome: mesh.Answered, Failed: done.Failed, Crashed: done.Crashed, Crashes: g.crashCounts[e.Call], Load: e.Load, HasLoad: true}
	switch done.Result {
	case GateLost:
		result.Outcome, result.Reason = mesh.MayHaveRun, mesh.ReasonConnectionLost
	case GateNotSent, GateShed:
		result.Outcome, result.Reason = mesh.NotRun, mesh.ReasonOverload
	}
	g.attemptDone(host, e.Call, result)
}

func (g *nodeGroup) attemptDone(gateHost string, id mesh.CallID, a AttemptDone) {
	key, ok := g.gateAttempts[gateKey{gateHost, id}]
	if !ok {
		return // the process of the entry node has ended
	}
	delete(g.gateAttempts, gateKey{gateHost, id})
	a.Call, a.Attempt = key.call, key.attempt
	if a.Outcome == mesh.Answered {
		g.answered[key] = true
	}
	if !g.canReach(gateHost, key.host) || (g.dropResult != nil && g.dropResult()) {
		return
	}
	g.deliver(key.host, Event{Kind: KindAttemptDone, Attempt: a})
}

// run advances virtual time in steps of deliveryDelay and delivers what is due.
func (g *nodeGroup) run(d time.Duration) {
	for end := g.now.Add(d); g.now < end; {
		g.now = g.now.Add(deliveryDelay)
		for len(g.queue) > 0 && g.queue[0].at <= g.now {
			next := g.queue[0]
			g.queue = g.queue[1:]
			if next.do != nil {
				next.do()
			} else if next.node == g.nodes[next.host] {
				g.step(next.host, next.ev)
			}
		}
		if g.now%mesh.Time(TickInterval) == 0 {
			for _, h := range g.hosts {
				g.step(h, Event{Kind: KindTick})
			}
		}
	}
}

func (g *nodeGroup) announce(host string, version mesh.BackendVersion) {
	g.step(host, Event{Kind: KindAnnounced, Announcement: &Announcement{
		Instance: mesh.InstanceID(host + "-" + string(version)), Service: "stock", Version: version, Addr: host + ":1",
		Slots: 9, LeaseMillis: 600_000,
	}})
}

const testConfig = `
[[failure_domains]]
name = "ifrane"
[[failure_domains]]
name = "azrou"
[[services]]
name = "stock"
[[classes]]
name = "lookup"
priority = "normal"
idempotent = true
deadline_ms = 500
target_latency_ms = 100
target_success_share = 0.99
retry_budget_share = 0.1
[[classes]]
name = "order"
priority = "critical"
idempotent = false
deadline_ms = 500
target_latency_ms = 100
target_success_share = 0.99
retry_budget_share = 0.1
[[routes]]
name = "stock"
method = "GET"
path_prefix = "/stock"
service = "stock"
class = "lookup"
[[routes]]
name = "orders"
method = "POST"
path_prefix = "/orders"
service = "stock"
class = "order"
`

// apply publishes testConfig through a host and waits until it is in force.
func (g *nodeGroup) apply(host string, base mesh.ConfigVersion, operation string) OperatorReply {
	g.t.Helper()
	id := g.startApply(host, base, operation)
	g.run(4 * time.Second)
	return g.replies[id]
}

// startApply starts to publish testConfig and returns the ID of the request.
func (g *nodeGroup) startApply(host string, base mesh.ConfigVersion, operation string) uint64 {
	g.t.Helper()
	snapshot, err := config.ParseTOML("test.toml", []byte(testConfig))
	if err != nil {
		g.t.Fatal(err)
	}
	encoded, err := config.Encode(snapshot)
	if err != nil {
		g.t.Fatal(err)
	}
	g.applyRequests++
	id := 1000 + g.applyRequests
	g.step(host, Event{Kind: KindOperator, Operator: &OperatorRequest{ID: id, Apply: &ApplyRequest{
		Operation: publish.OperationID(operation), Operator: "amina", Base: base, Snapshot: encoded,
	}}})
	return id
}

// lookup sends an idempotent call and returns its result.
func (g *nodeGroup) lookup(host string, id mesh.CallID) CallEffect {
	g.send(host, CallArrived{Call: id, Method: []byte("GET"), Path: []byte("/stock/7")})
	g.run(time.Second)
	return g.results[id]
}

// order sends a non-idempotent call with an identity.
func (g *nodeGroup) order(host string, id mesh.CallID, identity string) CallEffect {
	g.send(host, orderCall(id, identity))
	g.run(time.Second)
	return g.results[id]
}

// identity returns a new request identity with the current virtual time as its
// creation time.
func (g *nodeGroup) identity(domain string) string {
	var u uuid.UUID
	ms := uint64(int64(g.now) / int64(time.Millisecond))
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	g.identities++
	u[6], u[8], u[14], u[15] = 0x70, 0x80, byte(g.identities>>8), byte(g.identities)
	return domain + "." + u.String()
}
