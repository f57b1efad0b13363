package runtime

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/connpool"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Largest values of numeric headers.
const (
	maxDeadlineMillis = 1<<32 - 1
	maxByteValue      = 1<<8 - 1
)

// deadlineGrace is the time after a call's deadline in which the reducer may
// still end the call. After that the runtime ends it.
const deadlineGrace = time.Second

// call is a call at its entry node. The goroutine that serves the request owns
// it.
type call struct {
	node            *Node
	id              mesh.CallID
	effects         callWaiter
	header          *fasthttp.RequestHeader
	body            []byte
	target          []byte
	response        *fasthttp.Response // response to the caller
	attemptResponse fasthttp.Response  // response to the latest attempt
	answeredAttempt uint8              // number of the attempt whose outcome was Answered, 0 for none
	// mayHaveRun is set once the request, or an earlier send with the same
	// identity, may have run as far as this node can tell.
	mayHaveRun bool
}

// serveCall handles a request of a caller.
func (n *Node) serveCall(ctx *fasthttp.RequestCtx) { n.handleCall(ctx, ctx.RequestURI(), false) }

// handleCall passes a call to the reducer, executes the effects on it and
// responds.
func (n *Node) handleCall(ctx *fasthttp.RequestCtx, target []byte, relayed bool) {
	arrived, ok := parseCall(ctx, target)
	arrived.Relayed = relayed
	if !ok {
		n.opts.Metrics.BadRequests.Add(1)
		n.opts.Metrics.CallDone(mesh.NotRun, mesh.ReasonBadRequest)
		writeRefusal(&ctx.Response, mesh.NotRun, mesh.ReasonBadRequest)
		return
	}
	c := &call{
		node: n, id: mesh.CallID(n.nextID.Add(1)), effects: make(callWaiter, waiterCapacity),
		header: &ctx.Request.Header, body: ctx.Request.Body(), target: target, response: &ctx.Response,
		mayHaveRun: len(arrived.RequestID) > 0,
	}
	arrived.Call = c.id
	limit := n.opts.MaxCallTime
	if arrived.DeadlineMillis > 0 {
		limit = min(limit, time.Duration(arrived.DeadlineMillis)*time.Millisecond)
	}
	defer n.removeCall(c.id)
	n.mu.Lock()
	n.calls[c.id] = c.effects
	n.stepLocked(&core.Event{Kind: core.KindCallArrived, Call: arrived})
	n.mu.Unlock()
	c.run(time.Now().Add(limit + deadlineGrace))
}

func (n *Node) removeCall(id mesh.CallID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.calls, id)
}

// parseCall reads the headers of a call. It reports false for a malformed
// request.
func parseCall(ctx *fasthttp.RequestCtx, target []byte) (core.CallArrived, bool) {
	h := &ctx.Request.Header
	deadline, deadlineOK := parseUint(h.Peek(mesh.HeaderDeadline), maxDeadlineMillis)
	depth, depthOK := parseUint(h.Peek(mesh.HeaderDepth), maxByteValue)
	crashes, crashesOK := parseUint(h.Peek(mesh.HeaderCrashes), maxByteValue)
	if len(target) == 0 || target[0] != '/' || !deadlineOK || !depthOK || !crashesOK {
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
		Hash:           hashRequest(h, target, ctx.Request.Body()),
		DeadlineMillis: uint32(deadline), Depth: uint8(depth), Crashes: uint8(crashes),
	}, true
}

// run executes the effects on the call until one of them or the time limit ends
// it.
func (c *call) run(cutoff time.Time) {
	timer := time.NewTimer(time.Until(cutoff))
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
			c.reject(c.outcomeWithoutAnswer(), mesh.ReasonDeadline)
			return
		}
	}
}

// outcomeWithoutAnswer returns the outcome of a call that the runtime ends:
// MayHaveRun unless the node is sure that the request did not run.
func (c *call) outcomeWithoutAnswer() mesh.Outcome {
	if c.mayHaveRun {
		return mesh.MayHaveRun
	}
	return mesh.NotRun
}

// apply executes one effect and reports whether the call has ended.
func (c *call) apply(e *core.CallEffect) bool {
	switch e.Action {
	case core.CallForward:
		c.reportAttempt(e, c.forward(e))
		return false
	case core.CallRelay:
		return c.relay(e)
	case core.CallRespond:
		if c.answeredAttempt != e.Attempt || e.Attempt == 0 {
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
	copyResponse(c.response, &c.attemptResponse)
	c.response.Header.Del(mesh.HeaderLoad)
	c.response.Header.Set(mesh.HeaderOutcome, mesh.Answered.String())
}

func (c *call) reject(outcome mesh.Outcome, reason mesh.Reason) {
	c.node.opts.Metrics.CallDone(outcome, reason)
	writeRefusal(c.response, outcome, reason)
}

func (c *call) reportAttempt(e *core.CallEffect, done core.AttemptDone) {
	done.Call, done.Attempt = c.id, e.Attempt
	c.node.step(&core.Event{Kind: core.KindAttemptDone, Attempt: done})
}

// forward runs one attempt at the gate of the target host.
func (c *call) forward(e *core.CallEffect) core.AttemptDone {
	c.answeredAttempt = 0
	if e.Host == c.node.opts.Host {
		return c.forwardLocally(e)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	copyRequest(req, c.header, c.body, pathForward, c.target)
	for _, name := range nodeOnlyHeaders {
		req.Header.Del(name)
	}
	setForwardHeaders(&req.Header, e)
	err := c.node.peerConns.Get(e.Addr).Do(req, &c.attemptResponse, toTime(e.Deadline))
	return c.finishAttempt(e, err)
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

// finishAttempt returns the result of an attempt for the reducer and updates
// the state of the call.
func (c *call) finishAttempt(e *core.CallEffect, err error) core.AttemptDone {
	done := readAttempt(&c.attemptResponse, err)
	switch done.Outcome {
	case mesh.Answered:
		c.answeredAttempt, c.mayHaveRun = e.Attempt, true
	case mesh.MayHaveRun:
		c.mayHaveRun = true
	}
	return done
}

// readAttempt reads the result of an attempt from the gate's response. A
// response without an outcome header did not come from a gate, so the request
// may have run.
func readAttempt(resp *fasthttp.Response, err error) core.AttemptDone {
	if err != nil {
		if connpool.IsNotSent(err) {
			return core.AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost}
		}
		return core.AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost}
	}
	outcome, parseErr := mesh.ParseOutcome(string(resp.Header.Peek(mesh.HeaderOutcome)))
	if parseErr != nil {
		return core.AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonBadRequest}
	}
	done := core.AttemptDone{Outcome: outcome}
	done.Reason, _ = mesh.ParseReason(string(resp.Header.Peek(mesh.HeaderReason)))
	done.Failed = outcome == mesh.Answered && resp.StatusCode() >= fasthttp.StatusInternalServerError
	crashes, _ := parseUint(resp.Header.Peek(headerCrashed), maxByteValue)
	done.Crashed, done.Crashes = crashes > 0, uint8(crashes)
	done.Load, done.HasLoad = parseLoad(resp.Header.Peek(mesh.HeaderLoad))
	return done
}

// relay passes the call unchanged to another node and reports whether the call
// has ended. After a refusal the reducer may continue with another effect;
// otherwise the response of the other node is final.
func (c *call) relay(e *core.CallEffect) bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	copyRequest(req, c.header, c.body, pathRelay, c.target)
	setUint(&req.Header, mesh.HeaderDeadline, int(remainingMillis(e.Deadline, now())))
	err := c.node.peerConns.Get(e.Addr).Do(req, &c.attemptResponse, toTime(e.Deadline))
	done := c.finishAttempt(e, err)
	c.reportAttempt(e, done)
	if err != nil || len(c.effects) > 0 {
		return false
	}
	c.node.opts.Metrics.CallDone(done.Outcome, done.Reason)
	copyResponse(c.response, &c.attemptResponse)
	return true
}

func toTime(t mesh.Time) time.Time { return time.Unix(0, int64(t)) }
