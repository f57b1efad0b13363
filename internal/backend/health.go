package backend

import (
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// sampleInterval is the time between two samples of the load for a lagging
// health endpoint.
const sampleInterval = 50 * time.Millisecond

// Health is the response body of GET /health.
type Health struct {
	Ready  bool `json:"ready"`
	Slots  int  `json:"slots"`
	InUse  int  `json:"in_use"`
	Queued int  `json:"queued"`
}

// loadSample is the load at one time.
type loadSample struct {
	at   time.Time
	load load
}

// health computes the responses of the health endpoint, which lag or misreport if
// so configured. It is safe for concurrent use.
type health struct {
	settings settings.Health
	slots    int

	mu sync.Mutex
	// samples covers the configured lag, oldest first.
	samples []loadSample
}

// addSample records a sample and drops the samples that are older than the newest
// one that has reached the lag.
func (h *health) addSample(now time.Time, l load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, loadSample{now, l})
	cutoff := now.Add(-h.settings.Lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(cutoff) {
		h.samples = h.samples[1:]
	}
}

// report returns the response of the endpoint at the time now, when current is
// the load. Until the oldest sample is as old as the lag, it reports an idle
// server.
func (h *health) report(now time.Time, current load) Health {
	if h.settings.AlwaysReady {
		return Health{Ready: true, Slots: h.slots}
	}
	reported := current
	if h.settings.Lag > 0 {
		reported = h.loadAt(now.Add(-h.settings.Lag))
	}
	return Health{Ready: !reported.Draining, Slots: h.slots, InUse: reported.InUse, Queued: reported.Queued}
}

func (h *health) loadAt(at time.Time) load {
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
