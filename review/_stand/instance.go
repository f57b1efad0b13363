package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// instance is one application instance as PROTOCOL.md describes it.
type instance struct {
	host    *host
	id      string
	service string
	version string // empty for v1
	slots   int
	work    func(path string) time.Duration
	size    func(path string) int // bytes of the body of a success
	// fails reports whether the next request that runs is answered with a failure. It may
	// be nil.
	fails func() bool
	// onRun is called when a request has begun to run. If it returns true, the request
	// crashes the instance.
	onRun func(i *instance, r *http.Request) bool
	// queued bounds the requests that wait for a slot.
	queued int

	born    int64
	server  *http.Server
	running chan struct{}
	waiting chan struct{}
	stop    chan struct{}

	mu       sync.Mutex
	seq      int64
	draining bool
	left     bool
	closed   bool
}

func (i *instance) start() error {
	l, err := net.Listen("tcp", i.host.addr(portInstance))
	if err != nil {
		return err
	}
	i.born, i.stop = time.Now().UnixMilli(), make(chan struct{})
	i.running, i.waiting = make(chan struct{}, i.slots), make(chan struct{}, i.slots+i.queued)
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve), IdleTimeout: 10 * time.Second}
	i.host.fleet.rec.add("instance %s of %s started on %s, born %d", i.id, i.service, i.host.name(), i.born)
	go func() { _ = i.server.Serve(l) }()
	go i.beat()
	return nil
}

func (i *instance) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed || i.server == nil {
		return
	}
	i.closed = true
	close(i.stop)
	_ = i.server.Close()
}

// beat sends the heartbeats until the instance leaves or ends.
func (i *instance) beat() {
	ticker := time.NewTicker(heartbeatMs * time.Millisecond)
	defer ticker.Stop()
	for {
		i.mu.Lock()
		left := i.left
		i.mu.Unlock()
		if left {
			return
		}
		_, _ = i.post("instances.heartbeat", i.heartbeat())
		select {
		case <-i.stop:
			return
		case <-ticker.C:
		}
	}
}

// heartbeat returns the body of the next heartbeat.
func (i *instance) heartbeat() []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seq++
	state := "ready"
	if i.draining {
		state = "draining"
	}
	body, _ := json.Marshal(object{
		"Address":     i.host.addr(portInstance),
		"Information": object{"Service": i.service, "Version": cmp.Or(i.version, "v1"), "Zone": i.host.zone, "Slots": i.slots},
		"Status":      object{"State": state, "Seq": i.seq, "WarmupLeftMs": 0},
		"born":        i.born,
	})
	return body
}

// post makes a call to the machine's control address and returns the status.
func (i *instance) post(call string, body []byte) (int, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+i.host.addr(portControl)+"/rpc?call="+call+"&of="+i.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// leave announces that the instance exits. It goes on serving.
func (i *instance) leave() (int, error) {
	i.mu.Lock()
	i.left, i.draining = true, true
	body, _ := json.Marshal(object{"born": i.born})
	i.mu.Unlock()
	return i.post("instances.leave", body)
}

func (i *instance) isLeaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.draining
}

// content returns the body of a success.
func content(id, path string, size int) []byte {
	line := fmt.Sprintf("answer to %s for %s\n", id, path)
	return []byte(strings.Repeat(line, size/len(line)+1))
}

func (i *instance) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance", i.id)
	if r.URL.Path == "/health" {
		if i.isLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Identifier")
	w.Header().Set("X-Attempt-Identifier", id)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Milliseconds"), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case i.waiting <- struct{}{}:
		defer func() { <-i.waiting }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case i.running <- struct{}{}:
		defer func() { <-i.running }()
	case <-timer.C:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	i.host.fleet.rec.add("run %s %s at %s on %s, calling service %q", id, r.RequestURI, i.id, i.host.name(), r.Header.Get("X-Calling-Service"))
	if i.onRun != nil && i.onRun(i, r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", i.id+".1")
	select {
	case <-time.After(i.work(r.URL.Path)):
	case <-timer.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	if i.fails != nil && i.fails() {
		i.host.fleet.rec.add("%s at %s answered 500", id, i.id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body := content(id, r.RequestURI, i.size(r.URL.Path))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
