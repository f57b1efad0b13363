package runtime

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/connpool"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// gateCall is a forwarded call at the gate. The goroutine that serves it owns
// it.
type gateCall struct {
	node    *Node
	id      mesh.CallID
	effects gateWaiter
	header  *fasthttp.RequestHeader
	body    []byte
	target  []byte
	// response goes to the entry node or, for a call that this node forwards to
	// its own gate, to the entry side of this node.
	response *fasthttp.Response
	// dispatched is set from the dispatch of the call until its end is reported
	// to the reducer.
	dispatched bool
}

// serveForward handles a call that an entry node forwards to this gate.
func (n *Node) serveForward(ctx *fasthttp.RequestCtx) {
	target := bytes.TrimPrefix(ctx.RequestURI(), []byte(pathForward))
	arrived, ok := parseForward(&ctx.Request, target)
	if !ok {
		n.opts.Metrics.BadRequests.Add(1)
		writeRefusal(&ctx.Response, mesh.NotRun, mesh.ReasonBadRequest)
		return
	}
	n.serveGateCall(arrived, &ctx.Request.Header, ctx.Request.Body(), target, &ctx.Response)
}

// parseForward reads the headers of a forwarded call. It reports false for a
// malformed request.
func parseForward(req *fasthttp.Request, target []byte) (core.GateArrived, bool) {
	h := &req.Header
	deadline, deadlineOK := parseUint(h.Peek(mesh.HeaderDeadline), maxDeadlineMillis)
	crashes, crashesOK := parseUint(h.Peek(mesh.HeaderCrashes), maxByteValue)
	priority, priorityOK := parseUint(h.Peek(headerPriority), mesh.Priorities-1)
	instance := h.Peek(mesh.HeaderInstance)
	if len(target) == 0 || target[0] != '/' || !deadlineOK || !crashesOK || !priorityOK || deadline == 0 || len(instance) == 0 {
		return core.GateArrived{}, false
	}
	return core.GateArrived{
		Instance: mesh.InstanceID(instance), Priority: mesh.Priority(priority), DeadlineMillis: uint32(deadline),
		Hash:    hashRequest(h, target, req.Body()),
		Crashes: uint8(crashes), Idempotent: len(h.Peek(headerIdempotent)) > 0,
	}, true
}

// forwardLocally runs an attempt at this node's own gate.
func (c *call) forwardLocally(e *core.CallEffect) core.AttemptDone {
	c.attemptResponse.Reset()
	c.node.serveGateCall(core.GateArrived{
		Instance: e.Instance, Priority: e.Priority, DeadlineMillis: remainingMillis(e.Deadline, now()),
		Hash: hashRequest(c.header, c.target, c.body), Crashes: e.Crashes, Idempotent: e.Idempotent,
	}, c.header, c.body, c.target, &c.attemptResponse)
	return c.finishAttempt(e, nil)
}

// serveGateCall passes a call to the reducer as an arrival at the gate,
// executes the effects on it and writes its response.
func (n *Node) serveGateCall(arrived core.GateArrived, header *fasthttp.RequestHeader, body, target []byte, response *fasthttp.Response) {
	g := &gateCall{
		node: n, id: mesh.CallID(n.nextID.Add(1)), effects: make(gateWaiter, waiterCapacity),
		header: header, body: body, target: target, response: response,
	}
	arrived.Call = g.id
	limit := time.Duration(arrived.DeadlineMillis) * time.Millisecond
	cutoff := time.Now().Add(min(limit, n.opts.MaxCallTime) + deadlineGrace)
	defer g.cleanUp()
	n.mu.Lock()
	n.gates[g.id] = g.effects
	n.stepLocked(&core.Event{Kind: core.KindGateArrived, Gate: arrived})
	n.mu.Unlock()
	g.run(cutoff)
}

// cleanUp removes the call from the node. If the goroutine panicked during a
// dispatch, it also reports the call as lost, which releases its slot.
func (g *gateCall) cleanUp() {
	if g.dispatched {
		g.reportDone(core.GateLost, false, false)
	}
	g.node.mu.Lock()
	defer g.node.mu.Unlock()
	delete(g.node.gates, g.id)
}

// run executes the effects on the call until one of them or the time limit ends
// it. If the backend server refuses the call, the reducer may choose a further
// effect.
func (g *gateCall) run(cutoff time.Time) {
	timer := time.NewTimer(time.Until(cutoff))
	defer timer.Stop()
	for {
		select {
		case effect := <-g.effects:
			if g.apply(&effect) {
				return
			}
		case <-timer.C:
			if effect, ok := g.cancelQueued(); ok {
				g.apply(&effect)
			}
			return
		}
	}
}

// cancelQueued ends a call that has waited for a dispatch beyond its time
// limit. If an effect has arrived meanwhile, that effect takes precedence and
// is returned.
func (g *gateCall) cancelQueued() (core.GateEffect, bool) {
	n := g.node
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.gates, g.id)
	select {
	case effect := <-g.effects:
		return effect, true
	default:
	}
	n.stepLocked(&core.Event{Kind: core.KindGateCancelled, CallID: g.id})
	writeRefusal(g.response, mesh.NotRun, mesh.ReasonDeadline)
	return core.GateEffect{}, false
}

// apply executes one effect and reports whether the call has ended.
func (g *gateCall) apply(e *core.GateEffect) bool {
	if e.Action != core.GateDispatch {
		outcome := e.Outcome
		if outcome == 0 {
			outcome = mesh.NotRun
		}
		writeRefusal(g.response, outcome, e.Reason)
		g.response.Header.Set(mesh.HeaderLoad, formatLoad(e.Load))
		return true
	}
	result, crashed := g.dispatch(e)
	failed := result == core.GateAnswered && g.response.StatusCode() >= fasthttp.StatusInternalServerError
	g.reportDone(result, failed, crashed)
	g.finishResponse(result, e)
	return true
}

func (g *gateCall) reportDone(result core.GateResult, failed, crashed bool) {
	g.dispatched = false
	g.node.opts.Metrics.GateDone(uint8(result))
	g.node.step(&core.Event{Kind: core.KindGateDone, GateDone: core.GateDone{
		Call: g.id, Result: result, Failed: failed, Crashed: crashed,
	}})
}

// dispatch sends the request to the backend server. It returns the result and
// whether the backend server has died, that is, no longer accepts connections.
func (g *gateCall) dispatch(e *core.GateEffect) (core.GateResult, bool) {
	g.dispatched = true
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	copyRequest(req, g.header, g.body, "", g.target)
	for _, name := range nodeOnlyHeaders {
		req.Header.Del(name)
	}
	setUint(&req.Header, mesh.HeaderDeadline, int(remainingMillis(e.Deadline, now())))
	depth, _ := parseUint(g.header.Peek(mesh.HeaderDepth), maxByteValue)
	setUint(&req.Header, mesh.HeaderDepth, int(min(depth+1, maxByteValue)))
	pool := g.node.backendConns.Get(e.Addr)
	err := pool.Do(req, g.response, toTime(e.Deadline))
	switch {
	case err == nil && isShed(g.response):
		return core.GateShed, false
	case err == nil:
		return core.GateAnswered, false
	case connpool.IsNotSent(err):
		return core.GateNotSent, !pool.Accepts(context.Background())
	}
	return core.GateLost, !pool.Accepts(context.Background())
}

// isShed reports whether a backend server refused the call before running it.
func isShed(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(resp.Header.Peek(mesh.HeaderOutcome)) == mesh.NotRun.String()
}

// finishResponse sets the headers that state the outcome, or replaces the
// response by a refusal. Hop-by-hop headers and headers that only nodes may set
// are removed from the response of a backend server.
func (g *gateCall) finishResponse(result core.GateResult, e *core.GateEffect) {
	switch result {
	case core.GateAnswered:
		for _, name := range nodeOnlyHeaders {
			g.response.Header.Del(name)
		}
		for _, name := range hopByHopHeaders {
			g.response.Header.Del(name)
		}
		g.response.Header.ResetConnectionClose()
		g.response.Header.Set(mesh.HeaderOutcome, mesh.Answered.String())
	case core.GateShed:
		writeRefusal(g.response, mesh.NotRun, mesh.ReasonOverload)
	case core.GateNotSent:
		writeRefusal(g.response, mesh.NotRun, mesh.ReasonConnectionLost)
	default:
		writeRefusal(g.response, mesh.MayHaveRun, mesh.ReasonConnectionLost)
	}
	select {
	case crash := <-g.effects:
		g.response.Header.Set(headerCrashed, strconv.Itoa(int(crash.Crashes)))
	default:
	}
	g.response.Header.Set(mesh.HeaderVersion, string(e.Version))
	g.response.Header.Set(mesh.HeaderLoad, formatLoad(e.Load))
}
