package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
)

const testNow = mesh.Time(time.Hour)

// Guards against a gate that decodes other values than the entry node encoded.
func TestForwardedRoundTrip(t *testing.T) {
	is := is.New(t)
	in := forwardedRequest{
		instance: "i-1", route: "r", rank: 2, deadline: testNow.Add(time.Second), leftToTarget: -20 * time.Millisecond,
		mayQueue: true, fingerprint: 1 << 63, suspicion: poison.Suspicion{Crashes: 1, Cleared: 3}, repeatProbability: 0.25, tenantRank: 2,
	}
	r := httptest.NewRequest(http.MethodGet, "/x?y=1", nil)
	in.encode(r.Header, testNow)
	out, ok := decodeForwarded(r, nil, testNow)
	is.True(ok)
	is.Equal(out.target, "/x?y=1")
	is.Equal(len(out.header), 0) // headers between nodes never reach the instance
	in.method, in.target, in.host, in.header = out.method, out.target, out.host, out.header
	is.Equal(out, in)
}

// Guards against a gate's result that is decoded wrongly, and against an answer without
// a valid result that is accepted as one.
func TestGateAnswerRoundTrip(t *testing.T) {
	is := is.New(t)
	in := gateAnswer{
		outcome: mesh.NotRun, reason: mesh.ReasonOverload, reached: true, suspicion: poison.Suspicion{Crashes: 1, Cleared: 3}, waited: 2 * time.Millisecond, duration: 3 * time.Millisecond, backlog: 70 * time.Millisecond,
		load: mesh.Load{Slots: 9, InUse: 8, Queued: 7}, hasLoad: true,
		startsIn: 40 * time.Millisecond, hasStartsIn: true,
	}
	h := http.Header{"X-Other": {"1"}}
	in.encode(h)
	out, ok := decodeGateAnswer(h)
	is.True(ok)
	is.Equal(out, in)
	is.Equal(len(h), 1)
	for _, text := range []string{"", "1", "0;0;0;0;0;0;0;0;0", "1;0;0;0;x;0;0;0;0"} {
		_, ok := decodeGateAnswer(http.Header{headerResult: {text}})
		is.True(!ok)
	}
}

// Guards against a node that doesn't understand the answer of one that predicts no work,
// such as a node of an older build, and against an expected wait that a malformed header
// sets.
func TestGateAnswerWithoutExpectedWait(t *testing.T) {
	is := is.New(t)
	in := gateAnswer{outcome: mesh.NotRun, reason: mesh.ReasonOverload, load: mesh.Load{Slots: 9}, hasLoad: true}
	for _, text := range []string{"", "x", "-1", "99999999999"} {
		h := http.Header{}
		in.encode(h)
		is.Equal(len(h), 1)
		is.Equal(strings.Count(h.Get(headerResult), fieldSeparator), resultFields-1) // as older nodes expect
		if text != "" {
			h.Set(headerStartsIn, text)
		}
		out, ok := decodeGateAnswer(h)
		is.True(ok)
		is.Equal(out, in)
	}
}

// Guards against hop-by-hop headers, or headers between nodes, of a client's request that
// reach the instance.
func TestEndToEndHeaderDropsHopByHopHeaders(t *testing.T) {
	is := is.New(t)
	h := endToEndHeader(http.Header{
		"Connection": {"X-Private", "close, x-second"}, "X-Private": {"1"}, "X-Second": {"1"}, "Keep-Alive": {"1"}, "Transfer-Encoding": {"chunked"}, "Te": {"trailers"},
		headerCall: {"x"}, "Accept": {"*/*"},
	})
	is.Equal(h, http.Header{"Accept": {"*/*"}})
}

// FuzzDecodeForwarded decodes arbitrary values of headerCall.
func FuzzDecodeForwarded(f *testing.F) {
	f.Add("i;r;1;1000;300;a;0;1")
	f.Add(";;;;;;;")
	f.Fuzz(func(t *testing.T, text string) {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Header[headerCall] = []string{text}
		if f, ok := decodeForwarded(r, nil, testNow); ok && f.deadline < testNow.Add(-30*24*time.Hour) {
			t.Fatalf("deadline %v", f.deadline)
		}
	})
}

// FuzzDecodeGateAnswer decodes arbitrary values of headerResult.
func FuzzDecodeGateAnswer(f *testing.F) {
	f.Add("1;0;3;0;1000;9;8;7;0")
	f.Fuzz(func(t *testing.T, text string) {
		a, ok := decodeGateAnswer(http.Header{headerResult: {text}})
		if ok && a.outcome.String() == "unknown" {
			t.Fatalf("outcome %d", a.outcome)
		}
	})
}

// Guards against a key that leaves the entry node, and against a client that names its own
// tenant.
func TestTenantIsStatedByTheEntryNode(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "a"}, namedHeaders{}, NewLog(io.Discard))
	is.NoErr(err)
	for tenant, want := range map[mesh.Tenant]http.Header{"one": {"X-Customer": {"one"}}, "": {}} {
		h := http.Header{"X-Key": {"secret", "second"}, "X-Customer": {"forged"}}
		n.setTenant(h, tenant)
		is.Equal(h, want)
	}
	is.Equal(rejectStatus(mesh.NotRun, mesh.ReasonUnknownKey), http.StatusUnauthorized)
}

// Guards against a head within the limits whose fields and options of the connection are each
// compared with each other, which keeps a processor busy for a tenth of a second.
func TestCostOfConnectionOptionsIsLinear(t *testing.T) {
	is := is.New(t)
	h := http.Header{"Connection": {strings.Repeat("a,", 4000)}}
	for i := range 1500 {
		h["X-"+strconv.Itoa(i)] = []string{""}
	}
	fastest := func() time.Duration {
		best := time.Hour
		for range 5 {
			began := time.Now()
			endToEndHeader(h)
			best = min(best, time.Since(began))
		}
		return best
	}
	withOptions := fastest()
	h["X-Option"] = h["Connection"]
	delete(h, "Connection")
	is.True(withOptions < 20*fastest()) // six million comparisons take some hundred times as long
}
