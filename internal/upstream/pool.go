// Package upstream is an HTTP/1.1 client for one server with pooled
// connections. It reports whether a failed request may have reached the server,
// aborts a request as soon as its context ends, and never mistakes bytes of one
// response for those of another. The pools of net/http and fasthttp resend requests
// on their own, which is wrong for a request that must run at most once.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"github.com/chicoryscale/chicoryscale/internal/egress"
	"github.com/chicoryscale/chicoryscale/internal/membudget"
)

var (
	namespace = errorx.NewNamespace("upstream")
	// ErrNotSent means that no byte of the request has left this process.
	ErrNotSent = namespace.NewType("not_sent")
	// ErrRefused is the subtype of ErrNotSent for a server that refuses connections.
	ErrRefused = ErrNotSent.NewSubtype("refused")
	// ErrLost means that at least part of the request may have been sent and no complete
	// response was received.
	ErrLost = namespace.NewType("lost")
	// ErrBusy means that MaxConns connections are in use, so the request was not sent.
	ErrBusy = namespace.NewType("busy")
)

// keepAliveProbes is the number of unanswered TCP keep-alive probes after which the
// kernel closes a connection.
const keepAliveProbes = 2

// Options configure a pool.
type Options struct {
	// MaxConns bounds the connections, in use or idle. Zero means no bound.
	MaxConns int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// UserTimeout bounds the time for which sent bytes may stay unacknowledged before
	// the kernel closes the connection (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// KeepAlive is the interval of TCP keep-alive probes on a connection without traffic.
	KeepAlive time.Duration
	// IdleTime is the time after which an idle connection is closed.
	IdleTime time.Duration
	// FreshTime is the longest idle time of a connection that serves a request with
	// NeedsFreshConn.
	FreshTime time.Duration
	// MaxAnswerBytes bounds the body of a response.
	MaxAnswerBytes int
	// Memory bounds the bytes that responses hold until the contexts of their requests
	// end. It is shared by the pools of a process; nil means no bound.
	Memory *membudget.Budget
	// StreamBytes is the smallest Content-Length with which a response is returned while
	// its content still arrives. Zero means never.
	StreamBytes int
	// IdentityHeader names the header with the identity of the request (not that of a
	// workload). The server repeats it in its response; a response with another value
	// belongs to another request, and so does one without a value unless the request was the
	// first on its connection. Empty means no such check.
	IdentityHeader string
}

func (o *Options) setTCPUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Request is one request. Its header holds no hop-by-hop fields.
type Request struct {
	Method string
	Target string // path and query as received
	Host   string
	Header http.Header
	Body   []byte
	// NeedsFreshConn requires a connection that was used within FreshTime, or a new one.
	// It is meant for a request that must not be lost on a connection which the server
	// closes.
	NeedsFreshConn bool
}

// encode returns the request as it is sent, with Host and Content-Length added. The body
// is not copied, as it may be large.
func (r *Request) encode() net.Buffers {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) == 0 {
		return net.Buffers{b.Bytes()}
	}
	return net.Buffers{b.Bytes(), r.Body}
}

// Response is a complete response or, if Stream is set, one whose content still
// arrives; Body is then empty.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Stream *Body
}

// Content returns the content. If it is streamed, its bytes may still arrive.
func (r *Response) Content() egress.Content {
	if r.Stream != nil {
		return r.Stream
	}
	return egress.NewBytes(r.Body)
}

// Size returns the number of bytes of the content that have not been consumed yet.
func (r *Response) Size() int { return r.Content().Len() }

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	addr    string
	options *Options
	opened  atomic.Int64

	mu     sync.Mutex
	idle   []*conn // the most recently used one last
	open   int     // connections in use, idle or being opened
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(addr string, o *Options) *Pool { return &Pool{addr: addr, options: o} }

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Do sends a request and returns its complete response, or one with Stream set as
// soon as its headers have been read. When ctx ends, Do and the stream end and the
// connection is closed, which lets the server abort its work. Then the bytes of the
// response also return to the budget Options.Memory. Errors are of the types
// ErrNotSent, ErrBusy and ErrLost.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	result, err := c.exchange(r, p.options)
	if err == nil && result.streamSource != nil {
		context.AfterFunc(ctx, result.resp.Stream.buffer.Release)
		go p.stream(c, &result, stop)
		return result.resp, nil
	}
	result.releaseBuffer(ctx, err)
	p.release(c, result.reusable && err == nil, stop)
	switch {
	case err == nil:
		return result.resp, nil
	case result.mayHaveSent:
		return nil, ErrLost.Wrap(err, "exchange with %s", p.addr)
	}
	return nil, ErrNotSent.Wrap(err, "write to %s", p.addr)
}

// releaseBuffer returns the memory of the content to the budget when the context ends,
// or at once if the exchange failed with err.
func (r *exchangeResult) releaseBuffer(ctx context.Context, err error) {
	switch {
	case r.buffer == nil || !r.buffer.HoldsBudget():
	case err != nil:
		r.buffer.Release()
	default:
		context.AfterFunc(ctx, r.buffer.Release)
	}
}

// stream reads the content of a streamed response to its end and releases its
// connection.
func (p *Pool) stream(c *conn, result *exchangeResult, stop func() bool) {
	err := result.resp.Stream.fill(result.streamSource)
	p.release(c, err == nil && result.reusable && c.reader.Buffered() == 0, stop)
	if err != nil {
		result.resp.Stream.buffer.Release() // the caller gets an error, so the partial content is of no use
		result.resp.Stream.fail(ErrLost.Wrap(err, "read the streamed response of %s", p.addr))
	}
}

// release returns a connection to the idle list, or closes it if it is not reusable
// or if the context of its request has ended. stop is the function that
// context.AfterFunc returned for that context.
func (p *Pool) release(c *conn, reusable bool, stop func() bool) {
	if ctxActive := stop(); reusable && ctxActive {
		p.putIdle(c)
		return
	}
	p.discard(c)
}

// acquire returns a suitable idle connection or opens a new one. A request without
// identity gets a new one, on which its response can't be mistaken.
func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	if p.options.IdentityHeader == "" || r.Header.Get(p.options.IdentityHeader) != "" {
		if c := p.acquireIdle(r.NeedsFreshConn); c != nil {
			return c, nil
		}
	}
	return p.connect(ctx)
}

// connect opens a connection. At MaxConns it first closes the least recently used
// idle one, and fails with ErrBusy if none is idle.
func (p *Pool) connect(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if p.options.MaxConns > 0 && p.open >= p.options.MaxConns && !p.closeOldestIdleLocked() {
		p.mu.Unlock()
		return nil, ErrBusy.New("%d connections to %s are in use", p.open, p.addr)
	}
	p.open++
	p.mu.Unlock()
	p.opened.Add(1)
	c, err := dial(ctx, p.addr, p.options)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, ErrRefused.Wrap(err, "dial %s", p.addr)
		}
		return nil, ErrNotSent.Wrap(err, "dial %s", p.addr)
	}
	return c, nil
}

// closeOldestIdleLocked closes the least recently used idle connection and reports
// whether there was one.
func (p *Pool) closeOldestIdleLocked() bool {
	if len(p.idle) == 0 {
		return false
	}
	_ = p.idle[0].Close()
	p.idle = p.idle[1:]
	p.open--
	return true
}

// acquireIdle returns the most recently used idle connection that is suitable for the
// request, or nil. It closes those that have expired or were closed by the server.
func (p *Pool) acquireIdle(needsFresh bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		idleFor := time.Since(c.idleSince)
		if needsFresh && idleFor > p.options.FreshTime && idleFor <= c.idleLimit {
			return nil // the others have been idle even longer
		}
		p.idle = p.idle[:len(p.idle)-1]
		if idleFor <= c.idleLimit && c.openAndEmpty() {
			return c
		}
		_ = c.Close()
		p.open--
	}
	return nil
}

func (p *Pool) putIdle(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		p.open--
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Trim closes the idle connections whose idle limit has passed and reports whether
// the pool still has any connection.
func (p *Pool) Trim(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) > c.idleLimit {
			_ = c.Close()
			p.open--
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	return p.open > 0
}

// Close closes the idle connections. Those in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for p.closeOldestIdleLocked() {
	}
}

// Refuses opens a connection and reports whether the server refused it. If the
// connection is opened, the pool keeps it for the next request.
func (p *Pool) Refuses() bool {
	ctx, cancel := context.WithTimeout(context.Background(), p.options.DialTimeout)
	defer cancel()
	c, err := p.connect(ctx)
	if err != nil {
		return errorx.IsOfType(err, ErrRefused)
	}
	p.putIdle(c)
	return false
}
