package connpool

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	errClosed   = errors.New("pool is closed")
	errDeadline = errors.New("deadline passed")
	errBusy     = errors.New("all connections are in use")
)

// reopenDelay is the time after a failed dial during which no connections are opened
// ahead of calls. Calls still dial at once.
const reopenDelay = time.Second

// maxWriteAttempts bounds the connections that a call tries while no byte of its
// request can be written.
const maxWriteAttempts = 4

// Pool holds the connections to one address.
type Pool struct {
	addr     string
	opts     Options
	counters *Counters

	mu          sync.Mutex
	idle        []*conn            // the most recently used one last
	open        int                // connections in use, idle, being probed or being opened
	pending     int                // connections being probed or opened ahead of calls
	openRetryAt time.Time          // no connections are opened ahead of calls before this time
	conns       map[*conn]struct{} // every open connection, in use or idle
	waiters     []chan *conn       // calls waiting at the limit; see wait
	estimates   estimates
	lastCall    time.Time // or the last call of Set.Warm
	closed      bool

	background sync.WaitGroup
}

func newPool(addr string, opts Options, counters *Counters) *Pool {
	return &Pool{addr: addr, opts: opts, counters: counters, conns: make(map[*conn]struct{}), lastCall: time.Now()}
}

// Do sends the request at most once and reads the complete response before the
// deadline. An error is of type ErrNotSent or ErrLost.
func (p *Pool) Do(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	for attempt := 1; ; attempt++ {
		c, err := p.acquire(deadline)
		if err != nil {
			return err
		}
		start := time.Now()
		responseBy, byEstimate := p.responseDeadline(req, start, deadline)
		_ = c.SetDeadline(responseBy)
		step, sent, err := c.write(req)
		if err != nil {
			p.discard(c)
			switch {
			case sent:
				return lost(step, p.addr, err)
			case step == StepEncode || attempt == maxWriteAttempts:
				return notSent(step, p.addr, err)
			}
			continue // nothing was written, so another connection can be tried
		}
		return p.finish(c, req, resp, start, byEstimate)
	}
}

// finish reads the response and then releases or discards the connection. byEstimate
// says that the read deadline of the connection comes from the estimate.
func (p *Pool) finish(c *conn, req *fasthttp.Request, resp *fasthttp.Response, start time.Time, byEstimate bool) error {
	reusable, err := c.read(req, resp, p.opts.MaxAnswerBytes)
	now := time.Now()
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	if err == nil || (timedOut && byEstimate) {
		p.mu.Lock()
		p.estimates.forRequest(req).add(now.Sub(start))
		p.mu.Unlock()
	}
	if err == nil && reusable {
		c.lastResponseAt = now
		p.release(c)
		return nil
	}
	p.discard(c)
	if timedOut {
		p.counters.Silent.Add(1)
		// Connections to a peer often go silent at the same time, so all idle ones
		// are probed at once.
		p.maintain(now, true)
	}
	if err != nil {
		return lost(StepRead, p.addr, err)
	}
	return nil
}

// responseDeadline returns the time by which the response must have been read, and
// whether that time comes from the estimate rather than from the call's deadline.
func (p *Pool) responseDeadline(req *fasthttp.Request, start, deadline time.Time) (time.Time, bool) {
	p.mu.Lock()
	bound, ok := p.estimates.forRequest(req).bound(p.opts.SilenceFloor)
	p.mu.Unlock()
	if boundAt := start.Add(bound); ok && boundAt.Before(deadline) {
		return boundAt, true
	}
	return deadline, false
}

// acquire returns an idle connection or opens one. At the limit of connections it
// waits until one is released.
func (p *Pool) acquire(deadline time.Time) (*conn, error) {
	now := time.Now()
	if !now.Before(deadline) {
		return nil, notSent(StepAcquire, p.addr, errDeadline)
	}
	p.mu.Lock()
	p.lastCall = now
	for len(p.idle) > 0 && !p.closed {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.openAndEmpty() {
			p.refillLocked(now)
			p.mu.Unlock()
			c.lastCallAt = now
			return c, nil
		}
		p.counters.Stale.Add(1)
		p.closeConnLocked(c)
	}
	if p.closed {
		p.mu.Unlock()
		return nil, notSent(StepAcquire, p.addr, errClosed)
	}
	if p.open < p.opts.MaxConns {
		p.open++
		p.mu.Unlock()
		return p.dial(min(p.opts.DialTimeout, deadline.Sub(now)))
	}
	waiter := make(chan *conn, 1)
	p.waiters = append(p.waiters, waiter)
	p.mu.Unlock()
	return p.wait(waiter, deadline)
}

// wait waits until another call releases its connection to the waiter. A nil
// connection from the channel means that the waiter may open one itself, and a closed
// channel that the pool was closed.
func (p *Pool) wait(waiter chan *conn, deadline time.Time) (*conn, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case c, ok := <-waiter:
		return p.connFromGrant(c, ok, deadline)
	case <-timer.C:
	}
	p.mu.Lock()
	for i, w := range p.waiters {
		if w == waiter {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return nil, notSent(StepAcquire, p.addr, errBusy)
		}
	}
	p.mu.Unlock()
	c, ok := <-waiter // sent between the timeout and the lock
	return p.connFromGrant(c, ok, deadline)
}

// connFromGrant returns the connection for a value received by a waiter.
func (p *Pool) connFromGrant(c *conn, ok bool, deadline time.Time) (*conn, error) {
	switch {
	case !ok:
		return nil, notSent(StepAcquire, p.addr, errClosed)
	case c != nil:
		return c, nil
	}
	return p.dial(min(p.opts.DialTimeout, max(time.Until(deadline), time.Millisecond)))
}

// dial opens a connection, which the caller has already counted in p.open. If the
// dial fails, a waiter may open a connection instead, or p.open is reduced again.
func (p *Pool) dial(timeout time.Duration) (*conn, error) {
	raw, err := net.DialTimeout("tcp", p.addr, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		_ = raw.Close()
		err = errClosed
	}
	if err != nil {
		p.counters.OpenFailed.Add(1)
		p.openRetryAt = time.Now().Add(reopenDelay)
		p.releaseSlotLocked()
		return nil, notSent(StepDial, p.addr, err)
	}
	p.counters.Opened.Add(1)
	c := newConn(raw, time.Now())
	p.conns[c] = struct{}{}
	return c, nil
}

// release hands a healthy connection to a waiter, or adds it to the idle list if there
// is none.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		p.closeConnLocked(c)
	case len(p.waiters) > 0:
		p.popWaiterLocked() <- c
	default:
		p.idle = append(p.idle, c)
	}
}

func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConnLocked(c)
}

func (p *Pool) closeConnLocked(c *conn) {
	_ = c.Close()
	delete(p.conns, c)
	p.releaseSlotLocked()
}

// releaseSlotLocked lets a waiter open a connection in place of a closed one. Without
// a waiter it counts one connection less.
func (p *Pool) releaseSlotLocked() {
	if len(p.waiters) > 0 && !p.closed {
		p.popWaiterLocked() <- nil
		return
	}
	p.open--
}

func (p *Pool) popWaiterLocked() chan *conn {
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	return w
}

// Accepts reports whether the peer accepts a new connection within the dial timeout.
// That connection is closed at once.
func (p *Pool) Accepts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Open returns the number of connections in use, idle, being probed or being opened.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// close closes all connections, fails the waiting calls and waits for the goroutines
// of the pool.
func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	for _, w := range p.waiters {
		close(w)
	}
	p.waiters, p.idle = nil, nil
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.background.Wait()
}
