package backend

import (
	"bytes"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// behaviour draws the service times and faults of calls. It is safe for
// concurrent use.
type behaviour struct {
	service settings.ServiceTime
	cold    settings.ColdStart
	fault   settings.BackendFault

	mu     sync.Mutex
	random *rand.Rand
}

func newBehaviour(s *settings.Backend) *behaviour {
	return &behaviour{service: s.ServiceTime, cold: s.ColdStart, fault: s.Fault,
		random: rand.New(rand.NewPCG(s.Seed, 0))}
}

// plan is what the server does with one call.
type plan struct {
	serviceTime time.Duration
	// fail is set if the call is answered with status 500.
	fail bool
}

// planFor draws the plan of a call that starts a time after the process did.
func (b *behaviour) planFor(sinceStart time.Duration, inUse int, path []byte) plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	factor := b.coldFactor(sinceStart)
	faulty := b.faulty(sinceStart, inUse, path)
	if faulty && b.fault.Mode == settings.SlowMode {
		factor *= b.fault.SlowFactor
	}
	return plan{
		serviceTime: time.Duration(b.draw() * factor * float64(b.service.Mean)),
		fail:        faulty && b.fault.Mode == settings.FailMode,
	}
}

// draw returns a service time in units of the mean.
func (b *behaviour) draw() float64 {
	switch b.service.Distribution {
	case settings.Exponential:
		return b.random.ExpFloat64()
	case settings.Lognormal:
		// The mean of exp(N(mu, sigma)) is exp(mu + sigma²/2).
		sigma := b.service.Sigma
		return math.Exp(sigma*b.random.NormFloat64() - sigma*sigma/2)
	default:
		return 1
	}
}

func (b *behaviour) coldFactor(sinceStart time.Duration) float64 {
	if sinceStart >= b.cold.Time {
		return 1
	}
	left := 1 - float64(sinceStart)/float64(b.cold.Time)
	return 1 + (b.cold.Factor-1)*left
}

func (b *behaviour) faulty(sinceStart time.Duration, inUse int, path []byte) bool {
	return b.fault.Mode != settings.NoFault &&
		sinceStart >= b.fault.After &&
		inUse > b.fault.AboveSlots &&
		bytes.HasPrefix(path, []byte(b.fault.PathPrefix)) &&
		b.random.Float64() < b.fault.Share
}
