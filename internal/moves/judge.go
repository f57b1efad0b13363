package moves

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// withdrawEValue is the e-value at which the new version is withdrawn. Under
	// the likelihood model of groupLikelihoods, one sequentialTest of a version
	// without a fault reaches it with a probability of at most 1/1000 in the whole
	// move. The bound is per test: a judge has two for each route and class and two
	// for the service.
	withdrawEValue = 1000
	// suspectEValue is the e-value from which the new version's share of the calls
	// is not raised and the move does not complete.
	suspectEValue = 50
	// A group with calls to the new version closes once it has reached groupMinAge
	// and holds groupMinOldCalls calls to the old version for the comparison, and
	// at groupMaxAge at the latest. A group without calls to the new version closes
	// at twice groupMinAge, however many calls to the old version it holds.
	groupMinAge      = 500 * time.Millisecond
	groupMaxAge      = time.Minute
	groupMinOldCalls = 30
)

// testResult is the result of one test at the last evaluation.
type testResult struct {
	cause     Cause      // kind of fault that the test looks for
	route     mesh.Route // empty for a test over all routes
	logEValue float64    // logarithm of the test's e-value
}

// routeEvidence holds the evidence and the tests of one route and class. The
// numbers of calls are those that evidenceCalls counts.
type routeEvidence struct {
	route        mesh.Route
	class        mesh.Class
	history      oldVersionHistory // old version's calls in closed groups, the baseline of both tests
	routeGroup   groupCounts       // open group of this route's tests
	serviceGroup groupCounts       // this route's part of the open group of the service's tests
	failTest     sequentialTest    // for failed, lost and crashed calls
	slowTest     sequentialTest    // for latencies
	// results of failTest and slowTest at the last evaluation
	failLogEValue, slowLogEValue float64
	needsEvaluation              bool   // calls to the new version were added since the last evaluation
	calls                        uint64 // calls to either version since the creation of the judge
	newCalls                     uint64 // those of them to the new version
}

// groupCounts counts the calls of an open group, which are those made to both
// versions over the same interval.
type groupCounts struct {
	sides  [sideCount]Counts
	opened mesh.Time // unused in a serviceGroup: judge.serviceGroupOpened holds the time
}

// add adds a report to the group.
func (c *groupCounts) add(r *Report) {
	c.sides[OldSide].add(&r.Sides[OldSide])
	c.sides[NewSide].add(&r.Sides[NewSide])
}

// groupDue reports whether a group of the given age and numbers of calls must be
// closed.
func groupDue(age time.Duration, oldCalls, newCalls uint32) bool {
	if age < groupMinAge {
		return false
	}
	if newCalls == 0 {
		return age >= 2*groupMinAge
	}
	return oldCalls >= groupMinOldCalls || age >= groupMaxAge
}

// judge compares the versions of one move by sequential tests, for each route and
// class and over the whole service. In its names, "new calls" are calls to the new
// version.
type judge struct {
	evidence           []routeEvidence
	duration           time.Duration  // from the start of the move to its deadline
	started            mesh.Time      // creation of the judge
	serviceGroupOpened mesh.Time      // start of the service's open group
	failTest           sequentialTest // of the whole service, for failed, lost and crashed calls
	slowTest           sequentialTest // of the whole service, for latencies
	// results of the service's tests at the last evaluation
	failLogEValue, slowLogEValue float64
	needsEvaluation              bool       // calls to the new version were added since the service's last evaluation
	strongest                    testResult // at the last evaluation, the result with the largest e-value of all tests
	newCalls                     uint64     // calls to the new version, as counted by evidenceCalls
	levelEntered                 mesh.Time  // time at which this node applied the most recent change of MoveState.Level
	levelEntries                 int        // number of such changes since the creation of the judge
}

// newJudge returns the judge of a move with the given time from its start to its
// deadline.
func newJudge(now mesh.Time, duration time.Duration) *judge {
	return &judge{duration: max(duration, time.Second), started: now, serviceGroupOpened: now}
}

// ensureEvidence returns the evidence of a route and class and adds it if absent.
// The pointer is valid until the next call of ensureEvidence.
func (j *judge) ensureEvidence(now mesh.Time, route mesh.Route, class mesh.Class) *routeEvidence {
	for i := range j.evidence {
		if e := &j.evidence[i]; e.route == route && e.class == class {
			return e
		}
	}
	j.evidence = append(j.evidence, routeEvidence{route: route, class: class, routeGroup: groupCounts{opened: now}})
	return &j.evidence[len(j.evidence)-1]
}

// add adds a report to the open groups of its route and class and of the service.
// The tests use it from the next evaluation on.
func (j *judge) add(now mesh.Time, r *Report) {
	e := j.ensureEvidence(now, r.Route, r.Class)
	e.routeGroup.add(r)
	e.serviceGroup.add(r)
	newCalls := r.Sides[NewSide].evidenceCalls()
	e.newCalls += uint64(newCalls)
	e.calls += uint64(newCalls + r.Sides[OldSide].evidenceCalls())
	e.needsEvaluation = e.needsEvaluation || newCalls > 0
	j.needsEvaluation = j.needsEvaluation || newCalls > 0
	j.newCalls += uint64(newCalls)
}

// prior returns the prior probability that a fault began between the opening of a
// group and now. A group opened at the entry of a level includes levelEntryPrior,
// since a fault under load begins with a higher share. Only the first
// maxLevelEntries entries count, since the parts of the prior add up to one with
// that many.
func (j *judge) prior(now, opened mesh.Time) float64 {
	prior := timePrior * min(float64(now.Sub(opened))/float64(j.duration), 1)
	if opened == j.levelEntered && j.levelEntries <= maxLevelEntries {
		prior += levelEntryPrior
	}
	return prior
}

// evaluate updates the strongest result and closes the groups that are due. With
// force it closes all groups, as is necessary when the share changes.
func (j *judge) evaluate(now mesh.Time, force bool) {
	j.strongest = testResult{logEValue: math.Inf(-1)}
	j.evaluateService(now, force)
	for i := range j.evidence {
		j.evaluateRoute(now, &j.evidence[i], force)
	}
}

// evaluateRoute evaluates the tests of one route and class. While no calls to the
// new version were added and the group need not be closed, the results of the last
// evaluation stay.
func (j *judge) evaluateRoute(now mesh.Time, e *routeEvidence, force bool) {
	old, new := &e.routeGroup.sides[OldSide], &e.routeGroup.sides[NewSide]
	mustClose := force || groupDue(now.Sub(e.routeGroup.opened), old.evidenceCalls(), new.evidenceCalls())
	if e.needsEvaluation || mustClose {
		e.needsEvaluation = false
		faultPrior := j.prior(now, e.routeGroup.opened)
		var fail, slow groupLikelihoods // left at zero without calls to the new version, so that all likelihood ratios are one
		if !new.empty() {
			fail = e.history.failureLikelihoods(old, new, old.Repeats)
			slow = e.history.latencyLikelihoods(old, new)
		}
		fail.disturbanceExpected, slow.disturbanceExpected = now < e.failTest.disturbedUntil, now < e.slowTest.disturbedUntil
		e.failLogEValue = e.failTest.logEValue(&fail, faultPrior)
		e.slowLogEValue = e.slowTest.logEValue(&slow, faultPrior)
		if mustClose {
			e.failTest.close(now, &fail, faultPrior)
			e.slowTest.close(now, &slow, faultPrior)
			e.history.add(old)
			e.routeGroup = groupCounts{opened: now}
		}
	}
	j.keepStrongest(testResult{cause: CauseFailures, route: e.route, logEValue: e.failLogEValue})
	j.keepStrongest(testResult{cause: CauseSlow, route: e.route, logEValue: e.slowLogEValue})
}

// evaluateService evaluates the tests over all routes, under the same conditions
// as evaluateRoute.
func (j *judge) evaluateService(now mesh.Time, force bool) {
	var oldCalls, newCalls uint32
	for i := range j.evidence {
		oldCalls += j.evidence[i].serviceGroup.sides[OldSide].evidenceCalls()
		newCalls += j.evidence[i].serviceGroup.sides[NewSide].evidenceCalls()
	}
	mustClose := force || groupDue(now.Sub(j.serviceGroupOpened), oldCalls, newCalls)
	if j.needsEvaluation || mustClose {
		var fail, slow groupLikelihoods
		if newCalls > 0 {
			fail, slow = j.serviceLikelihoods()
		}
		fail.disturbanceExpected, slow.disturbanceExpected = now < j.failTest.disturbedUntil, now < j.slowTest.disturbedUntil
		faultPrior := j.prior(now, j.serviceGroupOpened)
		j.failLogEValue, j.slowLogEValue = j.failTest.logEValue(&fail, faultPrior), j.slowTest.logEValue(&slow, faultPrior)
		j.needsEvaluation = false
		if mustClose {
			j.failTest.close(now, &fail, faultPrior)
			j.slowTest.close(now, &slow, faultPrior)
			j.reopenServiceGroup(now)
		}
	}
	j.keepStrongest(testResult{cause: CauseFailures, logEValue: j.failLogEValue})
	j.keepStrongest(testResult{cause: CauseSlow, logEValue: j.slowLogEValue})
}

// serviceLikelihoods returns the likelihoods of the service's open group for both
// tests. They are computed per route and class and then multiplied, because the
// new version's share differs between routes: in counts summed over the routes,
// the two versions would have different mixes of routes, and a difference between
// routes would look like one between the versions.
func (j *judge) serviceLikelihoods() (fail, slow groupLikelihoods) {
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

// keepStrongest replaces the strongest result if the given one has a larger
// e-value.
func (j *judge) keepStrongest(result testResult) {
	if result.logEValue > j.strongest.logEValue {
		j.strongest = result
	}
}

// faulty reports whether the evidence suffices to withdraw the new version.
func (j *judge) faulty() bool { return j.strongest.logEValue >= math.Log(withdrawEValue) }

// suspicious reports whether there is enough evidence of a fault that the share
// must not be raised.
func (j *judge) suspicious() bool { return j.strongest.logEValue >= math.Log(suspectEValue) }

// closeGroups closes all groups after each change of the move's state, which can
// change the share: calls before and after a change of the share must not be
// compared with each other. With newLevel the move's level has changed, so the
// groups that open now include the prior of a level entry.
func (j *judge) closeGroups(now mesh.Time, newLevel bool) {
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
