package tomldoc

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// value is one value of the tree.
type value struct {
	kind  unstable.Kind
	line  int
	text  string
	items []*value
	table *Table
	read  bool
}

// Table is one table of a document.
type Table struct {
	doc  *Document
	path string
	line int
	// depth counts the tables and arrays around this one.
	depth  int
	values map[string]*value
}

func newTable(doc *Document, at place) *Table {
	return &Table{doc: doc, path: at.path, line: at.line, depth: at.depth, values: map[string]*value{}}
}

// Key returns the path of a key of t.
func (t *Table) Key(name string) string { return t.join(name) }

func (t *Table) join(name string) string {
	if t.path == "" {
		return name
	}
	return t.path + "." + name
}

// Has reports whether t has a value for name.
func (t *Table) Has(name string) bool { return t.values[name] != nil }

// HasFault reports whether a fault of a key of t has been recorded.
func (t *Table) HasFault(name string) bool { return t.doc.faulty[t.join(name)] }

// Addf records a fault of a key of t.
func (t *Table) Addf(name, format string, args ...any) {
	line := t.line
	if v := t.values[name]; v != nil {
		line = v.line
	}
	t.doc.add(line, t.join(name), fmt.Sprintf(format, args...))
}

// Require records a fault for each name that t lacks.
func (t *Table) Require(names ...string) {
	for _, name := range names {
		if !t.Has(name) {
			t.Addf(name, "is missing")
		}
	}
}

// openTable returns the table called name, or the last one of an array of
// tables, and creates it if it is absent.
func (t *Table) openTable(name string, line int) (*Table, error) {
	v := t.values[name]
	if v == nil {
		v = &value{kind: unstable.Table, line: line, table: newTable(t.doc, place{t.join(name), line, t.depth + 1})}
		t.values[name] = v
	}
	if v.kind == unstable.Array && len(v.items) > 0 {
		v = v.items[len(v.items)-1]
	}
	if v.table == nil {
		return nil, fmt.Errorf("line %d: %s is not a table", line, t.join(name))
	}
	return v.table, nil
}

func (t *Table) appendTable(name string, line int) (*Table, error) {
	v := t.values[name]
	if v == nil {
		v = &value{kind: unstable.Array, line: line}
		t.values[name] = v
	}
	if v.kind != unstable.Array {
		return nil, fmt.Errorf("line %d: %s is not an array of tables", line, t.join(name))
	}
	table := newTable(t.doc, place{fmt.Sprintf("%s[%d]", t.join(name), len(v.items)), line, t.depth + 1})
	v.items = append(v.items, &value{kind: unstable.Table, line: line, table: table})
	return table, nil
}

// reportUnread records a fault for each key that no caller has asked for.
func (t *Table) reportUnread() {
	for name, v := range t.values {
		if !v.read {
			t.Addf(name, "is not a known key")
			continue
		}
		v.reportUnread()
	}
}

func (v *value) reportUnread() {
	if v.table != nil {
		v.table.reportUnread()
	}
	for _, item := range v.items {
		item.reportUnread()
	}
}

// lineOf returns the line of a key path, or of the innermost table or value on
// the way to it.
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
