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
	startTime                = mesh.Time(time.Hour)
)

// stateOf returns the state of the test move with a step, state and share.
func stateOf(step uint64, s State, share Share) MoveState {
	return MoveState{
		ID: testMove, Service: testService, From: "v1", To: "v2", Started: startTime,
		Deadline: startTime.Add(10 * time.Minute), State: s, Step: step, Share: share, KeepOld: time.Minute,
		Since: startTime,
	}
}

// newFollower returns a Reducer that has received the given states.
func newFollower(states ...MoveState) (*Reducer, *Effects) {
	r, out := New(Config{Host: "host-1", Domain: "azrou", Incarnation: 1}), &Effects{}
	r.Message(startTime, "host-0", &Message{States: states}, out)
	return r, out
}

// callTo returns a successful call to a version.
func callTo(v mesh.BackendVersion) *CallResult {
	return &CallResult{
		Service: testService, Version: v, Route: testRoute, Class: "normal", Instance: "i1",
		Outcome: mesh.Answered, Latency: 10 * time.Millisecond,
	}
}

// Guards against a withdrawn version that receives calls again, and against a
// completed move that is reopened, because of a delayed message with a higher
// step.
func TestTerminalStateIsFinal(t *testing.T) {
	is := is.New(t)
	r, out := newFollower(stateOf(4, Running, 500), stateOf(5, Withdrawn, 0))
	r.Message(startTime, "host-0", &Message{States: []MoveState{stateOf(6, Running, 9000), stateOf(7, Done, FullShare)}}, out)
	got, _ := r.State(testMove)
	is.Equal(got.State, Withdrawn)
	is.Equal(r.Choose(testService, testRoute, 0).Version, mesh.BackendVersion("v1"))
	r, out = newFollower(stateOf(5, Done, FullShare))
	r.Message(startTime, "host-0", &Message{States: []MoveState{stateOf(9, Running, 100)}}, out)
	is.Equal(r.Choose(testService, testRoute, ^uint64(0)).Version, mesh.BackendVersion("v2"))
}

// Guards against applying an older share because messages arrive out of order.
func TestOlderStepNeverReplacesNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, out := newFollower()
		var newest uint64
		for _, step := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "steps") {
			r.Message(startTime, "host-0", &Message{States: []MoveState{stateOf(step, Running, Share(step))}}, out)
			newest = max(newest, step)
			if got, _ := r.State(testMove); got.Step != newest || got.Share != Share(newest) {
				t.Fatalf("applied step %d, want %d", got.Step, newest)
			}
		}
	})
}

// Guards against a node that keeps sending calls to a version that fails there
// until the evidence has reached the root node and the stop has come back.
func TestNodePausesFailingVersionWithinFewCalls(t *testing.T) {
	is := is.New(t)
	r, out := newFollower(stateOf(1, Running, 5000))
	r.SetLinks(Links{Parent: "host-0"}) // not a root node, so it has no judge
	bad := callTo("v2")
	bad.Failed = true
	for range pauseMinOldCalls {
		r.Record(startTime, bad)
		r.Record(startTime, callTo("v1"))
	}
	is.Equal(r.Choose(testService, testRoute, 0).Version, mesh.BackendVersion("v1"))
	r.Tick(startTime, out)
	is.Equal(out.Events[len(out.Events)-1].Kind, EventPaused)
	r.Message(startTime, "host-0", &Message{States: []MoveState{stateOf(2, Running, 5000)}}, out)
	is.Equal(r.Choose(testService, testRoute, 0).Version, mesh.BackendVersion("v2")) // a later step ends the pause
}

// Guards against a node that pauses the new version in an outage of both
// versions, or before calls to the old version rule one out.
func TestNodeDoesNotPauseWhenBothVersionsFail(t *testing.T) {
	is := is.New(t)
	r, _ := newFollower(stateOf(1, Running, 5000))
	newOnly := callTo("v2")
	newOnly.Failed = true
	for range pauseMaxCalls {
		r.Record(startTime, newOnly)
	}
	is.Equal(r.Choose(testService, testRoute, 0).Version, mesh.BackendVersion("v2"))
	for range 100 {
		for _, v := range []mesh.BackendVersion{"v2", "v1"} {
			call := callTo(v)
			call.Failed = true
			r.Record(startTime, call)
		}
	}
	is.Equal(r.Choose(testService, testRoute, 0).Version, mesh.BackendVersion("v2"))
}

// Guards against a fraction of calls to the new version that differs from the
// share of the move or route.
func TestChooseFollowsShares(t *testing.T) {
	is := is.New(t)
	s := stateOf(1, Running, 100)
	s.Routes = []RouteShare{{Route: "rare", Share: 2500}}
	r, _ := newFollower(s)
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

// Guards against allocations per call.
func TestRecordAndChooseDoNotAllocate(t *testing.T) {
	is := is.New(t)
	r, _ := newFollower(stateOf(1, Running, 5000))
	good, bad := callTo("v1"), callTo("v2")
	bad.Outcome = mesh.MayHaveRun
	is.Equal(testing.AllocsPerRun(1000, func() {
		r.Record(startTime, good)
		r.Record(startTime, bad)
		r.Choose(testService, testRoute, 1)
	}), 0.0)
}

// BenchmarkRecordAndChoose measures what a running move adds to each call of the
// service: choosing a version and recording the result.
func BenchmarkRecordAndChoose(b *testing.B) {
	r, _ := newFollower(stateOf(1, Running, 5000))
	calls := map[mesh.BackendVersion]*CallResult{"v1": callTo("v1"), "v2": callTo("v2")}
	b.ReportAllocs()
	for draw := uint64(0); b.Loop(); draw += 0x9e3779b97f4a7c15 {
		r.Record(startTime, calls[r.Choose(testService, testRoute, draw).Version])
	}
}

// Guards against counting a duplicate message with evidence twice, and against
// dropping the evidence of a sender whose sequence starts again after a restart.
func TestDuplicateEvidenceIsCountedOnce(t *testing.T) {
	is := is.New(t)
	r, out := newFollower(stateOf(1, Running, 100))
	r.SetLinks(Links{Children: []mesh.HostID{"host-2"}})
	report := Report{Move: testMove, Route: testRoute, Class: "normal"}
	report.Sides[NewSide].Answered = 3
	m := Message{Sequence: 1, Incarnation: 1, Domain: "azrou", Evidence: []Report{report}}
	r.Message(startTime, "host-2", &m, out)
	r.Message(startTime, "host-2", &m, out)
	m.Incarnation = 2
	r.Message(startTime, "host-2", &m, out)
	reports := r.evidence.drain(nil)
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Sides[NewSide].Answered, uint32(6))
}

// Guards against blaming the new version for a request that crashes either
// version, or for the other calls in flight in the crash.
func TestRepeatedCrashIsBlamedOnRequest(t *testing.T) {
	is := is.New(t)
	r, _ := newFollower(stateOf(1, Running, 5000))
	crash := callTo("v2")
	crash.Outcome, crash.Crashed = mesh.MayHaveRun, true
	for range 5 { // the request and four other calls in flight in one instance
		r.Record(startTime, crash)
	}
	repeated := *crash
	repeated.Version, repeated.Crashes, repeated.Instance = "v1", 1, "i9"
	r.Record(startTime, &repeated)
	counts := r.evidence.drain(nil)[0].Sides
	is.Equal(counts[NewSide].Crashes, uint32(1))
	is.Equal(counts[NewSide].Lost, uint32(0))
	is.Equal(counts[OldSide].Repeats, uint32(1))
	var h oldVersionHistory
	likelihoods := h.failureLikelihoods(&counts[OldSide], &counts[NewSide], counts[OldSide].Repeats)
	is.Equal(likelihoods.logRatios(), [alternatives]float64{}) // no evidence for or against the version
}

// Guards against an operator's request that starts a second concurrent move of a
// service, changes an existing move or reopens one that has ended.
func TestOperatorRequests(t *testing.T) {
	is := is.New(t)
	r, out := New(Config{Host: "host-1", Incarnation: 1}), &Effects{}
	req := &StartRequest{ID: 1, Move: testMove, Service: testService, From: "v1", To: "v2", Deadline: startTime.Add(time.Hour)}
	respond := func(status platform.Status, rows ...platform.Row) {
		request := out.Platform[len(out.Platform)-1]
		r.Platform(startTime, &platform.Result{ID: request.ID, Op: request.Op, Status: status, Rows: rows}, out)
	}
	lastError := func() error { return out.Replies[len(out.Replies)-1].Err }

	r.Start(startTime, req, out)
	respond(platform.OK, platform.Row{Key: activeMovePrefix + string(testService), Value: encode(activeMove{Move: "m0"}), Revision: 3})
	is.True(errorx.IsOfType(lastError(), ErrRefused))

	r.Start(startTime, req, out)
	respond(platform.OK)
	respond(platform.Unknown) // the write took effect, but its response was lost
	row := platform.Row{Key: movePrefix + string(testMove), Revision: 1}
	s := stateOf(1, Running, 0)
	s.Deadline = req.Deadline
	row.Value = encode(s)
	respond(platform.OK, row)
	is.NoErr(lastError())

	r.Withdraw(startTime, &WithdrawRequest{ID: 2, Move: testMove}, out)
	respond(platform.OK, row)
	commit := out.Platform[len(out.Platform)-1].Txn
	is.Equal(commit.Checks, []platform.Check{{Key: row.Key, Revision: 1}})
	respond(platform.OK, platform.Row{Key: row.Key, Value: commit.Puts[0].Value, Revision: 2})
	is.NoErr(lastError())
	got, _ := r.State(testMove)
	is.Equal(got.State, Withdrawn)

	r.Withdraw(startTime, &WithdrawRequest{ID: 3, Move: testMove}, out)
	done := stateOf(2, Done, FullShare)
	respond(platform.OK, platform.Row{Key: row.Key, Value: encode(done), Revision: 2})
	is.True(errorx.IsOfType(lastError(), ErrRefused))
}

// Guards against an old version whose instances are stopped before KeepOld has
// passed.
func TestOldVersionStaysReady(t *testing.T) {
	is := is.New(t)
	r, _ := newFollower(stateOf(5, Done, FullShare))
	is.True(r.KeepReady(startTime.Add(59*time.Second), testService, "v1"))
	is.True(!r.KeepReady(startTime.Add(time.Minute), testService, "v1"))
	is.True(r.KeepReady(startTime.Add(time.Hour), testService, "v2"))
}

// Guards against malformed rows and messages that crash the node or are applied.
func TestMalformedStatesAreIgnored(t *testing.T) {
	is := is.New(t)
	invalid := stateOf(1, Running, FullShare+1)
	r, out := newFollower(invalid)
	_, known := r.State(testMove)
	is.True(!known)
	r.applyRows(startTime, &platform.Result{Status: platform.OK, Rows: []platform.Row{
		{Key: movePrefix + "x", Value: []byte("{"), Revision: 1},
		{Key: movePrefix + "x", Value: encode(stateOf(1, Running, 1)), Revision: 1},
		{Key: leasePrefix + "x", Value: []byte("1"), Revision: 1},
	}}, out)
	is.Equal(len(r.States(nil)), 0)
}

// Guards against buckets that are not ordered by latency and against an index
// beyond the last bucket.
func TestBucketsAreOrdered(t *testing.T) {
	is := is.New(t)
	last := 0
	for d := time.Duration(0); d < time.Minute; d = d*21/20 + time.Microsecond {
		bucket := bucketOf(d)
		is.True(bucket == last || bucket == last+1)
		last = bucket
	}
	is.Equal(last, Buckets-1)
}
