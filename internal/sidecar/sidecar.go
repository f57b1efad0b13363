// Package sidecar runs the node of a platform that lists hosts and operators'
// rows in its store: the I/O around the reducer of package proxy.
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

	"github.com/chicoryscale/chicoryscale/internal/egress"
	"github.com/chicoryscale/chicoryscale/internal/membudget"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/upstream"
)

const (
	// tickInterval is the period of the reducer's timers.
	tickInterval = 50 * time.Millisecond
	// trimInterval is the period at which idle connections are checked.
	trimInterval = time.Second
	// maxAnswerBytes bounds the body of an instance's answer.
	maxAnswerBytes = 16 << 20
	// waiterEffects is the number of effects that may wait for one request.
	waiterEffects = 4
)

// Node is the process around the reducer.
type Node struct {
	settings Settings
	platform Platform
	headers  *Headers
	log      *Log
	metrics  *metrics
	totals   totals
	started  time.Time
	epoch    mesh.Time // time of day at the start; later times add the steady clock
	nextID   atomic.Uint64

	mu      sync.Mutex
	reducer *proxy.Node
	out     proxy.Ready
	calls   map[mesh.CallID]chan proxy.CallEffect
	gates   map[mesh.CallID]chan proxy.GateEffect

	peers         *peerSet
	replicas      [2]*replica   // by Table
	announced     chan struct{} // this host's record has changed: its row is to be written
	recordChanged chan struct{} // the same: readers are to be notified
	rollouts      chan rolloutWrite
	// changed wakes the nodes that follow this one.
	changed broadcast
	// follower is set while this node follows a reader.
	follower atomic.Bool
	// foundHostsAt is the time, in ns since the start, at which the first read of the
	// shared rows found other hosts; zero if it found none.
	foundHostsAt atomic.Int64
	// substituteUntil is the time, in ns since the start, until which this node reads
	// the store in place of its reader.
	substituteUntil atomic.Int64
	// answers tells by table whether the store has answered the last call.
	answers [2]atomic.Bool

	poolsMu  sync.Mutex
	hosts    map[string]*upstream.Pool // by forward address
	hostOpts upstream.Options
	instance *upstream.Pool
	link     *egress.Link
	memory   *membudget.Budget // of bodies in progress

	lastCall  atomic.Int64 // time of the last request of a client, in ns since the start
	membersAt atomic.Int64 // the same for the last change of a member
	inFlight  atomic.Int64
	stopping  atomic.Bool
	listeners []net.Listener
}

// New returns a node that serves once Run is called.
func New(s Settings, p Platform, log *Log) (*Node, error) {
	n := &Node{
		settings: s, platform: p, headers: p.Headers(), log: log, started: time.Now(),
		calls: make(map[mesh.CallID]chan proxy.CallEffect), gates: make(map[mesh.CallID]chan proxy.GateEffect),
		hosts: make(map[string]*upstream.Pool), announced: make(chan struct{}, 1), recordChanged: make(chan struct{}, 1), rollouts: make(chan rolloutWrite, rolloutQueue),
	}
	n.epoch = mesh.Time(n.started.UnixNano())
	n.memory = membudget.New(s.ContentBytes())
	n.hostOpts = hostOptions(n.memory)
	n.link = egress.NewLink(s.LinkMbps)
	n.instance = upstream.NewPool(s.InstanceAddr, instanceOptions(n.headers.Identity, n.memory))
	n.replicas = [2]*replica{newReplica(), newReplica()}
	n.peers = newPeerSet(n)
	n.reducer = proxy.New(n.now(), proxy.Settings{
		Host: s.Host, Domain: s.Domain, ForwardAddr: cmp.Or(s.AdvertisedForward, s.ForwardAddr),
		PeerAddr: cmp.Or(s.AdvertisedPeer, s.PeerAddr), LinkMbps: s.LinkMbps, Service: s.Service,
		Incarnation: mesh.Incarnation(n.epoch), Repeats: s.Repeats,
	})
	var err error
	n.metrics, err = newMetrics(n)
	return n, err
}

// hostOptions configure connections to other nodes. A request that is lost with
// its connection is more expensive than a new connection, so all are kept long.
func hostOptions(memory *membudget.Budget) upstream.Options {
	return upstream.Options{
		DialTimeout: 300 * time.Millisecond, UserTimeout: 400 * time.Millisecond, KeepAlive: time.Second,
		IdleTime: 20 * time.Second, FreshTime: 20 * time.Second, MaxAnswerBytes: maxAnswerBytes, Memory: memory, StreamBytes: egress.LargeBytes,
	}
}

// instanceOptions configure connections to the instance on this host.
func instanceOptions(identity string, memory *membudget.Budget) *upstream.Options {
	return &upstream.Options{
		DialTimeout: 300 * time.Millisecond, UserTimeout: 400 * time.Millisecond, KeepAlive: time.Second,
		IdleTime: 7 * time.Second, FreshTime: time.Second, MaxAnswerBytes: maxAnswerBytes, Memory: memory, IdentityHeader: identity,
	}
}

// now returns the time for the reducer. It follows the steady clock, so that a
// jump of the time of day moves no timeout.
func (n *Node) now() mesh.Time { return n.epoch.Add(time.Since(n.started)) }

// step runs one event through the reducer and starts its effects.
func (n *Node) step(ev proxy.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.out.Reset()
	n.reducer.Step(n.now(), rand.Uint64(), ev, &n.out)
	n.execute()
}

// execute hands out the effects of a step. It never blocks.
func (n *Node) execute() {
	for i := range n.out.Calls {
		offer(n.calls[n.out.Calls[i].Call], n.out.Calls[i])
	}
	for i := range n.out.Gates {
		offer(n.gates[n.out.Gates[i].Call], n.out.Gates[i])
	}
	if len(n.out.LogRecords) > 0 {
		n.log.Records(time.Now(), n.out.LogRecords)
	}
	for i := range n.out.Checks {
		n.peers.check(n.out.Checks[i])
	}
	for _, p := range n.out.Probes {
		go n.probeInstance(context.Background(), p)
	}
	for i := range n.out.Evidence {
		n.peers.report(n.out.Evidence[i])
	}
	for i := range n.out.Writes {
		n.queueRollout(n.out.Writes[i])
	}
	for _, host := range n.out.Removals {
		go n.removeRow(context.Background(), host)
	}
	if n.out.Announce {
		signal(n.announced)
		signal(n.recordChanged)
	}
	if n.out.MembersChanged {
		n.membersAt.Store(int64(time.Since(n.started)))
		n.changed.wake()
	}
}

// offer hands an effect to its waiter. A request that has ended has none.
func offer[T any](waiter chan T, effect T) {
	select {
	case waiter <- effect:
	default:
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// inspect runs f while no step runs.
func (n *Node) inspect(f func(r *proxy.Node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.reducer)
}

// hostPool returns the connections to another node.
func (n *Node) hostPool(addr string) *upstream.Pool {
	n.poolsMu.Lock()
	defer n.poolsMu.Unlock()
	p := n.hosts[addr]
	if p == nil {
		p = upstream.NewPool(addr, &n.hostOpts)
		n.hosts[addr] = p
	}
	return p
}

func (n *Node) trimPools() {
	now := time.Now()
	n.peers.trim(now)
	n.instance.Trim(now)
	n.poolsMu.Lock()
	defer n.poolsMu.Unlock()
	for addr, p := range n.hosts {
		if !p.Trim(now) {
			delete(n.hosts, addr) // hosts are replaced all the time
		}
	}
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.serve() }()
	}
	n.startLoops(work)
	n.log.Event("node.started", "calls", n.settings.CallAddr, "forward", n.settings.ForwardAddr, "peer", n.settings.PeerAddr,
		"service", string(n.settings.Service), "incarnation", int64(n.epoch))
	select {
	case <-ctx.Done():
	case err = <-failed:
		n.log.Event("node.failed", "error", err.Error())
	}
	n.stop(servers)
	return err
}

func (n *Node) startLoops(ctx context.Context) {
	go n.every(ctx, tickInterval, func() { n.step(proxy.Tick{}) })
	go n.every(ctx, trimInterval, n.trimPools)
	go n.follow(ctx, TableOperator)
	go n.follow(ctx, TableShared)
	go n.followReader(ctx)
	go n.announce(ctx)
	go n.notifyReaders(ctx)
	go n.writeRollouts(ctx)
	go n.gossip(ctx)
}

func (n *Node) every(ctx context.Context, period time.Duration, f func()) {
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

// Times of a graceful stop, from its beginning.
const (
	// quietTime is the time without a new request of a client after which the
	// node stops to listen. Clients use another node once two readiness checks,
	// a second apart, have failed.
	quietTime = 700 * time.Millisecond
	// leastStopTime is the least time for which new requests are accepted.
	leastStopTime = 2200 * time.Millisecond
	// acceptPart is the part of the grace period after which no new request is
	// accepted, however many clients still come.
	acceptPart = 0.5
	// stopMargin is the time left before the end of the grace period.
	stopMargin = 900 * time.Millisecond
)

// stop announces that the node leaves, serves until its clients have moved to
// other nodes, lets the requests in progress finish and ends.
func (n *Node) stop(servers []server) {
	began := time.Now()
	n.stopping.Store(true)
	n.step(proxy.Stop{Ends: n.now().Add(n.settings.GracePeriod - stopMargin)})
	grace, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.GracePeriod-stopMargin))
	defer cancel()
	n.awaitQuiet(began.Add(time.Duration(acceptPart*float64(n.settings.GracePeriod))), began)
	// Requests of clients end before the gate closes, which some of them need.
	for _, s := range servers {
		if err := s.shutdown(grace); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.Event("node.requests_cut", "server", s.name, "error", err.Error())
		}
	}
	n.log.Event("node.stopped", "after_ms", time.Since(began).Milliseconds(), "calls", n.inFlight.Load(), "lines_left_out", n.log.Dropped(),
		"store_reads", n.totals.storeReads.Load(), "store_writes", n.totals.storeWrites.Load())
}

// awaitQuiet returns once no client sends requests any more, at the latest at the
// given time.
func (n *Node) awaitQuiet(latest, began time.Time) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		quiet := time.Since(n.started) - time.Duration(n.lastCall.Load())
		if now.After(latest) || now.Sub(began) >= leastStopTime && quiet >= quietTime && n.inFlight.Load() == 0 {
			return
		}
	}
}
