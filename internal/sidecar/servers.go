package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/clientlimit"
	"github.com/chicoryscale/chicoryscale/internal/httplog"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// ErrListen means that an address could not be bound.
var ErrListen = namespace.NewType("listen")

const (
	// serverTimeout bounds the times for headers and between requests in the servers
	// themselves. The shorter timeouts of clientlimit.Timeouts follow the configuration.
	serverTimeout = 10 * time.Minute
	// controlReadTimeout bounds the time for a request of the instance or the platform,
	// with the time for which its connection is idle before it.
	controlReadTimeout = 90 * time.Second
	// maxHeaderBytes exceeds the header size that configurations allow. It also bounds
	// the bodies of control calls.
	maxHeaderBytes = 64 << 10
	// controlWriteTimeout bounds the time for writing an answer to the instance or the
	// platform.
	controlWriteTimeout = 5 * time.Second
)

// server is one of the listening servers of the process.
type server struct {
	name     string
	serve    func() error
	shutdown func(context.Context) error
}

// listen binds all configured addresses. If one fails, it closes the others.
func (n *Node) listen() ([]server, error) {
	s := &n.settings
	var servers []server
	for _, spec := range []struct {
		name, addr string
		make       func(name string, l net.Listener) server
	}{
		{"calls", s.CallAddr, n.callServer(n.serveCall, clientlimit.Clients, n.limits.calls)},
		{"forward", s.ForwardAddr, n.callServer(n.serveForward, clientlimit.Hosts, n.limits.forward)},
		{"control", s.ControlAddr, n.controlServer(n.serveControl)},
		{"ready", s.ReadyAddr, n.controlServer(n.serveReady)},
		{"metrics", s.MetricsAddr, n.controlServer(n.metrics.handler())},
		{"peers", s.PeerAddr, n.peerServer},
	} {
		if spec.addr == "" {
			continue
		}
		l, err := net.Listen("tcp", spec.addr)
		if err != nil {
			for _, bound := range n.listeners {
				_ = bound.Close()
			}
			return nil, ErrListen.Wrap(err, "listen for %s on %s", spec.name, spec.addr)
		}
		n.listeners = append(n.listeners, l)
		servers = append(servers, spec.make(spec.name, l))
	}
	return servers, nil
}

// callServer returns a constructor of servers for requests of clients and of other
// nodes. They use net/http because, unlike fasthttp, it reports at once when a client
// closes its connection during a request.
func (n *Node) callServer(handler http.HandlerFunc, kind clientlimit.Kind, maxConns int) func(string, net.Listener) server {
	return func(name string, l net.Listener) server {
		s := &http.Server{
			Handler: n.recoverPanics(n.limitRequests(handler)), ReadHeaderTimeout: serverTimeout, IdleTimeout: serverTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: discardLog, ConnContext: clientlimit.WithConn, ConnState: connState,
		}
		l = n.guard.Listener(l, kind, maxConns)
		return server{name: name, serve: func() error { return s.Serve(l) }, shutdown: s.Shutdown}
	}
}

// recoverPanics wraps a handler so that a panic ends only the request and not the
// process. The connection is closed, because part of an answer may have been sent.
func (n *Node) recoverPanics(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if cause := recover(); cause != nil {
				n.log.Event("panic", "where", r.URL.Path, "cause", cause)
				panic(http.ErrAbortHandler)
			}
		}()
		next(w, r)
	})
}

// controlServer returns a constructor of servers for the instance and the platform.
func (n *Node) controlServer(handler fasthttp.RequestHandler) func(string, net.Listener) server {
	return func(name string, l net.Listener) server {
		s := &fasthttp.Server{
			Handler: handler, NoDefaultServerHeader: true, ReadTimeout: controlReadTimeout, WriteTimeout: controlWriteTimeout,
			Logger: httplog.Quiet{}, CloseOnShutdown: true, MaxRequestBodySize: maxHeaderBytes,
		}
		l = n.guard.Listener(l, clientlimit.Control, n.limits.control)
		return server{name: name, serve: func() error { return s.Serve(l) }, shutdown: s.ShutdownWithContext}
	}
}

// serveReady answers the platform's readiness checks.
func (n *Node) serveReady(ctx *fasthttp.RequestCtx) {
	ready := false
	n.inspect(func(r *proxy.Node) { ready = r.Ready() })
	if string(ctx.Path()) != n.platform.ReadyPath() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// serveControl handles the heartbeats of the instance on this host and its
// announcement that it is about to exit.
func (n *Node) serveControl(ctx *fasthttp.RequestCtx) {
	call, err := n.platform.DecodeControl(string(ctx.Method()), string(ctx.RequestURI()), ctx.PostBody())
	ctx.SetContentType("application/json")
	switch {
	case err != nil:
		n.log.Line(time.Now(), "instance.bad_call", "error", err.Error(), "remote", ctx.RemoteAddr().String())
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	case call.Report != nil:
		n.step(*call.Report)
		ctx.SetBodyString("{}")
	case call.Leave != nil:
		n.step(*call.Leave)
		ctx.SetBodyString("{}")
	}
}
