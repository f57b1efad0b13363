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
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/upstream"
)

// forwarded is a request on its way to a gate.
type forwarded struct {
	method, target, host string
	header               http.Header
	body                 []byte

	instance     mesh.InstanceID
	route        mesh.Route
	rank         int
	deadline     mesh.Time
	leftToTarget time.Duration
	mayQueue     bool
	idempotent   bool
	repeated     float64 // probability that the arrival is a repeat
	print        mesh.Fingerprint
	crashes      uint8
}

// gateAnswer is the end of a forwarded request.
type gateAnswer struct {
	outcome    mesh.Outcome
	reason     mesh.Reason
	reached    bool // the instance was handed the request
	hostFailed bool
	crashes    uint8
	waited     time.Duration // for a slot
	duration   time.Duration // time that the instance took
	backlog    time.Duration // of large answers on the host's link
	load       mesh.Load
	hasLoad    bool
	response   *upstream.Response // set for Answered
}

func (a *gateAnswer) failed() bool {
	return a.outcome == mesh.Answered && a.response.Status >= http.StatusInternalServerError
}

func (a *gateAnswer) bytes() int {
	if a.response == nil {
		return 0
	}
	return a.response.Size()
}

// sendToGate forwards a request to the gate of another host.
func (n *Node) sendToGate(ctx context.Context, addr string, f *forwarded) gateAnswer {
	f.encode(f.header, n.now())
	resp, err := n.hostPool(addr).Do(ctx, &upstream.Request{
		Method: f.method, Target: f.target, Host: f.host, Header: f.header, Body: f.body, Fragile: !f.idempotent,
	})
	if err != nil {
		return hostError(ctx, err)
	}
	a, ok := decodeGateAnswer(resp.Header)
	if !ok {
		return gateAnswer{outcome: mesh.MayHaveRun, reason: mesh.ReasonBadRequest}
	}
	a.response = resp
	return a
}

// hostError classifies the failure of an exchange with another node.
func hostError(ctx context.Context, err error) gateAnswer {
	ended := ctx.Err() != nil
	a := gateAnswer{outcome: mesh.MayHaveRun, reason: mesh.ReasonConnectionLost, hostFailed: !ended, reached: true}
	if ended {
		a.reason = mesh.ReasonDeadline
	}
	if !errorx.IsOfType(err, upstream.ErrLost) {
		a.outcome, a.reached = mesh.NotRun, false
	}
	return a
}

// serveForward handles a request of another node.
func (n *Node) serveForward(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	content, err := n.readBody(w, r)
	if err != nil {
		n.refuseBody(w, r, err)
		return
	}
	defer content.Release()
	f, ok := decodeForwarded(r, content.Bytes(), n.now())
	if !ok {
		n.log.Line(time.Now(), "gate.bad_request", "remote", r.RemoteAddr)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), n.wall(f.deadline))
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
			w.Header()[name] = nil // keeps net/http from adding it
		}
	}
	a.backlog = n.link.Backlog()
	a.encode(w.Header())
	var answer egress.Content = egress.NewBytes(nil)
	if a.response != nil {
		answer = a.response.Content()
	}
	w.Header().Set("Content-Length", strconv.Itoa(answer.Len()))
	w.WriteHeader(status)
	if err := n.link.Send(r.Context(), w, answer, http.NewResponseController(w).Flush); err != nil {
		n.log.Line(time.Now(), "gate.write_failed", "remote", r.RemoteAddr, "error", err.Error())
	}
}

// runAtGate admits a request to the instance on this host and runs it there.
func (n *Node) runAtGate(ctx context.Context, f *forwarded) gateAnswer {
	arrived := time.Now()
	id := mesh.CallID(n.nextID.Add(1))
	effects := make(chan proxy.GateEffect, waiterEffects)
	n.mu.Lock()
	n.gates[id] = effects
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.gates, id)
		n.mu.Unlock()
	}()
	n.step(proxy.GateArrived{
		Call: id, Instance: f.instance, Route: f.route, Rank: f.rank, TimeLeft: f.deadline.Sub(n.now()), TimeToTarget: f.leftToTarget,
		MayQueue: f.mayQueue, Fingerprint: f.print, Crashes: f.crashes, RepeatProbability: f.repeated,
	})
	select {
	case e := <-effects:
		if e.Action == proxy.GateDispatch {
			waited := time.Since(arrived)
			a := n.dispatch(ctx, id, f)
			a.waited = waited
			return a
		}
		n.logGate(f, id, "rejected", e.Reason, e.Load, 0, nil)
		return gateAnswer{outcome: mesh.NotRun, reason: e.Reason, load: e.Load, hasLoad: true, crashes: e.Crashes}
	case <-ctx.Done():
	}
	n.step(proxy.GateCancelled{Call: id})
	select {
	case e := <-effects: // decided meanwhile
		if e.Action == proxy.GateDispatch {
			n.step(proxy.GateDone{Call: id, Result: proxy.GateNotSent})
		}
	default:
	}
	return gateAnswer{outcome: mesh.NotRun, reason: mesh.ReasonDeadline}
}

// logGate writes a line for a decision of the gate. A free slot decides nothing,
// so only rejections and failures are logged.
func (n *Node) logGate(f *forwarded, id mesh.CallID, result string, reason mesh.Reason, load mesh.Load, took time.Duration, cause error) {
	n.log.Line(time.Now(), "gate."+result, "gate_call", uint64(id), "request", f.header.Get(n.headers.Identity),
		"instance", string(f.instance), "route", string(f.route), "reason", reason.String(), "may_queue", f.mayQueue,
		"slots", load.Slots, "in_use", load.InUse, "queued", load.Queued, "left_ms", f.deadline.Sub(n.now()).Milliseconds(),
		"took_ms", took.Milliseconds(), "error", errorText(cause))
}

// dispatch gives an admitted request to the instance.
func (n *Node) dispatch(ctx context.Context, id mesh.CallID, f *forwarded) gateAnswer {
	began := time.Now()
	f.header.Set(n.headers.Expected, string(f.instance))
	f.header.Set(n.headers.DeadlineMillis, strconv.FormatInt(max(f.deadline.Sub(n.now()).Milliseconds(), 1), 10))
	resp, err := n.instance.Do(ctx, &upstream.Request{
		Method: f.method, Target: f.target, Host: f.host, Header: f.header, Body: f.body, Fragile: !f.idempotent,
	})
	done := proxy.GateDone{Call: id}
	var a gateAnswer
	if err != nil {
		a, done.Result, done.Down = n.instanceError(ctx, err)
	} else {
		a, done.Result = n.readInstance(resp)
		done.Failed = a.outcome == mesh.Answered && a.failed()
	}
	n.step(done)
	n.inspect(func(r *proxy.Node) {
		if done.Down {
			a.crashes = r.CrashCount(n.now(), f.print)
		}
		a.load, a.hasLoad = r.LocalLoad(), true
	})
	a.duration = time.Since(began)
	n.metrics.gate(done.Result, time.Since(began))
	if done.Result != proxy.GateAnswered {
		n.logGate(f, id, gateResultNames[done.Result], a.reason, a.load, time.Since(began), err)
	}
	return a
}

// gateResultNames are the names of results in logs and metrics.
var gateResultNames = [...]string{
	proxy.GateAnswered: "answered", proxy.GateNotSent: "not_sent", proxy.GateLost: "lost", proxy.GateRefused: "refused",
	proxy.GateMisdirected: "misdirected", proxy.GateAbandoned: "abandoned",
}

// instanceError classifies a failed exchange with the instance. down is set if
// it no longer accepts connections.
func (n *Node) instanceError(ctx context.Context, err error) (a gateAnswer, result proxy.GateResult, down bool) {
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
		return a, proxy.GateAbandoned, false
	}
	return a, proxy.GateLost, n.instance.Refuses()
}

// probeTimeout bounds the answer to a health probe, which waits for a slot like a
// request. The next heartbeat comes soon after it.
const probeTimeout = 700 * time.Millisecond

// probeInstance asks the instance on this host whether it serves.
func (n *Node) probeInstance(ctx context.Context, p proxy.InstanceProbe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := n.instance.Do(ctx, &upstream.Request{
		Method: http.MethodGet, Target: p.Path, Host: n.settings.InstanceAddr, Header: http.Header{}, Fragile: true,
	})
	if err != nil {
		n.log.Line(time.Now(), "instance.probe_failed", "instance", string(p.ID), "error", err.Error())
	}
	n.step(proxy.InstanceProbed{
		ID:      p.ID,
		Serving: err == nil && resp.Status == http.StatusOK && resp.Header.Get(n.headers.Instance) == string(p.ID),
	})
}

// readInstance reads what an instance's answer means.
func (n *Node) readInstance(resp *upstream.Response) (gateAnswer, proxy.GateResult) {
	signed := resp.Header.Get(n.headers.Signature) != ""
	a := gateAnswer{outcome: mesh.Answered, reached: true, response: resp}
	answerHeader(resp.Header)
	switch {
	case resp.Status == http.StatusMisdirectedRequest && !signed:
		return gateAnswer{outcome: mesh.NotRun, reason: mesh.ReasonNoTarget, reached: true}, proxy.GateMisdirected
	case resp.Header.Get(n.headers.NotRun) != "":
		return gateAnswer{outcome: mesh.NotRun, reason: mesh.ReasonOverload, reached: true}, proxy.GateRefused
	case !signed && (resp.Status < http.StatusMultipleChoices || slices.Contains(notRunStatuses[:], resp.Status)),
		resp.Header.Get("Content-Encoding") != "":
		// Not the instance's own answer, or one that would promise too much.
		return gateAnswer{outcome: mesh.MayHaveRun, reason: mesh.ReasonConnectionLost, reached: true}, proxy.GateLost
	}
	return a, proxy.GateAnswered
}
