package movesim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
)

// Result is how a move ended.
type Result struct {
	Scenario Scenario
	State    moves.State
	Cause    moves.Cause
	// CauseRoute is the route on which the fault was found, empty for all.
	CauseRoute mesh.Route
	// Ended is the time from the start until the terminal state was written.
	Ended time.Duration
	// Calls counts the service's calls from the start until the new version
	// carried all or none of the calls, NewCalls those that reached the new
	// version, Faulty those that it failed or delayed because of its fault.
	Calls, NewCalls, Faulty uint64
	// Late is the longest time from the fault's showing to a later call to the
	// new version. Shown tells whether the fault showed at all.
	Late  time.Duration
	Shown bool
	// FromFirst is the time from the end of the first faulty call to the last
	// call that reached the new version.
	FromFirst time.Duration
	// Early is set when the move was reported early.
	Early bool
}

// InTime reports whether the move completed by its deadline.
func (r *Result) InTime() bool { return r.State == moves.Done && r.Ended <= r.Scenario.Duration }

// policy decides on the version of each call.
type policy interface {
	choose(node int, route mesh.Route, draw uint64) bool
	record(node int, call *moves.CallResult)
	// advance moves time forward by one slice.
	advance()
	now() mesh.Time
	// serves reports whether a node accepts calls.
	serves(node int) bool
	// state returns the durable state of the move.
	state() moves.MoveState
	// begin and end apply a trouble of the control path.
	begin(Trouble)
	end(Trouble)
	isolated() int
}

const (
	// settleTime is the time that a run goes on after the terminal state.
	settleTime = 3 * time.Second
	// overtime is the time that a run goes on after the deadline.
	overtime = time.Minute
)

// endSlots is the number of slices in which calls in flight can end.
const endSlots = int(callTimeout/Slice) + 2

// endingCall is a call in flight.
type endingCall struct {
	node, route int
	isolated    bool
	sample      sample
}

// run is a move in progress.
type run struct {
	s        *Scenario
	p        policy
	rng      *rand.Rand
	backends backends
	oracle   oracle
	domains  int
	nodes    int
	ring     [endSlots][]endingCall
	slice    int
	result   Result
	over     bool // the new version carries all or none of the calls
}

// hosts returns the number of hosts of a deployment.
func hosts(d *Deployment) int {
	n := 0
	for _, s := range d.Services {
		n += s.Instances
	}
	return n
}

// Run runs a scenario on the reducers.
func Run(s Scenario) Result { return runPolicy(&s, newReducers(&s)) }

// RunBaseline runs a scenario on the baseline policy.
func RunBaseline(s Scenario) Result { return runPolicy(&s, newBaseline(&s)) }

// runPolicy runs a scenario on a policy.
func runPolicy(s *Scenario, p policy) Result {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	r := &run{
		s: s, p: p, rng: rng, domains: len(s.Deployment.Domains), nodes: hosts(&s.Deployment),
		backends: backends{s: s, rng: rng, began: p.now(), restarted: p.now()},
		oracle:   newOracle(s), result: Result{Scenario: *s},
	}
	began, ended := p.now(), mesh.Time(0)
	for p.now() < began.Add(s.Duration+overtime) && (ended == 0 || p.now() < ended.Add(settleTime)) {
		r.trouble()
		r.arrivals()
		r.p.advance()
		r.finishCalls()
		m := p.state()
		if m.State.Terminal() && ended == 0 {
			ended = p.now()
			r.result.State, r.result.Ended = m.State, ended.Sub(began)
			r.result.Cause, r.result.CauseRoute = m.Cause, m.CauseRoute
			r.over = m.State == moves.Done
		}
		r.result.Early = r.result.Early || m.Early != moves.CauseNone
	}
	r.result.Late, r.result.Shown = r.oracle.late, r.oracle.all.shown
	if first := r.oracle.firstFaulty; first != 0 && r.oracle.lastNew > first {
		r.result.FromFirst = r.oracle.lastNew.Sub(first)
	}
	return r.result
}

// trouble begins and ends the scenario's trouble.
func (r *run) trouble() {
	from := r.backends.began.Add(r.s.TroubleStart)
	now, t := r.p.now(), r.s.Trouble
	switch {
	case now >= from && now < from.Add(Slice):
		r.p.begin(t)
		if t == TroubleColdStart {
			r.backends.restarted = now
		}
	case now >= from.Add(r.s.TroubleLength) && now < from.Add(r.s.TroubleLength+Slice):
		r.p.end(t)
	}
	if t == TroublePoison && now >= from && now < from.Add(poisonRequests*time.Second) && r.slice%100 == 0 {
		r.poison()
	}
	r.oracle.partition(now, r.p.isolated() >= 0)
}

// arrivals sends the calls of one slice.
func (r *run) arrivals() {
	for range poisson(r.rng, r.s.Rate*Slice.Seconds()) {
		r.send()
	}
}

// node draws a node that accepts calls.
func (r *run) node() int {
	for {
		if n := r.rng.IntN(r.nodes); r.p.serves(n) {
			return n
		}
	}
}

// route draws a route by weight.
func (r *run) route() int {
	x := r.rng.Float64()
	for i := range r.s.Routes {
		if x -= r.s.Routes[i].Weight; x < 0 {
			return i
		}
	}
	return 0
}

// version returns the version for a call.
func (r *run) version(node, route int) mesh.BackendVersion {
	if r.p.choose(node, r.s.Routes[route].Name, r.rng.Uint64()) {
		return newVersion
	}
	return oldVersion
}

// send sends one call.
func (r *run) send() {
	node, route := r.node(), r.route()
	version := r.version(node, route)
	isolated := r.p.isolated() >= 0 && node%r.domains == r.p.isolated()
	x := r.backends.call(r.p.now(), route, version)
	if !r.over {
		r.result.Calls++
	}
	if version == newVersion {
		if !r.over {
			r.result.NewCalls++
			if x.faulty {
				r.result.Faulty++
			}
		}
		r.oracle.sent(r.p.now(), isolated)
	}
	slot := (r.slice + 1 + int(x.result.Latency/Slice)) % endSlots
	r.ring[slot] = append(r.ring[slot], endingCall{node: node, route: route, isolated: isolated, sample: x})
}

// finishCalls records the calls that end in this slice.
func (r *run) finishCalls() {
	r.slice++
	slot := r.slice % endSlots
	for i := range r.ring[slot] {
		c := &r.ring[slot][i]
		r.p.record(c.node, &c.sample.result)
		r.oracle.ended(r.p.now(), c.route, c.isolated, &c.sample)
	}
	r.ring[slot] = r.ring[slot][:0]
}

// poison sends a request that crashes each instance that runs it. It is resent
// until it is blocked; the calls in flight beside it are lost.
func (r *run) poison() {
	route := r.route()
	for crashes := range uint8(poisonResends) {
		node := r.node()
		call := moves.CallResult{
			Service: r.s.Service.Name, Version: r.version(node, route), Route: r.s.Routes[route].Name, Class: class,
			Instance: "", Outcome: mesh.MayHaveRun, Crashed: true, Crashes: crashes,
		}
		call.Instance = mesh.InstanceID(call.Version) + "-a"
		r.p.record(node, &call)
		call.Crashes = 0
		for range poisonVictims {
			r.p.record(node, &call)
		}
	}
}

// poisson draws a Poisson variate of a small mean.
func poisson(rng *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}
