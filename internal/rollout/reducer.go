package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// stage is one step of a roll-out.
type stage struct {
	// share is the part of the service's requests for the new version.
	share routing.BasisPoints
	// until is the part of the roll-out's duration at which the stage ends, and least
	// the time for which it is observed at least.
	until float64
	least time.Duration
}

// stages begin with a share below the tolerated exposure of a bad version and
// last long enough there to see a fault that shows some seconds after the start.
// The last but one leaves the old version a share to compare with, and the last one
// lets requests to the old version end before its instances stop.
//
// A version whose fault shows only at the last two stages has got 7% of the requests
// of the whole duration by then, which leaves time to see it.
var stages = [...]stage{
	{600, 0.46, 900 * time.Millisecond}, {2000, 0.55, 900 * time.Millisecond}, {4500, 0.60, 900 * time.Millisecond},
	{7000, 0.67, 700 * time.Millisecond}, {routing.FullShare, 0.70, 400 * time.Millisecond},
}

const (
	// beatInterval is the period at which a driver renews its row.
	beatInterval = 800 * time.Millisecond
	// takeoverTime is the silence of a driver after which another host takes over.
	takeoverTime = 2200 * time.Millisecond
	// rankDelay separates the hosts that could start or take over a roll-out.
	rankDelay = 200 * time.Millisecond
	// rewriteTime is the time after which a write without a visible effect is
	// repeated.
	rewriteTime = time.Second
	// minCanaryAnswers is the number of answers of the new version needed to leave
	// the first stage, unless time runs out.
	minCanaryAnswers = 20
	// hurryPart is the part of the duration after which a roll-out goes on with
	// less evidence and capacity than it should have.
	hurryPart = 0.66
	// controlTime is the time over which the versions are compared at the same moment,
	// controlAnswers the number of answers of the old one needed for that, and alikePart
	// the part of the new one's share of failures from which they fail alike.
	controlTime    = 500 * time.Millisecond
	controlAnswers = 40
	alikePart      = 0.5
	// confirmTime is the time for which a fault has to show. The first failures of a
	// disturbance reach the versions by chance.
	confirmTime = 250 * time.Millisecond
	// capacityPart is the part of the old version's slots that the new version
	// needs, relative to its share, before a stage beyond the first.
	capacityPart = 0.7
)

// Slots are the slots of the instances that take requests, by version.
type Slots map[mesh.BackendVersion]int

// move is the latest roll-out of one service.
type move struct {
	order     Order
	orderedAt mesh.Time
	row       Row
	stageAt   mesh.Time // the row's stage began, as seen here
	changedAt mesh.Time // the row changed last, as seen here
	writtenAt mesh.Time // this host wrote the row last
	evidence  map[mesh.InstanceID]Evidence
	// earlier is the evidence at the start of the row's stage, as seen here.
	earlier map[mesh.InstanceID]Evidence
	// before and last are the evidence one to two and up to one controlTime ago.
	before, last map[mesh.InstanceID]Evidence
	lastAt       mesh.Time
	// suspectedAt is the time since which the evidence shows a fault, zero for none.
	suspectedAt mesh.Time
}

// Reducer holds the roll-outs of all services at one host. It is not safe for
// concurrent use.
type Reducer struct {
	host  mesh.HostID
	moves map[mesh.Service]*move
}

// New returns a Reducer that knows no roll-out.
func New(host mesh.HostID) *Reducer {
	return &Reducer{host: host, moves: make(map[mesh.Service]*move)}
}

func (r *Reducer) move(s mesh.Service) *move {
	m := r.moves[s]
	if m == nil {
		m = &move{evidence: make(map[mesh.InstanceID]Evidence)}
		r.moves[s] = m
	}
	return m
}

// ApplyOrder takes in an operator's order. It reports whether it is new.
func (r *Reducer) ApplyOrder(now mesh.Time, o Order) bool {
	m := r.move(o.Service)
	if o.Revision <= m.order.Revision {
		return false
	}
	m.order, m.orderedAt = o, now
	m.evidence = make(map[mesh.InstanceID]Evidence)
	m.changedAt = now
	return true
}

// ApplyRow takes in the stored row of a roll-out. It reports whether it is newer
// than the one that was known.
func (r *Reducer) ApplyRow(now mesh.Time, row Row) bool {
	m := r.move(row.Service)
	if row.Revision <= m.row.Revision {
		return false
	}
	if row.Stage != m.row.Stage || row.Order != m.row.Order {
		m.stageAt, m.earlier = now, maps.Clone(m.evidence)
	}
	m.row, m.changedAt = row, now
	return true
}

// Observe takes in the counts of a gate. Counts only grow, so the larger ones of
// an instance are the later ones.
func (r *Reducer) Observe(e Evidence) {
	m := r.moves[e.Service]
	if m == nil || e.Order != m.order.Revision {
		return
	}
	old, ok := m.evidence[e.Instance]
	if ok && old.Incarnation == e.Incarnation && answers(e) < answers(old) {
		return
	}
	e.Routes = slices.Clone(e.Routes) // earlier states are compared with later ones
	m.evidence[e.Instance] = e
}

func answers(e Evidence) (n uint32) {
	for _, r := range e.Routes {
		n += r.Answers
	}
	return n
}

// Plan tells which versions of a service may be used.
type Plan struct {
	// Ordered is set once a roll-out of the service was ordered.
	Ordered bool
	Target  mesh.BackendVersion
	// Share is the part of the requests for the target.
	Share routing.BasisPoints
	// Withdrawn lists versions that must not be used.
	Withdrawn []mesh.BackendVersion
	State     State
}

// Plan returns the present plan of a service. Until the row of an order is
// known the target gets nothing.
func (r *Reducer) Plan(s mesh.Service) Plan {
	m := r.moves[s]
	if m == nil || m.order.Revision == 0 && m.row.Order == 0 {
		return Plan{}
	}
	p := Plan{Ordered: true, Target: m.order.Target, Withdrawn: m.row.Withdrawn, State: Running}
	if m.row.Order < m.order.Revision {
		if m.row.State == RolledBack {
			p.Withdrawn = append(slices.Clone(p.Withdrawn), m.row.Target)
		}
		return p
	}
	p.Target, p.State = m.row.Target, m.row.State
	switch m.row.State {
	case Completed:
		p.Share = routing.FullShare
	case Running:
		p.Share = stages[min(m.row.Stage, len(stages)-1)].share
	}
	return p
}

// EvidenceDriver returns the driver and the order of a running roll-out of the
// service, to which gates report.
func (r *Reducer) EvidenceDriver(s mesh.Service) (driver mesh.HostID, order uint64, ok bool) {
	m := r.moves[s]
	if m == nil || m.order.Revision == 0 || m.row.Order != m.order.Revision || m.row.State.Final() {
		return "", 0, false
	}
	return m.row.Driver, m.order.Revision, true
}

// AnyRunning reports whether any roll-out has begun and not ended.
func (r *Reducer) AnyRunning() bool {
	for _, m := range r.moves {
		if m.order.Revision > 0 && (m.row.Order < m.order.Revision || !m.row.State.Final()) {
			return true
		}
	}
	return false
}

// OrderRevision returns the revision of the service's latest order, zero for none.
func (r *Reducer) OrderRevision(s mesh.Service) uint64 {
	if m := r.moves[s]; m != nil {
		return m.order.Revision
	}
	return 0
}

// Tick advances all roll-outs and appends the rows to store. rank is the place
// of this host among the live ones.
func (r *Reducer) Tick(now mesh.Time, rank int, slots func(mesh.Service) Slots, out []Write) []Write {
	for _, service := range slices.SortedFunc(maps.Keys(r.moves), cmp.Compare[mesh.Service]) {
		m := r.moves[service]
		if row, ok := r.next(now, m, rank, slots(service)); ok {
			m.writtenAt = now
			out = append(out, Write{Row: row, Expect: m.row.Revision})
		}
	}
	return out
}

// next returns the row to store now, if any.
func (r *Reducer) next(now mesh.Time, m *move, rank int, slots Slots) (Row, bool) {
	if m.order.Revision == 0 || now.Sub(m.writtenAt) < rewriteTime && m.writtenAt > m.changedAt {
		return Row{}, false
	}
	delay := time.Duration(rank) * rankDelay
	if m.row.Order < m.order.Revision {
		if now.Sub(m.orderedAt) < delay {
			return Row{}, false
		}
		return r.begin(m), true
	}
	if m.row.Order != m.order.Revision || m.row.State.Final() {
		return Row{}, false
	}
	row := m.row
	row.Beat++
	if m.row.Driver != r.host {
		row.Driver = r.host
		return row, now.Sub(m.changedAt) >= takeoverTime+delay
	}
	if reason := m.confirmed(now); reason != "" {
		row.State, row.Reason = RolledBack, reason
		return row, true
	}
	if m.stageEnded(now, slots) {
		row.Stage++
		if row.Stage == len(stages) {
			row.Stage, row.State = len(stages)-1, Completed
		}
		return row, true
	}
	return row, now.Sub(m.changedAt) >= beatInterval
}

// begin returns the first row of the present order. A version that was taken
// back stays withdrawn unless it is ordered again.
func (r *Reducer) begin(m *move) Row {
	withdrawn := slices.Clone(m.row.Withdrawn)
	if m.row.State == RolledBack && !slices.Contains(withdrawn, m.row.Target) {
		withdrawn = append(withdrawn, m.row.Target)
	}
	withdrawn = slices.DeleteFunc(withdrawn, func(v mesh.BackendVersion) bool { return v == m.order.Target })
	return Row{
		Service: m.order.Service, Target: m.order.Target, Order: m.order.Revision,
		State: Running, Driver: r.host, Withdrawn: withdrawn,
	}
}

// confirmed returns the reason to take the new version back once the evidence has
// shown a fault for some time.
func (m *move) confirmed(now mesh.Time) string {
	reason := m.fault(now)
	switch {
	case reason == "":
		m.suspectedAt = 0
	case m.suspectedAt == 0:
		m.suspectedAt = now
	}
	if reason == "" || now.Sub(m.suspectedAt) < confirmTime {
		return ""
	}
	return reason
}

// fault returns the reason to take the new version back, or an empty text. The
// present stage is judged by itself too: a fault that shows under load would
// otherwise be outweighed by the good answers of earlier stages. It needs enough
// answers of the old version since the stage began: failures are faster than good
// answers, so that the first answers of a share that has just grown look bad while
// both versions suffer from a third party.
//
// A fault of the version shows beside the old one: while both fail alike, whatever
// the cause is, neither judgement holds, since the counts of the whole roll-out and of
// a share that has grown compare different times.
func (m *move) fault(now mesh.Time) string {
	if m.failAlike(now) {
		return ""
	}
	all := slices.SortedFunc(maps.Values(m.evidence), func(a, b Evidence) int { return cmp.Compare(a.Instance, b.Instance) })
	if reason := Judge(m.order.Target, all); reason != "" || m.row.Stage == 0 {
		return reason
	}
	beside := uint32(0)
	for i := range all {
		all[i] = all[i].since(m.earlier[all[i].Instance])
		if all[i].Version != m.order.Target {
			beside += answers(all[i])
		}
	}
	if beside < comparableAnswers {
		return ""
	}
	return Judge(m.order.Target, all)
}

// failAlike reports whether the old version has lately failed nearly as often as the
// new one.
func (m *move) failAlike(now mesh.Time) bool {
	if now.Sub(m.lastAt) >= controlTime {
		m.before, m.last, m.lastAt = m.last, maps.Clone(m.evidence), now
	}
	recent := make([]Evidence, 0, len(m.evidence))
	for _, e := range m.evidence {
		recent = append(recent, e.since(m.before[e.Instance]))
	}
	c := compare(m.order.Target, recent)
	return c.next.failures > 0 && c.old.answers >= controlAnswers && c.old.failedShare() >= alikePart*c.next.failedShare()
}

// stageEnded reports whether the present stage has lasted its time and the new
// version can carry the next share.
func (m *move) stageEnded(now mesh.Time, slots Slots) bool {
	elapsed := float64(now.Sub(m.orderedAt)) / float64(max(m.order.Duration, time.Second))
	if now.Sub(m.stageAt) < stages[m.row.Stage].least || elapsed < stages[m.row.Stage].until || slots[m.order.Target] == 0 {
		return false
	}
	if elapsed >= hurryPart {
		return true
	}
	if m.row.Stage == 0 && m.targetAnswers() < minCanaryAnswers {
		return false
	}
	return m.row.Stage+1 >= len(stages) || m.capacity(slots, stages[m.row.Stage+1].share)
}

func (m *move) targetAnswers() (n uint32) {
	for _, e := range m.evidence {
		if e.Version == m.order.Target {
			n += answers(e)
		}
	}
	return n
}

// capacity reports whether the new version has slots for a share.
func (m *move) capacity(slots Slots, share routing.BasisPoints) bool {
	old := 0
	for version, n := range slots {
		if version != m.order.Target {
			old += n
		}
	}
	need := capacityPart * float64(old) * float64(share) / float64(routing.FullShare)
	return float64(slots[m.order.Target]) >= need
}
