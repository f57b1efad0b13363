package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// every calls f at a fixed interval, each call in a goroutine of its own, for the given
// time, and waits for all calls.
func every(interval, length time.Duration, f func(n int)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	begin := time.Now()
	for n := 0; time.Since(begin) < length; n++ {
		calls.Go(func() { f(n) })
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * interval)))
	}
}

const (
	bookings = "bookings"
	stock    = "stock"
)

// twoServices starts three hosts of the service bookings and three of the service stock.
func twoServices(w *world, bookingsWork func(*http.Request) work, routes []route) error {
	if err := w.configure(1, []string{bookings, stock}, routes); err != nil {
		return err
	}
	for i := range 6 {
		s, service := instanceSettings{work: bookingsWork, downFor: 2 * time.Second}, bookings
		if i >= 3 {
			service = stock
			s.work = func(*http.Request) work { return work{takes: 30 * time.Millisecond} }
		}
		if _, err := w.addHost(service, s); err != nil {
			return err
		}
	}
	return nil
}

// poisonReturns sends a request that crashes the instances of bookings again and again,
// while the instances of stock serve requests with the same method, path and body.
func poisonReturns(w *world) verdict {
	const path, limit = "/refresh/all", 1500 * time.Millisecond
	crashing := func(r *http.Request) work {
		return work{takes: 40 * time.Millisecond, crash: r.URL.Path == path}
	}
	err := twoServices(w, crashing, []route{
		{name: "bookings-refresh", host: "bookings.example", prefix: "/refresh/", service: bookings, kind: "non_idempotent", timeoutMs: 1500, targetMs: 400, attempts: 2},
		{name: "stock-refresh", host: "stock.example", prefix: "/refresh/", service: stock, kind: "non_idempotent", timeoutMs: 1500, targetMs: 400, attempts: 2},
	})
	if err != nil {
		return notRun("%v", err)
	}
	if !w.awaitReady() {
		return notRun("the nodes don't become ready")
	}
	const length = 70 * time.Second
	var clients sync.WaitGroup
	if os.Getenv("TWIN") != "0" {
		clients.Go(func() {
			every(300*time.Millisecond, length, func(n int) {
				w.send(w.hosts[n%3], http.MethodPost, "stock.example", path, "", limit)
			})
		})
	}
	clients.Go(func() {
		every(200*time.Millisecond, length, func(n int) {
			w.send(w.hosts[n%6], http.MethodPost, "bookings.example", fmt.Sprintf("/refresh/%d", n), "", limit)
		})
	})
	if w.trouble {
		clients.Go(func() {
			every(4*time.Second, length, func(n int) {
				w.send(w.hosts[3+n%3], http.MethodPost, "bookings.example", path, "", limit)
			})
		})
	}
	clients.Wait()
	return judgeCrashing(w, "bookings.example", path)
}

// judgeCrashing checks BUDGET: a request that crashes instances reaches them in at most
// three retries later than the stable window after it has crashed the third.
func judgeCrashing(w *world, hostName, path string) verdict {
	var crashed []time.Time
	for _, r := range w.allRuns() {
		if r.host == hostName && r.path == path && r.endedBy == "crash" {
			crashed = append(crashed, r.ended)
		}
	}
	if len(crashed) < 3 {
		return held("the request crashed %d instances", len(crashed))
	}
	sortTimes(crashed)
	late := 0
	for _, r := range w.allRuns() {
		if r.host == hostName && r.path == path && r.at.After(crashed[2].Add(stableWindow)) {
			late++
		}
	}
	text := fmt.Sprintf("the request crashed %d instances and reached %d later than %v after the third; allowed 3", len(crashed), late, stableWindow)
	if late > 3 {
		return verdict{exitBroken, "broken: BUDGET: " + text}
	}
	return held("%s", text)
}

// poisonBlocks sends one request that crashes the instances of bookings, and then requests
// with the same method and path to a route of stock that was added later.
func poisonBlocks(w *world) verdict {
	const path, limit = "/list/today", 1200 * time.Millisecond
	routes := []route{
		{name: "bookings-list", host: "bookings.example", prefix: "/list/", service: bookings, kind: "idempotent", timeoutMs: 1200, targetMs: 300, attempts: 2},
	}
	crashing := func(r *http.Request) work {
		return work{takes: 40 * time.Millisecond, crash: r.URL.Path == path}
	}
	if err := twoServices(w, crashing, routes); err != nil {
		return notRun("%v", err)
	}
	if !w.awaitReady() {
		return notRun("the nodes don't become ready")
	}
	routes = append(routes, route{name: "stock-list", host: "stock.example", prefix: "/list/", service: stock, kind: "idempotent", timeoutMs: 1200, targetMs: 300, attempts: 2})
	if err := w.configure(5, []string{bookings, stock}, routes); err != nil {
		return notRun("%v", err)
	}
	time.Sleep(applyDeadline + time.Second)
	const length = 45 * time.Second
	first, added := share{w: w}, share{w: w}
	var clients sync.WaitGroup
	clients.Go(func() {
		every(200*time.Millisecond, length, func(n int) {
			first.add(w.send(w.hosts[n%6], http.MethodGet, "bookings.example", fmt.Sprintf("/list/%d", n), "", limit))
		})
	})
	clients.Go(func() {
		every(300*time.Millisecond, length, func(n int) {
			added.add(w.send(w.hosts[n%3], http.MethodGet, "stock.example", path, "", limit))
		})
	})
	if w.trouble {
		time.Sleep(3 * time.Second)
		w.send(w.hosts[3], http.MethodGet, "bookings.example", path, "", limit)
	} else {
		time.Sleep(3 * time.Second)
	}
	time.Sleep(2*time.Second + stableWindow) // until the instances are back and all is calm
	first.restart()
	added.restart()
	w.log("steady", "from here")
	clients.Wait()
	text := fmt.Sprintf("%d of %d requests served on the route that was added later, %d of %d on the first route; %d crashes", added.ok, added.all, first.ok, first.all, w.crashes())
	if added.all >= 20 && float64(added.ok)/float64(added.all) < 0.25*float64(first.ok)/float64(first.all) {
		return verdict{exitBroken, "broken: CONFIG: " + text}
	}
	return held("%s", text)
}

// share counts requests and those that were served.
type share struct {
	w       *world
	mu      sync.Mutex
	all, ok int
}

func (s *share) add(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all++
	if a.served() {
		s.ok++
	}
}

func (s *share) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all, s.ok = 0, 0
}

// slowRollout orders a version of which half of the requests take eight times as long, which
// is longer than the route's time limit.
func slowRollout(w *world) verdict {
	const usual, limit, duration = 120 * time.Millisecond, 1500 * time.Millisecond, 16 * time.Second
	routes := []route{{name: "confirm", host: "route.example", prefix: "/confirm/", service: "route", kind: "non_idempotent", timeoutMs: 800, targetMs: 400, attempts: 2}}
	if err := w.configure(1, []string{"route"}, routes); err != nil {
		return notRun("%v", err)
	}
	tick := 20 * time.Millisecond
	if text := os.Getenv("TICK"); text != "" {
		tick, _ = time.ParseDuration(text)
	}
	good := func(*http.Request) work { return work{takes: usual} }
	slow := func(r *http.Request) work {
		if w.trouble && r.Header.Get("X-Attempt-Identifier")[15]%2 == 0 {
			return work{takes: 8 * usual}
		}
		return work{takes: usual}
	}
	for range 4 {
		if _, err := w.addHost("route", instanceSettings{work: good, version: "v1", limitTick: tick}); err != nil {
			return notRun("%v", err)
		}
	}
	if !w.awaitReady() {
		return notRun("the nodes don't become ready")
	}
	old := w.hosts[:4]
	var clients sync.WaitGroup
	clients.Go(func() {
		every(20*time.Millisecond, 4*time.Second+duration+4*time.Second, func(n int) {
			w.send(old[n%4], http.MethodPost, "route.example", fmt.Sprintf("/confirm/%d", n), "order", limit)
		})
	})
	for range 4 {
		if _, err := w.addHost("route", instanceSettings{work: slow, version: "v2", limitTick: tick}); err != nil {
			return notRun("%v", err)
		}
	}
	time.Sleep(4 * time.Second)
	ordered := time.Now()
	if err := w.store.OrderRollout("route", "v2", int(duration.Seconds())); err != nil {
		return notRun("%v", err)
	}
	w.log("operator", "orders v2 of route in %v", duration)
	last := ""
	for time.Since(ordered) < duration+3*time.Second {
		if state, _ := w.store.RolloutState("route"); state != last {
			last = state
			w.log("status", "%s after %.1f s", state, time.Since(ordered).Seconds())
			if state == "completed" {
				for _, h := range old {
					w.log("platform", "stops the old instance beside %s", h.name)
					h.instance.stop()
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	clients.Wait()
	all, bad := 0, 0
	for _, r := range w.allRuns() {
		if r.at.Before(ordered) || r.at.After(ordered.Add(duration)) {
			continue
		}
		all++
		if r.version == "v2" {
			bad++
		}
	}
	allowed := 0.1*float64(all) + 50
	text := fmt.Sprintf("version v2 got %d of %d requests in the time of its roll-out; allowed %.0f; the roll-out ended as %q", bad, all, allowed, last)
	if w.trouble && float64(bad) > allowed {
		return verdict{exitBroken, "broken: EXPOSURE: " + text}
	}
	if !w.trouble && last != "completed" {
		return notRun("%s", text)
	}
	return held("%s", text)
}

// pipelined lets clients leave that have sent a second request ahead.
func pipelined(w *world) verdict {
	const takes, limit, leaveAfter = 1500 * time.Millisecond, 2500 * time.Millisecond, 200 * time.Millisecond
	routes := []route{{name: "list", host: "route.example", prefix: "/list/", service: "route", kind: "idempotent", timeoutMs: 2500, targetMs: 2000, attempts: 2}}
	if err := w.configure(1, []string{"route"}, routes); err != nil {
		return notRun("%v", err)
	}
	for range 3 {
		if _, err := w.addHost("route", instanceSettings{work: func(*http.Request) work { return work{takes: takes} }}); err != nil {
			return notRun("%v", err)
		}
	}
	if !w.awaitReady() {
		return notRun("the nodes don't become ready")
	}
	ahead := 1
	if os.Getenv("AHEAD") == "0" {
		ahead = 0
	}
	var mu sync.Mutex
	left := make(map[string]time.Time)
	every(400*time.Millisecond, 20*time.Second, func(n int) {
		c, err := net.Dial("tcp", w.hosts[n%3].addr(portOutbound))
		if err != nil {
			w.log("client", "%v", err)
			return
		}
		defer func() { _ = c.Close() }()
		texts, ids := []string{}, []string{}
		for range 1 + ahead {
			id := fmt.Sprintf("%016x", 0x1c41d07b00000000+nextRequest.Add(1))
			ids = append(ids, id)
			texts = append(texts, head(http.MethodGet, "route.example", "/list/"+id, id, "", limit))
		}
		w.log("sent", "%v on one connection to %s", ids, w.hosts[n%3].name)
		if err := writeApart(c, texts); err != nil {
			w.log("client", "%v", err)
			return
		}
		if !w.trouble {
			_ = c.SetReadDeadline(time.Now().Add(2 * limit))
			buffer := make([]byte, 4096)
			for {
				if _, err := c.Read(buffer); err != nil {
					return
				}
			}
		}
		time.Sleep(leaveAfter)
		_ = c.Close()
		w.log("left", "%v", ids)
		mu.Lock()
		defer mu.Unlock()
		for _, id := range ids {
			left[id] = time.Now()
		}
	})
	time.Sleep(2 * takes)
	const slack = 500 * time.Millisecond
	working, lasting, late := 0, 0, 0
	for _, r := range w.allRuns() {
		at, ok := left[r.id]
		if !ok {
			continue
		}
		if r.at.After(at.Add(slack)) {
			late++
			continue
		}
		lasting++
		if r.ended.After(at.Add(slack)) {
			working++
		}
	}
	text := fmt.Sprintf("instances were at work half a second after the client had left on %d of %d requests, and %d reached them later than that", working, lasting, late)
	if working*4 > lasting {
		return verdict{exitBroken, "broken: GONE: " + text}
	}
	return held("%s", text)
}

func sortTimes(times []time.Time) {
	for i := range times {
		for j := i; j > 0 && times[j].Before(times[j-1]); j-- {
			times[j], times[j-1] = times[j-1], times[j]
		}
	}
}

// writeApart writes texts one after the other, each in a packet of its own.
func writeApart(c net.Conn, texts []string) error {
	for i, text := range texts {
		if i > 0 {
			time.Sleep(50 * time.Millisecond)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
	}
	return nil
}
