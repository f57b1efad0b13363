package publish

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/platform"
)

func (tb *table) startMove(t testing.TB, operation OperationID, row string) Reply {
	t.Helper()
	p, out := New(), &Effects{}
	p.StartMove(start, &StartMove{Request: 1, Operation: operation, Move: "m1", Row: []byte(row), Deadline: later}, out)
	return tb.run(t, p, out)
}

func (tb *table) withdraw(t testing.TB, operation OperationID) Reply {
	t.Helper()
	p, out := New(), &Effects{}
	p.WithdrawMove(start, &WithdrawMove{Request: 1, Operation: operation, Move: "m1", Operator: "amal", Deadline: later}, out)
	return tb.run(t, p, out)
}

// Guards against a move that is created twice or whose row is reset after the
// driver has changed it.
func TestStartMoveCreatesTheRowOnce(t *testing.T) {
	for op := range 2 {
		for _, f := range []fault{0, dropBefore, dropAfter} {
			is := is.New(t)
			tb := newTable()
			tb.fault[op] = f
			is.Equal(tb.startMove(t, "op1", "initial").Status, Done)
			tb.store.Execute(&platform.Request{Op: platform.OpCommit, Txn: platform.Txn{ID: "driver",
				Puts: []platform.Put{{Key: "moves/m1", Value: []byte("half")}}}})
			is.Equal(tb.startMove(t, "op1", "initial").Status, Done)
			is.Equal(tb.startMove(t, "op2", "initial").Status, Conflict)
			is.Equal(tb.startMove(t, "op1", "other").Status, Rejected)
			is.Equal(string(tb.rows("moves/")["moves/m1"].Value), "half")
		}
	}
}

// Guards against a withdrawal that is lost, and against one of an unknown move.
func TestWithdrawMoveRecordsTheRequest(t *testing.T) {
	for op := range 2 {
		for _, f := range []fault{0, dropBefore, dropAfter} {
			is := is.New(t)
			tb := newTable()
			is.Equal(tb.withdraw(t, "w1").Status, NotFound)
			tb.startMove(t, "op1", "initial")
			tb.fault[tb.ops+op] = f
			is.Equal(tb.withdraw(t, "w1").Status, Done)
			is.Equal(tb.withdraw(t, "w2").Status, Done)
			rows := tb.rows("withdrawals/")
			is.Equal(len(rows), 1)
			is.Equal(rows["withdrawals/m1"].Writer, "w1")
		}
	}
}
