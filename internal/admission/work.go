package admission

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// minRemainingShare is the least expected remaining time of a running call, as a share
// of its expected service time. A call that has exceeded its prediction is still
// expected to need time.
const minRemainingShare = 0.3

// RelativeWork returns the work of a call that took the given time at an instance, as a
// multiple of the mean of its route there. It returns zero if no mean is known.
func (g *Gate) RelativeWork(id mesh.InstanceID, route mesh.Route, d time.Duration) float64 {
	inst := g.instances[id]
	if inst == nil || inst.serviceTimeByRoute[route] <= 0 {
		return 0
	}
	return float64(d) / float64(inst.serviceTimeByRoute[route])
}

// StartsIn returns the expected time until a call can start that arrives at an instance
// now and is queued behind all others. It is zero for an unknown instance.
func (g *Gate) StartsIn(now mesh.Time, id mesh.InstanceID) time.Duration {
	if inst := g.instances[id]; inst != nil {
		return inst.startDelay(now, inst.queue)
	}
	return 0
}

// Backlog returns the expected remaining time of all running and queued calls of an
// instance, divided by its slots.
func (g *Gate) Backlog(now mesh.Time, id mesh.InstanceID) time.Duration {
	inst := g.instances[id]
	if inst == nil {
		return 0
	}
	total := time.Duration(0)
	for _, rec := range inst.running {
		total += inst.remaining(now, rec)
	}
	for _, rec := range inst.queue {
		total += inst.expectedServiceTime(rec.Call)
	}
	return total / time.Duration(inst.slots)
}

// recordRelativeDeviation adds the difference between a service time and its prediction
// to the moving average.
func (i *instance) recordRelativeDeviation(c Call, d time.Duration) {
	expected := i.expectedServiceTime(c)
	if expected <= 0 {
		return
	}
	difference := float64(max(d-expected, expected-d)) / float64(expected)
	i.relativeDeviation += (difference - i.relativeDeviation) * serviceTimeWeight
}

// deviationOf returns the expected deviation of a call's service time from its
// expectation.
func (i *instance) deviationOf(c Call) time.Duration {
	if c.Work == 0 {
		return i.deviation
	}
	return time.Duration(i.relativeDeviation * float64(i.expectedServiceTime(c)))
}

// remaining returns the expected time until a running call ends.
func (i *instance) remaining(now mesh.Time, rec *call) time.Duration {
	expected := i.expectedServiceTime(rec.Call)
	return max(expected-now.Sub(rec.started), time.Duration(minRemainingShare*float64(expected)))
}

// startDelay returns the expected time until a call can start that is queued behind the
// given calls.
func (i *instance) startDelay(now mesh.Time, ahead []*call) time.Duration {
	var buffer [32]time.Duration // keeps the usual number of slots off the heap
	ends := buffer[:0]
	for _, rec := range i.running {
		ends = append(ends, i.remaining(now, rec))
	}
	for len(ends) < i.slots {
		ends = append(ends, 0)
	}
	for _, rec := range ahead {
		first := slices.Index(ends, slices.Min(ends))
		ends[first] += i.expectedServiceTime(rec.Call)
	}
	return slices.Min(ends)
}
