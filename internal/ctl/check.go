package ctl

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/configcheck"
)

// checkResult is the output of `config check`.
type checkResult struct {
	File     string                `json:"file"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Findings []configcheck.Finding `json:"findings"`
	Against  *againstResult        `json:"against,omitempty"`
}

// againstResult is the comparison with the version in force. Compared is false if the
// form of the new file has errors; the comparison would then report what could not be
// decoded as removed.
type againstResult struct {
	File     string               `json:"file"`
	Version  uint64               `json:"version"`
	Compared bool                 `json:"compared"`
	Changes  []configcheck.Change `json:"changes"`
}

func (a *app) checkCommand() *cobra.Command {
	var against string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Checks a configuration of the users' platform without contacting a node",
		Args:  exactArgs("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := a.checkOutput(formatText, formatJSON); err != nil {
				return err
			}
			result, err := a.checkFiles(args[0], against)
			if err != nil {
				return err
			}
			if err := a.print(cmd, result, result.writeText); err != nil {
				return err
			}
			return result.exitError()
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "file with the version in force, to list what differs")
	return cmd
}

// checkFiles checks a file and compares it with the one in force unless against is empty.
func (a *app) checkFiles(path, against string) (*checkResult, error) {
	next, findings, err := a.decodeFile(path)
	if err != nil {
		return nil, err
	}
	compared := configcheck.Count(findings, configcheck.Error) == 0
	result := &checkResult{File: path}
	findings = append(findings, configcheck.Check(next)...)
	if against != "" {
		inForce, faults, err := a.decodeFile(against)
		if err != nil {
			return nil, err
		}
		for _, f := range faults {
			if f.Severity == configcheck.Error {
				return nil, newError(ExitUsage, "Name the version in force with --against; hosts accept only files without errors.",
					"%s:%d:%d: %s", against, f.Line, f.Column, f.Message)
			}
		}
		result.Against = &againstResult{File: against, Version: inForce.Version.Value, Compared: compared, Changes: []configcheck.Change{}}
		if compared {
			changes, versionFindings := configcheck.Compare(inForce, next)
			result.Against.Changes = append(result.Against.Changes, changes...)
			findings = append(findings, versionFindings...)
		}
	}
	configcheck.Sort(findings)
	result.Findings = append([]configcheck.Finding{}, findings...)
	result.Errors = configcheck.Count(findings, configcheck.Error)
	result.Warnings = configcheck.Count(findings, configcheck.Warning)
	return result, nil
}

func (a *app) decodeFile(path string) (*configcheck.Configuration, []configcheck.Finding, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, newError(ExitUsage, "", "read configuration: %v", err)
	}
	config, findings := a.decode(text)
	return config, findings, nil
}

func (r *checkResult) writeText(w io.Writer) error {
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(w, "%s:%d:%d: %s: %s [%s]\n", r.File, f.Line, f.Column, f.Severity, f.Message, f.Rule)
	}
	r.Against.writeText(w)
	_, err := fmt.Fprintf(w, "%s, %s\n", countText(r.Errors, "error"), countText(r.Warnings, "warning"))
	return err
}

func (a *againstResult) writeText(w io.Writer) {
	if a == nil {
		return
	}
	if !a.Compared {
		_, _ = fmt.Fprintf(w, "not compared with %s: correct the errors first\n", a.File)
		return
	}
	_, _ = fmt.Fprintf(w, "%s against version %d (%s)\n", countText(len(a.Changes), "change"), a.Version, a.File)
	for _, c := range a.Changes {
		text := fmt.Sprintf("  %s: %s", c.Entry, c.Kind)
		if c.Kind == configcheck.Changed {
			text = fmt.Sprintf("  %s: %s", c.Entry, c.Message)
		}
		if c.Line > 0 {
			text += fmt.Sprintf(" (line %d)", c.Line)
		}
		_, _ = fmt.Fprintln(w, text)
	}
}

func countText(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return fmt.Sprintf("%d %s", n, noun)
}

// exitError returns the error that carries the exit code, nil without findings.
func (r *checkResult) exitError() error {
	switch {
	case r.Errors > 0:
		return newError(ExitFailure, "Correct the errors before the configuration is written to the store.", "the configuration has errors")
	case r.Warnings > 0:
		return newError(ExitWarnings, "Hosts accept the configuration; check that it is meant so.", "the configuration has warnings")
	default:
		return nil
	}
}
