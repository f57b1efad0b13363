package sidecar

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/upstream"
)

// Guards against operators who can't see how well work is predicted, how long the gate
// expects requests to wait, and how much time refused requests had left.
func TestPredictedWorkIsExported(t *testing.T) {
	is := is.New(t)
	for _, workAware := range []bool{true, false} {
		n, err := New(Settings{Host: "a", WorkAware: workAware}, namedHeaders{}, NewLog(io.Discard))
		is.NoErr(err)
		n.metrics.work.recordRun(100*time.Millisecond, &gateAnswer{outcome: mesh.Answered, duration: 150 * time.Millisecond, response: &upstream.Response{Status: 200}})
		n.metrics.work.recordRun(0, &gateAnswer{outcome: mesh.Answered, response: &upstream.Response{Status: 200}}) // without a prediction
		n.metrics.work.recordRefusal(mesh.ReasonDeadline, -time.Second)
		families, err := n.metrics.registry.Gather()
		is.NoErr(err)
		var text strings.Builder
		for _, f := range families {
			text.WriteString(f.String())
		}
		for _, name := range []string{`"chicory_work_predicted_seconds"`, `"chicory_work_ratio"`, `"chicory_gate_refused_seconds"`} {
			is.True(strings.Contains(text.String(), name))
		}
		is.True(strings.Contains(text.String(), "sample_sum:1.5"))
		is.Equal(strings.Contains(text.String(), `"chicory_gate_starts_in_seconds"`), workAware)
		is.Equal(strings.Contains(text.String(), `"chicory_gate_backlog_seconds"`), workAware)
	}
}
