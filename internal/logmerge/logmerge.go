// Package logmerge merges the structured logs of many processes into one time
// line.
package logmerge

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Filter selects lines. Empty fields select all.
type Filter struct {
	// Request is the identity of a client's request.
	Request string
	// Kind is the start of a line's kind, such as "rollout.".
	Kind string
	// Host is the host that has written the line.
	Host string
}

// line is what orders and selects a line.
type line struct {
	Time    time.Time `json:"time"`
	Kind    string    `json:"msg"`
	Host    string    `json:"host"`
	Request string    `json:"request"`
	Call    uint64    `json:"call"`
	text    []byte
}

// callOf names a request by its number at its entry node.
type callOf struct {
	host string
	call uint64
}

// Merge writes the selected lines of all logs in the order of their times and
// returns the number of lines that could not be read. A request selects the lines
// with its identity and those that its entry nodes wrote about the same calls.
func Merge(w io.Writer, f Filter, logs ...io.Reader) (unread int, err error) {
	var lines []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l := line{text: bytes.Clone(scanner.Bytes())}
			if json.Unmarshal(l.text, &l) != nil || l.Time.IsZero() {
				unread++ // such as the output of a panic
				continue
			}
			lines = append(lines, l)
		}
		if err := scanner.Err(); err != nil {
			return unread, err
		}
	}
	calls := make(map[callOf]bool)
	for _, l := range lines {
		if f.Request != "" && l.Request == f.Request && l.Call != 0 {
			calls[callOf{l.Host, l.Call}] = true
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host)) })
	for _, l := range lines {
		if !f.selects(&l, calls) {
			continue
		}
		if _, err := w.Write(append(l.text, '\n')); err != nil {
			return unread, err
		}
	}
	return unread, nil
}

func (f *Filter) selects(l *line, calls map[callOf]bool) bool {
	ofRequest := f.Request == "" || l.Request == f.Request || l.Call != 0 && calls[callOf{l.Host, l.Call}]
	return ofRequest && strings.HasPrefix(l.Kind, f.Kind) && (f.Host == "" || l.Host == f.Host)
}
