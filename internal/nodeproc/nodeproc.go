// Package nodeproc assembles the node process from its settings: the reducer,
// the runtime, the platform client and the metrics endpoint.
package nodeproc

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/connpool"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/platform/client"
	"github.com/chicoryscale/chicoryscale/internal/runtime"
	"github.com/chicoryscale/chicoryscale/internal/settings"
	"github.com/chicoryscale/chicoryscale/internal/telemetry"
)

// Run runs a node until ctx ends, then stops it gracefully.
func Run(ctx context.Context, s *settings.Node, log *slog.Logger) error {
	log = nodeLogger(log, s)
	store := client.New(client.Settings{
		TableAddr: s.Platform.Table, ObjectAddr: s.Platform.Objects, Timeout: s.Platform.Timeout, MaxConns: s.Platform.Connections,
	})
	defer store.Close()
	reducer := core.New(core.Settings{
		Host: s.Host, Domain: s.FailureDomain, ControlAddr: s.Addresses.Control, PeerAddr: s.Addresses.Peers,
		Started: mesh.Time(time.Now().UnixNano()), Seeds: s.Seeds,
	})
	opts := runtimeOptions(s, log)
	node, err := runtime.New(opts, reducer, platformClient{store, log})
	if err != nil {
		return err
	}
	stopMetrics, err := serveMetrics(s.Addresses.Metrics, opts.Metrics, node, reducer)
	if err != nil {
		return err
	}
	defer stopMetrics()
	log.Info("serving", "calls", s.Addresses.Calls, "peers", s.Addresses.Peers, "control", s.Addresses.Control)
	return node.Run(ctx)
}

// nodeLogger returns a logger that adds the host and its failure domain to each
// line.
func nodeLogger(log *slog.Logger, s *settings.Node) *slog.Logger {
	return log.With("host", string(s.Host), "failure_domain", string(s.FailureDomain))
}

func runtimeOptions(s *settings.Node, log *slog.Logger) runtime.Options {
	opts := runtime.DefaultOptions()
	opts.Host = s.Host
	opts.CallAddr, opts.PeerAddr, opts.ControlAddr = s.Addresses.Calls, s.Addresses.Peers, s.Addresses.Control
	opts.MaxBodyBytes = s.Limits.BodyBytes
	opts.GracePeriod = s.Limits.DrainGrace
	opts.TimelineEntries = s.Limits.TimelineEvents
	opts.PlatformTimeout = s.Platform.Timeout
	opts.Backends.MaxConns = s.Limits.ConnectionsPerInstance
	opts.Log = log
	return opts
}

// platformClient adapts client.Client to runtime.Platform. It only logs the client's
// errors, since the result that comes with an error already carries the status
// Unknown or Invalid.
type platformClient struct {
	client *client.Client
	log    *slog.Logger
}

// Do implements runtime.Platform.
func (p platformClient) Do(_ context.Context, req platform.Request) platform.Result {
	res, err := p.client.Do(&req)
	if err != nil {
		p.log.Debug("platform request failed", "error", err)
	}
	return res
}

// serveMetrics starts the server of the metrics endpoint and returns the function
// that stops it.
func serveMetrics(addr string, m *telemetry.Metrics, node *runtime.Node, reducer *core.Node) (func(), error) {
	peers, backends := node.ConnCounters()
	pools := map[string]*connpool.Counters{"peer": peers, "backend": backends}
	exporter, err := telemetry.NewExporter(m, pools, func() (state telemetry.ReducerState) {
		node.Inspect(func() { state = telemetry.ReducerState{Counters: reducer.Counters(), Applied: reducer.Applied()} })
		return state
	})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	server := &fasthttp.Server{Handler: exporter.Handler(), Name: "chicory-node", NoDefaultServerHeader: true}
	go func() { _ = server.Serve(listener) }() // returns after Shutdown
	return func() {
		_ = server.Shutdown()
		_ = exporter.Close(context.Background())
	}, nil
}
