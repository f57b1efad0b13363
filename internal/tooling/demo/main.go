// Command demo runs the Fès deployment as processes on loopback under load. It
// changes the configuration, starts two moves, kills and restarts a node, makes
// the platform unavailable for a time, and then checks the system's guarantees.
// Its last line of output is a JSON report.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/tooling/deploy"
)

// demoTimeout bounds the whole demo.
const demoTimeout = 58 * time.Second

func main() {
	binDir := flag.String("bin", "bin", "directory of the built programs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, *binDir))
}

// run runs the demo in a temporary directory, which is kept on failure.
func run(ctx context.Context, binDir string) int {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "chicory-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	layout, err := deploy.NewLayout(os.Getpid())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	d := newDemo(layout, deploy.New(layout, dir, binDir))
	defer d.deployment.Kill()
	d.run(ctx)
	report := d.report()
	line, err := json.Marshal(report)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if len(report.Failures) == 0 {
		_ = os.RemoveAll(dir)
		fmt.Println(string(line))
		return 0
	}
	fmt.Printf("settings and logs are kept in %s\n%s\n", dir, line)
	return 1
}
