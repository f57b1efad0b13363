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

// request is a generated request. Its identity is empty if its kind has none.
type request struct {
	kind     *settings.LoadRequest
	identity string
	body     []byte
	digest   string
}

// newRequest returns a request with a random body and, for kinds with an
// identity, a new identity.
func newRequest(kind *settings.LoadRequest, domain mesh.FailureDomain, random *rand.Rand) (*request, error) {
	r := &request{kind: kind, body: make([]byte, kind.BodyBytes)}
	for i := range r.body {
		r.body[i] = 'a' + byte(random.UintN(26))
	}
	if kind.Identity {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, fmt.Errorf("generate a UUID for the request identity: %w", err)
		}
		r.identity = string(domain) + "." + id.String()
	}
	r.digest = echo.Digest([]byte(kind.Method), []byte(kind.Path), []byte(r.identity), r.body)
	return r, nil
}

// fill fills in the HTTP request for one send.
func (r *request) fill(req *fasthttp.Request, addr string) {
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

// sendResult is the result of one send.
type sendResult uint8

const (
	resultAnswered   sendResult = iota
	resultFailed                // answered with HTTP status 500 or above
	resultNotRun                // refused before it was run
	resultMayHaveRun            // refused, may have run
	resultNoAnswer              // no HTTP answer at all
	resultWrong                 // malformed answer, unknown outcome or answer to another request
	resultCount
)

// classify determines the result of a send from its response or error. Direct
// answers carry an outcome only if they refuse the request.
func (r *request) classify(resp *fasthttp.Response, err error, direct bool) sendResult {
	if err != nil {
		return resultNoAnswer
	}
	if outcome := string(resp.Header.Peek(mesh.HeaderOutcome)); !direct || outcome != "" {
		switch outcome {
		case mesh.NotRun.String():
			return resultNotRun
		case mesh.MayHaveRun.String():
			return resultMayHaveRun
		case mesh.Answered.String():
		default:
			return resultWrong
		}
	}
	// The development backend server includes the digest in failures too.
	if _, err := echo.Check(resp.Body(), r.digest); err != nil {
		return resultWrong
	}
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		return resultFailed
	}
	return resultAnswered
}
