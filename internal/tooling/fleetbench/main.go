// Command fleetbench measures how the cost of a node grows with the number of
// nodes. For each size it runs real nodes on loopback, each under an address of
// its own, and measures memory, processor time, control bytes and connections
// over a steady window, the time from `config apply` to the last node in force,
// and the load on the platform when all nodes are killed and start again. It
// prints JSON lines: one for each size and run, then one fit for each quantity.
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

// maxProcesses bounds the processes of a run, for the sake of the machine.
const maxProcesses = 200

// options are the flags of the command.
type options struct {
	binaries string
	sizes    []int
	domains  int
	// settle is the time between the first configuration and the window.
	settle   time.Duration
	window   time.Duration
	changes  int
	runs     int
	backends bool
	// results names a file of earlier output. It is fitted without a run.
	results string
}

func main() {
	var o options
	flag.StringVar(&o.binaries, "bin", "bin", "directory of the built programs")
	sizes := flag.String("sizes", "6,12,24,48,96", "numbers of nodes")
	flag.IntVar(&o.domains, "domains", 3, "number of failure domains")
	flag.DurationVar(&o.settle, "settle", 10*time.Second, "time between the first configuration and the steady window")
	flag.DurationVar(&o.window, "window", 10*time.Second, "time over which the steady state is measured")
	flag.IntVar(&o.changes, "changes", 5, "number of changes of configuration")
	flag.IntVar(&o.runs, "runs", 1, "number of runs of each size")
	flag.BoolVar(&o.backends, "backends", false, "run a small backend server on each host")
	flag.StringVar(&o.results, "fit", "", "file of earlier output to fit, without a run")
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
	perHost := 1
	if o.backends {
		perHost = 2
	}
	for _, text := range strings.Split(list, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("size %q: %w", text, err)
		}
		if size < o.domains || size*perHost >= maxProcesses {
			return fmt.Errorf("size %d: want at least %d nodes and fewer than %d processes", size, o.domains, maxProcesses)
		}
		o.sizes = append(o.sizes, size)
	}
	return nil
}

func run(ctx context.Context, o *options) error {
	if o.results != "" {
		results, err := readResults(o.results)
		if err != nil {
			return err
		}
		return printFits(results)
	}
	var results []*result
	for number := 1; number <= o.runs; number++ {
		for _, size := range o.sizes {
			r, err := measureSize(ctx, o, size)
			if err != nil {
				return fmt.Errorf("%d nodes, run %d: %w", size, number, err)
			}
			r.Run = number
			results = append(results, r)
			if err := printJSON(r); err != nil {
				return err
			}
		}
	}
	return printFits(results)
}

func printFits(results []*result) error {
	for _, line := range fitAll(results) {
		if err := printJSON(line); err != nil {
			return err
		}
	}
	return nil
}

// readResults reads the results from output of the command and ignores its
// fits.
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
		return nil, fmt.Errorf("read %s: it holds no results", name)
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
