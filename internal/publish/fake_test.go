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

// Property tests draw the same values in each run, unless -rapid.seed is given.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// start is the time at which tests begin.
const start = mesh.Time(1_000_000)

// later is a deadline that tests do not reach.
const later = start + mesh.Time(time.Hour)

// snapshotOf returns a valid snapshot that differs by keep.
func snapshotOf(keep uint32) *config.Snapshot {
	return &config.Snapshot{
		FailureDomains: []config.FailureDomain{{Name: "ifrane"}},
		Services:       []config.Service{{Name: "depot", KeepReadySeconds: keep}},
		Classes: []config.Class{{Name: "orders", Priority: mesh.Normal, DeadlineMillis: 100,
			TargetLatencyMillis: 10, TargetSuccessShare: 0.99}},
		Routes: []config.Route{{Name: "book", Method: "POST", PathPrefix: "/", Service: "depot", Class: "orders"}},
	}
}

func hashOf(keep uint32) config.Hash {
	a, err := config.Accept(snapshotOf(keep))
	if err != nil {
		panic(err)
	}
	return a.Hash
}

func applyOf(operation OperationID, base mesh.ConfigVersion, keep uint32) *Apply {
	return &Apply{Request: 1, Operation: operation, Operator: "amal", Base: base,
		Snapshot: snapshotOf(keep), Deadline: later}
}

// table answers platform operations from a store, with faults.
type table struct {
	store *memstore.Store
	// fault names what happens to the n-th operation, counted from zero.
	fault map[int]fault
	ops   int
}

type fault uint8

const (
	dropBefore fault = iota + 1 // no answer, no effect
	dropAfter                   // no answer, the operation took effect
)

func newTable() *table { return &table{store: memstore.New(), fault: map[int]fault{}} }

func (tb *table) execute(op *platform.Request) platform.Result {
	unknown := platform.Result{ID: op.ID, Op: op.Op, Status: platform.Unknown, Err: "no answer"}
	f := tb.fault[tb.ops]
	tb.ops++
	if f == dropBefore {
		return unknown
	}
	res := tb.store.Execute(op)
	if f == dropAfter {
		return unknown
	}
	return res
}

// run answers platform operations until the publisher has replied.
func (tb *table) run(t testing.TB, p *Publisher, out *Effects) Reply {
	t.Helper()
	now := start
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
			now = now.Add(maxRetry)
			p.Tick(now, out)
		}
	}
	t.Fatal("no reply")
	return Reply{}
}

func (tb *table) apply(t testing.TB, ev *Apply) Reply {
	t.Helper()
	p, out := New(), &Effects{}
	p.Apply(start, ev, out)
	return tb.run(t, p, out)
}

func (tb *table) history(t testing.TB, limit int) Reply {
	t.Helper()
	p, out := New(), &Effects{}
	p.ReadHistory(start, &ReadHistory{Request: 2, Limit: limit, Deadline: later}, out)
	return tb.run(t, p, out)
}

// rows returns the rows below a prefix by key.
func (tb *table) rows(prefix string) map[string]platform.Row {
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
