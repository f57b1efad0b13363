package moves

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// withdrawValue is the e-value at which the new version is withdrawn. Under
	// the model a single test of a good version exceeds it with probability at
	// most 1/1000.
	withdrawValue = 1000
	// suspectValue is the e-value above which the share is not raised.
	suspectValue = 50
	// groupMinAge, groupOldCalls and groupMaxAge bound a group of calls: it ends
	// once it is old enough and holds enough calls to the old version for the
	// comparison, and in any case at groupMaxAge.
	groupMinAge   = 500 * time.Millisecond
	groupMaxAge   = time.Minute
	groupOldCalls = 30
)

// verdict is the result of a judgement.
type verdict struct {
	cause Cause
	route mesh.Route // empty when the fault shows over all routes
	value float64    // log of the largest e-value
}

// stream is the evidence of one route and class.
type stream struct {
	route mesh.Route
	class mesh.Class
	past  history
	own   openGroup // group of this route's tests
	all   openGroup // this route's part of the group of the service's tests
	fail  sequential
	slow  sequential
	// values of the last evaluation, and whether calls to the new version arrived
	// since
	failValue, slowValue float64
	fresh                bool
	calls                uint64 // to either version
	newCalls             uint64
}

// openGroup is a group of calls that has not ended.
type openGroup struct {
	sides  [sides]Counts
	opened mesh.Time
}

// add adds a report to the group.
func (g *openGroup) add(r *Report) {
	g.sides[OldSide].add(&r.Sides[OldSide])
	g.sides[NewSide].add(&r.Sides[NewSide])
}

// complete reports whether a group with the given calls may end.
func complete(age time.Duration, oldCalls, newCalls uint32) bool {
	if age < groupMinAge {
		return false
	}
	if newCalls == 0 {
		return age >= 2*groupMinAge
	}
	return oldCalls >= groupOldCalls || age >= groupMaxAge
}

// judge compares the versions of one move.
type judge struct {
	streams []stream
	planned time.Duration // duration of the move
	began   mesh.Time
	opened  mesh.Time // start of the service's open group
	fail    sequential
	slow    sequential
	// values of the service's tests at the last evaluation, and whether calls to
	// the new version arrived since
	failValue, slowValue float64
	fresh                bool
	worst                verdict
	total                uint64    // calls to the new version
	entered              mesh.Time // time of the last entry of a level
	entries              int
}

// newJudge returns the judge of a move from its start to its deadline.
func newJudge(now mesh.Time, planned time.Duration) *judge {
	return &judge{planned: max(planned, time.Second), began: now, opened: now}
}

// stream returns the evidence of a route and class and adds it if absent.
func (j *judge) stream(now mesh.Time, route mesh.Route, class mesh.Class) *stream {
	for i := range j.streams {
		if s := &j.streams[i]; s.route == route && s.class == class {
			return s
		}
	}
	j.streams = append(j.streams, stream{route: route, class: class, own: openGroup{opened: now}})
	return &j.streams[len(j.streams)-1]
}

// add counts a report and evaluates the tests that it changes.
func (j *judge) add(now mesh.Time, r *Report) {
	s := j.stream(now, r.Route, r.Class)
	s.own.add(r)
	s.all.add(r)
	fresh := r.Sides[NewSide].calls()
	s.newCalls += uint64(fresh)
	s.calls += uint64(fresh + r.Sides[OldSide].calls())
	s.fresh = s.fresh || fresh > 0
	j.fresh = j.fresh || fresh > 0
	j.total += uint64(fresh)
}

// bet returns the prior on a fault that began in a group. The first group after
// an entry of a level includes the prior of that entry.
func (j *judge) bet(now, opened mesh.Time) float64 {
	bet := timeWeight * min(float64(now.Sub(opened))/float64(j.planned), 1)
	if opened == j.entered && j.entries <= maxSteps {
		bet += stepWeight
	}
	return bet
}

// evaluate updates the worst verdict and ends complete groups. With force all
// groups end, as they must when the share changes.
func (j *judge) evaluate(now mesh.Time, force bool) {
	j.worst = verdict{value: math.Inf(-1)}
	j.evaluateService(now, force)
	for i := range j.streams {
		j.evaluateRoute(now, &j.streams[i], force)
	}
}

// evaluateRoute evaluates the tests of one route.
func (j *judge) evaluateRoute(now mesh.Time, s *stream, force bool) {
	old, new := &s.own.sides[OldSide], &s.own.sides[NewSide]
	ends := force || complete(now.Sub(s.own.opened), old.calls(), new.calls())
	if s.fresh || ends {
		s.fresh = false
		bet := j.bet(now, s.own.opened)
		var fail, slow group // neutral without calls to the new version
		if !new.empty() {
			fail = s.past.failureGroup(old, new, old.Repeats)
			slow = s.past.latencyGroup(old, new)
		}
		fail.persistent, slow.persistent = now < s.fail.disturbedUntil, now < s.slow.disturbedUntil
		s.failValue = s.fail.value(&fail, bet)
		s.slowValue = s.slow.value(&slow, bet)
		if ends {
			s.fail.close(now, &fail, bet)
			s.slow.close(now, &slow, bet)
			s.past.add(old)
			s.own = openGroup{opened: now}
		}
	}
	j.consider(verdict{cause: CauseFailures, route: s.route, value: s.failValue})
	j.consider(verdict{cause: CauseSlow, route: s.route, value: s.slowValue})
}

// evaluateService evaluates the tests over all routes.
func (j *judge) evaluateService(now mesh.Time, force bool) {
	var oldCalls, newCalls uint32
	for i := range j.streams {
		oldCalls += j.streams[i].all.sides[OldSide].calls()
		newCalls += j.streams[i].all.sides[NewSide].calls()
	}
	ends := force || complete(now.Sub(j.opened), oldCalls, newCalls)
	if j.fresh || ends {
		var fail, slow group
		if newCalls > 0 {
			fail, slow = j.serviceGroups()
		}
		fail.persistent, slow.persistent = now < j.fail.disturbedUntil, now < j.slow.disturbedUntil
		bet := j.bet(now, j.opened)
		j.failValue, j.slowValue = j.fail.value(&fail, bet), j.slow.value(&slow, bet)
		j.fresh = false
		if ends {
			j.fail.close(now, &fail, bet)
			j.slow.close(now, &slow, bet)
			j.reopen(now)
		}
	}
	j.consider(verdict{cause: CauseFailures, value: j.failValue})
	j.consider(verdict{cause: CauseSlow, value: j.slowValue})
}

// serviceGroups returns the open groups over all routes. Likelihoods are taken
// per route and then multiplied, because the routes' shares differ.
func (j *judge) serviceGroups() (fail, slow group) {
	for i := range j.streams {
		s := &j.streams[i]
		old, new := &s.all.sides[OldSide], &s.all.sides[NewSide]
		f, l := s.past.failureGroup(old, new, old.Repeats), s.past.latencyGroup(old, new)
		fail.add(&f)
		slow.add(&l)
	}
	return fail, slow
}

// reopen begins a new group of the service's tests.
func (j *judge) reopen(now mesh.Time) {
	j.opened = now
	for i := range j.streams {
		j.streams[i].all = openGroup{}
	}
}

// consider keeps the verdict with the largest value.
func (j *judge) consider(v verdict) {
	if v.value > j.worst.value {
		j.worst = v
	}
}

// faulty reports whether the new version must be withdrawn.
func (j *judge) faulty() bool { return j.worst.value >= math.Log(withdrawValue) }

// suspect reports whether the share must not be raised.
func (j *judge) suspect() bool { return j.worst.value >= math.Log(suspectValue) }

// step ends all groups, since calls before and after a change of the share must
// not be compared with each other.
func (j *judge) step(now mesh.Time, entry bool) {
	j.evaluate(now, true)
	if entry {
		j.entered = now
		j.entries++
	}
}

// rate returns the service's calls per second since the judge began.
func (j *judge) rate(now mesh.Time) float64 {
	var calls uint64
	for i := range j.streams {
		calls += j.streams[i].calls
	}
	return perSecond(calls, now.Sub(j.began))
}

// perSecond returns the rate of calls over a time of at least one second.
func perSecond(calls uint64, over time.Duration) float64 {
	return float64(calls) / max(over.Seconds(), 1)
}
