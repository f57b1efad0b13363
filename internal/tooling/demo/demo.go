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

// Versions of the backend servers. Each move replaces an old version.
const (
	roofOld  mesh.BackendVersion = "2.4.0"
	roofNew  mesh.BackendVersion = "2.5.0"
	depotOld mesh.BackendVersion = "1.8.0"
	// depotBad answers every call with status 500.
	depotBad mesh.BackendVersion = "1.9.0"
)

// IDs and deadlines of the moves.
const (
	goodMove mesh.MoveID = "roof-works-2-5-0"
	badMove  mesh.MoveID = "depot-1-9-0"
	// goodDeadline and badDeadline are the deadlines of goodMove and badMove.
	goodDeadline = 38 * time.Second
	badDeadline  = 30 * time.Second
)

// Schedule of the configuration changes and injected faults, relative to the
// start of the moves.
const (
	firstChangeAt  = 6 * time.Second
	nodeKillAt     = 9 * time.Second
	secondChangeAt = 11 * time.Second
	nodeRestartAt  = 13 * time.Second
	platformDownAt = 18 * time.Second
	platformUpAt   = 21 * time.Second
	thirdChangeAt  = 22 * time.Second
	fourthChangeAt = 27 * time.Second
)

const (
	// startTimeout bounds the start of all processes, stopTimeout the graceful
	// stop of each.
	startTimeout = 15 * time.Second
	stopTimeout  = 8 * time.Second
	// convergenceTarget is the time within which an accepted configuration must
	// be applied on every running node.
	convergenceTarget = 4 * time.Second
	// restartTimeout bounds the time until a restarted node has applied the
	// current configuration.
	restartTimeout = 10 * time.Second
	// initialKeepReadySeconds is the value of keep_ready_s in the first
	// configuration. Each further version raises it by one second, so that every
	// version differs.
	initialKeepReadySeconds = 600
)

// demo is one run of the demo.
type demo struct {
	deployment *deploy.Deployment
	layout     *deploy.Layout
	failures   failures
	callers    *callers
	watcher    *versionWatcher
	meter      *controlByteMeter
	started    time.Time
	// submittedCount is the number of configurations passed to chicoryctl.
	submittedCount int
	moves          moveResults
	executions     executions
}

func newDemo(layout *deploy.Layout, d *deploy.Deployment) *demo {
	addHosts(layout)
	demo := &demo{deployment: d, layout: layout, started: time.Now()}
	demo.watcher = newVersionWatcher(d, &demo.failures)
	demo.callers = newCallers(layout)
	demo.meter = &controlByteMeter{layout: layout}
	return demo
}

// addHosts adds the hosts of the Fès deployment: seven with roof works, of
// which four also run the new version, and four with the depot, of which two
// also run the bad version.
func addHosts(l *deploy.Layout) {
	const serviceTime = "[service_time]\nmean_ms = 5"
	const failing = serviceTime + "\n[fault]\nmode = \"fail\""
	for i, domain := range []mesh.FailureDomain{"ifrane", "azrou", "sefrou", "boulemane"} {
		first, second := l.AddHost(domain), l.AddHost(domain)
		first.AddBackend("roof-works", roofOld, serviceTime)
		first.AddBackend("roof-works", roofNew, serviceTime)
		second.AddBackend("depot", depotOld, serviceTime)
		if i < 2 {
			second.AddBackend("depot", depotBad, failing)
		}
		if i < 3 {
			l.AddHost(domain).AddBackend("roof-works", roofOld, serviceTime)
		}
	}
}

// printProgress prints a progress message with the time since the start.
func (d *demo) printProgress(format string, args ...any) {
	fmt.Printf("%6.2f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// run runs all phases. If the start or the scenario fails, the demo proceeds to
// the final checks and the stop.
func (d *demo) run(ctx context.Context) {
	err := d.start(ctx)
	if err == nil {
		err = d.runScenario(ctx)
	}
	d.callers.stop()
	d.watcher.stop()
	if err != nil {
		d.failures.add("%v", err)
	}
	d.finish(ctx)
}

// start starts all processes, applies the first configuration and starts the
// callers and the measurement of control bytes.
func (d *demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
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
	d.printProgress("%d nodes and %d backend servers have joined", len(d.layout.Hosts), backends)
	d.watcher.start(d.layout.Hosts)
	if err := d.apply(ctx); err != nil {
		return err
	}
	d.callers.start()
	return d.meter.start(ctx)
}

// apply applies the next configuration with chicoryctl and measures the time
// until every running node has applied it.
func (d *demo) apply(ctx context.Context) error {
	name := fmt.Sprintf("config-%d.toml", d.submittedCount)
	file, err := d.deployment.WriteFile(name, fmt.Sprintf(configText, initialKeepReadySeconds+d.submittedCount))
	if err != nil {
		return err
	}
	d.submittedCount++
	startTime := time.Now()
	result, err := d.deployment.RunCtl(ctx, "config", "apply", file, "--note", name)
	if err != nil {
		return err
	}
	if result.ExitCode != ctl.ExitOK {
		return fmt.Errorf("apply %s: exit code %d: %s", name, result.ExitCode, result.Stderr)
	}
	var accepted struct{ Version mesh.ConfigVersion }
	if err := json.Unmarshal(result.Stdout, &accepted); err != nil {
		return fmt.Errorf("apply %s: decode the output of chicoryctl: %w", name, err)
	}
	took, err := d.watcher.waitApplied(ctx, accepted.Version, startTime)
	if err != nil {
		return err
	}
	d.printProgress("%v is applied on every running node after %d ms", accepted.Version, took.Milliseconds())
	return nil
}

// runScenario starts the moves, makes the scheduled configuration changes and
// faults, and waits for the moves to end.
func (d *demo) runScenario(ctx context.Context) error {
	startTime := time.Now()
	d.callers.startMoveCount()
	if err := d.startMoves(ctx); err != nil {
		return err
	}
	killedHost := d.layout.Hosts[3]
	steps := []struct {
		at  time.Duration
		run func() error
	}{
		{firstChangeAt, func() error { return d.apply(ctx) }},
		{nodeKillAt, func() error { return d.killNode(killedHost) }},
		{secondChangeAt, func() error { return d.apply(ctx) }},
		{nodeRestartAt, func() error { return d.restartNode(ctx, killedHost) }},
		{platformDownAt, func() error { return d.setPlatformUnavailable(ctx, true) }},
		{platformUpAt, func() error { return d.setPlatformUnavailable(ctx, false) }},
		{thirdChangeAt, func() error { return d.apply(ctx) }},
		{fourthChangeAt, func() error { return d.apply(ctx) }},
	}
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(startTime.Add(step.at))):
		}
		if err := step.run(); err != nil {
			return err
		}
	}
	return d.awaitMoves(ctx)
}

func (d *demo) killNode(h *deploy.Host) error {
	d.watcher.pauseHost(h)
	d.meter.exclude(h)
	d.deployment.NodeProcess(h).Kill()
	d.printProgress("killed the node of host %s", h.Name)
	return nil
}

func (d *demo) restartNode(ctx context.Context, h *deploy.Host) error {
	startTime := time.Now()
	if err := d.deployment.StartNode(h); err != nil {
		return err
	}
	d.watcher.resumeHost(h)
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	if _, err := d.watcher.waitApplied(ctx, d.watcher.newest(), startTime); err != nil {
		return fmt.Errorf("restart the node of host %s: %w", h.Name, err)
	}
	d.printProgress("the restarted node of host %s has applied %v after %d ms", h.Name, d.watcher.newest(), time.Since(startTime).Milliseconds())
	return nil
}

func (d *demo) setPlatformUnavailable(ctx context.Context, unavailable bool) error {
	if err := d.deployment.SetFaults(ctx, wire.Faults{Unavailable: unavailable}); err != nil {
		return err
	}
	d.printProgress("platform unavailable: %v", unavailable)
	return nil
}

// finish runs the final checks, collects the results and stops all processes
// gracefully.
func (d *demo) finish(ctx context.Context) {
	d.checkCrashes()
	d.meter.finish(ctx, &d.failures)
	d.executions.collect(ctx, d.layout, &d.failures)
	d.callers.checkExecutions(&d.executions, &d.failures)
	d.printProgress("stopping all processes")
	if err := d.deployment.Stop(stopTimeout); err != nil {
		d.failures.add("%v", err)
	}
	d.printProgress("all processes have stopped")
}

func (d *demo) checkCrashes() {
	for _, name := range d.deployment.ExitedProcesses() {
		d.failures.add("process %s exited before it was stopped", name)
	}
}
