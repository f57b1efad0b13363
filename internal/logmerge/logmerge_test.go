package logmerge

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	entryLog = `{"time":"2026-01-01T00:00:00.1Z","msg":"call.rejected","host":"a","call":7}
{"time":"2026-01-01T00:00:00.2Z","msg":"call.done","host":"a","call":7,"request":"r1"}
{"time":"2026-01-01T00:00:00.3Z","msg":"call.done","host":"a","call":8,"request":"r2"}
goroutine 1 [running]:
`
	gateLog = `{"time":"2026-01-01T00:00:00.05Z","msg":"gate.rejected","host":"b","gate_call":7,"request":"r1"}
{"time":"2026-01-01T00:00:00.15Z","msg":"call.rejected","host":"b","call":7}
`
)

func merged(t *testing.T, f Filter) string {
	t.Helper()
	var out strings.Builder
	unread, err := Merge(&out, f, strings.NewReader(entryLog), strings.NewReader(gateLog))
	if err != nil || unread != 1 {
		t.Fatal(unread, err)
	}
	var kinds []string
	for text := range strings.Lines(out.String()) {
		_, rest, _ := strings.Cut(text, `"msg":"`)
		kind, _, _ := strings.Cut(rest, `"`)
		kinds = append(kinds, kind)
	}
	return strings.Join(kinds, " ")
}

// Guards against a time line that misses lines about a request that do not bear
// its identity, or that takes those of another node's call of the same number.
func TestMergeFollowsARequest(t *testing.T) {
	is := is.New(t)
	is.Equal(merged(t, Filter{}), "gate.rejected call.rejected call.rejected call.done call.done")
	is.Equal(merged(t, Filter{Request: "r1"}), "gate.rejected call.rejected call.done")
	is.Equal(merged(t, Filter{Kind: "gate."}), "gate.rejected")
	is.Equal(merged(t, Filter{Host: "b"}), "gate.rejected call.rejected")
}
