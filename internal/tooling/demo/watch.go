package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

// statusPollInterval is the time between two status requests to one node.
const statusPollInterval = 50 * time.Millisecond

// versionWatcher polls the configuration version that each node has applied. It
// is safe for concurrent use.
type versionWatcher struct {
	deployment *deploy.Deployment
	failures   *failures
	cancel     context.CancelFunc
	pollers    sync.WaitGroup

	mu                 sync.Mutex
	nodes              map[mesh.HostID]*nodeState
	newestVersion      mesh.ConfigVersion // newest version passed to waitApplied
	longestConvergence time.Duration
}

// nodeState is the last known state of one host's node.
type nodeState struct {
	host    *deploy.Host
	applied mesh.ConfigVersion
	// paused is set while the node is killed. Its reports are then ignored, and
	// waitApplied does not wait for it.
	paused bool
	// incarnation changes when the node is killed and when it is restarted, so
	// that a late reply of an earlier process is ignored.
	incarnation int
}

func newVersionWatcher(d *deploy.Deployment, f *failures) *versionWatcher {
	return &versionWatcher{deployment: d, failures: f, nodes: map[mesh.HostID]*nodeState{}, cancel: func() {}}
}

// start begins to poll the nodes of the hosts.
func (w *versionWatcher) start(hosts []*deploy.Host) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	for _, h := range hosts {
		state := &nodeState{host: h}
		w.nodes[h.Name] = state
		w.pollers.Go(func() { w.poll(ctx, state) })
	}
}

func (w *versionWatcher) stop() {
	w.cancel()
	w.pollers.Wait()
}

func (w *versionWatcher) poll(ctx context.Context, state *nodeState) {
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		incarnation := state.incarnation
		w.mu.Unlock()
		status, err := w.deployment.Status(ctx, state.host)
		if err != nil {
			continue
		}
		w.recordVersion(state, incarnation, status.Applied.Version)
	}
}

// recordVersion records the version that a node reports and checks that it does
// not decrease within one incarnation.
func (w *versionWatcher) recordVersion(state *nodeState, incarnation int, version mesh.ConfigVersion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state.incarnation != incarnation || state.paused {
		return
	}
	if version < state.applied {
		w.failures.add("the node of host %s went back from version %v to %v", state.host.Name, state.applied, version)
	}
	state.applied = version
}

// pauseHost makes the watcher ignore a host whose node is about to be killed. It does
// not stop the node.
func (w *versionWatcher) pauseHost(h *deploy.Host) { w.resetHost(h, true) }

// resumeHost makes the watcher observe the restarted node of a host again.
func (w *versionWatcher) resumeHost(h *deploy.Host) { w.resetHost(h, false) }

// resetHost forgets the applied version of a host's node and begins a new
// incarnation.
func (w *versionWatcher) resetHost(h *deploy.Host, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.nodes[h.Name]
	state.paused, state.applied = paused, 0
	state.incarnation++
}

// waitApplied waits until all nodes that are not paused have applied a version. It
// returns the time since startTime. For a version that is waited for the first
// time, it checks this time against convergenceTarget and keeps the longest one. It
// does so also if ctx ends first and it returns an error.
func (w *versionWatcher) waitApplied(ctx context.Context, version mesh.ConfigVersion, startTime time.Time) (time.Duration, error) {
	err := deploy.Wait(ctx, version.String(), func() error { return w.checkApplied(version) })
	took := time.Since(startTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > w.newestVersion {
		// A version that was applied before is waited for only after a node
		// restart, which does not count as convergence.
		w.longestConvergence = max(w.longestConvergence, took)
		w.newestVersion = version
		if took > convergenceTarget {
			w.failures.add("%v: waited %v for all running nodes to apply it, want at most %v", version, took, convergenceTarget)
		}
	}
	return took, err
}

func (w *versionWatcher) checkApplied(version mesh.ConfigVersion) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, state := range w.nodes {
		if !state.paused && state.applied < version {
			return fmt.Errorf("the node of host %s has applied only %v", state.host.Name, state.applied)
		}
	}
	return nil
}

// newest returns the newest version that waitApplied has waited for.
func (w *versionWatcher) newest() mesh.ConfigVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newestVersion
}

// longest returns the longest time that waitApplied waited for a new version.
func (w *versionWatcher) longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longestConvergence
}
