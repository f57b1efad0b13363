package placement

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// expectedWait returns the time in nanoseconds for which a request is expected to wait
// for a slot of an instance.
func (t *Table) expectedWait(now mesh.Time, inst *instance, slowness float64) float64 {
	perRequest := t.meanServiceDuration(now, inst.Service) * slowness / float64(inst.Slots)
	if !inst.hasStartsIn {
		return max(0, inst.load(now)+1-float64(inst.Slots)) * perRequest
	}
	sent := min(inst.sentSince, inst.inFlight) + 1 - inst.freeSlots
	return float64(inst.startsIn)*inst.freshness(now) + max(0, float64(sent))*perRequest
}

// RelativeWork returns the work of a request that took the given time at the chosen
// instance, as a multiple of the mean of its route and corrected for the slowness of the
// instance. It returns zero if either isn't known yet.
func (t *Table) RelativeWork(now mesh.Time, c Choice, d time.Duration) float64 {
	r := t.routes[c.route]
	if c.state == nil || r == nil || r.duration.samples == 0 || c.state.slowness.samples == 0 {
		return 0
	}
	return float64(d) / max(r.duration.value*c.state.slowness.valueAt(now), 1)
}
