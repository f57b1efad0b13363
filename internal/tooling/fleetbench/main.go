// Command fleetbench measures how the cost of a node grows with the number of
// nodes. For each size it runs real nodes on loopback, each with its own address,
// and measures memory, CPU time, control bytes and connections over a window
// without changes, the time from `config apply` until the last node has applied
// the configuration, and the load on the platform when all nodes are killed and
// restarted. It prints JSON lines: one for each size and run, then the fitted line
// of each quantity over the number of nodes.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// maxProcesses bounds the processes of a run, to limit the load on the machine.
const maxProcesses = 200

// options are the flags of the command.
type options struct {
	binDir  string
	sizes   []int
	domains int
	// settleTime is the time between the first configuration and the steady
	// window.
	settleTime time.Duration
	window     time.Duration
	changes    int
	runs       int
	backends   bool
	// fitFile names a file with output of earlier runs. If it is set, no nodes are
	// run and only the fits of these results are printed.
	fitFile string
}

func main() {
	var o options
	flag.StringVar(&o.binDir, "bin", "bin", "directory of the built programs")
	sizes := flag.String("sizes", "6,12,24,48,96", "numbers of nodes")
	flag.IntVar(&o.domains, "domains", 3, "number of failure domains")
	flag.DurationVar(&o.settleTime, "settle", 10*time.Second, "time between the first configuration and the steady window")
	flag.DurationVar(&o.window, "window", 10*time.Second, "time over which the steady state is measured")
	flag.IntVar(&o.changes, "changes", 5, "number of changes of configuration")
	flag.IntVar(&o.runs, "runs", 1, "number of runs of each size")
	flag.BoolVar(&o.backends, "backends", false, "run a small backend server on each host")
	flag.StringVar(&o.fitFile, "fit", "", "file of earlier output to fit, without a run")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := o.parseSizes(*sizes)
	if err == nil {
		err = run(ctx, &o)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleetbench:", err)
		os.Exit(1)
	}
}

func (o *options) parseSizes(list string) error {
	if o.domains < 1 || o.domains > len(domainNames) {
		return fmt.Errorf("%d failure domains, want 1 to %d", o.domains, len(domainNames))
	}
	processesPerHost := 1
	if o.backends {
		processesPerHost = 2
	}
	for _, text := range strings.Split(list, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("size %q: %w", text, err)
		}
		if size < o.domains || size*processesPerHost >= maxProcesses {
			return fmt.Errorf("size %d: want at least %d nodes and fewer than %d processes", size, o.domains, maxProcesses)
		}
		o.sizes = append(o.sizes, size)
	}
	return nil
}

func run(ctx context.Context, o *options) error {
	if o.fitFile != "" {
		results, err := readResults(o.fitFile)
		if err != nil {
			return err
		}
		return printFits(results)
	}
	var results []*result
	for runNumber := 1; runNumber <= o.runs; runNumber++ {
		for _, size := range o.sizes {
			r, err := measureSize(ctx, o, size)
			if err != nil {
				return fmt.Errorf("%d nodes, run %d: %w", size, runNumber, err)
			}
			r.Run = runNumber
			results = append(results, r)
			if err := printJSON(r); err != nil {
				return err
			}
		}
	}
	return printFits(results)
}

func printFits(results []*result) error {
	for _, fitted := range fitQuantities(results) {
		if err := printJSON(fitted); err != nil {
			return err
		}
	}
	return nil
}

// readResults reads the results from earlier output of the command and skips the
// fits in it.
func readResults(name string) ([]*result, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var results []*result
	for decoder := json.NewDecoder(file); ; {
		r := new(result)
		if err := decoder.Decode(r); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
		if r.Nodes > 0 {
			results = append(results, r)
		}
	}
	if len(results) == 0 {
		return nil, fmt.Errorf("read %s: the file holds no results", name)
	}
	return results, nil
}

func printJSON(v any) error {
	line, err := json.Marshal(v)
	if err == nil {
		fmt.Println(string(line))
	}
	return err
}
