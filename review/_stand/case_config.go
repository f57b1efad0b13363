package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// caseConfig cuts one machine off from the other machines of the system; the store still
// reaches it. Just after the start of the cut a configuration is acknowledged that adds
// a route, and clients send requests on that route to the machine.
func caseConfig(f *fleet, trouble bool) error {
	const applyMs, cutS = 2000, 6
	zones := []struct {
		name     string
		machines int
	}{{"mvd-centro", 5}, {"mvd-pocitos", 4}, {"mvd-prado", 4}} // the machines of the site ronda-mvd
	for z, zone := range zones {
		for n := range zone.machines {
			service := "route-svc"
			if n == 0 {
				service = "records-svc"
			}
			h := f.addHost(zone.name, service)
			h.links = true
			h.instance = &instance{host: h, id: fmt.Sprintf("i-%08x", 0x7f3a9500+16*z+n), service: service, slots: 6, queued: 24,
				work: func(string) time.Duration { return 36 * time.Millisecond }, size: func(string) int { return 400 }}
		}
	}
	services := []string{"route-svc", "records-svc"}
	first := []route{{"list", "route-svc", "idempotent", 1200, 300, 2}, {"balance", "records-svc", "idempotent", 600, 150, 2}}
	if err := f.configure(3, services, first); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n, h := range f.hosts {
		if n == 4 {
			continue // no client uses this machine's node before the probes
		}
		c := newClient(h)
		clients.Go(func() {
			every(10, stop, func(int) { c.send(http.MethodGet, "/list/a", nil, 1200, 400) })
		})
	}
	time.Sleep(10 * time.Second)
	machine := f.hosts[4] // the last machine of the first zone
	if trouble {
		f.cutOff(true, machine)
		f.rec.add("%s is cut off from the other machines, silently", machine.name())
	}
	second := append([]route{{"bottles", "route-svc", "idempotent", 1200, 300, 2}}, first...)
	time.Sleep(50 * time.Millisecond)
	if err := f.configure(7, services, second); err != nil {
		return err
	}
	acked := time.Now()
	c := newClient(machine)
	var probeMu sync.Mutex
	var added []answer
	clients.Go(func() {
		every(25, stop, func(int) {
			a := c.send(http.MethodGet, "/bottles/a", nil, 1200, 400)
			probeMu.Lock()
			added = append(added, a)
			probeMu.Unlock()
		})
	})
	time.Sleep(cutS * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		f.heal()
	}
	probeMu.Lock()
	defer probeMu.Unlock()
	late := func(a answer) bool { return a.sentAt.Sub(acked) > applyMs*time.Millisecond }
	missing, newest := 0, time.Duration(0)
	for _, a := range added {
		if a.status == http.StatusNotFound {
			newest = max(newest, a.sentAt.Sub(acked))
			if late(a) {
				missing++
			}
		}
	}
	f.rec.add("CONFIG: sent to %s later than %d ms after the ack of r7: %d requests got 404 on the route that r7 added; the last 404 was for a request sent %d ms after the ack",
		machine.name(), applyMs, missing, newest.Milliseconds())
	if missing > 0 {
		return fmt.Errorf("CONFIG: %d requests: %w", missing, errBroken)
	}
	return nil
}
