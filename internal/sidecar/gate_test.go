package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// namedHeaders is a platform with names for the headers of instances.
type namedHeaders struct{ Platform }

func (namedHeaders) Headers() *Headers {
	return &Headers{
		Identity: "X-Identity", DeadlineMillis: "X-Deadline", Signature: "X-Signature", Expected: "X-Expected",
		NotRun: "X-Not-Run", Caller: "X-Caller", RetryAfter: "Retry-After", Instance: "X-Instance", Key: "X-Key", Tenant: "X-Customer",
	}
}

// Guards against a request that counts as not run, and may run at a second instance,
// because an instance repeats its refusal of an earlier request on the same connection
// while it runs this one.
func TestRepeatedRefusalIsNotTakenForTheNextAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nX-Identity: second\r\nX-Signature: 7.1\r\nContent-Length: 2\r\n\r\nhi"
	for name, refusal := range map[string]string{
		"full, with its identity":  "HTTP/1.1 503 Full\r\nX-Identity: first\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"full":                     "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"full, in chunks":          "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"another instance":         "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
		"too many requests":        "HTTP/1.1 429 Many\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"bad request, with a body": "HTTP/1.1 400 Bad\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				reader := bufio.NewReader(c)
				for _, response := range []string{refusal, refusal + answer} {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(c, response)
				}
			}()
			n, err := New(Settings{Host: "a", InstanceAddr: l.Addr().String()}, namedHeaders{}, NewLog(io.Discard))
			is.NoErr(err)
			send := func(identity string) gateAnswer {
				return n.dispatch(t.Context(), mesh.CallID(1), &forwardedRequest{
					method: http.MethodPost, target: "/book/1", host: "a", instance: "i-1", deadline: n.now().Add(time.Second),
					header: http.Header{"X-Identity": {identity}},
				})
			}
			is.Equal(send("first").outcome, mesh.NotRun) // nothing else can have been on the connection
			second := send("second")
			is.Equal(second.outcome, mesh.Answered)
			is.Equal(string(second.response.Body), "hi")
		})
	}
}

// Guards against a health answer that declares a cold instance warm because its statement
// can't be read.
func TestUnreadableWarmUpCountsAsCold(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]time.Duration{"": 0, "0": 0, "1500.5": 1500500 * time.Microsecond, "-1": proxy.MaxWarmUp, "warm": proxy.MaxWarmUp, "NaN": proxy.MaxWarmUp} {
		left, stated := parseWarmUp(text)
		is.True(stated == (text != "") && left == want)
	}
}
