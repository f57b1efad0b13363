package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/backend/echo"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown(); <-done })
	return l.Addr().String()
}

func answer(ctx *fasthttp.RequestCtx) {
	answerTo(ctx, ctx.Request.Header.Peek(mesh.HeaderRequestID))
}

func answerTo(ctx *fasthttp.RequestCtx, id []byte) {
	body, err := json.Marshal(echo.Answer{Digest: echo.Digest(ctx.Method(), ctx.RequestURI(), id, ctx.PostBody())})
	if err != nil {
		panic(err)
	}
	ctx.SetBody(body)
	ctx.Response.Header.Set(mesh.HeaderOutcome, "answered")
}

func testSettings(targets ...string) *settings.LoadGenerator {
	return &settings.LoadGenerator{
		Targets: targets, FailureDomain: "ifrane", RatePerSecond: 500, Duration: 200 * time.Millisecond,
		Timeout: 5 * time.Second, MaxInFlight: 100, Connections: 100,
		Requests: []settings.LoadRequest{
			{Name: "read", Method: "GET", Path: "/read", Weight: 3, Identity: true},
			{Name: "write", Method: "POST", Path: "/write", BodyBytes: 64, Weight: 1, Identity: true, ResendShare: 0.5},
		},
	}
}

// Guards against a run that counts answers it did not get, or resends under a
// new identity.
func TestPairedRun(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	seen := map[string]int{}
	node := func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		id := string(ctx.Request.Header.Peek(mesh.HeaderRequestID))
		seen[id]++
		again := seen[id] > 1
		mu.Unlock()
		if answer(ctx); again {
			ctx.Response.Header.Set(mesh.HeaderOutcome, "may-have-run")
		}
	}
	o := testSettings(serve(t, node), serve(t, node))
	o.Direct = serve(t, answer)
	r, err := Run(context.Background(), o)
	is.NoErr(err)
	var direct, answered int64
	for i := range o.Requests {
		direct += r.Direct[i].Counts.Answered
		answered += r.Nodes[i].Counts.Answered
	}
	is.Equal(direct, int64(100))
	is.Equal(answered, int64(100))
	is.True(r.Resent > 0)
	is.Equal(r.Nodes[1].Counts.MayHaveRun, r.Resent)
	is.Equal(r.AnsweredTwice, int64(0))
	is.Equal(len(seen), 100)
	is.True(r.AddedP99 != nil)
	for id := range seen {
		is.True(strings.HasPrefix(id, "ifrane."))
	}
	var svg bytes.Buffer
	is.NoErr(r.WriteSVG(&svg))
	is.True(strings.Contains(svg.String(), "<svg"))
}

// Guards against a crossed answer that passes for a good one.
func TestWrongAnswersAreCounted(t *testing.T) {
	is := is.New(t)
	o := testSettings(serve(t, func(ctx *fasthttp.RequestCtx) {
		answerTo(ctx, []byte("ifrane.other"))
	}))
	r, err := Run(context.Background(), o)
	is.NoErr(err)
	is.True(r.Nodes[0].Counts.Sent > 0)
	is.Equal(r.Wrong(), r.Nodes[0].Counts.Sent+r.Nodes[1].Counts.Sent)
	is.Equal(r.Nodes[0].Counts.Answered, int64(0))
}

// Guards against a closed loop: slow answers must not lower the rate, and calls
// above the limit must be counted.
func TestOpenLoop(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	o := testSettings(serve(t, func(ctx *fasthttp.RequestCtx) { <-release; answer(ctx) }))
	o.MaxInFlight = 10
	o.Requests = o.Requests[:1]
	timer := time.AfterFunc(o.Duration+100*time.Millisecond, func() { close(release) })
	defer timer.Stop()
	r, err := Run(context.Background(), o)
	is.NoErr(err)
	is.Equal(r.Nodes[0].Counts.Answered, int64(10))
	is.Equal(r.Dropped, int64(90))
}

// Guards against a warm-up that is part of the report, or that is not sent.
func TestWarmupIsLeftOut(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	o := testSettings(serve(t, func(ctx *fasthttp.RequestCtx) { received.Add(1); answer(ctx) }))
	o.Warmup = o.Duration / 2
	o.Requests = o.Requests[:1]
	r, err := Run(context.Background(), o)
	is.NoErr(err)
	is.Equal(received.Load(), int64(100))
	is.Equal(r.Nodes[0].Counts.Sent, int64(50))
}
