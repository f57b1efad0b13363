package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	id, path, entry string
	status          int // zero if none came
	signature       string
	cause           string
}

var nextRequest atomic.Int64

// send sends one request of a client to the node of its host.
func (d *deployment) send(client *http.Client, h *host, method, name string, limit time.Duration) answer {
	id := fmt.Sprintf("%016x", nextRequest.Add(1))
	a := answer{id: id, path: "/" + name + "/" + id, entry: h.name}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.addr(portOutbound)+a.path, nil)
	if err != nil {
		a.cause = err.Error()
		return a
	}
	r.Host = routeHost
	r.Header.Set("X-Attempt-Identifier", id)
	r.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(limit.Milliseconds()))
	d.record.line("sent      %s %s %s at %s", id, method, a.path, h.name)
	resp, err := client.Do(r)
	if err != nil {
		a.cause = err.Error()
		d.record.line("no answer %s: %s", id, a.cause)
		return a
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		a.cause = err.Error()
		d.record.line("cut       %s: %s", id, a.cause)
		return a
	}
	a.status, a.signature = resp.StatusCode, resp.Header.Get("X-Response-Signature")
	d.record.line("answered  %s %d signature %q", id, a.status, a.signature)
	return a
}

// load runs clients at all hosts until stop is closed. Each sends the routes in turn.
func (d *deployment) load(routes []route, perHost int, pause time.Duration, stop <-chan struct{}) (wait func() []answer) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var all []answer
	for _, h := range d.hosts {
		for i := range perHost {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				defer client.CloseIdleConnections()
				for n := i; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(pause):
					}
					r := routes[n%len(routes)]
					method := http.MethodGet
					if r.unsafe {
						method = http.MethodPost
					}
					a := d.send(client, h, method, r.name, 1500*time.Millisecond)
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
				}
			})
		}
	}
	return func() []answer { group.Wait(); return all }
}

// runForged sends one heartbeat of another writer, which lacks a field, to the node beside an
// instance, and checks which service runs the requests.
func runForged(d *deployment, trouble bool) (int, error) {
	d.zones = []string{"ifrane", "azrou"}
	d.addHost("ifrane", "chantiers")
	d.addHost("azrou", "chantiers")
	d.addHost("ifrane", "magasin")
	d.addHost("azrou", "magasin")
	routes := []route{{"install-order", "chantiers", true, 1500}, {"stock-check", "magasin", false, 600}}
	if err := d.configure(7, routes); err != nil {
		return exitCannotRun, err
	}
	if err := d.start(40 * time.Millisecond); err != nil {
		return exitCannotRun, err
	}
	if !d.awaitReady(15 * time.Second) {
		return exitCannotRun, fmt.Errorf("the nodes are not ready")
	}
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	wait := d.load(routes, 2, 100*time.Millisecond, stop)
	time.Sleep(4 * time.Second)
	if trouble {
		if err := d.forgeHeartbeat(d.hosts[2], "chantiers"); err != nil {
			return exitCannotRun, err
		}
	}
	time.Sleep(8 * time.Second)
	// At last the instance drains. It serves until the end of the run.
	leaving := d.hosts[2]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	err := leaving.instance.Drain(ctx)
	cancel()
	d.record.say("the instance of %s says that it drains, acknowledged: %v", leaving.name, err == nil)
	time.Sleep(drainTime + 500*time.Millisecond)
	before := len(leaving.instance.Runs())
	time.Sleep(3 * time.Second)
	late := len(leaving.instance.Runs()) - before
	close(stop)
	answers := wait()

	services := make(map[string]string) // by route name
	for _, r := range routes {
		services[r.name] = r.service
	}
	signed := make(map[string]string)
	statuses := make(map[string]int)
	for _, a := range answers {
		signed[a.id] = a.signature
		statuses[fmt.Sprint(a.status)]++
	}
	wrong, orders, foreign := 0, 0, 0
	for _, h := range d.hosts {
		for _, run := range h.instance.Runs() {
			name := strings.Split(run.Path, "/")[1]
			d.record.line("run       %s %s by %s of %s, caller %q", run.Identity, run.Path, run.Instance, h.service, run.Caller)
			if services[name] == h.service {
				continue
			}
			wrong++
			if name == "install-order" {
				orders++
			}
			if strings.HasPrefix(signed[run.Identity], run.Instance) {
				foreign++
			}
			d.record.line("ROUTE     %s of route %s (service %s) was run by %s of %s", run.Identity, name, services[name], run.Instance, h.service)
		}
	}
	d.record.say("%d requests, answers by status %v", len(answers), statuses)
	d.record.say("%d requests were run by a service to which no configuration leads (%d of them orders), %d of them answered to the client as a success", wrong, orders, foreign)
	d.record.say("%d requests reached the draining instance later than %v after the ack", late, drainTime+500*time.Millisecond)
	if wrong > 0 || late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// forgeHeartbeat sends a heartbeat of another writer about the instance of a host. It lacks the
// field Zone.
func (d *deployment) forgeHeartbeat(h *host, service string) error {
	body, err := json.Marshal(object{
		"Address":     h.addr(portInstance),
		"Information": object{"Service": service, "Version": "v1", "Slots": slots},
		"Status":      object{"State": "ready", "Seq": 1000, "WarmupLeftMs": 0},
		"born":        time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	url := "http://" + h.addr(portControl) + "/rpc?call=instances.heartbeat&of=" + h.instanceID
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	d.record.say("another writer's heartbeat without the field Zone at %s: %s -> %d", h.name, body, resp.StatusCode)
	return nil
}
