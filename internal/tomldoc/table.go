package tomldoc

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// value is one value of the tree. The text is set for scalars, items for arrays,
// and table for tables.
type value struct {
	kind  unstable.Kind
	line  int
	text  string
	items []*value
	table *Table
	// read is set once a caller has looked the value up. Values that were never
	// read are reported as unknown keys.
	read bool
}

// Table is one table of a document.
type Table struct {
	doc  *Document
	path string
	line int
	// depth is the nesting depth of this table; the root has depth 0.
	depth  int
	values map[string]*value
}

func newTable(doc *Document, pos position) *Table {
	return &Table{doc: doc, path: pos.path, line: pos.line, depth: pos.depth, values: map[string]*value{}}
}

// KeyPath returns the full path of a key of t, such as "routes[2].service".
func (t *Table) KeyPath(name string) string { return t.joinPath(name) }

func (t *Table) joinPath(name string) string {
	if t.path == "" {
		return name
	}
	return t.path + "." + name
}

// Has reports whether t has a value for name.
func (t *Table) Has(name string) bool { return t.values[name] != nil }

// HasFault reports whether a fault has been recorded for a key of t.
func (t *Table) HasFault(name string) bool { return t.doc.faultKeys[t.joinPath(name)] }

// AddFaultf records a fault for a key of t. If the key is absent, the fault gets
// the line of t.
func (t *Table) AddFaultf(name, format string, args ...any) {
	line := t.line
	if v := t.values[name]; v != nil {
		line = v.line
	}
	t.doc.addFault(line, t.joinPath(name), fmt.Sprintf(format, args...))
}

// Require records a fault for each name that t lacks.
func (t *Table) Require(names ...string) {
	for _, name := range names {
		if !t.Has(name) {
			t.AddFaultf(name, "is missing")
		}
	}
}

// openTable returns the table called name and creates it if it is absent. If name
// is an array of tables, it returns the last table of the array.
func (t *Table) openTable(name string, line int) (*Table, error) {
	v := t.values[name]
	if v == nil {
		v = &value{kind: unstable.Table, line: line, table: newTable(t.doc, position{t.joinPath(name), line, t.depth + 1})}
		t.values[name] = v
	}
	if v.kind == unstable.Array && len(v.items) > 0 {
		v = v.items[len(v.items)-1]
	}
	if v.table == nil {
		return nil, fmt.Errorf("line %d: %s is not a table", line, t.joinPath(name))
	}
	return v.table, nil
}

// appendTable appends an empty table to the array of tables called name and
// returns it. It creates the array if it is absent.
func (t *Table) appendTable(name string, line int) (*Table, error) {
	v := t.values[name]
	if v == nil {
		v = &value{kind: unstable.Array, line: line}
		t.values[name] = v
	}
	if v.kind != unstable.Array {
		return nil, fmt.Errorf("line %d: %s is not an array of tables", line, t.joinPath(name))
	}
	table := newTable(t.doc, position{fmt.Sprintf("%s[%d]", t.joinPath(name), len(v.items)), line, t.depth + 1})
	v.items = append(v.items, &value{kind: unstable.Table, line: line, table: table})
	return table, nil
}

// reportUnknownKeys records a fault for each key that no caller has read.
func (t *Table) reportUnknownKeys() {
	for name, v := range t.values {
		if !v.read {
			t.AddFaultf(name, "is not a known key")
			continue
		}
		v.reportUnknownKeys()
	}
}

func (v *value) reportUnknownKeys() {
	if v.table != nil {
		v.table.reportUnknownKeys()
	}
	for _, item := range v.items {
		item.reportUnknownKeys()
	}
}

// lineOf returns the line of the value at a key path. If there is none, it returns
// the line of the innermost table or value on the path that exists.
func (t *Table) lineOf(path string) int {
	line := t.line
	for name := range strings.SplitSeq(path, ".") {
		base, index := splitIndex(name)
		v := t.values[base]
		if v == nil {
			return line
		}
		if index >= 0 && index < len(v.items) {
			v = v.items[index]
		}
		line = v.line
		if v.table == nil {
			return line
		}
		t = v.table
	}
	return line
}

// splitIndex separates "routes[2]" into "routes" and 2. The index is -1 for a
// name without one.
func splitIndex(name string) (string, int) {
	base, rest, found := strings.Cut(name, "[")
	if !found {
		return name, -1
	}
	index := 0
	if _, err := fmt.Sscanf(rest, "%d]", &index); err != nil {
		return name, -1
	}
	return base, index
}
