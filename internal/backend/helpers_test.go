package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

const testTimeout = 10 * time.Second

// endlessServiceTime is longer than any test, so that a call with it ends only by
// cancellation or at its deadline.
const endlessServiceTime = time.Hour

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// fakeNode runs a server that accepts announcements as a node does and returns them
// on a channel.
func fakeNode(t *testing.T) (addr string, announcements chan core.Announcement) {
	t.Helper()
	announcements = make(chan core.Announcement, 1000)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		var a core.Announcement
		if err := json.Unmarshal(ctx.PostBody(), &a); err != nil || string(ctx.Path()) != "/announce" {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		announcements <- a
	}}
	ln := listen(t)
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		<-done
	})
	return ln.Addr().String(), announcements
}

// testServer is a running backend server under test.
type testServer struct {
	addr   string
	server *Server
	stop   context.CancelFunc
	done   chan error
	// crashes receives a value for each call of Options.Crash. While it is full,
	// Crash blocks, so a test controls when a request with the crash marker ends.
	crashes       chan struct{}
	announcements chan core.Announcement
}

// startServer runs a server until the test ends. The function change adapts its
// settings.
func startServer(t *testing.T, change func(*settings.Backend)) *testServer {
	t.Helper()
	ln := listen(t)
	r := &testServer{addr: ln.Addr().String(), done: make(chan error, 1), crashes: make(chan struct{}, 1)}
	s := &settings.Backend{
		Instance: "i1", Service: "depot", Version: "2.0", Address: r.addr, Slots: 1,
		AnnounceInterval: 20 * time.Millisecond, Lease: time.Second, DrainGrace: testTimeout, BodyBytes: 1 << 16,
		ServiceTime: settings.ServiceTime{Distribution: settings.Fixed},
		ColdStart:   settings.ColdStart{Factor: 1},
		Fault:       settings.BackendFault{Mode: settings.NoFault, Share: 1},
	}
	s.Node, r.announcements = fakeNode(t)
	change(s)
	r.server = New(Options{Settings: s, Log: slog.New(slog.DiscardHandler), Crash: func() { r.crashes <- struct{}{} }})
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.done <- r.server.Run(ctx, ln); close(r.done) }()
	t.Cleanup(func() {
		stop()
		if err := <-r.done; err != nil {
			t.Error(err)
		}
	})
	return r
}

// answer is the response to a call, as received by a node.
type answer struct {
	status          int
	outcome, reason string
	body            []byte
	err             error
}

// call sends a request. Headers alternate names and values.
func (r *testServer) call(method, path, body string, headers ...string) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + r.addr + path)
	req.SetBodyString(body)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	err := fasthttp.DoTimeout(req, resp, testTimeout)
	return answer{resp.StatusCode(), string(resp.Header.Peek(mesh.HeaderOutcome)),
		string(resp.Header.Peek(mesh.HeaderReason)), bytes.Clone(resp.Body()), err}
}

// callInBackground sends a request from a new goroutine and returns the channel on
// which its answer arrives.
func (r *testServer) callInBackground(path, body string) chan answer {
	answers := make(chan answer, 1)
	go func() { answers <- r.call("POST", path, body) }()
	return answers
}

// openCall sends a request and leaves its answer unread. Closing the returned
// connection cancels the call.
func (r *testServer) openCall(t *testing.T, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET /open HTTP/1.1\r\nHost: b\r\n%s: %s\r\n\r\n", mesh.HeaderRequestID, id); err != nil {
		t.Fatal(err)
	}
	return conn
}

// occupySlot occupies a slot until the returned connection is closed.
func (r *testServer) occupySlot(t *testing.T) net.Conn {
	t.Helper()
	conn := r.openCall(t, "hold")
	r.waitUntil(t, func() bool { return r.server.slots.current().InUse == 1 })
	return conn
}

// waitUntil waits until the condition holds. It requests the health of the server
// between the checks.
func (r *testServer) waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if condition() {
			return
		}
		r.call("GET", HealthPath, "")
	}
	t.Fatal("the condition did not hold within testTimeout")
}
