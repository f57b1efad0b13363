package main

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/backend/echo"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// callTimeout exceeds the deadline of every class.
	callTimeout     = 6 * time.Second
	maxConnsPerNode = 256
)

// client sends requests and checks the answers.
type client struct{ http fasthttp.Client }

func newClient() *client {
	return &client{http: fasthttp.Client{
		MaxConnsPerHost: maxConnsPerNode, NoDefaultUserAgentHeader: true,
		// A request that may have run is resent by the caller, not by its client.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// result is the end of one send.
type result struct {
	// outcome is zero if the connection ended without an answer.
	outcome mesh.Outcome
	reason  string
	status  int
	answer  echo.Answer
	latency time.Duration
	// wrong is set if the answer is incomplete, is for another request or
	// states no outcome.
	wrong error
}

// send sends a request to an address.
func (c *client) send(addr string, r *request) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + addr + r.path)
	if r.identity != "" {
		req.Header.Set(mesh.HeaderRequestID, r.identity)
	}
	req.SetBody(r.body)
	began := time.Now()
	err := c.http.DoTimeout(req, resp, callTimeout)
	res := result{latency: time.Since(began)}
	if err != nil {
		res.reason = err.Error()
		return res
	}
	res.read(resp, echo.Digest([]byte(r.method), []byte(r.path), []byte(r.identity), r.body))
	return res
}

// read takes in an answer. Backend servers state an outcome in refusals only.
func (r *result) read(resp *fasthttp.Response, digest string) {
	r.status = resp.StatusCode()
	r.reason = string(resp.Header.Peek(mesh.HeaderReason))
	r.outcome = mesh.Answered
	if text := resp.Header.Peek(mesh.HeaderOutcome); len(text) > 0 {
		outcome, err := mesh.ParseOutcome(string(text))
		if err != nil {
			r.wrong = err
			return
		}
		r.outcome = outcome
	}
	if r.outcome != mesh.Answered {
		return
	}
	if r.answer, r.wrong = echo.Check(resp.Body(), digest); r.wrong != nil {
		r.wrong = fmt.Errorf("status %d: %w", r.status, r.wrong)
	}
}

// worthResending reports whether the caller sends the request again: always
// without an outcome or after not-run, and after may-have-run a lookup.
func (r *result) worthResending(req *request) bool {
	switch r.outcome {
	case mesh.Answered:
		return false
	case mesh.MayHaveRun:
		return req.identity == ""
	default:
		return true
	}
}
