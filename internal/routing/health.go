package routing

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// maxFailures is the number of consecutive failed answers and timeouts after
	// which an instance is ejected.
	maxFailures = 5
	// maxConnectionFailures is the number of consecutive lost or refused
	// connections after which an instance is ejected.
	maxConnectionFailures = 3
	// slowFactor is the ratio to the latency of other instances of the same
	// version above which an instance is slow.
	slowFactor = 3
	// minSlowSamples is the number of latencies needed to compare an instance
	// with others.
	minSlowSamples = 10
	// minSlowExcess is the least difference in latency that counts as slow. It
	// exceeds the delay between failure domains.
	minSlowExcess = 5 * time.Millisecond
	// ejectionTime is the length of a first ejection. It doubles with each
	// consecutive ejection up to maxEjectionTime.
	ejectionTime    = 5 * time.Second
	maxEjectionTime = time.Minute
	// drainPause is the time for which an instance receives no calls after its
	// gate refused one because it drains.
	drainPause = 5 * time.Second
)

// Done records the result of an attempt. It returns whether this ejected or
// readmitted the instance, which the caller reports.
func (r *Router) Done(now mesh.Time, t Target, res Result) Change {
	inst := t.state
	if inst == nil {
		return Unchanged
	}
	inst.inFlight = max(0, inst.inFlight-1)
	inst.recordLoad(now, res)
	inst.recordLatency(res)
	change := inst.evaluate(res)
	if t.Probe {
		inst.probing = false
		return inst.evaluateProbe(now, res)
	}
	if change == Unchanged || inst.ejected || !inst.ejectionAllowed() {
		return Unchanged
	}
	inst.eject(now)
	return change
}

// recordLoad stores the load that an answer reported and pauses calls to an
// instance whose gate drains.
func (i *instance) recordLoad(now mesh.Time, res Result) {
	if res.HasLoad {
		busy := int(res.Load.InUse) + int(res.Load.Queued)
		i.otherLoad = float64(max(0, busy-i.inFlight))
		i.reportedAt = now
	}
	if res.Outcome == mesh.NotRun && res.Reason == mesh.ReasonDraining {
		i.avoidUntil = now.Add(drainPause)
	}
}

// recordLatency adds the latency of complete answers and of attempts that timed
// out, whose latency is at least the time waited. Quick failures do not count.
func (i *instance) recordLatency(res Result) {
	if res.Outcome == mesh.Answered && !res.Failed || timedOut(res) {
		i.latency.add(res.Latency, latencyWeight)
		i.version.latency.add(res.Latency, latencyWeight/4)
	}
}

// timedOut reports whether the attempt was sent and not answered in time. Other
// results with the outcome MayHaveRun, such as a blocked request, are refusals.
func timedOut(res Result) bool {
	return res.Outcome == mesh.MayHaveRun && res.Reason == mesh.ReasonDeadline
}

// evaluate counts consecutive failures and returns the ejection that they call
// for, if any. Refusals by the gate say nothing about the instance's health.
func (i *instance) evaluate(res Result) Change {
	switch {
	case res.Outcome == mesh.Answered && !res.Failed:
		i.failures, i.connectionFailures = 0, 0
	case res.Reason == mesh.ReasonConnectionLost:
		i.connectionFailures++
	case res.Outcome == mesh.Answered || timedOut(res):
		i.failures++
	}
	switch {
	case i.connectionFailures >= maxConnectionFailures:
		return EjectedConnection
	case i.failures >= maxFailures:
		return EjectedFailures
	case i.isSlow(res):
		return EjectedSlow
	}
	return Unchanged
}

// isSlow reports whether at least half of the other instances of the version
// that have been measured are faster by slowFactor. A queue at the gate
// explains a high latency, so such answers do not count.
func (i *instance) isSlow(res Result) bool {
	if i.latency.samples < minSlowSamples || res.HasLoad && res.Load.Queued > 0 {
		return false
	}
	faster, measured := 0, 0
	for _, other := range i.service.active {
		if other == i || other.version != i.version || other.latency.samples < minSlowSamples {
			continue
		}
		measured++
		if i.slowerThan(other.latency.value, i.latency.value) {
			faster++
		}
	}
	return faster > 0 && 2*faster >= measured
}

// slowerThan reports whether latency is far above other.
func (i *instance) slowerThan(other, latency float64) bool {
	return latency > slowFactor*other && latency-other > float64(minSlowExcess)
}

// ejectionAllowed limits ejections to half of a service's active instances, so
// that a common fault never leaves a service without instances.
func (i *instance) ejectionAllowed() bool {
	return i.active && 2*(i.service.ejectedCount+1) <= len(i.service.active)
}

func (i *instance) eject(now mesh.Time) {
	if i.readmittedAt != 0 && now.Sub(i.readmittedAt) > maxEjectionTime {
		i.ejections = 0
	}
	if !i.ejected {
		i.ejected = true
		i.adjustEjectedCount(1)
	}
	i.ejectedUntil = now.Add(min(ejectionTime<<min(i.ejections, 8), maxEjectionTime))
	i.ejections++
}

// evaluateProbe readmits an instance after a successful answer that is not slow.
// A refusal by the gate changes nothing; any other result extends the ejection.
func (i *instance) evaluateProbe(now mesh.Time, res Result) Change {
	succeeded := res.Outcome == mesh.Answered && !res.Failed
	if !i.ejected || !succeeded && res.Outcome == mesh.NotRun && res.Reason != mesh.ReasonConnectionLost {
		return Unchanged
	}
	if !succeeded || i.slowerThan(i.version.latency.value, float64(res.Latency)) {
		i.eject(now)
		return Unchanged
	}
	i.readmit(now)
	return Readmitted
}

func (i *instance) readmit(now mesh.Time) {
	i.ejected = false
	i.adjustEjectedCount(-1)
	i.readmittedAt = now
	i.failures, i.connectionFailures = 0, 0
	i.latency = movingAverage{}
}

func (i *instance) adjustEjectedCount(delta int) {
	if i.active {
		i.service.ejectedCount += delta
	}
}
