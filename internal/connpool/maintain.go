package connpool

import (
	"time"

	"github.com/valyala/fasthttp"
)

// maintain closes surplus idle connections, starts the probes that are due and opens
// connections until Options.WarmConns are idle. With probeAll it probes every idle
// connection. It does not wait for the probes and dials that it starts.
func (p *Pool) maintain(now time.Time, probeAll bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.shrinkLocked(now)
	kept := p.idle[:0]
	for _, c := range p.idle {
		if probeAll || now.Sub(c.lastResponseAt) >= p.opts.ProbeInterval {
			p.pending++
			p.background.Go(func() { p.probe(c) })
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.refillLocked(now)
}

// shrinkLocked closes idle connections beyond Options.WarmConns that no call has used
// for the idle timeout.
func (p *Pool) shrinkLocked(now time.Time) {
	kept := p.idle[:0]
	surplus := len(p.idle) - p.opts.WarmConns
	for _, c := range p.idle {
		if surplus > 0 && now.Sub(c.lastCallAt) > p.opts.IdleTimeout {
			surplus--
			p.closeConnLocked(c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
}

// refillLocked starts to open connections until Options.WarmConns are idle, within the
// limit of connections. Connections that are being probed or opened count as idle.
// After a failed dial it opens none until p.openRetryAt.
func (p *Pool) refillLocked(now time.Time) {
	if p.closed || now.Before(p.openRetryAt) {
		return
	}
	missing := min(p.opts.WarmConns-len(p.idle)-p.pending, p.opts.MaxConns-p.open)
	for ; missing > 0; missing-- {
		p.open++
		p.pending++
		p.background.Go(p.openIdle)
	}
}

// decrementPending records that a probe, or a dial ahead of calls, has ended.
func (p *Pool) decrementPending() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
}

// openIdle opens an idle connection, which the caller has already counted in p.open
// and p.pending. If the dial fails, dial updates p.open.
func (p *Pool) openIdle() {
	c, err := p.dial(p.opts.DialTimeout)
	if err == nil {
		p.release(c)
	}
	p.decrementPending()
}

// probe sends a probe on a connection that has been removed from the idle list, so that
// no call uses it meanwhile. It releases the connection, or discards and replaces it if
// the probe fails.
func (p *Pool) probe(c *conn) {
	p.counters.Probes.Add(1)
	if p.sendProbe(c) {
		c.lastResponseAt = time.Now()
		p.release(c)
		p.decrementPending()
		return
	}
	p.counters.ProbesFailed.Add(1)
	p.discard(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
	p.refillLocked(time.Now())
}

// sendProbe sends a probe, unless the connection is closed or has unread bytes. It
// reports whether a complete response of any status arrived in time and the connection
// can be reused.
func (p *Pool) sendProbe(c *conn) bool {
	if !c.openAndEmpty() {
		return false
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(p.addr)
	req.Header.SetRequestURI(p.opts.ProbePath)
	_ = c.SetDeadline(time.Now().Add(p.opts.ProbeTimeout))
	if _, _, err := c.write(req); err != nil {
		return false
	}
	reusable, err := c.read(req, resp, p.opts.MaxAnswerBytes)
	return err == nil && reusable
}

// unused reports whether the pool has had no call for the idle timeout and has no
// connection that is in use, being probed or being opened.
func (p *Pool) unused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastCall) > p.opts.IdleTimeout && len(p.idle) == p.open
}

// restartIdleTimeout restarts the idle timeout of the pool, as a call does. Set.Warm
// uses it so that a pool whose connections are opened ahead of calls is not closed as
// unused.
func (p *Pool) restartIdleTimeout(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCall = now
}
