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
	serviceTime settings.ServiceTime
	coldStart   settings.ColdStart
	fault       settings.BackendFault

	mu     sync.Mutex
	random *rand.Rand
}

func newBehaviour(s *settings.Backend) *behaviour {
	return &behaviour{serviceTime: s.ServiceTime, coldStart: s.ColdStart, fault: s.Fault,
		random: rand.New(rand.NewPCG(s.Seed, 0))}
}

// callPlan holds the service time and the outcome drawn for one call.
type callPlan struct {
	serviceTime time.Duration
	// fail is set if the call is answered with status 500.
	fail bool
}

// planFor draws the plan of a call that starts sinceStart after the process did.
// inUse is the number of slots in use, including that of the call.
func (b *behaviour) planFor(sinceStart time.Duration, inUse int, path []byte) callPlan {
	b.mu.Lock()
	defer b.mu.Unlock()
	factor := b.coldStartFactor(sinceStart)
	faulty := b.drawFault(sinceStart, inUse, path)
	if faulty && b.fault.Mode == settings.SlowMode {
		factor *= b.fault.SlowFactor
	}
	return callPlan{
		serviceTime: time.Duration(b.drawRelativeServiceTime() * factor * float64(b.serviceTime.Mean)),
		fail:        faulty && b.fault.Mode == settings.FailMode,
	}
}

// drawRelativeServiceTime returns a service time in units of the mean.
func (b *behaviour) drawRelativeServiceTime() float64 {
	switch b.serviceTime.Distribution {
	case settings.Exponential:
		return b.random.ExpFloat64()
	case settings.Lognormal:
		// The mean of exp(N(mu, sigma)) is exp(mu + sigma²/2).
		sigma := b.serviceTime.Sigma
		return math.Exp(sigma*b.random.NormFloat64() - sigma*sigma/2)
	default:
		return 1
	}
}

func (b *behaviour) coldStartFactor(sinceStart time.Duration) float64 {
	if sinceStart >= b.coldStart.Time {
		return 1
	}
	remainingShare := 1 - float64(sinceStart)/float64(b.coldStart.Time)
	return 1 + (b.coldStart.Factor-1)*remainingShare
}

func (b *behaviour) drawFault(sinceStart time.Duration, inUse int, path []byte) bool {
	return b.fault.Mode != settings.NoFault &&
		sinceStart >= b.fault.After &&
		inUse > b.fault.AboveSlots &&
		bytes.HasPrefix(path, []byte(b.fault.PathPrefix)) &&
		b.random.Float64() < b.fault.Share
}
