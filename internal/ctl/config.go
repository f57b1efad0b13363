package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const defaultHistoryRows = 20

func (a *app) configCommand() *cobra.Command {
	return group("config", "Validates, compares, applies and lists configurations",
		a.validateCommand(), a.diffCommand(), a.applyCommand(), a.historyCommand())
}

// validation is the result of `config validate`.
type validation struct {
	File   string        `json:"file"`
	Valid  bool          `json:"valid"`
	Hash   config.Hash   `json:"hash,omitempty"`
	Faults config.Faults `json:"faults"`
}

func (a *app) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Checks a configuration file without any node",
		Args:  exactArgs("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := a.checkOutput(formatText, formatJSON); err != nil {
				return err
			}
			content, err := readConfig(args[0])
			var faults config.Faults
			if err != nil && !errors.As(err, &faults) {
				return err
			}
			result := validation{File: args[0], Valid: err == nil, Faults: config.Faults{}}
			if err != nil {
				result.Faults = faults
			} else {
				result.Hash = content.Hash
			}
			if printErr := a.print(cmd, result, result.text); printErr != nil {
				return printErr
			}
			return rejectedFile(err)
		},
	}
}

func (v *validation) text(w io.Writer) error {
	if v.Valid {
		_, err := fmt.Fprintf(w, "%s: valid, hash %s\n", v.File, v.Hash)
		return err
	}
	_, err := fmt.Fprintln(w, v.Faults.Error())
	return err
}

// rejectedFile is the error of a command that has printed the file's faults.
func rejectedFile(err error) error {
	if err == nil {
		return nil
	}
	return fail(ExitRejected, "Correct the faults and repeat the command.", "the configuration is invalid")
}

// readConfig reads and accepts a configuration file. Faults of the content are
// of type config.Faults.
func readConfig(path string) (*config.Accepted, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail(ExitUsage, "", "read configuration: %v", err)
	}
	snapshot, err := config.ParseTOML(path, data)
	if err != nil {
		return nil, err
	}
	return config.Accept(snapshot)
}

// readValidConfig reads a configuration for commands that need a valid one.
func readValidConfig(path string) (*config.Accepted, error) {
	content, err := readConfig(path)
	var faults config.Faults
	if errors.As(err, &faults) {
		return nil, fail(ExitRejected, "Correct the faults and repeat the command. Nothing was changed.", "%s", faults.Error())
	}
	return content, err
}

// difference is the result of `config diff`.
type difference struct {
	Version mesh.ConfigVersion `json:"version"`
	Changes []config.Change    `json:"changes"`
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Lists what a configuration file changes in the configuration in force",
		Args:  exactArgs("FILE"),
		RunE: a.run(func(cmd *cobra.Command, args []string) error {
			content, err := readValidConfig(args[0])
			if err != nil {
				return err
			}
			status, inForce, err := a.inForce(cmd)
			if err != nil {
				return err
			}
			d := difference{Version: status.Applied.Version, Changes: config.Diff(inForce, content.Snapshot)}
			if d.Changes == nil {
				d.Changes = []config.Change{}
			}
			return a.print(cmd, d, d.text)
		}),
	}
}

func (d *difference) text(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d changes against %v\n", len(d.Changes), d.Version)
	for _, c := range d.Changes {
		_, _ = fmt.Fprintf(w, "%s %s\n", c.Kind, c.Resource)
		for _, f := range c.Fields {
			_, err = fmt.Fprintf(w, "  %s: %q -> %q\n", f.Field, f.Old, f.New)
		}
	}
	return err
}

// inForce returns the status and the configuration in force on a node. The
// snapshot is empty before the first configuration.
func (a *app) inForce(cmd *cobra.Command) (*core.Status, *config.Snapshot, error) {
	reply, err := a.nodes.ask(cmd.Context(), core.OperatorRequest{Status: &core.StatusRequest{WithSnapshot: true}})
	if err != nil {
		return nil, nil, err
	}
	if !reply.Status.FloorKnown {
		return nil, nil, fail(ExitUnavailable, "Repeat the command when the platform or another failure domain is reachable.",
			"node %s does not know the current version yet", reply.Status.Host)
	}
	if len(reply.Status.Snapshot) == 0 {
		return reply.Status, &config.Snapshot{}, nil
	}
	snapshot, err := config.Decode(reply.Status.Snapshot)
	return reply.Status, snapshot, err
}

// historyRow is one row of `config history`.
type historyRow struct {
	Version   mesh.ConfigVersion `json:"version"`
	Hash      string             `json:"hash"`
	Operation string             `json:"operation"`
	Time      time.Time          `json:"time"`
	Operator  string             `json:"operator"`
	Note      string             `json:"note"`
}

func (a *app) historyCommand() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Lists the accepted versions, newest first",
		Args:  exactArgs(),
		RunE: a.run(func(cmd *cobra.Command, _ []string) error {
			reply, err := a.nodes.ask(cmd.Context(), core.OperatorRequest{History: &core.HistoryRequest{Limit: limit}})
			if err != nil {
				return err
			}
			if err := historyError(reply); err != nil {
				return err
			}
			rows := []historyRow{}
			for _, h := range reply.Publish.History {
				rows = append(rows, historyRow{h.Version, h.Hash, h.Writer, time.Unix(0, int64(h.Time)).UTC(), h.Operator, h.Note})
			}
			return a.print(cmd, rows, func(w io.Writer) error { return historyText(w, rows) })
		}),
	}
	cmd.Flags().IntVar(&limit, "limit", defaultHistoryRows, "number of versions, 1 to 200")
	return cmd
}

func historyText(w io.Writer, rows []historyRow) error {
	lines := [][]string{{"VERSION", "TIME", "OPERATOR", "OPERATION", "HASH", "NOTE"}}
	for _, r := range rows {
		lines = append(lines, []string{r.Version.String(), r.Time.Format(time.RFC3339), r.Operator, r.Operation, r.Hash, strconv.Quote(r.Note)})
	}
	return table(w, lines)
}
