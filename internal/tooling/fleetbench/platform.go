package main

import (
	"context"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

// platformPoll is the time between two reads of the platform's counters, a
// fraction of a second so that no peak is missed.
const platformPoll = 100 * time.Millisecond

// platformWatch finds the busiest second of the platform.
type platformWatch struct {
	cancel        context.CancelFunc
	done          chan struct{}
	reads, writes []uint64 // totals at each poll
}

// watchPlatform begins to read the counters.
func watchPlatform(ctx context.Context, d *deploy.Deployment) (*platformWatch, error) {
	first, err := d.Counters(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &platformWatch{cancel: cancel, done: make(chan struct{})}
	w.reads, w.writes = []uint64{first.Reads.Total}, []uint64{first.Writes.Total}
	go w.run(ctx, d)
	return w, nil
}

func (w *platformWatch) run(ctx context.Context, d *deploy.Deployment) {
	defer close(w.done)
	ticker := time.NewTicker(platformPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c, err := d.Counters(ctx); err == nil {
			w.reads, w.writes = append(w.reads, c.Reads.Total), append(w.writes, c.Writes.Total)
		}
	}
}

// stop returns the largest numbers of reads and writes in one second.
func (w *platformWatch) stop() (reads, writes float64) {
	w.cancel()
	<-w.done
	return busiestSecond(w.reads), busiestSecond(w.writes)
}

// busiestSecond returns the largest increase of a total over one second of
// polls.
func busiestSecond(totals []uint64) float64 {
	const polls = int(time.Second / platformPoll)
	peak := uint64(0)
	for end := range totals {
		peak = max(peak, totals[end]-totals[max(0, end-polls)])
	}
	return float64(peak)
}
