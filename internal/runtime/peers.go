package runtime

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/telemetry"
)

const (
	// peerQueueSize limits the envelopes that wait for one peer.
	peerQueueSize = 64
	// peerIdleTimeout is the time without envelopes after which a connection is closed.
	peerIdleTimeout = 30 * time.Second
	// Bounds of the backoff between connection attempts, with full jitter. A
	// host that restarts waits for replies from its peers. Replies that a peer
	// sends to it during the peer's backoff fail and are lost, so backoffCap is
	// below the timeouts of the requests.
	backoffBase = 100 * time.Millisecond
	backoffCap  = time.Second
)

// peerSet holds the outgoing control connections to other nodes. A connection
// is kept for later envelopes and closed after peerIdleTimeout without any.
type peerSet struct {
	opts *Options
	// onFailure is called with each envelope that did not fit into the queue or
	// whose delivery failed. If only the acknowledgement is missing, the peer may
	// have received the envelope. Envelopes sent after close are not reported,
	// and those still queued at close may not be. onFailure is allowed to block,
	// which delays only further envelopes to the same address, and close.
	onFailure func(addr string, env *core.Envelope)

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
	stop   chan struct{}
	wg     sync.WaitGroup
}

func newPeerSet(opts *Options, onFailure func(string, *core.Envelope)) *peerSet {
	return &peerSet{opts: opts, onFailure: onFailure, peers: make(map[string]*peer), stop: make(chan struct{})}
}

// send queues an envelope without blocking. If the queue is full, the envelope
// is dropped and passed to onFailure. After close it is dropped silently.
func (s *peerSet) send(addr string, env core.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	p := s.peers[addr]
	if p == nil {
		p = &peer{set: s, addr: addr, queue: make(chan core.Envelope, peerQueueSize)}
		s.peers[addr] = p
		s.wg.Go(p.run)
	}
	select {
	case p.queue <- env:
	default:
		s.opts.Metrics.SendsFailed.Add(1)
		s.wg.Go(func() { s.onFailure(addr, &env) })
	}
}

// removeIdle removes an idle peer. It reports false if an envelope has just
// been queued.
func (s *peerSet) removeIdle(p *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(s.peers, p.addr)
	return true
}

func (s *peerSet) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	close(s.stop)
	s.wg.Wait()
}

// peer is the local sender for one remote node: the queue of envelopes for its
// address and the connection to it. It sends them in order and one at a time.
type peer struct {
	set                 *peerSet
	addr                string
	queue               chan core.Envelope
	client              *rpc.Client
	consecutiveFailures int       // failed connections or deliveries since the last success
	retryAt             time.Time // earliest time of the next connection attempt
}

func (p *peer) run() {
	defer p.disconnect()
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.set.stop:
			return
		case env := <-p.queue:
			if err := p.deliver(&env); err != nil {
				p.set.opts.Metrics.SendsFailed.Add(1)
				p.set.onFailure(p.addr, &env)
			}
			idle.Reset(peerIdleTimeout)
		case <-idle.C:
			if p.set.removeIdle(p) {
				return
			}
			idle.Reset(peerIdleTimeout)
		}
	}
}

// deliver sends an envelope and waits for its acknowledgement. If the remote
// node has closed the connection since the last envelope and the RPC client has
// noticed, the call fails with ErrShutdown before this envelope is written. The
// connection is then replaced and the envelope sent at once, without a backoff,
// since it may hold a reply for which a restarted node is waiting.
func (p *peer) deliver(env *core.Envelope) error {
	reused := p.client != nil
	if err := p.connect(); err != nil {
		return err
	}
	err := p.call(env)
	if reused && errors.Is(err, rpc.ErrShutdown) {
		p.disconnect()
		if err := p.connect(); err != nil {
			return err
		}
		err = p.call(env)
	}
	if err != nil {
		p.backOff()
		return wrapError(ErrSend, "deliver", p.addr, err)
	}
	p.consecutiveFailures = 0
	return nil
}

// call sends an envelope over the open connection and waits for its
// acknowledgement.
func (p *peer) call(env *core.Envelope) error {
	call := p.client.Go(methodDeliver, env, new(Ack), make(chan *rpc.Call, 1))
	timer := time.NewTimer(controlTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return call.Error
	case <-timer.C:
		return ErrTimeout.New("peer did not acknowledge the envelope within %v", controlTimeout)
	case <-p.set.stop:
		return ErrSend.New("local node is stopping")
	}
}

// connect opens the connection unless it is open. During the backoff it fails
// immediately, without an attempt, with an ErrSend whose cause is an ErrTimeout.
func (p *peer) connect() error {
	if p.client != nil {
		return nil
	}
	if time.Now().Before(p.retryAt) {
		return wrapError(ErrSend, "back-off", p.addr, ErrTimeout.New("not connected, waiting to reconnect after a failure"))
	}
	c, err := net.DialTimeout("tcp", p.addr, controlTimeout)
	if err != nil {
		p.backOff()
		return wrapError(ErrSend, "dial", p.addr, err)
	}
	p.client = rpc.NewClient(&countedConn{Conn: c, metrics: p.set.opts.Metrics})
	return nil
}

// backOff closes the connection and sets the time of the next attempt.
func (p *peer) backOff() {
	p.disconnect()
	limit := min(backoffBase<<min(p.consecutiveFailures, 10), backoffCap)
	p.consecutiveFailures++
	p.retryAt = time.Now().Add(rand.N(limit))
}

func (p *peer) disconnect() {
	if p.client != nil {
		_ = p.client.Close()
		p.client = nil
	}
}

// countedConn counts the bytes of an outgoing control connection and sets a
// timeout on its writes.
type countedConn struct {
	net.Conn
	metrics *telemetry.Metrics
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.ControlBytes(telemetry.Received, telemetry.CauseDeliver, n)
	return n, err
}

// Write implements io.Writer with the write timeout.
func (c *countedConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(controlTimeout))
	n, err := c.Conn.Write(p)
	c.metrics.ControlBytes(telemetry.Sent, telemetry.CauseDeliver, n)
	return n, err
}
