package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

const identityHeader = "X-Identity"

func testOptions() *Options {
	return &Options{DialTimeout: time.Second, UserTimeout: time.Second, KeepAlive: time.Second, IdleTime: time.Second,
		FreshTime: time.Second, MaxAnswerBytes: 1 << 20, IdentityHeader: identityHeader}
}

// serve answers the requests on each connection with the given raw responses in order
// and closes the connection after the last one.
func serve(t *testing.T, responses ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go writeResponses(c, responses)
		}
	}()
	return l.Addr().String()
}

func writeResponses(c net.Conn, responses []string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, response := range responses {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, response)
	}
}

// newGet returns a request whose identity header has the given value.
func newGet(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/x", Host: "a", Header: http.Header{identityHeader: {id}}}
}

func doWithTimeout(p *Pool, r *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.Do(ctx, r)
}

// response1 is the response to newGet("1").
const response1 = "HTTP/1.1 200 OK\r\nX-Identity: 1\r\nContent-Length: 2\r\n\r\nhi"

// Guards against returning the response to an earlier request on the same connection.
func TestSkipsResponseToAnotherRequest(t *testing.T) {
	is := is.New(t)
	p := NewPool(serve(t, "HTTP/1.1 200 OK\r\nX-Identity: 9\r\nContent-Length: 3\r\n\r\nold"+response1), testOptions())
	resp, err := doWithTimeout(p, newGet("1"))
	is.NoErr(err)
	is.Equal(string(resp.Body), "hi")
}

// Guards against reusing a connection with unread bytes, which are no response to the
// next request.
func TestRetiresConnectionWithExtraBytes(t *testing.T) {
	is := is.New(t)
	p := NewPool(serve(t, response1+"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", response1), testOptions())
	for range 2 {
		resp, err := doWithTimeout(p, newGet("1"))
		is.NoErr(err)
		is.Equal(string(resp.Body), "hi")
	}
	is.Equal(p.Opened(), int64(2))
}

// Guards against returning a truncated response as complete.
func TestTruncatedResponseIsLost(t *testing.T) {
	is := is.New(t)
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		"HTTP/1.1 200", "not an answer\r\n\r\n", "",
	} {
		_, err := doWithTimeout(NewPool(serve(t, response), testOptions()), newGet("1"))
		is.True(errorx.IsOfType(err, ErrLost))
	}
}

// Guards against returning a response with an empty or short body as complete because the
// server closed the connection within its head.
func TestTruncatedHeadIsLost(t *testing.T) {
	is := is.New(t)
	for _, framing := range []string{"Content-Length: 1234\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nX-Identity: 1\r\nX-Signature: 7.1\r\n" + framing + "\r\n"
		for n := range len(head) {
			_, err := doWithTimeout(NewPool(serve(t, head[:n]), testOptions()), newGet("1"))
			if !errorx.IsOfType(err, ErrLost) {
				t.Errorf("%q: %v", head[:n], err)
			}
		}
		is.True(!t.Failed())
	}
}

// Guards against ErrNotSent for a request that was sent, and against ErrLost for one
// that was not: only a request that was not sent may be sent again in any case.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = doWithTimeout(NewPool(l.Addr().String(), testOptions()), newGet("1"))
	is.True(errorx.IsOfType(err, ErrNotSent))
}

// Guards against a server that keeps working on a request whose caller has given up,
// because the connection stays open.
func TestEndOfContextClosesConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = NewPool(l.Addr().String(), testOptions()).Do(ctx, newGet("1"))
	is.True(errorx.IsOfType(err, ErrLost))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("connection still open 1 s after the request ended")
	}
}

// Guards against a request that is written to a connection which the server
// has closed or is about to close.
func TestUsesNoStaleConnection(t *testing.T) {
	is := is.New(t)
	p := NewPool(serve(t, response1), testOptions())
	for range 3 {
		_, err := doWithTimeout(p, newGet("1"))
		is.NoErr(err)
		for p.hasOpenIdle() { // until the server's close has arrived
			time.Sleep(time.Millisecond) // polls a state that no channel reports
		}
	}
	is.Equal(p.Opened(), int64(3))
}

func (p *Pool) hasOpenIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && p.idle[0].openAndEmpty()
}

// serveInParts answers one request with the given parts. It writes the next part for
// each value received on next.
func serveInParts(t *testing.T, parts ...string) (addr string, next chan<- struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	permits := make(chan struct{}, len(parts))
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for _, part := range parts {
			<-permits
			_, _ = io.WriteString(c, part)
		}
	}()
	return l.Addr().String(), permits
}

func streamingOptions() *Options {
	o := testOptions()
	o.StreamBytes = 4
	return o
}

// Guards against a large response that is returned only once it is complete.
func TestStreamsLargeResponse(t *testing.T) {
	is := is.New(t)
	addr, next := serveInParts(t, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcd", "efgh")
	next <- struct{}{}
	p := NewPool(addr, streamingOptions())
	resp, err := p.Do(context.Background(), newGet("1"))
	is.NoErr(err)
	is.Equal(resp.Size(), 8)
	piece, err := resp.Stream.Next(3)
	is.NoErr(err)
	is.Equal(string(piece), "abc")
	next <- struct{}{}
	piece, err = resp.Stream.Next(9)
	is.NoErr(err)
	is.Equal(string(piece), "defgh")
	is.Equal(resp.Size(), 0)
}

// Guards against a truncated stream that looks like a complete response.
func TestTruncatedStreamIsLost(t *testing.T) {
	is := is.New(t)
	p := NewPool(serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcd"), streamingOptions())
	resp, err := p.Do(context.Background(), newGet("1"))
	is.NoErr(err)
	_, err = resp.Stream.Next(8)
	is.True(errorx.IsOfType(err, ErrLost))
}

// Guards against a stream that continues after the context of its request has ended.
func TestEndOfContextEndsStream(t *testing.T) {
	is := is.New(t)
	addr, next := serveInParts(t, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcd", "efgh")
	next <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := NewPool(addr, streamingOptions()).Do(ctx, newGet("1"))
	is.NoErr(err)
	cancel()
	_, err = resp.Stream.Next(8)
	is.True(errorx.IsOfType(err, ErrLost))
}

// Guards against a stopped server that is not recognized as stopped, because the
// errors that wrap the refused connection hide it.
func TestRefusedConnectionIsReported(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := NewPool(l.Addr().String(), testOptions())
	is.True(!p.Refuses())
	is.NoErr(l.Close())
	p = NewPool(l.Addr().String(), testOptions())
	is.True(p.Refuses())
	_, err = doWithTimeout(p, newGet("1"))
	is.True(errorx.IsOfType(err, ErrNotSent))
	is.True(errorx.IsOfType(err, ErrRefused))
}

// Guards against treating a response without a stated length as complete although its
// connection was reset.
func TestResetIsNotEndOfResponse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		for reset := true; ; reset = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	p := NewPool(l.Addr().String(), testOptions())
	_, err = doWithTimeout(p, newGet("1"))
	is.True(errorx.IsOfType(err, ErrLost))
	resp, err := doWithTimeout(p, newGet("1"))
	is.NoErr(err) // a connection that is closed normally marks the end of the response
	is.Equal(string(resp.Body), "half")
}
