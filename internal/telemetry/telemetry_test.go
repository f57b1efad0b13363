package telemetry

import (
	"bytes"
	"context"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/connpool"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// scrape returns the body of GET /metrics.
func scrape(t *testing.T, e *Exporter) string {
	t.Helper()
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI("/metrics")
	e.Handler()(&ctx)
	if ctx.Response.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("status %d: %s", ctx.Response.StatusCode(), ctx.Response.Body())
	}
	return string(ctx.Response.Body())
}

// Guards against counters that are not exported or are exported under a wrong
// label, and against a documentation table that lacks a metric.
func TestScrapeAndDocumentation(t *testing.T) {
	is := is.New(t)
	m := new(Metrics)
	m.CallDone(mesh.NotRun, mesh.ReasonOverload)
	m.CallDone(200, 200) // out of range: must be counted without a panic
	m.GateDone(3)
	m.ControlBytes(Sent, CauseDeliver, 42)
	e, err := NewExporter(m, map[string]*connpool.Counters{"peer": {}}, func() ReducerState {
		return ReducerState{Counters: core.Counters{Retries: 7}, Applied: 3}
	})
	is.NoErr(err)
	defer func() { is.NoErr(e.Close(context.Background())) }()
	text := scrape(t, e)
	for _, line := range []string{
		`chicory_calls_total{outcome="not-run",reason="overload"} 1`,
		`chicory_gate_calls_total{result="lost"} 1`,
		`chicory_control_bytes_total{cause="deliver",direction="sent"} 42`,
		`chicory_retries_total 7`,
		`chicory_config_applied 3`,
	} {
		is.True(strings.Contains(text, line)) // line is exported
	}
	doc, err := os.ReadFile("../../docs/operators/metrics.md")
	is.NoErr(err)
	for _, match := range regexp.MustCompile(`(?m)^# TYPE (\S+)`).FindAllStringSubmatch(text, -1) {
		if !bytes.Contains(doc, []byte("`"+match[1]+"`")) {
			t.Errorf("%s is not documented", match[1])
		}
	}
}
