package sidecar

import (
	"cmp"
	"math"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chicoryscale/chicoryscale/internal/clientlimit"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// ClientSettings bound what clients may hold. A field that is zero stands for its
// default.
type ClientSettings struct {
	Connections  int // from clients to CallAddr
	PerAddress   int // of these, from one client address
	Requests     int // of clients that wait for their answers at the same time
	HeaderFields int // of one request
	Pipelined    int // requests that a client sends ahead in a row
	HeldBytes    int // memory of heads, small bodies and connections
	// StallTimeout is the time without a byte after which a body or an answer is given up.
	StallTimeout time.Duration
}

const (
	// defaultFileDescriptors is what the process may open on a small host.
	defaultFileDescriptors = 4100
	// ownDescriptors are kept for listeners, logs, the runtime and the store.
	ownDescriptors = 48
	// heldMemoryFraction is the fraction of the memory that connections, heads and small
	// bodies may hold. With the budget for bodies and its garbage, half of the memory is
	// left for everything else.
	heldMemoryFraction = 0.25
	// defaultHeaderFields is not reached by a head of 16 KB, the usual limit of
	// configurations, since a field takes at least minFieldBytes.
	defaultHeaderFields = 4096
	minFieldBytes       = 4 // a name of one byte, a colon and the line end
	// defaultPipelined exceeds what clients that pipeline at all send ahead.
	defaultPipelined = 256
	// defaultHeadTimeout and defaultIdleTimeout apply if the configuration sets no limits.
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 90 * time.Second
	// defaultStallTimeout is the usual idle timeout of configurations.
	defaultStallTimeout = 15 * time.Second
	// sendBufferTime is the time for which a client's answers can be sent from the kernel's
	// buffer. It exceeds the round trip to clients, 16 ms, so that one client can use
	// the whole link.
	sendBufferTime     = 20 * time.Millisecond
	minSendBufferBytes = 32 << 10
	maxSendBufferBytes = 1 << 20
	// timeoutMargin is the factor by which timeouts exceed those of the configuration, so
	// that a client that just keeps within them isn't cut off.
	timeoutMargin = 1.25
)

// limits are the numbers of connections that the descriptors of the process are divided
// into.
type limits struct {
	calls, forward, peers, control int // accepted; control applies to each of three listeners
	instance, perHost              int // opened
	requests                       int // of clients that wait for an answer, each of which may open a connection
}

// kernelDescriptors returns the kernel's limit on the descriptors of the process, or the
// default if it can't be read.
func kernelDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultFileDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// limits divides the descriptors. Half of them are for clients; peers, the store and the
// instance always have their own. The least numbers keep a process with very few
// descriptors usable.
func (s *Settings) limits(kernelDescriptors int) limits {
	descriptors := min(cmp.Or(s.FileDescriptors, defaultFileDescriptors), kernelDescriptors)
	free := max(descriptors-ownDescriptors, 64)
	opened := free * 3 / 16
	return limits{
		calls: min(cmp.Or(s.Clients.Connections, free/2), free/2), forward: free / 8, peers: free / 8, control: max(free/48, 4),
		instance: max(opened/2, 8), perHost: max(opened/4, 4), requests: cmp.Or(s.Clients.Requests, max(opened/2, 8)),
	}
}

// sendBufferBytes returns the size of the kernel's buffer for answers to a client.
func (s *Settings) sendBufferBytes() int {
	if s.LinkMbps == 0 {
		return 0
	}
	const bytesPerMbit = 1e6 / 8
	return min(max(int(float64(s.LinkMbps)*bytesPerMbit*sendBufferTime.Seconds()), minSendBufferBytes), maxSendBufferBytes)
}

// newGuard returns the guard of the connections that others open to this node.
func (n *Node) newGuard() *clientlimit.Guard {
	s := &n.settings
	return clientlimit.New(clientlimit.Options{
		PerAddress:   cmp.Or(s.Clients.PerAddress, n.limits.calls*3/4),
		MemoryBytes:  cmp.Or(s.Clients.HeldBytes, int(heldMemoryFraction*s.memory())),
		HeaderFields: n.maxHeaderFields, Pipelined: cmp.Or(s.Clients.Pipelined, defaultPipelined),
		SendBufferBytes: s.sendBufferBytes(),
		Timeouts:        n.clientTimeouts, Shedding: n.logShedding,
	})
}

// maxHeaderFields returns the bound for the fields of a request's head. Unless it is set,
// a head within the limit of the configuration does not reach it.
func (n *Node) maxHeaderFields() int {
	if set := n.settings.Clients.HeaderFields; set > 0 {
		return set
	}
	fields := defaultHeaderFields
	n.inspect(func(r *proxy.Node) {
		if c := r.Config(); c != nil {
			fields = max(fields, c.Limits.HeaderBytes/minFieldBytes)
		}
	})
	return fields
}

// clientTimeouts returns the timeouts for clients according to the configuration.
func (n *Node) clientTimeouts() clientlimit.Timeouts {
	t := clientlimit.Timeouts{Head: defaultHeadTimeout, Stall: cmp.Or(n.settings.Clients.StallTimeout, defaultStallTimeout), Idle: defaultIdleTimeout}
	n.inspect(func(r *proxy.Node) {
		c := r.Config()
		if c == nil {
			return
		}
		if c.Limits.HeaderTimeout > 0 {
			t.Head = time.Duration(timeoutMargin * float64(c.Limits.HeaderTimeout))
		}
		if c.Limits.IdleTimeout > 0 {
			t.Idle = time.Duration(timeoutMargin * float64(c.Limits.IdleTimeout))
			t.Stall = max(t.Stall, t.Idle)
		}
	})
	return t
}

// logShedding logs that shedding begins or ends, with what was shed since the start.
func (n *Node) logShedding(begins bool, counts clientlimit.Counts) {
	kind := "clients.shedding_ended"
	if begins {
		kind = "clients.shedding_began"
	}
	attrs := make([]any, 0, 2*len(counts))
	for reason, count := range counts {
		attrs = append(attrs, clientlimit.Reasons[reason], count)
	}
	n.log.Event(kind, attrs...)
}

// connState tells the guard that a connection is between two requests.
func connState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*clientlimit.Conn); ok && state == http.StateIdle {
		conn.RequestEnded()
	}
}

// holdAnswer charges the client's connection for an answer until it has been written.
func holdAnswer(r *http.Request, bytes int) {
	if conn := clientlimit.FromContext(r.Context()); conn != nil {
		conn.HoldAnswer(bytes)
	}
}

// limitRequests wraps a handler so that requests beyond the limits are refused. None of
// them is forwarded, so 503 is truthful.
func (n *Node) limitRequests(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn := clientlimit.FromContext(r.Context())
		if conn == nil {
			next(w, r)
			return
		}
		if reason, ok := conn.RequestBegan(r.ContentLength); !ok {
			n.refuseRequest(w, r, reason)
			return
		}
		next(w, r)
	}
}

// beginRequest counts a client's request that has been read completely. It reports false
// if too many wait for their answers. Otherwise endRequest must be called when the answer
// is known.
func (n *Node) beginRequest() bool {
	if n.running.Add(1) <= int64(n.limits.requests) {
		return true
	}
	n.running.Add(-1)
	return false
}

func (n *Node) endRequest() { n.running.Add(-1) }

// refuseRequest answers a request that exceeds a limit. It closes the connection unless
// the limit is that of all requests, which this client may not have caused.
func (n *Node) refuseRequest(w http.ResponseWriter, r *http.Request, reason clientlimit.Reason) {
	n.log.Line(time.Now(), "call.refused", "request", r.Header.Get(n.headers.Identity), "reason", clientlimit.Reasons[reason])
	w.Header().Set(n.headers.RetryAfter, bodyRetryAfter)
	if reason != clientlimit.Requests {
		w.Header().Set("Connection", "close")
	}
	if r.Header.Get(headerCall) != "" {
		refused := gateAnswer{outcome: mesh.NotRun, reason: mesh.ReasonOverload}
		refused.encode(w.Header())
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
