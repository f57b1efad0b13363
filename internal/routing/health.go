package routing

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// maxFailures is the number of consecutive failed answers that ejects.
	maxFailures = 5
	// maxConnectionFailures is the number of consecutive lost or refused
	// connections that ejects.
	maxConnectionFailures = 3
	// slowFactor is the ratio to the latency of other instances of the same
	// version from which an instance is slow.
	slowFactor = 3
	// minSlowSamples is the number of latencies needed to judge an instance.
	minSlowSamples = 10
	// minSlowExcess is the least difference in latency that counts as slow. It
	// exceeds the delay between failure domains.
	minSlowExcess = 5 * time.Millisecond
	// ejectionTime is the length of a first ejection. It doubles with each
	// ejection in succession up to maxEjectionTime.
	ejectionTime    = 5 * time.Second
	maxEjectionTime = time.Minute
	// drainPause is the time without calls to an instance whose gate drains.
	drainPause = 5 * time.Second
)

// Done records the end of an attempt and returns the change of the
// instance's standing, which the caller reports.
func (r *Router) Done(now mesh.Time, t Target, res Result) Change {
	inst := t.state
	if inst == nil {
		return Unchanged
	}
	inst.inFlight = max(0, inst.inFlight-1)
	inst.recordLoad(now, res)
	inst.recordLatency(res)
	change := inst.judge(res)
	if t.Probe {
		inst.probing = false
		return inst.judgeProbe(now, res)
	}
	if change == Unchanged || inst.ejected || !inst.mayEject() {
		return Unchanged
	}
	inst.eject(now)
	return change
}

func (i *instance) recordLoad(now mesh.Time, res Result) {
	if res.HasLoad {
		busy := int(res.Load.InUse) + int(res.Load.Queued)
		i.others = float64(max(0, busy-i.inFlight))
		i.reportedAt = now
	}
	if res.Outcome == mesh.NotRun && res.Reason == mesh.ReasonDraining {
		i.avoidUntil = now.Add(drainPause)
	}
}

// recordLatency counts complete answers, and attempts that were given up,
// whose latency is at least the time waited. Quick failures do not count.
func (i *instance) recordLatency(res Result) {
	if res.Outcome == mesh.Answered && !res.Failed || gaveUp(res) {
		i.latency.add(res.Latency, latencyWeight)
		i.version.latency.add(res.Latency, latencyWeight/4)
	}
}

// gaveUp reports whether the attempt was sent and not answered in time. Other
// results that may have run, such as a blocked request, are refusals.
func gaveUp(res Result) bool {
	return res.Outcome == mesh.MayHaveRun && res.Reason == mesh.ReasonDeadline
}

// judge counts failures in succession and returns the change that they call
// for. Refusals by the gate say nothing about the instance's health.
func (i *instance) judge(res Result) Change {
	switch {
	case res.Outcome == mesh.Answered && !res.Failed:
		i.failures, i.connectionFailures = 0, 0
	case res.Reason == mesh.ReasonConnectionLost:
		i.connectionFailures++
	case res.Outcome == mesh.Answered || gaveUp(res):
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
// explains a high latency, so such answers are not judged.
func (i *instance) isSlow(res Result) bool {
	if i.latency.samples < minSlowSamples || res.HasLoad && res.Load.Queued > 0 {
		return false
	}
	faster, measured := 0, 0
	for _, other := range i.service.all {
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

func (i *instance) slowerThan(other, own float64) bool {
	return own > slowFactor*other && own-other > float64(minSlowExcess)
}

// mayEject enforces the limit of half of a service's instances, so that a
// common fault never leaves a service without instances.
func (i *instance) mayEject() bool {
	return i.listed && 2*(i.service.ejected+1) <= len(i.service.all)
}

func (i *instance) eject(now mesh.Time) {
	if i.readmittedAt != 0 && now.Sub(i.readmittedAt) > maxEjectionTime {
		i.ejections = 0
	}
	if !i.ejected {
		i.ejected = true
		i.countEjected(1)
	}
	i.ejectedUntil = now.Add(min(ejectionTime<<min(i.ejections, 8), maxEjectionTime))
	i.ejections++
}

// judgeProbe readmits an instance after a good answer and extends its ejection
// otherwise.
func (i *instance) judgeProbe(now mesh.Time, res Result) Change {
	good := res.Outcome == mesh.Answered && !res.Failed
	if !i.ejected || !good && res.Outcome == mesh.NotRun && res.Reason != mesh.ReasonConnectionLost {
		return Unchanged
	}
	if !good || i.slowerThan(i.version.latency.value, float64(res.Latency)) {
		i.eject(now)
		return Unchanged
	}
	i.readmit(now)
	return Readmitted
}

func (i *instance) readmit(now mesh.Time) {
	i.ejected = false
	i.countEjected(-1)
	i.readmittedAt = now
	i.failures, i.connectionFailures = 0, 0
	i.latency = average{}
}

func (i *instance) countEjected(n int) {
	if i.listed {
		i.service.ejected += n
	}
}
