package memstore

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/platform"
)

func commit(s *Store, txn platform.Txn) platform.Result {
	return s.Execute(&platform.Request{ID: 7, Op: platform.OpCommit, Txn: txn})
}

// putTxn returns a transaction that writes a row if it has the given revision.
func putTxn(id, key, value string, revision platform.Revision) platform.Txn {
	return platform.Txn{ID: id, Checks: []platform.Check{{Key: key, Revision: revision}},
		Puts: []platform.Put{{Key: key, Value: []byte(value)}}}
}

// Guards against a transaction of which only a part takes effect, and against
// a conflict whose result does not hold the current row.
func TestCommitIsAllOrNothing(t *testing.T) {
	is := is.New(t)
	s := New()
	is.Equal(commit(s, putTxn("t1", "a", "1", 0)).Status, platform.OK)
	txn := putTxn("t2", "a", "2", 0)
	txn.Puts = append(txn.Puts, platform.Put{Key: "b", Value: []byte("2")})
	res := commit(s, txn)
	is.Equal(res.Status, platform.Conflict)
	is.Equal(res.Rows, []platform.Row{{Key: "a", Value: []byte("1"), Revision: 1, Writer: "t1"}})
	res = s.Execute(&platform.Request{Op: platform.OpRead, Prefixes: []string{"b"}, Keys: []string{"b"}})
	is.Equal(len(res.Rows), 0)
}

// Guards against a revision that is used twice after a deletion, which would
// let a delayed transaction pass its check.
func TestRevisionsAreNotReusedAfterDelete(t *testing.T) {
	is := is.New(t)
	s := New()
	commit(s, putTxn("t1", "a", "1", 0))
	is.Equal(commit(s, platform.Txn{ID: "t2", Deletes: []string{"a"}}).Status, platform.OK)
	res := commit(s, putTxn("t3", "a", "3", 0))
	is.Equal(res.Status, platform.OK)
	is.Equal(res.Rows[0].Revision, platform.Revision(3))
	is.Equal(commit(s, putTxn("t4", "a", "4", 1)).Status, platform.Conflict)
}

// Guards against malformed requests that take effect.
func TestInvalidRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	s := New()
	putAndDelete := putTxn("t", "a", "1", 0)
	putAndDelete.Deletes = []string{"a"}
	for _, req := range []platform.Request{
		{Op: platform.OpCommit, Txn: putTxn("", "a", "1", 0)},
		{Op: platform.OpCommit, Txn: putTxn("t", "", "1", 0)},
		{Op: platform.OpCommit, Txn: putAndDelete},
		{Op: platform.OpCommit, Txn: platform.Txn{ID: "t", Puts: []platform.Put{{Key: "a", Value: make([]byte, MaxValueBytes+1)}}}},
		{Op: platform.OpRead, Keys: make([]string, MaxItems+1)},
		{Op: platform.OpPutObject, Hash: "00", Object: []byte("x")},
		{Op: 99},
	} {
		res := s.Execute(&req)
		is.Equal(res.Status, platform.Invalid)
		is.True(res.Err != "")
	}
	is.Equal(len(s.rows), 0)
	is.Equal(len(s.objects), 0)
}
