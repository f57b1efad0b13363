package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// caseCrashes sends a request that crashes each instance that runs it, again and again.
// Four of eleven machines are each cut off from the other machines for 12 s; the store
// still reaches them.
func caseCrashes(f *fleet, trouble bool) error {
	const (
		cutS = 12
		path = "/order/crash"
	)
	body := []byte(`{"guard":"G-1400","count":2}`)
	type crash struct {
		id   string
		when time.Time
	}
	var mu sync.Mutex
	var crashes []crash
	restarts := 0
	crashed := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(crashes)
	}
	var newInstance func(h *host) *instance
	newInstance = func(h *host) *instance {
		mu.Lock()
		restarts++
		id := fmt.Sprintf("i-%08x", 0x7f3a9600+restarts)
		mu.Unlock()
		return &instance{host: h, id: id, service: "chantiers", slots: 9, queued: 36,
			work: func(string) time.Duration { return 60 * time.Millisecond }, size: func(string) int { return 400 },
			onRun: func(i *instance, r *http.Request) bool {
				if !strings.HasPrefix(r.URL.Path, path) {
					return false
				}
				mu.Lock()
				crashes = append(crashes, crash{r.Header.Get("X-Attempt-Identifier"), time.Now()})
				mu.Unlock()
				f.rec.add("instance %s on %s crashes", i.id, h.name())
				go func() {
					i.close()
					time.Sleep(2 * time.Second)
					next := newInstance(h)
					mu.Lock()
					h.instance = next
					mu.Unlock()
					if err := next.start(); err != nil {
						f.rec.add("instance on %s does not start: %v", h.name(), err)
					}
				}()
				return true
			}}
	}
	for _, zone := range []string{"ifrane", "azrou", "sefrou", "boulemane", "ifrane", "azrou", "sefrou", "boulemane", "ifrane", "azrou", "sefrou"} {
		h := f.addHost(zone, "chantiers")
		h.links = true
		h.instance = newInstance(h)
	}
	if err := f.configure(3, []string{"chantiers"}, []route{
		{"survey", "chantiers", "idempotent", 1200, 300, 2}, {"order", "chantiers", "non_idempotent", 1500, 400, 1},
	}); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n, h := range f.hosts {
		c := newClient(h)
		clients.Go(func() {
			every(4, stop, func(k int) { c.send(http.MethodGet, fmt.Sprintf("/survey/%d-%d", n, k), nil, 1200, 400) })
		})
	}
	time.Sleep(8 * time.Second)
	isolated := f.hosts[:4]
	if trouble {
		f.cutOff(false, isolated...)
		f.rec.add("%s to %s are each cut off from the other machines; connections are reset", isolated[0].name(), isolated[3].name())
	}
	cutAt := time.Now()
	sentAt := make(map[string]time.Time)
	send := func(h *host) {
		a := newClient(h).send(http.MethodPost, path, body, 1500, 400)
		sentAt[a.id] = a.sentAt
	}
	time.Sleep(500 * time.Millisecond)
	for n := 0; n < 10 && crashed() < 3; n++ { // the request comes to several machines
		send(f.hosts[(6+3*n)%len(f.hosts)])
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep((stableMs + 300) * time.Millisecond)
	// It comes again, to one machine after the other.
	for n := 0; time.Since(cutAt) < (cutS-2)*time.Second; n++ {
		send(f.hosts[n%len(f.hosts)])
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Until(cutAt.Add(cutS * time.Second)))
	if trouble {
		f.heal()
	}
	close(stop)
	clients.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	f.rec.add("the request crashed %d instances", len(crashes))
	if len(crashes) < 3 {
		return nil
	}
	retries := make(map[string]bool)
	for _, c := range crashes[3:] {
		if sentAt[c.id].Sub(crashes[2].when) > stableMs*time.Millisecond {
			retries[c.id] = true
		}
	}
	f.rec.add("BUDGET: %d retries that were sent by machines in touch later than %d ms after the third crash reached instances", len(retries), stableMs)
	if len(retries) > 3 {
		return fmt.Errorf("BUDGET: %d retries: %w", len(retries), errBroken)
	}
	return nil
}
