package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

const (
	// startTimeout bounds the first start and the restart of all nodes.
	startTimeout = 60 * time.Second
	// applyTimeout bounds the time until all nodes have applied a change.
	applyTimeout = 20 * time.Second
	// changeInterval separates changes, so that the nodes are idle when the next
	// one begins.
	changeInterval = time.Second
)

// fleet is a running deployment of one size.
type fleet struct {
	*deploy.Deployment
	backendCount int
	// newestVersion is the newest accepted configuration version.
	newestVersion mesh.ConfigVersion
	// submittedCount is the number of configurations passed to chicoryctl.
	submittedCount int
}

// measureSize runs a fleet of the given number of nodes and measures it.
func measureSize(ctx context.Context, o *options, size int) (*result, error) {
	r := &result{Nodes: size, Domains: o.domains, MachineLoad: machineLoad()}
	dir, err := os.MkdirTemp("", "chicory-fleet-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	layout, err := deploy.NewLayout(os.Getpid())
	if err != nil {
		return nil, err
	}
	f := &fleet{Deployment: deploy.New(layout, dir, o.binDir)}
	defer f.Kill()
	f.addHosts(o, size)
	steps := []func() error{
		func() error { return f.start(ctx, o.settleTime) },
		func() error { return f.measureSteadyState(ctx, o.window, r) },
		func() error { return f.measureChanges(ctx, o.changes, r) },
		func() error { return f.measureRestart(ctx, r) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// machineLoad returns the load average of the last minute.
func machineLoad() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	text, _, _ := strings.Cut(string(data), " ")
	load, _ := strconv.ParseFloat(text, 64) // an unreadable load is reported as zero
	return load
}

// addHosts adds the hosts to the layout, distributed over the failure domains as
// evenly as possible.
func (f *fleet) addHosts(o *options, size int) {
	for domain := range o.domains {
		count := size / o.domains
		if domain < size%o.domains {
			count++
		}
		for range count {
			h := f.Layout.AddHost(domainNames[domain])
			if o.backends {
				h.AddBackend("roof-works", "2.4.0")
				f.backendCount++
			}
		}
	}
}

// start starts all processes, applies the first configuration and then waits for
// the settle time, so that joins and claim views complete before the
// measurement.
func (f *fleet) start(ctx context.Context, settle time.Duration) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.StartPlatform(startCtx); err != nil {
		return err
	}
	for _, h := range f.Layout.Hosts {
		for i := range h.Backends {
			if err := f.StartBackend(h, &h.Backends[i]); err != nil {
				return err
			}
		}
	}
	if err := f.startNodes(); err != nil {
		return err
	}
	if err := f.WaitJoined(startCtx, f.Layout.Hosts, f.backendCount); err != nil {
		return err
	}
	if _, err := f.apply(startCtx); err != nil {
		return err
	}
	return sleep(ctx, settle)
}

func (f *fleet) startNodes() error {
	for _, h := range f.Layout.Hosts {
		if err := f.StartNode(h); err != nil {
			return err
		}
	}
	return nil
}

// measureSteadyState measures the nodes and the load on the platform over a window
// without configuration changes.
func (f *fleet) measureSteadyState(ctx context.Context, window time.Duration, r *result) error {
	before, err := sampleNodes(ctx, f.Deployment)
	if err != nil {
		return err
	}
	first, err := f.Counters(ctx)
	if err != nil {
		return err
	}
	startTime := time.Now()
	if err := sleep(ctx, window); err != nil {
		return err
	}
	last, err := f.Counters(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(startTime).Seconds()
	after, err := sampleNodes(ctx, f.Deployment)
	if err != nil {
		return err
	}
	r.SteadyReads = round(float64(last.Reads.Total-first.Reads.Total) / seconds)
	r.SteadyWrites = round(float64(last.Writes.Total-first.Writes.Total) / seconds)
	r.setPerNodeCosts(before, after)
	return nil
}

// setPerNodeCosts sets the per-node quantities from samples at the start and the
// end of the window.
func (r *result) setPerNodeCosts(before, after []sample) {
	var resident, cpuPercent, connections, sent, received []float64
	for i := range after {
		a, b := &after[i], &before[i]
		seconds := a.at.Sub(b.at).Seconds()
		resident = append(resident, a.residentBytes/(1<<20))
		cpuPercent = append(cpuPercent, 100*(a.cpuTime-b.cpuTime).Seconds()/seconds)
		connections = append(connections, float64(a.connections))
		sent = append(sent, (a.sent-b.sent)/seconds)
		received = append(received, (a.received-b.received)/seconds)
	}
	r.ResidentMB, r.CorePercent, r.Connections = summarize(resident), summarize(cpuPercent), summarize(connections)
	r.SentBytes, r.ReceivedBytes = summarize(sent), summarize(received)
}

// measureChanges applies configuration changes and measures the time until all
// nodes have applied each.
func (f *fleet) measureChanges(ctx context.Context, changes int, r *result) error {
	var times []float64
	for range changes {
		took, err := f.apply(ctx)
		if err != nil {
			return err
		}
		times = append(times, millis(took))
		if err := sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	r.InForceMillis = summarize(times)
	return nil
}

// measureRestart kills all nodes at the same time and measures how long they take
// to recover after they are started again, and the load on the platform meanwhile.
func (f *fleet) measureRestart(ctx context.Context, r *result) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var kills sync.WaitGroup
	for _, h := range f.Layout.Hosts {
		kills.Go(f.NodeProcess(h).Kill)
	}
	kills.Wait()
	monitor, err := startPlatformLoadMonitor(ctx, f.Deployment)
	if err != nil {
		return err
	}
	startTime := time.Now()
	if err := f.startNodes(); err != nil {
		monitor.stop()
		return err
	}
	err = f.waitApplied(ctx, f.newestVersion)
	r.Restart.AppliedMillis = millis(time.Since(startTime))
	if err == nil {
		err = f.WaitJoined(ctx, f.Layout.Hosts, f.backendCount)
		r.Restart.FullServiceMillis = millis(time.Since(startTime))
	}
	r.Restart.PeakReads, r.Restart.PeakWrites = monitor.stop()
	if err != nil {
		return fmt.Errorf("restart of all nodes: %w", err)
	}
	return nil
}

func millis(d time.Duration) float64 { return round(float64(d.Microseconds()) / 1000) }

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
