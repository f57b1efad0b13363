// Package tomldoc reads TOML documents strictly and reports all faults of a
// document together, each with file, line, key and reason.
//
// A decoder that stops at the first fault makes an operator repair a file one
// run at a time. Here the caller reads typed values from a tree; a value that
// is missing, of the wrong type or out of range is recorded and replaced by
// its default, and keys that were never read are reported at the end.
package tomldoc

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	toml "github.com/pelletier/go-toml/v2"
)

// MaxBytes is the largest document that is read, in bytes.
const MaxBytes = 2 << 20

// Document is a parsed TOML document and the faults found in it so far.
type Document struct {
	file   string
	root   *Table
	faults Faults
	// faulty holds the keys of faults.
	faulty map[string]bool
}

// Parse reads a document. The error is of type Faults and holds the first
// syntax error, since what follows it cannot be read reliably.
func Parse(file string, data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		reason := fmt.Sprintf("document has %d bytes, the limit is %d", len(data), MaxBytes)
		return nil, Faults{{File: file, Reason: reason}}
	}
	doc := &Document{file: file, faulty: map[string]bool{}}
	doc.root = newTable(doc, place{line: 1})
	buildErr := doc.build(data)
	if deep := (depthError{}); errors.As(buildErr, &deep) {
		return nil, Faults{{File: file, Line: deep.line, Reason: deep.Error()}}
	}
	if err := checkSyntax(file, data); err != nil {
		return nil, err
	}
	if buildErr != nil {
		return nil, Faults{{File: file, Reason: buildErr.Error()}}
	}
	return doc, nil
}

// checkSyntax also finds keys and tables that are defined twice.
func checkSyntax(file string, data []byte) error {
	var values map[string]any
	err := toml.Unmarshal(data, &values)
	if err == nil {
		return nil
	}
	fault := Fault{File: file, Reason: err.Error()}
	if at := new(toml.DecodeError); errors.As(err, &at) {
		fault.Line, _ = at.Position()
	}
	return Faults{fault}
}

// Root returns the top-level table.
func (d *Document) Root() *Table { return d.root }

// Add records a fault at the line of key, or at the line of the innermost
// table on the way to it if the key itself is absent.
func (d *Document) Add(key, reason string) {
	d.add(d.root.lineOf(key), key, reason)
}

func (d *Document) add(line int, key, reason string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: key, Reason: reason})
	d.faulty[key] = true
}

// HasFault reports whether a fault of key has been recorded.
func (d *Document) HasFault(key string) bool { return d.faulty[key] }

// Finish reports the keys that were never read and returns all faults in the
// order of their lines.
func (d *Document) Finish() Faults {
	d.root.reportUnread()
	slices.SortStableFunc(d.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return d.faults
}
