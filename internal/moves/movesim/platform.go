package movesim

import (
	"sort"
	"strings"

	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Table is a fake of the platform's transactional table.
type Table struct {
	rows map[string]platform.Row
	// Down makes every request end without an answer and without effect.
	Down bool
	// LoseAnswers makes commits take effect without an answer.
	LoseAnswers bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]platform.Row{}} }

// Row returns the row with a key.
func (t *Table) Row(key string) (platform.Row, bool) {
	row, ok := t.rows[key]
	return row, ok
}

// Do executes a request.
func (t *Table) Do(req *platform.Request) platform.Result {
	result := platform.Result{ID: req.ID, Op: req.Op, Status: platform.OK}
	if t.Down {
		result.Status, result.Err = platform.Unknown, "no answer"
		return result
	}
	if req.Op == platform.OpRead {
		result.Rows = t.read(req)
		return result
	}
	result.Status, result.Rows = t.commit(&req.Txn)
	if t.LoseAnswers {
		return platform.Result{ID: req.ID, Op: req.Op, Status: platform.Unknown, Err: "answer lost"}
	}
	return result
}

// read returns the selected rows ordered by key.
func (t *Table) read(req *platform.Request) []platform.Row {
	var rows []platform.Row
	for key, row := range t.rows {
		selected := false
		for _, k := range req.Keys {
			selected = selected || k == key
		}
		for _, p := range req.Prefixes {
			selected = selected || strings.HasPrefix(key, p)
		}
		if selected {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// commit executes a transaction.
func (t *Table) commit(txn *platform.Txn) (platform.Status, []platform.Row) {
	var failed []platform.Row
	conflict := false
	for _, c := range txn.Checks {
		if row := t.rows[c.Key]; row.Revision != c.Revision {
			conflict = true
			if row.Revision > 0 {
				failed = append(failed, row)
			}
		}
	}
	if conflict {
		return platform.Conflict, failed
	}
	var written []platform.Row
	for _, p := range txn.Puts {
		row := platform.Row{Key: p.Key, Value: p.Value, Revision: t.rows[p.Key].Revision + 1, Writer: txn.ID}
		t.rows[p.Key] = row
		written = append(written, row)
	}
	for _, k := range txn.Deletes {
		delete(t.rows, k)
	}
	return platform.OK, written
}
