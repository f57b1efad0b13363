package moves

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// withdrawEValue is the e-value at which the new version is withdrawn. Under
	// the model, a single test of a version without a fault reaches it with a
	// probability of at most 1/1000.
	withdrawEValue = 1000
	// suspectEValue is the e-value from which the share is not raised.
	suspectEValue = 50
	// A group of calls ends once it has reached groupMinAge and holds
	// groupMinOldCalls calls to the old version for the comparison, and in any
	// case at groupMaxAge. Without calls to the new version it ends at twice
	// groupMinAge.
	groupMinAge      = 500 * time.Millisecond
	groupMaxAge      = time.Minute
	groupMinOldCalls = 30
)

// verdict is the result of the tests with the strongest evidence for a fault.
type verdict struct {
	cause     Cause
	route     mesh.Route // empty for a test over all routes
	logEValue float64    // logarithm of the test's e-value
}

// routeEvidence holds the evidence and the tests of one route and class.
type routeEvidence struct {
	route        mesh.Route
	class        mesh.Class
	history      oldVersionHistory
	routeGroup   groupCounts    // open group of this route's tests
	serviceGroup groupCounts    // this route's part of the open group of the service's tests
	failTest     sequentialTest // for failed and lost calls
	slowTest     sequentialTest // for latencies
	// results of the last evaluation, and whether calls to the new version were
	// added since
	failLogEValue, slowLogEValue float64
	hasNewCalls                  bool
	calls                        uint64 // to either version
	newCalls                     uint64
}

// groupCounts counts the calls of an open group, which are those made to both
// versions over the same interval.
type groupCounts struct {
	sides  [sideCount]Counts
	opened mesh.Time
}

// add adds a report to the group.
func (c *groupCounts) add(r *Report) {
	c.sides[OldSide].add(&r.Sides[OldSide])
	c.sides[NewSide].add(&r.Sides[NewSide])
}

// groupMayEnd reports whether a group of the given age and numbers of calls may
// end.
func groupMayEnd(age time.Duration, oldCalls, newCalls uint32) bool {
	if age < groupMinAge {
		return false
	}
	if newCalls == 0 {
		return age >= 2*groupMinAge
	}
	return oldCalls >= groupMinOldCalls || age >= groupMaxAge
}

// judge compares the versions of one move by sequential tests, for each route and
// class and over the whole service.
type judge struct {
	evidence           []routeEvidence
	duration           time.Duration // from the start of the move to its deadline
	started            mesh.Time     // creation of the judge
	serviceGroupOpened mesh.Time     // start of the service's open group
	failTest           sequentialTest
	slowTest           sequentialTest
	// results of the service's tests at the last evaluation, and whether calls to
	// the new version were added since
	failLogEValue, slowLogEValue float64
	hasNewCalls                  bool
	worst                        verdict   // the one with the largest e-value
	newCalls                     uint64    // calls to the new version
	levelEntered                 mesh.Time // time at which the last level was entered
	levelEntries                 int       // number of levels entered
}

// newJudge returns the judge of a move with the given time from its start to its
// deadline.
func newJudge(now mesh.Time, duration time.Duration) *judge {
	return &judge{duration: max(duration, time.Second), started: now, serviceGroupOpened: now}
}

// evidenceOf returns the evidence of a route and class and adds it if absent.
func (j *judge) evidenceOf(now mesh.Time, route mesh.Route, class mesh.Class) *routeEvidence {
	for i := range j.evidence {
		if e := &j.evidence[i]; e.route == route && e.class == class {
			return e
		}
	}
	j.evidence = append(j.evidence, routeEvidence{route: route, class: class, routeGroup: groupCounts{opened: now}})
	return &j.evidence[len(j.evidence)-1]
}

// add adds a report to the open groups, which the next evaluation tests.
func (j *judge) add(now mesh.Time, r *Report) {
	e := j.evidenceOf(now, r.Route, r.Class)
	e.routeGroup.add(r)
	e.serviceGroup.add(r)
	newCalls := r.Sides[NewSide].evidenceCalls()
	e.newCalls += uint64(newCalls)
	e.calls += uint64(newCalls + r.Sides[OldSide].evidenceCalls())
	e.hasNewCalls = e.hasNewCalls || newCalls > 0
	j.hasNewCalls = j.hasNewCalls || newCalls > 0
	j.newCalls += uint64(newCalls)
}

// prior returns the prior probability that a fault begins in a group opened at
// the given time. The first group after entering a level includes the prior of
// that entry.
func (j *judge) prior(now, opened mesh.Time) float64 {
	prior := timeWeight * min(float64(now.Sub(opened))/float64(j.duration), 1)
	if opened == j.levelEntered && j.levelEntries <= maxLevelEntries {
		prior += levelEntryWeight
	}
	return prior
}

// evaluate updates the worst verdict and closes the groups that may end. With
// force it closes all groups, as is necessary when the share changes.
func (j *judge) evaluate(now mesh.Time, force bool) {
	j.worst = verdict{logEValue: math.Inf(-1)}
	j.evaluateService(now, force)
	for i := range j.evidence {
		j.evaluateRoute(now, &j.evidence[i], force)
	}
}

// evaluateRoute evaluates the tests of one route and class.
func (j *judge) evaluateRoute(now mesh.Time, e *routeEvidence, force bool) {
	old, new := &e.routeGroup.sides[OldSide], &e.routeGroup.sides[NewSide]
	ends := force || groupMayEnd(now.Sub(e.routeGroup.opened), old.evidenceCalls(), new.evidenceCalls())
	if e.hasNewCalls || ends {
		e.hasNewCalls = false
		faultPrior := j.prior(now, e.routeGroup.opened)
		var fail, slow groupLikelihoods // neutral without calls to the new version
		if !new.empty() {
			fail = e.history.failureLikelihoods(old, new, old.Repeats)
			slow = e.history.latencyLikelihoods(old, new)
		}
		fail.afterDisturbance, slow.afterDisturbance = now < e.failTest.disturbedUntil, now < e.slowTest.disturbedUntil
		e.failLogEValue = e.failTest.logEValue(&fail, faultPrior)
		e.slowLogEValue = e.slowTest.logEValue(&slow, faultPrior)
		if ends {
			e.failTest.close(now, &fail, faultPrior)
			e.slowTest.close(now, &slow, faultPrior)
			e.history.add(old)
			e.routeGroup = groupCounts{opened: now}
		}
	}
	j.keepWorst(verdict{cause: CauseFailures, route: e.route, logEValue: e.failLogEValue})
	j.keepWorst(verdict{cause: CauseSlow, route: e.route, logEValue: e.slowLogEValue})
}

// evaluateService evaluates the tests over all routes.
func (j *judge) evaluateService(now mesh.Time, force bool) {
	var oldCalls, newCalls uint32
	for i := range j.evidence {
		oldCalls += j.evidence[i].serviceGroup.sides[OldSide].evidenceCalls()
		newCalls += j.evidence[i].serviceGroup.sides[NewSide].evidenceCalls()
	}
	ends := force || groupMayEnd(now.Sub(j.serviceGroupOpened), oldCalls, newCalls)
	if j.hasNewCalls || ends {
		var fail, slow groupLikelihoods
		if newCalls > 0 {
			fail, slow = j.serviceGroups()
		}
		fail.afterDisturbance, slow.afterDisturbance = now < j.failTest.disturbedUntil, now < j.slowTest.disturbedUntil
		faultPrior := j.prior(now, j.serviceGroupOpened)
		j.failLogEValue, j.slowLogEValue = j.failTest.logEValue(&fail, faultPrior), j.slowTest.logEValue(&slow, faultPrior)
		j.hasNewCalls = false
		if ends {
			j.failTest.close(now, &fail, faultPrior)
			j.slowTest.close(now, &slow, faultPrior)
			j.reopenServiceGroup(now)
		}
	}
	j.keepWorst(verdict{cause: CauseFailures, logEValue: j.failLogEValue})
	j.keepWorst(verdict{cause: CauseSlow, logEValue: j.slowLogEValue})
}

// serviceGroups returns the likelihoods of the service's open group for both
// tests. Likelihoods are computed per route and class and then multiplied,
// because the routes' shares differ.
func (j *judge) serviceGroups() (fail, slow groupLikelihoods) {
	for i := range j.evidence {
		e := &j.evidence[i]
		old, new := &e.serviceGroup.sides[OldSide], &e.serviceGroup.sides[NewSide]
		routeFail, routeSlow := e.history.failureLikelihoods(old, new, old.Repeats), e.history.latencyLikelihoods(old, new)
		fail.multiply(&routeFail)
		slow.multiply(&routeSlow)
	}
	return fail, slow
}

// reopenServiceGroup opens a new group for the service's tests.
func (j *judge) reopenServiceGroup(now mesh.Time) {
	j.serviceGroupOpened = now
	for i := range j.evidence {
		j.evidence[i].serviceGroup = groupCounts{}
	}
}

// keepWorst replaces the worst verdict if the given one has a larger e-value.
func (j *judge) keepWorst(v verdict) {
	if v.logEValue > j.worst.logEValue {
		j.worst = v
	}
}

// faulty reports whether the evidence suffices to withdraw the new version.
func (j *judge) faulty() bool { return j.worst.logEValue >= math.Log(withdrawEValue) }

// suspicious reports whether there is enough evidence of a fault that the share
// must not be raised.
func (j *judge) suspicious() bool { return j.worst.logEValue >= math.Log(suspectEValue) }

// endGroups closes all groups after a change of the move's state, because calls
// before and after a change of the share must not be compared with each other.
func (j *judge) endGroups(now mesh.Time, newLevel bool) {
	j.evaluate(now, true)
	if newLevel {
		j.levelEntered = now
		j.levelEntries++
	}
}

// callRate returns the service's calls per second since the judge was created.
func (j *judge) callRate(now mesh.Time) float64 {
	var calls uint64
	for i := range j.evidence {
		calls += j.evidence[i].calls
	}
	return perSecond(calls, now.Sub(j.started))
}

// perSecond returns the number of calls per second. Durations below one second
// count as one second.
func perSecond(calls uint64, over time.Duration) float64 {
	return float64(calls) / max(over.Seconds(), 1)
}
