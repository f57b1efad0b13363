package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// caseConvict lets two of the three instances of a service crash one after the other and
// come back. No request is the cause. The clients of one route, which a configuration has
// added, all send the same path.
func caseConvict(f *fleet, trouble bool) error {
	const (
		gap      = 300 * time.Millisecond
		down     = 2 * time.Second
		observed = 20 * time.Second
	)
	work := map[string]time.Duration{"list": 90 * time.Millisecond, "balance": 36 * time.Millisecond, "stock": 22 * time.Millisecond}
	instances := 0
	newInstance := func(h *host) *instance {
		instances++
		return &instance{host: h, id: fmt.Sprintf("i-%08x", 0x7f3a9900+instances), service: h.service, slots: 6, queued: 24,
			work: func(path string) time.Duration { return work[strings.Split(path, "/")[1]] }, size: func(string) int { return 400 }}
	}
	// The machines of the site ronda-mvd: ten with route-svc, three with records-svc.
	var records []*host
	for _, zone := range []struct {
		name     string
		machines int
	}{{"mvd-centro", 5}, {"mvd-pocitos", 4}, {"mvd-prado", 4}} {
		for n := range zone.machines {
			service := "route-svc"
			if n == 0 {
				service = "records-svc"
			}
			h := f.addHost(zone.name, service)
			h.instance = newInstance(h)
			if n == 0 {
				records = append(records, h)
			}
		}
	}
	services := []string{"route-svc", "records-svc"}
	routes := []route{{"list", "route-svc", "idempotent", 1200, 300, 2}, {"balance", "records-svc", "idempotent", 600, 150, 2}}
	if err := f.configure(3, services, routes); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if err := f.configure(7, services, append(routes, route{"stock", "records-svc", "idempotent", 500, 150, 2})); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	answers := make(map[string][]answer) // by route
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n, h := range f.hosts {
		c := newClient(h)
		send := func(perS float64, name string, limitMs int, path func(k int) string) {
			clients.Go(func() {
				atRandom(perS, stop, func(k int) {
					a := c.send(http.MethodGet, path(k), nil, limitMs, 400)
					mu.Lock()
					answers[name] = append(answers[name], a)
					mu.Unlock()
				})
			})
		}
		send(8, "list", 1200, func(k int) string { return fmt.Sprintf("/list/%d-%d", n, k) })
		send(5, "balance", 600, func(k int) string { return fmt.Sprintf("/balance/%d-%d", n, k) })
		send(24, "stock", 500, func(int) string { return "/stock/full-bottles" })
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, h := range records[:2] {
			h.instance.close()
			f.rec.add("instance %s on %s crashes", h.instance.id, h.name())
			next := newInstance(h)
			h.instance = next
			time.AfterFunc(down, func() {
				if err := next.start(); err != nil {
					f.rec.add("instance on %s does not start: %v", h.name(), err)
				}
			})
			time.Sleep(gap)
		}
		time.Sleep(down)
	}
	back := time.Now()
	time.Sleep(observed)
	close(stop)
	clients.Wait()
	time.Sleep(1500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	share := func(names ...string) (served float64, sent int) {
		good := 0
		for _, name := range names {
			statuses := make(map[int]int)
			for _, a := range answers[name] {
				if a.sentAt.Sub(back) < (stableMs+300)*time.Millisecond {
					continue
				}
				sent++
				statuses[a.status]++
				if a.status == http.StatusOK && a.whole && a.signed {
					good++
				}
			}
			f.rec.add("route %s, from %d ms after all instances are back: statuses %v", name, stableMs+300, statuses)
		}
		return float64(good) / float64(max(sent, 1)), sent
	}
	first, _ := share("list", "balance")
	later, sent := share("stock")
	f.rec.add("CONFIG: %.3f of the requests on the first routes are served, %.3f of %d on the route that was added later", first, later, sent)
	if sent >= 20 && later < first/4 {
		return fmt.Errorf("CONFIG: %.3f of %d requests are served, %.3f on the first routes: %w", later, sent, first, errBroken)
	}
	return nil
}
