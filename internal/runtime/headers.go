package runtime

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Headers between nodes, in addition to those of package mesh.
const (
	headerPriority   = "Chicory-Priority"
	headerIdempotent = "Chicory-Idempotent"
	// headerCrashed marks an answer after the backend server died with the call.
	// Its value is the number of crashes that the gate charges the request with.
	headerCrashed = "Chicory-Crashed"
)

// defaultHost stands in for the Host header that HTTP/1.0 lacks.
const defaultHost = "chicory"

// Paths of the peer server.
const (
	pathForward  = "/forward"
	pathRelay    = "/relay"
	pathAnnounce = "/announce"
	pathProbe    = "/probe"
)

// nodeHeaders are set by nodes alone and removed from a caller's request.
var nodeHeaders = [...]string{
	mesh.HeaderAttempt, mesh.HeaderCrashes, mesh.HeaderInstance, mesh.HeaderLoad, mesh.HeaderVersion,
	mesh.HeaderOutcome, mesh.HeaderReason, headerPriority, headerIdempotent, headerCrashed,
}

// hopHeaders apply to one connection only (RFC 9110, 7.6.1).
var hopHeaders = [...]string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderProxyConnection, fasthttp.HeaderTE,
	fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
}

func setUint(h *fasthttp.RequestHeader, name string, value int) {
	h.Set(name, strconv.Itoa(value))
}

// parseUint reads a decimal number of at most limit; an absent value is zero.
func parseUint(value []byte, limit uint64) (uint64, bool) {
	if len(value) == 0 {
		return 0, true
	}
	v, err := strconv.ParseUint(string(value), 10, 64)
	return v, err == nil && v <= limit
}

// formatLoad writes a load as it stands in the Chicory-Load header.
func formatLoad(l mesh.Load) string {
	b := strconv.AppendUint(make([]byte, 0, 20), uint64(l.Slots), 10)
	b = strconv.AppendUint(append(b, '/'), uint64(l.InUse), 10)
	return string(strconv.AppendUint(append(b, '/'), uint64(l.Queued), 10))
}

// parseLoad reads a Chicory-Load header. It reports whether it is well formed.
func parseLoad(value []byte) (mesh.Load, bool) {
	slots, rest, found := bytes.Cut(value, []byte{'/'})
	inUse, queued, foundQueued := bytes.Cut(rest, []byte{'/'})
	if !found || !foundQueued || len(slots) == 0 || len(inUse) == 0 || len(queued) == 0 {
		return mesh.Load{}, false
	}
	const limit = 1<<16 - 1
	s, ok1 := parseUint(slots, limit)
	u, ok2 := parseUint(inUse, limit)
	q, ok3 := parseUint(queued, limit)
	return mesh.Load{Slots: uint16(s), InUse: uint16(u), Queued: uint16(q)}, ok1 && ok2 && ok3
}

// remainingMillis returns the time until the deadline in whole milliseconds, at
// least one, so that a forwarded call never means "no deadline".
func remainingMillis(deadline, at mesh.Time) uint32 {
	return uint32(max(deadline.Sub(at)/time.Millisecond, 1))
}

// fingerprint hashes method, request target and body. The target includes the
// query, so that requests that differ there alone are told apart.
func fingerprint(method, target, body []byte) mesh.Fingerprint {
	d := xxhash.New()
	for _, part := range [...][]byte{method, target} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return mesh.Fingerprint(d.Sum64())
}

// copyRequest copies a request to another target and leaves out the headers
// that apply to its connection.
func copyRequest(dst *fasthttp.Request, header *fasthttp.RequestHeader, body []byte, prefix string, target []byte) {
	header.CopyTo(&dst.Header)
	for _, name := range hopHeaders {
		dst.Header.Del(name)
	}
	dst.Header.SetProtocol("HTTP/1.1")
	if len(dst.Header.Host()) == 0 {
		dst.Header.SetHost(defaultHost)
	}
	dst.Header.SetRequestURIBytes(append([]byte(prefix), target...))
	dst.SetBodyRaw(body)
}

// copyAnswer copies an answer to the next hop.
func copyAnswer(dst, src *fasthttp.Response) {
	src.CopyTo(dst)
	for _, name := range hopHeaders {
		dst.Header.Del(name)
	}
	dst.Header.ResetConnectionClose()
}

// refuse writes an answer that states outcome and reason.
func refuse(resp *fasthttp.Response, outcome mesh.Outcome, reason mesh.Reason) {
	resp.Reset()
	resp.SetStatusCode(refusalStatus(outcome, reason))
	resp.Header.Set(mesh.HeaderOutcome, outcome.String())
	resp.Header.Set(mesh.HeaderReason, reason.String())
	resp.SetBodyString(outcome.String() + ": " + reason.String() + "\n")
}

func refusalStatus(outcome mesh.Outcome, reason mesh.Reason) int {
	switch {
	case outcome != mesh.NotRun:
		return fasthttp.StatusBadGateway
	case reason == mesh.ReasonBadRequest || reason == mesh.ReasonBadIdentity:
		return fasthttp.StatusBadRequest
	case reason == mesh.ReasonNoRoute:
		return fasthttp.StatusNotFound
	}
	return fasthttp.StatusServiceUnavailable
}
