package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// evidenceDelay is the time after a takeover before which reports may still have
	// been sent to the previous driver's process. It equals the interval at which gates
	// report while they have new answers.
	evidenceDelay = 300 * time.Millisecond
	// maxEvidenceAge is the age from which a report no longer shows the state of its
	// instance. Gates report at least every 600 ms, so single reports may be lost.
	maxEvidenceAge = 2 * time.Second
	// minReportedSlots is the fraction of the target's slots whose gates must have
	// reported lately.
	minReportedSlots = 0.5
)

// Observe applies the counts that a gate has reported for an instance. Counts only
// grow within an incarnation of the host, so a report with fewer answers than the
// known one is older and ignored.
func (r *Reducer) Observe(e Evidence) {
	ro := r.rollouts[e.Service]
	if ro == nil || e.Order != ro.order.Revision {
		return
	}
	old, ok := ro.evidence[e.Instance]
	if ok && old.Incarnation == e.Incarnation && totalAnswers(e) < totalAnswers(old) {
		return
	}
	e.Routes = slices.Clone(e.Routes) // the caller goes on counting, and the copies of the evidence must not change
	ro.evidence[e.Instance] = e
	ro.reportedAt[e.Instance] = r.tickedAt
}

func totalAnswers(e Evidence) (n uint32) {
	for _, r := range e.Routes {
		n += r.Answers
	}
	return n
}

// restartStage starts the stage of the row over, as a new stage or for a new driver.
func (ro *serviceRollout) restartStage(now mesh.Time) {
	ro.stageStartedAt, ro.atStageStart = now, maps.Clone(ro.evidence)
}

// hasEvidence reports whether the gates of the target's instances report to this host as
// the driver, so that few answers mean little traffic and not lost reports.
func (ro *serviceRollout) hasEvidence(now mesh.Time, slots Slots) bool {
	gates, reported := 0, 0
	for id, e := range ro.evidence {
		at := ro.reportedAt[id]
		if e.Version == ro.order.Target && at >= ro.drivingSince.Add(evidenceDelay) && now.Sub(at) <= maxEvidenceAge {
			gates++
			reported += e.Slots
		}
	}
	// Gates of earlier releases don't state their slots.
	return gates > 0 && (reported == 0 || float64(reported) >= minReportedSlots*float64(slots[ro.order.Target]))
}

func (ro *serviceRollout) canaryAnswers() (n uint32) {
	for _, e := range ro.evidence {
		if e.Version == ro.order.Target {
			n += totalAnswers(e)
		}
	}
	return n
}
