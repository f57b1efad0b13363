package sidecar

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Headers between nodes, in addition to those of package mesh.
const (
	// headerPrefix starts the names of all headers between nodes.
	headerPrefix     = "Chicory-"
	headerRoute      = "Chicory-Route"
	headerRank       = "Chicory-Rank"
	headerTarget     = "Chicory-Target-Ms"
	headerQueue      = "Chicory-May-Queue"
	headerPrint      = "Chicory-Fingerprint"
	headerDuration   = "Chicory-Duration-Us"
	headerReached    = "Chicory-Reached"
	headerIdempotent = "Chicory-Idempotent"
)

// hopHeaders apply to one connection only (RFC 9110, 7.6.1).
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardHeader copies the end-to-end headers of a request.
func forwardHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+12)
	named := h.Get("Connection")
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) && !namedIn(named, name) {
			out[name] = values
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}

// namedIn reports whether a Connection header names another header.
func namedIn(connection, name string) bool {
	for option := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(option), name) {
			return true
		}
	}
	return false
}

// answerHeader removes from an answer what concerns one connection.
func answerHeader(h http.Header) http.Header {
	for _, name := range hopHeaders {
		delete(h, name)
	}
	return h
}

// encode writes what a gate needs to know into the request's headers.
func (f *forwarded) encode(h http.Header, now mesh.Time) {
	h.Set(mesh.HeaderInstance, string(f.instance))
	h.Set(mesh.HeaderDeadline, strconv.FormatInt(max(f.deadline.Sub(now).Milliseconds(), 1), 10))
	h.Set(headerRoute, string(f.route))
	h.Set(headerRank, strconv.Itoa(f.rank))
	h.Set(headerTarget, strconv.FormatInt(f.leftToTarget.Milliseconds(), 10))
	h.Set(headerPrint, strconv.FormatUint(uint64(f.print), 16))
	if f.mayQueue {
		h.Set(headerQueue, "1")
	}
	if f.idempotent {
		h.Set(headerIdempotent, "1")
	}
	if f.crashes > 0 {
		h.Set(mesh.HeaderCrashes, strconv.Itoa(int(f.crashes)))
	}
}

// decodeForwarded reads a request of another node. It reports false for a
// request that no node has sent.
func decodeForwarded(r *http.Request, body []byte, now mesh.Time) (forwarded, bool) {
	left, err1 := strconv.ParseInt(r.Header.Get(mesh.HeaderDeadline), 10, 32)
	target, err2 := strconv.ParseInt(r.Header.Get(headerTarget), 10, 32)
	rank, err3 := strconv.Atoi(r.Header.Get(headerRank))
	print, err4 := strconv.ParseUint(r.Header.Get(headerPrint), 16, 64)
	crashes, err5 := strconv.ParseUint("0"+r.Header.Get(mesh.HeaderCrashes), 10, 8)
	for _, err := range [...]error{err1, err2, err3, err4, err5} {
		if err != nil {
			return forwarded{}, false
		}
	}
	return forwarded{
		method: r.Method, target: r.RequestURI, host: r.Host, header: forwardHeader(r.Header), body: body,
		instance: mesh.InstanceID(r.Header.Get(mesh.HeaderInstance)), route: mesh.Route(r.Header.Get(headerRoute)), rank: rank,
		deadline: now.Add(time.Duration(left) * time.Millisecond), leftToTarget: time.Duration(target) * time.Millisecond,
		mayQueue: r.Header.Get(headerQueue) == "1", idempotent: r.Header.Get(headerIdempotent) == "1",
		print: mesh.Fingerprint(print), crashes: uint8(crashes),
	}, true
}

// encode writes the gate's result into the headers of its answer.
func (a *gateAnswer) encode(h http.Header) {
	h.Set(mesh.HeaderOutcome, a.outcome.String())
	h.Set(mesh.HeaderReason, a.reason.String())
	if a.reached {
		h.Set(headerReached, "1")
	}
	if a.crashes > 0 {
		h.Set(mesh.HeaderCrashes, strconv.Itoa(int(a.crashes)))
	}
	if a.duration > 0 {
		h.Set(headerDuration, strconv.FormatInt(a.duration.Microseconds(), 10))
	}
	if a.hasLoad {
		h.Set(mesh.HeaderLoad, formatLoad(a.load))
	}
}

// decodeGateAnswer reads the gate's result and removes it from the headers. An
// answer without one did not come from a gate and proves nothing.
func decodeGateAnswer(h http.Header) (gateAnswer, bool) {
	var a gateAnswer
	var err error
	if a.outcome, err = mesh.ParseOutcome(h.Get(mesh.HeaderOutcome)); err != nil {
		return a, false
	}
	if a.reason, err = mesh.ParseReason(h.Get(mesh.HeaderReason)); err != nil {
		return a, false
	}
	a.reached = h.Get(headerReached) == "1"
	crashes, _ := strconv.ParseUint(h.Get(mesh.HeaderCrashes), 10, 8) // absent means none
	a.crashes = uint8(crashes)
	micros, _ := strconv.ParseInt(h.Get(headerDuration), 10, 64) // absent means unknown
	a.duration = time.Duration(micros) * time.Microsecond
	a.load, a.hasLoad = parseLoad(h.Get(mesh.HeaderLoad))
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
	return a, true
}

func formatLoad(l mesh.Load) string {
	return strconv.Itoa(int(l.Slots)) + "/" + strconv.Itoa(int(l.InUse)) + "/" + strconv.Itoa(int(l.Queued))
}

func parseLoad(text string) (mesh.Load, bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return mesh.Load{}, false
	}
	var numbers [3]uint16
	for i, p := range parts {
		v, err := strconv.ParseUint(p, 10, 16)
		if err != nil {
			return mesh.Load{}, false
		}
		numbers[i] = uint16(v)
	}
	return mesh.Load{Slots: numbers[0], InUse: numbers[1], Queued: numbers[2]}, true
}
