// Package tomldoc reads TOML documents strictly and reports all faults of a
// document together, each with file, line, key and reason.
//
// With a decoder that stops at the first fault, an operator needs one run per
// fault to correct a file. Here the caller reads typed values from a tree. A
// value of the wrong type or out of range is recorded as a fault and replaced by
// its default, and so is a required value that is missing. Finish reports the
// keys that were never read as unknown.
package tomldoc

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	toml "github.com/pelletier/go-toml/v2"
)

// MaxBytes is the largest size of a document, in bytes.
const MaxBytes = 2 << 20

// Document is a parsed TOML document and the faults found in it so far.
type Document struct {
	file   string
	root   *Table
	faults Faults
	// faultKeys holds the key of each recorded fault.
	faultKeys map[string]bool
}

// Parse reads a document. The error is of type Faults. For a syntax error it
// holds only the first one, since the text after it cannot be read reliably.
func Parse(file string, data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		reason := fmt.Sprintf("document has %d bytes, the limit is %d", len(data), MaxBytes)
		return nil, Faults{{File: file, Reason: reason}}
	}
	doc := &Document{file: file, faultKeys: map[string]bool{}}
	doc.root = newTable(doc, position{line: 1})
	buildErr := doc.build(data)
	if tooDeep := (depthError{}); errors.As(buildErr, &tooDeep) {
		return nil, Faults{{File: file, Line: tooDeep.line, Reason: tooDeep.Error()}}
	}
	if err := checkSyntax(file, data); err != nil {
		return nil, err
	}
	if buildErr != nil {
		return nil, Faults{{File: file, Reason: buildErr.Error()}}
	}
	return doc, nil
}

// checkSyntax reports a syntax error with its line. It also detects keys and
// tables that are defined twice, which the parser that builds the tree does not.
func checkSyntax(file string, data []byte) error {
	var values map[string]any
	err := toml.Unmarshal(data, &values)
	if err == nil {
		return nil
	}
	fault := Fault{File: file, Reason: err.Error()}
	if decodeErr := new(toml.DecodeError); errors.As(err, &decodeErr) {
		fault.Line, _ = decodeErr.Position()
	}
	return Faults{fault}
}

// Root returns the top-level table.
func (d *Document) Root() *Table { return d.root }

// AddFault records a fault of the value at the key path key. If the value is
// absent, the fault gets the line of the innermost enclosing table that exists.
func (d *Document) AddFault(key, reason string) {
	d.addFault(d.root.lineOf(key), key, reason)
}

func (d *Document) addFault(line int, key, reason string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: key, Reason: reason})
	d.faultKeys[key] = true
}

// HasFault reports whether a fault has been recorded for the key path key.
func (d *Document) HasFault(key string) bool { return d.faultKeys[key] }

// Finish records a fault for each key that was never read and returns all faults
// in the order of their lines.
func (d *Document) Finish() Faults {
	d.root.reportUnknownKeys()
	slices.SortStableFunc(d.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return d.faults
}
