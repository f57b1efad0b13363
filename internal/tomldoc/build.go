package tomldoc

import (
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxDepth is the largest nesting depth of tables and arrays. Each table stores
// its full path, so the memory of the tree grows with the square of the depth.
const maxDepth = 16

// depthError is the error for a value that is nested more than maxDepth levels
// deep.
type depthError struct{ line int }

func (e depthError) Error() string {
	return fmt.Sprintf("tables and arrays are nested more than %d levels deep", maxDepth)
}

// builder builds the tree of tables and values from the expressions of the
// parser.
type builder struct {
	parser unstable.Parser
	doc    *Document
	// lineStarts holds the offset of the first byte of each line.
	lineStarts []int
}

// build fills the tree below the root. It does not detect every key or table
// that is defined twice; checkSyntax does.
func (d *Document) build(data []byte) error {
	b := &builder{doc: d, lineStarts: []int{0}}
	for i, c := range data {
		if c == '\n' {
			b.lineStarts = append(b.lineStarts, i+1)
		}
	}
	b.parser.Reset(data)
	current := d.root
	for b.parser.NextExpression() {
		node := b.parser.Expression()
		var err error
		switch node.Kind {
		case unstable.Table:
			current, err = b.openHeader(node.Key(), false)
		case unstable.ArrayTable:
			current, err = b.openHeader(node.Key(), true)
		case unstable.KeyValue:
			err = b.addKeyValue(current, node)
		}
		if err != nil {
			return err
		}
	}
	return b.parser.Error()
}

// lineOf returns the line number of a node, counted from 1.
func (b *builder) lineOf(node *unstable.Node) int {
	i, found := slices.BinarySearch(b.lineStarts, int(node.Raw.Offset))
	if found {
		return i + 1
	}
	return i
}

// openHeader returns the table that a "[key]" line opens or, if array is set, the
// table that a "[[key]]" line appends to its array.
func (b *builder) openHeader(key unstable.Iterator, array bool) (*Table, error) {
	table := b.doc.root
	for key.Next() {
		name, line := string(key.Node().Data), b.lineOf(key.Node())
		if table.depth >= maxDepth {
			return nil, depthError{line}
		}
		var err error
		if array && key.IsLast() {
			table, err = table.appendTable(name, line)
		} else {
			table, err = table.openTable(name, line)
		}
		if err != nil {
			return nil, err
		}
	}
	return table, nil
}

// addKeyValue adds a "key = value" expression to table. A dotted key opens the
// tables on its path.
func (b *builder) addKeyValue(table *Table, node *unstable.Node) error {
	key := node.Key()
	for key.Next() {
		name, line := string(key.Node().Data), b.lineOf(key.Node())
		if table.depth >= maxDepth {
			return depthError{line}
		}
		if key.IsLast() {
			value, err := b.buildValue(node.Value(), position{table.joinPath(name), line, table.depth + 1})
			if err != nil {
				return err
			}
			table.values[name] = value
			return nil
		}
		var err error
		if table, err = table.openTable(name, line); err != nil {
			return err
		}
	}
	return nil
}

// position is the key path, the line and the nesting depth of a value in the
// document.
type position struct {
	path  string
	line  int
	depth int
}

func (b *builder) buildValue(node *unstable.Node, pos position) (*value, error) {
	v := &value{kind: node.Kind, line: pos.line}
	switch node.Kind {
	case unstable.Array:
		return v, b.addItems(v, node, pos)
	case unstable.InlineTable:
		v.kind, v.table = unstable.Table, newTable(b.doc, pos)
		return v, b.addFields(v.table, node)
	default:
		v.text = string(node.Data)
		return v, nil
	}
}

// addItems adds the items of an array node to v.
func (b *builder) addItems(v *value, node *unstable.Node, pos position) error {
	if pos.depth >= maxDepth {
		return depthError{pos.line}
	}
	children := node.Children()
	for children.Next() {
		if children.Node().Kind == unstable.Comment {
			continue
		}
		itemPos := position{fmt.Sprintf("%s[%d]", pos.path, len(v.items)), pos.line, pos.depth + 1}
		item, err := b.buildValue(children.Node(), itemPos)
		if err != nil {
			return err
		}
		v.items = append(v.items, item)
	}
	return nil
}

// addFields adds the keys and values of an inline table node to table.
func (b *builder) addFields(table *Table, node *unstable.Node) error {
	children := node.Children()
	for children.Next() {
		if children.Node().Kind != unstable.KeyValue {
			continue
		}
		if err := b.addKeyValue(table, children.Node()); err != nil {
			return err
		}
	}
	return nil
}
