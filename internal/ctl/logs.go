package ctl

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/logmerge"
)

func (a *app) logsCommand() *cobra.Command {
	var filter logmerge.Filter
	cmd := &cobra.Command{
		Use:   "logs FILE...",
		Short: "Merges the logs of many nodes in order of time",
		Long:  "Merges the JSON logs of many nodes in order of time. With --request it shows the way of one request.",
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, files []string) error {
			if len(files) == 0 {
				return usage("want at least one log file")
			}
			logs := make([]io.Reader, 0, len(files))
			for _, name := range files {
				f, err := os.Open(name)
				if err != nil {
					return usage("%v", err)
				}
				defer func() { _ = f.Close() }() // was only read
				logs = append(logs, f)
			}
			unread, err := logmerge.Merge(cmd.OutOrStdout(), filter, logs...)
			if unread > 0 {
				cmd.PrintErrf("chicoryctl: %d lines are not structured and left out\n", unread)
			}
			return err
		},
	}
	cmd.Flags().StringVar(&filter.Request, "request", "", "only lines about the request with this identity")
	cmd.Flags().StringVar(&filter.Kind, "kind", "", "only lines whose kind starts so, such as rollout.")
	cmd.Flags().StringVar(&filter.Host, "host", "", "only lines of this host")
	return cmd
}
