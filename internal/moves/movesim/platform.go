package movesim

import (
	"sort"
	"strings"

	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Table is a fake of the platform's transactional table.
type Table struct {
	rows map[string]platform.Row
	// Unavailable makes every request time out without effect.
	Unavailable bool
	// LoseResponses makes commits take effect while their responses are lost.
	LoseResponses bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]platform.Row{}} }

// Row returns the row with a key and whether it exists.
func (t *Table) Row(key string) (platform.Row, bool) {
	row, ok := t.rows[key]
	return row, ok
}

// Do executes a platform request.
func (t *Table) Do(req *platform.Request) platform.Result {
	result := platform.Result{ID: req.ID, Op: req.Op, Status: platform.OK}
	if t.Unavailable {
		result.Status, result.Err = platform.Unknown, "no answer"
		return result
	}
	if req.Op == platform.OpRead {
		result.Rows = t.read(req)
		return result
	}
	result.Status, result.Rows = t.commit(&req.Txn)
	if t.LoseResponses {
		return platform.Result{ID: req.ID, Op: req.Op, Status: platform.Unknown, Err: "response lost"}
	}
	return result
}

// read returns the rows that a request selects, ordered by key.
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

// commit executes a transaction if all its checks hold.
func (t *Table) commit(txn *platform.Txn) (platform.Status, []platform.Row) {
	var conflicting []platform.Row
	conflict := false
	for _, c := range txn.Checks {
		if row := t.rows[c.Key]; row.Revision != c.Revision {
			conflict = true
			if row.Revision > 0 {
				conflicting = append(conflicting, row)
			}
		}
	}
	if conflict {
		return platform.Conflict, conflicting
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
