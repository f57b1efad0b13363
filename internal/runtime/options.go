package runtime

import (
	"context"
	"log/slog"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/connpool"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/telemetry"
)

// Stepper is the reducer. The runtime never calls Step concurrently.
type Stepper interface {
	Step(ev *core.Event, out *core.Ready)
}

// Platform executes requests on the table or the object store. Do returns when
// the context ends, with status Unknown unless the result is certain.
type Platform interface {
	Do(ctx context.Context, req platform.Request) platform.Result
}

// Options configure a node process. Addresses are numeric "IP:port".
type Options struct {
	Host        mesh.HostID
	CallAddr    string // callers
	PeerAddr    string // entry nodes and the backend servers of this host
	ControlAddr string // peers' control messages and operators
	// Peers and Backends configure the connections to gate nodes and to the
	// backend servers of this host.
	Peers    connpool.Options
	Backends connpool.Options
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes int
	// MaxControlBytes limits one control message.
	MaxControlBytes int
	// MaxCallTime limits the time that the runtime waits for a call, whether or
	// not its caller states a deadline.
	MaxCallTime time.Duration
	// GracePeriod limits the duration of a graceful shutdown.
	GracePeriod time.Duration
	// PlatformTimeout limits one platform request.
	PlatformTimeout time.Duration
	// TimelineEntries is the capacity of the timeline ring buffer.
	TimelineEntries int

	Metrics *telemetry.Metrics
	Log     *slog.Logger
}

// peerSilenceFloor is the SilenceFloor of connections to peers. It exceeds that
// of connections to backend servers, because a call also waits in the gate's
// queue and the gate itself ends calls on connections to backend servers that
// have gone silent.
const peerSilenceFloor = 2 * time.Second

// DefaultOptions returns the default options, without a host and addresses.
func DefaultOptions() Options {
	peers := connpool.DefaultOptions()
	peers.SilenceFloor = peerSilenceFloor
	return Options{
		Peers:           peers,
		Backends:        connpool.DefaultOptions(),
		MaxBodyBytes:    4 << 20,
		MaxControlBytes: 8 << 20,
		MaxCallTime:     30 * time.Second,
		GracePeriod:     30 * time.Second,
		PlatformTimeout: 5 * time.Second,
		TimelineEntries: 4096,
		Metrics:         new(telemetry.Metrics),
		Log:             slog.New(slog.DiscardHandler),
	}
}
