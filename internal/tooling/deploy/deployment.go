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
	// askTimeout bounds a question to a node or to the platform stand-in.
	askTimeout = 3 * time.Second
)

// Deployment is a running layout. It is safe for concurrent use.
type Deployment struct {
	Layout *Layout
	// Dir holds settings and logs.
	Dir string
	// binaries is the directory of the built programs.
	binaries string

	mu        sync.Mutex
	processes map[string]*Process
	// order holds the names of the processes in the order of their start.
	order []string
}

// New returns a deployment of which nothing runs yet.
func New(layout *Layout, dir, binaries string) *Deployment {
	return &Deployment{Layout: layout, Dir: dir, binaries: binaries, processes: map[string]*Process{}}
}

// ctlFile is the settings file of chicoryctl.
const ctlFile = "ctl.toml"

// StartPlatform starts the platform stand-in and waits until it answers. It
// also writes the settings of chicoryctl.
func (d *Deployment) StartPlatform(ctx context.Context) error {
	if _, err := write(d.Dir, ctlFile, d.Layout.ctlSettings("amal")); err != nil {
		return err
	}
	settings := fmt.Sprintf("address = %q\n", d.Layout.PlatformAddr)
	if err := d.start("platform", "chicory-platform", settings); err != nil {
		return err
	}
	return Wait(ctx, "the platform stand-in", func() error { return d.SetFaults(ctx, wire.Faults{}) })
}

// StartNode starts the node of a host.
func (d *Deployment) StartNode(h *Host) error {
	return d.start(nodeName(h), "chicory-node", d.Layout.nodeSettings(h))
}

// StartBackend starts a backend server of a host.
func (d *Deployment) StartBackend(h *Host, b *Backend) error {
	return d.start("backend-"+string(b.Instance), "chicory-backend", backendSettings(h, b))
}

func nodeName(h *Host) string { return "node-" + string(h.Name) }

func (d *Deployment) start(name, program, settings string) error {
	path, err := write(d.Dir, name+".toml", settings)
	if err != nil {
		return err
	}
	p, err := start(name, filepath.Join(d.binaries, program), path, filepath.Join(d.Dir, name+".log"))
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, restarted := d.processes[name]; !restarted {
		d.order = append(d.order, name)
	}
	d.processes[name] = p
	return nil
}

// Node returns the process of a host's node, nil before its start.
func (d *Deployment) Node(h *Host) *Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[nodeName(h)]
}

// Stop stops all processes gracefully: the nodes at the same time, then the
// backend servers, then the platform stand-in. The error names all processes
// that did not stop gracefully.
func (d *Deployment) Stop(limit time.Duration) error {
	var nodes, others, platform []*Process
	for _, p := range d.running() {
		switch {
		case p.Name == "platform":
			platform = append(platform, p)
		case len(p.Name) > 5 && p.Name[:5] == "node-":
			nodes = append(nodes, p)
		default:
			others = append(others, p)
		}
	}
	return errors.Join(stopAll(nodes, limit), stopAll(others, limit), stopAll(platform, limit))
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

// Kill ends all processes at once.
func (d *Deployment) Kill() {
	for _, p := range d.running() {
		p.Kill()
	}
}

// Crashed returns the names of processes that have ended.
func (d *Deployment) Crashed() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, name := range d.order {
		if !d.processes[name].running() {
			names = append(names, name)
		}
	}
	return names
}

func (d *Deployment) running() []*Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*Process
	for _, name := range d.order {
		if p := d.processes[name]; p.running() {
			list = append(list, p)
		}
	}
	return list
}

// SetFaults sets the faults of the platform stand-in.
func (d *Deployment) SetFaults(ctx context.Context, faults wire.Faults) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
		return fmt.Errorf("set the faults of the platform stand-in: status %d", resp.StatusCode)
	}
	return nil
}

// Counters reads the operations that the platform stand-in has counted.
func (d *Deployment) Counters(ctx context.Context) (*wire.Counters, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// Status asks a host's node for its status.
func (d *Deployment) Status(ctx context.Context, h *Host) (*core.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := ctl.SendRequest(ctx, h.ControlAddr, core.OperatorRequest{Status: &core.StatusRequest{}})
	if err != nil {
		return nil, err
	}
	return reply.Status, nil
}

// Members asks a host's node for the hosts that it knows.
func (d *Deployment) Members(ctx context.Context, h *Host) ([]core.NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := ctl.SendRequest(ctx, h.ControlAddr, core.OperatorRequest{Nodes: &core.NodesRequest{}})
	if err != nil {
		return nil, err
	}
	return reply.Nodes, nil
}

// WaitJoined waits until each node of the given hosts knows that the others
// are alive and know their version floor, with the given number of backend
// servers in all.
func (d *Deployment) WaitJoined(ctx context.Context, hosts []*Host, backends int) error {
	for _, h := range hosts {
		err := Wait(ctx, "host "+string(h.Name)+" to know all hosts", func() error {
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
			return fmt.Errorf("host %s is not known as alive with a floor", h.Name)
		}
	}
	if servers < backends {
		return fmt.Errorf("%d backend servers are known, want %d", servers, backends)
	}
	return nil
}

// CtlResult is the result of a command of chicoryctl.
type CtlResult struct {
	Code   ctl.ExitCode
	Stdout []byte
	Stderr string
}

// Ctl runs chicoryctl with JSON output. The error is set if it could not be
// run; a failed command has another code than ctl.ExitOK.
func (d *Deployment) Ctl(ctx context.Context, args ...string) (CtlResult, error) {
	args = append([]string{"--settings", filepath.Join(d.Dir, ctlFile), "--output", "json"}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(d.binaries, "chicoryctl"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return CtlResult{}, err
	}
	return CtlResult{Code: ctl.ExitCode(cmd.ProcessState.ExitCode()), Stdout: stdout.Bytes(), Stderr: stderr.String()}, nil
}

// Load runs chicory-load with the given lines of settings until it ends. It
// fails if the program does, with its output.
func (d *Deployment) Load(ctx context.Context, name, settings string) error {
	path, err := write(d.Dir, name+".toml", settings)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, filepath.Join(d.binaries, "chicory-load"), "--settings", path)
	if output, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("load %s: %w: %s", name, err, output)
	}
	return nil
}

// WriteFile writes a file into the deployment's directory.
func (d *Deployment) WriteFile(name, content string) (string, error) {
	return write(d.Dir, name, content)
}

// Wait checks a condition until it returns nil. When ctx ends first, the error
// holds the last reason.
func Wait(ctx context.Context, what string, check func() error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waited for %s: %w", what, err)
		case <-ticker.C:
		}
	}
}
