package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/ctl"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
)

const (
	// pollInterval is the time between two checks of a condition.
	pollInterval = 25 * time.Millisecond
	// requestTimeout bounds a request to a node or to the development platform.
	requestTimeout = 3 * time.Second
)

// Deployment runs the processes of a layout. It is safe for concurrent use.
type Deployment struct {
	Layout *Layout
	// Dir is the directory of settings files and logs.
	Dir string
	// binDir is the directory of the built programs.
	binDir string

	mu        sync.Mutex
	processes map[string]*Process
	// startOrder holds the names of the processes in the order of their first
	// start.
	startOrder []string
}

// New returns a deployment without running processes.
func New(layout *Layout, dir, binDir string) *Deployment {
	return &Deployment{Layout: layout, Dir: dir, binDir: binDir, processes: map[string]*Process{}}
}

// ctlSettingsFile is the name of the settings file of chicoryctl.
const ctlSettingsFile = "ctl.toml"

// StartPlatform starts the development platform (chicory-platform) and waits
// until it answers. It also writes the settings file of chicoryctl.
func (d *Deployment) StartPlatform(ctx context.Context) error {
	if _, err := writeFile(d.Dir, ctlSettingsFile, d.Layout.ctlSettings("amal")); err != nil {
		return err
	}
	settings := fmt.Sprintf("address = %q\n", d.Layout.PlatformAddr)
	if err := d.startProcess("platform", "chicory-platform", settings); err != nil {
		return err
	}
	return Wait(ctx, "the development platform to answer", func() error { return d.SetFaults(ctx, wire.Faults{}) })
}

// StartNode starts the node of a host.
func (d *Deployment) StartNode(h *Host) error {
	return d.startProcess(nodeName(h), "chicory-node", d.Layout.nodeSettings(h))
}

// StartBackend starts a backend server of a host.
func (d *Deployment) StartBackend(h *Host, b *Backend) error {
	return d.startProcess("backend-"+string(b.Instance), "chicory-backend", backendSettings(h, b))
}

func nodeName(h *Host) string { return "node-" + string(h.Name) }

func (d *Deployment) startProcess(name, program, settings string) error {
	path, err := writeFile(d.Dir, name+".toml", settings)
	if err != nil {
		return err
	}
	p, err := startProcess(name, filepath.Join(d.binDir, program), path, filepath.Join(d.Dir, name+".log"))
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, restarted := d.processes[name]; !restarted {
		d.startOrder = append(d.startOrder, name)
	}
	d.processes[name] = p
	return nil
}

// NodeProcess returns the process of a host's node, or nil before its start.
func (d *Deployment) NodeProcess(h *Host) *Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[nodeName(h)]
}

// Stop stops all processes gracefully: the nodes at the same time, then the
// backend servers, then the development platform. The error names all processes
// that did not stop gracefully.
func (d *Deployment) Stop(limit time.Duration) error {
	var nodes, backends, platform []*Process
	for _, p := range d.runningProcesses() {
		switch {
		case p.Name == "platform":
			platform = append(platform, p)
		case len(p.Name) > 5 && p.Name[:5] == "node-":
			nodes = append(nodes, p)
		default:
			backends = append(backends, p)
		}
	}
	return errors.Join(stopAll(nodes, limit), stopAll(backends, limit), stopAll(platform, limit))
}

func stopAll(processes []*Process, limit time.Duration) error {
	errs := make([]error, len(processes))
	var tasks sync.WaitGroup
	for i, p := range processes {
		tasks.Go(func() { errs[i] = p.Stop(limit) })
	}
	tasks.Wait()
	return errors.Join(errs...)
}

// Kill sends SIGKILL to all running processes in turn and waits until each has
// ended.
func (d *Deployment) Kill() {
	for _, p := range d.runningProcesses() {
		p.Kill()
	}
}

// ExitedProcesses returns the names of the started processes that no longer run.
func (d *Deployment) ExitedProcesses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, name := range d.startOrder {
		if !d.processes[name].running() {
			names = append(names, name)
		}
	}
	return names
}

func (d *Deployment) runningProcesses() []*Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	var running []*Process
	for _, name := range d.startOrder {
		if p := d.processes[name]; p.running() {
			running = append(running, p)
		}
	}
	return running
}

// SetFaults sets the faults that the development platform injects.
func (d *Deployment) SetFaults(ctx context.Context, faults wire.Faults) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.Layout.PlatformAddr+wire.FaultsPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("set the faults of the development platform: status %d", resp.StatusCode)
	}
	return nil
}

// Counters reads the operation counters of the development platform.
func (d *Deployment) Counters(ctx context.Context) (*wire.Counters, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Layout.PlatformAddr+wire.CountersPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	counters := new(wire.Counters)
	return counters, json.NewDecoder(resp.Body).Decode(counters)
}

// Status returns the status of a host's node.
func (d *Deployment) Status(ctx context.Context, h *Host) (*core.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := ctl.SendRequest(ctx, h.ControlAddr, core.OperatorRequest{Status: &core.StatusRequest{}})
	if err != nil {
		return nil, err
	}
	return reply.Status, nil
}

// Members returns the nodes that a host's node has in its member list.
func (d *Deployment) Members(ctx context.Context, h *Host) ([]core.NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := ctl.SendRequest(ctx, h.ControlAddr, core.OperatorRequest{Nodes: &core.NodesRequest{}})
	if err != nil {
		return nil, err
	}
	return reply.Nodes, nil
}

// WaitJoined waits until each node of the given hosts lists all of the hosts as
// live and established (they know their version floor), with at least the given
// number of backend servers in total.
func (d *Deployment) WaitJoined(ctx context.Context, hosts []*Host, backends int) error {
	for _, h := range hosts {
		err := Wait(ctx, "the node of host "+string(h.Name)+" to list all hosts", func() error {
			members, err := d.Members(ctx, h)
			if err != nil {
				return err
			}
			return checkMembers(members, hosts, backends)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func checkMembers(members []core.NodeStatus, hosts []*Host, backends int) error {
	live, servers := map[mesh.HostID]bool{}, 0
	for i := range members {
		if r := &members[i].Record; r.Live() && r.Established {
			live[r.Host] = true
			servers += len(r.Backends)
		}
	}
	for _, h := range hosts {
		if !live[h.Name] {
			return fmt.Errorf("host %s is not listed as live with a known version floor", h.Name)
		}
	}
	if servers < backends {
		return fmt.Errorf("%d backend servers are listed, want at least %d", servers, backends)
	}
	return nil
}

// CtlResult is the result of a chicoryctl command.
type CtlResult struct {
	ExitCode ctl.ExitCode
	Stdout   []byte
	Stderr   string
}

// RunCtl runs chicoryctl with JSON output. The error is set only if chicoryctl
// could not be run; a command that fails has an exit code other than ctl.ExitOK.
func (d *Deployment) RunCtl(ctx context.Context, args ...string) (CtlResult, error) {
	args = append([]string{"--settings", filepath.Join(d.Dir, ctlSettingsFile), "--output", "json"}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(d.binDir, "chicoryctl"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return CtlResult{}, err
	}
	return CtlResult{ExitCode: ctl.ExitCode(cmd.ProcessState.ExitCode()), Stdout: stdout.Bytes(), Stderr: stderr.String()}, nil
}

// RunLoad runs chicory-load with the given settings until it ends. If the program
// fails, the error holds its output.
func (d *Deployment) RunLoad(ctx context.Context, name, settings string) error {
	path, err := writeFile(d.Dir, name+".toml", settings)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, filepath.Join(d.binDir, "chicory-load"), "--settings", path)
	if output, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("run chicory-load %s: %w: %s", name, err, output)
	}
	return nil
}

// WriteFile writes a file into the deployment's directory and returns its path.
func (d *Deployment) WriteFile(name, content string) (string, error) {
	return writeFile(d.Dir, name, content)
}

// Wait calls check periodically until it returns nil. When ctx ends first, the
// returned error wraps the last error of check.
func Wait(ctx context.Context, description string, check func() error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", description, err)
		case <-ticker.C:
		}
	}
}
