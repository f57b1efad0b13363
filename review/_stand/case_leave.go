package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseLeave lets one instance leave. All sidecar processes are killed right after its
// leave was acknowledged and are started again. A heartbeat that the instance sent before
// its leave arrives late, at the new process.
func caseLeave(f *fleet, trouble bool) error {
	type run struct {
		id   string
		when time.Time
	}
	var mu sync.Mutex
	var runs []run
	var leaving *instance
	onRun := func(i *instance, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if i == leaving {
			runs = append(runs, run{r.Header.Get("X-Attempt-Identifier"), time.Now()})
		}
		return false
	}
	for n, zone := range []string{"ifrane", "azrou", "sefrou", "boulemane"} {
		h := f.addHost(zone, "chantiers")
		h.instance = &instance{host: h, id: fmt.Sprintf("i-%08x", 0x7f3a9200+n), service: "chantiers", slots: 9, queued: 36, onRun: onRun,
			work: func(string) time.Duration { return 90 * time.Millisecond }, size: func(string) int { return 400 }}
	}
	leaving = f.hosts[1].instance
	if err := f.configure(3, []string{"chantiers"}, []route{{"survey", "chantiers", "idempotent", 1200, 300, 2}}); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sentMu sync.Mutex
	sentAt := make(map[string]time.Time)
	for _, h := range f.hosts {
		c := newClient(h)
		clients.Go(func() {
			every(15, stop, func(int) {
				a := c.send(http.MethodGet, "/survey/b", nil, 1200, 400)
				sentMu.Lock()
				sentAt[a.id] = a.sentAt
				sentMu.Unlock()
			})
		})
	}
	time.Sleep(8 * time.Second)
	heartbeat := leaving.heartbeat() // sent before the leave, still on its way
	status, err := leaving.leave()
	acked := time.Now()
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("leave: status %d, %v", status, err)
	}
	if trouble {
		for _, h := range f.hosts {
			h.signal(syscall.SIGKILL)
		}
	}
	f.rec.add("leave of %s acknowledged by %s", leaving.id, leaving.host.name())
	if trouble {
		for _, h := range f.hosts {
			h.kill()
		}
		f.rec.add("all sidecar processes were killed")
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			if err := h.start(); err != nil {
				return err
			}
		}
		if !f.awaitReady(10 * time.Second) {
			return fmt.Errorf("not all nodes became ready again")
		}
	}
	restarted := time.Now()
	time.Sleep(time.Until(acked.Add(2500 * time.Millisecond)))
	status, err = leaving.post("instances.heartbeat", heartbeat)
	f.rec.add("a heartbeat that %s sent before its leave arrives %d ms late: status %d, %v", leaving.id, time.Since(acked).Milliseconds(), status, err)
	time.Sleep(time.Until(restarted.Add(8 * time.Second)))
	close(stop)
	clients.Wait()
	time.Sleep(1500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	sentMu.Lock()
	defer sentMu.Unlock()
	// The rule's bound is DrainMs after the ack. Only requests count that were sent once
	// all machines had been running again for StableWindowMs.
	late, inTouch := 0, 0
	for _, r := range runs {
		if r.when.Sub(acked) <= drainMs*time.Millisecond {
			continue
		}
		late++
		if sentAt[r.id].Sub(restarted) > (stableMs+300)*time.Millisecond {
			inTouch++
		}
	}
	f.rec.add("DRAIN: %d requests reached %s later than %d ms after the ack of its leave, %d of them sent by machines in touch", late, leaving.id, drainMs, inTouch)
	if inTouch > 0 {
		return fmt.Errorf("DRAIN: %d requests: %w", inTouch, errBroken)
	}
	return nil
}
