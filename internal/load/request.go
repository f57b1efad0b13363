package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// HeaderDigest is the header in which the development backend server returns
// the digest of the request that it ran: Digest in lower-case hex.
const HeaderDigest = "Chicory-Digest"

// Digest returns the digest of a request: xxhash64 of its body.
func Digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// request is one request under one identity.
type request struct {
	class    *ClassSpec
	identity string
	body     []byte
	digest   string
}

// newRequest returns a request with a new identity and a random body.
func newRequest(class *ClassSpec, domain mesh.FailureDomain, random *rand.Rand) (*request, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("create a request identity: %w", err)
	}
	body := make([]byte, class.BodyBytes)
	for i := range body {
		body[i] = 'a' + byte(random.UintN(26))
	}
	return &request{class: class, identity: string(domain) + "." + id.String(), body: body, digest: Digest(body)}, nil
}

// write fills in the HTTP request for one send.
func (r *request) write(req *fasthttp.Request, addr string, timeoutMillis int64) {
	req.Header.SetMethod(r.class.Method)
	req.Header.SetHost(addr)
	req.SetRequestURI(r.class.Path)
	req.URI().SetHost(addr)
	req.URI().SetScheme("http")
	req.Header.Set(mesh.HeaderRequestID, r.identity)
	req.Header.Set(mesh.HeaderDeadline, strconv.FormatInt(timeoutMillis, 10))
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

// judge checks the answer to a request. Direct answers carry no outcome.
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
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		return verdictFailed
	}
	if string(resp.Header.Peek(mesh.HeaderRequestID)) != r.identity || string(resp.Header.Peek(HeaderDigest)) != r.digest {
		return verdictWrong
	}
	return verdictAnswered
}
