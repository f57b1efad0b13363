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

// maxCollectors bounds the nodes that are asked at the same time.
const maxCollectors = 32

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
			if err := a.load(); err != nil {
				return err
			}
			return a.timeline(cmd, &flags)
		},
	}
	cmd.Flags().StringVar(&flags.version, "version", "", "only events of this configuration version, such as 12 or v12")
	cmd.Flags().StringVar(&flags.move, "move", "", "only events of this move")
	cmd.Flags().StringVar(&flags.host, "host", "", "only events recorded by or about this host")
	cmd.Flags().StringVar(&flags.call, "call", "", "only events of this call")
	_ = cmd.RegisterFlagCompletionFunc("host", a.completeHosts)
	return cmd
}

func (a *app) timeline(cmd *cobra.Command, flags *timelineFlags) error {
	filter := timeline.Filter{Move: mesh.MoveID(flags.move), Host: mesh.HostID(flags.host), Call: flags.call}
	if flags.version != "" {
		version, err := strconv.ParseUint(strings.TrimPrefix(flags.version, "v"), 10, 64)
		if err != nil || version == 0 {
			return usage("--version is %q, want a number from 1 on", flags.version)
		}
		filter.Config = mesh.ConfigVersion(version)
	}
	list, err := a.members(cmd.Context())
	if err != nil {
		return err
	}
	entries, notes := a.collect(cmd.Context(), list, filter)
	for _, note := range notes {
		cmd.PrintErrln("chicoryctl: " + note)
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

// collect reads the timelines of all live nodes. Nodes without an answer and
// nodes that have lost older entries are named in the notes.
func (a *app) collect(ctx context.Context, list memberList, filter timeline.Filter) ([]timeline.Entry, []string) {
	rings, notes := make([][]timeline.Entry, len(list)), make([]string, len(list))
	free := make(chan struct{}, maxCollectors)
	var tasks sync.WaitGroup
	for i, member := range list {
		if member.State != membership.Alive.String() && member.State != membership.Suspect.String() {
			continue
		}
		free <- struct{}{}
		tasks.Go(func() {
			defer func() { <-free }()
			attempt, cancel := context.WithTimeout(ctx, a.settings.Timeout)
			defer cancel()
			reply, err := FetchTimeline(attempt, member.ControlAddr, runtime.TimelineRequest{Filter: filter})
			switch {
			case err != nil:
				notes[i] = fmt.Sprintf("the timeline of %s is missing: %v", member.Host, err)
				return
			case reply.Dropped > 0:
				notes[i] = fmt.Sprintf("%s has dropped its %d oldest entries", member.Host, reply.Dropped)
			}
			rings[i] = reply.Entries
		})
	}
	tasks.Wait()
	var kept []string
	for _, note := range notes {
		if note != "" {
			kept = append(kept, note)
		}
	}
	return timeline.Merge(rings...), kept
}
