package main

import (
	"context"
	"fmt"
	"time"

	_ "embed"

	"github.com/chicoryscale/chicoryscale/internal/ctl"
	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

//go:embed config.toml
var configText string

const (
	// startTimeout bounds the start of all processes, stopTimeout the graceful
	// stop of each.
	startTimeout = 20 * time.Second
	stopTimeout  = 8 * time.Second
	// warmup is the time before the measurement in which connections are opened
	// and the cold-start ramp ends.
	warmup = 3 * time.Second
	// zeroServiceTime holds settings of a backend server that answers without
	// spending time in a slot, so that the measured latency is that of the path.
	zeroServiceTime = "slots = 130\n[service_time]\nmean_ms = 0"
)

// path is a path through nodes to a backend server: the caller sends to nodeAddr,
// or directly to backendAddr for comparison.
type path struct {
	name, nodeAddr, backendAddr string
}

// startDeployment starts two nodes in one failure domain, each with a backend
// server of a different service, and returns the paths to the backend server of
// the first node: through this node alone, and through both nodes.
func startDeployment(ctx context.Context, d *deploy.Deployment) ([]path, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	gateHost, entryHost := d.Layout.AddHost("ifrane"), d.Layout.AddHost("ifrane")
	gateHost.AddBackend("roof-works", "2.4.0", zeroServiceTime)
	entryHost.AddBackend("depot", "1.8.0", zeroServiceTime)
	if err := d.StartPlatform(ctx); err != nil {
		return nil, err
	}
	for _, h := range d.Layout.Hosts {
		if err := d.StartNode(h); err != nil {
			return nil, err
		}
		if err := d.StartBackend(h, &h.Backends[0]); err != nil {
			return nil, err
		}
	}
	if err := d.WaitJoined(ctx, d.Layout.Hosts, len(d.Layout.Hosts)); err != nil {
		return nil, err
	}
	if err := apply(ctx, d); err != nil {
		return nil, err
	}
	backendAddr := gateHost.Backends[0].Addr
	return []path{{"one node", gateHost.CallAddr, backendAddr}, {"two nodes", entryHost.CallAddr, backendAddr}}, nil
}

// apply applies the configuration and waits until all nodes have applied it.
func apply(ctx context.Context, d *deploy.Deployment) error {
	file, err := d.WriteFile("config.toml", configText)
	if err != nil {
		return err
	}
	result, err := d.RunCtl(ctx, "config", "apply", file)
	if err != nil {
		return err
	}
	if result.ExitCode != ctl.ExitOK {
		return fmt.Errorf("apply the configuration: exit code %d: %s", result.ExitCode, result.Stderr)
	}
	return deploy.Wait(ctx, "all nodes to apply the configuration", func() error {
		for _, h := range d.Layout.Hosts {
			status, err := d.Status(ctx, h)
			if err != nil {
				return err
			}
			if status.Applied.Version == 0 {
				return fmt.Errorf("the node of host %s has not applied a configuration", h.Name)
			}
		}
		return nil
	})
}

// loadSettings returns the settings of chicory-load for the path.
func (p *path) loadSettings(rate float64, window time.Duration, report, plot string) string {
	return fmt.Sprintf(`failure_domain = "ifrane"
targets = [%q]
direct = %q
rate_per_s = %g
duration_s = %d
warmup_s = %d
report = %q
plot = %q

[[requests]]
name = "survey"
path = "/roofs/12"
service = "roof-works"
`, p.nodeAddr, p.backendAddr, rate, int((warmup+window)/time.Second), int(warmup/time.Second), report, plot)
}
