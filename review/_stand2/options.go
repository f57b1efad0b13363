package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// connectionOptions lets clients send requests whose Connection header lists many options
// beside many short fields, in heads within the limit of the configuration.
func connectionOptions(w *world) verdict {
	const headBytes, timeout = 16384, 1200 * time.Millisecond
	conns := 350
	if text := os.Getenv("CONNS"); text != "" {
		conns, _ = strconv.Atoi(text)
	}
	routes := []route{{name: "list", host: "route.example", prefix: "/list/", service: "route", kind: "idempotent", timeoutMs: int(timeout.Milliseconds()), targetMs: 300, attempts: 2}}
	if err := w.configure(1, []string{"route"}, routes); err != nil {
		return notRun("%v", err)
	}
	for range 4 {
		if _, err := w.addHost("route", instanceSettings{work: func(*http.Request) work { return work{takes: 20 * time.Millisecond} }}); err != nil {
			return notRun("%v", err)
		}
	}
	if !w.awaitReady() {
		return notRun("the nodes don't become ready")
	}
	until := time.Now().Add(30 * time.Second)
	var crowd sync.WaitGroup
	var sent, answered atomic.Int64
	extra := manyFields(w.trouble, headBytes-300)
	for i := range 2 * conns {
		crowd.Go(func() {
			for time.Now().Before(until) {
				w.sendFields(w.hosts[i%2], extra, until, &sent, &answered)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	var mu sync.Mutex
	all, unanswered, late, served := 0, 0, 0, 0
	every(100*time.Millisecond, time.Until(until), func(n int) {
		a := w.send(w.hosts[n%2], http.MethodGet, "route.example", fmt.Sprintf("/list/%d", n), "", 8*time.Second)
		mu.Lock()
		defer mu.Unlock()
		all++
		if a.served() {
			served++
		}
		if a.took > timeout {
			unanswered++
			if a.took > timeout+500*time.Millisecond {
				late++
			}
		}
	})
	crowd.Wait()
	w.log("crowd", "%d requests sent, %d answered", sent.Load(), answered.Load())
	text := fmt.Sprintf("of %d requests of ordinary clients, %d were unanswered at the route's TimeoutMs of %d, %d of them also half a second later; %d were served; the crowd sent %d requests",
		all, unanswered, timeout.Milliseconds(), late, served, sent.Load())
	if unanswered >= 8 && 2*late > unanswered {
		return verdict{exitBroken, "broken: CONFIG: " + text}
	}
	return held("%s", text)
}

// manyFields returns a part of a head with many short fields and one long list, which is
// that of the options of the connection or, if not asked for, an ordinary header.
func manyFields(options bool, bytes int) string {
	name := "X-Option: "
	if options {
		name = "Connection: "
	}
	var fields strings.Builder
	fields.WriteString(name + strings.Repeat("a,", bytes/4) + "a\r\n")
	for i := 36; fields.Len() < bytes-10; i++ {
		fields.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return fields.String()
}

// sendFields sends requests with these fields on one connection until it is closed.
func (w *world) sendFields(h *host, fields string, until time.Time, sent, answered *atomic.Int64) {
	c, err := net.DialTimeout("tcp", h.addr(portOutbound), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for time.Now().Before(until) {
		id := fmt.Sprintf("%016x", 0x1c41d07b00000000+nextRequest.Add(1))
		text := head(http.MethodGet, "route.example", "/list/x", id, "", 2*time.Second)
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		sent.Add(1)
		w.log("crowd sent", "%s GET route.example/list/x to %s", id, h.name)
		if _, err := io.WriteString(c, strings.TrimSuffix(text, "\r\n")+fields+"\r\n"); err != nil {
			return
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return
		}
		answered.Add(1)
		w.log("crowd got", "%s status %d", id, resp.StatusCode)
		time.Sleep(100 * time.Millisecond)
	}
}
