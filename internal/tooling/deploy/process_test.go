package deploy

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/ctl"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform/wire"
)

const (
	testLimit = 60 * time.Second
	stopLimit = 15 * time.Second
)

const testConfig = `
failure_domains = [{name = "ifrane"}, {name = "azrou"}]
services = [{name = "depot", keep_ready_s = %d}]
classes = [{name = "warnings", priority = "critical", idempotent = true, deadline_ms = 5000, target_latency_ms = 200, target_success_share = 0.99}]
routes = [{name = "warning", path_prefix = "/warnings", service = "depot", class = "warnings"}]
`

var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chicory-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "github.com/chicoryscale/chicoryscale/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaries = dir
	return m.Run()
}

// newTestDeployment runs two hosts in each of two failure domains, with the
// first configuration in force. All processes must stop gracefully at the end.
func newTestDeployment(ctx context.Context, t *testing.T, network int) *Deployment {
	t.Helper()
	is := is.New(t)
	layout, err := NewLayout(os.Getpid() + network)
	is.NoErr(err)
	for _, domain := range []mesh.FailureDomain{"ifrane", "ifrane", "azrou", "azrou"} {
		layout.AddHost(domain).AddBackend("depot", "1.0.0", "[service_time]\nmean_ms = 20")
	}
	d := New(layout, t.TempDir(), binaries)
	t.Cleanup(d.Kill)
	is.NoErr(d.StartPlatform(ctx))
	for _, h := range layout.Hosts {
		is.NoErr(d.StartNode(h))
		is.NoErr(d.StartBackend(h, &h.Backends[0]))
	}
	is.NoErr(d.WaitJoined(ctx, layout.Hosts, len(layout.Hosts)))
	is.Equal(apply(ctx, t, d, 1).Code, ctl.ExitOK)
	is.NoErr(waitApplied(ctx, d, 1, layout.Hosts...))
	return d
}

// apply applies the nth configuration under the operation ID "op-<n>".
func apply(ctx context.Context, t *testing.T, d *Deployment, n int) CtlResult {
	t.Helper()
	is := is.New(t)
	file, err := d.WriteFile(fmt.Sprintf("config-%d.toml", n), fmt.Sprintf(testConfig, n))
	is.NoErr(err)
	result, err := d.Ctl(ctx, "config", "apply", file, "--operation", fmt.Sprintf("op-%d", n))
	is.NoErr(err)
	t.Logf("apply %d: exit code %d %s", n, result.Code, result.Stderr)
	return result
}

func waitApplied(ctx context.Context, d *Deployment, version mesh.ConfigVersion, hosts ...*Host) error {
	for _, h := range hosts {
		err := Wait(ctx, fmt.Sprintf("%v on %s", version, h.Name), func() error {
			status, err := d.Status(ctx, h)
			if err == nil && status.Applied.Version != version {
				err = fmt.Errorf("it has %v", status.Applied.Version)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// lookup sends one call and returns its outcome.
func lookup(ctx context.Context, h *Host) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.CallAddr+"/warnings/1", nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	return resp.Header.Get(mesh.HeaderOutcome), resp.Body.Close()
}

func stopped(t *testing.T, d *Deployment) {
	t.Helper()
	if err := d.Stop(stopLimit); err != nil {
		t.Fatal(err)
	}
}

// Guards against a restarted node that stays without a configuration or does
// not serve callers again.
func TestNodeKilledAndRestarted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	d := newTestDeployment(ctx, t, 0)
	victim := d.Layout.Hosts[1]
	d.Node(victim).Kill()
	is.Equal(apply(ctx, t, d, 2).Code, ctl.ExitOK)
	is.NoErr(d.StartNode(victim))
	is.NoErr(waitApplied(ctx, d, 2, d.Layout.Hosts...))
	is.NoErr(d.WaitJoined(ctx, d.Layout.Hosts, len(d.Layout.Hosts)))
	outcome, err := lookup(ctx, victim)
	is.NoErr(err)
	is.Equal(outcome, mesh.Answered.String())
	stopped(t, d)
}

// Guards against a node that keeps an old configuration or stays out of the
// mesh after a pause in which the others declared it dead.
func TestNodeFrozen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	d := newTestDeployment(ctx, t, 60)
	hosts := d.Layout.Hosts
	frozen := hosts[1]
	is.NoErr(d.Node(frozen).Signal(syscall.SIGSTOP))
	is.Equal(apply(ctx, t, d, 2).Code, ctl.ExitOK)
	is.NoErr(waitApplied(ctx, d, 2, hosts[0], hosts[2], hosts[3]))
	is.NoErr(Wait(ctx, "the frozen host to be taken for dead", func() error {
		members, err := d.Members(ctx, hosts[0])
		if err == nil && checkMembers(members, []*Host{frozen}, 0) == nil {
			err = fmt.Errorf("host %s is known as alive", frozen.Name)
		}
		return err
	}))
	is.NoErr(d.Node(frozen).Signal(syscall.SIGCONT))
	is.NoErr(waitApplied(ctx, d, 2, frozen))
	is.NoErr(d.WaitJoined(ctx, hosts, len(hosts)))
	stopped(t, d)
}

// Guards against a configuration that is lost or accepted twice when the
// platform is slow, loses the response to a write, or is unavailable.
func TestApplyUnderPlatformFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	d := newTestDeployment(ctx, t, 120)
	is.NoErr(d.SetFaults(ctx, wire.Faults{DelayMillis: 300}))
	is.Equal(apply(ctx, t, d, 2).Code, ctl.ExitOK)
	is.NoErr(d.SetFaults(ctx, wire.Faults{LoseResponses: 2}))
	is.Equal(apply(ctx, t, d, 3).Code, ctl.ExitOK)
	is.NoErr(d.SetFaults(ctx, wire.Faults{Unavailable: true}))
	is.Equal(apply(ctx, t, d, 4).Code, ctl.ExitUnavailable)
	is.NoErr(d.SetFaults(ctx, wire.Faults{}))
	is.Equal(apply(ctx, t, d, 4).Code, ctl.ExitOK)
	is.Equal(apply(ctx, t, d, 4).Code, ctl.ExitOK) // a repetition gives the first result
	is.NoErr(waitApplied(ctx, d, 4, d.Layout.Hosts...))

	file, err := d.WriteFile("conflict.toml", fmt.Sprintf(testConfig, 99))
	is.NoErr(err)
	conflict, err := d.Ctl(ctx, "config", "apply", file, "--base", "2")
	is.NoErr(err)
	is.Equal(conflict.Code, ctl.ExitConflict)
	history, err := d.Ctl(ctx, "config", "history")
	is.NoErr(err)
	var rows []struct{ Operation string }
	is.NoErr(json.Unmarshal(history.Stdout, &rows))
	is.Equal(rows, []struct{ Operation string }{{"op-4"}, {"op-3"}, {"op-2"}, {"op-1"}})
	stopped(t, d)
}

// Guards against a graceful stop that cuts calls in progress at the gate, and
// against an operator's drain that leaves the process behind.
func TestDrainCutsNoCall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	d := newTestDeployment(ctx, t, 180)
	leaving, entry := d.Layout.Hosts[0], d.Layout.Hosts[1]
	const callers = 12
	var tasks sync.WaitGroup
	stop, cut := make(chan struct{}), make(chan string, callers)
	for range callers {
		tasks.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				outcome, err := lookup(ctx, entry)
				if err != nil || outcome != mesh.Answered.String() && outcome != mesh.NotRun.String() {
					cut <- fmt.Sprintf("outcome %q, error %v", outcome, err)
					return
				}
			}
		})
	}
	drained, err := d.Ctl(ctx, "drain", string(leaving.Name))
	is.NoErr(err)
	is.Equal(drained.Code, ctl.ExitOK)
	select {
	case <-d.Node(leaving).Exited():
	case <-ctx.Done():
		t.Error("the drained node still runs")
	}
	close(stop)
	tasks.Wait()
	close(cut)
	for reason := range cut {
		t.Error(reason)
	}
	is.NoErr(d.Node(leaving).err)
	stopped(t, d)
}
