package client

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/platform/standin"
	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
)

const testTimeout = 10 * time.Second

func clientSettings(addr string, timeout time.Duration) Settings {
	return Settings{TableAddr: addr, ObjectAddr: addr, Timeout: timeout, MaxConns: 4}
}

// startServer runs a development server on a loopback address until the test ends.
// It returns the server and a client of it.
func startServer(t testing.TB) (*standin.Server, *Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := standin.New(standin.Options{Log: slog.New(slog.DiscardHandler), Now: time.Now, Connections: 64})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx, ln) }()
	c := New(clientSettings(ln.Addr().String(), testTimeout))
	t.Cleanup(func() {
		c.Close()
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server, c
}

func commitRequest(id, key, value string, revision platform.Revision) *platform.Request {
	return &platform.Request{ID: 3, Op: platform.OpCommit, Txn: platform.Txn{ID: id,
		Checks: []platform.Check{{Key: key, Revision: revision}},
		Puts:   []platform.Put{{Key: key, Value: []byte(value)}}}}
}

func readRequest(keys ...string) *platform.Request {
	return &platform.Request{ID: 4, Op: platform.OpRead, Keys: keys}
}

// Guards against fields that are lost between client and server.
func TestOperationsRoundTrip(t *testing.T) {
	is := is.New(t)
	_, c := startServer(t)
	res, err := c.Do(commitRequest("t1", "a", "1", 0))
	is.NoErr(err)
	row := platform.Row{Key: "a", Value: []byte("1"), Revision: 1, Writer: "t1"}
	is.Equal(res, platform.Result{ID: 3, Op: platform.OpCommit, Status: platform.OK, Rows: []platform.Row{row}})
	res, err = c.Do(commitRequest("t2", "a", "2", 0))
	is.NoErr(err)
	is.Equal(res.Status, platform.Conflict)
	is.Equal(res.Rows, []platform.Row{row})
	res, err = c.Do(&platform.Request{ID: 4, Op: platform.OpRead, Prefixes: []string{""}})
	is.True(errorx.IsOfType(err, Refused)) // an empty prefix is refused
	is.Equal(res.Status, platform.Invalid)
	res, err = c.Do(readRequest("a", "b"))
	is.NoErr(err)
	is.Equal(res.Rows, []platform.Row{row})
}

// Guards against an object that is stored under a hash other than its own.
func TestObjectIsStoredOnlyUnderItsHash(t *testing.T) {
	is := is.New(t)
	_, c := startServer(t)
	sum := sha256.Sum256([]byte("x"))
	hash := hex.EncodeToString(sum[:])
	res, err := c.Do(&platform.Request{Op: platform.OpGetObject, Hash: hash})
	is.NoErr(err)
	is.Equal(res.Status, platform.NotFound)
	res, err = c.Do(&platform.Request{Op: platform.OpPutObject, Hash: hash, Object: []byte("y")})
	is.True(errorx.IsOfType(err, Refused))
	is.Equal(res.Status, platform.Invalid)
	res, err = c.Do(&platform.Request{Op: platform.OpPutObject, Hash: hash, Object: []byte("x")})
	is.NoErr(err)
	is.Equal(res.Status, platform.OK)
	res, err = c.Do(&platform.Request{Op: platform.OpGetObject, Hash: hash})
	is.NoErr(err)
	is.Equal(string(res.Object), "x")
}

// Guards against a client that reports a write whose response was lost as failed, and
// against one that sends the write again.
func TestLostResponseIsUnknownAndTookEffect(t *testing.T) {
	is := is.New(t)
	server, c := startServer(t)
	server.SetFaults(wire.Faults{LoseResponses: 1})
	res, err := c.Do(commitRequest("t1", "a", "1", 0))
	is.True(errorx.IsOfType(err, Unanswered))
	is.Equal(res.Status, platform.Unknown)
	step, _ := errorx.ExtractProperty(err, Operation)
	is.Equal(step, "commit")
	peer, _ := errorx.ExtractProperty(err, Peer)
	is.Equal(peer, c.table.Addr)
	res, err = c.Do(readRequest("a"))
	is.NoErr(err)
	is.Equal(res.Rows[0].Writer, "t1")
	counters := server.Counters()
	is.Equal(counters.Writes.Total, uint64(1)) // the client does not send again
	is.Equal(counters.LostResponses, uint64(1))
}

// Guards against a write that takes effect while the platform is unavailable.
func TestCommitWhileUnavailableHasNoEffect(t *testing.T) {
	is := is.New(t)
	server, c := startServer(t)
	server.SetFaults(wire.Faults{Unavailable: true})
	res, err := c.Do(commitRequest("t1", "a", "1", 0))
	is.True(errorx.IsOfType(err, Unanswered))
	is.Equal(res.Status, platform.Unknown)
	server.SetFaults(wire.Faults{})
	res, err = c.Do(readRequest("a"))
	is.NoErr(err)
	is.Equal(len(res.Rows), 0)
}

// Guards against an operation that lasts longer than its timeout when the platform is
// slow.
func TestTimeoutIsUnknown(t *testing.T) {
	is := is.New(t)
	server, c := startServer(t)
	server.SetFaults(wire.Faults{DelayMillis: 300})
	slow := New(clientSettings(c.table.Addr, 20*time.Millisecond))
	defer slow.Close()
	res, err := slow.Do(readRequest("a"))
	is.True(errorx.IsOfType(err, Unanswered))
	is.Equal(res.Status, platform.Unknown)
}

// Guards against a client that reports a refused connection as anything but
// an unknown result.
func TestRefusedConnectionIsUnknown(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	res, err := New(clientSettings(addr, testTimeout)).Do(readRequest("a"))
	is.True(errorx.IsOfType(err, Unanswered))
	is.Equal(res.Status, platform.Unknown)
}

func sendHTTP(t *testing.T, method, url string, body []byte) (int, []byte) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, testTimeout); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), resp.Body()
}

// Guards against admin endpoints that don't set faults or don't return counters.
func TestAdminEndpoints(t *testing.T) {
	is := is.New(t)
	_, c := startServer(t)
	base := "http://" + c.table.Addr
	status, _ := sendHTTP(t, "PUT", base+wire.FaultsPath, []byte(`{"unavailable":true,"lose_responses":2}`))
	is.Equal(status, fasthttp.StatusNoContent)
	_, body := sendHTTP(t, "GET", base+wire.FaultsPath, nil)
	var faults wire.Faults
	is.NoErr(json.Unmarshal(body, &faults))
	is.Equal(faults, wire.Faults{Unavailable: true, LoseResponses: 2})
	_, err := c.Do(readRequest("a"))
	is.True(err != nil)
	_, body = sendHTTP(t, "GET", base+wire.CountersPath, nil)
	var counters wire.Counters
	is.NoErr(json.Unmarshal(body, &counters))
	is.Equal(counters.Reads.Total, uint64(1))
	is.Equal(counters.Reads.Peak, uint64(1))
	is.Equal(counters.Refused, uint64(1))
}

// Guards against malformed or oversized input that is accepted or that stops
// the server.
func TestMalformedRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	_, c := startServer(t)
	base := "http://" + c.table.Addr
	for _, body := range []string{"", "{", `{"id":"t"} x`, `{"id":"t","other":1}`, `[]`, `{"id":""}`} {
		status, _ := sendHTTP(t, "POST", base+wire.CommitPath, []byte(body))
		is.Equal(status, fasthttp.StatusBadRequest)
	}
	status, _ := sendHTTP(t, "PUT", base+wire.FaultsPath, []byte(`{"delay_ms":60001}`))
	is.Equal(status, fasthttp.StatusBadRequest)
	status, _ = sendHTTP(t, "GET", base+"/other", nil)
	is.Equal(status, fasthttp.StatusNotFound)
}

// Guards against a server that reads an oversized body, and against a client
// that sends one and reports the closed connection as a lost response.
func TestOversizedRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	_, c := startServer(t)
	conn, err := net.Dial("tcp", c.table.Addr)
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: p\r\nContent-Length: %d\r\n\r\n", wire.ReadPath, wire.MaxRequestBytes+1)
	is.NoErr(err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 413 Request Entity Too Large\r\n")

	res, err := c.Do(&platform.Request{Op: platform.OpPutObject, Hash: "00", Object: make([]byte, wire.MaxRequestBytes+1)})
	is.True(errorx.IsOfType(err, Refused))
	is.Equal(res.Status, platform.Invalid)
}

// BenchmarkCommit measures one transaction over a loopback connection.
func BenchmarkCommit(b *testing.B) {
	_, c := startServer(b)
	revision := platform.Revision(0)
	for b.Loop() {
		if res, err := c.Do(commitRequest("t", "a", "1", revision)); err != nil || res.Status != platform.OK {
			b.Fatal(res.Status, err)
		}
		revision++
	}
}
