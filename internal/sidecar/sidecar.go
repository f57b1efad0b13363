// Package sidecar runs the proxy process of one host, called a node. It does the I/O
// around the reducer of package proxy: it serves requests, follows the tables of the
// platform's store, and exchanges state with the nodes of other hosts.
package sidecar

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/clientlimit"
	"github.com/chicoryscale/chicoryscale/internal/egress"
	"github.com/chicoryscale/chicoryscale/internal/membudget"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/quota"
	"github.com/chicoryscale/chicoryscale/internal/upstream"
)

const (
	// tickInterval is the period at which the reducer gets a Tick for its timers.
	tickInterval = 50 * time.Millisecond
	// trimInterval is the period at which idle connections are closed.
	trimInterval = time.Second
	// maxAnswerBytes bounds the body of an instance's answer.
	maxAnswerBytes = 16 << 20
	// effectBuffer is the number of effects that may be pending for one request.
	effectBuffer = 4
)

// Node is the runtime of the process: it feeds events to the reducer and executes the
// effects.
type Node struct {
	settings   Settings
	platform   Platform
	headers    *Headers
	log        *Log
	metrics    *metrics
	ioCounters ioCounters
	started    time.Time // with a monotonic clock reading
	clock      clock
	startTime  mesh.Time     // wall-clock time of started; later times add the time of clock
	nextID     atomic.Uint64 // latest mesh.CallID given out

	mu      sync.Mutex
	reducer *proxy.Node
	effects proxy.Ready // of the current step; reused
	// callEffects and gateEffects hold the channels to the goroutines of the requests in
	// flight, at the entry node and at the gate.
	callEffects map[mesh.CallID]chan proxy.CallEffect
	gateEffects map[mesh.CallID]chan proxy.GateEffect

	peers         *peerSet
	replicas      [2]*replica   // by Table
	hostRevisions hostRevisions // of the operator's rows
	announceDue   chan struct{} // signalled when this host's record has changed and its row may have to be written
	notifyDue     chan struct{} // signalled when this host's record has changed and the readers of the store are to be notified
	rolloutWrites chan rolloutWrite
	quotaWrites   chan quota.RowWrite
	// stateChanged wakes the long polls of the nodes that follow this one.
	stateChanged broadcast
	lostRows     lostRows
	// eraChanged wakes the reader of the shared rows.
	eraChanged broadcast
	// following is set while this node follows a reader.
	following atomic.Bool
	// catchingUp is set while catchUpWithOperator runs.
	catchingUp atomic.Bool
	// foundHostsAt is the time, in ns since the start, at which a full read of the
	// shared rows first found other hosts. It is zero before that.
	foundHostsAt atomic.Int64
	// substituteUntil is the time, in ns since the start, until which this node reads
	// the store itself because its reader has lost the store.
	substituteUntil atomic.Int64
	// tableAlive holds, by Table, whether the latest call to the store about it succeeded.
	tableAlive [2]atomic.Bool

	poolsMu      sync.Mutex
	hostPools    map[string]*upstream.Pool // by forward address
	hostOpts     upstream.Options
	instancePool *upstream.Pool
	link         *egress.Link
	bodyMemory   *membudget.Budget // of request and answer bodies held in memory
	limits       limits
	guard        *clientlimit.Guard // of the connections that others open to this node

	lastCallAt       atomic.Int64 // time of the latest client request, in ns since the start
	membersChangedAt atomic.Int64 // time of the latest change of a member, in ns since the start
	inFlight         atomic.Int64
	running          atomic.Int64 // client requests that wait for their answers
	stopping         atomic.Bool
	listeners        []net.Listener
}

// New returns a node. It serves once Run is called.
func New(s Settings, p Platform, log *Log) (*Node, error) {
	n := &Node{
		settings: s, platform: p, headers: p.Headers(), log: log, started: time.Now(),
		callEffects: make(map[mesh.CallID]chan proxy.CallEffect), gateEffects: make(map[mesh.CallID]chan proxy.GateEffect),
		hostPools: make(map[string]*upstream.Pool), announceDue: make(chan struct{}, 1), notifyDue: make(chan struct{}, 1), rolloutWrites: make(chan rolloutWrite, rolloutQueueLen),
	}
	var err error
	if n.clock, err = newClock(); err != nil {
		return nil, err
	}
	n.quotaWrites = make(chan quota.RowWrite, 1)
	n.startTime = mesh.Time(n.started.UnixNano())
	n.limits = s.limits(kernelDescriptors())
	n.guard = n.newGuard()
	n.bodyMemory = membudget.New(s.BodyMemoryBytes())
	n.bodyMemory.AllowLarge(s.LargeBodyBytes())
	n.bodyMemory.SetReclaim(n.guard.Reclaim)
	n.hostOpts = hostOptions(n.bodyMemory)
	n.hostOpts.MaxConns = n.limits.perHost
	n.link = egress.NewLink(s.LinkMbps)
	instanceOpts := instanceOptions(n.headers.Identity, n.bodyMemory)
	instanceOpts.MaxConns = n.limits.instance
	n.instancePool = upstream.NewPool(s.InstanceAddr, instanceOpts)
	n.replicas = [2]*replica{newReplica(), newReplica()}
	n.peers = newPeerSet(n)
	n.reducer = proxy.New(n.now(), proxy.Settings{
		Host: s.Host, Domain: s.Domain, ForwardAddr: cmp.Or(s.AdvertisedForward, s.ForwardAddr),
		PeerAddr: cmp.Or(s.AdvertisedPeer, s.PeerAddr), LinkMbps: s.LinkMbps, Service: s.Service,
		Incarnation: mesh.Incarnation(n.startTime), Repeats: s.Repeats, Warmup: s.Warmup, Quota: s.Quota, WorkAware: s.WorkAware,
	})
	n.metrics, err = newMetrics(n)
	return n, err
}

// hostOptions returns the options for connections to other nodes. A request that is lost
// with its connection costs more than a new connection, so idle connections are kept
// for long.
func hostOptions(memory *membudget.Budget) upstream.Options {
	return upstream.Options{
		DialTimeout: 300 * time.Millisecond, UserTimeout: 400 * time.Millisecond, KeepAlive: time.Second,
		IdleTime: 20 * time.Second, FreshTime: 20 * time.Second, MaxAnswerBytes: maxAnswerBytes, Memory: memory, StreamBytes: egress.LargeBytes,
	}
}

// instanceOptions returns the options for connections to the instance on this host.
func instanceOptions(identity string, memory *membudget.Budget) *upstream.Options {
	return &upstream.Options{
		DialTimeout: 300 * time.Millisecond, UserTimeout: 400 * time.Millisecond, KeepAlive: time.Second,
		IdleTime: 7 * time.Second, FreshTime: time.Second, MaxAnswerBytes: maxAnswerBytes, Memory: memory, IdentityHeader: identity,
	}
}

// now returns the time for the reducer. A jump of the wall clock does not shift timeouts.
func (n *Node) now() mesh.Time { return n.startTime.Add(n.clock.elapsed()) }

// step passes one event to the reducer and executes the resulting effects.
func (n *Node) step(ev proxy.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.effects.Reset()
	n.reducer.Step(n.now(), rand.Uint64(), ev, &n.effects)
	n.executeEffects()
}

// executeEffects passes the effects of a step to the goroutines that perform them. It
// never blocks.
func (n *Node) executeEffects() {
	for i := range n.effects.Calls {
		offer(n.callEffects[n.effects.Calls[i].Call], n.effects.Calls[i])
	}
	for i := range n.effects.Gates {
		offer(n.gateEffects[n.effects.Gates[i].Call], n.effects.Gates[i])
	}
	if len(n.effects.LogRecords) > 0 {
		n.log.Records(time.Now(), n.effects.LogRecords)
	}
	for i := range n.effects.Checks {
		n.peers.checkAlive(n.effects.Checks[i])
	}
	for _, p := range n.effects.Probes {
		go n.probeInstance(context.Background(), p)
	}
	for i := range n.effects.Evidence {
		n.peers.sendEvidence(n.effects.Evidence[i])
	}
	for i := range n.effects.Writes {
		n.queueRolloutWrite(n.effects.Writes[i])
	}
	for i := range n.effects.TokenRequests {
		n.peers.sendTokenRequest(n.effects.TokenRequests[i])
	}
	for i := range n.effects.QuotaReports {
		n.peers.sendQuotaReport(n.effects.QuotaReports[i])
	}
	for i := range n.effects.QuotaWrites {
		n.queueQuotaWrite(n.effects.QuotaWrites[i])
	}
	for _, host := range n.effects.Removals {
		go n.removeRow(context.Background(), host)
	}
	if n.effects.Announce {
		signal(n.announceDue)
		signal(n.notifyDue)
	}
	if n.effects.MembersChanged {
		n.membersChangedAt.Store(int64(time.Since(n.started)))
		n.stateChanged.wake()
	}
}

// offer sends an effect to the goroutine of its request, without blocking. The channel
// is nil if the request has ended, and the effect is dropped then.
func offer[T any](waiter chan T, effect T) {
	select {
	case waiter <- effect:
	default:
	}
}

// signal sets a flag that is represented by a channel with a buffer of one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// inspect calls f with the reducer while no step runs.
func (n *Node) inspect(f func(r *proxy.Node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.reducer)
}

// hostPool returns the connection pool of another node, given its forward address.
func (n *Node) hostPool(addr string) *upstream.Pool {
	n.poolsMu.Lock()
	defer n.poolsMu.Unlock()
	p := n.hostPools[addr]
	if p == nil {
		p = upstream.NewPool(addr, &n.hostOpts)
		n.hostPools[addr] = p
	}
	return p
}

func (n *Node) trimPools() {
	now := time.Now()
	n.peers.closeIdle(now)
	n.instancePool.Trim(now)
	n.poolsMu.Lock()
	defer n.poolsMu.Unlock()
	for addr, p := range n.hostPools {
		if !p.Trim(now) {
			delete(n.hostPools, addr) // hosts are replaced often, and pools of old addresses would accumulate
		}
	}
}

// Run serves until ctx ends or a server fails, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		return err
	}
	loopCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.serve() }()
	}
	n.startLoops(loopCtx)
	n.log.Event("node.started", "calls", n.settings.CallAddr, "forward", n.settings.ForwardAddr, "peer", n.settings.PeerAddr,
		"service", string(n.settings.Service), "incarnation", int64(n.startTime))
	select {
	case <-ctx.Done():
	case err = <-failed:
		n.log.Event("node.failed", "error", err.Error())
	}
	n.stop(servers)
	return err
}

func (n *Node) startLoops(ctx context.Context) {
	go n.runEvery(ctx, tickInterval, func() { n.step(proxy.Tick{}) })
	go n.runEvery(ctx, trimInterval, n.trimPools)
	go n.runEvery(ctx, trimInterval, n.expireLostRows)
	go n.runEvery(ctx, trimInterval, func() { n.guard.Sweep(time.Now()) })
	go n.syncTable(ctx, TableOperator)
	go n.syncTable(ctx, TableShared)
	go n.followReader(ctx)
	go n.announce(ctx)
	go n.notifyReaders(ctx)
	go n.writeRollouts(ctx)
	go n.writeQuotaRows(ctx)
	go n.writeEvacuationStatus(ctx)
	go n.gossip(ctx)
}

func (n *Node) runEvery(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// Timing of a graceful stop. Times count from its beginning.
const (
	// quietPeriod is the time without a new client request after which the node stops
	// listening. Clients use another node once two readiness checks, a second apart,
	// have failed.
	quietPeriod = 700 * time.Millisecond
	// minStopTime is the least time for which new requests are still accepted.
	minStopTime = 2200 * time.Millisecond
	// acceptFraction is the fraction of the grace period after which no new request is
	// accepted, even if clients still send some.
	acceptFraction = 0.5
	// stopMargin is the time before the end of the grace period by which the stop is
	// to be complete.
	stopMargin = 900 * time.Millisecond
)

// stop announces that the node leaves, keeps serving until its clients have switched to
// other nodes, and lets the requests in flight finish within the grace period.
func (n *Node) stop(servers []server) {
	began := time.Now()
	n.stopping.Store(true)
	n.step(proxy.Stop{Ends: n.now().Add(n.settings.GracePeriod - stopMargin)})
	graceCtx, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.GracePeriod-stopMargin))
	defer cancel()
	n.awaitIdle(began.Add(time.Duration(acceptFraction*float64(n.settings.GracePeriod))), began)
	// The server for client requests shuts down before the gate's server, which some
	// of these requests still need.
	for _, s := range servers {
		if err := s.shutdown(graceCtx); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.Event("node.requests_cut", "server", s.name, "error", err.Error())
		}
	}
	n.log.Event("node.stopped", "after_ms", time.Since(began).Milliseconds(), "calls", n.inFlight.Load(), "lines_left_out", n.log.Dropped(),
		"store_reads", n.ioCounters.storeReads.Load(), "store_writes", n.ioCounters.storeWrites.Load())
}

// awaitIdle returns once clients have not sent a request for quietPeriod and none is in
// flight. It waits at least minStopTime from began, but in any case returns soon after
// latest.
func (n *Node) awaitIdle(latest, began time.Time) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		sinceLastCall := time.Since(n.started) - time.Duration(n.lastCallAt.Load())
		if now.After(latest) || now.Sub(began) >= minStopTime && sinceLastCall >= quietPeriod && n.inFlight.Load() == 0 {
			return
		}
	}
}
