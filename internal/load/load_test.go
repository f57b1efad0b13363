package load

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
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

func echo(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(mesh.HeaderRequestID, ctx.Request.Header.Peek(mesh.HeaderRequestID))
	ctx.Response.Header.Set(HeaderDigest, Digest(ctx.PostBody()))
	ctx.Response.Header.Set(mesh.HeaderOutcome, "answered")
}

func options(nodes ...string) *Options {
	return &Options{
		Nodes: nodes, Domain: "ifrane", Rate: 500, Duration: 200 * time.Millisecond, Timeout: 5 * time.Second, MaxInFlight: 100,
		Classes: []ClassSpec{
			{Name: "read", Method: "GET", Path: "/read", Weight: 3},
			{Name: "write", Method: "POST", Path: "/write", BodyBytes: 64, Weight: 1, ResendShare: 0.5},
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
		if echo(ctx); again {
			ctx.Response.Header.Set(mesh.HeaderOutcome, "may-have-run")
		}
	}
	o := options(serve(t, node), serve(t, node))
	o.Direct = serve(t, echo)
	r, err := Run(context.Background(), o)
	is.NoErr(err)
	var direct, answered int64
	for i := range o.Classes {
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
	o := options(serve(t, func(ctx *fasthttp.RequestCtx) {
		echo(ctx)
		ctx.Response.Header.Set(mesh.HeaderRequestID, "ifrane.other")
	}))
	r, err := Run(context.Background(), o)
	is.NoErr(err)
	is.Equal(r.Nodes[0].Counts.Wrong, r.Nodes[0].Counts.Sent)
	is.Equal(r.Nodes[0].Counts.Answered, int64(0))
}

// Guards against a closed loop: slow answers must not lower the rate, and calls
// above the limit must be counted.
func TestOpenLoop(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	o := options(serve(t, func(ctx *fasthttp.RequestCtx) { <-release; echo(ctx) }))
	o.MaxInFlight = 10
	o.Classes = o.Classes[:1]
	timer := time.AfterFunc(o.Duration+100*time.Millisecond, func() { close(release) })
	defer timer.Stop()
	r, err := Run(context.Background(), o)
	is.NoErr(err)
	is.Equal(r.Nodes[0].Counts.Answered, int64(10))
	is.Equal(r.Dropped, int64(90))
}

// Guards against options that are reported one fault at a time.
func TestCheckReportsAllFaults(t *testing.T) {
	is := is.New(t)
	o := options("host:1")
	o.Rate, o.Classes[0].Path = -1, "x"
	err := o.Check()
	is.True(err != nil)
	is.Equal(strings.Count(err.Error(), "\n"), 2)
}
