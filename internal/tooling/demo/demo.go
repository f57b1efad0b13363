package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	_ "embed"

	"github.com/chicoryscale/chicoryscale/internal/ctl"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

//go:embed config.toml
var configText string

// Versions of the backend servers.
const (
	roofOld  mesh.BackendVersion = "2.4.0"
	roofNew  mesh.BackendVersion = "2.5.0"
	depotOld mesh.BackendVersion = "1.8.0"
	// depotBad answers every call with status 500.
	depotBad mesh.BackendVersion = "1.9.0"
)

// Moves.
const (
	goodMove mesh.MoveID = "roof-works-2-5-0"
	badMove  mesh.MoveID = "depot-1-9-0"
	// goodDeadline and badDeadline are given to the moves.
	goodDeadline = 38 * time.Second
	badDeadline  = 30 * time.Second
)

// Times of the disturbances, counted from the start of the moves.
const (
	firstChange   = 6 * time.Second
	nodeKilled    = 9 * time.Second
	secondChange  = 11 * time.Second
	nodeRestarted = 13 * time.Second
	platformDown  = 18 * time.Second
	platformUp    = 21 * time.Second
	thirdChange   = 22 * time.Second
	fourthChange  = 27 * time.Second
)

const (
	// startLimit bounds the start of all processes, stopLimit the graceful stop
	// of each.
	startLimit = 15 * time.Second
	stopLimit  = 8 * time.Second
	// convergenceTarget is the time within which an accepted configuration is
	// in force on every node.
	convergenceTarget = 4 * time.Second
	// restartLimit bounds the time until a restarted node has the current
	// configuration.
	restartLimit = 10 * time.Second
	// firstKeepReady is the first value of a setting that each further version
	// raises by one, in seconds.
	firstKeepReady = 600
)

// demo is one run.
type demo struct {
	deployment *deploy.Deployment
	layout     *deploy.Layout
	failures   failures
	callers    *callers
	watch      *watch
	meter      *byteMeter
	started    time.Time
	applied    int
	moves      moveResults
	ran        executions
}

func newDemo(layout *deploy.Layout, d *deploy.Deployment) *demo {
	addHosts(layout)
	demo := &demo{deployment: d, layout: layout, started: time.Now()}
	demo.watch = newWatch(d, &demo.failures)
	demo.callers = newCallers(layout)
	demo.meter = &byteMeter{layout: layout}
	return demo
}

// addHosts adds the hosts of the Fès deployment: seven with roof works, of
// which four also run the new version, and four with the depot, of which two
// also run the bad version.
func addHosts(l *deploy.Layout) {
	const times = "[service_time]\nmean_ms = 5"
	const failing = times + "\n[fault]\nmode = \"fail\""
	for i, domain := range []mesh.FailureDomain{"ifrane", "azrou", "sefrou", "boulemane"} {
		first, second := l.AddHost(domain), l.AddHost(domain)
		first.AddBackend("roof-works", roofOld, times)
		first.AddBackend("roof-works", roofNew, times)
		second.AddBackend("depot", depotOld, times)
		if i < 2 {
			second.AddBackend("depot", depotBad, failing)
		}
		if i < 3 {
			l.AddHost(domain).AddBackend("roof-works", roofOld, times)
		}
	}
}

// say prints progress with the time since the start.
func (d *demo) say(format string, args ...any) {
	fmt.Printf("%6.2f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// run runs all phases. A phase that fails ends the demo.
func (d *demo) run(ctx context.Context) {
	err := d.start(ctx)
	if err == nil {
		err = d.disturb(ctx)
	}
	d.callers.stop()
	d.watch.stop()
	if err != nil {
		d.failures.add("%v", err)
	}
	d.finish(ctx)
}

// start starts all processes, applies the first configuration and starts the
// callers.
func (d *demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := d.deployment.StartPlatform(ctx); err != nil {
		return err
	}
	backends := 0
	for _, h := range d.layout.Hosts {
		if err := d.deployment.StartNode(h); err != nil {
			return err
		}
		for i := range h.Backends {
			backends++
			if err := d.deployment.StartBackend(h, &h.Backends[i]); err != nil {
				return err
			}
		}
	}
	if err := d.deployment.WaitJoined(ctx, d.layout.Hosts, backends); err != nil {
		return err
	}
	d.say("%d nodes and %d backend servers have joined", len(d.layout.Hosts), backends)
	d.watch.start(d.layout.Hosts)
	if err := d.apply(ctx); err != nil {
		return err
	}
	d.callers.start()
	return d.meter.begin(ctx)
}

// apply applies the next configuration with chicoryctl and measures the time
// until it is in force on every running node.
func (d *demo) apply(ctx context.Context) error {
	name := fmt.Sprintf("config-%d.toml", d.applied)
	file, err := d.deployment.WriteFile(name, fmt.Sprintf(configText, firstKeepReady+d.applied))
	if err != nil {
		return err
	}
	d.applied++
	began := time.Now()
	result, err := d.deployment.RunCtl(ctx, "config", "apply", file, "--note", name)
	if err != nil {
		return err
	}
	if result.ExitCode != ctl.ExitOK {
		return fmt.Errorf("apply %s: exit code %d: %s", name, result.ExitCode, result.Stderr)
	}
	var accepted struct{ Version mesh.ConfigVersion }
	if err := json.Unmarshal(result.Stdout, &accepted); err != nil {
		return fmt.Errorf("apply %s: output: %w", name, err)
	}
	took, err := d.watch.waitInForce(ctx, accepted.Version, began)
	if err != nil {
		return err
	}
	d.say("%v is in force on every running node after %d ms", accepted.Version, took.Milliseconds())
	return nil
}

// disturb starts the moves, runs the disturbances and waits for the moves' end.
func (d *demo) disturb(ctx context.Context) error {
	began := time.Now()
	d.callers.countMove()
	if err := d.startMoves(ctx); err != nil {
		return err
	}
	victim := d.layout.Hosts[3]
	steps := []struct {
		at  time.Duration
		run func() error
	}{
		{firstChange, func() error { return d.apply(ctx) }},
		{nodeKilled, func() error { return d.killNode(victim) }},
		{secondChange, func() error { return d.apply(ctx) }},
		{nodeRestarted, func() error { return d.restartNode(ctx, victim) }},
		{platformDown, func() error { return d.setPlatform(ctx, true) }},
		{platformUp, func() error { return d.setPlatform(ctx, false) }},
		{thirdChange, func() error { return d.apply(ctx) }},
		{fourthChange, func() error { return d.apply(ctx) }},
	}
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(began.Add(step.at))):
		}
		if err := step.run(); err != nil {
			return err
		}
	}
	return d.awaitMoves(ctx)
}

func (d *demo) killNode(h *deploy.Host) error {
	d.watch.pause(h)
	d.meter.exclude(h)
	d.deployment.NodeProcess(h).Kill()
	d.say("killed the node of %s", h.Name)
	return nil
}

func (d *demo) restartNode(ctx context.Context, h *deploy.Host) error {
	began := time.Now()
	if err := d.deployment.StartNode(h); err != nil {
		return err
	}
	d.watch.resume(h)
	ctx, cancel := context.WithTimeout(ctx, restartLimit)
	defer cancel()
	if _, err := d.watch.waitInForce(ctx, d.watch.newest(), began); err != nil {
		return fmt.Errorf("restart of %s: %w", h.Name, err)
	}
	d.say("the restarted node of %s has %v after %d ms", h.Name, d.watch.newest(), time.Since(began).Milliseconds())
	return nil
}

func (d *demo) setPlatform(ctx context.Context, down bool) error {
	if err := d.deployment.SetFaults(ctx, wire.Faults{Unavailable: down}); err != nil {
		return err
	}
	d.say("platform unavailable: %v", down)
	return nil
}

// finish collects the results and stops all processes gracefully.
func (d *demo) finish(ctx context.Context) {
	d.checkCrashes()
	d.meter.end(ctx, &d.failures)
	d.ran.collect(ctx, d.layout, &d.failures)
	d.callers.check(&d.ran, &d.failures)
	d.say("stopping")
	if err := d.deployment.Stop(stopLimit); err != nil {
		d.failures.add("%v", err)
	}
	d.say("all processes have stopped")
}

func (d *demo) checkCrashes() {
	for _, name := range d.deployment.ExitedProcesses() {
		d.failures.add("%s has ended by itself", name)
	}
}
