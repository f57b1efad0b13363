package movesim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// faultlessScenario returns a scenario without fault and disturbance at the given
// rate in calls per second.
func faultlessScenario(rate float64) Scenario {
	s := NewScenario(1, 0)
	s.Fault, s.Disturbance, s.FaultRoute = FaultNone, DisturbanceNone, -1
	s.CallRate, s.Duration = rate, 8*time.Minute
	return s
}

// moveFixture is a cluster with a running move and calls at a constant rate,
// without fault and disturbance.
type moveFixture struct {
	cluster *Cluster
	policy  *reducers
	run     *run
}

// newMoveFixture starts a move at the given rate in calls per second.
func newMoveFixture(rate float64) *moveFixture {
	s := faultlessScenario(rate)
	policy := newReducers(&s)
	r := &run{scenario: &s, policy: policy, rng: policy.cluster.rng, domains: len(s.Deployment.Domains), nodes: len(policy.cluster.Nodes), oracle: newOracle(&s)}
	r.backends = backends{scenario: &s, rng: policy.cluster.rng, moveStart: policy.now(), restarted: policy.now()}
	return &moveFixture{cluster: policy.cluster, policy: policy, run: r}
}

// advance runs the cluster for a time or until the condition holds, and reports
// whether the condition held.
func (f *moveFixture) advance(d time.Duration, condition func() bool) bool {
	for end := f.cluster.Now.Add(d); f.cluster.Now < end; {
		f.run.sendArrivals()
		f.cluster.Advance()
		f.run.finishCalls()
		if condition != nil && condition() {
			return true
		}
	}
	return false
}

// driver returns the node that holds the lease of the move, or nil.
func (f *moveFixture) driver() *Node { return f.cluster.Driver(moveID) }

// shareOn returns the share in the move state that a node has applied.
func shareOn(n *Node) moves.Share {
	s, _ := n.Reducer.State(moveID)
	return s.Share
}

// writesMove reports whether a request writes the move row.
func writesMove(req *platform.Request) bool {
	for _, p := range req.Txn.Puts {
		if p.Key == "moves/"+string(moveID) {
			return true
		}
	}
	return false
}

// Guards against a paused driver whose delayed write takes effect although
// another node has taken the lease. The move row is unchanged, so only the check
// of the lease row in the same transaction rejects the write.
func TestDelayedWriteOfPausedDriverIsRefused(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture(50)
	is.True(f.advance(10*time.Second, func() bool { return f.driver() != nil }))
	paused := f.driver()
	var delayed *platform.Request
	for end := f.cluster.Now.Add(2 * time.Minute); delayed == nil && f.cluster.Now < end; {
		f.run.sendArrivals()
		f.cluster.Advance()
		f.run.finishCalls()
		paused.Reducer.Tick(f.cluster.Now, f.cluster.Effects())
		for i := range f.cluster.effects.Platform {
			if req := f.cluster.effects.Platform[i]; writesMove(&req) {
				delayed = &req
			}
		}
		if delayed != nil {
			f.cluster.effects.Platform = nil
		}
		f.cluster.Execute(paused)
	}
	is.True(delayed != nil)
	paused.Paused = true
	before, _ := f.cluster.Table.Row("moves/" + string(moveID))
	is.True(f.advance(10*time.Second, func() bool { n := f.driver(); return n != nil && n != paused }))
	after, _ := f.cluster.Table.Row("moves/" + string(moveID))
	is.Equal(before.Revision, after.Revision) // the new driver has not written the move row yet
	is.Equal(f.cluster.Table.Do(delayed).Status, platform.Conflict)
}

// Guards against a resumed driver that keeps driving after another node has taken
// the lease, and against a fencing token that decreases.
func TestResumedDriverLosesLease(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture(50)
	f.advance(30*time.Second, nil)
	paused := f.driver()
	is.True(paused != nil)
	paused.Paused = true
	fence := f.policy.state().Fence
	is.True(f.advance(10*time.Second, func() bool { n := f.driver(); return n != nil && n != paused }))
	paused.Resume()
	f.advance(2*time.Second, nil)
	is.True(!paused.Reducer.Drives(moveID))
	is.True(f.advance(8*time.Minute, func() bool {
		now := f.policy.state().Fence
		is.True(now >= fence)
		fence = now
		return f.policy.state().State == moves.Done
	}))
	is.True(fence >= 2)
}

// Guards against raising the share in a domain that is partitioned from the driver,
// or in the driver's domain while it cannot reach the platform.
func TestShareIsNotRaisedWhilePartitioned(t *testing.T) {
	is := is.New(t)
	for _, withDriver := range []bool{false, true} {
		f := newMoveFixture(100)
		f.advance(60*time.Second, nil)
		driver := f.driver()
		f.cluster.IsolatedDomain = driver.Domain
		if !withDriver {
			f.cluster.IsolatedDomain = (driver.Domain + 1) % len(f.cluster.domains)
		}
		f.advance(100*time.Millisecond, nil) // messages in flight arrive
		shareBefore := map[mesh.HostID]moves.Share{}
		for _, n := range f.cluster.Nodes {
			shareBefore[n.Host] = shareOn(n)
		}
		f.advance(7*time.Minute, func() bool {
			for _, n := range f.cluster.Nodes {
				if n.Domain == f.cluster.IsolatedDomain {
					is.True(shareOn(n) <= shareBefore[n.Host]) // share raised while partitioned
				}
			}
			return false
		})
		is.Equal(f.policy.state().State, moves.Done) // the other domains completed the move
		f.cluster.IsolatedDomain = -1
		f.advance(3*time.Second, nil)
		for _, n := range f.cluster.Nodes {
			is.Equal(shareOn(n), moves.FullShare)
		}
	}
}

// Guards against a partitioned domain that keeps using a faulty version because
// it cannot reach the driver.
func TestPartitionedDomainStopsFaultyVersion(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture(300)
	f.advance(60*time.Second, nil)
	f.cluster.IsolatedDomain = (f.driver().Domain + 1) % len(f.cluster.domains)
	f.cluster.Table.Unavailable = true // the other domains cannot write the withdrawal either
	f.run.scenario.Fault, f.run.scenario.Severity = FaultFail, 1
	f.advance(time.Minute, nil)
	for _, n := range f.cluster.Nodes {
		for draw := range uint64(64) {
			got := n.Reducer.Choose(f.policy.service, "route-0", draw<<58)
			is.Equal(got.Version, oldVersion)
		}
	}
	is.Equal(f.policy.state().State, moves.Running) // stopped without the platform
}

// Guards against a move that makes no progress when the response to every write
// is lost after the write took effect.
func TestLostResponsesAreResolvedByReadingRows(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture(50)
	f.advance(time.Second, nil)
	f.cluster.Table.LoseResponses = true
	is.True(f.advance(8*time.Minute, func() bool { return f.policy.state().State == moves.Done }))
}

// Guards against withdrawing a good version because both versions become slow or
// fail at the same time, at any stage of the move.
func TestSharedDisturbanceWithdrawsNothing(t *testing.T) {
	is := is.New(t)
	for _, disturbance := range []Disturbance{DisturbanceSharedSlow, DisturbanceSharedFail} {
		for i := range 12 {
			s := faultlessScenario(60)
			s.Seed += uint64(i)
			s.Disturbance, s.DisturbanceLength = disturbance, 30*time.Second
			s.DisturbanceStart = time.Duration(i+1) * s.Duration / 14
			s.DisturbanceSeverity = 4
			if disturbance == DisturbanceSharedFail {
				s.DisturbanceSeverity = 0.4
			}
			got := Run(s)
			is.Equal(got.State, moves.Done)
		}
	}
}

// Guards against a schedule that completes a move without holding a share that is
// high enough to reveal a fault under load.
func TestFaultUnderLoadIsFound(t *testing.T) {
	is := is.New(t)
	for _, fault := range []Fault{FaultFailLoad, FaultSlowLoad} {
		for _, threshold := range []float64{0.2, 0.5, 0.8} {
			s := faultlessScenario(60)
			s.Fault, s.Severity, s.LoadThreshold = fault, 0.3, threshold
			if fault == FaultSlowLoad {
				s.Severity = 4
			}
			got := Run(s)
			is.Equal(got.State, moves.Withdrawn)
		}
	}
}

// Guards against missing a fault on a rarely called route because the calls of the
// other routes outnumber its calls. The route must get a larger share, so that
// enough of its calls reach the new version.
func TestFaultOnRareRouteIsFound(t *testing.T) {
	is := is.New(t)
	s := faultlessScenario(100)
	s.Fault, s.Severity, s.FaultRoute = FaultFailRoute, 0.6, len(s.Routes)-1
	got := Run(s)
	is.Equal(got.State, moves.Withdrawn)
	is.Equal(got.CauseRoute, s.Routes[s.FaultRoute].Name)
	is.True(got.Duration < s.Duration/2) // found at the small share of the canary level
}

// Guards against withdrawing a good version because of requests that crash either
// version, or because of the cold start of its instances.
func TestPoisonRequestAndColdStartWithdrawNothing(t *testing.T) {
	is := is.New(t)
	for _, disturbance := range []Disturbance{DisturbancePoison, DisturbanceColdStart} {
		for i := range 6 {
			s := faultlessScenario(60)
			s.Seed += uint64(i)
			s.Disturbance, s.DisturbanceLength = disturbance, 10*time.Second
			s.DisturbanceStart = time.Duration(i+1) * s.Duration / 8
			is.Equal(Run(s).State, moves.Done)
		}
	}
}

// Guards against a move without calls that completes, or is withdrawn without a
// cause and an early report.
func TestMoveWithoutCallsIsReportedEarly(t *testing.T) {
	is := is.New(t)
	s := faultlessScenario(0.001)
	got := Run(s)
	is.Equal(got.State, moves.Withdrawn)
	is.Equal(got.Cause, moves.CauseNoEvidence)
	is.True(got.ReportedEarly)
}

// listMoves is the number of moves in the list that the tests run.
const listMoves = 24

// Guards against missing the targets for the share of good versions completed, of
// bad versions withdrawn and of calls sent to bad versions.
func TestMoveListMeetsTargets(t *testing.T) {
	is := is.New(t)
	s := Summarise(RunList(5, listMoves, Run))
	is.True(s.GoodDoneShare >= 0.99)
	is.True(s.BadWithdrawnShare >= 0.995)
	is.Equal(s.AtOnceMissed, 0)
	is.True(s.BadCallShare < 0.01)
	is.True(s.FalseWithdrawalShare < 0.01)
}

// Guards against calls to a bad version more than 2 s after its fault is
// detectable for the ideal observer.
func TestListStopsWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	s := Summarise(RunList(5, listMoves, Run))
	is.Equal(s.LateMoves, 0)
}
