package runtime

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/connpool"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Limits of numeric headers.
const (
	maxDeadlineMillis = 1<<32 - 1
	maxSmallNumber    = 1<<8 - 1
)

// effectSlack is the time that the reducer has after a call's deadline to end
// the call before the runtime does.
const effectSlack = time.Second

// call is a call at its entry node. One goroutine owns it.
type call struct {
	node     *Node
	id       mesh.CallID
	effects  callWaiter
	header   *fasthttp.RequestHeader
	body     []byte
	target   []byte
	answer   *fasthttp.Response // to the caller
	attempt  fasthttp.Response  // the latest answer of an attempt
	attempts uint8              // number of the attempt that answered
	// mayHaveRun is set once the node can no longer be sure that the request,
	// or an earlier send of the same identity, was not run.
	mayHaveRun bool
}

// serveCall handles a request of a caller.
func (n *Node) serveCall(ctx *fasthttp.RequestCtx) { n.enter(ctx, ctx.RequestURI(), false) }

// enter runs a call through the reducer and answers it.
func (n *Node) enter(ctx *fasthttp.RequestCtx, target []byte, relayed bool) {
	arrived, ok := parseCall(ctx, target)
	arrived.Relayed = relayed
	if !ok {
		n.opts.Metrics.BadRequests.Add(1)
		n.opts.Metrics.CallDone(mesh.NotRun, mesh.ReasonBadRequest)
		refuse(&ctx.Response, mesh.NotRun, mesh.ReasonBadRequest)
		return
	}
	c := &call{
		node: n, id: mesh.CallID(n.nextID.Add(1)), effects: make(callWaiter, waiterEffects),
		header: &ctx.Request.Header, body: ctx.Request.Body(), target: target, answer: &ctx.Response,
		mayHaveRun: len(arrived.RequestID) > 0,
	}
	arrived.Call = c.id
	limit := n.opts.MaxCallTime
	if arrived.DeadlineMillis > 0 {
		limit = min(limit, time.Duration(arrived.DeadlineMillis)*time.Millisecond)
	}
	defer n.forgetCall(c.id)
	n.mu.Lock()
	n.calls[c.id] = c.effects
	n.stepLocked(&core.Event{Kind: core.KindCallArrived, Call: arrived})
	n.mu.Unlock()
	c.run(time.Now().Add(limit + effectSlack))
}

func (n *Node) forgetCall(id mesh.CallID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.calls, id)
}

// parseCall reads a call's headers. It reports false for a malformed request.
func parseCall(ctx *fasthttp.RequestCtx, target []byte) (core.CallArrived, bool) {
	h := &ctx.Request.Header
	deadline, ok1 := parseUint(h.Peek(mesh.HeaderDeadline), maxDeadlineMillis)
	depth, ok2 := parseUint(h.Peek(mesh.HeaderDepth), maxSmallNumber)
	crashes, ok3 := parseUint(h.Peek(mesh.HeaderCrashes), maxSmallNumber)
	if len(target) == 0 || target[0] != '/' || !ok1 || !ok2 || !ok3 {
		return core.CallArrived{}, false
	}
	path := target
	for i, b := range target {
		if b == '?' {
			path = target[:i]
			break
		}
	}
	return core.CallArrived{
		Service: h.Peek(mesh.HeaderService), Method: h.Method(), Path: path, RequestID: h.Peek(mesh.HeaderRequestID),
		Fingerprint:    fingerprint(h.Method(), target, ctx.Request.Body()),
		DeadlineMillis: uint32(deadline), Depth: uint8(depth), Crashes: uint8(crashes),
	}, true
}

// run executes the effects on the call until one ends it.
func (c *call) run(until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case effect := <-c.effects:
			if c.apply(&effect) {
				return
			}
			continue
		default:
		}
		select {
		case effect := <-c.effects:
			if c.apply(&effect) {
				return
			}
		case <-timer.C:
			c.node.step(&core.Event{Kind: core.KindCallCancelled, CallID: c.id})
			c.reject(c.ownOutcome(), mesh.ReasonDeadline)
			return
		}
	}
}

func (c *call) ownOutcome() mesh.Outcome {
	if c.mayHaveRun {
		return mesh.MayHaveRun
	}
	return mesh.NotRun
}

// apply executes one effect and reports whether the call has ended.
func (c *call) apply(e *core.CallEffect) bool {
	switch e.Action {
	case core.CallForward:
		c.report(e, c.forward(e))
		return false
	case core.CallRelay:
		return c.relay(e)
	case core.CallRespond:
		if c.attempts != e.Attempt || e.Attempt == 0 {
			c.reject(mesh.MayHaveRun, mesh.ReasonConnectionLost)
			return true
		}
		c.respond()
		return true
	default:
		c.reject(e.Outcome, e.Reason)
		return true
	}
}

func (c *call) respond() {
	c.node.opts.Metrics.CallDone(mesh.Answered, mesh.ReasonNone)
	copyAnswer(c.answer, &c.attempt)
	c.answer.Header.Del(mesh.HeaderLoad)
	c.answer.Header.Set(mesh.HeaderOutcome, mesh.Answered.String())
}

func (c *call) reject(outcome mesh.Outcome, reason mesh.Reason) {
	c.node.opts.Metrics.CallDone(outcome, reason)
	refuse(c.answer, outcome, reason)
}

func (c *call) report(e *core.CallEffect, done core.AttemptDone) {
	done.Call, done.Attempt = c.id, e.Attempt
	c.node.step(&core.Event{Kind: core.KindAttemptDone, Attempt: done})
}

// forward runs one attempt at the target's gate.
func (c *call) forward(e *core.CallEffect) core.AttemptDone {
	c.attempts = 0
	if e.Host == c.node.opts.Host {
		return c.forwardLocally(e)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	copyRequest(req, c.header, c.body, pathForward, c.target)
	for _, name := range nodeHeaders {
		req.Header.Del(name)
	}
	setForwardHeaders(&req.Header, e)
	err := c.node.peerConns.Get(e.Addr).Do(req, &c.attempt, timeOf(e.Deadline))
	return c.settle(e, err)
}

func setForwardHeaders(h *fasthttp.RequestHeader, e *core.CallEffect) {
	setUint(h, mesh.HeaderDeadline, int(remainingMillis(e.Deadline, now())))
	setUint(h, mesh.HeaderAttempt, int(e.Attempt))
	setUint(h, mesh.HeaderCrashes, int(e.Crashes))
	h.Set(mesh.HeaderInstance, string(e.Instance))
	setUint(h, headerPriority, int(e.Priority))
	if e.Idempotent {
		h.Set(headerIdempotent, "1")
	}
}

// settle turns the end of an attempt into an event and notes what it means for
// the call.
func (c *call) settle(e *core.CallEffect, err error) core.AttemptDone {
	done := readAttempt(&c.attempt, err)
	switch done.Outcome {
	case mesh.Answered:
		c.attempts, c.mayHaveRun = e.Attempt, true
	case mesh.MayHaveRun:
		c.mayHaveRun = true
	}
	return done
}

// readAttempt reads the result of an attempt from the gate's answer. An answer
// that states no outcome did not come from a gate and proves nothing.
func readAttempt(resp *fasthttp.Response, err error) core.AttemptDone {
	if err != nil {
		if connpool.IsNotSent(err) {
			return core.AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost}
		}
		return core.AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost}
	}
	outcome, outcomeErr := mesh.ParseOutcome(string(resp.Header.Peek(mesh.HeaderOutcome)))
	if outcomeErr != nil {
		return core.AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonBadRequest}
	}
	done := core.AttemptDone{Outcome: outcome}
	done.Reason, _ = mesh.ParseReason(string(resp.Header.Peek(mesh.HeaderReason)))
	done.Failed = outcome == mesh.Answered && resp.StatusCode() >= fasthttp.StatusInternalServerError
	crashes, _ := parseUint(resp.Header.Peek(headerCrashed), maxSmallNumber)
	done.Crashed, done.Crashes = crashes > 0, uint8(crashes)
	done.Load, done.HasLoad = parseLoad(resp.Header.Peek(mesh.HeaderLoad))
	return done
}

// relay passes the call unchanged to another node. The reducer may follow a
// refusal with another effect; otherwise the other node's answer stands.
func (c *call) relay(e *core.CallEffect) bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	copyRequest(req, c.header, c.body, pathRelay, c.target)
	setUint(&req.Header, mesh.HeaderDeadline, int(remainingMillis(e.Deadline, now())))
	err := c.node.peerConns.Get(e.Addr).Do(req, &c.attempt, timeOf(e.Deadline))
	done := c.settle(e, err)
	c.report(e, done)
	if err != nil || len(c.effects) > 0 {
		return false
	}
	c.node.opts.Metrics.CallDone(done.Outcome, done.Reason)
	copyAnswer(c.answer, &c.attempt)
	return true
}

func timeOf(t mesh.Time) time.Time { return time.Unix(0, int64(t)) }
