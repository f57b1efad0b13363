package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/membudget"
)

// readBufferBytes is enough for the status line and headers of most responses.
const readBufferBytes = 4 << 10

const (
	// maxUnmatchedResponses bounds the interim responses and the responses to earlier
	// requests that an exchange skips before it fails and closes the connection.
	// maxUnmatchedBytes bounds the body of each of them.
	maxUnmatchedResponses = 4
	maxUnmatchedBytes     = 1 << 20
	// maxHeadBytes bounds the status line and the headers of a response. Those of
	// backend servers take a few hundred bytes.
	maxHeadBytes = 32 << 10
	// A body, with its chunk framing, may take framingAllowanceBytes on the wire plus
	// maxWireBytesPerContentByte for each byte of content. A server that sends chunks of
	// a single byte needs six bytes for each.
	maxWireBytesPerContentByte = 8
	framingAllowanceBytes      = 64 << 10
)

// conn is one connection to a server. One request uses it at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	limiter *readLimiter // source of reader
	// used is set once a request was written. Before that, no earlier response can be on its
	// way.
	used bool
	// idleSince is the time at which the connection last became idle.
	idleSince time.Time
	// idleLimit is the idle time after which the connection is no longer used, because
	// the server may be closing it.
	idleLimit time.Duration
}

func dial(ctx context.Context, addr string, o *Options) (*conn, error) {
	d := net.Dialer{Timeout: o.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: keepAliveProbes}, Control: o.setTCPUserTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	limiter := &readLimiter{source: c}
	return &conn{Conn: c, reader: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter, idleLimit: o.IdleTime}, nil
}

// readLimiter bounds the bytes that are read for the status line and headers of a
// response: the parser of net/http accepts lines and headers of any length.
type readLimiter struct {
	source io.Reader
	// remaining is the number of bytes that may still be read while limited is set.
	remaining  int
	limited    bool
	totalBytes int // bytes read since the connection was opened
}

func (l *readLimiter) limit(bytes int) { l.remaining, l.limited = bytes, true }
func (l *readLimiter) unlimit()        { l.limited = false }

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if l.limited {
		if l.remaining == 0 {
			return 0, errTooLarge
		}
		p = p[:min(len(p), l.remaining)]
	}
	n, err := l.source.Read(p)
	l.remaining -= n
	l.totalBytes += n
	return n, err
}

// openAndEmpty reports whether an idle connection is open and has no unread bytes.
// Bytes that arrived while no request was in flight must not be taken for the response
// to the next request.
func (c *conn) openAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// exchangeResult is the result of an exchange: a complete response, or the head of a
// response that is to be streamed. After an error only two fields count: mayHaveSent,
// and buffer, which may hold part of a response and has to be released.
type exchangeResult struct {
	resp *Response
	// streamSource is the unread content of a response that is to be streamed, and nil
	// for others.
	streamSource io.Reader
	// buffer holds the content of a response that was read into memory.
	buffer *membudget.Buffer
	// mayHaveSent reports whether any byte of the request may have reached the server.
	mayHaveSent bool
	// reusable reports whether the connection may serve another request.
	reusable bool
}

// exchange writes a request and reads its response: all of it, or only the status
// line and headers if it is large enough to be streamed.
func (c *conn) exchange(r *Request, o *Options) (exchangeResult, error) {
	first := !c.used
	c.used = true
	request := r.encode()
	n, err := request.WriteTo(c.Conn)
	if err != nil {
		return exchangeResult{mayHaveSent: n > 0}, err
	}
	for range maxUnmatchedResponses {
		resp, err := c.readHead(r.Method)
		if err != nil {
			return exchangeResult{mayHaveSent: true}, err
		}
		if err := checkStatus(resp); err != nil {
			return exchangeResult{mayHaveSent: true}, err
		}
		if resp.StatusCode < http.StatusOK || !r.matches(resp, o.IdentityHeader, first) {
			if err := discardResponse(resp); err != nil {
				return exchangeResult{mayHaveSent: true}, err
			}
			continue
		}
		return c.readMatchingResponse(resp, o)
	}
	return exchangeResult{mayHaveSent: true}, errUnmatched
}

// Status codes outside of the range from 100 to 599 are invalid (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// checkStatus returns an error if a response has a status that HTTP doesn't know, or an
// interim status in place of a final one. What follows on the connection can't be
// attributed then. A response with status 101 changes the protocol, for which no request
// asks, and one with another interim status has no content (RFC 9110, 8.6 and 15.2).
func checkStatus(resp *http.Response) error {
	switch {
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
	case resp.StatusCode >= http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusSwitchingProtocols, len(resp.Header["Content-Length"]) > 0, len(resp.TransferEncoding) > 0:
	default:
		return nil
	}
	return fmt.Errorf("%w: %03d", errStatus, resp.StatusCode)
}

// readHead reads the status line and the headers of the next response.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limiter.limit(maxHeadBytes)
	defer c.limiter.unlimit()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// discardResponse reads and drops an interim response or one to another request.
func discardResponse(resp *http.Response) error {
	if resp.Close || resp.ContentLength > maxUnmatchedBytes {
		return errUnmatched
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnmatchedBytes+1))
	if err == nil && n > maxUnmatchedBytes {
		err = errUnmatched
	}
	return err
}

// readMatchingResponse reads the content of the response to the current request,
// unless it is to be streamed. It never closes the response's body, because that
// would read on until the end of the body; after an error the caller closes the
// connection instead.
func (c *conn) readMatchingResponse(resp *http.Response, o *Options) (exchangeResult, error) {
	result := exchangeResult{mayHaveSent: true, resp: &Response{Status: resp.StatusCode, Header: resp.Header}}
	if resp.ContentLength > int64(o.MaxAnswerBytes) {
		return result, errTooLarge
	}
	c.setIdleLimit(resp.Header, o)
	if o.StreamBytes > 0 && resp.ContentLength >= int64(o.StreamBytes) {
		result.resp.Stream, result.streamSource = newBody(int(resp.ContentLength), o.Memory), resp.Body
		result.reusable = !resp.Close
		return result, nil
	}
	length := o.MaxAnswerBytes + 1
	if resp.ContentLength >= 0 {
		length = int(resp.ContentLength)
	}
	result.buffer = o.Memory.NewBuffer(length)
	err := c.readBody(resp.Body, result.buffer, o.MaxAnswerBytes)
	result.resp.Body = result.buffer.Bytes()
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	result.reusable = err == nil && framed && !resp.Close && c.reader.Buffered() == 0
	return result, err
}

var (
	// errUnmatched means that the server sent maxUnmatchedResponses other responses
	// before the one to the request, or one that is larger than maxUnmatchedBytes or
	// after which the connection closes.
	errUnmatched = errors.New("none of the responses read belongs to the request")
	errStatus    = errors.New("response has an unknown status, or an interim one as its final status")
	errTooLarge  = errors.New("response exceeds the size limit")
)

// matches reports whether the response is to this request: it must repeat the request's
// value of the named header, which is Options.IdentityHeader. Without that header it
// counts only if the request is the first one on its connection: a faulty server may
// send an earlier response once more.
func (r *Request) matches(resp *http.Response, header string, first bool) bool {
	if header == "" {
		return true
	}
	if echoed := resp.Header.Get(header); echoed != "" {
		return echoed == r.Header.Get(header)
	}
	return first
}

// readBody reads a body into the buffer until the body ends or the buffer is full. The
// caller sizes the buffer to the Content-Length if the response has one, and otherwise
// to one byte more than maxBytes, so that a longer body is noticed.
func (c *conn) readBody(body io.Reader, buffer *membudget.Buffer, maxBytes int) error {
	startBytes := c.limiter.totalBytes
	for {
		space, err := buffer.FreeSpace()
		if err != nil || len(space) == 0 {
			return err
		}
		n, err := body.Read(space)
		buffer.Advance(n)
		switch {
		case len(buffer.Bytes()) > maxBytes, c.limiter.totalBytes-startBytes > maxWireBytesPerContentByte*len(buffer.Bytes())+framingAllowanceBytes:
			return errTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// idleTimeoutShare is the share of the server's idle timeout after which a connection
// is no longer used, so that no request is sent while the server closes the
// connection.
const idleTimeoutShare = 0.7

// setIdleLimit applies the idle timeout from the server's Keep-Alive header.
func (c *conn) setIdleLimit(h http.Header, o *Options) {
	_, value, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || seconds < 0 {
		return
	}
	c.idleLimit = min(o.IdleTime, time.Duration(idleTimeoutShare*float64(seconds)*float64(time.Second)))
}
