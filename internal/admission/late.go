package admission

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// maxLatePerSlot bounds the queued late calls, those expected to miss their
	// target, per slot. They run only when no other call is queued, which under
	// sustained overload never happens, so only few are queued and only briefly.
	maxLatePerSlot = 0.5
	// maxLateWait bounds the time that a late call is queued behind calls that can
	// meet their target. A caller that is rejected early still has time to retry.
	maxLateWait = 100 * time.Millisecond
)

// hasRoomForLate reports whether another late call may run or be queued.
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
	return float64(late) < maxLatePerSlot*float64(i.slots)
}

// demote marks a queued call that can no longer meet its target as late and moves
// it behind the calls that can.
func (i *instance) demote(rec *call) {
	i.dequeue(rec)
	rec.late = true
	i.queue = slices.Insert(i.queue, i.position(rec), rec)
}

// expiryReason returns the reason to reject a queued call or ReasonNone.
func (i *instance) expiryReason(now mesh.Time, rec *call) mesh.Reason {
	if !i.canMeetDeadline(now, rec.Call) {
		return mesh.ReasonDeadline
	}
	if rec.Target != 0 && rec.late && now.Sub(rec.arrived) > maxLateWait && i.hasOnTimeQueued() {
		return mesh.ReasonOverload
	}
	return mesh.ReasonNone
}

// hasOnTimeQueued reports whether a call that is not late is queued.
func (i *instance) hasOnTimeQueued() bool { return len(i.queue) > 0 && !i.queue[0].late }
