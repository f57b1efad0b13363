package movesim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
)

// Names used in every scenario.
const (
	moveID     mesh.MoveID         = "move-1"
	oldVersion mesh.BackendVersion = "v1"
	newVersion mesh.BackendVersion = "v2"
	class      mesh.Class          = "normal"
)

const (
	// callTimeout bounds a call's latency; longer calls are lost.
	callTimeout = 2 * time.Second
	// coldFactor slows calls in the cold start of an instance, which lasts
	// coldTime. Routing marks calls of the first coldMark as cold.
	coldFactor = 5
	coldTime   = 8 * time.Second
	coldMark   = 10 * time.Second
	// poisonResends is the number of instances that a poison request crashes
	// before it is blocked, and poisonVictims the calls in flight beside it.
	poisonResends = 2
	poisonVictims = 4
	// poisonRequests is the number of different poison requests in a move.
	poisonRequests = 3
	// loadMemory is the time constant of the measured load of the new version.
	loadMemory = time.Second
	// loadCalls is the least number of calls over which the load is measured, so
	// that single calls at a low rate do not count as load.
	loadCalls = 50
)

// backends models the two versions of the service.
type backends struct {
	s     *Scenario
	rng   *rand.Rand
	began mesh.Time
	// load is the new version's part of the service's calls.
	load float64
	// restarted is the time of the last start of the new version's instances.
	restarted mesh.Time
}

// sample is the result of one call and what the oracle needs of it.
type sample struct {
	result   moves.CallResult
	affected bool // the fault was active for the call
	faulty   bool // the call failed or was slowed by the fault
}

// active reports whether the fault affects a route's calls now.
func (b *backends) active(now mesh.Time, route int) bool {
	s := b.s
	switch s.Fault {
	case FaultNone:
		return false
	case FaultFailLater, FaultSlowLater:
		return now >= b.began.Add(s.FaultStart)
	case FaultFailLoad, FaultSlowLoad:
		return b.load >= s.Threshold
	case FaultFailRoute, FaultSlowRoute:
		return route == s.FaultRoute
	}
	return true
}

// troubled reports whether the scenario's trouble is present.
func (b *backends) troubled(now mesh.Time, t Trouble) bool {
	from := b.began.Add(b.s.TroubleStart)
	return b.s.Trouble == t && now >= from && now < from.Add(b.s.TroubleLength)
}

// observeLoad updates the new version's load with a call.
func (b *backends) observeLoad(isNew bool) {
	weight := 1 / max(loadCalls, b.s.Rate*loadMemory.Seconds())
	value := 0.0
	if isNew {
		value = 1
	}
	b.load += weight * (value - b.load)
}

// call runs a call of a route on a version.
func (b *backends) call(now mesh.Time, route int, version mesh.BackendVersion) sample {
	r := &b.s.Routes[route]
	out := sample{result: moves.CallResult{
		Service: b.s.Service.Name, Version: version, Route: r.Name, Class: class, Outcome: mesh.Answered,
	}}
	isNew := version == newVersion
	b.observeLoad(isNew)
	out.affected = isNew && b.active(now, route)
	factor := math.Exp(r.Sigma * b.rng.NormFloat64())
	failures := r.Failures
	if b.troubled(now, TroubleSharedSlow) {
		factor *= b.s.TroubleSize
	}
	if b.troubled(now, TroubleSharedFail) {
		failures = max(failures, b.s.TroubleSize)
	}
	if out.affected && b.s.Fault.slow() {
		factor *= b.s.Size
		out.faulty = true
	}
	if isNew {
		age := now.Sub(b.restarted)
		out.result.Cold = age < coldMark
		if age < coldTime {
			factor *= coldFactor
		}
	}
	out.result.Latency = time.Duration(factor * float64(r.Median))
	if out.affected && !b.s.Fault.slow() && b.rng.Float64() < b.s.Size {
		out.faulty = true
	}
	b.end(&out, out.faulty && !b.s.Fault.slow() || b.rng.Float64() < failures)
	return out
}

// end sets the outcome of a call. Half of the failed calls are lost, and calls
// that last too long are lost as well.
func (b *backends) end(out *sample, failed bool) {
	r := &out.result
	switch {
	case r.Latency > callTimeout:
		r.Latency = callTimeout
		r.Outcome = mesh.MayHaveRun
	case failed && b.rng.IntN(2) == 0:
		r.Outcome = mesh.MayHaveRun
	case failed:
		r.Failed = true
	}
}
