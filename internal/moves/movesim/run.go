package movesim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
)

// Result is the result of one simulated move.
type Result struct {
	Scenario Scenario
	State    moves.State
	Cause    moves.Cause
	// CauseRoute is the route on which the fault was found. It is empty if the
	// fault was found over all routes.
	CauseRoute mesh.Route
	// Duration is the time from the start until the terminal state was written.
	Duration time.Duration
	// Calls counts the service's calls from the start of the move until it was
	// done or, if it was not done, until the end of the run. NewCalls counts those
	// of them that were sent to the new version and FaultyCalls those that the
	// fault failed or slowed.
	Calls, NewCalls, FaultyCalls uint64
	// StopDelay is the longest time from the moment at which the oracle considers
	// the fault detectable to a later call to the new version. Detectable is false
	// if the fault never became detectable.
	StopDelay  time.Duration
	Detectable bool
	// FirstFaultyToLastNew is the time from the end of the first faulty call to the
	// last call to the new version.
	FirstFaultyToLastNew time.Duration
	// ReportedEarly is set if the move was reported, before its end, to have too
	// few calls.
	ReportedEarly bool
}

// InTime reports whether the move was done by its deadline.
func (r *Result) InTime() bool { return r.State == moves.Done && r.Duration <= r.Scenario.Duration }

// policy decides on the version of each call. Nodes are given by their index.
type policy interface {
	// usesNew reports whether a call is sent to the new version.
	usesNew(node int, route mesh.Route, draw uint64) bool
	// record records the result of a call on a node.
	record(node int, call *moves.CallResult)
	// advance advances virtual time by one time slice.
	advance()
	now() mesh.Time
	// serves reports whether a node accepts calls.
	serves(node int) bool
	// state returns the durable state of the move.
	state() moves.MoveState
	// beginDisturbance and endDisturbance begin and end a disturbance of the nodes,
	// the network or the platform. Other kinds have no effect.
	beginDisturbance(Disturbance)
	endDisturbance(Disturbance)
	// isolatedDomain returns the index of the partitioned domain, or -1.
	isolatedDomain() int
}

const (
	// afterEndTime is how long a run continues after the terminal state was written.
	afterEndTime = 3 * time.Second
	// afterDeadlineTime is how long a run continues after the deadline if the move
	// has not ended.
	afterDeadlineTime = time.Minute
)

// callSlots is the number of time slices in which calls in flight can end.
const callSlots = int(callTimeout/TimeSlice) + 2

// inFlightCall is a call in flight with its result, which is drawn when the call
// is sent.
type inFlightCall struct {
	node, route int
	isolated    bool
	sample      callSample
}

// run is the simulation of one move.
type run struct {
	scenario  *Scenario
	policy    policy
	rng       *rand.Rand
	backends  backends
	oracle    oracle
	domains   int
	nodes     int
	inFlight  [callSlots][]inFlightCall // ring, indexed by the time slice of the call's end
	slice     int
	result    Result
	completed bool // the move is done
}

// hosts returns the number of hosts of a deployment.
func hosts(d *Deployment) int {
	n := 0
	for _, s := range d.Services {
		n += s.Instances
	}
	return n
}

// Run simulates a scenario with the reducers of internal/moves.
func Run(s Scenario) Result { return runPolicy(&s, newReducers(&s)) }

// RunBaseline simulates a scenario with the baseline policy.
func RunBaseline(s Scenario) Result { return runPolicy(&s, newBaseline(&s)) }

// runPolicy simulates a scenario with a policy.
func runPolicy(s *Scenario, p policy) Result {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	r := &run{
		scenario: s, policy: p, rng: rng, domains: len(s.Deployment.Domains), nodes: hosts(&s.Deployment),
		backends: backends{scenario: s, rng: rng, moveStart: p.now(), restarted: p.now()},
		oracle:   newOracle(s), result: Result{Scenario: *s},
	}
	start, end := p.now(), mesh.Time(0)
	for p.now() < start.Add(s.Duration+afterDeadlineTime) && (end == 0 || p.now() < end.Add(afterEndTime)) {
		r.applyDisturbance()
		r.sendArrivals()
		r.policy.advance()
		r.finishCalls()
		m := p.state()
		if m.State.Terminal() && end == 0 {
			end = p.now()
			r.result.State, r.result.Duration = m.State, end.Sub(start)
			r.result.Cause, r.result.CauseRoute = m.Cause, m.CauseRoute
			r.completed = m.State == moves.Done
		}
		r.result.ReportedEarly = r.result.ReportedEarly || m.Early != moves.CauseNone
	}
	r.result.StopDelay, r.result.Detectable = r.oracle.stopDelay, r.oracle.all.detectable
	if first := r.oracle.firstFaultyCall; first != 0 && r.oracle.lastNewCall > first {
		r.result.FirstFaultyToLastNew = r.oracle.lastNewCall.Sub(first)
	}
	return r.result
}

// applyDisturbance begins and ends the scenario's disturbance.
func (r *run) applyDisturbance() {
	start := r.backends.moveStart.Add(r.scenario.DisturbanceStart)
	now, d := r.policy.now(), r.scenario.Disturbance
	switch {
	case now >= start && now < start.Add(TimeSlice):
		r.policy.beginDisturbance(d)
		if d == DisturbanceColdStart {
			r.backends.restarted = now
		}
	case now >= start.Add(r.scenario.DisturbanceLength) && now < start.Add(r.scenario.DisturbanceLength+TimeSlice):
		r.policy.endDisturbance(d)
	}
	if d == DisturbancePoison && now >= start && now < start.Add(poisonRequests*time.Second) && r.slice%100 == 0 {
		r.sendPoison()
	}
	r.oracle.setPartitioned(now, r.policy.isolatedDomain() >= 0)
}

// sendArrivals sends the calls that arrive in one time slice.
func (r *run) sendArrivals() {
	for range poisson(r.rng, r.scenario.CallRate*TimeSlice.Seconds()) {
		r.sendCall()
	}
}

// drawNode draws a node that accepts calls.
func (r *run) drawNode() int {
	for {
		if n := r.rng.IntN(r.nodes); r.policy.serves(n) {
			return n
		}
	}
}

// drawRoute draws the index of a route by weight.
func (r *run) drawRoute() int {
	x := r.rng.Float64()
	for i := range r.scenario.Routes {
		if x -= r.scenario.Routes[i].Weight; x < 0 {
			return i
		}
	}
	return 0
}

// chooseVersion returns the version that the policy chooses for a call.
func (r *run) chooseVersion(node, route int) mesh.BackendVersion {
	if r.policy.usesNew(node, r.scenario.Routes[route].Name, r.rng.Uint64()) {
		return newVersion
	}
	return oldVersion
}

// sendCall sends one call on a random node and route.
func (r *run) sendCall() {
	node, route := r.drawNode(), r.drawRoute()
	version := r.chooseVersion(node, route)
	isolated := r.policy.isolatedDomain() >= 0 && node%r.domains == r.policy.isolatedDomain()
	call := r.backends.runCall(r.policy.now(), route, version)
	if !r.completed {
		r.result.Calls++
	}
	if version == newVersion {
		if !r.completed {
			r.result.NewCalls++
			if call.faulty {
				r.result.FaultyCalls++
			}
		}
		r.oracle.newCallSent(r.policy.now(), isolated)
	}
	slot := (r.slice + 1 + int(call.result.Latency/TimeSlice)) % callSlots
	r.inFlight[slot] = append(r.inFlight[slot], inFlightCall{node: node, route: route, isolated: isolated, sample: call})
}

// finishCalls begins the next time slice and records the calls that end in it.
func (r *run) finishCalls() {
	r.slice++
	slot := r.slice % callSlots
	for i := range r.inFlight[slot] {
		call := &r.inFlight[slot][i]
		r.policy.record(call.node, &call.sample.result)
		r.oracle.callEnded(r.policy.now(), call.route, call.isolated, &call.sample)
	}
	r.inFlight[slot] = r.inFlight[slot][:0]
}

// sendPoison sends a request that crashes every instance that runs it, and resends
// it until it is blocked. The other calls in flight on the instance are lost.
func (r *run) sendPoison() {
	route := r.drawRoute()
	for crashes := range uint8(poisonResends) {
		node := r.drawNode()
		call := moves.CallResult{
			Service: r.scenario.Service.Name, Version: r.chooseVersion(node, route), Route: r.scenario.Routes[route].Name, Class: class,
			Instance: "", Outcome: mesh.MayHaveRun, Crashed: true, Crashes: crashes,
		}
		call.Instance = mesh.InstanceID(call.Version) + "-a"
		r.policy.record(node, &call)
		call.Crashes = 0
		for range poisonVictims {
			r.policy.record(node, &call)
		}
	}
}

// poisson draws a Poisson-distributed number with a small mean.
func poisson(rng *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}
