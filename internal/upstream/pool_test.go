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

const identity = "X-Identity"

func options() *Options {
	return &Options{DialTimeout: time.Second, UserTimeout: time.Second, KeepAlive: time.Second, IdleTime: time.Second,
		FreshTime: time.Second, MaxAnswerBytes: 1 << 20, IdentityHeader: identity}
}

// serve answers each request on each connection with the next of the texts and
// closes the connection after the last one.
func serve(t *testing.T, texts ...string) string {
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
			go answer(c, texts)
		}
	}()
	return l.Addr().String()
}

func answer(c net.Conn, texts []string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, text := range texts {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
	}
}

func get(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/x", Host: "a", Header: http.Header{identity: {id}}}
}

func do(p *Pool, r *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.Do(ctx, r)
}

const ok1 = "HTTP/1.1 200 OK\r\nX-Identity: 1\r\nContent-Length: 2\r\n\r\nhi"

// Guards against an answer to an earlier request that is taken for this one's.
func TestSkipsAnswerOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	p := NewPool(serve(t, "HTTP/1.1 200 OK\r\nX-Identity: 9\r\nContent-Length: 3\r\n\r\nold"+ok1), options())
	resp, err := do(p, get("1"))
	is.NoErr(err)
	is.Equal(string(resp.Body), "hi")
}

// Guards against a connection with stray bytes that is used again.
func TestRetiresConnectionWithExtraBytes(t *testing.T) {
	is := is.New(t)
	p := NewPool(serve(t, ok1+"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", ok1), options())
	for range 2 {
		resp, err := do(p, get("1"))
		is.NoErr(err)
		is.Equal(string(resp.Body), "hi")
	}
	is.Equal(p.Opened(), int64(2))
}

// Guards against a truncated answer that looks whole.
func TestTruncatedAnswerIsLost(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		"HTTP/1.1 200", "not an answer\r\n\r\n", "",
	} {
		_, err := do(NewPool(serve(t, text), options()), get("1"))
		is.True(errorx.IsOfType(err, ErrLost))
	}
}

// Guards against a claim that a request was not sent when it was, and the
// reverse: the first decides whether it may be sent again.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = do(NewPool(l.Addr().String(), options()), get("1"))
	is.True(errorx.IsOfType(err, ErrNotSent))
}

// Guards against work that goes on at a server after its caller has gone.
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
	_, err = NewPool(l.Addr().String(), options()).Do(ctx, get("1"))
	is.True(errorx.IsOfType(err, ErrLost))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("connection stays open")
	}
}

// Guards against a request that is written to a connection which the server
// has closed or is about to close.
func TestUsesNoStaleConnection(t *testing.T) {
	is := is.New(t)
	p := NewPool(serve(t, ok1), options())
	for range 3 {
		_, err := do(p, get("1"))
		is.NoErr(err)
		for p.idleOpen() { // the server's close arrives
			time.Sleep(time.Millisecond) // polls a state that no channel reports
		}
	}
	is.Equal(p.Opened(), int64(3))
}

func (p *Pool) idleOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && p.idle[0].quiet()
}

// serveInParts answers one request with parts of which each waits for its turn.
func serveInParts(t *testing.T, parts ...string) (addr string, next chan<- struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	turns := make(chan struct{}, len(parts))
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
			<-turns
			_, _ = io.WriteString(c, part)
		}
	}()
	return l.Addr().String(), turns
}

func streaming() *Options {
	o := options()
	o.StreamBytes = 4
	return o
}

// Guards against a large answer that is given out only when it is complete.
func TestStreamsLargeAnswer(t *testing.T) {
	is := is.New(t)
	addr, next := serveInParts(t, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcd", "efgh")
	next <- struct{}{}
	p := NewPool(addr, streaming())
	resp, err := p.Do(context.Background(), get("1"))
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

// Guards against a streamed answer that breaks off and looks whole.
func TestTruncatedStreamIsLost(t *testing.T) {
	is := is.New(t)
	p := NewPool(serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcd"), streaming())
	resp, err := p.Do(context.Background(), get("1"))
	is.NoErr(err)
	_, err = resp.Stream.Next(8)
	is.True(errorx.IsOfType(err, ErrLost))
}

// Guards against a stream that outlives its request.
func TestEndOfContextEndsStream(t *testing.T) {
	is := is.New(t)
	addr, next := serveInParts(t, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcd", "efgh")
	next <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := NewPool(addr, streaming()).Do(ctx, get("1"))
	is.NoErr(err)
	cancel()
	_, err = resp.Stream.Next(8)
	is.True(errorx.IsOfType(err, ErrLost))
}

// Guards against a server that has ended and isn't taken for it, because the cause
// of an error is hidden by those around it.
func TestRefusalOfAServerIsKnown(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := NewPool(l.Addr().String(), options())
	is.True(!p.Refuses())
	is.NoErr(l.Close())
	p = NewPool(l.Addr().String(), options())
	is.True(p.Refuses())
	_, err = do(p, get("1"))
	is.True(errorx.IsOfType(err, ErrNotSent))
	is.True(errorx.IsOfType(err, ErrRefused))
}

// Guards against an answer without a length that is taken for whole although its
// connection was reset.
func TestResetEndsNoAnswer(t *testing.T) {
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
	p := NewPool(l.Addr().String(), options())
	_, err = do(p, get("1"))
	is.True(errorx.IsOfType(err, ErrLost))
	resp, err := do(p, get("1"))
	is.NoErr(err) // a connection that ends in order ends its answer
	is.Equal(string(resp.Body), "half")
}
