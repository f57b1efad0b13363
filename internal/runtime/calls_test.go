package runtime

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// pair starts an entry node and a gate node in front of a backend server.
func pair(t testing.TB, backend string) (entry *testNode, entryStep, gateStep *fakeStepper) {
	gateStep = &fakeStepper{backend: backend}
	gate := startNode(t, "gate", gateStep)
	entryStep = &fakeStepper{host: "gate", gate: gate.peer}
	return startNode(t, "entry", entryStep), entryStep, gateStep
}

// Guards against a request or an answer that changes on its way through two
// nodes, or that carries the headers of the hop between them.
func TestCallThroughTwoNodes(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 1)
	entry, entryStep, gateStep := pair(t, startBackend(t, func(ctx *fasthttp.RequestCtx) {
		seen <- string(ctx.Request.Header.Peek(mesh.HeaderInstance)) + string(ctx.Request.Header.Peek(mesh.HeaderRequestID)) +
			string(ctx.Request.Header.Peek(mesh.HeaderDepth))
		ctx.Response.Header.Set(mesh.HeaderOutcome, "not-run") // a backend server cannot state an outcome
		ctx.SetStatusCode(fasthttp.StatusTeapot)
		echoBody(ctx)
	}))
	a := post(t, entry.call, "/depot/x?a=%20b", "body", mesh.HeaderRequestID, "id", mesh.HeaderInstance, "forged")
	is.Equal(a.status, fasthttp.StatusTeapot)
	is.Equal(a.body, "POST /depot/x?a=%20b body")
	is.Equal(a.outcome, "answered")
	is.Equal(string(a.header.Peek(mesh.HeaderVersion)), "v1")
	is.Equal(<-seen, "id1")
	is.Equal(gateStep.gateResults(), []core.GateResult{core.GateAnswered})
	is.Equal(entryStep.attempts[0].Load, mesh.Load{Slots: 9, InUse: 1})
}

// Guards against the loopback hop for a target on the entry node's own host.
func TestLocalTargetSkipsHop(t *testing.T) {
	is := is.New(t)
	step := &fakeStepper{host: "h", gate: closedAddr(t), backend: startBackend(t, echoBody)}
	a := post(t, startNode(t, "h", step).call, "/x", "body")
	is.Equal(a.status, fasthttp.StatusOK)
	is.Equal(a.body, "POST /x body")
}

// Guards against "not run" for a request that a backend server read, and
// against "may have run" for one that no backend server can have seen.
func TestGateResults(t *testing.T) {
	shed := func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(mesh.HeaderOutcome, "not-run")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	failed := func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusServiceUnavailable) }
	for name, test := range map[string]struct {
		backend string
		result  core.GateResult
		outcome mesh.Outcome
	}{
		"lost":     {startCutter(t), core.GateLost, mesh.MayHaveRun},
		"not sent": {closedAddr(t), core.GateNotSent, mesh.NotRun},
		"shed":     {startBackend(t, shed), core.GateShed, mesh.NotRun},
		"failed":   {startBackend(t, failed), core.GateAnswered, mesh.Answered},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entry, entryStep, gateStep := pair(t, test.backend)
			a := post(t, entry.call, "/x", "")
			is.Equal(a.outcome, test.outcome.String())
			is.Equal(gateStep.gateResults(), []core.GateResult{test.result})
			is.Equal(entryStep.attempts[0].Outcome, test.outcome)
			is.Equal(entryStep.attempts[0].Failed, name == "failed")
		})
	}
}

// Guards against a gate that cannot be reached being reported as "may have run".
func TestUnreachableGate(t *testing.T) {
	is := is.New(t)
	a := post(t, startNode(t, "entry", &fakeStepper{host: "gate", gate: closedAddr(t)}).call, "/x", "")
	is.Equal(a.status, fasthttp.StatusServiceUnavailable)
	is.Equal(a.outcome, "not-run")
	is.Equal(a.reason, "connection-lost")
}

// Guards against an answer that reaches another caller when calls overlap and
// some answers come after their callers' deadline.
func TestAnswersReachTheirCallers(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	entry, _, _ := pair(t, startBackend(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == latePath {
			<-release
		}
		echoBody(ctx)
	}))
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for i := range 20 {
				if i%10 == 3 {
					is.Equal(post(t, entry.call, latePath, "late").outcome, "may-have-run")
					continue
				}
				body := fmt.Sprintf("%d-%d", worker, i)
				is.Equal(post(t, entry.call, "/x", body).body, "POST /x "+body)
			}
		})
	}
	wg.Wait()
	close(release)
	is.Equal(post(t, entry.call, "/x", "last").body, "POST /x last")
}

// Guards against a call that hangs, or ends as "not run", when the reducer
// names it only in a later step.
func TestEffectOfLaterStep(t *testing.T) {
	is := is.New(t)
	var waiting mesh.CallID
	step := &fakeStepper{}
	step.on = func(ev *core.Event, out *core.Ready) bool {
		switch {
		case ev.Kind == core.KindCallArrived:
			waiting = ev.Call.Call
		case ev.Kind == core.KindTick && waiting != 0:
			out.Calls = append(out.Calls, core.CallEffect{
				Call: waiting, Action: core.CallReject, Outcome: mesh.MayHaveRun, Reason: mesh.ReasonDuplicate,
			})
			waiting = 0
		}
		return ev.Kind != core.KindDrain
	}
	a := post(t, startNode(t, "entry", step).call, "/x", "")
	is.Equal(a.status, fasthttp.StatusBadGateway)
	is.Equal(a.reason, "duplicate")
}

// Guards against a panic or a malformed request that ends the process or leaks
// a slot of the gate.
func TestPanicAndBadRequests(t *testing.T) {
	is := is.New(t)
	step := &fakeStepper{host: "h", backend: startBackend(t, echoBody)}
	step.on = func(ev *core.Event, _ *core.Ready) bool {
		if ev.Kind == core.KindCallArrived && string(ev.Call.Path) == "/panic" {
			panic("test")
		}
		return false
	}
	n := startNode(t, "h", step)
	a := post(t, n.call, "/panic", "", mesh.HeaderDeadline, "1")
	is.True(a.outcome != "answered")
	is.Equal(post(t, n.call, "/x", "", mesh.HeaderDeadline, "soon").reason, "bad-request")
	is.Equal(post(t, n.peer, "/forward/x", "", mesh.HeaderDeadline, "-1").reason, "bad-request")
	is.Equal(post(t, n.peer, "/announce", "{").status, fasthttp.StatusBadRequest)
	is.Equal(post(t, n.peer, "/other", "").reason, "bad-request")
	is.Equal(post(t, n.call, "/x", "body").body, "POST /x body")
	is.Equal(n.opts.Metrics.Panics.Load(), int64(1))
}

// Guards against a graceful shutdown that cuts a call in progress.
func TestShutdownCutsNoCall(t *testing.T) {
	is := is.New(t)
	const calls = 16
	arrived, release := make(chan struct{}, calls), make(chan struct{})
	step := &fakeStepper{host: "h", backend: startBackend(t, func(ctx *fasthttp.RequestCtx) {
		arrived <- struct{}{}
		<-release
		echoBody(ctx)
	})}
	draining := make(chan struct{})
	step.on = func(ev *core.Event, _ *core.Ready) bool {
		if ev.Kind == core.KindDrain {
			close(draining)
		}
		return false
	}
	n := startNode(t, "h", step)
	answers := make(chan answer, calls)
	for range calls {
		go func() { answers <- post(t, n.call, "/x", "body") }()
	}
	for range calls {
		<-arrived
	}
	n.stop()
	<-draining
	close(release)
	for range calls {
		is.Equal((<-answers).body, "POST /x body")
	}
	is.NoErr(<-n.stopped)
}

// Guards against requests in unusual but valid forms that a hop rejects, hangs
// on or answers in the wrong frame.
func TestRequestForms(t *testing.T) {
	entry, _, _ := pair(t, startBackend(t, echoBody))
	for name, test := range map[string]struct{ request, method, body string }{
		"HTTP/1.0 without host": {"GET /x HTTP/1.0\r\n\r\n", "GET", "GET /x "},
		"chunked":               {"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "POST", "POST /x abc"},
		"HEAD":                  {"HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n", "HEAD", ""},
		"connection close":      {"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "GET", "GET /x "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp := exchange(t, entry.call, test.request, test.method == "HEAD")
			is.Equal(resp.StatusCode(), fasthttp.StatusOK)
			is.Equal(string(resp.Body()), test.body)
			is.Equal(string(resp.Header.Peek(mesh.HeaderOutcome)), "answered")
		})
	}
	is := is.New(t)
	large := exchange(t, entry.call, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999\r\n\r\n", false)
	is.Equal(large.StatusCode(), fasthttp.StatusRequestEntityTooLarge)
	is.Equal(string(large.Header.Peek(mesh.HeaderOutcome)), "not-run")
}

// exchange writes a raw request and reads the answer.
func exchange(t *testing.T, addr, request string, head bool) *fasthttp.Response {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	resp := &fasthttp.Response{SkipBody: head}
	if _, err = c.Write([]byte(request)); err == nil {
		err = resp.Read(bufio.NewReader(c))
	}
	if err != nil {
		t.Fatal(err)
	}
	return resp
}
