package tomldoc

import (
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxDepth bounds the nesting of tables and arrays. The tree holds the path of
// each table, so its size grows with the square of the depth.
const maxDepth = 16

// depthError reports a value that is nested too deeply.
type depthError struct{ line int }

func (e depthError) Error() string {
	return fmt.Sprintf("tables and arrays are nested more than %d levels deep", maxDepth)
}

// builder turns the parser's expressions into a tree of tables and values.
type builder struct {
	parser unstable.Parser
	doc    *Document
	// lineStarts holds the offset of each line's first byte.
	lineStarts []int
}

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
			current, err = b.header(node.Key(), false)
		case unstable.ArrayTable:
			current, err = b.header(node.Key(), true)
		case unstable.KeyValue:
			err = b.keyValue(current, node)
		}
		if err != nil {
			return err
		}
	}
	return b.parser.Error()
}

func (b *builder) line(node *unstable.Node) int {
	i, found := slices.BinarySearch(b.lineStarts, int(node.Raw.Offset))
	if found {
		return i + 1
	}
	return i
}

// header returns the table that a "[key]" or "[[key]]" line opens.
func (b *builder) header(key unstable.Iterator, array bool) (*Table, error) {
	table := b.doc.root
	for key.Next() {
		name, line := string(key.Node().Data), b.line(key.Node())
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

func (b *builder) keyValue(table *Table, node *unstable.Node) error {
	key := node.Key()
	for key.Next() {
		name, line := string(key.Node().Data), b.line(key.Node())
		if table.depth >= maxDepth {
			return depthError{line}
		}
		if key.IsLast() {
			value, err := b.value(node.Value(), place{table.join(name), line, table.depth + 1})
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

// place is where a value stands in the document.
type place struct {
	path  string
	line  int
	depth int
}

func (b *builder) value(node *unstable.Node, at place) (*value, error) {
	v := &value{kind: node.Kind, line: at.line}
	switch node.Kind {
	case unstable.Array:
		return v, b.items(v, node, at)
	case unstable.InlineTable:
		v.kind, v.table = unstable.Table, newTable(b.doc, at)
		return v, b.fields(v.table, node)
	default:
		v.text = string(node.Data)
		return v, nil
	}
}

func (b *builder) items(v *value, node *unstable.Node, at place) error {
	if at.depth >= maxDepth {
		return depthError{at.line}
	}
	children := node.Children()
	for children.Next() {
		if children.Node().Kind == unstable.Comment {
			continue
		}
		inner := place{fmt.Sprintf("%s[%d]", at.path, len(v.items)), at.line, at.depth + 1}
		item, err := b.value(children.Node(), inner)
		if err != nil {
			return err
		}
		v.items = append(v.items, item)
	}
	return nil
}

func (b *builder) fields(table *Table, node *unstable.Node) error {
	children := node.Children()
	for children.Next() {
		if children.Node().Kind != unstable.KeyValue {
			continue
		}
		if err := b.keyValue(table, children.Node()); err != nil {
			return err
		}
	}
	return nil
}
