package sidecar

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
)

// Headers between nodes. All fields are packed into one header of the request and one of
// the answer, because bandwidth between failure domains is scarce and each forwarded
// request carries them.
const (
	// headerPrefix is the prefix of the names of all headers between nodes.
	headerPrefix = "Chicory-"
	headerCall   = "Chicory-Call"   // of a forwarded request
	headerResult = "Chicory-Result" // of the gate's answer to it
	// headerRepeatProbability holds the probability that the request is a retry. It is
	// omitted if that is zero.
	headerRepeatProbability = "Chicory-Repeated"
	// headerCleared holds the number of times that the request was cleared of crashes, in
	// both directions. It is omitted if that is zero.
	headerCleared = "Chicory-Cleared"
	// headerTenantRank holds the rank of the request's tenant. It is omitted if that is
	// zero.
	headerTenantRank = "Chicory-Tenant-Rank"
	// headerStartsIn holds the milliseconds after which the gate expects a request that
	// arrives now to start. It is a header of its own because nodes of older builds accept
	// a headerResult only with the number of fields that they know.
	headerStartsIn = "Chicory-Starts-In"
	fieldSeparator = ";"
)

// Number of fields of headerCall and headerResult.
const (
	callFields   = 8
	resultFields = 10
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeader returns a copy of a request's headers without hop-by-hop headers and
// headers between nodes.
func endToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+12)
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	// Looks up each option of the connection among the fields, rather than each field among
	// the options: a head may have thousands of both.
	for _, options := range h["Connection"] {
		for option := range strings.SplitSeq(options, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(option)))
		}
	}
	return removeHopByHopHeaders(out)
}

// removeHopByHopHeaders removes the hop-by-hop headers in place.
func removeHopByHopHeaders(h http.Header) http.Header {
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}

// encode sets the headers that tell the gate the target instance, the deadline and the
// state of the request.
func (f *forwardedRequest) encode(h http.Header, now mesh.Time) {
	h.Set(headerCall, strings.Join([]string{
		string(f.instance), string(f.route), strconv.Itoa(f.rank),
		strconv.FormatInt(max(f.deadline.Sub(now).Milliseconds(), 1), 10), strconv.FormatInt(f.leftToTarget.Milliseconds(), 10),
		strconv.FormatUint(uint64(f.fingerprint), 36), strconv.Itoa(int(f.suspicion.Crashes)), formatFlags(f.mayQueue, f.idempotent),
	}, fieldSeparator))
	if f.repeatProbability > 0 {
		h.Set(headerRepeatProbability, strconv.FormatFloat(f.repeatProbability, 'g', 2, 64))
	}
	if f.tenantRank != 0 {
		h.Set(headerTenantRank, strconv.Itoa(f.tenantRank))
	}
	setCleared(h, f.suspicion)
}

// decodeForwarded decodes a request that another node has forwarded. It reports false
// if the headers between nodes are missing or malformed.
func decodeForwarded(r *http.Request, body []byte, now mesh.Time) (forwardedRequest, bool) {
	fields := strings.Split(r.Header.Get(headerCall), fieldSeparator)
	if len(fields) != callFields {
		return forwardedRequest{}, false
	}
	rank, err1 := strconv.Atoi(fields[2])
	leftMillis, err2 := strconv.ParseInt(fields[3], 10, 32)
	targetMillis, err3 := strconv.ParseInt(fields[4], 10, 32)
	fingerprint, err4 := strconv.ParseUint(fields[5], 36, 64)
	crashes, err5 := strconv.ParseUint(fields[6], 10, 8)
	mayQueue, idempotent, ok := parseFlags(fields[7])
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil || !ok {
		return forwardedRequest{}, false
	}
	return forwardedRequest{
		method: r.Method, target: r.RequestURI, host: r.Host, header: endToEndHeader(r.Header), body: body,
		instance: mesh.InstanceID(fields[0]), route: mesh.Route(fields[1]), rank: rank,
		deadline: now.Add(time.Duration(leftMillis) * time.Millisecond), leftToTarget: time.Duration(targetMillis) * time.Millisecond,
		mayQueue: mayQueue, idempotent: idempotent, fingerprint: mesh.Fingerprint(fingerprint), suspicion: poison.Suspicion{Crashes: uint8(crashes), Cleared: parseCleared(r.Header)},
		repeatProbability: parseProbability(r.Header.Get(headerRepeatProbability)), tenantRank: parseRank(r.Header.Get(headerTenantRank)),
	}, true
}

func setCleared(h http.Header, s poison.Suspicion) {
	if s.Cleared > 0 {
		h.Set(headerCleared, strconv.FormatUint(uint64(s.Cleared), 10))
	}
}

// parseCleared parses headerCleared. It returns zero for a missing or malformed value.
func parseCleared(h http.Header) uint32 {
	v, err := strconv.ParseUint(h.Get(headerCleared), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(v)
}

// parseRank parses a rank. It returns zero for a missing or malformed value.
func parseRank(text string) int {
	v, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0
	}
	return int(v)
}

// parseProbability parses a probability. It returns zero for any other text.
func parseProbability(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= 1) {
		return 0
	}
	return v
}

// formatFlags encodes two flags as one digit.
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

// encode sets the header that tells the entry node the gate's result.
func (a *gateAnswer) encode(h http.Header) {
	h.Set(headerResult, strings.Join([]string{
		strconv.Itoa(int(a.outcome)), strconv.Itoa(int(a.reason)), formatFlags(a.reached, a.hasLoad), strconv.Itoa(int(a.suspicion.Crashes)),
		strconv.FormatInt(a.duration.Microseconds(), 10),
		strconv.Itoa(int(a.load.Slots)), strconv.Itoa(int(a.load.InUse)), strconv.Itoa(int(a.load.Queued)),
		strconv.FormatInt(a.backlog.Milliseconds(), 10), strconv.FormatInt(a.waited.Microseconds(), 10),
	}, fieldSeparator))
	setCleared(h, a.suspicion)
	if a.hasStartsIn {
		h.Set(headerStartsIn, strconv.FormatInt(a.startsIn.Milliseconds(), 10))
	}
}

// maxStartsIn bounds the expected wait that a gate may report.
const maxStartsIn = time.Minute

// parseStartsIn parses headerStartsIn. It reports false for a missing or malformed value,
// as in the answer of a node that doesn't predict work.
func parseStartsIn(h http.Header) (time.Duration, bool) {
	v, err := strconv.ParseUint(h.Get(headerStartsIn), 10, 32)
	if err != nil {
		return 0, false
	}
	return min(time.Duration(v)*time.Millisecond, maxStartsIn), true
}

// decodeGateAnswer decodes the gate's result and removes the headers between nodes. It
// reports false for an answer without a valid result: it did not come from a gate, and
// whether the request has run is unknown.
func decodeGateAnswer(h http.Header) (gateAnswer, bool) {
	fields := strings.Split(h.Get(headerResult), fieldSeparator)
	cleared := parseCleared(h)
	startsIn, hasStartsIn := parseStartsIn(h)
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
		outcome: mesh.Outcome(numbers[0]), reason: mesh.Reason(numbers[1]), suspicion: poison.Suspicion{Crashes: uint8(numbers[3]), Cleared: cleared},
		duration: time.Duration(numbers[4]) * time.Microsecond,
		load:     mesh.Load{Slots: uint16(numbers[5]), InUse: uint16(numbers[6]), Queued: uint16(numbers[7])},
		backlog:  time.Duration(numbers[8]) * time.Millisecond,
		waited:   time.Duration(numbers[9]) * time.Microsecond,
		startsIn: startsIn, hasStartsIn: hasStartsIn,
	}
	a.reached, a.hasLoad, _ = parseFlags(fields[2]) // the loop above has checked that it is a number
	known := a.outcome == mesh.Answered || a.outcome == mesh.NotRun || a.outcome == mesh.MayHaveRun
	return a, known
}
