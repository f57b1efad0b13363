package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/membudget"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/upstream"
)

// defaultBodyBytes bounds a request's body until a configuration states a limit.
const defaultBodyBytes = 64 << 20

// request is a client's request at its entry node. One goroutine owns it.
type request struct {
	node    *Node
	id      mesh.CallID
	http    *http.Request
	body    []byte
	print   mesh.Fingerprint
	effects chan proxy.CallEffect
	answer  gateAnswer // of the latest attempt
	// release ends the latest attempt, whose answer may still be arriving.
	release context.CancelFunc
}

// serveCall handles a request of a client or of the instance on this host.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	n.lastCall.Store(int64(began.Sub(n.started)))
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	content, err := n.readBody(w, r)
	if err != nil {
		n.refuseBody(w, r, err)
		return
	}
	defer content.Release()
	body := content.Bytes()
	req := &request{
		node: n, id: mesh.CallID(n.nextID.Add(1)), http: r, body: body,
		print: fingerprint(r.Method, r.RequestURI, body), effects: make(chan proxy.CallEffect, waiterEffects),
		release: func() {},
	}
	n.mu.Lock()
	n.calls[req.id] = req.effects
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.calls, req.id)
		n.mu.Unlock()
	}()
	path, _, _ := strings.Cut(r.RequestURI, "?")
	n.step(proxy.CallArrived{
		Call: req.id, Host: r.Host, Path: path, Fingerprint: req.print, Budget: millis(r.Header.Get(n.headers.DeadlineMillis)),
	})
	outcome := req.run(w)
	n.metrics.call(outcome, time.Since(began))
	n.log.Line(began, "call.done", "call", uint64(req.id), "request", r.Header.Get(n.headers.Identity),
		"outcome", outcome.status, "reason", outcome.reason.String(), "attempts", outcome.attempts,
		"to", string(outcome.host), "instance", string(outcome.instance), "ms", time.Since(began).Milliseconds())
}

// readBody reads the body of a request. It holds memory of the node's budget until
// it is released.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request) (*membudget.Buffer, error) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return n.memory.NewBuffer(0), nil
	}
	limit := defaultBodyBytes
	n.inspect(func(p *proxy.Node) {
		if c := p.Config(); c != nil && c.Limits.BodyBytes > 0 {
			limit = c.Limits.BodyBytes
		}
	})
	return n.memory.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)), limit)
}

// bodyRetryAfter is the advice to a client whose body found no memory, in seconds.
// What holds the memory is delivered or given up within a second.
const bodyRetryAfter = "1"

// refuseBody answers a request whose body could not be read. None of it has left
// this process.
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

// outcome tells how a request ended, for metrics and the log.
type outcome struct {
	status   int
	reason   mesh.Reason
	attempts uint8
	host     mesh.HostID
	instance mesh.InstanceID
}

// run executes the effects on the request until one ends it.
func (r *request) run(w http.ResponseWriter) (o outcome) {
	ctx := r.http.Context()
	defer func() { r.release() }()
	for {
		select {
		case e := <-r.effects:
			switch e.Action {
			case proxy.CallForward:
				o.attempts, o.host, o.instance = e.Attempt, e.Host, e.Instance
				r.forward(ctx, &e)
			case proxy.CallRespond:
				o.status = r.respond(w, &o)
				return o
			default:
				o.status, o.reason = r.reject(w, &e), e.Reason
				return o
			}
		case <-ctx.Done():
			r.node.step(proxy.CallCancelled{Call: r.id})
			return o
		}
	}
}

// forward runs one attempt and reports its end.
func (r *request) forward(ctx context.Context, e *proxy.CallEffect) {
	n := r.node
	r.release()
	attempt, cancel := context.WithCancel(ctx)
	r.release = cancel
	// The limit ends the wait for an answer and not its delivery.
	limit := time.AfterFunc(time.Until(n.wall(e.Deadline)), cancel)
	defer limit.Stop()
	f := forwarded{
		method: r.http.Method, target: r.http.RequestURI, host: r.http.Host, body: r.body,
		instance: e.Instance, route: e.Route, rank: e.Rank, deadline: e.Deadline, leftToTarget: e.TimeToTarget,
		mayQueue: e.MayQueue, idempotent: e.Idempotent, print: r.print, crashes: e.Crashes, repeated: e.RepeatProbability,
	}
	f.header = forwardHeader(r.http.Header)
	f.header.Set(n.headers.Caller, string(n.settings.Service))
	began := time.Now()
	var a gateAnswer
	if e.Addr == "" {
		a = n.runAtGate(attempt, &f)
	} else {
		a = n.sendToGate(attempt, e.Addr, &f)
	}
	r.answer = a
	if ctx.Err() != nil {
		return // run reports that the client has gone
	}
	n.step(proxy.AttemptDone{
		Call: r.id, Attempt: e.Attempt, Outcome: a.outcome, Reason: a.reason, Failed: a.failed(), Reached: a.reached,
		HostFailed: a.hostFailed, Crashes: a.crashes, Duration: max(a.duration, time.Since(began)-a.waited), Bytes: a.bytes(), Backlog: a.backlog, Load: a.load, HasLoad: a.hasLoad,
	})
}

// wall turns a time of the reducer into one for contexts.
func (n *Node) wall(t mesh.Time) time.Time { return n.started.Add(t.Sub(n.epoch)) }

// respond gives the instance's answer to the client. An answer that breaks off on
// its way from the gate ends with the client's connection, short of the length
// that it states.
func (r *request) respond(w http.ResponseWriter, o *outcome) int {
	n, resp := r.node, r.answer.response
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	header.Set("Content-Length", strconv.Itoa(resp.Size()))
	w.WriteHeader(resp.Status)
	err := n.link.Send(r.http.Context(), w, resp.Content(), http.NewResponseController(w).Flush)
	if err == nil {
		return resp.Status
	}
	n.log.Line(time.Now(), "call.write_failed", "call", uint64(r.id), "from", string(o.host), "error", err.Error())
	if errorx.IsOfType(err, upstream.ErrLost) && r.http.Context().Err() == nil {
		n.totals.brokenOff.Add(1)
		n.step(proxy.PeerChecked{Host: o.host, Alive: false})
	}
	return resp.Status
}

// reject answers a request that has no answer of an instance.
func (r *request) reject(w http.ResponseWriter, e *proxy.CallEffect) int {
	status := rejectStatus(e.Outcome, e.Reason)
	if e.RetryAfter > 0 {
		w.Header().Set(r.node.headers.RetryAfter, strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	return status
}

// rejectStatus chooses the status. Service Unavailable promises that the request
// has not run; the gateway statuses promise nothing.
func rejectStatus(outcome mesh.Outcome, reason mesh.Reason) int {
	switch {
	case outcome != mesh.NotRun && reason == mesh.ReasonDeadline:
		return http.StatusGatewayTimeout
	case outcome != mesh.NotRun:
		return http.StatusBadGateway
	case reason == mesh.ReasonNoRoute:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// millis reads a number of milliseconds. Anything else reads as no limit.
func millis(text string) time.Duration {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v <= 0 || v > float64(time.Hour/time.Millisecond) {
		return 0
	}
	return time.Duration(v * float64(time.Millisecond))
}

// fingerprint hashes method, request target and body, which a request that
// crashes instances has in common with its repetitions.
func fingerprint(method, target string, body []byte) mesh.Fingerprint {
	d := xxhash.New()
	for _, part := range [...]string{method, target} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return mesh.Fingerprint(d.Sum64())
}
