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

// gateCall is a forwarded call at the gate. One goroutine owns it.
type gateCall struct {
	node    *Node
	id      mesh.CallID
	effects gateWaiter
	header  *fasthttp.RequestHeader
	body    []byte
	target  []byte
	// answer is the answer to the entry node or, for a local call, to the entry
	// half of this node.
	answer *fasthttp.Response
	// dispatched is set while a dispatch has not been reported as done.
	dispatched bool
}

// serveForward handles a call that an entry node forwards to this gate.
func (n *Node) serveForward(ctx *fasthttp.RequestCtx) {
	target := bytes.TrimPrefix(ctx.RequestURI(), []byte(pathForward))
	arrived, ok := parseForward(&ctx.Request, target)
	if !ok {
		n.opts.Metrics.BadRequests.Add(1)
		refuse(&ctx.Response, mesh.NotRun, mesh.ReasonBadRequest)
		return
	}
	n.gate(arrived, &ctx.Request.Header, ctx.Request.Body(), target, &ctx.Response)
}

// parseForward reads the headers of a forwarded call. It reports false for a
// malformed request.
func parseForward(req *fasthttp.Request, target []byte) (core.GateArrived, bool) {
	h := &req.Header
	deadline, ok1 := parseUint(h.Peek(mesh.HeaderDeadline), maxDeadlineMillis)
	crashes, ok2 := parseUint(h.Peek(mesh.HeaderCrashes), maxSmallNumber)
	priority, ok3 := parseUint(h.Peek(headerPriority), mesh.Priorities-1)
	instance := h.Peek(mesh.HeaderInstance)
	if len(target) == 0 || target[0] != '/' || !ok1 || !ok2 || !ok3 || deadline == 0 || len(instance) == 0 {
		return core.GateArrived{}, false
	}
	return core.GateArrived{
		Instance: mesh.InstanceID(instance), Priority: mesh.Priority(priority), DeadlineMillis: uint32(deadline),
		Fingerprint: fingerprint(h.Method(), target, req.Body()),
		Crashes:     uint8(crashes), Idempotent: len(h.Peek(headerIdempotent)) > 0,
	}, true
}

// forwardLocally runs an attempt at this node's own gate.
func (c *call) forwardLocally(e *core.CallEffect) core.AttemptDone {
	c.attempt.Reset()
	c.node.gate(core.GateArrived{
		Instance: e.Instance, Priority: e.Priority, DeadlineMillis: remainingMillis(e.Deadline, now()),
		Fingerprint: fingerprint(c.header.Method(), c.target, c.body), Crashes: e.Crashes, Idempotent: e.Idempotent,
	}, c.header, c.body, c.target, &c.attempt)
	return c.settle(e, nil)
}

// gate runs a call through the gate and writes its answer.
func (n *Node) gate(arrived core.GateArrived, header *fasthttp.RequestHeader, body, target []byte, answer *fasthttp.Response) {
	g := &gateCall{
		node: n, id: mesh.CallID(n.nextID.Add(1)), effects: make(gateWaiter, waiterEffects),
		header: header, body: body, target: target, answer: answer,
	}
	arrived.Call = g.id
	limit := time.Duration(arrived.DeadlineMillis) * time.Millisecond
	until := time.Now().Add(min(limit, n.opts.MaxCallTime) + effectSlack)
	defer g.abandon()
	n.mu.Lock()
	n.gates[g.id] = g.effects
	n.stepLocked(&core.Event{Kind: core.KindGateArrived, Gate: arrived})
	n.mu.Unlock()
	g.run(until)
}

// abandon releases the slot of a call whose goroutine panicked.
func (g *gateCall) abandon() {
	if g.dispatched {
		g.done(core.GateLost, false, false)
	}
	g.node.mu.Lock()
	defer g.node.mu.Unlock()
	delete(g.node.gates, g.id)
}

// run waits for the effect that dispatches or rejects the call. Backend servers
// that refuse a call leave the reducer the choice of a further effect.
func (g *gateCall) run(until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case effect := <-g.effects:
			if g.apply(&effect) {
				return
			}
		case <-timer.C:
			if effect, ok := g.giveUp(); ok {
				g.apply(&effect)
			}
			return
		}
	}
}

// giveUp ends the wait of a queued call. It returns an effect that arrived
// meanwhile, which has precedence.
func (g *gateCall) giveUp() (core.GateEffect, bool) {
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
	refuse(g.answer, mesh.NotRun, mesh.ReasonDeadline)
	return core.GateEffect{}, false
}

// apply executes one effect and reports whether the call has ended.
func (g *gateCall) apply(e *core.GateEffect) bool {
	if e.Action != core.GateDispatch {
		outcome := e.Outcome
		if outcome == 0 {
			outcome = mesh.NotRun
		}
		refuse(g.answer, outcome, e.Reason)
		g.answer.Header.Set(mesh.HeaderLoad, formatLoad(e.Load))
		return true
	}
	result, crashed := g.dispatch(e)
	failed := result == core.GateAnswered && g.answer.StatusCode() >= fasthttp.StatusInternalServerError
	g.done(result, failed, crashed)
	g.describe(result, e)
	return true
}

func (g *gateCall) done(result core.GateResult, failed, crashed bool) {
	g.dispatched = false
	g.node.opts.Metrics.GateDone(uint8(result))
	g.node.step(&core.Event{Kind: core.KindGateDone, GateDone: core.GateDone{
		Call: g.id, Result: result, Failed: failed, Crashed: crashed,
	}})
}

// dispatch sends the request to the backend server. It reports how that ended
// and whether the backend server has died.
func (g *gateCall) dispatch(e *core.GateEffect) (core.GateResult, bool) {
	g.dispatched = true
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	copyRequest(req, g.header, g.body, "", g.target)
	for _, name := range nodeHeaders {
		req.Header.Del(name)
	}
	setUint(&req.Header, mesh.HeaderDeadline, int(remainingMillis(e.Deadline, now())))
	depth, _ := parseUint(g.header.Peek(mesh.HeaderDepth), maxSmallNumber)
	setUint(&req.Header, mesh.HeaderDepth, int(min(depth+1, maxSmallNumber)))
	pool := g.node.backendConns.Get(e.Addr)
	err := pool.Do(req, g.answer, timeOf(e.Deadline))
	switch {
	case err == nil && isShed(g.answer):
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

// describe states the outcome on the answer. What a backend server wrote into
// the nodes' headers is dropped.
func (g *gateCall) describe(result core.GateResult, e *core.GateEffect) {
	switch result {
	case core.GateAnswered:
		for _, name := range nodeHeaders {
			g.answer.Header.Del(name)
		}
		for _, name := range hopHeaders {
			g.answer.Header.Del(name)
		}
		g.answer.Header.ResetConnectionClose()
		g.answer.Header.Set(mesh.HeaderOutcome, mesh.Answered.String())
	case core.GateShed:
		refuse(g.answer, mesh.NotRun, mesh.ReasonOverload)
	case core.GateNotSent:
		refuse(g.answer, mesh.NotRun, mesh.ReasonConnectionLost)
	default:
		refuse(g.answer, mesh.MayHaveRun, mesh.ReasonConnectionLost)
	}
	select {
	case report := <-g.effects:
		g.answer.Header.Set(headerCrashed, strconv.Itoa(int(report.Crashes)))
	default:
	}
	g.answer.Header.Set(mesh.HeaderVersion, string(e.Version))
	g.answer.Header.Set(mesh.HeaderLoad, formatLoad(e.Load))
}
