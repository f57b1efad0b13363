package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicoryscale/chicoryscale/platform/standin"
)

// frontedInstance is an instance whose health probe passes whatever its state is.
type frontedInstance struct {
	*standin.Instance
	id    string
	lies  atomic.Bool
	mu    sync.Mutex
	since time.Time // runs are counted from then on
	runs  int
}

// ServeHTTP implements http.Handler.
func (i *frontedInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" && i.lies.Load() {
		w.Header().Set("X-Instance", i.id)
		return
	}
	if r.URL.Path != "/health" {
		i.mu.Lock()
		if !i.since.IsZero() && time.Now().After(i.since) {
			i.runs++
		}
		i.mu.Unlock()
	}
	i.Instance.ServeHTTP(w, r)
}

// startFronted replaces the start of a host's instance.
func (d *deployment) startFronted(h *host, work time.Duration) (*frontedInstance, error) {
	h.instanceID = fmt.Sprintf("i-%08x", rand.Uint32())
	i := &frontedInstance{id: h.instanceID, Instance: standin.NewInstance(standin.InstanceSettings{
		ID: h.instanceID, Service: h.service, Version: "v1", Zone: h.zone, Addr: h.addr(portInstance), ControlAddr: h.addr(portControl),
		Slots: slots, ServiceTime: work, HeartbeatInterval: heartbeatTime,
	})}
	l, err := net.Listen("tcp", h.addr(portInstance))
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: i, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	h.instance = i.Instance
	h.stopInstance = func() { _ = server.Close() }
	return i, nil
}

// falseHealth is the time for which the probe of an instance that fails all requests passes.
const falseHealth = 6500 * time.Millisecond

// runFalseHealth kills all processes right after the ack of a leave. The probe of the instance
// that leaves passes.
func runFalseHealth(d *deployment, trouble bool) (int, error) {
	const killDelay, restartDelay, serves = 500 * time.Millisecond, time.Second, 11 * time.Second
	d.zones = []string{"ifrane", "azrou"}
	d.addHost("ifrane", "chantiers")
	leaving := d.addHost("azrou", "magasin")
	d.addHost("ifrane", "magasin")
	routes := []route{{"stock-check", "magasin", false, 600}, {"alert-order", "magasin", true, 1500}}
	if err := d.configure(7, routes); err != nil {
		return exitCannotRun, err
	}
	var fronted *frontedInstance
	beats := make(chan struct{})
	for _, h := range d.hosts {
		if err := d.startProcess(h); err != nil {
			return exitCannotRun, err
		}
		if h != leaving {
			if err := d.startInstance(h, fmt.Sprintf("i-%08x", rand.Uint32()), 30*time.Millisecond); err != nil {
				return exitCannotRun, err
			}
			continue
		}
		i, err := d.startFronted(h, 30*time.Millisecond)
		if err != nil {
			return exitCannotRun, err
		}
		fronted = i
		go func() {
			for {
				if send, err := i.NewHeartbeat(); err == nil {
					_ = send(context.Background())
				}
				select {
				case <-beats:
					return
				case <-time.After(heartbeatTime):
				}
			}
		}()
	}
	if !d.awaitReady(15 * time.Second) {
		return exitCannotRun, fmt.Errorf("the nodes are not ready")
	}
	time.Sleep(stableWindow + 3*time.Second)
	stop := make(chan struct{})
	wait := d.load(routes, 2, 60*time.Millisecond, stop)
	time.Sleep(3 * time.Second)
	close(beats)
	time.Sleep(heartbeatTime)
	if trouble && os.Getenv("TRUTHFUL") == "" {
		d.record.say("the instance %s says well and fails all requests for %v", fronted.id, falseHealth)
		fronted.lies.Store(true)
		fronted.SetFaults(standin.InstanceFaults{FailShare: 1})
		time.AfterFunc(falseHealth, func() {
			fronted.lies.Store(false)
			fronted.SetFaults(standin.InstanceFaults{})
			d.record.line("the instance %s tells the truth and serves again", fronted.id)
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	err := fronted.Leave(ctx)
	cancel()
	acked := time.Now()
	if err != nil {
		return exitCannotRun, err
	}
	d.record.say("the instance %s of %s says that it leaves, and gets 200; it serves for %v more", fronted.id, leaving.name, serves)
	time.Sleep(killDelay)
	if trouble {
		for _, h := range d.hosts {
			_ = h.process.Process.Kill()
		}
		d.record.say("SIGKILL to all processes %v after the ack", time.Since(acked).Round(time.Millisecond))
		for _, h := range d.hosts {
			<-h.exited
		}
		time.Sleep(restartDelay)
		for _, h := range d.hosts {
			if err := d.startProcess(h); err != nil {
				return exitCannotRun, err
			}
		}
	}
	// Machines count as in touch once their processes have run for stableWindow.
	counted := acked.Add(killDelay + restartDelay + stableWindow + time.Second)
	fronted.mu.Lock()
	fronted.since = counted
	fronted.mu.Unlock()
	time.Sleep(time.Until(acked.Add(serves)))
	close(stop)
	answers := wait()
	fronted.mu.Lock()
	late := fronted.runs
	fronted.mu.Unlock()
	statuses := make(map[string]int)
	for _, a := range answers {
		statuses[fmt.Sprint(a.status)]++
	}
	for _, h := range d.hosts {
		for _, r := range h.instance.Runs() {
			d.record.line("run       %s by %s", r.Identity, r.Instance)
		}
	}
	d.record.say("%d requests, answers by status %v", len(answers), statuses)
	d.record.say("%d requests reached the instance that leaves later than %v after the ack", late, counted.Sub(acked))
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
