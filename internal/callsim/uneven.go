package callsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

// UnevenPolicy names a way to place requests of uneven work.
type UnevenPolicy string

// Policies for uneven work.
const (
	// ByRoute expects the same work of all requests of a route.
	ByRoute UnevenPolicy = "by-route"
	// ByWork predicts the work of each request with package workcost.
	ByWork UnevenPolicy = "by-work"
	// FullKnowledge knows the true work of each request and the true backlog of each
	// instance without delay.
	FullKnowledge UnevenPolicy = "full-knowledge"
)

// UnevenPolicies lists all policies for uneven work.
var UnevenPolicies = []UnevenPolicy{ByRoute, ByWork, FullKnowledge}

// UnevenConfig describes one run with requests of uneven work.
type UnevenConfig struct {
	Load   UnevenLoad
	Policy UnevenPolicy
	// Rate is the offered load as a share of the capacity.
	Rate float64
	Seed uint64
}

const (
	unevenService   = "s"
	unevenEntries   = 60
	unevenInstances = 20
	unevenSlots     = 9
	slowestSpeed    = 0.5
	fastestSpeed    = 1.6
	unevenDomains   = 3
	crossDelay      = 1400 * time.Microsecond
	unevenWarmUp    = 5 * time.Second
	unevenLength    = 15 * time.Second
	unevenTick      = 50 * time.Millisecond
	unevenSlowEvery = 10 // one in this number of instances is slow with UnevenLoad.SlowInstances
	clientRetries   = 1
	// clientWaitShare is the share of its remaining time that a client waits at most
	// before it retries.
	clientWaitShare = 1.0 / 3
)

// unevenSim is the state of one run. Each entry node is a proxy.Node; the first
// unevenInstances of them have an instance.
type unevenSim struct {
	config   UnevenConfig
	engine   engine
	random   *rand.Rand // of the nodes and the network
	source   *workSource
	nodes    []*proxy.Node
	hosts    map[mesh.HostID]int
	lastID   mesh.CallID
	calls    map[mesh.CallID]*clientRequest // by the call at the entry node
	attempts map[mesh.CallID]*gateAttempt   // by the call at the gate
	exact    *exactPlacement                // set for FullKnowledge
	start    mesh.Time
	results  UnevenResults
}

// clientRequest is a client's request with its retries.
type clientRequest struct {
	work
	began    mesh.Time
	deadline mesh.Time
	retries  int
	entry    int
	gate     mesh.CallID // of the attempt in flight, zero for none
}

// gateAttempt is an attempt at a gate.
type gateAttempt struct {
	entry      int
	call       mesh.CallID
	attempt    uint8
	host       int
	arrived    mesh.Time
	dispatched mesh.Time
}

// instanceSpeed returns the speed of an instance, with equal steps between the slowest
// and the fastest one.
func instanceSpeed(i int) float64 {
	return slowestSpeed + (fastestSpeed-slowestSpeed)*float64(i)/(unevenInstances-1)
}

// duration returns the duration of work that begins now at an instance.
func (s *unevenSim) duration(work time.Duration, i int) time.Duration {
	speed := instanceSpeed(i)
	if s.config.Load.SlowInstances && i%unevenSlowEvery == 0 && s.engine.now.Sub(s.start) >= unevenWarmUp {
		speed /= slowInstanceFactor
	}
	return time.Duration(float64(work) / speed)
}

// RunUneven executes one run and returns what the clients got after the warm-up.
func RunUneven(c UnevenConfig) UnevenResults {
	s := &unevenSim{config: c, random: rand.New(rand.NewPCG(c.Seed, 2)), hosts: make(map[mesh.HostID]int),
		calls: make(map[mesh.CallID]*clientRequest), attempts: make(map[mesh.CallID]*gateAttempt), results: newUnevenResults()}
	s.source = newWorkSource(c.Load, rand.New(rand.NewPCG(c.Seed, 1)))
	s.engine.now = mesh.Time(time.Hour)
	s.start = s.engine.now
	if c.Policy == FullKnowledge {
		s.exact = &exactPlacement{}
	} else {
		s.addNodes()
		s.tick()
	}
	s.scheduleArrivals()
	s.engine.runUntil(s.start.Add(unevenLength))
	return s.results
}

func (s *unevenSim) addNodes() {
	var members []proxy.Member
	for i := range unevenEntries {
		host := mesh.HostID(fmt.Sprintf("n%02d", i))
		s.hosts[host] = i
		m := proxy.Member{Host: host, Domain: unevenDomain(i), ForwardAddr: string(host) + ":1", PeerAddr: string(host) + ":2", Incarnation: 100, Sequence: 1}
		if i < unevenInstances {
			m.Instance = &proxy.MemberInstance{ID: unevenInstance(i), Service: unevenService, Version: "v1", Slots: unevenSlots}
		}
		members = append(members, m)
	}
	snapshot := s.config.Load.snapshot()
	for i, m := range members {
		s.nodes = append(s.nodes, proxy.New(s.engine.now, proxy.Settings{
			Host: m.Host, Domain: m.Domain, ForwardAddr: m.ForwardAddr, PeerAddr: m.PeerAddr, Service: unevenService, Incarnation: 100,
			Repeats:   retry.WindowBudget{Ratio: 0.2, Extra: 60, Span: 10 * time.Second},
			WorkAware: s.config.Policy == ByWork,
		}))
		s.step(i, proxy.ConfigurationSeen{Snapshot: snapshot})
		if m.Instance != nil {
			s.step(i, proxy.InstanceReported{ID: m.Instance.ID, Service: unevenService, Version: "v1", Slots: unevenSlots, Sequence: 1})
		}
		s.step(i, proxy.MembersSeen{Members: members})
	}
}

func unevenDomain(i int) mesh.FailureDomain {
	return mesh.FailureDomain(fmt.Sprintf("domain-%d", i%unevenDomains))
}

func unevenInstance(i int) mesh.InstanceID { return mesh.InstanceID(fmt.Sprintf("i%02d", i)) }

// scheduleArrivals schedules new requests as a Poisson process.
func (s *unevenSim) scheduleArrivals() {
	speed := 0.0
	for i := range unevenInstances {
		speed += instanceSpeed(i)
	}
	gap := s.config.Load.meanWork().Seconds() / (speed * unevenSlots * s.config.Rate) * float64(time.Second)
	arrivals := rand.New(rand.NewPCG(s.config.Seed, 3))
	var next func()
	next = func() {
		c := &clientRequest{work: s.source.draw(), began: s.engine.now}
		c.deadline = c.began.Add(c.kind.limit)
		s.send(c)
		s.engine.after(time.Duration(arrivals.ExpFloat64()*gap), next)
	}
	s.engine.after(0, next)
}

// send sends a client's request to a random entry node.
func (s *unevenSim) send(c *clientRequest) {
	if s.exact != nil {
		s.placeExactly(c)
		return
	}
	s.lastID++
	id := s.lastID
	c.entry = s.random.IntN(unevenEntries)
	s.calls[id] = c
	s.engine.after(c.deadline.Sub(s.engine.now), func() { s.expire(id) })
	s.step(c.entry, proxy.CallArrived{
		Call: id, Host: "a", Path: c.path, Key: tenantName(c.tenant), Budget: c.deadline.Sub(s.engine.now),
		Method: "POST", BodyBytes: c.size,
	})
}

// refused ends an attempt of a client, which retries if it has time and a retry left.
func (s *unevenSim) refused(c *clientRequest, retryAfter time.Duration) {
	left := c.deadline.Sub(s.engine.now)
	wait := min(retryAfter, time.Duration(clientWaitShare*float64(left)))
	if c.retries >= clientRetries || retryAfter <= 0 || left <= 0 {
		s.record(c, requestRefused)
		return
	}
	c.retries++
	s.engine.after(wait, func() { s.send(c) })
}

func (s *unevenSim) tick() {
	for i := range s.nodes {
		s.step(i, proxy.Tick{})
	}
	s.engine.after(unevenTick, s.tick)
}

// step applies an event to a node and executes its effects.
func (s *unevenSim) step(node int, ev proxy.Event) {
	var out proxy.Ready
	s.nodes[node].Step(s.engine.now, s.random.Uint64(), ev, &out)
	for i := range out.Calls {
		s.callEffect(node, &out.Calls[i])
	}
	for i := range out.Gates {
		s.gateEffect(node, &out.Gates[i])
	}
}

func (s *unevenSim) callEffect(node int, e *proxy.CallEffect) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	switch {
	case e.Action == proxy.CallForward:
		s.forward(node, c, e)
		return
	case e.Action == proxy.CallRespond:
		s.record(c, requestAnswered)
	case e.Outcome == mesh.NotRun:
		s.refused(c, e.RetryAfter)
	default:
		s.record(c, requestLost)
	}
	delete(s.calls, e.Call)
}

func (s *unevenSim) delay(a, b int) time.Duration {
	if a == b {
		return 0
	}
	if unevenDomain(a) == unevenDomain(b) {
		return localDelay
	}
	return crossDelay
}

func (s *unevenSim) forward(entry int, c *clientRequest, e *proxy.CallEffect) {
	host := s.hosts[e.Host]
	s.lastID++
	id := s.lastID
	c.gate = id
	s.attempts[id] = &gateAttempt{entry: entry, call: e.Call, attempt: e.Attempt, host: host}
	s.results.countForward(s.measured(c))
	arrived := proxy.GateArrived{
		Call: id, Instance: e.Instance, Route: e.Route, Rank: e.Rank, Tenant: e.Tenant, TenantRank: e.TenantRank,
		MayQueue: e.MayQueue, Fingerprint: mesh.Fingerprint(e.Call), Method: "POST", Path: c.path, BodyBytes: c.size,
	}
	deadline, targetAt := e.Deadline, s.engine.now.Add(e.TimeToTarget)
	s.engine.after(s.delay(entry, host), func() {
		if a := s.attempts[id]; a != nil {
			a.arrived = s.engine.now
			arrived.TimeLeft, arrived.TimeToTarget = deadline.Sub(s.engine.now), targetAt.Sub(s.engine.now)
			s.step(host, arrived)
		}
	})
}

func (s *unevenSim) gateEffect(host int, e *proxy.GateEffect) {
	a := s.attempts[e.Call]
	if a == nil {
		return
	}
	if e.Action == proxy.GateReject {
		s.endAttempt(e.Call, a, proxy.AttemptDone{Outcome: mesh.NotRun, Reason: e.Reason, Load: e.Load, HasLoad: true})
		return
	}
	c := s.calls[a.call]
	if c == nil {
		return
	}
	a.dispatched = s.engine.now
	id := e.Call
	s.engine.after(s.duration(c.work.work, host), func() { s.finish(host, id) })
}

// finish ends a run at an instance.
func (s *unevenSim) finish(host int, id mesh.CallID) {
	a := s.attempts[id]
	if a == nil {
		return // the caller has given up
	}
	s.step(host, proxy.GateDone{Call: id, Result: proxy.GateAnswered})
	took := s.engine.now.Sub(a.dispatched) + 2*s.delay(a.entry, host)
	s.endAttempt(id, a, proxy.AttemptDone{
		Outcome: mesh.Answered, Reached: true, Duration: took, Bytes: 500, Load: s.nodes[host].LocalLoad(), HasLoad: true,
	})
}

// endAttempt sends the result of an attempt to its entry node.
func (s *unevenSim) endAttempt(id mesh.CallID, a *gateAttempt, done proxy.AttemptDone) {
	delete(s.attempts, id)
	done.Call, done.Attempt = a.call, a.attempt
	done.StartsIn, done.HasStartsIn = s.nodes[a.host].LocalStartsIn(s.engine.now)
	s.engine.after(s.delay(a.entry, a.host), func() { s.step(a.entry, done) })
}

// expire ends a call whose client has given up. The slot of a run is free again.
func (s *unevenSim) expire(id mesh.CallID) {
	c := s.calls[id]
	if c == nil {
		return
	}
	delete(s.calls, id)
	s.record(c, requestLost)
	s.step(c.entry, proxy.CallCancelled{Call: id})
	a := s.attempts[c.gate]
	if a == nil || a.call != id {
		return
	}
	delete(s.attempts, c.gate)
	if a.dispatched != 0 {
		s.step(a.host, proxy.GateDone{Call: c.gate, Result: proxy.GateAbandoned})
		return
	}
	s.step(a.host, proxy.GateCancelled{Call: c.gate})
}
