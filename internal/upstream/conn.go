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
)

// readBufferBytes holds the head of most answers.
const readBufferBytes = 4 << 10

// maxForeignAnswers bounds the answers to earlier requests that are skipped on
// one connection before it is given up.
const maxForeignAnswers = 4

// conn is one connection to a server. One request uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
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
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), idleLimit: o.IdleTime}, nil
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
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return exchanged{wrote: true}, err
		}
		if answer.ContentLength > int64(o.MaxAnswerBytes) {
			return exchanged{wrote: true}, errTooLarge
		}
		own := answer.StatusCode >= http.StatusOK && r.owns(answer, o.IdentityHeader)
		out := exchanged{wrote: true, resp: &Response{Status: answer.StatusCode, Header: answer.Header}}
		framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
		if own && o.StreamBytes > 0 && answer.ContentLength >= int64(o.StreamBytes) {
			c.noteKeepAlive(answer.Header, o)
			out.resp.Stream, out.rest = newBody(int(answer.ContentLength)), answer.Body
			out.reuse = !answer.Close
			return out, nil
		}
		if out.resp.Body, err = readBody(answer, o.MaxAnswerBytes); err != nil {
			return exchanged{wrote: true}, err
		}
		if !own {
			if answer.Close {
				return exchanged{wrote: true}, errForeign
			}
			continue
		}
		c.noteKeepAlive(answer.Header, o)
		out.reuse = framed && !answer.Close && c.reader.Buffered() == 0
		return out, nil
	}
	return exchanged{wrote: true}, errForeign
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

func readBody(answer *http.Response, limit int) ([]byte, error) {
	defer func() { _ = answer.Body.Close() }() // the connection is closed on any error
	if answer.ContentLength >= 0 {
		body := make([]byte, answer.ContentLength)
		_, err := io.ReadFull(answer.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = errTooLarge
	}
	return body, err
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
