package sidecar

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Headers between nodes. Each holds all fields, separated by separator, because
// bytes between failure domains are scarce and there is one pair for each request.
const (
	// headerPrefix starts the names of all headers between nodes.
	headerPrefix = "Chicory-"
	headerCall   = "Chicory-Call"
	headerResult = "Chicory-Result"
	// headerRepeated states the probability that an arrival is a repeat, if there is
	// any.
	headerRepeated = "Chicory-Repeated"
	separator      = ";"
)

// Numbers of fields.
const (
	callFields   = 8
	resultFields = 10
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
	h.Set(headerCall, strings.Join([]string{
		string(f.instance), string(f.route), strconv.Itoa(f.rank),
		strconv.FormatInt(max(f.deadline.Sub(now).Milliseconds(), 1), 10), strconv.FormatInt(f.leftToTarget.Milliseconds(), 10),
		strconv.FormatUint(uint64(f.print), 36), strconv.Itoa(int(f.crashes)), formatFlags(f.mayQueue, f.idempotent),
	}, separator))
	if f.repeated > 0 {
		h.Set(headerRepeated, strconv.FormatFloat(f.repeated, 'g', 2, 64))
	}
}

// decodeForwarded reads a request of another node. It reports false for a
// request that no node has sent.
func decodeForwarded(r *http.Request, body []byte, now mesh.Time) (forwarded, bool) {
	fields := strings.Split(r.Header.Get(headerCall), separator)
	if len(fields) != callFields {
		return forwarded{}, false
	}
	rank, err1 := strconv.Atoi(fields[2])
	left, err2 := strconv.ParseInt(fields[3], 10, 32)
	target, err3 := strconv.ParseInt(fields[4], 10, 32)
	print, err4 := strconv.ParseUint(fields[5], 36, 64)
	crashes, err5 := strconv.ParseUint(fields[6], 10, 8)
	mayQueue, idempotent, ok := parseFlags(fields[7])
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil || !ok {
		return forwarded{}, false
	}
	return forwarded{
		method: r.Method, target: r.RequestURI, host: r.Host, header: forwardHeader(r.Header), body: body,
		instance: mesh.InstanceID(fields[0]), route: mesh.Route(fields[1]), rank: rank,
		deadline: now.Add(time.Duration(left) * time.Millisecond), leftToTarget: time.Duration(target) * time.Millisecond,
		mayQueue: mayQueue, idempotent: idempotent, print: mesh.Fingerprint(print), crashes: uint8(crashes),
		repeated: probability(r.Header.Get(headerRepeated)),
	}, true
}

// probability reads a probability. Anything else reads as zero.
func probability(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= 1) {
		return 0
	}
	return v
}

// formatFlags writes two flags as one digit.
func formatFlags(first, second bool) string {
	v := 0
	if first {
		v |= 1
	}
	if second {
		v |= 2
	}
	return strconv.Itoa(v)
}

func parseFlags(text string) (first, second, ok bool) {
	v, err := strconv.ParseUint(text, 10, 2)
	return v&1 != 0, v&2 != 0, err == nil
}

// encode writes the gate's result into the headers of its answer.
func (a *gateAnswer) encode(h http.Header) {
	h.Set(headerResult, strings.Join([]string{
		strconv.Itoa(int(a.outcome)), strconv.Itoa(int(a.reason)), formatFlags(a.reached, a.hasLoad), strconv.Itoa(int(a.crashes)),
		strconv.FormatInt(a.duration.Microseconds(), 10),
		strconv.Itoa(int(a.load.Slots)), strconv.Itoa(int(a.load.InUse)), strconv.Itoa(int(a.load.Queued)),
		strconv.FormatInt(a.backlog.Milliseconds(), 10), strconv.FormatInt(a.waited.Microseconds(), 10),
	}, separator))
}

// decodeGateAnswer reads the gate's result and removes it from the headers. An
// answer without one did not come from a gate and proves nothing.
func decodeGateAnswer(h http.Header) (gateAnswer, bool) {
	fields := strings.Split(h.Get(headerResult), separator)
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
	if len(fields) != resultFields {
		return gateAnswer{}, false
	}
	var numbers [resultFields]uint64
	for i, field := range fields {
		v, err := strconv.ParseUint(field, 10, 32)
		if err != nil {
			return gateAnswer{}, false
		}
		numbers[i] = v
	}
	a := gateAnswer{
		outcome: mesh.Outcome(numbers[0]), reason: mesh.Reason(numbers[1]), crashes: uint8(numbers[3]),
		duration: time.Duration(numbers[4]) * time.Microsecond,
		load:     mesh.Load{Slots: uint16(numbers[5]), InUse: uint16(numbers[6]), Queued: uint16(numbers[7])},
		backlog:  time.Duration(numbers[8]) * time.Millisecond,
		waited:   time.Duration(numbers[9]) * time.Microsecond,
	}
	a.reached, a.hasLoad, _ = parseFlags(fields[2]) // read as a number above
	known := a.outcome == mesh.Answered || a.outcome == mesh.NotRun || a.outcome == mesh.MayHaveRun
	return a, known
}
