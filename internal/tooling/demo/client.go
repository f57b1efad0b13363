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
		// The caller decides whether a request that may have run is sent again;
		// the HTTP client must not retry on its own.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// result is the result of one attempt.
type result struct {
	// outcome is zero if the connection ended without an answer.
	outcome mesh.Outcome
	reason  string
	status  int
	answer  echo.Answer
	latency time.Duration
	// answerErr is set if the answer is incomplete or for another request, or if
	// the outcome header has an unknown value.
	answerErr error
}

// send sends a request to an address once, without retries.
func (c *client) send(addr string, r *request) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + addr + r.path)
	if r.requestID != "" {
		req.Header.Set(mesh.HeaderRequestID, r.requestID)
	}
	req.SetBody(r.body)
	startTime := time.Now()
	err := c.http.DoTimeout(req, resp, callTimeout)
	res := result{latency: time.Since(startTime)}
	if err != nil {
		res.reason = err.Error()
		return res
	}
	res.readResponse(resp, echo.Digest([]byte(r.method), []byte(r.path), []byte(r.requestID), r.body))
	return res
}

// readResponse sets the result from a response and checks an answer against the
// digest of the request. Backend servers set the outcome header only when they
// refuse a call, so a response without it counts as answered.
func (r *result) readResponse(resp *fasthttp.Response, digest string) {
	r.status = resp.StatusCode()
	r.reason = string(resp.Header.Peek(mesh.HeaderReason))
	r.outcome = mesh.Answered
	if header := resp.Header.Peek(mesh.HeaderOutcome); len(header) > 0 {
		outcome, err := mesh.ParseOutcome(string(header))
		if err != nil {
			r.answerErr = err
			return
		}
		r.outcome = outcome
	}
	if r.outcome != mesh.Answered {
		return
	}
	if r.answer, r.answerErr = echo.Check(resp.Body(), digest); r.answerErr != nil {
		r.answerErr = fmt.Errorf("status %d: %w", r.status, r.answerErr)
	}
}

// shouldResend reports whether the caller sends the request again. It always does
// so if the connection ended without an outcome or the outcome is not-run, and for
// lookups also after may-have-run.
func (r *result) shouldResend(req *request) bool {
	switch r.outcome {
	case mesh.Answered:
		return false
	case mesh.MayHaveRun:
		return req.requestID == ""
	default:
		return true
	}
}
