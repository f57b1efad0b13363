package runtime

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/httplog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const (
	testTimeout = 10 * time.Second
	// latePath is the path of calls to which fakeStepper gives lateDeadline.
	latePath     = "/late"
	lateDeadline = 50 * time.Millisecond
)

// fakeStepper forwards each call once to targetHost at gateAddr, dispatches
// every gate call to backendAddr and responds with the result of the attempt.
type fakeStepper struct {
	targetHost  mesh.HostID
	gateAddr    string
	backendAddr string
	// intercept is called first. If it returns true, the event is not processed
	// further.
	intercept func(ev *core.Event, out *core.Ready) bool

	mu       sync.Mutex
	gateDone []core.GateDone
	attempts []core.AttemptDone
	inFlight int
	draining bool
}

func (s *fakeStepper) Step(ev *core.Event, out *core.Ready) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.intercept != nil && s.intercept(ev, out) {
		return
	}
	switch ev.Kind {
	case core.KindCallArrived:
		s.inFlight++
		deadline := testTimeout
		if string(ev.Call.Path) == latePath {
			deadline = lateDeadline
		}
		out.Calls = append(out.Calls, core.CallEffect{
			Call: ev.Call.Call, Action: core.CallForward, Attempt: 1, Host: s.targetHost, Addr: s.gateAddr,
			Instance: "i", Deadline: ev.Now.Add(deadline),
		})
	case core.KindAttemptDone:
		s.inFlight--
		s.attempts = append(s.attempts, ev.Attempt)
		effect := core.CallEffect{Call: ev.Attempt.Call, Attempt: 1, Action: core.CallRespond}
		if ev.Attempt.Outcome != mesh.Answered {
			effect.Action, effect.Outcome, effect.Reason = core.CallReject, ev.Attempt.Outcome, ev.Attempt.Reason
		}
		out.Calls = append(out.Calls, effect)
	case core.KindGateArrived:
		out.Gates = append(out.Gates, core.GateEffect{
			Call: ev.Gate.Call, Action: core.GateDispatch, Addr: s.backendAddr, Version: "v1",
			Deadline: ev.Now.Add(time.Duration(ev.Gate.DeadlineMillis) * time.Millisecond), Load: mesh.Load{Slots: 9, InUse: 1},
		})
	case core.KindGateDone:
		s.gateDone = append(s.gateDone, ev.GateDone)
	case core.KindDrain:
		s.draining = true
	}
	out.Drained = s.draining && s.inFlight == 0
}

func (s *fakeStepper) gateResults() []core.GateResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	var results []core.GateResult
	for _, d := range s.gateDone {
		results = append(results, d.Result)
	}
	return results
}

type fakePlatform struct{}

func (fakePlatform) Do(_ context.Context, req platform.Request) platform.Result {
	return platform.Result{Status: platform.OK, Rows: []platform.Row{{Key: req.Keys[0]}}}
}

// testNode is a running node with its addresses and the means to stop it.
type testNode struct {
	*Node
	callAddr, peerAddr, controlAddr string
	stop                            context.CancelFunc
	stopped                         chan error
}

func startNode(t testing.TB, host mesh.HostID, stepper Stepper) *testNode {
	t.Helper()
	opts := DefaultOptions()
	opts.Host = host
	opts.CallAddr, opts.PeerAddr, opts.ControlAddr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	opts.Peers.WarmConns, opts.Backends.WarmConns = 0, 0
	opts.GracePeriod = testTimeout
	opts.MaxControlBytes = 64 << 10
	n, err := New(opts, stepper, fakePlatform{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &testNode{Node: n, stop: cancel, stopped: make(chan error, 1)}
	node.callAddr, node.peerAddr, node.controlAddr = n.Addrs()
	finished := make(chan struct{})
	go func() { defer close(finished); node.stopped <- n.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-finished })
	return node
}

// startBackend runs a fake backend server and returns its address.
func startBackend(t testing.TB, handler fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler, Logger: httplog.Quiet{}}
	finished := make(chan struct{})
	go func() { defer close(finished); _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown(); <-finished })
	return l.Addr().String()
}

// startClosingBackend runs a backend server that reads each request and closes
// the connection without a response. It returns the server's address.
func startClosingBackend(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = new(fasthttp.Request).Read(bufio.NewReader(c))
			c.Close()
		}
	}()
	t.Cleanup(func() { l.Close(); <-finished })
	return l.Addr().String()
}

// closedAddr returns an address on which nothing listens.
func closedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func echoBody(ctx *fasthttp.RequestCtx) {
	fmt.Fprintf(ctx, "%s %s %s", ctx.Method(), ctx.RequestURI(), ctx.PostBody())
}

type testResponse struct {
	status                int
	body, outcome, reason string
	header                *fasthttp.ResponseHeader
}

func post(t *testing.T, addr, target, body string, headers ...string) testResponse {
	t.Helper()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + addr + target)
	req.SetBodyString(body)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &fasthttp.HostClient{Addr: addr, MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	if err := client.DoTimeout(req, resp, testTimeout); err != nil {
		t.Error(err)
		return testResponse{}
	}
	return testResponse{
		resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek(mesh.HeaderOutcome)),
		string(resp.Header.Peek(mesh.HeaderReason)), &resp.Header,
	}
}
