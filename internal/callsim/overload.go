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
	// surgeSettleTime is left out of the goodput of the surge, so that the
	// queues have time to fill before the measurement.
	surgeSettleTime = 2 * time.Second

	// minSurgeGoodput is the lowest accepted goodput at surgeLoad, as a share of
	// the goodput at capacity.
	minSurgeGoodput = 0.9
	// recoveredShare is the share of good calls from which a second counts as
	// recovered.
	recoveredShare = 0.98
	// maxRecovery is the longest accepted time from the end of the surge to the
	// first recovered second.
	maxRecovery = 3 * time.Second
	// burstAllowance covers the retries that full token buckets allow beyond the
	// retry budget.
	burstAllowance = 0.02
	// maxAttempts is the highest accepted number of attempts per call.
	maxAttempts = 1 + float64(retry.DefaultBudget)/10_000 + burstAllowance
)

// Overload is the result of the overload check.
type Overload struct {
	// GoodputAtCapacity and GoodputInSurge are shares of the healthy capacity.
	GoodputAtCapacity float64 `json:"goodput_at_capacity"`
	GoodputInSurge    float64 `json:"goodput_in_surge"`
	// RecoverySeconds is the time from the end of the surge to the first second
	// with a share of recoveredShare of good calls, or recoveryLength if there
	// is none.
	RecoverySeconds float64 `json:"recovery_s"`
	AttemptsPerCall float64 `json:"attempts_per_call"`
}

// CheckOverload measures a run that offers the capacity, then surgeLoad times
// the capacity, then recoveryLoad times the capacity.
func CheckOverload(c Config) Overload {
	c.Fault = Healthy
	c.Phases = []Phase{{steadyLength, 1}, {surgeLength, surgeLoad}, {recoveryLength, recoveryLoad}}
	m := Run(c)
	surgeEnd := steadyLength + surgeLength
	surge := m.Sum(steadyLength, surgeEnd)
	return Overload{
		GoodputAtCapacity: m.Goodput(warmUp, steadyLength),
		GoodputInSurge:    m.Goodput(steadyLength+surgeSettleTime, surgeEnd),
		RecoverySeconds:   recoveryTime(m, surgeEnd).Seconds(),
		AttemptsPerCall:   float64(surge.Attempts) / float64(surge.Offered),
	}
}

func recoveryTime(m Measurements, from time.Duration) time.Duration {
	for t := time.Duration(0); t < recoveryLength; t += time.Second {
		s := m.Sum(from+t, from+t+time.Second)
		if float64(s.Good) >= recoveredShare*float64(s.Offered) {
			return t
		}
	}
	return recoveryLength
}

// GoodputHolds reports whether the goodput in the surge is at least
// minSurgeGoodput of that at capacity.
func (o Overload) GoodputHolds() bool {
	return o.GoodputInSurge >= minSurgeGoodput*o.GoodputAtCapacity
}

// Recovers reports whether the service recovers within maxRecovery after the
// surge.
func (o Overload) Recovers() bool { return o.RecoverySeconds <= maxRecovery.Seconds() }

// AttemptsBounded reports whether retries stay within the retry budget.
func (o Overload) AttemptsBounded() bool { return o.AttemptsPerCall <= maxAttempts }
