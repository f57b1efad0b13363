package logmerge

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// entryLog is the log of entry node a, gateLog that of node b, whose gate rejected
// request r1. The last line of entryLog is not JSON.
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

// mergedKinds merges both logs and returns the kinds of the selected lines,
// separated by spaces.
func mergedKinds(t *testing.T, f Filter) string {
	t.Helper()
	var out strings.Builder
	skipped, err := Merge(&out, f, strings.NewReader(entryLog), strings.NewReader(gateLog))
	if err != nil || skipped != 1 {
		t.Fatal(skipped, err)
	}
	var kinds []string
	for text := range strings.Lines(out.String()) {
		_, rest, _ := strings.Cut(text, `"msg":"`)
		kind, _, _ := strings.Cut(rest, `"`)
		kinds = append(kinds, kind)
	}
	return strings.Join(kinds, " ")
}

// Guards against a merged log that lacks the lines about a request that do not
// contain its ID, and against one that includes the lines about another node's
// call with the same call number.
func TestMergeFollowsARequest(t *testing.T) {
	is := is.New(t)
	is.Equal(mergedKinds(t, Filter{}), "gate.rejected call.rejected call.rejected call.done call.done")
	is.Equal(mergedKinds(t, Filter{Request: "r1"}), "gate.rejected call.rejected call.done")
	is.Equal(mergedKinds(t, Filter{Kind: "gate."}), "gate.rejected")
	is.Equal(mergedKinds(t, Filter{Host: "b"}), "gate.rejected call.rejected")
}
