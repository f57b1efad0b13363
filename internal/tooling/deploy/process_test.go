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
	testTimeout = 60 * time.Second
	stopTimeout = 15 * time.Second
)

const testConfig = `
failure_domains = [{name = "ifrane"}, {name = "azrou"}]
services = [{name = "depot", keep_ready_s = %d}]
classes = [{name = "warnings", priority = "critical", idempotent = true, deadline_ms = 5000, target_latency_ms = 200, target_success_share = 0.99}]
routes = [{name = "warning", path_prefix = "/warnings", service = "depot", class = "warnings"}]
`

var binDir string

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
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// newTestDeployment starts two hosts in each of two failure domains and waits until
// all nodes have applied the first configuration. networkOffset gives parallel
// tests different networks to try first. Each test must end with stopDeployment,
// which checks that all processes stop gracefully.
func newTestDeployment(ctx context.Context, t *testing.T, networkOffset int) *Deployment {
	t.Helper()
	is := is.New(t)
	layout, err := NewLayout(os.Getpid() + networkOffset)
	is.NoErr(err)
	for _, domain := range []mesh.FailureDomain{"ifrane", "ifrane", "azrou", "azrou"} {
		layout.AddHost(domain).AddBackend("depot", "1.0.0", "[service_time]\nmean_ms = 20")
	}
	d := New(layout, t.TempDir(), binDir)
	t.Cleanup(d.Kill)
	is.NoErr(d.StartPlatform(ctx))
	for _, h := range layout.Hosts {
		is.NoErr(d.StartNode(h))
		is.NoErr(d.StartBackend(h, &h.Backends[0]))
	}
	is.NoErr(d.WaitJoined(ctx, layout.Hosts, len(layout.Hosts)))
	is.Equal(apply(ctx, t, d, 1).ExitCode, ctl.ExitOK)
	is.NoErr(waitApplied(ctx, d, 1, layout.Hosts...))
	return d
}

// apply applies the nth configuration under the operation ID "op-<n>".
func apply(ctx context.Context, t *testing.T, d *Deployment, n int) CtlResult {
	t.Helper()
	is := is.New(t)
	file, err := d.WriteFile(fmt.Sprintf("config-%d.toml", n), fmt.Sprintf(testConfig, n))
	is.NoErr(err)
	result, err := d.RunCtl(ctx, "config", "apply", file, "--operation", fmt.Sprintf("op-%d", n))
	is.NoErr(err)
	t.Logf("config apply %d: exit code %d: %s", n, result.ExitCode, result.Stderr)
	return result
}

func waitApplied(ctx context.Context, d *Deployment, version mesh.ConfigVersion, hosts ...*Host) error {
	for _, h := range hosts {
		err := Wait(ctx, fmt.Sprintf("%v on host %s", version, h.Name), func() error {
			status, err := d.Status(ctx, h)
			if err == nil && status.Applied.Version != version {
				err = fmt.Errorf("applied version is %v", status.Applied.Version)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// callOutcome sends one call to a host's node and returns the outcome header.
func callOutcome(ctx context.Context, h *Host) (string, error) {
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

func stopDeployment(t *testing.T, d *Deployment) {
	t.Helper()
	if err := d.Stop(stopTimeout); err != nil {
		t.Fatal(err)
	}
}

// Guards against a killed and restarted node that does not obtain the current
// configuration or does not serve callers again.
func TestNodeKilledAndRestarted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	d := newTestDeployment(ctx, t, 0)
	killedHost := d.Layout.Hosts[1]
	d.NodeProcess(killedHost).Kill()
	is.Equal(apply(ctx, t, d, 2).ExitCode, ctl.ExitOK)
	is.NoErr(d.StartNode(killedHost))
	is.NoErr(waitApplied(ctx, d, 2, d.Layout.Hosts...))
	is.NoErr(d.WaitJoined(ctx, d.Layout.Hosts, len(d.Layout.Hosts)))
	outcome, err := callOutcome(ctx, killedHost)
	is.NoErr(err)
	is.Equal(outcome, mesh.Answered.String())
	stopDeployment(t, d)
}

// Guards against a node that keeps an old configuration or does not rejoin the
// mesh after its process was suspended for so long that the other nodes declared
// it dead.
func TestSuspendedNodeRejoins(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	d := newTestDeployment(ctx, t, 60)
	hosts := d.Layout.Hosts
	suspended := hosts[1]
	is.NoErr(d.NodeProcess(suspended).Signal(syscall.SIGSTOP))
	is.Equal(apply(ctx, t, d, 2).ExitCode, ctl.ExitOK)
	is.NoErr(waitApplied(ctx, d, 2, hosts[0], hosts[2], hosts[3]))
	is.NoErr(Wait(ctx, "the suspended host to be declared dead", func() error {
		members, err := d.Members(ctx, hosts[0])
		if err == nil && checkMembers(members, []*Host{suspended}, 0) == nil {
			err = fmt.Errorf("host %s is still listed as live", suspended.Name)
		}
		return err
	}))
	is.NoErr(d.NodeProcess(suspended).Signal(syscall.SIGCONT))
	is.NoErr(waitApplied(ctx, d, 2, suspended))
	is.NoErr(d.WaitJoined(ctx, hosts, len(hosts)))
	stopDeployment(t, d)
}

// Guards against a configuration that is lost or accepted twice when the
// platform is slow, loses the response to a write, or is unavailable.
func TestApplyUnderPlatformFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	d := newTestDeployment(ctx, t, 120)
	is.NoErr(d.SetFaults(ctx, wire.Faults{DelayMillis: 300}))
	is.Equal(apply(ctx, t, d, 2).ExitCode, ctl.ExitOK)
	is.NoErr(d.SetFaults(ctx, wire.Faults{LoseResponses: 2}))
	is.Equal(apply(ctx, t, d, 3).ExitCode, ctl.ExitOK)
	is.NoErr(d.SetFaults(ctx, wire.Faults{Unavailable: true}))
	is.Equal(apply(ctx, t, d, 4).ExitCode, ctl.ExitUnavailable)
	is.NoErr(d.SetFaults(ctx, wire.Faults{}))
	is.Equal(apply(ctx, t, d, 4).ExitCode, ctl.ExitOK)
	is.Equal(apply(ctx, t, d, 4).ExitCode, ctl.ExitOK) // a repeated operation ID returns the first result
	is.NoErr(waitApplied(ctx, d, 4, d.Layout.Hosts...))

	file, err := d.WriteFile("conflict.toml", fmt.Sprintf(testConfig, 99))
	is.NoErr(err)
	conflict, err := d.RunCtl(ctx, "config", "apply", file, "--base", "2")
	is.NoErr(err)
	is.Equal(conflict.ExitCode, ctl.ExitConflict)
	history, err := d.RunCtl(ctx, "config", "history")
	is.NoErr(err)
	var rows []struct{ Operation string }
	is.NoErr(json.Unmarshal(history.Stdout, &rows))
	is.Equal(rows, []struct{ Operation string }{{"op-4"}, {"op-3"}, {"op-2"}, {"op-1"}})
	stopDeployment(t, d)
}

// Guards against a graceful stop that aborts in-flight calls at the gate, and
// against an operator's drain after which the node process still runs.
func TestDrainCompletesInFlightCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	d := newTestDeployment(ctx, t, 180)
	drainedHost, entryHost := d.Layout.Hosts[0], d.Layout.Hosts[1]
	const callers = 12
	var tasks sync.WaitGroup
	stop, failedCalls := make(chan struct{}), make(chan string, callers)
	for range callers {
		tasks.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				outcome, err := callOutcome(ctx, entryHost)
				if err != nil || outcome != mesh.Answered.String() && outcome != mesh.NotRun.String() {
					failedCalls <- fmt.Sprintf("call during the drain: outcome %q, error %v", outcome, err)
					return
				}
			}
		})
	}
	drained, err := d.RunCtl(ctx, "drain", string(drainedHost.Name))
	is.NoErr(err)
	is.Equal(drained.ExitCode, ctl.ExitOK)
	select {
	case <-d.NodeProcess(drainedHost).Exited():
	case <-ctx.Done():
		t.Error("the drained node process still runs")
	}
	close(stop)
	tasks.Wait()
	close(failedCalls)
	for reason := range failedCalls {
		t.Error(reason)
	}
	is.NoErr(d.NodeProcess(drainedHost).exitErr)
	stopDeployment(t, d)
}
