package connpool

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 10 * time.Second

func testOptions() Options {
	o := DefaultOptions()
	o.MaxConns, o.WarmConns = 4, 0
	o.ProbeInterval, o.ProbeTimeout = 20*time.Millisecond, 100*time.Millisecond
	return o
}

// startServer starts a server that runs the handler on each connection and closes the
// connection when the handler returns. It returns the address of the server.
func startServer(t *testing.T, handle func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			wg.Go(func() { defer c.Close(); handle(c, bufio.NewReader(c)) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return l.Addr().String()
}

// echoPath answers every request with its path.
func echoPath(c net.Conn, r *bufio.Reader) {
	var req fasthttp.Request
	for req.Read(r) == nil {
		path := string(req.URI().Path())
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
	}
}

func newSet(t *testing.T, opts Options) *Set {
	s := NewSet(opts)
	t.Cleanup(s.Close)
	return s
}

func call(p *Pool, path string, timeout time.Duration) (string, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetHost("test")
	req.Header.SetRequestURI(path)
	err := p.Do(req, resp, time.Now().Add(timeout))
	return string(resp.Body()), err
}

// Guards against waiting for the kernel's timeout when established connections go
// silent while new ones work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	forwarder := newForwarder(t, startServer(t, echoPath))
	opts := testOptions()
	opts.SilenceFloor = 150 * time.Millisecond
	pool := newSet(t, opts).Get(forwarder.addr)
	for range 20 {
		body, err := call(pool, "/echo/service/before", testTimeout)
		is.NoErr(err)
		is.Equal(body, "/echo/service/before")
	}
	forwarder.silence()
	start := time.Now()
	var err error
	for attempts := 0; attempts < 3; attempts++ {
		var body string
		if body, err = call(pool, "/echo/service/after", testTimeout); err == nil {
			is.Equal(body, "/echo/service/after")
			break
		}
	}
	is.NoErr(err)
	is.True(time.Since(start) < time.Second) // well before the deadline of the call
}

// Guards against silent idle connections that are detected only by the next call.
func TestProbesReplaceSilentIdleConnections(t *testing.T) {
	is := is.New(t)
	forwarder := newForwarder(t, startServer(t, echoPath))
	opts := testOptions()
	opts.WarmConns = 2
	set := newSet(t, opts)
	set.Warm(forwarder.addr)
	forwarder.waitOpened(t, 2)
	forwarder.silence()
	forwarder.waitOpened(t, 2) // one replacement for each silenced connection
	body, err := call(set.Get(forwarder.addr), "/x", testTimeout)
	is.NoErr(err)
	is.Equal(body, "/x")
	is.True(set.Counters().ProbesFailed.Load() >= 2)
}

// Guards against returning a response with an empty or short body as complete because the
// backend server closed the connection within its head.
func TestTruncatedHeadIsLost(t *testing.T) {
	is := is.New(t)
	set := newSet(t, testOptions())
	for _, framing := range []string{"Content-Length: 1234\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nX-Identity: 1\r\n" + framing + "\r\n"
		for n := range len(head) {
			addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
				if new(fasthttp.Request).Read(r) == nil {
					_, _ = c.Write([]byte(head[:n]))
				}
			})
			if _, err := call(set.Get(addr), "/x", testTimeout); !errorx.IsOfType(err, ErrLost) {
				t.Errorf("%q: %v", head[:n], err)
			}
		}
		is.True(!t.Failed())
	}
}

// Guards against ErrNotSent for a request that a backend server has read, and against
// ErrLost for one that no backend server can have received.
func TestErrorTellsWhetherRequestWasSent(t *testing.T) {
	is := is.New(t)
	set := newSet(t, testOptions())
	noResponse := startServer(t, func(c net.Conn, r *bufio.Reader) { _ = new(fasthttp.Request).Read(r) })
	_, err := call(set.Get(noResponse), "/", testTimeout)
	is.True(err != nil && !IsNotSent(err))

	truncatedResponse := startServer(t, func(c net.Conn, r *bufio.Reader) {
		_ = new(fasthttp.Request).Read(r)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	})
	_, err = call(set.Get(truncatedResponse), "/", testTimeout)
	is.True(err != nil && !IsNotSent(err))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = call(set.Get(l.Addr().String()), "/", testTimeout)
	is.True(IsNotSent(err))
}

// Guards against writing a request to an idle connection that the server has closed,
// and against sending a request again after a server has read it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 8)
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		if req.Read(r) == nil {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		c.Close()
		closed <- struct{}{}
	})
	pool := newSet(t, testOptions()).Get(addr)
	for range 3 {
		_, err := call(pool, "/", testTimeout)
		is.NoErr(err)
		<-closed
	}
}

// Guards against returning a late or surplus response to the next caller.
func TestStrayResponseIsDropped(t *testing.T) {
	is := is.New(t)
	sentStray := make(chan struct{}, 8)
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		for req.Read(r) == nil {
			path := string(req.URI().Path())
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
			sentStray <- struct{}{}
		}
	})
	pool := newSet(t, testOptions()).Get(addr)
	for i := range 5 {
		path := fmt.Sprintf("/%d", i)
		body, err := call(pool, path, testTimeout)
		is.NoErr(err)
		is.Equal(body, path)
		<-sentStray
	}
}

// Guards against opening more connections than a backend server is configured for, and
// against callers that wait forever at the limit.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	arrived, proceed := make(chan struct{}, 16), make(chan struct{})
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		for req.Read(r) == nil {
			arrived <- struct{}{}
			<-proceed
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	opts := testOptions()
	pool := newSet(t, opts).Get(addr)
	release := sync.OnceFunc(func() { close(proceed) })
	t.Cleanup(release)
	errs := make(chan error, 16)
	for range opts.MaxConns {
		go func() { _, err := call(pool, "/", testTimeout); errs <- err }()
	}
	for range opts.MaxConns {
		<-arrived
	}
	_, err := call(pool, "/", 20*time.Millisecond)
	is.True(IsNotSent(err))
	step, _ := errorx.ExtractProperty(err, PropertyStep)
	is.Equal(step, StepAcquire)
	is.Equal(pool.Open(), opts.MaxConns)
	go func() { _, err := call(pool, "/", testTimeout); errs <- err }()
	release()
	for range opts.MaxConns + 1 {
		is.NoErr(<-errs)
	}
	is.True(pool.Open() <= opts.MaxConns)
}

// Guards against aborting a call of a slow route at the bound of a fast one, and
// against a bound that a single slow call of the route does not raise.
func TestEstimatesByRoute(t *testing.T) {
	is := is.New(t)
	var e estimates
	estimateFor := func(path string) *estimate {
		req := &fasthttp.Request{}
		req.Header.SetRequestURI(path)
		return e.forRequest(req)
	}
	for range 100 {
		estimateFor("/forward/stock/1?a=/b").add(time.Millisecond)
	}
	_, bounded := estimateFor("/forward/statements").bound(time.Millisecond)
	is.True(!bounded)
	estimateFor("/forward/stock/2").add(time.Second)
	for range 20 {
		estimateFor("/forward/stock").add(time.Millisecond)
	}
	bound, bounded := estimateFor("/forward/stock/3").bound(time.Millisecond)
	is.True(bounded && bound > time.Second)
}

// Guards against closing a healthy idle connection because the deadline of its
// previous call has passed, which would open one connection per call at low
// rates.
func TestIdleConnectionOutlivesCallDeadline(t *testing.T) {
	is := is.New(t)
	set := newSet(t, testOptions())
	pool := set.Get(startServer(t, echoPath))
	for range 3 {
		_, err := call(pool, "/x", testTimeout)
		is.NoErr(err)
		pool.mu.Lock()
		for c := range pool.conns {
			is.NoErr(c.SetDeadline(time.Unix(1, 0)))
		}
		pool.mu.Unlock()
	}
	is.Equal(set.Counters().Opened.Load(), int64(1))
	is.Equal(set.Counters().Stale.Load(), int64(0))
}
