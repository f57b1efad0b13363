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
		Short: "Merges the logs of many nodes in time order",
		Long:  "Merges the JSON logs of many nodes in time order. With --request it shows the path of one request through the nodes.",
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, files []string) error {
			if len(files) == 0 {
				return newUsageError("at least one log file is required")
			}
			readers := make([]io.Reader, 0, len(files))
			for _, name := range files {
				f, err := os.Open(name)
				if err != nil {
					return newUsageError("%v", err)
				}
				defer func() { _ = f.Close() }() // the file is only read, so no data can be lost
				readers = append(readers, f)
			}
			skipped, err := logmerge.Merge(cmd.OutOrStdout(), filter, readers...)
			if skipped > 0 {
				cmd.PrintErrf("chicoryctl: skipped %d lines that are not JSON log records with a time\n", skipped)
			}
			return err
		},
	}
	cmd.Flags().StringVar(&filter.Request, "request", "", "only lines about the request with this ID")
	cmd.Flags().StringVar(&filter.Kind, "kind", "", "only lines whose kind has this prefix, such as rollout.")
	cmd.Flags().StringVar(&filter.Host, "host", "", "only lines written by this host")
	return cmd
}
