// Package ctl holds the operator commands of chicoryctl. They talk net/rpc to
// the control address of any node.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// format is a format of the output.
type format string

const (
	formatText format = "text"
	formatJSON format = "json"
	formatHTML format = "html"
)

// app holds what all commands share.
type app struct {
	settingsPath string
	output       string
	check        bool
	settings     *settings.Ctl
	nodes        *nodes
}

// New returns the root command.
func New() *cobra.Command {
	a := &app{}
	root := group("chicoryctl", "Operates a chicoryscale mesh", a.configCommand(), a.statusCommand(),
		a.classesCommand(), a.movesCommand(), a.nodesCommand(), a.drainCommand(), a.timelineCommand(), a.logsCommand())
	root.SilenceUsage, root.SilenceErrors = true, true
	withoutCommand := root.RunE
	root.RunE = func(cmd *cobra.Command, args []string) error {
		if a.check && len(args) == 0 {
			return a.checkSettings(cmd)
		}
		return withoutCommand(cmd, args)
	}
	root.Flags().BoolVar(&a.check, "check", false, "validate the settings and exit")
	root.PersistentFlags().StringVar(&a.settingsPath, "settings", "chicoryctl.toml", "path of the TOML settings")
	root.PersistentFlags().StringVar(&a.output, "output", string(formatText), "text or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(
		[]string{string(formatText), string(formatJSON)}, cobra.ShellCompDirectiveNoFileComp))
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage("%v", err) })
	return root
}

// Execute runs the command, prints its error and returns the exit code.
func Execute(ctx context.Context, root *cobra.Command) int {
	err := root.ExecuteContext(ctx)
	if err != nil {
		root.PrintErrln("chicoryctl: " + err.Error())
	}
	return int(codeOf(err))
}

// run wraps the body of a command that talks to nodes.
func (a *app) run(body func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := a.checkOutput(formatText, formatJSON); err != nil {
			return err
		}
		if err := a.load(); err != nil {
			return err
		}
		return body(cmd, args)
	}
}

// checkSettings validates the settings, as --check of the other programs does.
func (a *app) checkSettings(cmd *cobra.Command) error {
	if err := a.load(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid\n", a.settingsPath)
	return err
}

// load reads the settings.
func (a *app) load() error {
	s, err := settings.Load(a.settingsPath, settings.ParseCtl)
	if err != nil {
		return fail(ExitUsage, "Name the settings file with --settings; docs/operators/settings.md describes it.", "%v", err)
	}
	a.settings = s
	a.nodes = &nodes{addrs: s.Nodes, timeout: s.Timeout}
	return nil
}

func (a *app) checkOutput(allowed ...format) error {
	for _, f := range allowed {
		if a.output == string(f) {
			return nil
		}
	}
	return usage("--output is %q, want one of %q", a.output, allowed)
}

// print writes a result as JSON, or as text with the given function.
func (a *app) print(cmd *cobra.Command, result any, text func(w io.Writer) error) error {
	out := cmd.OutOrStdout()
	if a.output == string(formatJSON) {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	return text(out)
}

// table writes aligned columns, the first row being the header.
func table(w io.Writer, rows [][]string) error {
	aligned := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(aligned, "\t")
			}
			_, _ = fmt.Fprint(aligned, cell)
		}
		_, _ = fmt.Fprintln(aligned)
	}
	return aligned.Flush()
}

// exactArgs requires the named arguments.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return usage("want the arguments %q, have %q", names, args)
		}
		return nil
	}
}

// group makes a command that only holds others.
func group(use, short string, children ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ArbitraryArgs, RunE: func(_ *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usage("unknown command %q", args[0])
		}
		return usage("a subcommand is required")
	}}
	cmd.AddCommand(children...)
	return cmd
}
