package connpool

import (
	"time"

	"github.com/valyala/fasthttp"
)

// maintain starts the probes that are due and opens connections up to the warm
// number. With all set it probes every idle connection. It does not block.
func (p *Pool) maintain(now time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.shrinkLocked(now)
	kept := p.idle[:0]
	for _, c := range p.idle {
		if all || now.Sub(c.usedAt) >= p.opts.ProbeInterval {
			p.pending++
			p.background.Go(func() { p.probe(c) })
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.refillLocked(now)
}

// shrinkLocked closes connections above the warm number that no call has used
// for the idle timeout.
func (p *Pool) shrinkLocked(now time.Time) {
	kept := p.idle[:0]
	surplus := len(p.idle) - p.opts.WarmConns
	for _, c := range p.idle {
		if surplus > 0 && now.Sub(c.calledAt) > p.opts.IdleTimeout {
			surplus--
			p.dropLocked(c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
}

// refillLocked opens connections until the warm number is idle, within the
// limit.
func (p *Pool) refillLocked(now time.Time) {
	if p.closed || now.Before(p.retryAt) {
		return
	}
	missing := min(p.opts.WarmConns-len(p.idle)-p.pending, p.opts.MaxConns-p.open)
	for ; missing > 0; missing-- {
		p.open++
		p.pending++
		p.background.Go(p.openIdle)
	}
}

func (p *Pool) settlePending() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
}

// openIdle opens a connection for a place that the caller has counted.
func (p *Pool) openIdle() {
	c, err := p.dial(p.opts.DialTimeout)
	if err == nil {
		p.release(c)
	}
	p.settlePending()
}

// probe sends a probe on an idle connection, which no call can take meanwhile.
func (p *Pool) probe(c *conn) {
	p.counters.Probes.Add(1)
	if p.answersProbe(c) {
		c.usedAt = time.Now()
		p.release(c)
		p.settlePending()
		return
	}
	p.counters.ProbesFailed.Add(1)
	p.discard(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
	p.refillLocked(time.Now())
}

func (p *Pool) answersProbe(c *conn) bool {
	if !c.fresh() {
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

// unused reports whether the pool has had no call for its idle timeout.
func (p *Pool) unused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastCall) > p.opts.IdleTimeout && len(p.idle) == p.open
}

// touch keeps the pool from being closed as unused.
func (p *Pool) touch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCall = now
}
