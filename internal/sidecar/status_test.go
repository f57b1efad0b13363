package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/upstream"
)

// answerer accepts connections, reads one request from each, sends the answer and
// reports when the other end has closed the connection. It never closes one itself.
func answerer(t *testing.T, answer string) (addr string, closed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	done := make(chan struct{}, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				_, _ = io.Copy(io.Discard, c)
				done <- struct{}{}
			}()
		}
	}()
	return l.Addr().String(), done
}

// answerLimit bounds the wait for an exchange that should fail at once.
const answerLimit = 5 * time.Second

// unknownStatuses are status lines that HTTP doesn't know, or that can't end an exchange.
var unknownStatuses = []string{"000 X", "-00 X", "099 X", "+20 X", "20 X", "2000 X", "600 X", "700 X", "999 X", "abc X", "100 Continue", "101 Switching", "103 Early"}

// Guards against an answer whose status HTTP doesn't know, or which is an interim answer
// in place of a final one: it reached the client as an answer, or the request waited until
// its deadline for the final answer.
func TestAnswerWithUnknownStatusIsLost(t *testing.T) {
	for _, status := range unknownStatuses {
		head := "HTTP/1.1 " + status + "\r\nX-Identity: first\r\nX-Signature: 7.1\r\n"
		result := gateAnswer{outcome: mesh.Answered, reached: true}
		header := http.Header{}
		result.encode(header)
		for place, answer := range map[string]string{
			"instance": head + "Content-Length: 2\r\n\r\nhi",
			"gate":     head + headerResult + ": " + header.Get(headerResult) + "\r\nContent-Length: 2\r\n\r\nhi",
		} {
			t.Run(place+" "+strings.Fields(status)[0], func(t *testing.T) {
				is := is.New(t)
				addr, closed := answerer(t, answer)
				n, err := New(Settings{Host: "a", InstanceAddr: addr}, namedHeaders{}, NewLog(io.Discard))
				is.NoErr(err)
				f := &forwardedRequest{method: http.MethodGet, target: "/x", host: "a", instance: "i-1",
					deadline: n.now().Add(time.Minute), header: http.Header{"X-Identity": {"first"}}}
				ctx, cancel := context.WithTimeout(t.Context(), answerLimit)
				defer cancel()
				var a gateAnswer
				if place == "gate" {
					a = n.sendToGate(ctx, addr, f)
				} else {
					a = n.dispatch(ctx, mesh.CallID(1), f)
				}
				is.Equal(a.outcome, mesh.MayHaveRun)
				is.Equal(rejectStatus(a.outcome, a.reason), http.StatusBadGateway)
				select {
				case <-closed:
				case <-time.After(10 * time.Second):
					t.Error("the connection was not closed")
				}
			})
		}
	}
}

// Guards against a health answer with an unknown status that counts as serving, or that
// leaves its connection open for requests.
func TestHealthAnswerWithUnknownStatusIsNotServing(t *testing.T) {
	for _, status := range unknownStatuses {
		addr, closed := answerer(t, "HTTP/1.1 "+status+"\r\nX-Instance: i-1\r\nContent-Length: 0\r\n\r\n")
		n, err := New(Settings{Host: "a", InstanceAddr: addr}, namedHeaders{}, NewLog(io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), answerLimit)
		result, err := n.askHealth(ctx, proxy.InstanceProbe{Path: "/health", ID: "i-1"})
		cancel()
		if err == nil {
			t.Errorf("status %s: the answer is not an error", status)
		}
		if result.Serving {
			t.Errorf("status %s: the instance counts as serving", status)
		}
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Errorf("status %s: the connection was not closed", status)
		}
	}
}

// Guards against this node's own limit on connections being taken for a failure of the
// host, which would take the host out of routing.
func TestLimitOfConnectionsIsNoFailureOfTheHost(t *testing.T) {
	is := is.New(t)
	a := classifyHostError(t.Context(), upstream.ErrBusy.New("all connections are in use"))
	is.Equal(a.outcome, mesh.NotRun)
	is.Equal(a.reason, mesh.ReasonOverload)
	is.True(!a.hostFailed)
}
