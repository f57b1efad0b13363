package tomldoc

import (
	"math"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lookup returns the value of a key and marks it as read. It returns nil if the
// value is absent. If the value is of another kind, it records a fault that names
// the expected type and returns nil.
func (t *Table) lookup(name string, kind unstable.Kind, expected string) *value {
	v := t.values[name]
	if v == nil {
		return nil
	}
	v.read = true
	if v.kind != kind {
		t.AddFaultf(name, "is %s, want %s", kindName(v.kind), expected)
		markRead(v)
		return nil
	}
	return v
}

// markRead marks v and everything in it as read. It is used for a value of the
// wrong type, so that the keys in it are not reported as unknown as well.
func markRead(v *value) {
	v.read = true
	for _, item := range v.items {
		markRead(item)
	}
	if v.table != nil {
		for _, child := range v.table.values {
			markRead(child)
		}
	}
}

// kindName returns the name of a kind with its article, for fault texts.
func kindName(kind unstable.Kind) string {
	switch kind {
	case unstable.String:
		return "a string"
	case unstable.Bool:
		return "a boolean"
	case unstable.Integer:
		return "an integer"
	case unstable.Float:
		return "a float"
	case unstable.Array:
		return "an array"
	case unstable.Table:
		return "a table"
	default:
		return "a date or time"
	}
}

// String returns a string, or def if it is absent or faulty.
func (t *Table) String(name, def string) string {
	v := t.lookup(name, unstable.String, "a string")
	if v == nil {
		return def
	}
	return v.text
}

// Bool returns a boolean, or def if it is absent or faulty.
func (t *Table) Bool(name string, def bool) bool {
	v := t.lookup(name, unstable.Bool, "a boolean")
	if v == nil {
		return def
	}
	return v.text == "true"
}

// Int returns an integer from low to high, or def if it is absent or faulty.
func (t *Table) Int(name string, def, low, high int64) int64 {
	v := t.lookup(name, unstable.Integer, "an integer")
	if v == nil {
		return def
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(v.text, "_", ""), 0, 64)
	if err != nil || n < low || n > high {
		t.AddFaultf(name, "is %s, want %d to %d", v.text, low, high)
		return def
	}
	return n
}

// Float returns a number from low to high, or def if it is absent or faulty.
// An integer is accepted as a number.
func (t *Table) Float(name string, def, low, high float64) float64 {
	kind := unstable.Float
	if v := t.values[name]; v != nil && v.kind == unstable.Integer {
		kind = unstable.Integer
	}
	v := t.lookup(name, kind, "a number")
	if v == nil {
		return def
	}
	number, err := strconv.ParseFloat(strings.ReplaceAll(v.text, "_", ""), 64)
	if err != nil || math.IsNaN(number) || number < low || number > high {
		t.AddFaultf(name, "is %s, want %g to %g", v.text, low, high)
		return def
	}
	return number
}

// Strings returns an array of strings, or nil if it is absent or faulty.
func (t *Table) Strings(name string) []string {
	v := t.lookup(name, unstable.Array, "an array of strings")
	if v == nil {
		return nil
	}
	out := make([]string, 0, len(v.items))
	for i, item := range v.items {
		if item.kind != unstable.String {
			t.AddFaultf(name, "item %d is %s, want a string", i, kindName(item.kind))
			markRead(v)
			return nil
		}
		out = append(out, item.text)
	}
	return out
}

// Table returns a table. An absent or faulty one is returned as an empty
// table, so that the defaults of its keys apply.
func (t *Table) Table(name string) *Table {
	v := t.lookup(name, unstable.Table, "a table")
	if v == nil {
		return newTable(t.doc, position{t.joinPath(name), t.line, t.depth + 1})
	}
	return v.table
}

// Tables returns an array of tables, or nil if it is absent or faulty.
func (t *Table) Tables(name string) []*Table {
	v := t.lookup(name, unstable.Array, "an array of tables")
	if v == nil {
		return nil
	}
	out := make([]*Table, 0, len(v.items))
	for i, item := range v.items {
		if item.table == nil {
			t.AddFaultf(name, "item %d is %s, want a table", i, kindName(item.kind))
			markRead(v)
			return nil
		}
		out = append(out, item.table)
	}
	return out
}
