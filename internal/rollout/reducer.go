package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// stage is one step of a roll-out.
type stage struct {
	// share is the share of the service's requests that the new version gets.
	share routing.BasisPoints
	// untilFraction is the fraction of the roll-out's duration that must have passed
	// before the stage ends, and minTime the least time that the stage lasts.
	untilFraction float64
	minTime       time.Duration
}

// stages begin with a share below the tolerated exposure of a bad version, which is 10%
// of the requests. The first stage lasts long enough to see a fault that shows some
// seconds after the start. The last but one leaves the old version a share to compare
// with, and the last one lets requests to the old version end before its instances stop.
//
// A version whose fault shows only in the last two stages has received 7% of the
// requests of the whole duration by then, which leaves time to detect the fault.
var stages = [...]stage{
	{600, 0.46, 900 * time.Millisecond}, {2000, 0.55, 900 * time.Millisecond}, {4500, 0.60, 900 * time.Millisecond},
	{7000, 0.67, 700 * time.Millisecond}, {routing.FullShare, 0.70, 400 * time.Millisecond},
}

const (
	// heartbeatInterval is the period at which a driver renews its row.
	heartbeatInterval = 800 * time.Millisecond
	// takeoverTimeout is the time without a change of the row after which another
	// host takes over as the driver.
	takeoverTimeout = 2200 * time.Millisecond
	// rankDelay staggers the hosts that could start or take over a roll-out, so that
	// usually only one of them writes.
	rankDelay = 200 * time.Millisecond
	// rewriteInterval is the time after which a write that has not shown up as a
	// stored row is repeated.
	rewriteInterval = time.Second
	// minCanaryAnswers is the number of answers of the new version that a driver needs
	// to know of to end a stage before relaxAfterFraction.
	minCanaryAnswers = 20
	// relaxAfterFraction is the fraction of the duration after which a roll-out
	// proceeds without the usual minimum of answers and capacity, provided that the
	// gates report.
	relaxAfterFraction = 0.66
	// recentWindow is the interval between two copies of the evidence. The versions
	// are compared over the last one to two of these intervals, provided that the old
	// version has at least minRecentBaselineAnswers there. Both versions fail alike if
	// the old one's failure ratio is at least sharedFaultRatio of the new one's.
	recentWindow             = 500 * time.Millisecond
	minRecentBaselineAnswers = 40
	sharedFaultRatio         = 0.5
	// faultConfirmTime is the time for which a fault has to persist before a
	// roll-back: which version gets the first failures of a disturbance is chance.
	faultConfirmTime = 250 * time.Millisecond
	// endMargin is the time before the deadline at which a roll-out that is late should
	// end. Each change of the stage takes a write and the time until it is seen.
	endMargin = 500 * time.Millisecond
	// capacityFraction is the number of slots that the new version needs before a
	// stage beyond the first, as a fraction of the old version's slots times the
	// stage's share.
	capacityFraction = 0.7
)

// Slots holds the number of slots of the instances that accept requests, by version.
type Slots map[mesh.BackendVersion]int

// serviceRollout is the latest roll-out of one service, as known to this host.
type serviceRollout struct {
	order          Order
	previousOrder  Order             // the order before
	orderSeen      platform.Revision // latest revision of the row of order
	orderedAt      mesh.Time         // time at which this host learned of the order
	row            Row
	stageStartedAt mesh.Time // time at which this host saw the row's stage begin
	rowChangedAt   mesh.Time // time at which this host last saw the row or the order change
	rowWrittenAt   mesh.Time // time of this host's latest write of the row
	// restoreRow is set while the store has an invalid or outdated row, or none, in place
	// of row. The revision of row is then that of the stored one.
	restoreRow bool
	evidence   map[mesh.InstanceID]Evidence
	// reportedAt holds the times of the latest reports in evidence.
	reportedAt map[mesh.InstanceID]mesh.Time
	// drivingSince is the time at which this process became the driver.
	drivingSince mesh.Time
	// atStageStart is the evidence at stageStartedAt.
	atStageStart map[mesh.InstanceID]Evidence
	// lastEvidence is a copy of the evidence as of lastEvidenceAt, at most about one
	// recentWindow ago, and prevEvidence the copy before it.
	prevEvidence, lastEvidence map[mesh.InstanceID]Evidence
	lastEvidenceAt             mesh.Time
	// faultSince is the time since which the evidence shows a fault, zero for none.
	faultSince mesh.Time
}

// Reducer holds the roll-outs of all services at one host. It is not safe for
// concurrent use.
type Reducer struct {
	host     mesh.HostID
	rollouts map[mesh.Service]*serviceRollout
	tickedAt mesh.Time // time of the latest Tick
	era      platform.Era
	eraSince mesh.Time // time at which this process learned of the era
}

// New returns a Reducer without any roll-out.
func New(host mesh.HostID) *Reducer {
	return &Reducer{host: host, rollouts: make(map[mesh.Service]*serviceRollout)}
}

func (r *Reducer) rolloutOf(s mesh.Service) *serviceRollout {
	ro := r.rollouts[s]
	if ro == nil {
		ro = &serviceRollout{evidence: make(map[mesh.InstanceID]Evidence), reportedAt: make(map[mesh.InstanceID]mesh.Time)}
		r.rollouts[s] = ro
	}
	return ro
}

// ApplyOrder applies an operator's order. It reports whether the order is a new one.
func (r *Reducer) ApplyOrder(now mesh.Time, o Order) bool {
	r.enterEra(now, o.Revision.Era())
	ro := r.rolloutOf(o.Service)
	if o.Revision <= max(ro.order.Revision, ro.orderSeen) {
		return false
	}
	repeated := r.repeatsOrder(now, ro, &o) || ro.revivesOrder(&o)
	ro.orderSeen = o.Revision
	if repeated {
		return false
	}
	ro.previousOrder, ro.order, ro.orderedAt = ro.order, o, now
	ro.adoptOrder()
	ro.evidence, ro.reportedAt = make(map[mesh.InstanceID]Evidence), make(map[mesh.InstanceID]mesh.Time)
	ro.rowChangedAt = now
	return true
}

// ApplyRow applies the stored row of a roll-out. It reports whether the row is newer
// than the known one. An invalid row, which another writer has stored, or a row of an
// earlier state changes nothing but the revision that a write has to expect.
func (r *Reducer) ApplyRow(now mesh.Time, row Row) bool {
	r.enterEra(now, row.Revision.Era())
	ro := r.rolloutOf(row.Service)
	if row.Revision <= ro.row.Revision {
		return false
	}
	ro.restoreRow = !row.valid() || r.outdates(now, ro, &row)
	if ro.restoreRow {
		ro.row.Revision, ro.rowChangedAt = row.Revision, now
		return false
	}
	if row.Stage != ro.row.Stage || row.Order != ro.row.Order {
		ro.restartStage(now)
	}
	if row.Driver == r.host && (ro.row.Driver != r.host || row.Order != ro.row.Order) {
		// A takeover, or a row that an earlier process of this host has written.
		ro.drivingSince = now
		ro.restartStage(now)
	}
	ro.row, ro.rowChangedAt = row, now
	ro.adoptOrder()
	return true
}

// Plan states which versions of a service may be used and how requests are split.
type Plan struct {
	// Ordered is set once a roll-out of the service has been ordered.
	Ordered bool
	Target  mesh.BackendVersion
	// Share is the target's share of the requests.
	Share routing.BasisPoints
	// Withdrawn lists versions that were rolled back and must not be used.
	Withdrawn []mesh.BackendVersion
	State     State
}

// Plan returns the current plan of a service. Until the first row of an order is
// known, the target gets no requests.
func (r *Reducer) Plan(s mesh.Service) Plan {
	ro := r.rollouts[s]
	if ro == nil || ro.order.Revision == 0 && ro.row.Order == 0 {
		return Plan{}
	}
	p := Plan{Ordered: true, Target: ro.order.Target, Withdrawn: ro.row.Withdrawn, State: Running}
	if ro.row.Order < ro.order.Revision {
		if ro.row.State == RolledBack {
			p.Withdrawn = append(slices.Clone(p.Withdrawn), ro.row.Target)
		}
		return p
	}
	p.Target, p.State = ro.row.Target, ro.row.State
	switch ro.row.State {
	case Completed:
		p.Share = routing.FullShare
	case Running:
		p.Share = stages[min(ro.row.Stage, len(stages)-1)].share
	}
	return p
}

// EvidenceDriver returns the driver of the service's running roll-out, to which gates
// report their counts, and the revision of its order. ok is false if no roll-out is
// running.
func (r *Reducer) EvidenceDriver(s mesh.Service) (driver mesh.HostID, order platform.Revision, ok bool) {
	ro := r.rollouts[s]
	if ro == nil || ro.order.Revision == 0 || ro.row.Order != ro.order.Revision || ro.row.State.Final() {
		return "", 0, false
	}
	return ro.row.Driver, ro.order.Revision, true
}

// AnyRunning reports whether any roll-out has been ordered and not ended.
func (r *Reducer) AnyRunning() bool {
	for _, ro := range r.rollouts {
		if ro.order.Revision > 0 && (ro.row.Order < ro.order.Revision || !ro.row.State.Final()) {
			return true
		}
	}
	return false
}

// OrderRevision returns the revision of the service's latest order, zero for none.
func (r *Reducer) OrderRevision(s mesh.Service) platform.Revision {
	if ro := r.rollouts[s]; ro != nil {
		return ro.order.Revision
	}
	return 0
}

// Tick advances all roll-outs and appends the rows to be stored to out. rank is the
// index of this host among the live hosts; hosts of higher rank act later.
func (r *Reducer) Tick(now mesh.Time, rank int, slots func(mesh.Service) Slots, out []Write) []Write {
	r.tickedAt = now
	for _, service := range slices.SortedFunc(maps.Keys(r.rollouts), cmp.Compare[mesh.Service]) {
		ro := r.rollouts[service]
		if row, ok := r.nextRow(now, ro, rank, slots(service)); ok {
			ro.rowWrittenAt = now
			out = append(out, Write{Row: row, Expect: max(ro.row.Revision, platform.NewRevision(r.era, 0))})
		}
	}
	return out
}

// nextRow returns the row to be stored now. Its second result is false if there is
// nothing to write.
func (r *Reducer) nextRow(now mesh.Time, ro *serviceRollout, rank int, slots Slots) (Row, bool) {
	if ro.order.Revision == 0 || now.Sub(ro.rowWrittenAt) < rewriteInterval && ro.rowWrittenAt > ro.rowChangedAt {
		return Row{}, false
	}
	delay := time.Duration(rank) * rankDelay
	if ro.row.Order < ro.order.Revision {
		if now.Sub(ro.orderedAt) < delay {
			return Row{}, false
		}
		return r.firstRow(ro), true
	}
	if ro.restoreRow {
		return ro.row, now.Sub(ro.rowChangedAt) >= delay
	}
	if ro.row.Order != ro.order.Revision || ro.row.State.Final() {
		return Row{}, false
	}
	row := ro.row
	row.Beat++
	if ro.row.Driver != r.host {
		row.Driver = r.host
		return row, now.Sub(ro.rowChangedAt) >= takeoverTimeout+delay
	}
	if reason := ro.confirmedFault(now); reason != "" {
		row.State, row.Reason = RolledBack, reason
		return row, true
	}
	evident := ro.hasEvidence(now, slots)
	if evident && ro.faultSince == 0 && ro.stageEnded(now, slots) {
		row.Stage++
		if row.Stage == len(stages) {
			row.Stage, row.State = len(stages)-1, Completed
		}
		return row, true
	}
	// A driver that gets no reports doesn't renew the row, so that another host takes over.
	return row, now.Sub(ro.rowChangedAt) >= heartbeatInterval && (evident || slots[ro.order.Target] == 0)
}

// firstRow returns the first row of the latest order. A version that was rolled back
// stays withdrawn unless it is ordered again.
func (r *Reducer) firstRow(ro *serviceRollout) Row {
	withdrawn := slices.Clone(ro.row.Withdrawn)
	if ro.row.State == RolledBack && !slices.Contains(withdrawn, ro.row.Target) {
		withdrawn = append(withdrawn, ro.row.Target)
	}
	withdrawn = slices.DeleteFunc(withdrawn, func(v mesh.BackendVersion) bool { return v == ro.order.Target })
	return Row{
		Service: ro.order.Service, Target: ro.order.Target, Order: ro.order.Revision,
		State: Running, Driver: r.host, Withdrawn: withdrawn,
	}
}

// confirmedFault returns the reason to roll back once the evidence has shown a fault
// for faultConfirmTime, and an empty string before.
func (ro *serviceRollout) confirmedFault(now mesh.Time) string {
	reason := ro.fault(now)
	switch {
	case reason == "":
		ro.faultSince = 0
	case ro.faultSince == 0:
		ro.faultSince = now
	}
	if reason == "" || now.Sub(ro.faultSince) < faultConfirmTime {
		return ""
	}
	return reason
}

// fault returns the reason to roll back that the evidence shows, or an empty string.
//
// The counts of the whole roll-out are compared first, then those since the current
// stage began: a fault that shows only under load would otherwise be outweighed by
// the good answers of earlier stages. The second comparison needs enough answers of
// the old version in the stage. Failures return faster than good answers, so if a
// service that both versions call fails just after the share has grown, the new
// version's first answers of the stage are mostly failures.
//
// While both versions fail alike, whatever the cause, neither comparison is made, and while
// both are late alike, or the old version has hardly any answers, lateness isn't judged.
// Because the share grows, the new version's counts are from later times than the
// old one's, and a disturbance of both versions would look like a fault of the new
// one.
func (ro *serviceRollout) fault(now mesh.Time) string {
	recent := ro.compareRecent(now)
	if recent.bothFail() {
		return ""
	}
	judge := func(evidence []Evidence) string {
		if reason := RollbackReason(ro.order.Target, evidence); reason != "" || recent.bothLate() {
			return reason
		}
		return latenessReason(ro.order.Target, evidence)
	}
	all := slices.SortedFunc(maps.Values(ro.evidence), func(a, b Evidence) int { return cmp.Compare(a.Instance, b.Instance) })
	if reason := judge(all); reason != "" || ro.row.Stage == 0 {
		return reason
	}
	baselineAnswers := uint32(0)
	for i := range all {
		all[i] = all[i].countsSince(ro.atStageStart[all[i].Instance])
		if all[i].Version != ro.order.Target {
			baselineAnswers += totalAnswers(all[i])
		}
	}
	if baselineAnswers < minBaselineAnswers {
		return ""
	}
	return judge(all)
}

// compareRecent compares the versions over the last one to two times recentWindow. It also
// renews the copies of the evidence that define this time.
func (ro *serviceRollout) compareRecent(now mesh.Time) *comparison {
	if now.Sub(ro.lastEvidenceAt) >= recentWindow {
		ro.prevEvidence, ro.lastEvidence, ro.lastEvidenceAt = ro.lastEvidence, maps.Clone(ro.evidence), now
	}
	recent := make([]Evidence, 0, len(ro.evidence))
	for _, e := range ro.evidence {
		recent = append(recent, e.countsSince(ro.prevEvidence[e.Instance]))
	}
	return compare(ro.order.Target, recent)
}

// bothFail reports whether the old version's failure ratio is close to the new one's.
func (c *comparison) bothFail() bool {
	return c.canary.failures > 0 && c.baseline.answers >= minRecentBaselineAnswers && c.baseline.failureRatio() >= sharedFaultRatio*c.canary.failureRatio()
}

// bothLate reports whether the old version misses the target latency about as often as the new
// one, or has too few answers to tell.
func (c *comparison) bothLate() bool {
	return c.baseline.measured < minRecentBaselineAnswers || c.baseline.lateRatio() >= sharedFaultRatio*c.canary.lateRatio()
}

// stageEnded reports whether the current stage has lasted long enough and the new
// version has the evidence and the capacity for the next stage's share.
func (ro *serviceRollout) stageEnded(now mesh.Time, slots Slots) bool {
	duration := max(ro.order.Duration, time.Second)
	elapsed := float64(now.Sub(ro.orderedAt)) / float64(duration)
	if now.Sub(ro.stageStartedAt) < ro.minStageTime(duration) || elapsed < stages[ro.row.Stage].untilFraction || slots[ro.order.Target] == 0 {
		return false
	}
	if elapsed >= relaxAfterFraction {
		return true
	}
	if ro.canaryAnswers() < minCanaryAnswers {
		return false
	}
	return ro.row.Stage+1 >= len(stages) || ro.hasCapacity(slots, stages[ro.row.Stage+1].share)
}

// minStageTime returns the least time that the current stage lasts. A roll-out that is late,
// for example because of a takeover, shortens the stages that are left to end in time.
func (ro *serviceRollout) minStageTime(duration time.Duration) time.Duration {
	left := ro.orderedAt.Add(duration).Sub(ro.stageStartedAt) - endMargin
	var needed time.Duration
	for _, s := range stages[ro.row.Stage:] {
		needed += s.minTime
	}
	usual := stages[ro.row.Stage].minTime
	if left >= needed {
		return usual
	}
	return max(time.Duration(float64(usual)*float64(left)/float64(needed)), faultConfirmTime)
}

// hasCapacity reports whether the new version has enough slots for a share.
func (ro *serviceRollout) hasCapacity(slots Slots, share routing.BasisPoints) bool {
	old := 0
	for version, n := range slots {
		if version != ro.order.Target {
			old += n
		}
	}
	need := capacityFraction * float64(old) * float64(share) / float64(routing.FullShare)
	return float64(slots[ro.order.Target]) >= need
}
