package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	_ "embed"

	"github.com/chicoryscale/chicoryscale/internal/ctl"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/runtime"
	"github.com/chicoryscale/chicoryscale/internal/timeline"
	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

//go:embed config.toml
var configText string

// appliedKind is the kind of the timeline entry that a node records when it
// applies a configuration version.
const appliedKind = "config.applied"

// domainNames holds the names of the failure domains. A fleet uses the first ones
// and cannot have more.
var domainNames = [...]mesh.FailureDomain{"ifrane", "azrou", "sefrou", "boulemane"}

// initialKeepReadySeconds is the value of keep_ready_s in the first
// configuration. Each further version raises it by one second, so that every
// version differs.
const initialKeepReadySeconds = 600

// apply applies the next configuration with chicoryctl and returns the time
// from the start of the command until the last node has applied it.
func (f *fleet) apply(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	text := strings.ReplaceAll(configText, "KEEP_READY", fmt.Sprint(initialKeepReadySeconds+f.submittedCount))
	file, err := f.WriteFile(fmt.Sprintf("config-%d.toml", f.submittedCount), text)
	if err != nil {
		return 0, err
	}
	f.submittedCount++
	startTime := time.Now()
	output, err := f.RunCtl(ctx, "config", "apply", file)
	if err != nil {
		return 0, err
	}
	if output.ExitCode != ctl.ExitOK {
		return 0, fmt.Errorf("config apply: exit code %d: %s", output.ExitCode, output.Stderr)
	}
	var accepted struct{ Version mesh.ConfigVersion }
	if err := json.Unmarshal(output.Stdout, &accepted); err != nil {
		return 0, fmt.Errorf("config apply: decode the output of chicoryctl: %w", err)
	}
	f.newestVersion = accepted.Version
	if err := f.waitApplied(ctx, f.newestVersion); err != nil {
		return 0, err
	}
	last, err := f.lastAppliedTime(ctx)
	return last.Sub(startTime), err
}

// waitApplied waits until all nodes have applied a version or a later one.
func (f *fleet) waitApplied(ctx context.Context, version mesh.ConfigVersion) error {
	for _, h := range f.Layout.Hosts {
		err := deploy.Wait(ctx, "host "+string(h.Name), func() error {
			status, err := f.Status(ctx, h)
			if err == nil && status.Applied.Version < version {
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

// lastAppliedTime reads from the nodes' timelines when the last node applied the
// newest version. All nodes share this machine's clock, so the times are
// comparable and do not depend on how often the nodes are polled.
func (f *fleet) lastAppliedTime(ctx context.Context) (time.Time, error) {
	var last time.Time
	request := runtime.TimelineRequest{Filter: timeline.Filter{Config: f.newestVersion}}
	for _, h := range f.Layout.Hosts {
		reply, err := ctl.FetchTimeline(ctx, h.ControlAddr, request)
		if err != nil {
			return last, fmt.Errorf("read the timeline of host %s: %w", h.Name, err)
		}
		found := false
		for i := range reply.Entries {
			if e := &reply.Entries[i]; e.Kind == appliedKind {
				found = true
				if appliedAt := time.Unix(0, int64(e.Clock.Wall())); appliedAt.After(last) {
					last = appliedAt
				}
			}
		}
		if !found {
			return last, fmt.Errorf("timeline of host %s has no %s entry of %v", h.Name, appliedKind, f.newestVersion)
		}
	}
	return last, nil
}
