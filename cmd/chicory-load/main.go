// Command chicory-load sends calls at a fixed rate to nodes and, for comparison,
// directly to a backend server. It writes the latencies and the results of its
// checks as JSON and fails if an answer does not belong to its request.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/chicoryscale/chicoryscale/internal/cli"
	"github.com/chicoryscale/chicoryscale/internal/load"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

func main() {
	os.Exit(cli.Execute(cli.NewCommand("chicory-load",
		"Send calls at a fixed rate and report latency and checks", settings.ParseLoadGenerator, run)))
}

func run(ctx context.Context, s *settings.LoadGenerator, log *slog.Logger) error {
	log.Info("sending", "calls_per_s", s.RatePerSecond, "duration", s.Duration)
	report, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	if err := writeReport(s.Report, report); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	if s.Plot != "" {
		if err := writePlot(s.Plot, report); err != nil {
			return fmt.Errorf("write the plot: %w", err)
		}
	}
	if n := report.Wrong(); n > 0 {
		return fmt.Errorf("%d answers do not belong to their request", n)
	}
	return nil
}

func writeReport(path string, report *load.Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if path == "" {
		_, err = os.Stdout.Write(data)
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

func writePlot(path string, report *load.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteSVG(file), file.Close())
}
