package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseHup replaces the instance beside one node by one of another service: the
// settings file of that machine names the new service, and the node gets SIGHUP. Then
// it checks the calling service that instances see on requests which begin there.
func caseHup(f *fleet, trouble bool) error {
	var mu sync.Mutex
	type run struct {
		caller, at string
		when       time.Time
	}
	runs := make(map[string]run)
	onRun := func(i *instance, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		runs[r.Header.Get("X-Attempt-Identifier")] = run{r.Header.Get("X-Calling-Service"), i.id, time.Now()}
		return false
	}
	newInstance := func(h *host, id, service string) *instance {
		return &instance{host: h, id: id, service: service, slots: 9, queued: 36, onRun: onRun,
			work: func(string) time.Duration { return 36 * time.Millisecond }, size: func(string) int { return 1500 }}
	}
	for n, zone := range []string{"ifrane", "azrou", "ifrane", "azrou"} {
		service := "chantiers"
		if n >= 2 {
			service = "magasin"
		}
		h := f.addHost(zone, service)
		h.instance = newInstance(h, fmt.Sprintf("i-%08x", 0x7f3a9100+n), service)
	}
	if err := f.configure(3, []string{"chantiers", "magasin"}, []route{
		{"survey", "chantiers", "idempotent", 1200, 300, 2}, {"stock", "magasin", "idempotent", 600, 150, 2},
	}); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	changed := f.hosts[0]
	if trouble {
		changed.instance.close()
		f.rec.add("instance %s has ended", changed.instance.id)
		time.Sleep(2500 * time.Millisecond) // ReuseAfterS
		changed.service = "magasin"
		if err := changed.writeSettings(); err != nil {
			return err
		}
		changed.signal(syscall.SIGHUP)
		f.rec.add("settings of %s name service %q; SIGHUP sent", changed.name(), changed.service)
		changed.instance = newInstance(changed, "i-7f3a91ff", "magasin")
		if err := changed.instance.start(); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second) // the machine is calm for more than StableWindowMs
	c := newClient(changed)
	var sent []answer
	for k := range 40 {
		path := "/stock/a"
		if k%2 == 0 {
			path = "/survey/b"
		}
		sent = append(sent, c.send(http.MethodGet, path, nil, 1200, 1500))
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	wrong, ran := 0, 0
	for _, a := range sent {
		if r, ok := runs[a.id]; ok {
			ran++
			if r.caller != changed.service {
				wrong++
			}
		}
	}
	f.rec.add("UNASKED: %d of %d requests that began at %s ran with another calling service than %q", wrong, ran, changed.name(), changed.service)
	if ran < 20 {
		return fmt.Errorf("only %d of %d requests ran", ran, len(sent))
	}
	if wrong > 0 {
		return fmt.Errorf("UNASKED: %d of %d requests: %w", wrong, ran, errBroken)
	}
	return nil
}
