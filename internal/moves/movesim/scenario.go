package movesim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Fault is what is wrong with the new version.
type Fault uint8

// Faults of the new version.
const (
	FaultNone Fault = iota
	FaultFail
	FaultSlow
	FaultFailLater
	FaultSlowLater
	FaultFailLoad
	FaultSlowLoad
	FaultFailRoute
	FaultSlowRoute
	faultCount
)

var faultNames = [faultCount]string{
	"none", "fail", "slow", "fail-later", "slow-later", "fail-load", "slow-load", "fail-route", "slow-route",
}

// String returns the fault's name in tables.
func (f Fault) String() string { return faultNames[f] }

// slow reports whether the fault delays calls instead of failing them.
func (f Fault) slow() bool {
	return f == FaultSlow || f == FaultSlowLater || f == FaultSlowLoad || f == FaultSlowRoute
}

// Trouble is a disturbance that is not the new version's fault.
type Trouble uint8

// Troubles during a move.
const (
	TroubleNone Trouble = iota
	TroubleColdStart
	TroublePoison
	TroubleSharedSlow
	TroubleSharedFail
	TroublePartition
	TroubleDriverPause
	TroubleDriverDeath
	TroubleOutage
	troubleCount
)

var troubleNames = [troubleCount]string{
	"none", "cold-start", "poison", "shared-slow", "shared-fail", "partition", "driver-pause", "driver-death", "outage",
}

// String returns the trouble's name in tables.
func (t Trouble) String() string { return troubleNames[t] }

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

// Route is the normal behaviour of a route.
type Route struct {
	Name     mesh.Route
	Weight   float64       // part of the service's calls
	Median   time.Duration // latency
	Sigma    float64       // standard deviation of the latency's logarithm
	Failures float64       // share of failed calls
}

// Scenario is one move with its faults.
type Scenario struct {
	Seed       uint64
	Deployment Deployment
	Service    Service
	Rate       float64       // calls per second
	Duration   time.Duration // from the start to the deadline
	Routes     []Route

	Fault Fault
	// Size is the share of failed calls or the factor of the latency.
	Size float64
	// FaultRoute is the index of the affected route, or -1 for all.
	FaultRoute int
	// FaultStart is the time of a later fault after the start of the move.
	FaultStart time.Duration
	// Threshold is the part of the service's calls from which a fault under load
	// shows.
	Threshold float64

	Trouble       Trouble
	TroubleStart  time.Duration
	TroubleLength time.Duration
	// TroubleSize is the share or factor of a shared disturbance.
	TroubleSize float64
}

// Bad reports whether the new version has a fault.
func (s *Scenario) Bad() bool { return s.Fault != FaultNone }

// AtOnce reports whether the fault fails calls from the first one.
func (s *Scenario) AtOnce() bool { return s.Fault == FaultFail }

// startUnknown reports whether the fault begins after the first call to the new
// version.
func (s *Scenario) startUnknown() bool {
	switch s.Fault {
	case FaultFailLater, FaultSlowLater, FaultFailLoad, FaultSlowLoad:
		return true
	}
	return false
}

// String describes the scenario in one line.
func (s *Scenario) String() string {
	return fmt.Sprintf("seed %d %s/%s rate %.2f/s duration %s fault %s size %.2f route %d start %s threshold %.2f, trouble %s at %s for %s size %.2f",
		s.Seed, s.Deployment.Name, s.Service.Name, s.Rate, s.Duration.Round(time.Second), s.Fault, s.Size, s.FaultRoute,
		s.FaultStart.Round(time.Second), s.Threshold, s.Trouble, s.TroubleStart.Round(time.Second), s.TroubleLength.Round(time.Second), s.TroubleSize)
}

const (
	// Bounds of the drawn rates, in calls per second, and durations.
	rateMin, rateMax         = 0.5, 600.0
	durationMin, durationMax = 8 * time.Minute, 40 * time.Minute
	// affectedCalls is the least expected number of calls that a fault can
	// affect, over both versions, between its start and 80% of the duration. A
	// fault that meets fewer calls leaves no evidence for any method.
	affectedCalls = 100
	// loadedCalls replaces it for faults under load, which affect only the calls
	// of the short time in which the new version carries the load.
	loadedCalls = 1500
	// goodPart is the part of the moves with a good version.
	goodPart = 0.45
)

// NewScenario draws the move with the given index of a seeded list.
func NewScenario(seed uint64, index int) Scenario {
	rng := rand.New(rand.NewPCG(seed, uint64(index)))
	s := Scenario{Seed: rng.Uint64(), Deployment: deployments[index%2], FaultRoute: -1}
	s.Service = s.Deployment.Services[rng.IntN(2)]
	s.Rate = logUniform(rng, rateMin, rateMax)
	s.Duration = time.Duration(logUniform(rng, float64(durationMin), float64(durationMax)))
	s.Routes = drawRoutes(rng)
	if rng.Float64() >= goodPart {
		drawFault(rng, &s)
	}
	drawTrouble(rng, &s)
	return s
}

// logUniform draws a value whose logarithm is uniform.
func logUniform(rng *rand.Rand, low, high float64) float64 {
	return low * math.Exp(rng.Float64()*math.Log(high/low))
}

// drawRoutes draws five routes; the last one is rare.
func drawRoutes(rng *rand.Rand) []Route {
	weights := []float64{0.55, 0.25, 0.13, 0.06, logUniform(rng, 0.002, 0.02)}
	routes := make([]Route, len(weights))
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for i, w := range weights {
		routes[i] = Route{
			Name: mesh.Route(fmt.Sprintf("route-%d", i)), Weight: w / sum,
			Median:   time.Duration(logUniform(rng, float64(5*time.Millisecond), float64(120*time.Millisecond))),
			Sigma:    0.3 + 0.3*rng.Float64(),
			Failures: logUniform(rng, 0.0003, 0.003),
		}
	}
	return routes
}

// drawFault draws a fault that meets enough calls to leave evidence.
func drawFault(rng *rand.Rand, s *Scenario) {
	for {
		s.Fault = FaultFail + Fault(rng.IntN(int(faultCount-FaultFail)))
		s.FaultRoute, s.FaultStart, s.Threshold = -1, 0, 0
		s.Size = logUniform(rng, 0.1, 1)
		if s.Fault.slow() {
			s.Size = logUniform(rng, 2, 8)
		}
		part, least := 1.0, float64(affectedCalls)
		switch s.Fault {
		case FaultFailLater, FaultSlowLater:
			s.FaultStart = time.Duration((0.05 + 0.7*rng.Float64()) * float64(s.Duration))
		case FaultFailLoad, FaultSlowLoad:
			s.Threshold = 0.1 + 0.75*rng.Float64()
			least = loadedCalls
		case FaultFailRoute, FaultSlowRoute:
			s.FaultRoute = rng.IntN(len(s.Routes))
			part = s.Routes[s.FaultRoute].Weight
		}
		if s.Rate*part*(0.8*s.Duration.Seconds()-s.FaultStart.Seconds()) >= least {
			return
		}
	}
}

// drawTrouble draws a disturbance.
func drawTrouble(rng *rand.Rand, s *Scenario) {
	s.Trouble = Trouble(rng.IntN(int(troubleCount)))
	s.TroubleStart = time.Duration((0.05 + 0.85*rng.Float64()) * float64(s.Duration))
	s.TroubleLength = time.Duration(logUniform(rng, float64(5*time.Second), float64(90*time.Second)))
	switch s.Trouble {
	case TroubleSharedSlow:
		s.TroubleSize = logUniform(rng, 1.5, 8)
	case TroubleSharedFail:
		s.TroubleSize = logUniform(rng, 0.05, 1)
	case TroubleDriverPause:
		s.TroubleLength = time.Duration(logUniform(rng, float64(2*time.Second), float64(30*time.Second)))
	case TroubleOutage:
		s.TroubleLength = time.Duration(logUniform(rng, float64(5*time.Second), float64(40*time.Second)))
	}
}
