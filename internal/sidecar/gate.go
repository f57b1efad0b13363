package sidecar

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/egress"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/upstream"
)

// forwardedRequest is a request that an entry node sends to a gate. The gate is the part
// of a node that admits requests to the instance on its host.
type forwardedRequest struct {
	method, target, host string
	header               http.Header
	body                 []byte

	instance          mesh.InstanceID
	route             mesh.Route
	rank              int // priority of the route, zero is the highest
	tenantRank        int // priority of the tenant, zero is the highest
	deadline          mesh.Time
	leftToTarget      time.Duration // time until the route's target latency is exceeded; negative if it is
	mayQueue          bool          // the request may wait for a slot
	idempotent        bool          // the request may run more than once
	repeatProbability float64       // probability that the request is a retry
	fingerprint       mesh.Fingerprint
	suspicion         poison.Suspicion
}

// gateAnswer is the result of a request at a gate.
type gateAnswer struct {
	outcome    mesh.Outcome
	reason     mesh.Reason
	reached    bool // the request was passed to the instance, or may have been
	hostFailed bool // the connection to the gate's host failed
	suspicion  poison.Suspicion
	waited     time.Duration // time until a slot was free
	duration   time.Duration // time that the instance took
	backlog    time.Duration // time that large answers wait for the host's link
	load       mesh.Load     // of the gate, valid if hasLoad is set
	hasLoad    bool
	// startsIn is the time after which the gate expects a request that arrives now to
	// start, valid if hasStartsIn is set.
	startsIn    time.Duration
	hasStartsIn bool
	response    *upstream.Response // set if the outcome is Answered
}

// failed reports whether the instance answered with a server error.
func (a *gateAnswer) failed() bool {
	return a.outcome == mesh.Answered && a.response.Status >= http.StatusInternalServerError
}

// bytes returns the size of the instance's answer.
func (a *gateAnswer) bytes() int {
	if a.response == nil {
		return 0
	}
	return a.response.Size()
}

// sendToGate forwards a request to the gate of another host.
func (n *Node) sendToGate(ctx context.Context, addr string, f *forwardedRequest) gateAnswer {
	f.encode(f.header, n.now())
	resp, err := n.hostPool(addr).Do(ctx, &upstream.Request{
		Method: f.method, Target: f.target, Host: f.host, Header: f.header, Body: f.body, NeedsFreshConn: !f.idempotent,
	})
	if err != nil {
		return classifyHostError(ctx, err)
	}
	a, ok := decodeGateAnswer(resp.Header)
	if !ok {
		return gateAnswer{outcome: mesh.MayHaveRun, reason: mesh.ReasonBadRequest}
	}
	a.response = resp
	return a
}

// classifyHostError returns the result of a request that could not be sent to another
// node, or whose answer did not arrive.
func classifyHostError(ctx context.Context, err error) gateAnswer {
	if errorx.IsOfType(err, upstream.ErrBusy) { // a limit of this node, which says nothing about the host
		return gateAnswer{outcome: mesh.NotRun, reason: mesh.ReasonOverload}
	}
	cancelled := ctx.Err() != nil
	a := gateAnswer{outcome: mesh.MayHaveRun, reason: mesh.ReasonConnectionLost, hostFailed: !cancelled, reached: true}
	if cancelled {
		a.reason = mesh.ReasonDeadline
	}
	if !errorx.IsOfType(err, upstream.ErrLost) {
		a.outcome, a.reached = mesh.NotRun, false
	}
	return a
}

// serveForward handles a request that another node has forwarded to this gate.
func (n *Node) serveForward(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	buffer, err := n.readBody(w, r)
	if err != nil {
		n.refuseBody(w, r, err)
		return
	}
	defer buffer.Release()
	f, ok := decodeForwarded(r, buffer.Bytes(), n.now())
	if !ok {
		n.log.Line(time.Now(), "gate.bad_request", "remote", r.RemoteAddr)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), n.wallTime(f.deadline))
	defer cancel()
	a := n.runAtGate(ctx, &f)
	status := http.StatusServiceUnavailable
	if a.response != nil {
		for name, values := range a.response.Header {
			w.Header()[name] = values
		}
		status = a.response.Status
	}
	for _, name := range [...]string{"Content-Type", "Date"} {
		if w.Header()[name] == nil {
			w.Header()[name] = nil // keeps net/http from adding the header
		}
	}
	a.backlog = n.link.Backlog()
	a.encode(w.Header())
	var content egress.Content = egress.NewBytes(nil)
	if a.response != nil {
		content = a.response.Content()
	}
	w.Header().Set("Content-Length", strconv.Itoa(content.Len()))
	holdAnswer(r, content.Len())
	w.WriteHeader(status)
	if err := n.link.Send(r.Context(), w, content, http.NewResponseController(w).Flush); err != nil {
		n.log.Line(time.Now(), "gate.write_failed", "remote", r.RemoteAddr, "error", err.Error())
	}
}

// runAtGate asks the reducer to admit a request to the instance on this host, and sends
// it to the instance once it is admitted.
func (n *Node) runAtGate(ctx context.Context, f *forwardedRequest) gateAnswer {
	arrived := time.Now()
	id := mesh.CallID(n.nextID.Add(1))
	effects := make(chan proxy.GateEffect, effectBuffer)
	n.mu.Lock()
	n.gateEffects[id] = effects
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.gateEffects, id)
		n.mu.Unlock()
	}()
	n.step(proxy.GateArrived{
		Call: id, Instance: f.instance, Route: f.route, Rank: f.rank, Tenant: mesh.Tenant(f.header.Get(n.headers.Tenant)), TenantRank: f.tenantRank, TimeLeft: f.deadline.Sub(n.now()), TimeToTarget: f.leftToTarget,
		MayQueue: f.mayQueue, Fingerprint: f.fingerprint, Suspicion: f.suspicion, RepeatProbability: f.repeatProbability,
		Method: f.method, Path: pathOf(f.target), BodyBytes: len(f.body),
	})
	select {
	case e := <-effects:
		if e.Action == proxy.GateDispatch {
			waited := time.Since(arrived)
			a := n.dispatch(ctx, id, f)
			a.waited = waited
			n.metrics.work.recordRun(e.Predicted, &a)
			return a
		}
		n.logGateResult(f, id, "rejected", e.Reason, e.Load, 0, nil)
		n.metrics.work.recordRefusal(e.Reason, f.deadline.Sub(n.now()))
		return gateAnswer{
			outcome: mesh.NotRun, reason: e.Reason, load: e.Load, hasLoad: true, suspicion: e.Suspicion,
			startsIn: e.StartsIn, hasStartsIn: e.HasStartsIn,
		}
	case <-ctx.Done():
	}
	n.step(proxy.GateCancelled{Call: id})
	select {
	case e := <-effects: // the reducer has decided meanwhile
		if e.Action == proxy.GateDispatch {
			n.step(proxy.GateDone{Call: id, Result: proxy.GateNotSent})
		}
	default:
	}
	return gateAnswer{outcome: mesh.NotRun, reason: mesh.ReasonDeadline}
}

// logGateResult writes a log line for a request that the gate has rejected or that has
// failed at the instance. Other requests are not logged at the gate.
func (n *Node) logGateResult(f *forwardedRequest, id mesh.CallID, result string, reason mesh.Reason, load mesh.Load, took time.Duration, cause error) {
	n.log.Line(time.Now(), "gate."+result, "gate_call", uint64(id), "request", f.header.Get(n.headers.Identity),
		"instance", string(f.instance), "route", string(f.route), "reason", reason.String(), "may_queue", f.mayQueue,
		"slots", load.Slots, "in_use", load.InUse, "queued", load.Queued, "left_ms", f.deadline.Sub(n.now()).Milliseconds(),
		"took_ms", took.Milliseconds(), "error", errorText(cause))
}

// dispatch sends an admitted request to the instance and reports the result to the
// reducer.
func (n *Node) dispatch(ctx context.Context, id mesh.CallID, f *forwardedRequest) gateAnswer {
	began := time.Now()
	f.header.Set(n.headers.Expected, string(f.instance))
	f.header.Set(n.headers.DeadlineMillis, strconv.FormatInt(max(f.deadline.Sub(n.now()).Milliseconds(), 1), 10))
	resp, err := n.instancePool.Do(ctx, &upstream.Request{
		Method: f.method, Target: f.target, Host: f.host, Header: f.header, Body: f.body, NeedsFreshConn: !f.idempotent,
	})
	done := proxy.GateDone{Call: id}
	var a gateAnswer
	if err != nil {
		a, done.Result, done.Down = n.classifyInstanceError(ctx, err, f.deadline)
	} else {
		a, done.Result = n.classifyInstanceAnswer(resp)
		done.Failed = a.outcome == mesh.Answered && a.failed()
	}
	n.step(done)
	n.inspect(func(r *proxy.Node) {
		if done.Down || f.suspicion.Crashes > 0 {
			a.suspicion = r.Suspicion(n.now(), f.fingerprint)
		}
		a.load, a.hasLoad = r.LocalLoad(), true
		a.startsIn, a.hasStartsIn = r.LocalStartsIn(n.now())
	})
	a.duration = time.Since(began)
	n.metrics.recordGate(done.Result, time.Since(began))
	if done.Result != proxy.GateAnswered {
		n.logGateResult(f, id, gateResultNames[done.Result], a.reason, a.load, time.Since(began), err)
	}
	return a
}

// gateResultNames holds the names of gate results in logs and metrics.
var gateResultNames = [...]string{
	proxy.GateAnswered: "answered", proxy.GateNotSent: "not_sent", proxy.GateLost: "lost", proxy.GateRefused: "refused",
	proxy.GateMisdirected: "misdirected", proxy.GateAbandoned: "abandoned", proxy.GateTimedOut: "timed_out",
}

// timeLimitSlack is how long before the deadline at the gate a caller may give up because of
// its time limit: its clock started earlier, by the time that the request took to the gate.
const timeLimitSlack = 20 * time.Millisecond

// classifyInstanceError returns the result of a request that could not be sent to the
// instance, or whose answer did not arrive. down is set if the instance no longer accepts
// connections.
func (n *Node) classifyInstanceError(ctx context.Context, err error, deadline mesh.Time) (a gateAnswer, result proxy.GateResult, down bool) {
	if !errorx.IsOfType(err, upstream.ErrLost) {
		a = gateAnswer{outcome: mesh.NotRun, reason: mesh.ReasonConnectionLost}
		if errorx.IsOfType(err, upstream.ErrBusy) {
			a.reason = mesh.ReasonOverload
		}
		return a, proxy.GateNotSent, errorx.IsOfType(err, upstream.ErrRefused)
	}
	a = gateAnswer{outcome: mesh.MayHaveRun, reason: mesh.ReasonConnectionLost, reached: true}
	if ctx.Err() != nil {
		a.reason = mesh.ReasonDeadline
		if n.now() >= deadline.Add(-timeLimitSlack) {
			return a, proxy.GateTimedOut, false
		}
		return a, proxy.GateAbandoned, false
	}
	return a, proxy.GateLost, n.instancePool.Refuses()
}

// probeTimeout bounds the time for the answer to a health check, which waits for a slot
// of the instance like any request. The instance's next heartbeat comes soon after it.
const probeTimeout = 700 * time.Millisecond

// probeInstance sends a health check to the instance on this host and reports the result
// to the reducer.
func (n *Node) probeInstance(ctx context.Context, p proxy.InstanceProbe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result, err := n.askHealth(ctx, p)
	if err != nil {
		n.log.Line(time.Now(), "instance.probe_failed", "instance", string(p.ID), "error", err.Error())
	}
	n.step(result)
}

// askHealth sends a health check and returns its result, which is that of an instance that
// doesn't serve if no answer came.
func (n *Node) askHealth(ctx context.Context, p proxy.InstanceProbe) (proxy.InstanceProbed, error) {
	result := proxy.InstanceProbed{ID: p.ID, WarmUpOnly: p.WarmUpOnly}
	resp, err := n.instancePool.Do(ctx, &upstream.Request{
		Method: http.MethodGet, Target: p.Path, Host: n.settings.InstanceAddr, Header: http.Header{}, NeedsFreshConn: true,
	})
	if err != nil {
		return result, err
	}
	result.Serving = resp.Status == http.StatusOK && resp.Header.Get(n.headers.Instance) == string(p.ID)
	result.WarmUp, result.WarmUpStated = parseWarmUp(resp.Header.Get(n.headers.WarmUpLeft))
	return result, nil
}

// parseWarmUp parses the value of the header WarmUpLeft. It reports false if the instance
// states none. A value that is no time counts as the longest warm-up, because it doesn't
// show that the instance is warm.
func parseWarmUp(text string) (left time.Duration, stated bool) {
	if text == "" {
		return 0, false
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms <= float64(proxy.MaxWarmUp/time.Millisecond)) {
		return proxy.MaxWarmUp, true
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// classifyInstanceAnswer derives the result of a request from the answer at the
// instance's address.
func (n *Node) classifyInstanceAnswer(resp *upstream.Response) (gateAnswer, proxy.GateResult) {
	signed := resp.Header.Get(n.headers.Signature) != ""
	a := gateAnswer{outcome: mesh.Answered, reached: true, response: resp}
	removeHopByHopHeaders(resp.Header)
	switch {
	case resp.Status == http.StatusMisdirectedRequest && !signed:
		return gateAnswer{outcome: mesh.NotRun, reason: mesh.ReasonNoTarget, reached: true}, proxy.GateMisdirected
	case resp.Header.Get(n.headers.NotRun) != "":
		return gateAnswer{outcome: mesh.NotRun, reason: mesh.ReasonOverload, reached: true}, proxy.GateRefused
	case !signed && (resp.Status < http.StatusMultipleChoices || slices.Contains(notRunStatuses[:], resp.Status)),
		resp.Header.Get("Content-Encoding") != "":
		// An unsigned answer is not the instance's own and must not promise the client
		// that the request succeeded or that it did not run. An answer with a content
		// encoding is not trusted either.
		return gateAnswer{outcome: mesh.MayHaveRun, reason: mesh.ReasonConnectionLost, reached: true}, proxy.GateLost
	}
	return a, proxy.GateAnswered
}
