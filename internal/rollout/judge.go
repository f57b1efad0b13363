package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// minFailures is the number of failed or late answers below which a version is never
	// considered faulty: single ones happen on good versions too.
	minFailures = 5
	// The new version is faulty if its failure ratio exceeds failureFactor times
	// that of the old one plus a margin, which is failureMargin at most.
	failureFactor = 3
	failureMargin = 0.08
	// fullMarginAnswers is the number of answers of the new version beyond which the
	// margin shrinks with the square root of their number, down to
	// minFailureMargin: the ratio over many answers varies less by chance. The margin
	// shrinks only if the old version has at least minBaselineAnswers. With fewer, a
	// disturbance of both versions cannot be told from a fault of the new one.
	fullMarginAnswers  = 60
	minFailureMargin   = 0.015
	minBaselineAnswers = 100
	// minMeasured is the number of measured durations that each version needs before
	// their means are compared.
	minMeasured = 8
	// slowFactor is the ratio of mean durations above which the new version is slow.
	// It exceeds the ratio between the slowest and the fastest healthy instance.
	slowFactor = 3
	// A version may exceed the target latency lateFactor times as often as the old one, whose
	// ratio is taken to be at least minLateRatio and baselineDeviations standard deviations
	// above the measured one. The new version is slow if it does so more than lateDeviations
	// standard deviations more often: the versions are compared several times a second and on
	// each route.
	lateFactor         = 1.5
	minLateRatio       = 0.01
	baselineDeviations = 2
	lateDeviations     = 4
	// minInstanceAnswers is the number of answers from which an instance counts
	// when the faulty instances of a version are counted.
	minInstanceAnswers = 4
)

// tally sums the counts of several instances, on one route or on all.
type tally struct {
	answers, failures, measured, late uint32
	busy                              time.Duration
}

func (t *tally) add(c RouteCount) {
	t.answers += c.Answers
	t.failures += c.Failures
	t.measured += c.Measured
	t.busy += c.Busy
	t.late += c.Late
}

func (t *tally) failureRatio() float64 {
	if t.answers == 0 {
		return 0
	}
	return float64(t.failures) / float64(t.answers)
}

func (t *tally) meanDuration() float64 {
	if t.measured == 0 {
		return 0
	}
	return float64(t.busy) / float64(t.measured)
}

func (t *tally) lateRatio() float64 {
	if t.measured == 0 {
		return 0
	}
	return float64(t.late) / float64(t.measured)
}

// failing reports whether the failure ratio of the new version (canary) exceeds that
// of the old version (baseline) by more than chance explains.
func failing(canary, baseline tally) bool {
	return canary.failures >= minFailures && canary.failureRatio() > failureFactor*baseline.failureRatio()+margin(canary, baseline)
}

// margin returns the difference of failure ratios that is still put down to chance.
func margin(canary, baseline tally) float64 {
	if canary.answers <= fullMarginAnswers || baseline.answers < minBaselineAnswers {
		return failureMargin
	}
	return max(failureMargin*math.Sqrt(fullMarginAnswers/float64(canary.answers)), minFailureMargin)
}

func slow(canary, baseline tally) bool {
	return canary.measured >= minMeasured && baseline.measured >= minMeasured && canary.meanDuration() > slowFactor*baseline.meanDuration()
}

// expectedLate returns the number of answers over the target latency that a good version with
// as many measured answers as the canary is expected to have.
func expectedLate(canary, baseline tally) float64 {
	late := float64(baseline.late)
	ratio := (late + baselineDeviations*math.Sqrt(late+1)) / max(float64(baseline.measured), 1)
	return lateFactor * max(ratio, minLateRatio) * float64(canary.measured)
}

// oftenLate reports whether the new version misses the target latency more often than chance
// explains. A part of its answers may be several times slower while their mean is not.
func oftenLate(canary, baseline tally) bool {
	expected := expectedLate(canary, baseline)
	return canary.late >= minFailures && baseline.measured >= minBaselineAnswers && float64(canary.late) > expected+lateDeviations*math.Sqrt(expected)
}

// comparison sums the evidence on one roll-out by version and by route. canary is
// the new version, baseline all others.
type comparison struct {
	canary, baseline tally
	byRoute          map[mesh.Route]*[2]tally // canary, baseline
	instances        []Evidence               // of the canary
	routes           []mesh.Route             // in the order in which they first occur in the evidence
}

func compare(target mesh.BackendVersion, evidence []Evidence) *comparison {
	c := &comparison{byRoute: make(map[mesh.Route]*[2]tally)}
	for _, e := range evidence {
		side, total := 1, &c.baseline
		if e.Version == target {
			side, total = 0, &c.canary
			c.instances = append(c.instances, e)
		}
		for _, r := range e.Routes {
			if c.byRoute[r.Route] == nil {
				c.byRoute[r.Route] = new([2]tally)
				c.routes = append(c.routes, r.Route)
			}
			c.byRoute[r.Route][side].add(r)
			total.add(r)
		}
	}
	return c
}

// RollbackReason compares the versions and returns the reason to roll back the target
// version, or an empty string if there is none. A fault of a single instance is not a
// fault of its version: of the instances with enough answers, more than half must show
// it.
func RollbackReason(target mesh.BackendVersion, evidence []Evidence) string {
	c := compare(target, evidence)
	if failing(c.canary, c.baseline) && c.mostInstances(func(t tally) bool { return instanceFails(t, c.baseline) }, "") {
		return fmt.Sprintf("%d of %d answers failed, %d of %d before", c.canary.failures, c.canary.answers, c.baseline.failures, c.baseline.answers)
	}
	for _, route := range c.routes {
		canary, baseline := c.byRoute[route][0], c.byRoute[route][1]
		if failing(canary, baseline) && c.mostInstances(func(t tally) bool { return instanceFails(t, baseline) }, route) {
			return fmt.Sprintf("%d of %d answers failed on route %s, %d of %d before", canary.failures, canary.answers, route, baseline.failures, baseline.answers)
		}
		if slow(canary, baseline) && c.mostInstances(func(t tally) bool { return t.measured > 0 && t.meanDuration() > slowFactor*baseline.meanDuration() }, route) {
			return fmt.Sprintf("answers take %s on route %s, %s before",
				time.Duration(canary.meanDuration()).Round(time.Millisecond), route, time.Duration(baseline.meanDuration()).Round(time.Millisecond))
		}
	}
	return ""
}

// latenessReason is RollbackReason for answers over the target latency. It is separate because
// load makes answers late more often than it makes them fail, so the caller must know that the
// old version isn't late at the same time.
func latenessReason(target mesh.BackendVersion, evidence []Evidence) string {
	c := compare(target, evidence)
	if oftenLate(c.canary, c.baseline) && c.mostInstances(func(t tally) bool { return instanceIsLate(t, c.baseline) }, "") {
		return lateText(c.canary, c.baseline, "")
	}
	for _, route := range c.routes {
		canary, baseline := c.byRoute[route][0], c.byRoute[route][1]
		if oftenLate(canary, baseline) && c.mostInstances(func(t tally) bool { return instanceIsLate(t, baseline) }, route) {
			return lateText(canary, baseline, " on route "+string(route))
		}
	}
	return ""
}

// instanceFails reports whether a single instance shows the fault of its version. As
// it has few answers, no margin is required beyond failureFactor times the old
// version's failure ratio.
func instanceFails(instance, baseline tally) bool {
	return instance.failures > 0 && instance.failureRatio() > failureFactor*baseline.failureRatio()
}

// instanceIsLate is instanceFails for answers over the target latency.
func instanceIsLate(instance, baseline tally) bool {
	return float64(instance.late) > expectedLate(instance, baseline)
}

func lateText(canary, baseline tally, where string) string {
	return fmt.Sprintf("%d of %d answers were over the target latency%s, %d of %d before", canary.late, canary.measured, where, baseline.late, baseline.measured)
}

// mostInstances reports whether more than half of the canary instances with enough
// answers on the route show a fault. An empty route stands for all routes. If no
// instance has enough answers, it returns true.
func (c *comparison) mostInstances(faulty func(tally) bool, route mesh.Route) bool {
	considered, faultyCount := 0, 0
	for _, e := range c.instances {
		var t tally
		for _, r := range e.Routes {
			if route == "" || r.Route == route {
				t.add(r)
			}
		}
		if t.answers < minInstanceAnswers {
			continue
		}
		considered++
		if faulty(t) {
			faultyCount++
		}
	}
	return considered == 0 || 2*faultyCount > considered
}
