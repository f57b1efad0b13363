package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/clientlimit"
	"github.com/chicoryscale/chicoryscale/internal/membudget"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/upstream"
)

// defaultBodyBytes bounds a request's body if the configuration sets no limit.
const defaultBodyBytes = 64 << 20

// request is a client's request at its entry node, the node that received it first. One
// goroutine owns it.
type request struct {
	node    *Node
	id      mesh.CallID
	http    *http.Request
	body    []byte
	effects chan proxy.CallEffect
	answer  gateAnswer // of the latest attempt
	// cancelAttempt cancels the latest attempt, whose answer may still be arriving.
	cancelAttempt context.CancelFunc
	// answered is called when the answer is known. A client that doesn't read it must not
	// keep other requests out.
	answered func()
}

// serveCall handles a request of a client or of the instance on this host.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	n.lastCallAt.Store(int64(began.Sub(n.started)))
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	buffer, err := n.readBody(w, r)
	if err != nil {
		n.refuseBody(w, r, err)
		return
	}
	defer buffer.Release()
	if !n.beginRequest() {
		n.guard.Shed(clientlimit.Requests)
		n.refuseRequest(w, r, clientlimit.Requests)
		return
	}
	ended := sync.OnceFunc(n.endRequest)
	defer ended()
	body := buffer.Bytes()
	req := &request{
		node: n, id: mesh.CallID(n.nextID.Add(1)), http: r, body: body, effects: make(chan proxy.CallEffect, effectBuffer),
		cancelAttempt: func() {}, answered: ended,
	}
	n.mu.Lock()
	n.callEffects[req.id] = req.effects
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.callEffects, req.id)
		n.mu.Unlock()
	}()
	n.step(proxy.CallArrived{
		Call: req.id, Host: r.Host, Path: pathOf(r.RequestURI), Budget: parseMillis(r.Header.Get(n.headers.DeadlineMillis)), Key: r.Header.Get(n.headers.Key),
		Hash:   poison.HashRequest([]byte(r.Host), []byte(r.Method), []byte(r.RequestURI), body),
		Method: r.Method, BodyBytes: len(body),
	})
	outcome := req.run(w)
	n.metrics.recordCall(outcome, time.Since(began))
	n.log.Line(began, "call.done", "call", uint64(req.id), "request", r.Header.Get(n.headers.Identity),
		"outcome", outcome.status, "reason", outcome.reason.String(), "attempts", outcome.attempts,
		"to", string(outcome.host), "instance", string(outcome.instance), "ms", time.Since(began).Milliseconds())
}

// pathOf returns the path of a request target, without the query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// readBody reads the body of a request. The buffer counts against the node's memory
// budget until it is released.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request) (*membudget.Buffer, error) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		if conn := clientlimit.FromContext(r.Context()); conn != nil {
			conn.RequestRead()
		}
		return n.bodyMemory.NewBuffer(0), nil
	}
	limit := defaultBodyBytes
	n.inspect(func(p *proxy.Node) {
		if c := p.Config(); c != nil && c.Limits.BodyBytes > 0 {
			limit = c.Limits.BodyBytes
		}
	})
	size := limit
	if r.ContentLength > 0 {
		size = int(min(r.ContentLength, int64(limit)))
	}
	buffer, err := n.bodyMemory.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)), size)
	if conn := clientlimit.FromContext(r.Context()); conn != nil && err == nil {
		conn.RequestRead()
	}
	return buffer, err
}

// bodyRetryAfter is the retry delay, in seconds, sent to a client whose body exceeds the
// free memory. The bodies that occupy the memory are delivered or dropped within a
// second.
const bodyRetryAfter = "1"

// refuseBody answers a request whose body could not be read. No part of the request has
// been forwarded.
func (n *Node) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, membudget.ErrExhausted):
		status = http.StatusServiceUnavailable
		w.Header().Set(n.headers.RetryAfter, bodyRetryAfter)
		refused := gateAnswer{outcome: mesh.NotRun, reason: mesh.ReasonOverload}
		if r.Header.Get(headerCall) != "" {
			refused.encode(w.Header())
		}
	}
	n.log.Line(time.Now(), "call.body_unreadable", "request", r.Header.Get(n.headers.Identity), "status", status, "error", err.Error())
	w.WriteHeader(status)
}

// callOutcome describes the end of a request, for metrics and the log. host and instance
// are those of the latest attempt. status is zero if the client cancelled the request.
type callOutcome struct {
	status   int
	reason   mesh.Reason
	attempts uint8
	host     mesh.HostID
	instance mesh.InstanceID
}

// run executes the reducer's effects for the request until one of them ends it.
func (r *request) run(w http.ResponseWriter) (o callOutcome) {
	ctx := r.http.Context()
	defer func() { r.cancelAttempt() }()
	for {
		select {
		case e := <-r.effects:
			switch e.Action {
			case proxy.CallForward:
				o.attempts, o.host, o.instance = e.Attempt, e.Host, e.Instance
				r.forward(ctx, &e)
			case proxy.CallRespond:
				r.answered()
				o.status = r.respond(w, &o)
				return o
			default:
				o.status, o.reason = r.reject(w, &e), e.Reason
				return o
			}
		case <-ctx.Done():
			r.node.step(proxy.CallCancelled{Call: r.id})
			// A client that has closed only its sending side still reads, and would get a
			// status of 200 from net/http.
			w.WriteHeader(http.StatusBadGateway)
			return o
		}
	}
}

// forward runs one attempt and reports its result to the reducer.
func (r *request) forward(ctx context.Context, e *proxy.CallEffect) {
	n := r.node
	r.cancelAttempt()
	attemptCtx, cancel := context.WithCancel(ctx)
	r.cancelAttempt = cancel
	// The timer bounds the wait for an answer, not the delivery of its body.
	timer := time.AfterFunc(time.Until(n.wallTime(e.Deadline)), cancel)
	defer timer.Stop()
	f := forwardedRequest{
		method: r.http.Method, target: r.http.RequestURI, host: r.http.Host, body: r.body,
		instance: e.Instance, route: e.Route, rank: e.Rank, tenantRank: e.TenantRank, deadline: e.Deadline, leftToTarget: e.TimeToTarget,
		mayQueue: e.MayQueue, idempotent: e.Idempotent, fingerprint: e.Fingerprint, suspicion: e.Suspicion, repeatProbability: e.RepeatProbability,
	}
	f.header = endToEndHeader(r.http.Header)
	f.header.Set(n.headers.Caller, string(e.Caller))
	n.setTenant(f.header, e.Tenant)
	started := time.Now()
	var a gateAnswer
	if e.Addr == "" {
		a = n.runAtGate(attemptCtx, &f)
	} else {
		a = n.sendToGate(attemptCtx, e.Addr, &f)
	}
	r.answer = a
	if ctx.Err() != nil {
		return // run reports the cancellation to the reducer
	}
	n.step(proxy.AttemptDone{
		Call: r.id, Attempt: e.Attempt, Outcome: a.outcome, Reason: a.reason, Failed: a.failed(), Reached: a.reached,
		HostFailed: a.hostFailed, Suspicion: a.suspicion, Duration: max(a.duration, time.Since(started)-a.waited), Bytes: a.bytes(), Backlog: a.backlog, Load: a.load, HasLoad: a.hasLoad,
		StartsIn: a.startsIn, HasStartsIn: a.hasStartsIn,
	})
}

// setTenant states the tenant to the instance and removes the key, which must not leave
// the entry node. The client's own statement of a tenant is dropped.
func (n *Node) setTenant(h http.Header, tenant mesh.Tenant) {
	h.Del(n.headers.Key)
	h.Del(n.headers.Tenant)
	if tenant != "" {
		h.Set(n.headers.Tenant, string(tenant))
	}
}

// wallTime converts a time of the reducer to a time.Time.
func (n *Node) wallTime(t mesh.Time) time.Time { return time.Now().Add(t.Sub(n.now())) }

// respond sends the instance's answer to the client. If the connection to the gate fails
// while the answer arrives, the client's connection is closed before the stated
// Content-Length is reached, so that the client notices.
func (r *request) respond(w http.ResponseWriter, o *callOutcome) int {
	n, resp := r.node, r.answer.response
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // keeps net/http from setting a guessed type
	}
	header.Set("Content-Length", strconv.Itoa(resp.Size()))
	holdAnswer(r.http, resp.Size())
	w.WriteHeader(resp.Status)
	err := n.link.Send(r.http.Context(), w, resp.Content(), http.NewResponseController(w).Flush)
	if err == nil {
		return resp.Status
	}
	n.log.Line(time.Now(), "call.write_failed", "call", uint64(r.id), "from", string(o.host), "error", err.Error())
	if errorx.IsOfType(err, upstream.ErrLost) && r.http.Context().Err() == nil {
		n.ioCounters.brokenOff.Add(1)
		n.step(proxy.PeerChecked{Host: o.host, Alive: false})
	}
	return resp.Status
}

// reject answers a request for which no instance's answer is available.
func (r *request) reject(w http.ResponseWriter, e *proxy.CallEffect) int {
	status := rejectStatus(e.Outcome, e.Reason)
	if e.RetryAfter > 0 {
		w.Header().Set(r.node.headers.RetryAfter, strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	return status
}

// rejectStatus returns the HTTP status for a rejected request. 429 and 503 promise that the
// request has not run; 502 and 504 promise nothing.
func rejectStatus(outcome mesh.Outcome, reason mesh.Reason) int {
	switch {
	case outcome != mesh.NotRun && reason == mesh.ReasonDeadline:
		return http.StatusGatewayTimeout
	case outcome != mesh.NotRun:
		return http.StatusBadGateway
	case reason == mesh.ReasonNoRoute:
		return http.StatusNotFound
	case reason == mesh.ReasonUnknownKey:
		return http.StatusUnauthorized
	case reason == mesh.ReasonQuota:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// parseMillis parses a positive number of milliseconds, up to an hour. For any other text
// it returns zero, which stands for no limit.
func parseMillis(text string) time.Duration {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v <= 0 || v > float64(time.Hour/time.Millisecond) {
		return 0
	}
	return time.Duration(v * float64(time.Millisecond))
}
