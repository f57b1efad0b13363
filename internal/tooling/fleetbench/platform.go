package main

import (
	"context"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

// platformPollInterval is the time between two reads of the platform's counters. It
// is a fraction of a second, so that no peak within a second is missed.
const platformPollInterval = 100 * time.Millisecond

// platformLoadMonitor records the platform's operation counters to find the
// second with the highest load.
type platformLoadMonitor struct {
	cancel                  context.CancelFunc
	done                    chan struct{}
	readTotals, writeTotals []uint64 // totals at each poll
}

// startPlatformLoadMonitor begins to poll the counters.
func startPlatformLoadMonitor(ctx context.Context, d *deploy.Deployment) (*platformLoadMonitor, error) {
	first, err := d.Counters(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &platformLoadMonitor{cancel: cancel, done: make(chan struct{})}
	w.readTotals, w.writeTotals = []uint64{first.Reads.Total}, []uint64{first.Writes.Total}
	go w.run(ctx, d)
	return w, nil
}

func (w *platformLoadMonitor) run(ctx context.Context, d *deploy.Deployment) {
	defer close(w.done)
	ticker := time.NewTicker(platformPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c, err := d.Counters(ctx); err == nil {
			w.readTotals, w.writeTotals = append(w.readTotals, c.Reads.Total), append(w.writeTotals, c.Writes.Total)
		}
	}
}

// stop ends the polling and returns the largest numbers of reads and of writes
// within one second.
func (w *platformLoadMonitor) stop() (reads, writes float64) {
	w.cancel()
	<-w.done
	return busiestSecond(w.readTotals), busiestSecond(w.writeTotals)
}

// busiestSecond returns the largest increase over one second of a counter that
// was read at every poll.
func busiestSecond(totals []uint64) float64 {
	const polls = int(time.Second / platformPollInterval)
	peak := uint64(0)
	for end := range totals {
		peak = max(peak, totals[end]-totals[max(0, end-polls)])
	}
	return float64(peak)
}
