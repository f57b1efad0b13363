package ctl

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/membership"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/runtime"
	"github.com/chicoryscale/chicoryscale/internal/timeline"
)

// maxConcurrentReads bounds the number of timelines that are read at the same
// time.
const maxConcurrentReads = 32

// timelineFlags are the flags of `timeline`.
type timelineFlags struct {
	version, move, host, call string
}

func (a *app) timelineCommand() *cobra.Command {
	var flags timelineFlags
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Merges the events of all nodes in causal order",
		Long:  "Merges the events of all known nodes in causal order. --output is text, json or html.",
		Args:  exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := a.checkOutput(formatText, formatJSON, formatHTML); err != nil {
				return err
			}
			if err := a.loadSettings(); err != nil {
				return err
			}
			return a.printTimeline(cmd, &flags)
		},
	}
	cmd.Flags().StringVar(&flags.version, "version", "", "only events of this configuration version, such as 12 or v12")
	cmd.Flags().StringVar(&flags.move, "move", "", "only events of this move")
	cmd.Flags().StringVar(&flags.host, "host", "", "only events recorded by or about this host")
	cmd.Flags().StringVar(&flags.call, "call", "", "only events of the call with this request identity")
	_ = cmd.RegisterFlagCompletionFunc("host", a.completeHosts)
	return cmd
}

func (a *app) printTimeline(cmd *cobra.Command, flags *timelineFlags) error {
	filter := timeline.Filter{Move: mesh.MoveID(flags.move), Host: mesh.HostID(flags.host), Call: flags.call}
	if flags.version != "" {
		version, err := strconv.ParseUint(strings.TrimPrefix(flags.version, "v"), 10, 64)
		if err != nil || version == 0 {
			return newUsageError("--version is %q, want a version number from 1 upwards", flags.version)
		}
		filter.Config = mesh.ConfigVersion(version)
	}
	list, err := a.members(cmd.Context())
	if err != nil {
		return err
	}
	entries, warnings := a.collectTimelines(cmd.Context(), list, filter)
	for _, warning := range warnings {
		cmd.PrintErrln("chicoryctl: " + warning)
	}
	switch format(a.output) {
	case formatJSON:
		return timeline.WriteJSON(cmd.OutOrStdout(), entries)
	case formatHTML:
		return timeline.WriteHTML(cmd.OutOrStdout(), entries)
	default:
		return timeline.WriteText(cmd.OutOrStdout(), entries)
	}
}

// collectTimelines reads the timelines of all alive and suspect nodes and returns
// the entries in causal order. The second result has a warning for each node that
// did not answer or has dropped older entries.
func (a *app) collectTimelines(ctx context.Context, list memberList, filter timeline.Filter) ([]timeline.Entry, []string) {
	rings, warnings := make([][]timeline.Entry, len(list)), make([]string, len(list))
	semaphore := make(chan struct{}, maxConcurrentReads)
	var tasks sync.WaitGroup
	for i, member := range list {
		if member.State != membership.Alive.String() && member.State != membership.Suspect.String() {
			continue
		}
		semaphore <- struct{}{}
		tasks.Go(func() {
			defer func() { <-semaphore }()
			attemptCtx, cancel := context.WithTimeout(ctx, a.settings.Timeout)
			defer cancel()
			reply, err := FetchTimeline(attemptCtx, member.ControlAddr, runtime.TimelineRequest{Filter: filter})
			switch {
			case err != nil:
				warnings[i] = fmt.Sprintf("cannot read the timeline of %s: %v", member.Host, err)
				return
			case reply.Dropped > 0:
				warnings[i] = fmt.Sprintf("%s has dropped its %d oldest entries", member.Host, reply.Dropped)
			}
			rings[i] = reply.Entries
		})
	}
	tasks.Wait()
	var nonEmpty []string
	for _, warning := range warnings {
		if warning != "" {
			nonEmpty = append(nonEmpty, warning)
		}
	}
	return timeline.Merge(rings...), nonEmpty
}
