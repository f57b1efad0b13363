package movesim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// scenario returns a move without faults at the given rate in calls per second.
func scenario(rate float64) Scenario {
	s := NewScenario(1, 0)
	s.Fault, s.Trouble, s.FaultRoute = FaultNone, TroubleNone, -1
	s.Rate, s.Duration = rate, 8*time.Minute
	return s
}

// rig is a cluster with a running move and steady calls without faults.
type rig struct {
	c     *Cluster
	p     *reducers
	calls *run
}

// newRig starts a move.
func newRig(rate float64) *rig {
	s := scenario(rate)
	p := newReducers(&s)
	r := &run{s: &s, p: p, rng: p.c.rng, domains: len(s.Deployment.Domains), nodes: len(p.c.Nodes), oracle: newOracle(&s)}
	r.backends = backends{s: &s, rng: p.c.rng, began: p.now(), restarted: p.now()}
	return &rig{c: p.c, p: p, calls: r}
}

// advance runs the cluster for a time or until the condition holds, and reports
// whether it held.
func (r *rig) advance(d time.Duration, until func() bool) bool {
	for end := r.c.Now.Add(d); r.c.Now < end; {
		r.calls.arrivals()
		r.c.Advance()
		r.calls.finishCalls()
		if until != nil && until() {
			return true
		}
	}
	return false
}

// driver returns the node that holds the lease.
func (r *rig) driver() *Node { return r.c.Driver(moveID) }

// share returns the move's share as a node knows it.
func share(n *Node) moves.Share {
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
// another node has taken the lease: only the check of the lease row in the same
// transaction refuses it, because the move row is unchanged.
func TestDelayedWriteOfPausedDriverIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(50)
	is.True(r.advance(10*time.Second, func() bool { return r.driver() != nil }))
	paused := r.driver()
	var delayed *platform.Request
	for end := r.c.Now.Add(2 * time.Minute); delayed == nil && r.c.Now < end; {
		r.calls.arrivals()
		r.c.Advance()
		r.calls.finishCalls()
		paused.Reducer.Tick(r.c.Now, r.c.Effects())
		for i := range r.c.effects.Platform {
			if req := r.c.effects.Platform[i]; writesMove(&req) {
				delayed = &req
			}
		}
		if delayed != nil {
			r.c.effects.Platform = nil
		}
		r.c.Execute(paused)
	}
	is.True(delayed != nil)
	paused.Paused = true
	before, _ := r.c.Table.Row("moves/" + string(moveID))
	is.True(r.advance(10*time.Second, func() bool { n := r.driver(); return n != nil && n != paused }))
	after, _ := r.c.Table.Row("moves/" + string(moveID))
	is.Equal(before.Revision, after.Revision) // the new driver has not written the move row yet
	is.Equal(r.c.Table.Do(delayed).Status, platform.Conflict)
}

// Guards against a resumed driver that goes on driving, and against a fencing
// number that goes back.
func TestResumedDriverGivesUp(t *testing.T) {
	is := is.New(t)
	r := newRig(50)
	r.advance(30*time.Second, nil)
	paused := r.driver()
	is.True(paused != nil)
	paused.Paused = true
	fence := r.p.state().Fence
	is.True(r.advance(10*time.Second, func() bool { n := r.driver(); return n != nil && n != paused }))
	paused.Resume()
	r.advance(2*time.Second, nil)
	is.True(!paused.Reducer.Drives(moveID))
	is.True(r.advance(8*time.Minute, func() bool {
		now := r.p.state().Fence
		is.True(now >= fence)
		fence = now
		return r.p.state().State == moves.Done
	}))
	is.True(fence >= 2)
}

// Guards against a share that is raised in a domain partitioned from the driver, and
// on a driver that cannot reach the platform.
func TestShareIsNotRaisedWhilePartitioned(t *testing.T) {
	is := is.New(t)
	for _, withDriver := range []bool{false, true} {
		r := newRig(100)
		r.advance(60*time.Second, nil)
		driver := r.driver()
		r.c.Isolated = driver.Domain
		if !withDriver {
			r.c.Isolated = (driver.Domain + 1) % len(r.c.domains)
		}
		r.advance(100*time.Millisecond, nil) // messages in flight arrive
		held := map[mesh.HostID]moves.Share{}
		for _, n := range r.c.Nodes {
			held[n.Host] = share(n)
		}
		r.advance(7*time.Minute, func() bool {
			for _, n := range r.c.Nodes {
				if n.Domain == r.c.Isolated {
					is.True(share(n) <= held[n.Host]) // share raised while partitioned
				}
			}
			return false
		})
		is.Equal(r.p.state().State, moves.Done) // the other domains went on
		r.c.Isolated = -1
		r.advance(3*time.Second, nil)
		for _, n := range r.c.Nodes {
			is.Equal(share(n), moves.FullShare)
		}
	}
}

// Guards against a partitioned domain that keeps using a faulty version because
// it cannot reach the driver.
func TestPartitionedDomainStopsFaultyVersion(t *testing.T) {
	is := is.New(t)
	r := newRig(300)
	r.advance(60*time.Second, nil)
	r.c.Isolated = (r.driver().Domain + 1) % len(r.c.domains)
	r.c.Table.Down = true // the others cannot write the withdrawal either
	r.calls.s.Fault, r.calls.s.Size = FaultFail, 1
	r.advance(time.Minute, nil)
	for _, n := range r.c.Nodes {
		for draw := range uint64(64) {
			got := n.Reducer.Choose(r.p.service, "route-0", draw<<58)
			is.Equal(got.Version, oldVersion)
		}
	}
	is.Equal(r.p.state().State, moves.Running) // stopped without the platform
}

// Guards against a move that stops when every answer of the platform is lost
// after the write took effect.
func TestLostAnswersAreSettledByReadingBack(t *testing.T) {
	is := is.New(t)
	r := newRig(50)
	r.advance(time.Second, nil)
	r.c.Table.LoseAnswers = true
	is.True(r.advance(8*time.Minute, func() bool { return r.p.state().State == moves.Done }))
}

// Guards against a good version that is withdrawn because both versions slow
// down or fail at the same time, at every stage of the move.
func TestSharedDisturbanceWithdrawsNothing(t *testing.T) {
	is := is.New(t)
	for _, trouble := range []Trouble{TroubleSharedSlow, TroubleSharedFail} {
		for i := range 12 {
			s := scenario(60)
			s.Seed += uint64(i)
			s.Trouble, s.TroubleLength = trouble, 30*time.Second
			s.TroubleStart = time.Duration(i+1) * s.Duration / 14
			s.TroubleSize = 4
			if trouble == TroubleSharedFail {
				s.TroubleSize = 0.4
			}
			got := Run(s)
			is.Equal(got.State, moves.Done)
		}
	}
}

// Guards against a schedule that completes without holding a share at which a
// fault under load shows.
func TestFaultUnderLoadIsFound(t *testing.T) {
	is := is.New(t)
	for _, fault := range []Fault{FaultFailLoad, FaultSlowLoad} {
		for _, threshold := range []float64{0.2, 0.5, 0.8} {
			s := scenario(60)
			s.Fault, s.Size, s.Threshold = fault, 0.3, threshold
			if fault == FaultSlowLoad {
				s.Size = 4
			}
			got := Run(s)
			is.Equal(got.State, moves.Withdrawn)
		}
	}
}

// Guards against a fault on a rare route that the calls of the other routes
// hide: the rare route must get a share that gives it evidence of its own.
func TestFaultOnRareRouteIsFound(t *testing.T) {
	is := is.New(t)
	s := scenario(100)
	s.Fault, s.Size, s.FaultRoute = FaultFailRoute, 0.6, len(s.Routes)-1
	got := Run(s)
	is.Equal(got.State, moves.Withdrawn)
	is.Equal(got.CauseRoute, s.Routes[s.FaultRoute].Name)
	is.True(got.Ended < s.Duration/2) // found at the small share of the first level
}

// Guards against withdrawing a good version for a request that crashes every
// version, or for the cold start of its instances.
func TestPoisonAndColdStartWithdrawNothing(t *testing.T) {
	is := is.New(t)
	for _, trouble := range []Trouble{TroublePoison, TroubleColdStart} {
		for i := range 6 {
			s := scenario(60)
			s.Seed += uint64(i)
			s.Trouble, s.TroubleLength = trouble, 10*time.Second
			s.TroubleStart = time.Duration(i+1) * s.Duration / 8
			is.Equal(Run(s).State, moves.Done)
		}
	}
}

// Guards against a move without calls that completes or ends without a reason.
func TestMoveWithoutCallsIsReportedEarly(t *testing.T) {
	is := is.New(t)
	s := scenario(0.001)
	got := Run(s)
	is.Equal(got.State, moves.Withdrawn)
	is.Equal(got.Cause, moves.CauseNoEvidence)
	is.True(got.Early)
}

// listCount is the number of moves of the list that the tests run.
const listCount = 24

// Guards against regressions of the targets for moves.
func TestListMeetsTargets(t *testing.T) {
	is := is.New(t)
	s := Summarise(RunList(5, listCount, Run))
	is.True(s.GoodDoneShare >= 0.99)
	is.True(s.BadTakenBackShare >= 0.995)
	is.Equal(s.AtOnceMissed, 0)
	is.True(s.BadCallShare < 0.01)
	is.True(s.FalseWithdrawalShare < 0.01)
}

// Guards against calls to a bad version long after its fault has shown.
func TestListStopsWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	s := Summarise(RunList(5, listCount, Run))
	is.Equal(s.LateMoves, 0)
}
