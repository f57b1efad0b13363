package movesim

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// detectableRatio is the likelihood ratio at which a fault counts as detectable.
// The ratio is that of an ideal observer that sees the end of each call at once
// and knows the fault's kind, severity, route and start. Without that knowledge,
// the observer would have to exclude about 100 combinations of kind, severity
// and route at a false alarm rate of 0.1% over a move.
const detectableRatio = 1e5

// observerEvidence is the ideal observer's evidence from a set of domains that can
// reach each other.
type observerEvidence struct {
	threshold    float64 // logarithm of the ratio at which the fault is detectable
	logRatio     float64
	detectable   bool
	detectableAt mesh.Time
}

// add adds the log-likelihood ratio of one call.
func (e *observerEvidence) add(now mesh.Time, logRatio float64) {
	e.logRatio += logRatio
	if !e.detectable && e.logRatio >= e.threshold {
		e.detectable, e.detectableAt = true, now
	}
}

// oracle determines when the new version's fault becomes detectable for an ideal
// observer, and how long calls still go to the new version after that. While a
// domain is isolated, its evidence is separate from that of the other domains.
type oracle struct {
	scenario     *Scenario
	all          observerEvidence
	isolated     observerEvidence
	partitioned  bool
	partitionEnd mesh.Time
	// stopDelay is the longest time from the moment at which the fault became
	// detectable to a later call to the new version. firstFaultyCall is the end of
	// the first faulty call, and lastNewCall the last time at which a call was sent
	// to the new version.
	stopDelay       time.Duration
	firstFaultyCall mesh.Time
	lastNewCall     mesh.Time
}

// newOracle returns the oracle of a scenario. If the fault starts later, the
// observer must also exclude its other possible starts, one per second.
func newOracle(s *Scenario) oracle {
	threshold := math.Log(detectableRatio)
	if s.startsLater() {
		threshold += math.Log(s.Duration.Seconds())
	}
	return oracle{scenario: s, all: observerEvidence{threshold: threshold}}
}

// logRatio returns the log-likelihood ratio of the fault against no fault for an
// affected call.
func (o *oracle) logRatio(route int, call *callSample) float64 {
	normal := &o.scenario.Routes[route]
	failed := call.result.Failed || call.result.Outcome != mesh.Answered
	if !o.scenario.Fault.slows() {
		failureShare := o.scenario.Severity + (1-o.scenario.Severity)*normal.FailureShare
		if failed {
			return math.Log(failureShare / normal.FailureShare)
		}
		return math.Log((1 - failureShare) / (1 - normal.FailureShare))
	}
	if call.result.Cold || failed && call.result.Latency < callTimeout {
		return 0
	}
	z := math.Log(float64(call.result.Latency)/float64(normal.MedianLatency)) / normal.Sigma
	shift := math.Log(o.scenario.Severity) / normal.Sigma
	return z*shift - shift*shift/2
}

// setPartitioned sets whether a domain is isolated. An isolated domain starts with
// the evidence that all domains have collected.
func (o *oracle) setPartitioned(now mesh.Time, partitioned bool) {
	if partitioned && !o.partitioned {
		o.isolated = o.all
	}
	if !partitioned && o.partitioned {
		o.partitionEnd = now
	}
	o.partitioned = partitioned
}

// callEnded adds the evidence of a call that has ended.
func (o *oracle) callEnded(now mesh.Time, route int, isolated bool, call *callSample) {
	if !call.affected {
		return
	}
	if call.faulty && o.firstFaultyCall == 0 {
		o.firstFaultyCall = now
	}
	if isolated {
		o.isolated.add(now, o.logRatio(route, call))
		return
	}
	o.all.add(now, o.logRatio(route, call))
}

// newCallSent updates the stop delay for a call that was sent to the new version.
func (o *oracle) newCallSent(now mesh.Time, isolated bool) {
	o.lastNewCall = now
	detectable, since := o.all.detectable, o.all.detectableAt
	switch {
	case isolated:
		detectable, since = o.isolated.detectable, o.isolated.detectableAt
	case detectable && !o.partitioned:
		since = max(since, o.partitionEnd)
	}
	if detectable {
		o.stopDelay = max(o.stopDelay, now.Sub(since))
	}
}
