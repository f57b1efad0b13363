package backend

import (
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// sampleInterval is the time between two samples of the load for a lagging
// health endpoint.
const sampleInterval = 50 * time.Millisecond

// Health is the answer of GET /health.
type Health struct {
	Ready  bool `json:"ready"`
	Slots  int  `json:"slots"`
	InUse  int  `json:"in_use"`
	Queued int  `json:"queued"`
}

// sample is the load at one time.
type sample struct {
	at   time.Time
	load load
}

// health answers the health endpoint, late or wrong as the settings say. It is
// safe for concurrent use.
type health struct {
	settings settings.Health
	slots    int

	mu sync.Mutex
	// samples covers the lag, oldest first.
	samples []sample
}

// add records a sample and drops those that no answer needs any more.
func (h *health) add(now time.Time, l load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, sample{now, l})
	seen := now.Add(-h.settings.Lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(seen) {
		h.samples = h.samples[1:]
	}
}

// report returns what the endpoint says at a time. Before a sample is as old
// as the lag, it reports an idle server.
func (h *health) report(now time.Time, current load) Health {
	if h.settings.AlwaysReady {
		return Health{Ready: true, Slots: h.slots}
	}
	seen := current
	if h.settings.Lag > 0 {
		seen = h.seenAt(now.Add(-h.settings.Lag))
	}
	return Health{Ready: !seen.Draining, Slots: h.slots, InUse: seen.InUse, Queued: seen.Queued}
}

func (h *health) seenAt(at time.Time) load {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l load
	for _, s := range h.samples {
		if s.at.After(at) {
			break
		}
		l = s.load
	}
	return l
}
