package publish

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/platform/memstore"
)

// A constant seed makes property tests draw the same values in each run,
// unless -rapid.seed is given.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// testStart is the virtual time at which tests begin.
const testStart = mesh.Time(1_000_000)

// farDeadline is a deadline that most tests do not reach.
const farDeadline = testStart + mesh.Time(time.Hour)

// snapshotOf returns a valid snapshot. Snapshots with different
// keepReadySeconds have different hashes.
func snapshotOf(keepReadySeconds uint32) *config.Snapshot {
	return &config.Snapshot{
		FailureDomains: []config.FailureDomain{{Name: "ifrane"}},
		Services:       []config.Service{{Name: "depot", KeepReadySeconds: keepReadySeconds}},
		Classes: []config.Class{{Name: "orders", Priority: mesh.Normal, DeadlineMillis: 100,
			TargetLatencyMillis: 10, TargetSuccessShare: 0.99}},
		Routes: []config.Route{{Name: "book", Method: "POST", PathPrefix: "/", Service: "depot", Class: "orders"}},
	}
}

func hashOf(keepReadySeconds uint32) config.Hash {
	a, err := config.Accept(snapshotOf(keepReadySeconds))
	if err != nil {
		panic(err)
	}
	return a.Hash
}

// newApply returns a valid request for the snapshot with the given
// keepReadySeconds.
func newApply(operation OperationID, base mesh.ConfigVersion, keepReadySeconds uint32) *Apply {
	return &Apply{Request: 1, Operation: operation, Operator: "amal", Base: base,
		Snapshot: snapshotOf(keepReadySeconds), Deadline: farDeadline}
}

// fakeTable executes platform operations on an in-memory store and injects
// faults.
type fakeTable struct {
	store *memstore.Store
	// faults maps the index of an operation, counted from zero, to the fault
	// that is injected into it.
	faults map[int]fault
	ops    int
}

// fault is a way in which an operation remains without an answer.
type fault uint8

const (
	dropRequest fault = iota + 1 // the operation has no effect
	dropAnswer                   // the operation takes effect
)

func newFakeTable() *fakeTable { return &fakeTable{store: memstore.New(), faults: map[int]fault{}} }

func (tb *fakeTable) execute(op *platform.Request) platform.Result {
	unknown := platform.Result{ID: op.ID, Op: op.Op, Status: platform.Unknown, Err: "no answer"}
	f := tb.faults[tb.ops]
	tb.ops++
	if f == dropRequest {
		return unknown
	}
	res := tb.store.Execute(op)
	if f == dropAnswer {
		return unknown
	}
	return res
}

// run executes platform operations until the publisher has replied.
func (tb *fakeTable) run(t testing.TB, p *Publisher, out *Effects) Reply {
	t.Helper()
	now := testStart
	for range 100 {
		if len(out.Replies) > 0 {
			return out.Replies[0]
		}
		ops := append([]platform.Request{}, out.Platform...)
		out.Reset()
		for i := range ops {
			res := tb.execute(&ops[i])
			p.PlatformResult(now, &res, out)
		}
		if len(out.Platform) == 0 && len(out.Replies) == 0 {
			now = now.Add(maxBackoff)
			p.Tick(now, out)
		}
	}
	t.Fatal("no reply")
	return Reply{}
}

func (tb *fakeTable) apply(t testing.TB, ev *Apply) Reply {
	t.Helper()
	p, out := New(), &Effects{}
	p.Apply(testStart, ev, out)
	return tb.run(t, p, out)
}

func (tb *fakeTable) history(t testing.TB, limit int) Reply {
	t.Helper()
	p, out := New(), &Effects{}
	p.ReadHistory(testStart, &ReadHistory{Request: 2, Limit: limit, Deadline: farDeadline}, out)
	return tb.run(t, p, out)
}

// rows returns the rows whose keys have the prefix, by key.
func (tb *fakeTable) rows(prefix string) map[string]platform.Row {
	res := tb.store.Execute(&platform.Request{Op: platform.OpRead, Prefixes: []string{prefix}})
	rows := map[string]platform.Row{}
	for _, row := range res.Rows {
		rows[row.Key] = row
	}
	return rows
}

func decode[T platform.Head | platform.History](row platform.Row) T {
	value, err := platform.DecodeRow[T](row)
	if err != nil {
		panic(fmt.Sprintf("row %s: %v", row.Key, err))
	}
	return value
}
