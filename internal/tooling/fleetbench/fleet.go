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
	// startLimit bounds the start and the return of all nodes.
	startLimit = 60 * time.Second
	// inForceLimit bounds the time until a change is in force everywhere.
	inForceLimit = 20 * time.Second
	// changePause separates changes, so that each meets nodes at rest.
	changePause = time.Second
)

// fleet is a running deployment of one size.
type fleet struct {
	*deploy.Deployment
	backends int
	// version is the newest accepted version.
	version mesh.ConfigVersion
	changes int
}

// measureSize runs the nodes of one size and measures them.
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
	f := &fleet{Deployment: deploy.New(layout, dir, o.binaries)}
	defer f.Kill()
	f.addHosts(o, size)
	steps := []func() error{
		func() error { return f.start(ctx, o.settle) },
		func() error { return f.steady(ctx, o.window, r) },
		func() error { return f.change(ctx, o.changes, r) },
		func() error { return f.restart(ctx, r) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func machineLoad() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	text, _, _ := strings.Cut(string(data), " ")
	load, _ := strconv.ParseFloat(text, 64) // an unreadable load is reported as zero
	return load
}

// addHosts plans hosts domain by domain, as evenly as the numbers allow.
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
				f.backends++
			}
		}
	}
}

// start starts all processes, applies the first configuration and gives joins
// and claim views time to end.
func (f *fleet) start(ctx context.Context, settle time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := f.StartPlatform(limited); err != nil {
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
	if err := f.WaitJoined(limited, f.Layout.Hosts, f.backends); err != nil {
		return err
	}
	if _, err := f.apply(limited); err != nil {
		return err
	}
	return pause(ctx, settle)
}

func (f *fleet) startNodes() error {
	for _, h := range f.Layout.Hosts {
		if err := f.StartNode(h); err != nil {
			return err
		}
	}
	return nil
}

// steady measures the nodes over a window without changes.
func (f *fleet) steady(ctx context.Context, window time.Duration, r *result) error {
	before, err := sampleAll(ctx, f.Deployment)
	if err != nil {
		return err
	}
	first, err := f.Counters(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := pause(ctx, window); err != nil {
		return err
	}
	last, err := f.Counters(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	after, err := sampleAll(ctx, f.Deployment)
	if err != nil {
		return err
	}
	r.SteadyReads = round(float64(last.Reads.Total-first.Reads.Total) / seconds)
	r.SteadyWrites = round(float64(last.Writes.Total-first.Writes.Total) / seconds)
	r.compare(before, after)
	return nil
}

// compare takes the per-node quantities from two samples.
func (r *result) compare(before, after []sample) {
	var resident, core, connections, sent, received []float64
	for i := range after {
		a, b := &after[i], &before[i]
		seconds := a.at.Sub(b.at).Seconds()
		resident = append(resident, a.residentBytes/(1<<20))
		core = append(core, 100*(a.processor-b.processor).Seconds()/seconds)
		connections = append(connections, float64(a.connections))
		sent = append(sent, (a.sent-b.sent)/seconds)
		received = append(received, (a.received-b.received)/seconds)
	}
	r.ResidentMB, r.CorePercent, r.Connections = spreadOf(resident), spreadOf(core), spreadOf(connections)
	r.SentBytes, r.ReceivedBytes = spreadOf(sent), spreadOf(received)
}

// change applies changes and measures the time until each is in force.
func (f *fleet) change(ctx context.Context, changes int, r *result) error {
	var times []float64
	for range changes {
		took, err := f.apply(ctx)
		if err != nil {
			return err
		}
		times = append(times, millis(took))
		if err := pause(ctx, changePause); err != nil {
			return err
		}
	}
	r.InForceMillis = spreadOf(times)
	return nil
}

// restart kills all nodes at the same time and measures their return.
func (f *fleet) restart(ctx context.Context, r *result) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	var kills sync.WaitGroup
	for _, h := range f.Layout.Hosts {
		kills.Go(f.NodeProcess(h).Kill)
	}
	kills.Wait()
	watch, err := watchPlatform(ctx, f.Deployment)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := f.startNodes(); err != nil {
		watch.stop()
		return err
	}
	err = f.waitApplied(ctx, f.version)
	r.Restart.AppliedMillis = millis(time.Since(began))
	if err == nil {
		err = f.WaitJoined(ctx, f.Layout.Hosts, f.backends)
		r.Restart.ServiceMillis = millis(time.Since(began))
	}
	r.Restart.PeakReads, r.Restart.PeakWrites = watch.stop()
	if err != nil {
		return fmt.Errorf("return of all nodes: %w", err)
	}
	return nil
}

func millis(d time.Duration) float64 { return round(float64(d.Microseconds()) / 1000) }

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
