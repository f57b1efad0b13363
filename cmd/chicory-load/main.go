// Command chicory-load sends calls at a fixed rate to nodes, and for comparison
// to a backend server, and reports latency and checks as JSON.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/load"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Exit codes.
const (
	exitFailed = 1 // the run could not be made
	exitWrong  = 2 // an answer did not belong to its request
)

var errWrong = errors.New("an answer did not belong to its request")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "chicory-load:", err)
		if errors.Is(err, errWrong) {
			os.Exit(exitWrong)
		}
		os.Exit(exitFailed)
	}
}

// flags holds the values that do not map to load.Options directly.
type flags struct {
	domain            string
	readPath          string
	writePath         string
	bodyBytes         int
	writeShare        int
	resendShare       float64
	jsonFile, svgFile string
	check             bool
}

func command() *cobra.Command {
	o, f := new(load.Options), new(flags)
	cmd := &cobra.Command{
		Use:           "chicory-load --node ADDR [--node ADDR ...]",
		Short:         "Send calls at a fixed rate and report latency and checks",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f.apply(o)
			if f.check {
				return o.Check()
			}
			report, err := load.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			return f.write(cmd.OutOrStdout(), report)
		},
	}
	s := cmd.Flags()
	s.StringSliceVar(&o.Nodes, "node", nil, "call address of a node; may be repeated")
	s.StringVar(&o.Direct, "direct", "", "address of a backend server for the paired comparison")
	s.StringVar(&f.domain, "domain", "", "failure domain in the identities of requests")
	s.Float64Var(&o.Rate, "rate", 200, "calls per second")
	s.DurationVar(&o.Duration, "duration", 10*time.Second, "time for which calls are started")
	s.DurationVar(&o.Timeout, "timeout", 2*time.Second, "deadline of a call")
	s.IntVar(&o.MaxInFlight, "max-in-flight", 2000, "limit of calls in progress")
	s.Uint64Var(&o.Seed, "seed", 1, "seed of the choice of classes, nodes and resends")
	s.StringVar(&f.readPath, "read-path", "/", "path of idempotent calls (GET)")
	s.StringVar(&f.writePath, "write-path", "", "path of non-idempotent calls (POST); none if empty")
	s.IntVar(&f.bodyBytes, "body-bytes", 512, "size of the body of non-idempotent calls")
	s.IntVar(&f.writeShare, "write-share", 20, "share of non-idempotent calls in percent, 1 to 99")
	s.Float64Var(&f.resendShare, "resend-share", 0, "share of non-idempotent calls, 0 to 1, sent again to another node")
	s.StringVar(&f.jsonFile, "json", "", "file for the report; standard output if empty")
	s.StringVar(&f.svgFile, "svg", "", "file for the latency plot; none if empty")
	s.BoolVar(&f.check, "check", false, "check the settings and exit")
	return cmd
}

func (f *flags) apply(o *load.Options) {
	o.Domain = mesh.FailureDomain(f.domain)
	read := load.ClassSpec{Name: "idempotent", Method: "GET", Path: f.readPath, Weight: 1}
	if f.writePath == "" {
		o.Classes = []load.ClassSpec{read}
		return
	}
	read.Weight = 100 - f.writeShare
	o.Classes = []load.ClassSpec{read, {
		Name: "non-idempotent", Method: "POST", Path: f.writePath, BodyBytes: f.bodyBytes,
		Weight: f.writeShare, ResendShare: f.resendShare,
	}}
}

func (f *flags) write(stdout io.Writer, report *load.Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if f.jsonFile == "" {
		_, err = stdout.Write(data)
	} else {
		err = os.WriteFile(f.jsonFile, data, 0o644)
	}
	if err == nil && f.svgFile != "" {
		err = writeSVG(f.svgFile, report)
	}
	if err != nil {
		return err
	}
	return checkAnswers(report)
}

func writeSVG(name string, report *load.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteSVG(file), file.Close())
}

func checkAnswers(report *load.Report) error {
	for _, series := range append(report.Nodes, report.Direct...) {
		if series.Counts.Wrong > 0 {
			return fmt.Errorf("class %q: %d answers: %w", series.Class, series.Counts.Wrong, errWrong)
		}
	}
	return nil
}
