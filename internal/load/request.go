package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/backend/echo"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// request is one request, under one identity if its kind has them.
type request struct {
	kind     *settings.LoadRequest
	identity string
	body     []byte
	digest   string
}

// newRequest returns a request with a random body and, for kinds with an
// identity, a new one.
func newRequest(kind *settings.LoadRequest, domain mesh.FailureDomain, random *rand.Rand) (*request, error) {
	r := &request{kind: kind, body: make([]byte, kind.BodyBytes)}
	for i := range r.body {
		r.body[i] = 'a' + byte(random.UintN(26))
	}
	if kind.Identity {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, fmt.Errorf("create a request identity: %w", err)
		}
		r.identity = string(domain) + "." + id.String()
	}
	r.digest = echo.Digest([]byte(kind.Method), []byte(kind.Path), []byte(r.identity), r.body)
	return r, nil
}

// write fills in the HTTP request for one send.
func (r *request) write(req *fasthttp.Request, addr string) {
	req.Header.SetMethod(r.kind.Method)
	req.SetRequestURI("http://" + addr + r.kind.Path)
	if r.identity != "" {
		req.Header.Set(mesh.HeaderRequestID, r.identity)
	}
	if r.kind.Service != "" {
		req.Header.Set(mesh.HeaderService, string(r.kind.Service))
	}
	if r.kind.Deadline > 0 {
		req.Header.Set(mesh.HeaderDeadline, strconv.FormatInt(r.kind.Deadline.Milliseconds(), 10))
	}
	req.SetBodyRaw(r.body)
}

// verdict is the judgement on one send.
type verdict uint8

const (
	verdictAnswered   verdict = iota
	verdictFailed             // answered with HTTP status 500 or above
	verdictNotRun             // refused before it was run
	verdictMayHaveRun         // refused, may have run
	verdictNoAnswer           // no HTTP answer at all
	verdictWrong              // an answer that does not belong to the request
	verdicts
)

// judge checks the answer to a request. Direct answers carry an outcome only
// if they refuse the request.
func (r *request) judge(resp *fasthttp.Response, err error, direct bool) verdict {
	if err != nil {
		return verdictNoAnswer
	}
	if outcome := string(resp.Header.Peek(mesh.HeaderOutcome)); !direct || outcome != "" {
		switch outcome {
		case mesh.NotRun.String():
			return verdictNotRun
		case mesh.MayHaveRun.String():
			return verdictMayHaveRun
		case mesh.Answered.String():
		default:
			return verdictWrong
		}
	}
	// The development backend server states the digest in failures too.
	if _, err := echo.Check(resp.Body(), r.digest); err != nil {
		return verdictWrong
	}
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		return verdictFailed
	}
	return verdictAnswered
}
