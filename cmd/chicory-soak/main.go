// Command chicory-soak runs the programs under randomized faults and checks the
// system's guarantees by what callers and instances observe.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/soak"
)

// errViolated is the error of a run in which a guarantee was violated.
var errViolated = errors.New("guarantees were violated")

type flags struct {
	seed     uint64
	duration time.Duration
	hosts    int
	program  string
	keep     bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var f flags
	root := &cobra.Command{Use: "chicory-soak", Short: "Run the real programs under randomized faults", SilenceUsage: true}
	run := &cobra.Command{Use: "run", Short: "Run the schedule of one seed", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return runSeed(cmd, f)
	}}
	replay := &cobra.Command{Use: "replay SEED", Short: "Run the schedule of a seed and keep its logs", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		seed, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return err
		}
		f.seed, f.keep = seed, true
		return runSeed(cmd, f)
	}}
	list := &cobra.Command{Use: "list", Short: "Print the schedule of a seed", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(soak.Schedule(f.seed, f.duration, f.hosts))
	}}
	root.PersistentFlags().Uint64Var(&f.seed, "seed", 1, "seed of the schedule")
	root.PersistentFlags().DurationVar(&f.duration, "for", 45*time.Second, "duration of the run")
	root.PersistentFlags().IntVar(&f.hosts, "hosts", 4, "number of hosts, not counting the host of the new version")
	root.PersistentFlags().StringVar(&f.program, "program", "bin/chicory-sidecar", "path of chicory-sidecar")
	root.PersistentFlags().BoolVar(&f.keep, "keep", false, "keep settings, schedule and logs of a successful run too")
	root.AddCommand(run, replay, list)
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// runSeed runs the schedule of a seed and prints the summary. It keeps the files of
// the run if a guarantee was violated or --keep is set.
func runSeed(cmd *cobra.Command, f flags) error {
	program, err := filepath.Abs(f.program)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", fmt.Sprintf("chicory-soak-%d-", f.seed))
	if err != nil {
		return err
	}
	summary, err := soak.Run(cmd.Context(), soak.Options{Seed: f.seed, Length: f.duration, Hosts: f.hosts, Program: program, Dir: dir})
	if err != nil {
		return err
	}
	violated := len(summary.Broken) > 0
	if violated || f.keep {
		cmd.PrintErrf("settings, schedule and logs are in %s; to repeat the run: chicory-soak replay %d --for %v --hosts %d\n", dir, f.seed, f.duration, f.hosts)
	} else if err := os.RemoveAll(dir); err != nil {
		return err
	}
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(summary); err != nil {
		return err
	}
	if violated {
		return errViolated
	}
	return nil
}
