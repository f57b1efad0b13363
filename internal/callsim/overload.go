package callsim

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/retry"
)

const (
	steadyLength   = 8 * time.Second // includes warmUp
	surgeLength    = 6 * time.Second
	recoveryLength = 6 * time.Second
	surgeLoad      = 3.0
	recoveryLoad   = 0.8
	// surgeStart is the time given to the queues to fill before the goodput of
	// the surge is measured.
	surgeStart = 2 * time.Second

	// minSurgeGoodput is the goodput at surgeLoad as a share of the goodput at
	// capacity.
	minSurgeGoodput = 0.9
	// recoveredShare is the share of good calls of a recovered second.
	recoveredShare = 0.98
	// maxRecovery is the time within which the service must have recovered.
	maxRecovery = 3 * time.Second
	// burstAllowance covers the retries saved up in full buckets.
	burstAllowance = 0.02
	// maxAttempts is the bound on attempts per call.
	maxAttempts = 1 + float64(retry.DefaultBudget)/10_000 + burstAllowance
)

// Overload is the result of the overload check.
type Overload struct {
	// GoodputAtCapacity and GoodputInSurge are shares of the capacity.
	GoodputAtCapacity float64 `json:"goodput_at_capacity"`
	GoodputInSurge    float64 `json:"goodput_in_surge"`
	// RecoverySeconds is the time from the end of the surge to the first good
	// second; recoveryLength if there is none.
	RecoverySeconds float64 `json:"recovery_s"`
	AttemptsPerCall float64 `json:"attempts_per_call"`
}

// CheckOverload offers the capacity, then three times the capacity, then less
// than the capacity again.
func CheckOverload(c Config) Overload {
	c.Fault = Healthy
	c.Phases = []Phase{{steadyLength, 1}, {surgeLength, surgeLoad}, {recoveryLength, recoveryLoad}}
	m := Run(c)
	surgeEnd := steadyLength + surgeLength
	surge := m.Sum(steadyLength, surgeEnd)
	return Overload{
		GoodputAtCapacity: m.Goodput(warmUp, steadyLength),
		GoodputInSurge:    m.Goodput(steadyLength+surgeStart, surgeEnd),
		RecoverySeconds:   recovery(m, surgeEnd).Seconds(),
		AttemptsPerCall:   float64(surge.Attempts) / float64(surge.Offered),
	}
}

func recovery(m Measured, from time.Duration) time.Duration {
	for t := time.Duration(0); t < recoveryLength; t += time.Second {
		s := m.Sum(from+t, from+t+time.Second)
		if float64(s.Good) >= recoveredShare*float64(s.Offered) {
			return t
		}
	}
	return recoveryLength
}

// GoodputHolds reports whether the surge costs at most a tenth of the goodput.
func (o Overload) GoodputHolds() bool {
	return o.GoodputInSurge >= minSurgeGoodput*o.GoodputAtCapacity
}

// Recovers reports whether service is normal soon after the surge.
func (o Overload) Recovers() bool { return o.RecoverySeconds <= maxRecovery.Seconds() }

// AttemptsBounded reports whether retries stay within the budget.
func (o Overload) AttemptsBounded() bool { return o.AttemptsPerCall <= maxAttempts }
