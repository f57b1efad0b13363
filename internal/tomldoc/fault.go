package tomldoc

import (
	"strconv"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	// File and Line locate the fault. They are empty and zero for values that
	// were not read from a file.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Key is the path of the value, such as "routes[2].service".
	Key string `json:"key"`
	// Reason says what is wrong with the value.
	Reason string `json:"reason"`
}

// String returns the fault as "file:line: key: reason".
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		b.WriteString(strconv.Itoa(f.Line) + ":")
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Reason)
	return b.String()
}

// Faults lists all faults of a document. AsError returns it as an error if it is
// not empty.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// AsError returns f as an error, or nil if f is empty.
func (f Faults) AsError() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
