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

// long is a service time that ends only by cancellation.
const long = time.Hour

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// fakeNode receives announcements.
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

// running is a backend server under test.
type running struct {
	addr   string
	server *Server
	stop   context.CancelFunc
	done   chan error
	// crashes receives the calls of Crash. If it is full, the call waits, so a
	// test decides when a request with the marker ends.
	crashes chan struct{}
	node    chan core.Announcement
}

// start runs a server until the test ends. The function change adapts its
// settings.
func start(t *testing.T, change func(*settings.Backend)) *running {
	t.Helper()
	ln := listen(t)
	r := &running{addr: ln.Addr().String(), done: make(chan error, 1), crashes: make(chan struct{}, 1)}
	s := &settings.Backend{
		Instance: "i1", Service: "depot", Version: "2.0", Address: r.addr, Slots: 1,
		AnnounceInterval: 20 * time.Millisecond, Lease: time.Second, DrainGrace: testTimeout, BodyBytes: 1 << 16,
		ServiceTime: settings.ServiceTime{Distribution: settings.Fixed},
		ColdStart:   settings.ColdStart{Factor: 1},
		Fault:       settings.BackendFault{Mode: settings.NoFault, Share: 1},
	}
	s.Node, r.node = fakeNode(t)
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

// answer is a response as a node sees it.
type answer struct {
	status          int
	outcome, reason string
	body            []byte
	err             error
}

// call sends a request. Headers alternate names and values.
func (r *running) call(method, path, body string, headers ...string) answer {
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

// callInBackground sends a request whose answer arrives later.
func (r *running) callInBackground(path, body string) chan answer {
	answers := make(chan answer, 1)
	go func() { answers <- r.call("POST", path, body) }()
	return answers
}

// open sends a request and leaves its answer unread. Closing the returned
// connection cancels the call.
func (r *running) open(t *testing.T, id string) net.Conn {
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

// hold occupies a slot until the returned connection is closed.
func (r *running) hold(t *testing.T) net.Conn {
	t.Helper()
	conn := r.open(t, "hold")
	r.until(t, func() bool { return r.server.slots.current().InUse == 1 })
	return conn
}

// until asks the server for its health until a condition holds.
func (r *running) until(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if condition() {
			return
		}
		r.call("GET", HealthPath, "")
	}
	t.Fatal("condition does not hold")
}
