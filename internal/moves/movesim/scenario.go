package movesim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Fault is a kind of fault of the new version.
type Fault uint8

// Faults of the new version. Fail faults make calls fail, Slow faults multiply
// their latency.
const (
	FaultNone Fault = iota
	FaultFail
	FaultSlow
	FaultFailLater // from FaultStart on
	FaultSlowLater
	FaultFailLoad // while the load is at least LoadThreshold
	FaultSlowLoad
	FaultFailRoute // on FaultRoute only
	FaultSlowRoute
	faultCount
)

var faultNames = [faultCount]string{
	"none", "fail", "slow", "fail-later", "slow-later", "fail-load", "slow-load", "fail-route", "slow-route",
}

// String returns the name of the fault that reports print.
func (f Fault) String() string { return faultNames[f] }

// slows reports whether the fault delays calls instead of failing them.
func (f Fault) slows() bool {
	return f == FaultSlow || f == FaultSlowLater || f == FaultSlowLoad || f == FaultSlowRoute
}

// Disturbance is a kind of disturbance of a move that is no fault of the new
// version.
type Disturbance uint8

// Disturbances of a move.
const (
	DisturbanceNone       Disturbance = iota
	DisturbanceColdStart              // restart of the new version's instances
	DisturbancePoison                 // requests that crash either version
	DisturbanceSharedSlow             // both versions are slow
	DisturbanceSharedFail             // both versions fail
	DisturbancePartition              // one domain is isolated
	DisturbanceDriverPause
	DisturbanceDriverDeath
	DisturbanceOutage // of the platform
	disturbanceCount
)

var disturbanceNames = [disturbanceCount]string{
	"none", "cold-start", "poison", "shared-slow", "shared-fail", "partition", "driver-pause", "driver-death", "outage",
}

// String returns the name of the disturbance that reports print.
func (d Disturbance) String() string { return disturbanceNames[d] }

// Deployment is one of the deployments of section 1.6 of the design page.
type Deployment struct {
	Name     string
	Domains  []mesh.FailureDomain
	Services []Service
}

// Service is a service of a deployment.
type Service struct {
	Name      mesh.Service
	Instances int
}

var deployments = []Deployment{
	{
		Name:    "fes",
		Domains: []mesh.FailureDomain{"ifrane", "azrou", "sefrou", "boulemane"},
		Services: []Service{
			{Name: "roof-works-and-bookings", Instances: 7},
			{Name: "depot-diagrams-and-alerts", Instances: 4},
		},
	},
	{
		Name:    "montevideo",
		Domains: []mesh.FailureDomain{"centro", "pocitos", "prado"},
		Services: []Service{
			{Name: "driver-round-and-delivery", Instances: 10},
			{Name: "client-records-and-stock", Instances: 3},
		},
	},
}

// Route describes a route's calls without faults and disturbances.
type Route struct {
	Name          mesh.Route
	Weight        float64 // share of the service's calls
	MedianLatency time.Duration
	Sigma         float64 // standard deviation of the latency's logarithm
	FailureShare  float64 // share of failed calls
}

// Scenario describes one simulated move with its fault and disturbance.
type Scenario struct {
	Seed       uint64
	Deployment Deployment
	Service    Service
	CallRate   float64       // calls per second
	Duration   time.Duration // from the start to the deadline
	Routes     []Route

	Fault Fault
	// Severity is the share of calls that the fault fails or the factor by which
	// it multiplies the latency.
	Severity float64
	// FaultRoute is the index of the affected route, or -1 for all routes.
	FaultRoute int
	// FaultStart is the time from the start of the move to the start of a fault
	// that begins later.
	FaultStart time.Duration
	// LoadThreshold is the new version's share of the service's calls from which a
	// fault under load affects calls.
	LoadThreshold float64

	Disturbance       Disturbance
	DisturbanceStart  time.Duration
	DisturbanceLength time.Duration
	// DisturbanceSeverity is the share of failed calls or the factor of the
	// latency in a disturbance of both versions.
	DisturbanceSeverity float64
}

// Faulty reports whether the new version has a fault.
func (s *Scenario) Faulty() bool { return s.Fault != FaultNone }

// FailsFromFirstCall reports whether the fault makes calls fail on all routes
// from the first call to the new version on.
func (s *Scenario) FailsFromFirstCall() bool { return s.Fault == FaultFail }

// startsLater reports whether the fault can begin after the first call to the new
// version, at a time that an observer does not know.
func (s *Scenario) startsLater() bool {
	switch s.Fault {
	case FaultFailLater, FaultSlowLater, FaultFailLoad, FaultSlowLoad:
		return true
	}
	return false
}

// String describes the scenario in one line.
func (s *Scenario) String() string {
	return fmt.Sprintf("seed %d %s/%s rate %.2f/s duration %s fault %s severity %.2f route %d start %s load threshold %.2f, disturbance %s at %s for %s severity %.2f",
		s.Seed, s.Deployment.Name, s.Service.Name, s.CallRate, s.Duration.Round(time.Second), s.Fault, s.Severity, s.FaultRoute,
		s.FaultStart.Round(time.Second), s.LoadThreshold, s.Disturbance, s.DisturbanceStart.Round(time.Second), s.DisturbanceLength.Round(time.Second), s.DisturbanceSeverity)
}

const (
	// Bounds of the drawn call rates, in calls per second, and durations.
	minCallRate, maxCallRate = 0.5, 600.0
	minDuration, maxDuration = 8 * time.Minute, 40 * time.Minute
	// minAffectedCalls is the smallest expected number of calls to either version,
	// on the affected routes, between the start of the fault and 80% of the
	// duration. With fewer calls no method could find the fault.
	minAffectedCalls = 100
	// minLoadFaultCalls replaces minAffectedCalls for faults under load, which
	// affect only the calls of the short time in which the new version carries the
	// load.
	minLoadFaultCalls = 1500
	// goodVersionShare is the share of moves whose new version has no fault.
	goodVersionShare = 0.45
)

// NewScenario draws the scenario with the given index in the list of a seed.
func NewScenario(seed uint64, index int) Scenario {
	rng := rand.New(rand.NewPCG(seed, uint64(index)))
	s := Scenario{Seed: rng.Uint64(), Deployment: deployments[index%2], FaultRoute: -1}
	s.Service = s.Deployment.Services[rng.IntN(2)]
	s.CallRate = logUniform(rng, minCallRate, maxCallRate)
	s.Duration = time.Duration(logUniform(rng, float64(minDuration), float64(maxDuration)))
	s.Routes = drawRoutes(rng)
	if rng.Float64() >= goodVersionShare {
		drawFault(rng, &s)
	}
	drawDisturbance(rng, &s)
	return s
}

// logUniform draws a value whose logarithm is uniformly distributed.
func logUniform(rng *rand.Rand, low, high float64) float64 {
	return low * math.Exp(rng.Float64()*math.Log(high/low))
}

// drawRoutes draws five routes. The last one is rarely called.
func drawRoutes(rng *rand.Rand) []Route {
	weights := []float64{0.55, 0.25, 0.13, 0.06, logUniform(rng, 0.002, 0.02)}
	routes := make([]Route, len(weights))
	totalWeight := 0.0
	for _, weight := range weights {
		totalWeight += weight
	}
	for i, weight := range weights {
		routes[i] = Route{
			Name: mesh.Route(fmt.Sprintf("route-%d", i)), Weight: weight / totalWeight,
			MedianLatency: time.Duration(logUniform(rng, float64(5*time.Millisecond), float64(120*time.Millisecond))),
			Sigma:         0.3 + 0.3*rng.Float64(),
			FailureShare:  logUniform(rng, 0.0003, 0.003),
		}
	}
	return routes
}

// drawFault draws a fault that can affect enough calls to be found.
func drawFault(rng *rand.Rand, s *Scenario) {
	for {
		s.Fault = FaultFail + Fault(rng.IntN(int(faultCount-FaultFail)))
		s.FaultRoute, s.FaultStart, s.LoadThreshold = -1, 0, 0
		s.Severity = logUniform(rng, 0.1, 1)
		if s.Fault.slows() {
			s.Severity = logUniform(rng, 2, 8)
		}
		routeShare, minCalls := 1.0, float64(minAffectedCalls)
		switch s.Fault {
		case FaultFailLater, FaultSlowLater:
			s.FaultStart = time.Duration((0.05 + 0.7*rng.Float64()) * float64(s.Duration))
		case FaultFailLoad, FaultSlowLoad:
			s.LoadThreshold = 0.1 + 0.75*rng.Float64()
			minCalls = minLoadFaultCalls
		case FaultFailRoute, FaultSlowRoute:
			s.FaultRoute = rng.IntN(len(s.Routes))
			routeShare = s.Routes[s.FaultRoute].Weight
		}
		if s.CallRate*routeShare*(0.8*s.Duration.Seconds()-s.FaultStart.Seconds()) >= minCalls {
			return
		}
	}
}

// drawDisturbance draws a disturbance with its start, length and severity.
func drawDisturbance(rng *rand.Rand, s *Scenario) {
	s.Disturbance = Disturbance(rng.IntN(int(disturbanceCount)))
	s.DisturbanceStart = time.Duration((0.05 + 0.85*rng.Float64()) * float64(s.Duration))
	s.DisturbanceLength = time.Duration(logUniform(rng, float64(5*time.Second), float64(90*time.Second)))
	switch s.Disturbance {
	case DisturbanceSharedSlow:
		s.DisturbanceSeverity = logUniform(rng, 1.5, 8)
	case DisturbanceSharedFail:
		s.DisturbanceSeverity = logUniform(rng, 0.05, 1)
	case DisturbanceDriverPause:
		s.DisturbanceLength = time.Duration(logUniform(rng, float64(2*time.Second), float64(30*time.Second)))
	case DisturbanceOutage:
		s.DisturbanceLength = time.Duration(logUniform(rng, float64(5*time.Second), float64(40*time.Second)))
	}
}
