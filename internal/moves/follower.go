package moves

import (
	"math/bits"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// followedMove is a move as one node sees it.
type followedMove struct {
	state MoveState
	// stop is set once a fault of the new version was found. It stays set for the
	// rest of the move.
	stop Stop
	// paused is the step at which this node, by its own call results, stopped
	// using the new version. A later step ends the pause.
	paused        uint64
	pauseReported bool
	pauseCounters []pauseCounter
	// judge compares the versions. It is set on root nodes only.
	judge  *judge
	driver driverState
	// urgent is set when a call to the new version failed or was lost, or when an
	// instance of either version crashed. The evidence is then sent after
	// urgentInterval instead of flushInterval.
	urgent bool
	// crash recognises the calls that were in flight in the same crash.
	crash crashFilter
}

// avoidsNew reports whether this node must not use the new version.
func (f *followedMove) avoidsNew() bool { return f.stop.Cause != CauseNone || f.paused == f.state.Step }

// apply replaces the state if the given one has a higher step, and reports
// whether it did. A terminal state is never replaced.
func (f *followedMove) apply(s *MoveState) bool {
	if f.state.State.Terminal() || s.Step <= f.state.Step {
		return false
	}
	f.state = *s
	f.pauseCounters = f.pauseCounters[:0]
	return true
}

// chooseVersion returns the version for a call on a route. The draw is uniform
// over all uint64 values.
func (f *followedMove) chooseVersion(route mesh.Route, draw uint64) mesh.BackendVersion {
	switch f.state.State {
	case Done:
		return f.state.To
	case Withdrawn:
		return f.state.From
	}
	position, _ := bits.Mul64(draw, uint64(FullShare))
	if f.avoidsNew() || Share(position) >= f.state.ShareOf(route) {
		return f.state.From
	}
	return f.state.To
}

// sideOf returns the side of a version, and false if the version is neither the
// old nor the new one.
func (f *followedMove) sideOf(v mesh.BackendVersion) (Side, bool) {
	switch v {
	case f.state.To:
		return NewSide, true
	case f.state.From:
		return OldSide, true
	}
	return 0, false
}

const (
	// A node pauses the new version if, on one route, pauseMinFailures of at most
	// pauseMaxCalls calls to it fail or are lost, while pauseMinOldCalls calls to
	// the old version since the first of these failures all succeed.
	pauseMaxCalls    = 8
	pauseMinFailures = 4
	pauseMinOldCalls = 6
	// pauseWindow is the largest age of the first of these failures.
	pauseWindow = 10 * time.Second
)

// pauseCounter counts the calls on a route since the first failed call to the
// new version.
type pauseCounter struct {
	route                           mesh.Route
	firstFailure                    mesh.Time
	newCalls, newFailures, oldCalls uint8
}

// pauseCounter returns the counter of a route and adds one if absent.
func (f *followedMove) pauseCounter(route mesh.Route) *pauseCounter {
	for i := range f.pauseCounters {
		if f.pauseCounters[i].route == route {
			return &f.pauseCounters[i]
		}
	}
	f.pauseCounters = append(f.pauseCounters, pauseCounter{route: route})
	return &f.pauseCounters[len(f.pauseCounters)-1]
}

// add counts a call and reports whether the node must pause the new version. A
// bad call is one that failed or was lost.
func (c *pauseCounter) add(now mesh.Time, side Side, bad bool) bool {
	if c.newFailures > 0 && (now.Sub(c.firstFailure) > pauseWindow || c.newCalls >= pauseMaxCalls || side == OldSide && bad) {
		*c = pauseCounter{route: c.route}
	}
	switch {
	case side == NewSide && (bad || c.newFailures > 0):
		if c.newFailures == 0 {
			c.firstFailure = now
		}
		c.newCalls++
		if bad {
			c.newFailures++
		}
	case side == OldSide && c.newFailures > 0 && c.oldCalls < pauseMinOldCalls:
		c.oldCalls++
	}
	return c.newFailures >= pauseMinFailures && c.oldCalls >= pauseMinOldCalls
}

// crashWindow is the time within which crashed calls to one instance are
// attributed to the same crash.
const crashWindow = time.Second

// crashFilter remembers the last counted crashes, so that several calls in
// flight in one crash are counted once.
type crashFilter struct {
	recent [4]instanceCrash
	next   uint8
}

// instanceCrash is a counted crash of an instance.
type instanceCrash struct {
	instance mesh.InstanceID
	at       mesh.Time
}

// firstOfCrash reports whether a crashed call is the first one of its crash,
// and if so remembers the crash.
func (c *crashFilter) firstOfCrash(now mesh.Time, instance mesh.InstanceID) bool {
	for _, crash := range c.recent {
		if crash.instance == instance && now.Sub(crash.at) < crashWindow {
			return false
		}
	}
	c.recent[c.next%4] = instanceCrash{instance: instance, at: now}
	c.next++
	return true
}

// countCall adds a call result to c, the counts of its side.
func (f *followedMove) countCall(now mesh.Time, c *Counts, call *CallResult) {
	switch {
	case call.Crashed && call.Crashes > 0:
		c.Repeats++
	case call.Crashed:
		if f.crash.firstOfCrash(now, call.Instance) {
			c.Crashes++
		}
	case call.Outcome != mesh.Answered:
		c.Lost++
	default:
		c.Answered++
		if call.Failed {
			c.Failed++
		}
		if !call.Cold {
			c.Latency[bucketOf(call.Latency)]++
		}
	}
}
