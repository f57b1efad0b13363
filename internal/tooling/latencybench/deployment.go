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
	// startLimit bounds the start of all processes, stopLimit the graceful stop
	// of each.
	startLimit = 20 * time.Second
	stopLimit  = 8 * time.Second
	// warmup lets connections open and the cold-start ramp end.
	warmup = 3 * time.Second
	// instant is a line of a backend server's settings: an answer takes no
	// time in a slot, so that the latency is that of the path.
	instant = "slots = 130\n[service_time]\nmean_ms = 0"
)

// path is a way from the caller to a backend server.
type path struct {
	name, entry, backend string
}

// start starts two nodes in one failure domain, each with a backend server of
// its own service, and returns the paths to the first one.
func start(ctx context.Context, d *deploy.Deployment) ([]path, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	gate, entry := d.Layout.AddHost("ifrane"), d.Layout.AddHost("ifrane")
	gate.AddBackend("roof-works", "2.4.0", instant)
	entry.AddBackend("depot", "1.8.0", instant)
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
	backend := gate.Backends[0].Addr
	return []path{{"one node", gate.CallAddr, backend}, {"two nodes", entry.CallAddr, backend}}, nil
}

// apply applies the configuration and waits until it is in force.
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
	return deploy.Wait(ctx, "the configuration", func() error {
		for _, h := range d.Layout.Hosts {
			status, err := d.Status(ctx, h)
			if err != nil {
				return err
			}
			if status.Applied.Version == 0 {
				return fmt.Errorf("host %s has applied nothing", h.Name)
			}
		}
		return nil
	})
}

// settings returns the settings of chicory-load.
func (p *path) settings(rate float64, window time.Duration, report, plot string) string {
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
`, p.entry, p.backend, rate, int((warmup+window)/time.Second), int(warmup/time.Second), report, plot)
}
