package runtime

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/connpool"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/hlc"
	"github.com/chicoryscale/chicoryscale/internal/httplog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/timeline"
)

// Node runs a reducer in a process. New binds its addresses and Run serves
// until its context ends or an operator has drained the node.
type Node struct {
	opts    Options
	stepper Stepper
	nextID  atomic.Uint64

	// mu serialises steps and guards the fields below.
	mu        sync.Mutex
	ready     core.Ready
	clock     hlc.Clock
	ring      *timeline.Ring
	calls     map[mesh.CallID]callWaiter
	gates     map[mesh.CallID]gateWaiter
	operators map[uint64]chan core.OperatorReply

	draining    atomic.Bool
	drained     chan struct{}
	drainedOnce sync.Once

	peers        *peerSet
	platform     *platformPool
	peerConns    *connpool.Set
	backendConns *connpool.Set
	control      *controlServer
	callServer   *fasthttp.Server
	peerServer   *fasthttp.Server
	callListener net.Listener
	peerListener net.Listener
}

// New binds the addresses and creates a node. The error is of type ErrListen.
// Run must be called to release what New has acquired.
func New(opts Options, stepper Stepper, client Platform) (*Node, error) {
	n := &Node{
		opts: opts, stepper: stepper, ring: timeline.NewRing(opts.TimelineEntries),
		calls: make(map[mesh.CallID]callWaiter), gates: make(map[mesh.CallID]gateWaiter),
		operators: make(map[uint64]chan core.OperatorReply), drained: make(chan struct{}),
	}
	listeners, err := listen(opts.CallAddr, opts.PeerAddr, opts.ControlAddr)
	if err != nil {
		return nil, err
	}
	n.callListener, n.peerListener = listeners[0], listeners[1]
	n.callServer = n.newServer(n.serveCall)
	n.peerServer = n.newServer(n.servePeer)
	n.peerConns = connpool.NewSet(opts.Peers)
	n.backendConns = connpool.NewSet(opts.Backends)
	n.peers = newPeerSet(&n.opts, func(_ string, env *core.Envelope) {
		n.step(&core.Event{Kind: core.KindSendFailed, Envelope: env})
	})
	n.platform = newPlatformPool(client, &n.opts, func(result core.PlatformResult) {
		n.step(&core.Event{Kind: core.KindPlatform, Platform: &result})
	})
	n.control, err = newControlServer(n, listeners[2])
	return n, err
}

// listen binds all addresses or none.
func listen(addrs ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, wrapError(ErrListen, "listen", addr, err)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// Addrs returns the bound addresses for callers, peers and control messages.
func (n *Node) Addrs() (call, peer, control string) {
	return n.callListener.Addr().String(), n.peerListener.Addr().String(), n.control.listener.Addr().String()
}

// Inspect runs f while no step runs, so that f may read the state of the
// reducer.
func (n *Node) Inspect(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// ConnCounters returns the counters of the connections to peers and to the
// backend servers of this host.
func (n *Node) ConnCounters() (peers, backends *connpool.Counters) {
	return n.peerConns.Counters(), n.backendConns.Counters()
}

const (
	serverReadTimeout = 10 * time.Second
	// serverIdleTimeout exceeds the probe interval of the peers' pools.
	serverIdleTimeout = 2 * time.Minute
	serverConcurrency = 32 * 1024
)

func (n *Node) newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: n.withRecovery(handler), Name: "chicory-node", NoDefaultServerHeader: true,
		MaxRequestBodySize: n.opts.MaxBodyBytes, ReadTimeout: serverReadTimeout, IdleTimeout: serverIdleTimeout,
		ErrorHandler: n.handleReadError, Concurrency: serverConcurrency, CloseOnShutdown: true, Logger: httplog.Quiet{},
	}
}

// handleReadError refuses a request that could not be read.
func (n *Node) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	n.opts.Metrics.BadRequests.Add(1)
	writeRefusal(&ctx.Response, mesh.NotRun, mesh.ReasonBadRequest)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	}
}

// withRecovery wraps a handler. It responds to the request if the handler
// panics and, while the node drains, asks the client to use another connection.
func (n *Node) withRecovery(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if cause := recover(); cause != nil {
				n.opts.Metrics.Panics.Add(1)
				n.opts.Log.Error("panic recovered", "where", "handler", "cause", cause)
				writeRefusal(&ctx.Response, mesh.MayHaveRun, mesh.ReasonConnectionLost)
			}
			if n.draining.Load() {
				ctx.SetConnectionClose()
			}
		}()
		handler(ctx)
	}
}

// Run serves until ctx ends, an operator has drained the node or a server
// fails. It then stops gracefully: it drains the reducer, waits until the
// reducer has drained or the grace period ends, lets the requests in progress
// finish and releases all resources.
func (n *Node) Run(ctx context.Context) error {
	var servers, ticker sync.WaitGroup
	serveErrs := make(chan error, 2)
	servers.Go(func() { serveErrs <- n.callServer.Serve(n.callListener) })
	servers.Go(func() { serveErrs <- n.peerServer.Serve(n.peerListener) })
	stopTicks := make(chan struct{})
	ticker.Go(func() { n.tick(stopTicks) })

	var serveErr error
	select {
	case <-ctx.Done():
	case <-n.drained: // by an operator's command
	case serveErr = <-serveErrs:
	}
	grace, cancel := context.WithTimeout(context.Background(), n.opts.GracePeriod)
	defer cancel()
	n.drain(grace)
	n.shutdown(grace, &servers)
	close(stopTicks)
	ticker.Wait()
	return serveErr
}

func (n *Node) tick(stop <-chan struct{}) {
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			n.step(&core.Event{Kind: core.KindTick})
		}
	}
}

func (n *Node) drain(grace context.Context) {
	n.opts.Log.Info("draining")
	n.draining.Store(true)
	n.step(&core.Event{Kind: core.KindDrain})
	select {
	case <-n.drained:
		n.opts.Log.Info("drained")
	case <-grace.Done():
		n.opts.Log.Warn("grace period ended before the node had drained")
	}
}

func (n *Node) shutdown(grace context.Context, servers *sync.WaitGroup) {
	for _, server := range []*fasthttp.Server{n.callServer, n.peerServer} {
		if err := server.ShutdownWithContext(grace); err != nil {
			n.opts.Log.Warn("requests in progress were aborted at the end of the grace period", "error", err)
		}
	}
	servers.Wait()
	n.control.close()
	n.peers.close()
	n.platform.close()
	n.peerConns.Close()
	n.backendConns.Close()
}

// servePeer handles the requests of other nodes and of the backend servers on
// this host.
func (n *Node) servePeer(ctx *fasthttp.RequestCtx) {
	uri := ctx.RequestURI()
	switch {
	case hasSegment(uri, pathForward):
		n.serveForward(ctx)
	case hasSegment(uri, pathRelay):
		n.handleCall(ctx, uri[len(pathRelay):], true)
	case string(uri) == pathAnnounce && ctx.IsPost():
		n.serveAnnounce(ctx)
	case string(uri) == pathProbe:
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		n.opts.Metrics.BadRequests.Add(1)
		writeRefusal(&ctx.Response, mesh.NotRun, mesh.ReasonBadRequest)
	}
}

// hasSegment reports whether the request target starts with the path segment
// and continues after it.
func hasSegment(uri []byte, segment string) bool {
	return len(uri) > len(segment) && string(uri[:len(segment)]) == segment && uri[len(segment)] == '/'
}
