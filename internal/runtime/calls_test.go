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

// startNodePair starts an entry node and a gate node in front of a backend
// server. It returns the entry node and the reducers of both.
func startNodePair(t testing.TB, backend string) (entry *testNode, entryStep, gateStep *fakeStepper) {
	gateStep = &fakeStepper{backendAddr: backend}
	gate := startNode(t, "gate", gateStep)
	entryStep = &fakeStepper{targetHost: "gate", gateAddr: gate.peerAddr}
	return startNode(t, "entry", entryStep), entryStep, gateStep
}

// Guards against a request or a response that is changed on its way through two
// nodes, or that carries headers that nodes use between themselves.
func TestCallThroughTwoNodes(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 1)
	entry, entryStep, gateStep := startNodePair(t, startBackend(t, func(ctx *fasthttp.RequestCtx) {
		seen <- string(ctx.Request.Header.Peek(mesh.HeaderInstance)) + string(ctx.Request.Header.Peek(mesh.HeaderRequestID)) +
			string(ctx.Request.Header.Peek(mesh.HeaderDepth))
		ctx.Response.Header.Set(mesh.HeaderOutcome, "not-run") // a backend server cannot state an outcome
		ctx.SetStatusCode(fasthttp.StatusTeapot)
		echoBody(ctx)
	}))
	resp := post(t, entry.callAddr, "/depot/x?a=%20b", "body", mesh.HeaderRequestID, "id", mesh.HeaderInstance, "forged")
	is.Equal(resp.status, fasthttp.StatusTeapot)
	is.Equal(resp.body, "POST /depot/x?a=%20b body")
	is.Equal(resp.outcome, "answered")
	is.Equal(string(resp.header.Peek(mesh.HeaderVersion)), "v1")
	is.Equal(<-seen, "id1")
	is.Equal(gateStep.gateResults(), []core.GateResult{core.GateAnswered})
	is.Equal(entryStep.attempts[0].Load, mesh.Load{Slots: 9, InUse: 1})
}

// Guards against sending a call over the network to a target on the entry
// node's own host.
func TestLocalTargetSkipsHop(t *testing.T) {
	is := is.New(t)
	step := &fakeStepper{targetHost: "h", gateAddr: closedAddr(t), backendAddr: startBackend(t, echoBody)}
	resp := post(t, startNode(t, "h", step).callAddr, "/x", "body")
	is.Equal(resp.status, fasthttp.StatusOK)
	is.Equal(resp.body, "POST /x body")
}

// Guards against the outcome "not run" for a request that a backend server has
// read, and against "may have run" for one that no backend server can have
// seen.
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
		"closed without a response": {startClosingBackend(t), core.GateLost, mesh.MayHaveRun},
		"connection refused":        {closedAddr(t), core.GateNotSent, mesh.NotRun},
		"refused as overloaded":     {startBackend(t, shed), core.GateShed, mesh.NotRun},
		"server error":              {startBackend(t, failed), core.GateAnswered, mesh.Answered},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entry, entryStep, gateStep := startNodePair(t, test.backend)
			resp := post(t, entry.callAddr, "/x", "")
			is.Equal(resp.outcome, test.outcome.String())
			is.Equal(gateStep.gateResults(), []core.GateResult{test.result})
			is.Equal(entryStep.attempts[0].Outcome, test.outcome)
			is.Equal(entryStep.attempts[0].Failed, name == "server error")
		})
	}
}

// Guards against a gate that cannot be reached being reported as "may have run".
func TestUnreachableGate(t *testing.T) {
	is := is.New(t)
	resp := post(t, startNode(t, "entry", &fakeStepper{targetHost: "gate", gateAddr: closedAddr(t)}).callAddr, "/x", "")
	is.Equal(resp.status, fasthttp.StatusServiceUnavailable)
	is.Equal(resp.outcome, "not-run")
	is.Equal(resp.reason, "connection-lost")
}

// Guards against a response that reaches another caller when calls overlap and
// some responses come after the deadlines of their callers.
func TestAnswersReachTheirCallers(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	entry, _, _ := startNodePair(t, startBackend(t, func(ctx *fasthttp.RequestCtx) {
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
					is.Equal(post(t, entry.callAddr, latePath, "late").outcome, "may-have-run")
					continue
				}
				body := fmt.Sprintf("%d-%d", worker, i)
				is.Equal(post(t, entry.callAddr, "/x", body).body, "POST /x "+body)
			}
		})
	}
	wg.Wait()
	close(release)
	is.Equal(post(t, entry.callAddr, "/x", "last").body, "POST /x last")
}

// Guards against a call that hangs, or ends as "not run", when the reducer
// emits its effect only in a later step.
func TestEffectOfLaterStep(t *testing.T) {
	is := is.New(t)
	var waiting mesh.CallID
	step := &fakeStepper{}
	step.intercept = func(ev *core.Event, out *core.Ready) bool {
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
	resp := post(t, startNode(t, "entry", step).callAddr, "/x", "")
	is.Equal(resp.status, fasthttp.StatusBadGateway)
	is.Equal(resp.reason, "duplicate")
}

// Guards against a panic or a malformed request that ends the process or leaks
// a slot of the gate.
func TestPanicAndBadRequests(t *testing.T) {
	is := is.New(t)
	step := &fakeStepper{targetHost: "h", backendAddr: startBackend(t, echoBody)}
	step.intercept = func(ev *core.Event, _ *core.Ready) bool {
		if ev.Kind == core.KindCallArrived && string(ev.Call.Path) == "/panic" {
			panic("test")
		}
		return false
	}
	n := startNode(t, "h", step)
	resp := post(t, n.callAddr, "/panic", "", mesh.HeaderDeadline, "1")
	is.True(resp.outcome != "answered")
	is.Equal(post(t, n.callAddr, "/x", "", mesh.HeaderDeadline, "soon").reason, "bad-request")
	is.Equal(post(t, n.peerAddr, "/forward/x", "", mesh.HeaderDeadline, "-1").reason, "bad-request")
	is.Equal(post(t, n.peerAddr, "/announce", "{").status, fasthttp.StatusBadRequest)
	is.Equal(post(t, n.peerAddr, "/other", "").reason, "bad-request")
	is.Equal(post(t, n.callAddr, "/x", "body").body, "POST /x body")
	is.Equal(n.opts.Metrics.Panics.Load(), int64(1))
}

// Guards against a graceful shutdown that aborts a call in progress.
func TestShutdownCompletesCallsInProgress(t *testing.T) {
	is := is.New(t)
	const calls = 16
	arrived, release := make(chan struct{}, calls), make(chan struct{})
	step := &fakeStepper{targetHost: "h", backendAddr: startBackend(t, func(ctx *fasthttp.RequestCtx) {
		arrived <- struct{}{}
		<-release
		echoBody(ctx)
	})}
	draining := make(chan struct{})
	step.intercept = func(ev *core.Event, _ *core.Ready) bool {
		if ev.Kind == core.KindDrain {
			close(draining)
		}
		return false
	}
	n := startNode(t, "h", step)
	responses := make(chan testResponse, calls)
	for range calls {
		go func() { responses <- post(t, n.callAddr, "/x", "body") }()
	}
	for range calls {
		<-arrived
	}
	n.stop()
	<-draining
	close(release)
	for range calls {
		is.Equal((<-responses).body, "POST /x body")
	}
	is.NoErr(<-n.stopped)
}

// Guards against valid but unusual requests that a node rejects, never answers
// or answers with wrong HTTP framing.
func TestUnusualRequestForms(t *testing.T) {
	entry, _, _ := startNodePair(t, startBackend(t, echoBody))
	for name, test := range map[string]struct{ request, method, body string }{
		"HTTP/1.0 without host": {"GET /x HTTP/1.0\r\n\r\n", "GET", "GET /x "},
		"chunked":               {"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "POST", "POST /x abc"},
		"HEAD":                  {"HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n", "HEAD", ""},
		"connection close":      {"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "GET", "GET /x "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp := exchange(t, entry.callAddr, test.request, test.method == "HEAD")
			is.Equal(resp.StatusCode(), fasthttp.StatusOK)
			is.Equal(string(resp.Body()), test.body)
			is.Equal(string(resp.Header.Peek(mesh.HeaderOutcome)), "answered")
		})
	}
	is := is.New(t)
	large := exchange(t, entry.callAddr, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999\r\n\r\n", false)
	is.Equal(large.StatusCode(), fasthttp.StatusRequestEntityTooLarge)
	is.Equal(string(large.Header.Peek(mesh.HeaderOutcome)), "not-run")
}

// exchange writes a raw request and reads the response.
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
