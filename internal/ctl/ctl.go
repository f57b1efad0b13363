// Package ctl implements the operator commands of chicoryctl. The commands send
// their requests by net/rpc to the control address of any node. The platform in
// comments and messages is the external table and object store that hold the
// accepted configurations and the moves.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/configcheck"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// format is an output format, a value of the flag --output.
type format string

const (
	formatText format = "text"
	formatJSON format = "json"
	formatHTML format = "html"
)

// app holds the values of the global flags, and the settings and the client that
// the commands share once loadSettings has run.
type app struct {
	settingsPath string
	output       string
	check        bool
	settings     *settings.Ctl
	client       *nodeClient
	// decode reads the configurations of the users' platform for `config check`.
	decode configcheck.Decoder
}

// New returns the root command with all subcommands. decode is the decoder of the users'
// platform, which this package doesn't know.
func New(decode configcheck.Decoder) *cobra.Command {
	a := &app{decode: decode}
	root := newCommandGroup("chicoryctl", "Operates a chicoryscale mesh", a.configCommand(), a.statusCommand(),
		a.classesCommand(), a.movesCommand(), a.nodesCommand(), a.drainCommand(), a.timelineCommand(), a.logsCommand())
	root.SilenceUsage, root.SilenceErrors = true, true
	runGroup := root.RunE
	root.RunE = func(cmd *cobra.Command, args []string) error {
		if a.check && len(args) == 0 {
			return a.checkSettings(cmd)
		}
		return runGroup(cmd, args)
	}
	root.Flags().BoolVar(&a.check, "check", false, "validate the settings and exit")
	root.PersistentFlags().StringVar(&a.settingsPath, "settings", "chicoryctl.toml", "path of the TOML settings")
	root.PersistentFlags().StringVar(&a.output, "output", string(formatText), "text or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(
		[]string{string(formatText), string(formatJSON)}, cobra.ShellCompDirectiveNoFileComp))
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return newUsageError("%v", err) })
	return root
}

// Execute runs the command, prints its error, if any, and returns the exit code.
func Execute(ctx context.Context, root *cobra.Command) int {
	err := root.ExecuteContext(ctx)
	if err != nil {
		root.PrintErrln("chicoryctl: " + err.Error())
	}
	return int(exitCodeOf(err))
}

// runWithSettings returns the RunE function of a command that sends requests to
// nodes. It checks the flag --output and loads the settings before it calls body.
func (a *app) runWithSettings(body func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := a.checkOutput(formatText, formatJSON); err != nil {
			return err
		}
		if err := a.loadSettings(); err != nil {
			return err
		}
		return body(cmd, args)
	}
}

// checkSettings validates the settings, as the flag --check of the other programs
// does.
func (a *app) checkSettings(cmd *cobra.Command) error {
	if err := a.loadSettings(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid\n", a.settingsPath)
	return err
}

// loadSettings reads the settings and creates the client for their nodes.
func (a *app) loadSettings() error {
	s, err := settings.Load(a.settingsPath, settings.ParseCtl)
	if err != nil {
		return newError(ExitUsage, "Name the settings file with --settings; docs/operators/settings.md describes it.", "%v", err)
	}
	a.settings = s
	a.client = &nodeClient{addrs: s.Nodes, timeout: s.Timeout}
	return nil
}

func (a *app) checkOutput(allowed ...format) error {
	for _, f := range allowed {
		if a.output == string(f) {
			return nil
		}
	}
	return newUsageError("--output is %q, want one of %q", a.output, allowed)
}

// print writes a result as JSON, or calls writeText if the output format is text.
func (a *app) print(cmd *cobra.Command, result any, writeText func(w io.Writer) error) error {
	out := cmd.OutOrStdout()
	if a.output == string(formatJSON) {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	return writeText(out)
}

// writeTable writes the rows in aligned columns. The first row is the header.
func writeTable(w io.Writer, rows [][]string) error {
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(columns, "\t")
			}
			_, _ = fmt.Fprint(columns, cell)
		}
		_, _ = fmt.Fprintln(columns)
	}
	return columns.Flush()
}

// exactArgs requires one argument for each name.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return newUsageError("expected the arguments %q, got %q", names, args)
		}
		return nil
	}
}

// newCommandGroup returns a command that only holds subcommands and fails when it
// is called without one.
func newCommandGroup(use, short string, children ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ArbitraryArgs, RunE: func(_ *cobra.Command, args []string) error {
		if len(args) > 0 {
			return newUsageError("unknown command %q", args[0])
		}
		return newUsageError("a subcommand is required")
	}}
	cmd.AddCommand(children...)
	return cmd
}
