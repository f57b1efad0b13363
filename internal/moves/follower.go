package moves

import (
	"math/bits"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// follow is a move as one node sees it.
type follow struct {
	state MoveState
	// stop is set once the new version's fault has shown. It stays set for the
	// rest of the move.
	stop Stop
	// paused is the step at which this node alone stopped using the new version;
	// a later step ends the pause.
	paused        uint64
	pauseReported bool
	routes        []routeWatch
	// judge compares the versions; it is set on top nodes only.
	judge *judge
	drive drive
	// urgent is set when a call to the new version went wrong, so that the
	// evidence is sent with the next tick.
	urgent bool
	crash  crashFilter
}

// stopped reports whether this node must not use the new version.
func (f *follow) stopped() bool { return f.stop.Cause != CauseNone || f.paused == f.state.Step }

// apply replaces the state if the given one is newer. A step never goes back
// and a terminal state is final.
func (f *follow) apply(s *MoveState) bool {
	if f.state.State.Terminal() || s.Step <= f.state.Step {
		return false
	}
	f.state = *s
	f.routes = f.routes[:0]
	return true
}

// version returns the version for a call on a route.
func (f *follow) version(route mesh.Route, draw uint64) mesh.BackendVersion {
	switch f.state.State {
	case Done:
		return f.state.To
	case Withdrawn:
		return f.state.From
	}
	part, _ := bits.Mul64(draw, uint64(FullShare))
	if f.stopped() || Share(part) >= f.state.ShareOf(route) {
		return f.state.From
	}
	return f.state.To
}

// side returns the side of a version, and false for a version outside the move.
func (f *follow) side(v mesh.BackendVersion) (Side, bool) {
	switch v {
	case f.state.To:
		return NewSide, true
	case f.state.From:
		return OldSide, true
	}
	return 0, false
}

const (
	// pauseCalls, pauseFailures and pauseOldCalls are the rule by which a single
	// node stops using the new version: of at most pauseCalls calls on a route,
	// pauseFailures fail, while pauseOldCalls calls to the old version since the
	// first of them all succeed.
	pauseCalls    = 8
	pauseFailures = 4
	pauseOldCalls = 6
	// pauseWindow bounds the age of the first failed call.
	pauseWindow = 10 * time.Second
)

// routeWatch counts calls on a route since a failed call to the new version.
type routeWatch struct {
	route                        mesh.Route
	since                        mesh.Time
	newCalls, newFails, oldCalls uint8
}

// watch returns the counts of a route and adds them if absent.
func (f *follow) watch(route mesh.Route) *routeWatch {
	for i := range f.routes {
		if f.routes[i].route == route {
			return &f.routes[i]
		}
	}
	f.routes = append(f.routes, routeWatch{route: route})
	return &f.routes[len(f.routes)-1]
}

// add counts a call and reports whether the node must pause the new version.
func (w *routeWatch) add(now mesh.Time, side Side, bad bool) bool {
	if w.newFails > 0 && (now.Sub(w.since) > pauseWindow || w.newCalls >= pauseCalls || side == OldSide && bad) {
		*w = routeWatch{route: w.route}
	}
	switch {
	case side == NewSide && (bad || w.newFails > 0):
		if w.newFails == 0 {
			w.since = now
		}
		w.newCalls++
		if bad {
			w.newFails++
		}
	case side == OldSide && w.newFails > 0 && w.oldCalls < pauseOldCalls:
		w.oldCalls++
	}
	return w.newFails >= pauseFailures && w.oldCalls >= pauseOldCalls
}

// crashWindow is the time in which several lost calls of one instance belong to
// the same crash.
const crashWindow = time.Second

// crashFilter counts the calls in flight in one crash once.
type crashFilter struct {
	last [4]instanceCrash
	next uint8
}

// instanceCrash is the latest counted crash of an instance.
type instanceCrash struct {
	instance mesh.InstanceID
	at       mesh.Time
}

// first reports whether a crashed call is the first one of its crash.
func (c *crashFilter) first(now mesh.Time, instance mesh.InstanceID) bool {
	for _, k := range c.last {
		if k.instance == instance && now.Sub(k.at) < crashWindow {
			return false
		}
	}
	c.last[c.next%4] = instanceCrash{instance: instance, at: now}
	c.next++
	return true
}

// count adds a call result to the counts of its side.
func (f *follow) count(now mesh.Time, c *Counts, call *CallResult) {
	switch {
	case call.Crashed && call.Crashes > 0:
		c.Repeats++
	case call.Crashed:
		if f.crash.first(now, call.Instance) {
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
