package moves

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const (
	testMove    mesh.MoveID  = "m1"
	testService mesh.Service = "depot"
	testRoute   mesh.Route   = "survey"
	start                    = mesh.Time(time.Hour)
)

// state returns a state of the test move.
func state(step uint64, s State, share Share) MoveState {
	return MoveState{
		ID: testMove, Service: testService, From: "v1", To: "v2", Started: start,
		Deadline: start.Add(10 * time.Minute), State: s, Step: step, Share: share, KeepOld: time.Minute,
		Since: start,
	}
}

// follower returns a node that knows the given states.
func follower(states ...MoveState) (*Reducer, *Effects) {
	r, out := New(Config{Host: "host-1", Domain: "azrou", Incarnation: 1}), &Effects{}
	r.Message(start, "host-0", &Message{States: states}, out)
	return r, out
}

// callTo returns a successful call to a version.
func callTo(v mesh.BackendVersion) *CallResult {
	return &CallResult{
		Service: testService, Version: v, Route: testRoute, Class: "normal", Instance: "i1",
		Outcome: mesh.Answered, Latency: 10 * time.Millisecond,
	}
}

// Guards against a version that receives calls again after its withdrawal, and
// against a completed move that is withdrawn by a late message.
func TestTerminalStateIsFinal(t *testing.T) {
	is := is.New(t)
	r, out := follower(state(4, Running, 500), state(5, Withdrawn, 0))
	r.Message(start, "host-0", &Message{States: []MoveState{state(6, Running, 9000), state(7, Done, FullShare)}}, out)
	got, _ := r.State(testMove)
	is.Equal(got.State, Withdrawn)
	is.Equal(r.Choose(testService, testRoute, 0).Version, mesh.BackendVersion("v1"))
	r, out = follower(state(5, Done, FullShare))
	r.Message(start, "host-0", &Message{States: []MoveState{state(9, Running, 100)}}, out)
	is.Equal(r.Choose(testService, testRoute, ^uint64(0)).Version, mesh.BackendVersion("v2"))
}

// Guards against messages out of order that put an older share in force.
func TestOlderStepNeverReplacesNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, out := follower()
		var newest uint64
		for _, step := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "steps") {
			r.Message(start, "host-0", &Message{States: []MoveState{state(step, Running, Share(step))}}, out)
			newest = max(newest, step)
			if got, _ := r.State(testMove); got.Step != newest || got.Share != Share(newest) {
				t.Fatalf("step %d in force, want %d", got.Step, newest)
			}
		}
	})
}

// Guards against a node that goes on sending calls to a version that fails on
// it until the evidence has travelled up and down the tree.
func TestNodePausesFailingVersionWithinFewCalls(t *testing.T) {
	is := is.New(t)
	r, out := follower(state(1, Running, 5000))
	r.SetLinks(Links{Parent: "host-0"}) // a node that does not judge by itself
	bad := callTo("v2")
	bad.Failed = true
	for range pauseOldCalls {
		r.Record(start, bad)
		r.Record(start, callTo("v1"))
	}
	is.Equal(r.Choose(testService, testRoute, 0).Version, mesh.BackendVersion("v1"))
	r.Tick(start, out)
	is.Equal(out.Events[len(out.Events)-1].Kind, EventPaused)
	r.Message(start, "host-0", &Message{States: []MoveState{state(2, Running, 5000)}}, out)
	is.Equal(r.Choose(testService, testRoute, 0).Version, mesh.BackendVersion("v2")) // a later step ends the pause
}

// Guards against a node that pauses the new version in a general outage, or
// before calls to the old version show that there is none.
func TestNodeDoesNotPauseWhenBothVersionsFail(t *testing.T) {
	is := is.New(t)
	r, _ := follower(state(1, Running, 5000))
	alone := callTo("v2")
	alone.Failed = true
	for range pauseCalls {
		r.Record(start, alone)
	}
	is.Equal(r.Choose(testService, testRoute, 0).Version, mesh.BackendVersion("v2"))
	for range 100 {
		for _, v := range []mesh.BackendVersion{"v2", "v1"} {
			call := callTo(v)
			call.Failed = true
			r.Record(start, call)
		}
	}
	is.Equal(r.Choose(testService, testRoute, 0).Version, mesh.BackendVersion("v2"))
}

// Guards against shares that differ from the stated parts per ten thousand.
func TestChooseFollowsShares(t *testing.T) {
	is := is.New(t)
	s := state(1, Running, 100)
	s.Routes = []RouteShare{{Route: "rare", Share: 2500}}
	r, _ := follower(s)
	counts := map[mesh.Route]int{}
	const draws = 10000
	for i := range uint64(draws) {
		for _, route := range []mesh.Route{testRoute, "rare"} {
			if r.Choose(testService, route, i*(^uint64(0)/draws)).Version == "v2" {
				counts[route]++
			}
		}
	}
	is.True(counts[testRoute] >= 99 && counts[testRoute] <= 101)
	is.True(counts["rare"] >= 2499 && counts["rare"] <= 2501)
}

// Guards against allocations on the path of each call.
func TestRecordAndChooseAllocateNothing(t *testing.T) {
	is := is.New(t)
	r, _ := follower(state(1, Running, 5000))
	good, bad := callTo("v1"), callTo("v2")
	bad.Outcome = mesh.MayHaveRun
	is.Equal(testing.AllocsPerRun(1000, func() {
		r.Record(start, good)
		r.Record(start, bad)
		r.Choose(testService, testRoute, 1)
	}), 0.0)
}

// BenchmarkRecordAndChoose measures the share of moves in a call: the choice of
// a version and the record of its result while a move of the service runs.
func BenchmarkRecordAndChoose(b *testing.B) {
	r, _ := follower(state(1, Running, 5000))
	calls := map[mesh.BackendVersion]*CallResult{"v1": callTo("v1"), "v2": callTo("v2")}
	b.ReportAllocs()
	for draw := uint64(0); b.Loop(); draw += 0x9e3779b97f4a7c15 {
		r.Record(start, calls[r.Choose(testService, testRoute, draw).Version])
	}
}

// Guards against counting a message with evidence twice, and against losing
// evidence of a sender that has restarted.
func TestRepeatedEvidenceCountsOnce(t *testing.T) {
	is := is.New(t)
	r, out := follower(state(1, Running, 100))
	r.SetLinks(Links{Children: []mesh.HostID{"host-2"}})
	report := Report{Move: testMove, Route: testRoute, Class: "normal"}
	report.Sides[NewSide].Answered = 3
	m := Message{Sequence: 1, Incarnation: 1, Domain: "azrou", Evidence: []Report{report}}
	r.Message(start, "host-2", &m, out)
	r.Message(start, "host-2", &m, out)
	m.Incarnation = 2
	r.Message(start, "host-2", &m, out)
	reports := r.pending.take(nil)
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Sides[NewSide].Answered, uint32(6))
}

// Guards against counting a request that crashes any version, or the calls in
// flight beside it, against the new version.
func TestCrashCountsAgainstTheRequest(t *testing.T) {
	is := is.New(t)
	r, _ := follower(state(1, Running, 5000))
	crash := callTo("v2")
	crash.Outcome, crash.Crashed = mesh.MayHaveRun, true
	for range 5 { // one request and four beside it, in flight in one instance
		r.Record(start, crash)
	}
	again := *crash
	again.Version, again.Crashes, again.Instance = "v1", 1, "i9"
	r.Record(start, &again)
	c := r.pending.take(nil)[0].Sides
	is.Equal(c[NewSide].Crashes, uint32(1))
	is.Equal(c[NewSide].Lost, uint32(0))
	is.Equal(c[OldSide].Repeats, uint32(1))
	var h history
	g := h.failureGroup(&c[OldSide], &c[NewSide], c[OldSide].Repeats)
	is.Equal(g.ratios(), [alternatives]float64{}) // no evidence for or against the version
}

// Guards against an operator's order that starts a second move of a service,
// changes an existing move or revives an ended one.
func TestOperatorOrders(t *testing.T) {
	is := is.New(t)
	r, out := New(Config{Host: "host-1", Incarnation: 1}), &Effects{}
	req := &StartRequest{ID: 1, Move: testMove, Service: testService, From: "v1", To: "v2", Deadline: start.Add(time.Hour)}
	answer := func(status platform.Status, rows ...platform.Row) {
		request := out.Platform[len(out.Platform)-1]
		r.Platform(start, &platform.Result{ID: request.ID, Op: request.Op, Status: status, Rows: rows}, out)
	}
	reply := func() error { return out.Replies[len(out.Replies)-1].Err }

	r.Start(start, req, out)
	answer(platform.OK, platform.Row{Key: activePrefix + string(testService), Value: encode(active{Move: "m0"}), Revision: 3})
	is.True(errorx.IsOfType(reply(), ErrRefused))

	r.Start(start, req, out)
	answer(platform.OK)
	answer(platform.Unknown) // the write took effect, its answer was lost
	row := platform.Row{Key: movePrefix + string(testMove), Revision: 1}
	s := state(1, Running, 0)
	s.Deadline = req.Deadline
	row.Value = encode(s)
	answer(platform.OK, row)
	is.NoErr(reply())

	r.Withdraw(start, &WithdrawRequest{ID: 2, Move: testMove}, out)
	answer(platform.OK, row)
	commit := out.Platform[len(out.Platform)-1].Txn
	is.Equal(commit.Checks, []platform.Check{{Key: row.Key, Revision: 1}})
	answer(platform.OK, platform.Row{Key: row.Key, Value: commit.Puts[0].Value, Revision: 2})
	is.NoErr(reply())
	got, _ := r.State(testMove)
	is.Equal(got.State, Withdrawn)

	r.Withdraw(start, &WithdrawRequest{ID: 3, Move: testMove}, out)
	done := state(2, Done, FullShare)
	answer(platform.OK, platform.Row{Key: row.Key, Value: encode(done), Revision: 2})
	is.True(errorx.IsOfType(reply(), ErrRefused))
}

// Guards against an old version that is stopped while calls may still need it.
func TestOldVersionStaysReady(t *testing.T) {
	is := is.New(t)
	r, _ := follower(state(5, Done, FullShare))
	is.True(r.KeepReady(start.Add(59*time.Second), testService, "v1"))
	is.True(!r.KeepReady(start.Add(time.Minute), testService, "v1"))
	is.True(r.KeepReady(start.Add(time.Hour), testService, "v2"))
}

// Guards against malformed rows and messages that stop the node or are applied.
func TestMalformedStatesAreIgnored(t *testing.T) {
	is := is.New(t)
	bad := state(1, Running, FullShare+1)
	r, out := follower(bad)
	_, known := r.State(testMove)
	is.True(!known)
	r.observe(start, &platform.Result{Status: platform.OK, Rows: []platform.Row{
		{Key: movePrefix + "x", Value: []byte("{"), Revision: 1},
		{Key: movePrefix + "x", Value: encode(state(1, Running, 1)), Revision: 1},
		{Key: leasePrefix + "x", Value: []byte("1"), Revision: 1},
	}}, out)
	is.Equal(len(r.States(nil)), 0)
}

// Guards against a histogram whose buckets are not ordered or overflow.
func TestBucketsAreOrdered(t *testing.T) {
	is := is.New(t)
	last := 0
	for d := time.Duration(0); d < time.Minute; d = d*21/20 + time.Microsecond {
		b := bucketOf(d)
		is.True(b == last || b == last+1)
		last = b
	}
	is.Equal(last, Buckets-1)
}
