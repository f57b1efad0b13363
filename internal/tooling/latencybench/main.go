// Command latencybench measures the latency that nodes add to calls. It runs
// two nodes and their backend servers as processes on loopback and sends paired
// calls with chicory-load: through one node or two, and directly to the backend
// server that answers both. It prints one JSON object for each path and rate.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/load"
	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

// options are the flags of the command.
type options struct {
	binDir string
	rates  []float64
	// window is the measured time of each path and rate.
	window time.Duration
	runs   int
	// outputDir is the directory for reports, plots and logs. If it is empty, a
	// temporary directory is used and removed at the end.
	outputDir string
}

func main() {
	var o options
	flag.StringVar(&o.binDir, "bin", "bin", "directory of the built programs")
	rates := flag.String("rates", "200,1000", "calls per second")
	flag.DurationVar(&o.window, "window", 5*time.Second, "measured time of each path and rate, in whole seconds")
	flag.IntVar(&o.runs, "runs", 1, "number of runs of each path and rate")
	flag.StringVar(&o.outputDir, "keep", "", "directory for reports, plots and logs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := o.parseRates(*rates)
	if err == nil {
		err = run(ctx, &o)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "latencybench:", err)
		os.Exit(1)
	}
}

func (o *options) parseRates(list string) error {
	for _, text := range strings.Split(list, ",") {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("rate %q: %w", text, err)
		}
		o.rates = append(o.rates, rate)
	}
	return nil
}

// result is one line of the output. Latencies are in milliseconds.
type result struct {
	Path     string  `json:"path"`
	Rate     float64 `json:"rate_per_s"`
	Run      int     `json:"run"`
	Calls    int64   `json:"calls"`
	Answered int64   `json:"answered"`
	Wrong    int64   `json:"wrong"`
	// Through is the latency of the calls through the nodes, Direct that of the
	// direct calls to the backend server.
	Through  load.Latency `json:"through"`
	Direct   load.Latency `json:"direct"`
	AddedP50 float64      `json:"added_p50_ms"`
	AddedP99 float64      `json:"added_p99_ms"`
}

func run(ctx context.Context, o *options) error {
	dir, err := o.createOutputDir()
	if err != nil {
		return err
	}
	if o.outputDir == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	layout, err := deploy.NewLayout(os.Getpid())
	if err != nil {
		return err
	}
	d := deploy.New(layout, dir, o.binDir)
	defer d.Kill()
	paths, err := startDeployment(ctx, d)
	if err != nil {
		return err
	}
	for runNumber := 1; runNumber <= o.runs; runNumber++ {
		for _, rate := range o.rates {
			for i := range paths {
				if err := measure(ctx, d, o, &paths[i], rate, runNumber); err != nil {
					return err
				}
			}
		}
	}
	return d.Stop(stopTimeout)
}

func (o *options) createOutputDir() (string, error) {
	if o.outputDir != "" {
		return o.outputDir, os.MkdirAll(o.outputDir, 0o755)
	}
	return os.MkdirTemp("", "chicory-latency-")
}

// measure sends pairs of calls, one over the path and one directly to the backend
// server, and prints the result.
func measure(ctx context.Context, d *deploy.Deployment, o *options, p *path, rate float64, runNumber int) error {
	name := fmt.Sprintf("load-%s-%g-%d", strings.ReplaceAll(p.name, " ", "-"), rate, runNumber)
	report, plot := filepath.Join(d.Dir, name+".json"), filepath.Join(d.Dir, name+".svg")
	if err := d.RunLoad(ctx, name, p.loadSettings(rate, o.window, report, plot)); err != nil {
		return err
	}
	data, err := os.ReadFile(report)
	if err != nil {
		return err
	}
	var r load.Report
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("decode the report of %s: %w", name, err)
	}
	if r.AddedP50 == nil || r.AddedP99 == nil {
		return fmt.Errorf("report of %s: no call was answered: %s", name, data)
	}
	through, direct := r.Nodes[0], r.Direct[0]
	line, err := json.Marshal(result{
		Path: p.name, Rate: rate, Run: runNumber, Calls: through.Counts.Sent, Answered: through.Counts.Answered,
		Wrong: r.Wrong(), Through: through.Latency, Direct: direct.Latency, AddedP50: *r.AddedP50, AddedP99: *r.AddedP99,
	})
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}
