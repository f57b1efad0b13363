package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// caseRollout orders the roll-out of a bad version, half of whose answers are failures.
// The machine that drives the roll-out is cut off from all other machines of the system
// for 12 s; the store still reaches it, and all others are in touch.
func caseRollout(f *fleet, trouble bool) error {
	const (
		rollbackMs = 5000
		durationS  = 16
		cutS       = 12
	)
	var mu sync.Mutex
	type run struct {
		id   string
		when time.Time
	}
	var badRuns []run
	var badAnswers []time.Time
	var answered atomic.Uint64
	work := func(string) time.Duration { return 45 * time.Millisecond }
	size := func(string) int { return 400 }
	addMachine := func(n int, zone, version string) *host {
		h := f.addHost(zone, "chantiers")
		h.links = true
		h.instance = &instance{host: h, id: fmt.Sprintf("i-%08x", 0x7f3a9400+n), service: "chantiers", version: version, slots: 9, queued: 36, work: work, size: size}
		return h
	}
	for n, zone := range []string{"azrou", "azrou", "boulemane", "boulemane", "ifrane", "ifrane", "sefrou", "sefrou"} {
		addMachine(n, zone, "v1")
	}
	if err := f.configure(3, []string{"chantiers"}, []route{{"survey", "chantiers", "idempotent", 1200, 300, 2}}); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	var sentMu sync.Mutex
	type origin struct {
		at   time.Time
		host *host
	}
	sentAt := make(map[string]origin)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range f.hosts {
		c := newClient(h)
		clients.Go(func() {
			every(48, stop, func(int) {
				a := c.send(http.MethodGet, "/survey/b", nil, 1200, 400)
				sentMu.Lock()
				sentAt[a.id] = origin{a.sentAt, h}
				sentMu.Unlock()
			})
		})
	}
	time.Sleep(8 * time.Second)
	ordered := time.Now()
	if err := f.store.OrderRollout("chantiers", "v2", durationS); err != nil {
		return err
	}
	f.rec.add("operator: roll-out of chantiers v2 ordered, DurationS %d", durationS)
	for n, zone := range []string{"boulemane", "ifrane", "sefrou"} {
		h := addMachine(100+n, zone, "v2")
		h.instance.fails = func() bool {
			bad := answered.Add(1)%2 == 0
			if bad {
				mu.Lock()
				badAnswers = append(badAnswers, time.Now())
				mu.Unlock()
			}
			return bad
		}
		h.instance.onRun = func(_ *instance, r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			badRuns = append(badRuns, run{r.Header.Get("X-Attempt-Identifier"), time.Now()})
			return false
		}
		if err := h.startMachine(); err != nil {
			return err
		}
	}
	var driver *host
	for driver == nil {
		var row struct{ Driver string }
		if json.Unmarshal(f.store.Get("chicory", "rollout/chantiers"), &row) == nil {
			for _, h := range f.hosts {
				if h.name() == row.Driver {
					driver = h
				}
			}
		}
		if time.Since(ordered) > 5*time.Second {
			return fmt.Errorf("no machine drives the roll-out")
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.rec.add("%s wrote the roll-out's row", driver.name())
	if trouble {
		f.cutOff(false, driver)
		f.rec.add("%s is cut off from the other machines; connections are reset", driver.name())
		time.Sleep(cutS * time.Second)
		f.heal()
		f.rec.add("the cut has healed")
	}
	time.Sleep(time.Until(ordered.Add(durationS * time.Second)))
	close(stop)
	clients.Wait()
	time.Sleep(1500 * time.Millisecond)
	state, version := f.store.RolloutState("chantiers")
	f.rec.add("status of the roll-out: %s, target %s", state, version)
	mu.Lock()
	defer mu.Unlock()
	sentMu.Lock()
	defer sentMu.Unlock()
	if len(badAnswers) < 50 {
		f.rec.add("EXPOSURE: the bad version gave %d bad answers", len(badAnswers))
		return nil
	}
	bound := badAnswers[49].Add(rollbackMs * time.Millisecond)
	late := 0
	for _, r := range badRuns {
		if o := sentAt[r.id]; o.host != driver && o.at.After(bound) {
			late++
		}
	}
	f.rec.add("EXPOSURE: 50th bad answer %d ms after the order; %d requests sent later than %d ms after it by machines in touch ran on the bad version, of %d in all",
		badAnswers[49].Sub(ordered).Milliseconds(), late, rollbackMs, len(badRuns))
	if late > 0 {
		return fmt.Errorf("EXPOSURE: %d requests: %w", late, errBroken)
	}
	return nil
}
