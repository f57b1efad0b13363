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

func startServer(t *testing.T, handler fasthttp.RequestHandler) string {
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

func answerRequest(ctx *fasthttp.RequestCtx) {
	answerForIdentity(ctx, ctx.Request.Header.Peek(mesh.HeaderRequestID))
}

func answerForIdentity(ctx *fasthttp.RequestCtx, id []byte) {
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

// Guards against a paired run that counts answers it did not receive, and against
// second sends under a new identity.
func TestPairedRun(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	sendsByIdentity := map[string]int{}
	node := func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		id := string(ctx.Request.Header.Peek(mesh.HeaderRequestID))
		sendsByIdentity[id]++
		repeated := sendsByIdentity[id] > 1
		mu.Unlock()
		if answerRequest(ctx); repeated {
			ctx.Response.Header.Set(mesh.HeaderOutcome, "may-have-run")
		}
	}
	config := testSettings(startServer(t, node), startServer(t, node))
	config.Direct = startServer(t, answerRequest)
	r, err := Run(context.Background(), config)
	is.NoErr(err)
	var direct, answered int64
	for i := range config.Requests {
		direct += r.Direct[i].Counts.Answered
		answered += r.Nodes[i].Counts.Answered
	}
	is.Equal(direct, int64(100))
	is.Equal(answered, int64(100))
	is.True(r.Resent > 0)
	is.Equal(r.Nodes[1].Counts.MayHaveRun, r.Resent)
	is.Equal(r.AnsweredTwice, int64(0))
	is.Equal(len(sendsByIdentity), 100)
	is.True(r.AddedP99 != nil)
	for id := range sendsByIdentity {
		is.True(strings.HasPrefix(id, "ifrane."))
	}
	var svg bytes.Buffer
	is.NoErr(r.WriteSVG(&svg))
	is.True(strings.Contains(svg.String(), "<svg"))
}

// Guards against an answer to another request that is counted as answered.
func TestWrongAnswersAreCounted(t *testing.T) {
	is := is.New(t)
	config := testSettings(startServer(t, func(ctx *fasthttp.RequestCtx) {
		answerForIdentity(ctx, []byte("ifrane.other"))
	}))
	r, err := Run(context.Background(), config)
	is.NoErr(err)
	is.True(r.Nodes[0].Counts.Sent > 0)
	is.Equal(r.Wrong(), r.Nodes[0].Counts.Sent+r.Nodes[1].Counts.Sent)
	is.Equal(r.Nodes[0].Counts.Answered, int64(0))
}

// Guards against a generator that waits for slow answers and so lowers its rate,
// and against calls above MaxInFlight that are not counted as dropped.
func TestOpenLoop(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	config := testSettings(startServer(t, func(ctx *fasthttp.RequestCtx) { <-release; answerRequest(ctx) }))
	config.MaxInFlight = 10
	config.Requests = config.Requests[:1]
	timer := time.AfterFunc(config.Duration+100*time.Millisecond, func() { close(release) })
	defer timer.Stop()
	r, err := Run(context.Background(), config)
	is.NoErr(err)
	is.Equal(r.Nodes[0].Counts.Answered, int64(10))
	is.Equal(r.Dropped, int64(90))
}

// Guards against warm-up calls that are counted in the report or not sent.
func TestWarmupIsExcludedFromReport(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	config := testSettings(startServer(t, func(ctx *fasthttp.RequestCtx) { received.Add(1); answerRequest(ctx) }))
	config.Warmup = config.Duration / 2
	config.Requests = config.Requests[:1]
	r, err := Run(context.Background(), config)
	is.NoErr(err)
	is.Equal(received.Load(), int64(100))
	is.Equal(r.Nodes[0].Counts.Sent, int64(50))
}
