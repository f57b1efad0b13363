package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var nextRequest atomic.Int64

// answer is what a client got.
type answer struct {
	id     string
	status int // zero for none
	signed bool
	body   string
	err    error
	took   time.Duration
}

// served reports whether a request was answered with success.
func (a *answer) served() bool { return a.status >= 200 && a.status < 300 && a.signed }

// send sends a request of a client on the host's machine, on a new connection.
func (w *world) send(h *host, method, hostName, path, body string, limit time.Duration) (a answer) {
	a.id = fmt.Sprintf("%016x", 0x1c41d07b00000000+nextRequest.Add(1))
	began := time.Now()
	defer func() {
		a.took = time.Since(began)
		w.log("answered", "%s status %d signed %v after %d ms %s", a.id, a.status, a.signed, a.took.Milliseconds(), errorText(a.err))
	}()
	w.log("sent", "%s %s %s%s to %s, limit %d ms", a.id, method, hostName, path, h.name, limit.Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", h.addr(portOutbound))
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(limit))
	if _, err = io.WriteString(c, head(method, hostName, path, a.id, body, limit)); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signed, a.body = resp.StatusCode, resp.Header.Get("X-Response-Signature") != "", string(text)
	return a
}

// head returns a request as it is sent.
func head(method, hostName, path, id, body string, limit time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: %s\r\nX-Deadline-Milliseconds: %d\r\n", method, path, hostName, id, limit.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
