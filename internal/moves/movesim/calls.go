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
	// callTimeout is the time after which a call is lost.
	callTimeout = 2 * time.Second
	// coldSlowdown is the factor of the latency during the cold start of an
	// instance, which lasts coldTime. Routing marks calls within coldMarkTime after
	// the start as cold.
	coldSlowdown = 5
	coldTime     = 8 * time.Second
	coldMarkTime = 10 * time.Second
	// poisonResends is the number of instances that a poison request, one that
	// crashes every instance, crashes before it is blocked. poisonVictims is the
	// number of other calls in flight in each crash.
	poisonResends = 2
	poisonVictims = 4
	// poisonRequests is the number of different poison requests in a move.
	poisonRequests = 3
	// loadTimeConstant is the time constant of the moving average that measures the
	// load of the new version.
	loadTimeConstant = time.Second
	// minLoadCalls is the smallest number of calls over which the load is averaged,
	// so that single calls at a low rate do not count as load.
	minLoadCalls = 50
)

// backends models the instances of both versions of the service.
type backends struct {
	scenario  *Scenario
	rng       *rand.Rand
	moveStart mesh.Time
	// newLoad is the moving average of the new version's share of the service's
	// calls.
	newLoad float64
	// restarted is the last start time of the new version's instances.
	restarted mesh.Time
}

// callSample is the result of one call and its relation to the fault.
type callSample struct {
	result   moves.CallResult
	affected bool // the fault was active for the call
	faulty   bool // the call failed or was slowed by the fault
}

// faultActive reports whether the fault affects a route's calls now.
func (b *backends) faultActive(now mesh.Time, route int) bool {
	s := b.scenario
	switch s.Fault {
	case FaultNone:
		return false
	case FaultFailLater, FaultSlowLater:
		return now >= b.moveStart.Add(s.FaultStart)
	case FaultFailLoad, FaultSlowLoad:
		return b.newLoad >= s.LoadThreshold
	case FaultFailRoute, FaultSlowRoute:
		return route == s.FaultRoute
	}
	return true
}

// disturbed reports whether the scenario has the given disturbance and it is
// present now.
func (b *backends) disturbed(now mesh.Time, d Disturbance) bool {
	start := b.moveStart.Add(b.scenario.DisturbanceStart)
	return b.scenario.Disturbance == d && now >= start && now < start.Add(b.scenario.DisturbanceLength)
}

// observeLoad adds a call to the moving average of the new version's load.
func (b *backends) observeLoad(isNew bool) {
	weight := 1 / max(minLoadCalls, b.scenario.CallRate*loadTimeConstant.Seconds())
	value := 0.0
	if isNew {
		value = 1
	}
	b.newLoad += weight * (value - b.newLoad)
}

// runCall draws the result of a call of a route on a version.
func (b *backends) runCall(now mesh.Time, route int, version mesh.BackendVersion) callSample {
	normal := &b.scenario.Routes[route]
	call := callSample{result: moves.CallResult{
		Service: b.scenario.Service.Name, Version: version, Route: normal.Name, Class: class, Outcome: mesh.Answered,
	}}
	isNew := version == newVersion
	b.observeLoad(isNew)
	call.affected = isNew && b.faultActive(now, route)
	latencyFactor := math.Exp(normal.Sigma * b.rng.NormFloat64())
	failureShare := normal.FailureShare
	if b.disturbed(now, DisturbanceSharedSlow) {
		latencyFactor *= b.scenario.DisturbanceSeverity
	}
	if b.disturbed(now, DisturbanceSharedFail) {
		failureShare = max(failureShare, b.scenario.DisturbanceSeverity)
	}
	if call.affected && b.scenario.Fault.slows() {
		latencyFactor *= b.scenario.Severity
		call.faulty = true
	}
	if isNew {
		age := now.Sub(b.restarted)
		call.result.Cold = age < coldMarkTime
		if age < coldTime {
			latencyFactor *= coldSlowdown
		}
	}
	call.result.Latency = time.Duration(latencyFactor * float64(normal.MedianLatency))
	if call.affected && !b.scenario.Fault.slows() && b.rng.Float64() < b.scenario.Severity {
		call.faulty = true
	}
	b.setOutcome(&call, call.faulty && !b.scenario.Fault.slows() || b.rng.Float64() < failureShare)
	return call
}

// setOutcome sets the outcome of a call. Half of the failed calls are lost, and so
// are the calls that exceed callTimeout.
func (b *backends) setOutcome(call *callSample, failed bool) {
	result := &call.result
	switch {
	case result.Latency > callTimeout:
		result.Latency = callTimeout
		result.Outcome = mesh.MayHaveRun
	case failed && b.rng.IntN(2) == 0:
		result.Outcome = mesh.MayHaveRun
	case failed:
		result.Failed = true
	}
}
