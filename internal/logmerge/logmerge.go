// Package logmerge merges the structured logs of many processes in time order.
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

// maxLineBytes bounds the length of a log line. Merge fails on a longer line.
const maxLineBytes = 1 << 20

// Filter selects lines. An empty field matches all lines.
type Filter struct {
	// Request is the ID of a client's request.
	Request string
	// Kind is a prefix of a line's kind, such as "rollout.".
	Kind string
	// Host is the host that wrote the line.
	Host string
}

// line holds a log line and the fields by which lines are ordered and selected.
type line struct {
	Time    time.Time `json:"time"`
	Kind    string    `json:"msg"`
	Host    string    `json:"host"`
	Request string    `json:"request"`
	// Call is the number of the request at its entry node, zero for none.
	Call uint64 `json:"call"`
	text []byte
}

// callKey identifies a request by its entry node and its call number there. Call
// numbers of different nodes may be equal.
type callKey struct {
	host string
	call uint64
}

// Merge writes the selected lines of all logs in the order of their times and
// returns the number of lines that it skipped because they are not JSON with a
// time. If f.Request is set, it selects the lines with that request ID and also the
// lines without it that the request's entry nodes wrote about the same calls.
func Merge(w io.Writer, f Filter, logs ...io.Reader) (skipped int, err error) {
	var lines []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l := line{text: bytes.Clone(scanner.Bytes())}
			if json.Unmarshal(l.text, &l) != nil || l.Time.IsZero() {
				skipped++ // for example a line of a panic's stack trace
				continue
			}
			lines = append(lines, l)
		}
		if err := scanner.Err(); err != nil {
			return skipped, err
		}
	}
	calls := make(map[callKey]bool)
	for _, l := range lines {
		if f.Request != "" && l.Request == f.Request && l.Call != 0 {
			calls[callKey{l.Host, l.Call}] = true
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host)) })
	for _, l := range lines {
		if !f.matches(&l, calls) {
			continue
		}
		if _, err := w.Write(append(l.text, '\n')); err != nil {
			return skipped, err
		}
	}
	return skipped, nil
}

// matches reports whether the filter selects l. calls holds the calls that belong
// to f.Request.
func (f *Filter) matches(l *line, calls map[callKey]bool) bool {
	matchesRequest := f.Request == "" || l.Request == f.Request || l.Call != 0 && calls[callKey{l.Host, l.Call}]
	return matchesRequest && strings.HasPrefix(l.Kind, f.Kind) && (f.Host == "" || l.Host == f.Host)
}
