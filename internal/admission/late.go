package admission

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// latePerSlot bounds the queued calls for each slot that will miss their
	// target. They run when no other call waits, which under lasting overload is
	// never, so they are few and wait for a short time only.
	latePerSlot = 0.5
	// lateWait bounds the time that such a call is held. A caller that is told
	// early can come back while there is time.
	lateWait = 100 * time.Millisecond
)

// hasRoomForLate reports whether another call that will miss its target may
// wait.
func (i *instance) hasRoomForLate() bool {
	if len(i.queue) == 0 && i.hasFreeSlot() {
		return true
	}
	late := 0
	for _, q := range i.queue {
		if q.late {
			late++
		}
	}
	return float64(late) < latePerSlot*float64(i.slots)
}

// demote moves a queued call that can no longer meet its target behind those
// that can.
func (i *instance) demote(rec *call) {
	i.dequeue(rec)
	rec.late = true
	i.queue = slices.Insert(i.queue, i.position(rec), rec)
}

// expired returns the reason to reject a queued call, if any.
func (i *instance) expired(now mesh.Time, rec *call) mesh.Reason {
	if !i.canMeet(now, rec.Call) {
		return mesh.ReasonDeadline
	}
	if rec.Target != 0 && rec.late && now.Sub(rec.arrived) > lateWait && i.onTimeWait() {
		return mesh.ReasonOverload
	}
	return mesh.ReasonNone
}

// onTimeWait reports whether a queued call still meets its target.
func (i *instance) onTimeWait() bool { return len(i.queue) > 0 && !i.queue[0].late }
