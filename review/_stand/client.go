package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// answer is what a client got for one attempt.
type answer struct {
	id      string
	sentAt  time.Time
	took    time.Duration
	status  int // zero if there was no answer
	whole   bool
	cause   string // of a missing or broken answer
	signed  bool
	limitMs int
}

// client sends requests to the Outbound address of one machine.
type client struct {
	host *host
	http *http.Client
}

func newClient(h *host) *client {
	return &client{host: h, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 20, IdleConnTimeout: 20 * time.Second}}}
}

// send sends one attempt and waits for its answer until the client's time limit.
func (c *client) send(method, path string, body []byte, limitMs int, size int) answer {
	a := answer{id: newID(), sentAt: time.Now(), limitMs: limitMs}
	rec := c.host.fleet.rec
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(limitMs)*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.host.addr(portOutbound)+path, bytes.NewReader(body))
	if err != nil {
		a.cause = err.Error()
		return a
	}
	r.Host = hostName
	r.Header.Set("X-Attempt-Identifier", a.id)
	r.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(limitMs))
	rec.add("sent %s %s %s to %s", a.id, method, path, c.host.name())
	resp, err := c.http.Do(r)
	if err == nil {
		a.status, a.signed = resp.StatusCode, resp.Header.Get("X-Response-Signature") != ""
		var got []byte
		got, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.whole = err == nil && (a.status != http.StatusOK || bytes.Equal(got, content(a.id, path, size)))
	}
	a.took = time.Since(a.sentAt)
	if err != nil {
		a.cause = err.Error()
		if ctx.Err() != nil {
			a.cause = "time limit passed"
		}
	}
	rec.add("answered %s status %d whole %v signed %v after %d ms %s", a.id, a.status, a.whole, a.signed, a.took.Milliseconds(), a.cause)
	return a
}
