package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

// watchInterval is the time between two questions to one node.
const watchInterval = 50 * time.Millisecond

// watch follows the version in force on each node. It is safe for concurrent
// use.
type watch struct {
	deployment *deploy.Deployment
	failures   *failures
	cancel     context.CancelFunc
	tasks      sync.WaitGroup

	mu      sync.Mutex
	hosts   map[mesh.HostID]*watched
	latest  mesh.ConfigVersion
	longest time.Duration
}

// watched is what is known of one node's process.
type watched struct {
	host    *deploy.Host
	applied mesh.ConfigVersion
	paused  bool
	// process numbers the processes of the host, so that an answer of an
	// earlier one is ignored.
	process int
}

func newWatch(d *deploy.Deployment, f *failures) *watch {
	return &watch{deployment: d, failures: f, hosts: map[mesh.HostID]*watched{}, cancel: func() {}}
}

// start begins to ask the nodes of the hosts.
func (w *watch) start(hosts []*deploy.Host) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	for _, h := range hosts {
		state := &watched{host: h}
		w.hosts[h.Name] = state
		w.tasks.Go(func() { w.follow(ctx, state) })
	}
}

func (w *watch) stop() {
	w.cancel()
	w.tasks.Wait()
}

func (w *watch) follow(ctx context.Context, state *watched) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		process := state.process
		w.mu.Unlock()
		status, err := w.deployment.Status(ctx, state.host)
		if err != nil {
			continue
		}
		w.observe(state, process, status.Applied.Version)
	}
}

// observe records a version and checks that no process goes back.
func (w *watch) observe(state *watched, process int, version mesh.ConfigVersion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state.process != process || state.paused {
		return
	}
	if version < state.applied {
		w.failures.add("the node of %s went back from %v to %v", state.host.Name, state.applied, version)
	}
	state.applied = version
}

// pause leaves out a host whose node is about to be killed.
func (w *watch) pause(h *deploy.Host) { w.restart(h, true) }

// resume takes in the new process of a host.
func (w *watch) resume(h *deploy.Host) { w.restart(h, false) }

func (w *watch) restart(h *deploy.Host, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.hosts[h.Name]
	state.paused, state.applied = paused, 0
	state.process++
}

// waitInForce waits until all watched nodes have a version. It returns the time
// since the start and keeps the longest one.
func (w *watch) waitInForce(ctx context.Context, version mesh.ConfigVersion, began time.Time) (time.Duration, error) {
	err := deploy.Wait(ctx, version.String(), func() error { return w.missing(version) })
	took := time.Since(began)
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > w.latest {
		// Waiting for a version that was in force before is a restart.
		w.longest = max(w.longest, took)
		w.latest = version
		if took > convergenceTarget {
			w.failures.add("%v was in force on every node after %v, want %v", version, took, convergenceTarget)
		}
	}
	return took, err
}

func (w *watch) missing(version mesh.ConfigVersion) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, state := range w.hosts {
		if !state.paused && state.applied < version {
			return fmt.Errorf("the node of %s has %v", state.host.Name, state.applied)
		}
	}
	return nil
}

// newest returns the newest version that was waited for.
func (w *watch) newest() mesh.ConfigVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest
}

// longestTime returns the longest time until a version was in force.
func (w *watch) longestTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}
