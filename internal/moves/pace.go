package moves

import (
	"math"
	"sort"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// observeTime and observePart bound the time before the first call reaches
	// the new version, in which the old version's behaviour is measured.
	observeTime    = 5 * time.Second
	observePart    = 0.08
	observeCalls   = 60
	observeMaxTime = 2 * time.Minute
	// finishPart is the part of the time to the deadline after which the move
	// completes. The rest absorbs a driver's death or a platform outage.
	finishPart = 0.88
	// canaryCalls and routeCalls are the calls to the new version that the first
	// level collects over the whole service and on each route.
	canaryCalls = 100
	routeCalls  = 25
	// canaryMin and canaryMax bound the share of the first level; routeMax bounds
	// that of a rare route.
	canaryMin Share = 10
	canaryMax Share = 1000
	routeMax  Share = 2500
	// holdCalls is the number of calls to the new version that each later level
	// collects.
	holdCalls = 150
	// finalCalls replaces it at the last level, where a fault under load may show
	// at full load only.
	finalCalls = 400
	// holdMin is the shortest time at a level; finalHold that at the last one,
	// where the new version carries its full load.
	holdMin   = 5 * time.Second
	finalHold = 10 * time.Second
	// holdPart and finalPart bound the time at one level and at the last one as a
	// part of the move's duration.
	holdPart  = 0.06
	finalPart = 0.2
	// controlCalls is the rate of calls per second to the old version that the
	// last level keeps for comparison, within controlMin and controlMax.
	controlCalls       = 15
	controlMin   Share = 200
	controlMax   Share = 1000
	// evidenceCalls and routeEvidence are the calls to the new version without
	// which a move does not complete and a route is reported.
	evidenceCalls = 10
	routeEvidence = 5
)

// Levels of the schedule.
const (
	levelObserve uint8 = iota
	levelCanary
	levelFirst // first level of ladder
)

// ladder holds the shares after the first level. The last level follows it.
var ladder = [...]Share{200, 500, 1200, 3000, 6000}

const levelFinal = levelFirst + uint8(len(ladder))

// summary is what the schedule needs of the evidence.
type summary struct {
	rate     float64 // calls per second of the service
	calls    uint64  // calls seen
	newCalls uint64
	suspect  verdict // set with a cause when the share must not be raised
	routes   []routeSummary
}

// routeSummary is the evidence of one route over all classes.
type routeSummary struct {
	route    mesh.Route
	rate     float64
	newCalls uint64
}

// summary returns the evidence so far.
func (j *judge) summary(now mesh.Time) summary {
	s := summary{rate: j.rate(now), newCalls: j.total}
	if j.suspect() {
		s.suspect = j.worst
	}
	for i := range j.streams {
		t := &j.streams[i]
		s.calls += t.calls
		s.routes = append(s.routes, routeSummary{
			route: t.route, rate: perSecond(t.calls, now.Sub(j.began)), newCalls: t.newCalls,
		})
	}
	sort.SliceStable(s.routes, func(a, b int) bool { return s.routes[a].route < s.routes[b].route })
	return s.merged()
}

// merged sums the classes of each route.
func (s summary) merged() summary {
	kept := s.routes[:0]
	for _, r := range s.routes {
		if n := len(kept); n > 0 && kept[n-1].route == r.route {
			kept[n-1].rate += r.rate
			kept[n-1].newCalls += r.newCalls
			continue
		}
		kept = append(kept, r)
	}
	s.routes = kept
	return s
}

// advance returns the next state of a running move, and false when the state
// stays as it is.
func advance(now mesh.Time, m *MoveState, s *summary) (MoveState, bool) {
	next := *m
	if now >= m.Deadline {
		return atDeadline(next, s), true
	}
	switch {
	case m.Level == levelObserve:
		if !observed(now, m, s) {
			return next, false
		}
		return enter(now, next, levelCanary, s), true
	case s.suspect.cause != CauseNone:
		return next, false
	case m.Level == levelFinal:
		return finish(now, next, s)
	case now.Sub(m.Since) < holdNow(now, m, s):
		return rebalance(now, next, s)
	}
	return enter(now, next, nextLevel(m, s), s), true
}

// atDeadline ends a move that has not completed in time.
func atDeadline(m MoveState, s *summary) MoveState {
	switch {
	case s.suspect.cause != CauseNone:
		m.Cause, m.CauseRoute = s.suspect.cause, s.suspect.route
	case s.newCalls < evidenceCalls:
		m.Cause = CauseNoEvidence
	case m.Level == levelFinal:
		return completed(m)
	default:
		m.Cause = CauseDeadline
	}
	return withdrawn(m)
}

// withdrawn returns the state with the old version carrying all calls.
func withdrawn(m MoveState) MoveState {
	m.State, m.Share, m.Routes = Withdrawn, 0, nil
	return m
}

// completed returns the state with the new version carrying all calls.
func completed(m MoveState) MoveState {
	m.State, m.Share, m.Routes = Done, FullShare, nil
	return m
}

// finish completes a move at the last level once it was held long enough and
// has its evidence.
func finish(now mesh.Time, m MoveState, s *summary) (MoveState, bool) {
	if now.Sub(m.Since) < holdNow(now, &m, s) || s.newCalls < evidenceCalls {
		return m, false
	}
	return completed(m), true
}

// observed reports whether the old version's behaviour is known well enough.
func observed(now mesh.Time, m *MoveState, s *summary) bool {
	age, planned := now.Sub(m.Started), m.Deadline.Sub(m.Started)
	if age < min(observeTime, part(planned, observePart)) {
		return false
	}
	return s.calls >= observeCalls || age >= min(part(planned, observePart), observeMaxTime)
}

// part returns a part of a duration.
func part(d time.Duration, p float64) time.Duration { return time.Duration(float64(d) * p) }

// levelShare returns the share of a level.
func levelShare(level uint8, rate float64) Share {
	if level >= levelFinal {
		control := Share(min(controlCalls/max(rate, 0.01)*float64(FullShare), float64(FullShare)))
		return FullShare - min(max(control, controlMin), controlMax)
	}
	return ladder[level-levelFirst]
}

// hold returns the time for which a level after the first is held.
func hold(level uint8, m *MoveState, s *summary) time.Duration {
	calls, least, longest := float64(holdCalls), holdMin, holdPart
	if level == levelFinal {
		calls, least, longest = finalCalls, finalHold, finalPart
	}
	share := float64(levelShare(level, s.rate)) / float64(FullShare)
	seconds := calls / max(s.rate*share, 1e-6)
	most := max(least, part(m.Deadline.Sub(m.Started), longest))
	return min(max(least, time.Duration(min(seconds, 1e6)*float64(time.Second))), most)
}

// ladderTime returns the sum of the holds of the levels from the given one on.
func ladderTime(level uint8, m *MoveState, s *summary) time.Duration {
	var sum time.Duration
	for ; level <= levelFinal; level++ {
		sum += hold(level, m, s)
	}
	return sum
}

// finishTime returns the time at which the move shall complete.
func finishTime(m *MoveState) mesh.Time {
	return m.Started.Add(part(m.Deadline.Sub(m.Started), finishPart))
}

// holdNow returns the time for which the current level is held. The first level
// is held until the time that the later ones need; these are shortened, but not
// below holdMin, when less time than that is left.
func holdNow(now mesh.Time, m *MoveState, s *summary) time.Duration {
	if m.Level == levelCanary {
		start := finishTime(m).Add(-ladderTime(nextLevel(m, s), m, s))
		return max(start.Sub(m.Since), holdMin)
	}
	need := ladderTime(m.Level, m, s)
	left := finishTime(m).Sub(m.Since)
	whole := hold(m.Level, m, s)
	if left >= need {
		return whole
	}
	return max(holdMin, part(whole, max(float64(left)/float64(need), 0)))
}

// nextLevel returns the next level with a share above the current one.
func nextLevel(m *MoveState, s *summary) uint8 {
	level := max(m.Level+1, levelFirst)
	for level < levelFinal && levelShare(level, s.rate) <= m.Share {
		level++
	}
	return min(level, levelFinal)
}

// enter returns the state at the start of a level.
func enter(now mesh.Time, m MoveState, level uint8, s *summary) MoveState {
	m.Level, m.Since, m.Balanced = level, now, now
	setShares(&m, s)
	reportEarly(&m, s)
	return m
}

// setShares sets the shares of the level for the measured rates.
func setShares(m *MoveState, s *summary) {
	span := part(m.Deadline.Sub(m.Started), finishPart/2).Seconds()
	m.Share = shareFor(canaryCalls, s.rate*span, canaryMin, canaryMax)
	if m.Level > levelCanary {
		m.Share = levelShare(m.Level, s.rate)
	}
	m.Routes = nil
	for _, r := range s.routes {
		share := shareFor(routeCalls, r.rate*span, canaryMin, routeMax)
		if share > m.Share {
			m.Routes = append(m.Routes, RouteShare{Route: r.route, Share: share})
		}
	}
}

// shareFor returns the share that gives the wanted number of all calls.
func shareFor(wanted, all float64, least, most Share) Share {
	share := math.Ceil(wanted / max(all, 1e-6) * float64(FullShare))
	return Share(min(max(share, float64(least)), float64(most)))
}

// reportEarly marks a move whose evidence cannot be collected in time: over
// the service or, after the first level, on one route.
func reportEarly(m *MoveState, s *summary) {
	m.Early, m.EarlyRoute = CauseNone, ""
	expected := float64(s.newCalls)
	for level := max(m.Level, levelFirst); level <= levelFinal; level++ {
		share := float64(levelShare(level, s.rate)) / float64(FullShare)
		expected += s.rate * share * hold(level, m, s).Seconds()
	}
	if expected < evidenceCalls {
		m.Early = CauseNoEvidence
		return
	}
	for _, r := range s.routes {
		if m.Level >= levelFirst && r.newCalls < routeEvidence {
			m.Early, m.EarlyRoute = CauseNoEvidence, r.route
			return
		}
	}
}

// rebalance adapts the shares of the first level when the rates have changed,
// at most once in a twentieth of the move.
func rebalance(now mesh.Time, m MoveState, s *summary) (MoveState, bool) {
	if m.Level != levelCanary || now.Sub(m.Balanced) < part(m.Deadline.Sub(m.Started), 0.05) {
		return m, false
	}
	next := m
	setShares(&next, s)
	next.Balanced = now
	return next, !sameShares(&m, &next)
}

// sameShares reports whether all shares differ by less than a quarter.
func sameShares(a, b *MoveState) bool {
	if !near(a.Share, b.Share) || len(a.Routes) != len(b.Routes) {
		return false
	}
	for i := range a.Routes {
		if a.Routes[i].Route != b.Routes[i].Route || !near(a.Routes[i].Share, b.Routes[i].Share) {
			return false
		}
	}
	return true
}

// near reports whether two shares differ by less than a quarter.
func near(a, b Share) bool { return 4*max(a, b) <= 5*min(a, b) || a == b }
