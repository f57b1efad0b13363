package movesim

import (
	"encoding/json"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
)

// reducers is the policy under test: the reducers of internal/moves on a cluster of
// nodes.
type reducers struct {
	cluster      *Cluster
	scenario     *Scenario
	service      mesh.Service
	pausedDriver *Node
	lastState    moves.MoveState // decoded move row of revision lastRevision
	lastRevision uint64
}

// newReducers starts the scenario's move on a cluster.
func newReducers(s *Scenario) *reducers {
	c := NewCluster(s.Deployment.Domains, hosts(&s.Deployment), s.Seed)
	p := &reducers{cluster: c, scenario: s, service: s.Service.Name}
	c.StartMove(moves.StartRequest{
		ID: 1, Move: moveID, Service: p.service, From: oldVersion, To: newVersion, Deadline: c.Now.Add(s.Duration),
		KeepOld: time.Minute,
	})
	return p
}

func (p *reducers) usesNew(node int, route mesh.Route, draw uint64) bool {
	return p.cluster.Nodes[node].Reducer.Choose(p.service, route, draw).Version == newVersion
}

func (p *reducers) record(node int, call *moves.CallResult) {
	n := p.cluster.Nodes[node]
	if n.serves() {
		n.Reducer.Record(p.cluster.Now, call)
		return
	}
	result := *call
	n.deliver(func() { n.Reducer.Record(p.cluster.Now, &result) })
}

func (p *reducers) advance() { p.cluster.Advance() }

func (p *reducers) now() mesh.Time { return p.cluster.Now }

func (p *reducers) serves(node int) bool { return p.cluster.Nodes[node].serves() }

func (p *reducers) isolatedDomain() int { return p.cluster.IsolatedDomain }

func (p *reducers) state() moves.MoveState {
	row, ok := p.cluster.Table.Row("moves/" + string(moveID))
	if ok && uint64(row.Revision) != p.lastRevision {
		p.lastRevision = uint64(row.Revision)
		p.lastState = moves.MoveState{}
		if err := json.Unmarshal(row.Value, &p.lastState); err != nil {
			panic(err)
		}
	}
	return p.lastState
}

func (p *reducers) beginDisturbance(d Disturbance) {
	switch d {
	case DisturbancePartition:
		p.cluster.IsolatedDomain = int(p.scenario.Seed % uint64(len(p.scenario.Deployment.Domains)))
	case DisturbanceDriverPause:
		if p.pausedDriver = p.cluster.Driver(moveID); p.pausedDriver != nil {
			p.pausedDriver.Paused = true
		}
	case DisturbanceDriverDeath:
		if n := p.cluster.Driver(moveID); n != nil {
			p.cluster.Kill(n)
		}
	case DisturbanceOutage:
		p.cluster.Table.LoseResponses = true
		p.cluster.After(20, func() { p.cluster.Table.Unavailable = true })
	}
}

func (p *reducers) endDisturbance(d Disturbance) {
	switch d {
	case DisturbancePartition:
		p.cluster.IsolatedDomain = -1
	case DisturbanceDriverPause:
		if p.pausedDriver != nil {
			p.pausedDriver.Resume()
		}
	case DisturbanceOutage:
		p.cluster.Table.LoseResponses, p.cluster.Table.Unavailable = false, false
	}
}

// leaseHolder returns the holder in the value of a lease row, empty if malformed.
func leaseHolder(value []byte) mesh.HostID {
	var l moves.Lease
	if err := json.Unmarshal(value, &l); err != nil {
		return ""
	}
	return l.Holder
}

// Parameters of the baseline policy.
const (
	baselineMaxFailureShare = 0.02 // share of failed calls above which it withdraws
	baselineMaxSlowdown     = 2.0  // ratio of mean latencies, new to old version, above which it withdraws
	baselineMinCalls        = 200  // smallest number of calls to the new version in a window
	baselineWindow          = 10 * time.Second
	baselineReferenceShare  = 0.05 // fraction of the move in which the old version's latency is measured
)

// baselineShares are the shares that the baseline policy sets one after the other,
// for equal times.
var baselineShares = [...]moves.Share{100, 500, 2500, 5000, moves.FullShare}

// baseline is a policy with fixed steps that withdraws the new version at a fixed
// share of failed calls or a fixed slowdown. It models a single process that does
// not fail and sees the end of every call at once, so partitions, pauses and
// deaths of nodes and platform outages do not affect it.
type baseline struct {
	scenario             *Scenario
	currentTime, started mesh.Time
	moveState            moves.MoveState
	windowStart          mesh.Time
	calls, failed        float64 // calls to the new version in the window
	latencySum           float64 // seconds, of these calls
	oldCalls             float64 // calls to the old version in the reference period
	oldLatencySum        float64
}

// newBaseline starts the scenario's move.
func newBaseline(s *Scenario) *baseline {
	now := mesh.Time(time.Hour)
	return &baseline{scenario: s, currentTime: now, started: now, windowStart: now, moveState: moves.MoveState{State: moves.Running}}
}

func (b *baseline) usesNew(_ int, _ mesh.Route, draw uint64) bool {
	return draw%uint64(moves.FullShare) < uint64(b.moveState.Share)
}

func (b *baseline) record(_ int, call *moves.CallResult) {
	if call.Version == oldVersion {
		if b.currentTime < b.started.Add(b.referencePeriod()) {
			b.oldCalls++
			b.oldLatencySum += call.Latency.Seconds()
		}
		return
	}
	b.calls++
	b.latencySum += call.Latency.Seconds()
	if call.Failed || call.Outcome != mesh.Answered {
		b.failed++
	}
}

// referencePeriod returns the time from the start in which the old version's
// latency is measured.
func (b *baseline) referencePeriod() time.Duration {
	return time.Duration(baselineReferenceShare * float64(b.scenario.Duration))
}

func (b *baseline) advance() {
	b.currentTime = b.currentTime.Add(TimeSlice)
	if b.moveState.State.Terminal() {
		return
	}
	if b.calls >= baselineMinCalls && b.faulty() {
		b.moveState.State, b.moveState.Share = moves.Withdrawn, 0
		return
	}
	if b.currentTime.Sub(b.windowStart) >= baselineWindow && b.calls >= baselineMinCalls {
		b.windowStart, b.calls, b.failed, b.latencySum = b.currentTime, 0, 0, 0
	}
	b.setShare()
}

// faulty reports whether the new version exceeds a threshold.
func (b *baseline) faulty() bool {
	if b.failed/b.calls > baselineMaxFailureShare {
		return true
	}
	return b.oldCalls > 0 && b.latencySum/b.calls > baselineMaxSlowdown*b.oldLatencySum/b.oldCalls
}

// setShare sets the share according to the elapsed time.
func (b *baseline) setShare() {
	elapsed := b.currentTime.Sub(b.started) - b.referencePeriod()
	if elapsed < 0 {
		return
	}
	stepDuration := time.Duration(0.85 * float64(b.scenario.Duration) / float64(len(baselineShares)))
	i := int(elapsed / stepDuration)
	if i >= len(baselineShares) {
		b.moveState.State, b.moveState.Share = moves.Done, moves.FullShare
		return
	}
	b.moveState.Share = baselineShares[i]
}

func (b *baseline) now() mesh.Time               { return b.currentTime }
func (b *baseline) serves(int) bool              { return true }
func (b *baseline) state() moves.MoveState       { return b.moveState }
func (b *baseline) beginDisturbance(Disturbance) {}
func (b *baseline) endDisturbance(Disturbance)   {}
func (b *baseline) isolatedDomain() int          { return -1 }
