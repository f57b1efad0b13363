// Package cli holds the code that the main packages of the long-running programs
// share: the flags, loading the settings, signal handling and the exit codes.
package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// Exit codes of the programs.
const (
	ExitOK = 0
	// ExitFailure means that the program failed while it ran.
	ExitFailure = 1
	// ExitUsage means that the flags or the settings are invalid.
	ExitUsage = 2
)

// usageError marks errors in the flags, arguments or settings, for which Execute
// returns ExitUsage.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// RunFunc is the body of a program. Once ctx is cancelled, it stops the program
// gracefully and returns.
type RunFunc[T any] func(ctx context.Context, s *T, log *slog.Logger) error

// NewCommand returns the command of a program. The command loads the settings file
// given by --settings and calls run; with --check it only validates the settings.
func NewCommand[T any](name, short string, parse settings.Parse[T], run RunFunc[T]) *cobra.Command {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use:           name,
		Short:         short,
		Args:          noArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return usageError{errors.New("--settings is required")}
			}
			s, err := settings.Load(path, parse)
			if err != nil {
				return usageError{err}
			}
			if check {
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid\n", path)
				return err
			}
			log := slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil)).With("program", name)
			return run(cmd.Context(), s, log)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "path of the TOML settings")
	cmd.Flags().BoolVar(&check, "check", false, "validate the settings and exit")
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	return cmd
}

func noArgs(cmd *cobra.Command, args []string) error {
	if err := cobra.NoArgs(cmd, args); err != nil {
		return usageError{err}
	}
	return nil
}

// Execute runs the command and returns the exit code. SIGINT and SIGTERM cancel
// the command's context. An error is printed to the command's error output.
func Execute(cmd *cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	cmd.PrintErrln(err)
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailure
}
