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

// reopenDelay is the time without attempts to open connections ahead of calls
// after one has failed. Calls still try at once.
const reopenDelay = time.Second

// maxWrites bounds the connections that a call tries when nothing can be
// written.
const maxWrites = 4

// Pool holds the connections to one address.
type Pool struct {
	addr     string
	opts     Options
	counters *Counters

	mu        sync.Mutex
	idle      []*conn // the most recently used one last
	open      int     // connections in use, idle, being probed or being opened
	pending   int     // connections being probed or opened ahead of calls
	retryAt   time.Time
	all       map[*conn]struct{}
	waiters   []chan *conn
	estimates estimates
	lastCall  time.Time
	closed    bool

	background sync.WaitGroup
}

func newPool(addr string, opts Options, counters *Counters) *Pool {
	return &Pool{addr: addr, opts: opts, counters: counters, all: make(map[*conn]struct{}), lastCall: time.Now()}
}

// Do sends the request once and reads the whole answer before the deadline. An
// error is of type ErrNotSent or ErrLost.
func (p *Pool) Do(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	for attempt := 1; ; attempt++ {
		c, err := p.acquire(deadline)
		if err != nil {
			return err
		}
		start := time.Now()
		until, bounded := p.answerBy(req, start, deadline)
		_ = c.SetDeadline(until)
		step, sent, err := c.write(req)
		if err != nil {
			p.discard(c)
			switch {
			case sent:
				return lost(step, p.addr, err)
			case step == StepEncode || attempt == maxWrites:
				return notSent(step, p.addr, err)
			}
			continue // nothing was written: another connection is safe
		}
		return p.finish(c, req, resp, start, bounded)
	}
}

// finish reads the answer and returns or discards the connection.
func (p *Pool) finish(c *conn, req *fasthttp.Request, resp *fasthttp.Response, start time.Time, bounded bool) error {
	reusable, err := c.read(req, resp, p.opts.MaxAnswerBytes)
	now := time.Now()
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	if err == nil || (timedOut && bounded) {
		p.mu.Lock()
		p.estimates.of(req).add(now.Sub(start))
		p.mu.Unlock()
	}
	if err == nil && reusable {
		c.usedAt = now
		p.release(c)
		return nil
	}
	p.discard(c)
	if timedOut {
		p.counters.Silent.Add(1)
		// Connections often go silent together, so the idle ones are checked
		// at once.
		p.maintain(now, true)
	}
	if err != nil {
		return lost(StepRead, p.addr, err)
	}
	return nil
}

// answerBy returns the time by which the answer must be read, and whether the
// estimate rather than the deadline sets it.
func (p *Pool) answerBy(req *fasthttp.Request, start, deadline time.Time) (time.Time, bool) {
	p.mu.Lock()
	bound, ok := p.estimates.of(req).bound(p.opts.SilenceFloor)
	p.mu.Unlock()
	if by := start.Add(bound); ok && by.Before(deadline) {
		return by, true
	}
	return deadline, false
}

// acquire takes an idle connection, opens one, or waits for one at the limit.
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
		if c.fresh() {
			p.refillLocked(now)
			p.mu.Unlock()
			c.calledAt = now
			return c, nil
		}
		p.counters.Stale.Add(1)
		p.dropLocked(c)
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

// wait waits for a connection that another call gives back. A nil connection
// stands for a free place under the limit.
func (p *Pool) wait(waiter chan *conn, deadline time.Time) (*conn, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case c, ok := <-waiter:
		return p.granted(c, ok, deadline)
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
	c, ok := <-waiter // granted between the timeout and the lock
	return p.granted(c, ok, deadline)
}

func (p *Pool) granted(c *conn, ok bool, deadline time.Time) (*conn, error) {
	switch {
	case !ok:
		return nil, notSent(StepAcquire, p.addr, errClosed)
	case c != nil:
		return c, nil
	}
	return p.dial(min(p.opts.DialTimeout, max(time.Until(deadline), time.Millisecond)))
}

// dial opens a connection for a place that the caller has counted in p.open.
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
		p.retryAt = time.Now().Add(reopenDelay)
		p.vacateLocked()
		return nil, notSent(StepDial, p.addr, err)
	}
	p.counters.Opened.Add(1)
	c := newConn(raw, time.Now())
	p.all[c] = struct{}{}
	return c, nil
}

// release gives a healthy connection to a waiter or to the idle list.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		p.dropLocked(c)
	case len(p.waiters) > 0:
		p.popWaiterLocked() <- c
	default:
		p.idle = append(p.idle, c)
	}
}

func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLocked(c)
}

func (p *Pool) dropLocked(c *conn) {
	_ = c.Close()
	delete(p.all, c)
	p.vacateLocked()
}

// vacateLocked frees a place under the limit or hands it to a waiter.
func (p *Pool) vacateLocked() {
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

// Accepts reports whether the peer accepts a new connection within the dial
// timeout. The connection is closed at once.
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

// Open returns the number of connections in use, idle or being opened.
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

// close ends all connections and waits for the pool's goroutines.
func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	for _, w := range p.waiters {
		close(w)
	}
	p.waiters, p.idle = nil, nil
	for c := range p.all {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.background.Wait()
}
