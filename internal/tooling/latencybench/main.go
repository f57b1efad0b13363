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
	binaries string
	rates    []float64
	// window is the measured time of each path and rate.
	window time.Duration
	runs   int
	// keep is a directory for reports, plots and logs. Empty stands for a
	// temporary one.
	keep string
}

func main() {
	var o options
	flag.StringVar(&o.binaries, "bin", "bin", "directory of the built programs")
	rates := flag.String("rates", "200,1000", "calls per second")
	flag.DurationVar(&o.window, "window", 5*time.Second, "measured time of each path and rate, in whole seconds")
	flag.IntVar(&o.runs, "runs", 1, "number of runs of each path and rate")
	flag.StringVar(&o.keep, "keep", "", "directory for reports, plots and logs")
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
	Path     string       `json:"path"`
	Rate     float64      `json:"rate_per_s"`
	Run      int          `json:"run"`
	Calls    int64        `json:"calls"`
	Answered int64        `json:"answered"`
	Wrong    int64        `json:"wrong"`
	Through  load.Latency `json:"through"`
	Direct   load.Latency `json:"direct"`
	AddedP50 float64      `json:"added_p50_ms"`
	AddedP99 float64      `json:"added_p99_ms"`
}

func run(ctx context.Context, o *options) error {
	dir, err := o.directory()
	if err != nil {
		return err
	}
	if o.keep == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	layout, err := deploy.NewLayout(os.Getpid())
	if err != nil {
		return err
	}
	d := deploy.New(layout, dir, o.binaries)
	defer d.Kill()
	paths, err := start(ctx, d)
	if err != nil {
		return err
	}
	for number := 1; number <= o.runs; number++ {
		for _, rate := range o.rates {
			for i := range paths {
				if err := measure(ctx, d, o, &paths[i], rate, number); err != nil {
					return err
				}
			}
		}
	}
	return d.Stop(stopLimit)
}

func (o *options) directory() (string, error) {
	if o.keep != "" {
		return o.keep, os.MkdirAll(o.keep, 0o755)
	}
	return os.MkdirTemp("", "chicory-latency-")
}

// measure sends paired calls over a path and prints the result.
func measure(ctx context.Context, d *deploy.Deployment, o *options, p *path, rate float64, number int) error {
	name := fmt.Sprintf("load-%s-%g-%d", strings.ReplaceAll(p.name, " ", "-"), rate, number)
	report, plot := filepath.Join(d.Dir, name+".json"), filepath.Join(d.Dir, name+".svg")
	if err := d.RunLoad(ctx, name, p.settings(rate, o.window, report, plot)); err != nil {
		return err
	}
	data, err := os.ReadFile(report)
	if err != nil {
		return err
	}
	var r load.Report
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("report of %s: %w", name, err)
	}
	if r.AddedP50 == nil || r.AddedP99 == nil {
		return fmt.Errorf("report of %s: no call was answered: %s", name, data)
	}
	through, direct := r.Nodes[0], r.Direct[0]
	line, err := json.Marshal(result{
		Path: p.name, Rate: rate, Run: number, Calls: through.Counts.Sent, Answered: through.Counts.Answered,
		Wrong: r.Wrong(), Through: through.Latency, Direct: direct.Latency, AddedP50: *r.AddedP50, AddedP99: *r.AddedP99,
	})
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}
