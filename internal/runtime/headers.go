package runtime

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
)

// Headers between nodes, in addition to those of package mesh.
const (
	headerPriority   = "Chicory-Priority"
	headerIdempotent = "Chicory-Idempotent"
	// headerCrashed marks the response to a call during which the backend
	// server died. Its value is the number of crashes that the gate attributes
	// to the request.
	headerCrashed = "Chicory-Crashed"
)

// defaultHost replaces the Host header if an HTTP/1.0 request has none.
const defaultHost = "chicory"

// Paths of the peer server.
const (
	pathForward  = "/forward"
	pathRelay    = "/relay"
	pathAnnounce = "/announce"
	pathProbe    = "/probe"
)

// nodeOnlyHeaders are set by nodes only. They are removed from the requests of
// callers and from the responses of backend servers.
var nodeOnlyHeaders = [...]string{
	mesh.HeaderAttempt, mesh.HeaderCrashes, mesh.HeaderInstance, mesh.HeaderLoad, mesh.HeaderVersion,
	mesh.HeaderOutcome, mesh.HeaderReason, headerPriority, headerIdempotent, headerCrashed,
}

// hopByHopHeaders apply to one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = [...]string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderProxyConnection, fasthttp.HeaderTE,
	fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
}

func setUint(h *fasthttp.RequestHeader, name string, value int) {
	h.Set(name, strconv.Itoa(value))
}

// parseUint reads a decimal number of at most limit. An absent value is read as
// zero.
func parseUint(value []byte, limit uint64) (uint64, bool) {
	if len(value) == 0 {
		return 0, true
	}
	v, err := strconv.ParseUint(string(value), 10, 64)
	return v, err == nil && v <= limit
}

// formatLoad returns the value of the Chicory-Load header for a load.
func formatLoad(l mesh.Load) string {
	b := strconv.AppendUint(make([]byte, 0, 20), uint64(l.Slots), 10)
	b = strconv.AppendUint(append(b, '/'), uint64(l.InUse), 10)
	return string(strconv.AppendUint(append(b, '/'), uint64(l.Queued), 10))
}

// parseLoad reads the value of a Chicory-Load header. It reports whether the
// value is well-formed.
func parseLoad(value []byte) (mesh.Load, bool) {
	slots, rest, hasInUse := bytes.Cut(value, []byte{'/'})
	inUse, queued, hasQueued := bytes.Cut(rest, []byte{'/'})
	if !hasInUse || !hasQueued || len(slots) == 0 || len(inUse) == 0 || len(queued) == 0 {
		return mesh.Load{}, false
	}
	const limit = 1<<16 - 1
	s, slotsOK := parseUint(slots, limit)
	u, inUseOK := parseUint(inUse, limit)
	q, queuedOK := parseUint(queued, limit)
	return mesh.Load{Slots: uint16(s), InUse: uint16(u), Queued: uint16(q)}, slotsOK && inUseOK && queuedOK
}

// remainingMillis returns the time until the deadline in whole milliseconds. It
// returns at least one, because a forwarded value of zero would mean "no
// deadline".
func remainingMillis(deadline, at mesh.Time) uint32 {
	return uint32(max(deadline.Sub(at)/time.Millisecond, 1))
}

// hashRequest returns the same hash at the entry node and at the gate, which gets the
// request with defaultHost if the caller has sent no Host header.
func hashRequest(h *fasthttp.RequestHeader, target, body []byte) mesh.RequestHash {
	host := h.Host()
	if len(host) == 0 {
		host = []byte(defaultHost)
	}
	return poison.HashRequest(host, h.Method(), target, body)
}

// copyRequest copies a request for another target and removes the hop-by-hop
// headers.
func copyRequest(dst *fasthttp.Request, header *fasthttp.RequestHeader, body []byte, prefix string, target []byte) {
	header.CopyTo(&dst.Header)
	for _, name := range hopByHopHeaders {
		dst.Header.Del(name)
	}
	dst.Header.SetProtocol("HTTP/1.1")
	if len(dst.Header.Host()) == 0 {
		dst.Header.SetHost(defaultHost)
	}
	dst.Header.SetRequestURIBytes(append([]byte(prefix), target...))
	dst.SetBodyRaw(body)
}

// copyResponse copies a response for the next hop and removes the hop-by-hop
// headers.
func copyResponse(dst, src *fasthttp.Response) {
	src.CopyTo(dst)
	for _, name := range hopByHopHeaders {
		dst.Header.Del(name)
	}
	dst.Header.ResetConnectionClose()
}

// writeRefusal replaces the response by one that states the outcome and the
// reason.
func writeRefusal(resp *fasthttp.Response, outcome mesh.Outcome, reason mesh.Reason) {
	resp.Reset()
	resp.SetStatusCode(refusalStatus(outcome, reason))
	resp.Header.Set(mesh.HeaderOutcome, outcome.String())
	resp.Header.Set(mesh.HeaderReason, reason.String())
	resp.SetBodyString(outcome.String() + ": " + reason.String() + "\n")
}

// refusalStatus returns the HTTP status code of a refusal.
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
