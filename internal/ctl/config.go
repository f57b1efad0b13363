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
	return newCommandGroup("config", "Validates, compares, applies and lists configurations",
		a.validateCommand(), a.checkCommand(), a.diffCommand(), a.applyCommand(), a.historyCommand())
}

// validateResult is the output of `config validate`.
type validateResult struct {
	File   string        `json:"file"`
	Valid  bool          `json:"valid"`
	Hash   config.Hash   `json:"hash,omitempty"`
	Faults config.Faults `json:"faults"`
}

func (a *app) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Checks a configuration file without contacting a node",
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
			result := validateResult{File: args[0], Valid: err == nil, Faults: config.Faults{}}
			if err != nil {
				result.Faults = faults
			} else {
				result.Hash = content.Hash
			}
			if printErr := a.print(cmd, result, result.writeText); printErr != nil {
				return printErr
			}
			return invalidFileError(err)
		},
	}
}

func (v *validateResult) writeText(w io.Writer) error {
	if v.Valid {
		_, err := fmt.Fprintf(w, "%s: valid, hash %s\n", v.File, v.Hash)
		return err
	}
	_, err := fmt.Fprintln(w, v.Faults.Error())
	return err
}

// invalidFileError returns the error of a command that has already printed the
// faults of the file, nil if err is nil.
func invalidFileError(err error) error {
	if err == nil {
		return nil
	}
	return newError(ExitRejected, "Correct the faults and repeat the command.", "the configuration is invalid")
}

// readConfig reads, validates and encodes a configuration file. If the content is
// invalid, the error is of type config.Faults.
func readConfig(path string) (*config.Accepted, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, newError(ExitUsage, "", "read configuration: %v", err)
	}
	snapshot, err := config.ParseTOML(path, data)
	if err != nil {
		return nil, err
	}
	return config.Accept(snapshot)
}

// readValidConfig reads a configuration file for a command that needs a valid one.
// It converts faults into an error with the code ExitRejected.
func readValidConfig(path string) (*config.Accepted, error) {
	content, err := readConfig(path)
	var faults config.Faults
	if errors.As(err, &faults) {
		return nil, newError(ExitRejected, "Correct the faults and repeat the command. Nothing was changed.", "%s", faults.Error())
	}
	return content, err
}

// diffResult is the output of `config diff`. Version is the version in force that
// the file is compared with.
type diffResult struct {
	Version mesh.ConfigVersion `json:"version"`
	Changes []config.Change    `json:"changes"`
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Lists the changes from the configuration in force to a configuration file",
		Args:  exactArgs("FILE"),
		RunE: a.runWithSettings(func(cmd *cobra.Command, args []string) error {
			content, err := readValidConfig(args[0])
			if err != nil {
				return err
			}
			status, current, err := a.configInForce(cmd)
			if err != nil {
				return err
			}
			d := diffResult{Version: status.Applied.Version, Changes: config.Diff(current, content.Snapshot)}
			if d.Changes == nil {
				d.Changes = []config.Change{}
			}
			return a.print(cmd, d, d.writeText)
		}),
	}
}

func (d *diffResult) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d changes against %v\n", len(d.Changes), d.Version)
	for _, c := range d.Changes {
		_, _ = fmt.Fprintf(w, "%s %s\n", c.Kind, c.Resource)
		for _, f := range c.Fields {
			_, err = fmt.Fprintf(w, "  %s: %q -> %q\n", f.Field, f.Old, f.New)
		}
	}
	return err
}

// configInForce returns the status of a node and the configuration in force on it.
// The snapshot is empty if no configuration has been accepted yet.
func (a *app) configInForce(cmd *cobra.Command) (*core.Status, *config.Snapshot, error) {
	reply, err := a.client.send(cmd.Context(), core.OperatorRequest{Status: &core.StatusRequest{WithSnapshot: true}})
	if err != nil {
		return nil, nil, err
	}
	if !reply.Status.FloorKnown {
		return nil, nil, newError(ExitUnavailable, "Repeat the command when the platform or another failure domain is reachable.",
			"node %s does not know the current version yet", reply.Status.Host)
	}
	if len(reply.Status.Snapshot) == 0 {
		return reply.Status, &config.Snapshot{}, nil
	}
	snapshot, err := config.Decode(reply.Status.Snapshot)
	return reply.Status, snapshot, err
}

// historyRow is one row of the output of `config history`.
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
		RunE: a.runWithSettings(func(cmd *cobra.Command, _ []string) error {
			reply, err := a.client.send(cmd.Context(), core.OperatorRequest{History: &core.HistoryRequest{Limit: limit}})
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
			return a.print(cmd, rows, func(w io.Writer) error { return writeHistory(w, rows) })
		}),
	}
	cmd.Flags().IntVar(&limit, "limit", defaultHistoryRows, "number of versions, 1 to 200")
	return cmd
}

func writeHistory(w io.Writer, rows []historyRow) error {
	lines := [][]string{{"VERSION", "TIME", "OPERATOR", "OPERATION", "HASH", "NOTE"}}
	for _, r := range rows {
		lines = append(lines, []string{r.Version.String(), r.Time.Format(time.RFC3339), r.Operator, r.Operation, r.Hash, strconv.Quote(r.Note)})
	}
	return writeTable(w, lines)
}
