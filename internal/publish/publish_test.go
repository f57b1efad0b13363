package publish

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Guards against a version that is accepted without its object or its history
// row.
func TestApplyStoresObjectHeadAndHistory(t *testing.T) {
	is := is.New(t)
	tb := newFakeTable()
	reply := tb.apply(t, newApply("op1", 0, 1))
	is.Equal(reply, Reply{Request: 1, Status: Done, Version: 1, Hash: hashOf(1)})
	object := tb.store.Execute(&platform.Request{Op: platform.OpGetObject, Hash: string(hashOf(1))})
	_, err := config.AcceptEncoded(object.Object, hashOf(1))
	is.NoErr(err)
	head := decode[platform.Head](tb.rows("head")["head"])
	is.Equal(head, platform.Head{Version: 1, Hash: string(hashOf(1)), Writer: "op1"})
	history := decode[platform.History](tb.rows("history/")["history/1"])
	is.Equal(history, platform.History{Version: 1, Hash: string(hashOf(1)), Writer: "op1", Time: testStart, Operator: "amal"})
}

// Guards against a lost answer after which an accepted version is lost,
// created twice, or reported as a conflict with itself. Each of the three
// platform operations loses its answer, once without and once with taking
// effect.
func TestLostAnswersAreResolved(t *testing.T) {
	for op := range 3 {
		for _, f := range []fault{dropRequest, dropAnswer} {
			is := is.New(t)
			tb := newFakeTable()
			tb.faults[op] = f
			is.Equal(tb.apply(t, newApply("op1", 0, 1)).Version, mesh.ConfigVersion(1))
			is.Equal(len(tb.rows("history/")), 1)
			is.Equal(tb.apply(t, newApply("op2", 1, 2)).Status, Done)
			is.Equal(len(tb.rows("history/")), 2)
		}
	}
}

// Guards against an operation that takes effect again when it is sent again,
// also after other versions or with another base.
func TestSameOperationReturnsFirstResult(t *testing.T) {
	is := is.New(t)
	tb := newFakeTable()
	first := tb.apply(t, newApply("op1", 0, 1))
	is.Equal(tb.apply(t, newApply("op1", 0, 1)), first)
	is.Equal(tb.apply(t, newApply("op2", 1, 2)).Version, first.Version+1)
	is.Equal(tb.apply(t, newApply("op1", 0, 1)), first)
	is.Equal(tb.apply(t, newApply("op1", 2, 1)), first)
	is.Equal(tb.apply(t, newApply("op1", 2, 9)).Status, Rejected) // other content under the same ID
	is.Equal(len(tb.rows("history/")), 2)
}

// Guards against two operators who overwrite each other's change.
func TestConflictNamesTheCurrentVersion(t *testing.T) {
	is := is.New(t)
	tb := newFakeTable()
	a, b := New(), New()
	var outA, outB Effects
	a.Apply(testStart, newApply("a", 0, 1), &outA)
	b.Apply(testStart, newApply("b", 0, 2), &outB)
	replyB := tb.run(t, b, &outB)
	is.Equal(replyB.Status, Done)
	replyA := tb.run(t, a, &outA)
	is.Equal(replyA.Status, Conflict)
	is.Equal(replyA.Version, replyB.Version)
	is.Equal(replyA.Hash, hashOf(2))
	is.Equal(tb.apply(t, newApply("c", 7, 3)).Status, Conflict) // a base that does not exist
	is.Equal(len(tb.rows("history/")), 1)
}

// Guards against two operators who both read the same head and both commit.
// The second commit must end as a conflict.
func TestConflictAtCommit(t *testing.T) {
	is := is.New(t)
	tb := newFakeTable()
	a := New()
	var out Effects
	a.Apply(testStart, newApply("a", 0, 1), &out)
	for range 2 { // read the rows, store the object
		op := out.Platform[0]
		out.Reset()
		res := tb.execute(&op)
		a.PlatformResult(testStart, &res, &out)
	}
	is.Equal(out.Platform[0].Op, platform.OpCommit)
	is.Equal(tb.apply(t, newApply("b", 0, 2)).Status, Done)
	reply := tb.run(t, a, &out)
	is.Equal(reply.Status, Conflict)
	is.Equal(reply.Hash, hashOf(2))
}

// Guards against an invalid configuration or request that is sent to the
// platform.
func TestInvalidRequestsAreRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	bad := newApply("op1", 0, 1)
	bad.Snapshot.Routes[0].Service = "none"
	for _, ev := range []*Apply{bad, newApply("", 0, 1), newApply("a/b", 0, 1), {Request: 1, Operation: "op"},
		{Request: 1, Operation: "op", Operator: "\xff", Snapshot: snapshotOf(1)}} {
		p, out := New(), &Effects{}
		p.Apply(testStart, ev, out)
		is.Equal(len(out.Platform), 0)
		is.Equal(out.Replies[0].Status, Rejected)
		is.Equal(out.Replies[0].Request, RequestID(1))
	}
	p, out := New(), &Effects{}
	p.Apply(testStart, bad, out)
	is.Equal(out.Replies[0].Faults[0].Key, "routes[0].service")
}

// Guards against telling an operator that nothing happened while a commit may
// still take effect, and against a request that never ends. The status at the
// deadline depends on the operation in progress: read, object or commit.
func TestDeadlineReportsPendingWrite(t *testing.T) {
	is := is.New(t)
	for completed, want := range map[int]Status{0: Unavailable, 1: Unavailable, 2: Unsettled} {
		tb := newFakeTable()
		p, out := New(), &Effects{}
		p.Apply(testStart, newApply("op1", 0, 1), out)
		for range completed {
			request := out.Platform[0]
			out.Reset()
			res := tb.execute(&request)
			p.PlatformResult(testStart, &res, out)
		}
		pending := out.Platform[0]
		out.Reset()
		p.Tick(farDeadline-1, out)
		is.Equal(len(out.Replies), 0)
		p.Tick(farDeadline, out)
		is.Equal(out.Replies[0].Status, want)
		out.Reset()
		res := tb.execute(&pending)
		p.PlatformResult(farDeadline, &res, out)
		is.Equal(len(out.Platform)+len(out.Replies), 0) // a late answer is ignored
	}
}

// Guards against retrying without backoff during a platform outage.
func TestRetriesBackOff(t *testing.T) {
	is := is.New(t)
	p, out := New(), &Effects{}
	p.Apply(testStart, newApply("op1", 0, 1), out)
	sent := 0
	for now := testStart; now < testStart.Add(20*maxBackoff); now = now.Add(minBackoff / 2) {
		for _, op := range out.Platform {
			sent++
			p.PlatformResult(now, &platform.Result{ID: op.ID, Op: op.Op, Status: platform.Unknown}, out)
		}
		out.Reset()
		p.Tick(now, out)
	}
	is.True(sent > 15 && sent < 30)
}

// Guards against malformed rows that crash the node or are accepted as a head.
func TestMalformedRowsFail(t *testing.T) {
	is := is.New(t)
	tb := newFakeTable()
	tb.store.Execute(&platform.Request{Op: platform.OpCommit, Txn: platform.Txn{ID: "x",
		Puts: []platform.Put{{Key: platform.HeadKey, Value: []byte("{")}}}})
	is.Equal(tb.apply(t, newApply("op1", 0, 1)).Status, Failed)
	is.Equal(tb.history(t, 5).Status, Failed)
}

// Guards against an unbounded number of requests in progress.
func TestRequestsInProgressAreBounded(t *testing.T) {
	is := is.New(t)
	p, out := New(), &Effects{}
	for range MaxRequests + 1 {
		p.Apply(testStart, newApply("op1", 0, 1), out)
	}
	is.Equal(len(out.Platform), MaxRequests)
	is.Equal(out.Replies[0].Status, Unavailable)
}

// Guards against a history that is out of order or longer than requested.
func TestHistoryIsNewestFirst(t *testing.T) {
	is := is.New(t)
	tb := newFakeTable()
	is.Equal(tb.history(t, 3), Reply{Request: 2, Status: Done})
	for v := range uint32(4) {
		tb.apply(t, newApply(OperationID(rune('a'+v)), mesh.ConfigVersion(v), v))
	}
	reply := tb.history(t, 3)
	is.Equal(reply.Status, Done)
	is.Equal(len(reply.History), 3)
	is.Equal(reply.History[0].Writer, "d")
	is.Equal(reply.History[2].Writer, "b")
	is.Equal(len(tb.history(t, 50).History), 4)
	p, out := New(), &Effects{}
	p.ReadHistory(testStart, &ReadHistory{Limit: MaxHistoryRows + 1}, out)
	is.Equal(out.Replies[0].Status, Rejected)
}
