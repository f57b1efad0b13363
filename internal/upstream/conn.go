package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/membudget"
)

// readBufferBytes holds the head of most answers.
const readBufferBytes = 4 << 10

const (
	// maxForeignAnswers bounds the answers to earlier requests that are skipped on
	// one connection before it is given up, and maxForeignBytes the body of each.
	maxForeignAnswers = 4
	maxForeignBytes   = 1 << 20
	// maxHeadBytes bounds the status line and the headers of an answer. Those of
	// backend servers have some hundred bytes.
	maxHeadBytes = 32 << 10
	// maxFraming bounds the bytes on the wire for each byte of a body in chunks,
	// beyond framingBytes. A server that sends single bytes needs six.
	maxFraming   = 8
	framingBytes = 64 << 10
)

// conn is one connection to a server. One request uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	meter  *meter // below the reader
	// idleSince is the time at which the last answer was complete.
	idleSince time.Time
	// idleLimit is the idle time after which the server may close it.
	idleLimit time.Duration
}

func dial(ctx context.Context, addr string, o *Options) (*conn, error) {
	d := net.Dialer{Timeout: o.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: keepAliveProbes}, Control: o.setUserTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	m := &meter{source: c}
	return &conn{Conn: c, reader: bufio.NewReaderSize(m, readBufferBytes), meter: m, idleLimit: o.IdleTime}, nil
}

// meter bounds the bytes that are read while a head is awaited: the parser of
// net/http keeps lines and headers of any length.
type meter struct {
	source io.Reader
	// left is the number of bytes that may be read while limited is set.
	left    int
	limited bool
	total   int // bytes read since the connection was opened
}

func (m *meter) limit(bytes int) { m.left, m.limited = bytes, true }
func (m *meter) unlimit()        { m.limited = false }

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	if m.limited {
		if m.left == 0 {
			return 0, errTooLarge
		}
		p = p[:min(len(p), m.left)]
	}
	n, err := m.source.Read(p)
	m.left -= n
	m.total += n
	return n, err
}

// quiet reports whether an idle connection is open and holds no bytes. Bytes
// that arrived while no request was waiting belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchanged is the end of an exchange, or the arrival of a large answer's head.
type exchanged struct {
	resp *Response
	// rest is the content of an answer that is still arriving, nil for others.
	rest io.Reader
	// content is that of an answer that was read.
	content *membudget.Buffer
	// wrote reports whether any byte of the request may have reached the server.
	wrote bool
	// reuse reports whether the connection may serve another request.
	reuse bool
}

// exchange writes a request and reads its answer: the whole of it, or the head of
// one that is large enough to be streamed.
func (c *conn) exchange(r *Request, o *Options) (exchanged, error) {
	n, err := c.Write(r.encode())
	if err != nil {
		return exchanged{wrote: n > 0}, err
	}
	for range maxForeignAnswers {
		answer, err := c.readHead(r.Method)
		if err != nil {
			return exchanged{wrote: true}, err
		}
		if answer.StatusCode < http.StatusOK || !r.owns(answer, o.IdentityHeader) {
			if err := skip(answer); err != nil {
				return exchanged{wrote: true}, err
			}
			continue
		}
		return c.readOwn(answer, o)
	}
	return exchanged{wrote: true}, errForeign
}

// readHead reads the status line and the headers of the next answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.meter.limit(maxHeadBytes)
	defer c.meter.unlimit()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// skip reads an answer that belongs to another request.
func skip(answer *http.Response) error {
	if answer.Close || answer.ContentLength > maxForeignBytes {
		return errForeign
	}
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxForeignBytes+1))
	if err == nil && n > maxForeignBytes {
		err = errForeign
	}
	return err
}

// readOwn reads the content of the answer to this connection's request, unless it
// is to be streamed. On any error the connection is closed with what is unread:
// closing the body would read on until its end.
func (c *conn) readOwn(answer *http.Response, o *Options) (exchanged, error) {
	out := exchanged{wrote: true, resp: &Response{Status: answer.StatusCode, Header: answer.Header}}
	if answer.ContentLength > int64(o.MaxAnswerBytes) {
		return out, errTooLarge
	}
	c.noteKeepAlive(answer.Header, o)
	if o.StreamBytes > 0 && answer.ContentLength >= int64(o.StreamBytes) {
		out.resp.Stream, out.rest = newBody(int(answer.ContentLength), o.Memory), answer.Body
		out.reuse = !answer.Close
		return out, nil
	}
	length := o.MaxAnswerBytes + 1
	if answer.ContentLength >= 0 {
		length = int(answer.ContentLength)
	}
	out.content = o.Memory.NewBuffer(length)
	err := c.readBody(answer.Body, out.content, o.MaxAnswerBytes)
	out.resp.Body = out.content.Bytes()
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	out.reuse = err == nil && framed && !answer.Close && c.reader.Buffered() == 0
	return out, err
}

var (
	errForeign  = errors.New("answers belong to other requests")
	errTooLarge = errors.New("answer exceeds the size limit")
)

// owns reports whether the answer is to this request. A server that leaves out
// the identity is taken at its word.
func (r *Request) owns(answer *http.Response, header string) bool {
	echoed := answer.Header.Get(header)
	return header == "" || echoed == "" || echoed == r.Header.Get(header)
}

// readBody reads a body to its end, which is that of its stated length if there is
// one.
func (c *conn) readBody(body io.Reader, content *membudget.Buffer, limit int) error {
	began := c.meter.total
	for {
		room, err := content.Room()
		if err != nil || len(room) == 0 {
			return err
		}
		n, err := body.Read(room)
		content.Received(n)
		switch {
		case len(content.Bytes()) > limit, c.meter.total-began > maxFraming*len(content.Bytes())+framingBytes:
			return errTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// idleShare is the part of the server's idle time-out after which a connection
// is no longer used, so that a request never crosses the server's close.
const idleShare = 0.7

// noteKeepAlive takes over the idle time-out that the server states.
func (c *conn) noteKeepAlive(h http.Header, o *Options) {
	_, value, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || seconds < 0 {
		return
	}
	c.idleLimit = min(o.IdleTime, time.Duration(idleShare*float64(seconds)*float64(time.Second)))
}
