package moves

import (
	"math"
	"sort"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// The move first measures the old version alone for at least minObserveTime
	// and until minObserveCalls calls were seen. Both end after observeFraction of
	// the move's duration, and the wait for calls after maxObserveTime.
	minObserveTime  = 5 * time.Second
	observeFraction = 0.08
	minObserveCalls = 60
	maxObserveTime  = 2 * time.Minute
	// finishFraction is the fraction of the time from the start to the deadline at
	// which the schedule completes the move. The rest is reserve for the failure
	// of a driver or a platform outage.
	finishFraction = 0.88
	// canaryCalls and routeCalls are the numbers of calls to the new version that
	// the canary level collects over the whole service and on each route.
	canaryCalls = 100
	routeCalls  = 25
	// canaryMinShare and canaryMaxShare bound the share of the canary level.
	// canaryMinShare and routeMaxShare bound the share of a single route.
	canaryMinShare Share = 10
	canaryMaxShare Share = 1000
	routeMaxShare  Share = 2500
	// rampLevelCalls is the number of calls to the new version that each ramp level
	// collects.
	rampLevelCalls = 150
	// finalLevelCalls replaces rampLevelCalls at the final level, because some
	// faults under load show at full load only.
	finalLevelCalls = 400
	// minHold is the shortest time at a level. minFinalHold is the shortest planned
	// time at the final level, where the new version carries its full load.
	minHold      = 5 * time.Second
	minFinalHold = 10 * time.Second
	// maxHoldFraction and maxFinalHoldFraction bound the planned time at a ramp
	// level and at the final level as fractions of the move's duration.
	maxHoldFraction      = 0.06
	maxFinalHoldFraction = 0.2
	// controlCallRate is the rate of calls per second that the final level leaves
	// on the old version for comparison. minControlShare and maxControlShare bound
	// the share of these calls.
	controlCallRate       = 15
	minControlShare Share = 200
	maxControlShare Share = 1000
	// minEvidenceCalls is the number of calls to the new version below which a
	// move does not complete, and minRouteEvidence the number below which a route
	// is reported to have too few calls.
	minEvidenceCalls = 10
	minRouteEvidence = 5
)

// Levels of the schedule, by increasing share of calls to the new version.
const (
	levelObserve   uint8 = iota // no calls to the new version
	levelCanary                 // few calls, held for as long as the later levels allow
	levelRampStart              // first of the levels of rampShares
)

// rampShares holds the shares of the levels between the canary level and the
// final level.
var rampShares = [...]Share{200, 500, 1200, 3000, 6000}

// levelFinal leaves only the control calls on the old version.
const levelFinal = levelRampStart + uint8(len(rampShares))

// evidenceSummary is the part of the evidence that the schedule uses.
type evidenceSummary struct {
	callRate float64    // calls per second of the service
	calls    uint64     // calls to either version
	newCalls uint64     // calls to the new version
	suspect  testResult // its cause is set if the share must not be raised
	routes   []routeSummary
}

// routeSummary is the summary of one route over all classes.
type routeSummary struct {
	route    mesh.Route
	callRate float64
	newCalls uint64
}

// summary summarises the evidence collected so far.
func (j *judge) summary(now mesh.Time) evidenceSummary {
	s := evidenceSummary{callRate: j.callRate(now), newCalls: j.newCalls}
	if j.suspicious() {
		s.suspect = j.strongest
	}
	for i := range j.evidence {
		e := &j.evidence[i]
		s.calls += e.calls
		s.routes = append(s.routes, routeSummary{
			route: e.route, callRate: perSecond(e.calls, now.Sub(j.started)), newCalls: e.newCalls,
		})
	}
	sort.SliceStable(s.routes, func(a, b int) bool { return s.routes[a].route < s.routes[b].route })
	return s.mergeClasses()
}

// mergeClasses merges the entries of each route, which are one per class.
func (s evidenceSummary) mergeClasses() evidenceSummary {
	merged := s.routes[:0]
	for _, r := range s.routes {
		if last := len(merged); last > 0 && merged[last-1].route == r.route {
			merged[last-1].callRate += r.callRate
			merged[last-1].newCalls += r.newCalls
			continue
		}
		merged = append(merged, r)
	}
	s.routes = merged
	return s
}

// nextState returns the next state of a running move, and false if the state
// does not change.
func nextState(now mesh.Time, m *MoveState, s *evidenceSummary) (MoveState, bool) {
	next := *m
	if now >= m.Deadline {
		return endAtDeadline(next, s), true
	}
	switch {
	case m.Level == levelObserve:
		if !baselineMeasured(now, m, s) {
			return next, false
		}
		return enterLevel(now, next, levelCanary, s), true
	case s.suspect.cause != CauseNone:
		return next, false
	case m.Level == levelFinal:
		return completeIfHeld(now, next, s)
	case now.Sub(m.Since) < currentHold(now, m, s):
		return rebalance(now, next, s)
	}
	return enterLevel(now, next, nextLevel(m, s), s), true
}

// endAtDeadline ends a move that is still running at its deadline. Only a move
// at the final level with enough calls and no suspected fault completes.
func endAtDeadline(m MoveState, s *evidenceSummary) MoveState {
	switch {
	case s.suspect.cause != CauseNone:
		m.Cause, m.CauseRoute = s.suspect.cause, s.suspect.route
	case s.newCalls < minEvidenceCalls:
		m.Cause = CauseNoEvidence
	case m.Level == levelFinal:
		return completedState(m)
	default:
		m.Cause = CauseDeadline
	}
	return withdrawnState(m)
}

// withdrawnState returns the state with the old version carrying all calls.
func withdrawnState(m MoveState) MoveState {
	m.State, m.Share, m.Routes = Withdrawn, 0, nil
	return m
}

// completedState returns the state with the new version carrying all calls.
func completedState(m MoveState) MoveState {
	m.State, m.Share, m.Routes = Done, FullShare, nil
	return m
}

// completeIfHeld completes a move at the final level once the level was held long
// enough and enough calls reached the new version.
func completeIfHeld(now mesh.Time, m MoveState, s *evidenceSummary) (MoveState, bool) {
	if now.Sub(m.Since) < currentHold(now, &m, s) || s.newCalls < minEvidenceCalls {
		return m, false
	}
	return completedState(m), true
}

// baselineMeasured reports whether enough calls to the old version were measured,
// or the time for it is over, so that calls may go to the new version.
func baselineMeasured(now mesh.Time, m *MoveState, s *evidenceSummary) bool {
	age, duration := now.Sub(m.Started), m.Deadline.Sub(m.Started)
	if age < min(minObserveTime, scaled(duration, observeFraction)) {
		return false
	}
	return s.calls >= minObserveCalls || age >= min(scaled(duration, observeFraction), maxObserveTime)
}

// scaled returns a fraction of a duration.
func scaled(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// levelShare returns the new version's share at a ramp level or the final level.
func levelShare(level uint8, callRate float64) Share {
	if level >= levelFinal {
		control := Share(min(controlCallRate/max(callRate, 0.01)*float64(FullShare), float64(FullShare)))
		return FullShare - min(max(control, minControlShare), maxControlShare)
	}
	return rampShares[level-levelRampStart]
}

// plannedHold returns how long a ramp level or the final level is held if there
// is enough time: until it has collected its calls, within its bounds.
func plannedHold(level uint8, m *MoveState, s *evidenceSummary) time.Duration {
	wantedCalls, shortest, maxFraction := float64(rampLevelCalls), minHold, maxHoldFraction
	if level == levelFinal {
		wantedCalls, shortest, maxFraction = finalLevelCalls, minFinalHold, maxFinalHoldFraction
	}
	share := float64(levelShare(level, s.callRate)) / float64(FullShare)
	seconds := wantedCalls / max(s.callRate*share, 1e-6)
	longest := max(shortest, scaled(m.Deadline.Sub(m.Started), maxFraction))
	return min(max(shortest, time.Duration(min(seconds, 1e6)*float64(time.Second))), longest)
}

// remainingHold returns the sum of the planned holds of a level and all later
// ones.
func remainingHold(level uint8, m *MoveState, s *evidenceSummary) time.Duration {
	var total time.Duration
	for ; level <= levelFinal; level++ {
		total += plannedHold(level, m, s)
	}
	return total
}

// finishTime returns the time at which the schedule completes the move.
func finishTime(m *MoveState) mesh.Time {
	return m.Started.Add(scaled(m.Deadline.Sub(m.Started), finishFraction))
}

// currentHold returns how long the current level is held. The canary level is held
// until only the time that the later levels need is left. If less time is left,
// the later levels are shortened in proportion, but not below minHold.
func currentHold(now mesh.Time, m *MoveState, s *evidenceSummary) time.Duration {
	if m.Level == levelCanary {
		laterLevelsStart := finishTime(m).Add(-remainingHold(nextLevel(m, s), m, s))
		return max(laterLevelsStart.Sub(m.Since), minHold)
	}
	needed := remainingHold(m.Level, m, s)
	available := finishTime(m).Sub(m.Since)
	full := plannedHold(m.Level, m, s)
	if available >= needed {
		return full
	}
	return max(minHold, scaled(full, max(float64(available)/float64(needed), 0)))
}

// nextLevel returns the next level whose share is above the current share. The
// canary share can exceed that of the first ramp levels.
func nextLevel(m *MoveState, s *evidenceSummary) uint8 {
	level := max(m.Level+1, levelRampStart)
	for level < levelFinal && levelShare(level, s.callRate) <= m.Share {
		level++
	}
	return min(level, levelFinal)
}

// enterLevel returns the state of a move that enters a level.
func enterLevel(now mesh.Time, m MoveState, level uint8, s *evidenceSummary) MoveState {
	m.Level, m.Since, m.Balanced = level, now, now
	setShares(&m, s)
	setEarlyReport(&m, s)
	return m
}

// setShares sets the shares of the move and its routes from the level and the
// measured call rates.
func setShares(m *MoveState, s *evidenceSummary) {
	period := scaled(m.Deadline.Sub(m.Started), finishFraction/2).Seconds()
	m.Share = shareFor(canaryCalls, s.callRate*period, canaryMinShare, canaryMaxShare)
	if m.Level > levelCanary {
		m.Share = levelShare(m.Level, s.callRate)
	}
	m.Routes = nil
	for _, r := range s.routes {
		share := shareFor(routeCalls, r.callRate*period, canaryMinShare, routeMaxShare)
		if share > m.Share {
			m.Routes = append(m.Routes, RouteShare{Route: r.route, Share: share})
		}
	}
}

// shareFor returns the share of totalCalls that is wantedCalls, within bounds.
func shareFor(wantedCalls, totalCalls float64, lowest, highest Share) Share {
	share := math.Ceil(wantedCalls / max(totalCalls, 1e-6) * float64(FullShare))
	return Share(min(max(share, float64(lowest)), float64(highest)))
}

// setEarlyReport marks a move if too few calls to the new version are expected
// before the deadline, over the whole service or, after the canary level, if too
// few were seen on one route.
func setEarlyReport(m *MoveState, s *evidenceSummary) {
	m.Early, m.EarlyRoute = CauseNone, ""
	expectedCalls := float64(s.newCalls)
	for level := max(m.Level, levelRampStart); level <= levelFinal; level++ {
		share := float64(levelShare(level, s.callRate)) / float64(FullShare)
		expectedCalls += s.callRate * share * plannedHold(level, m, s).Seconds()
	}
	if expectedCalls < minEvidenceCalls {
		m.Early = CauseNoEvidence
		return
	}
	for _, r := range s.routes {
		if m.Level >= levelRampStart && r.newCalls < minRouteEvidence {
			m.Early, m.EarlyRoute = CauseNoEvidence, r.route
			return
		}
	}
}

// rebalance adapts the shares of the canary level to changed call rates, at most
// once per twentieth of the move's duration.
func rebalance(now mesh.Time, m MoveState, s *evidenceSummary) (MoveState, bool) {
	if m.Level != levelCanary || now.Sub(m.Balanced) < scaled(m.Deadline.Sub(m.Started), 0.05) {
		return m, false
	}
	next := m
	setShares(&next, s)
	next.Balanced = now
	return next, !sharesClose(&m, &next)
}

// sharesClose reports whether two states have the same routes with their own
// share, and all shares differ by at most a quarter.
func sharesClose(a, b *MoveState) bool {
	if !withinQuarter(a.Share, b.Share) || len(a.Routes) != len(b.Routes) {
		return false
	}
	for i := range a.Routes {
		if a.Routes[i].Route != b.Routes[i].Route || !withinQuarter(a.Routes[i].Share, b.Routes[i].Share) {
			return false
		}
	}
	return true
}

// withinQuarter reports whether the larger share exceeds the smaller one by at
// most a quarter.
func withinQuarter(a, b Share) bool { return 4*max(a, b) <= 5*min(a, b) || a == b }
