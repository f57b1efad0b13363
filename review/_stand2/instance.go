package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// work states what an instance does with a request.
type work struct {
	takes  time.Duration
	crash  bool // the instance ends after takes
	status int  // zero for 200
}

// instanceSettings describe the instances of a host.
type instanceSettings struct {
	service, version, zone string
	slots                  int
	downFor                time.Duration // after a crash
	// limitTick is the granularity of the clock by which the instance ends work at its time
	// limit.
	limitTick time.Duration
	work      func(*http.Request) work
}

// run is a request that an instance has begun to run.
type run struct {
	at                        time.Time
	id, method, host, path    string
	caller, instance, version string
	ended                     time.Time
	endedBy                   string // "answer", "limit", "closed" or "crash"
	status                    int
}

// instance is the application instance of a host, which may be started several times.
type instance struct {
	world    *world
	host     *host
	settings instanceSettings

	mu       sync.Mutex
	id       string
	born     int64
	seq      int
	server   *http.Server
	cancel   context.CancelFunc
	slots    chan struct{}
	runs     []*run
	crashes  int
	draining bool
}

func newInstance(w *world, h *host, s instanceSettings) *instance {
	if s.version == "" {
		s.version = "v1"
	}
	if s.slots == 0 {
		s.slots = 6
	}
	return &instance{world: w, host: h, settings: s}
}

// start starts a new incarnation.
func (i *instance) start() error {
	l, err := net.Listen("tcp", i.host.addr(portInstance))
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	i.id, i.born, i.seq, i.cancel = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0, cancel
	i.slots = make(chan struct{}, i.settings.slots)
	id, slots := i.id, i.slots
	i.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.serve(w, r, id, slots)
	})}
	server := i.server
	go func() { _ = server.Serve(l) }() // ends with stop or crash
	go i.sendHeartbeats(ctx)
	i.world.log("instance", "%s of %s %s starts beside %s", id, i.settings.service, i.settings.version, i.host.name)
	return nil
}

// stop ends the instance.
func (i *instance) stop() {
	i.mu.Lock()
	cancel, server := i.cancel, i.server
	i.mu.Unlock()
	if cancel != nil {
		cancel()
		_ = server.Close()
	}
}

// crash ends the incarnation of the given name, and starts another one some time later.
func (i *instance) crash(id string) {
	i.mu.Lock()
	current := i.id == id
	if current {
		i.id = ""
		i.crashes++
	}
	i.mu.Unlock()
	if !current {
		return
	}
	i.stop()
	i.world.log("instance", "%s beside %s has crashed", id, i.host.name)
	time.AfterFunc(i.settings.downFor, func() {
		if err := i.start(); err != nil {
			i.world.log("instance", "beside %s does not start: %v", i.host.name, err)
		}
	})
}

func (i *instance) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		i.mu.Lock()
		i.seq++
		body, _ := json.Marshal(object{ // a map of plain values can be encoded
			"Address":     i.host.addr(portInstance),
			"Information": object{"Service": i.settings.service, "Version": i.settings.version, "Zone": i.settings.zone, "Slots": i.settings.slots},
			"Status":      object{"State": "ready", "Seq": i.seq, "WarmupLeftMs": 0},
			"born":        i.born,
		})
		id := i.id
		i.mu.Unlock()
		_ = i.call(ctx, "instances.heartbeat", id, body) // the next one makes up for it
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (i *instance) call(ctx context.Context, call, id string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/rpc?call=%s&of=%s", i.host.addr(portControl), call, id)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (i *instance) serve(w http.ResponseWriter, r *http.Request, id string, slots chan struct{}) {
	identity := r.Header.Get("X-Attempt-Identifier")
	if identity != "" {
		w.Header().Set("X-Attempt-Identifier", identity)
	}
	w.Header().Set("X-Instance", id)
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case slots <- struct{}{}:
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slots }()
	began := time.Now()
	_, _ = io.Copy(io.Discard, r.Body) // a failed read shows in the request's context
	this := &run{at: began, id: identity, method: r.Method, host: r.Host, path: r.RequestURI, caller: r.Header.Get("X-Calling-Service"), instance: id, version: i.settings.version}
	i.mu.Lock()
	i.runs = append(i.runs, this)
	i.mu.Unlock()
	i.world.log("run", "%s %s %s%s by %s (%s)", identity, r.Method, r.Host, r.RequestURI, id, this.version)
	todo := i.settings.work(r)
	end := func(by string, status int) {
		i.mu.Lock()
		this.ended, this.endedBy, this.status = time.Now(), by, status
		i.mu.Unlock()
		i.world.log("run ends", "%s after %d ms: %s %d", identity, time.Since(began).Milliseconds(), by, status)
	}
	select {
	case <-time.After(todo.takes):
	case <-i.limit(r, began):
		end("limit", http.StatusGatewayTimeout)
		i.answer(w, id, identity, r.RequestURI, http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		end("closed", 0)
		return
	}
	if todo.crash {
		end("crash", 0)
		go i.crash(id)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := todo.status
	if status == 0 {
		status = http.StatusOK
	}
	end("answer", status)
	i.answer(w, id, identity, r.RequestURI, status)
}

// limit returns a channel that fires at the request's time limit, at the next tick of the
// instance's clock.
func (i *instance) limit(r *http.Request, began time.Time) <-chan time.Time {
	ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Milliseconds"), 64)
	if err != nil {
		return nil
	}
	at := began.Add(time.Duration(ms * float64(time.Millisecond)))
	if tick := i.settings.limitTick; tick > 0 {
		since := at.Sub(i.world.started)
		at = i.world.started.Add((since + tick - 1) / tick * tick)
	}
	return time.After(time.Until(at))
}

func (i *instance) answer(w http.ResponseWriter, id, identity, path string, status int) {
	body := "answer to " + identity + " for " + path + "\n"
	w.Header().Set("X-Response-Signature", id+"."+i.settings.version+"."+identity)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) // the caller may have left
}

// allRuns returns the runs of all instances.
func (w *world) allRuns() (all []run) {
	for _, h := range w.hosts {
		h.instance.mu.Lock()
		for _, r := range h.instance.runs {
			all = append(all, *r)
		}
		h.instance.mu.Unlock()
	}
	return all
}

// crashes returns the number of crashes of all instances.
func (w *world) crashes() (n int) {
	for _, h := range w.hosts {
		h.instance.mu.Lock()
		n += h.instance.crashes
		h.instance.mu.Unlock()
	}
	return n
}
