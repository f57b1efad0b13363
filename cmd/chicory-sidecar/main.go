// Command chicory-sidecar is the only process of the system next to each instance
// on the users' platform. It is the entry node for clients and the gate to the
// instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/chicoryscale/chicoryscale/internal/sidecar"
	"github.com/chicoryscale/chicoryscale/platform"
)

func main() {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use: "chicory-sidecar", Short: "Routes requests as the sidecar of an instance on the users' platform", Args: cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			if check {
				_, err := loadSettings(path)
				return err
			}
			return run(path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file")
	cmd.Flags().BoolVar(&check, "check", false, "validate the settings and exit")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

func loadSettings(path string) (sidecar.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return sidecar.Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return platform.ParseSettings(text)
}

// gcPercent is lower than Go's default of 100, which saves memory at the cost of
// processor time: some hosts have as little as 184 MB of memory, while a node uses
// a tenth of the processor time that it may use.
const gcPercent = 50

func run(path string) error {
	debug.SetGCPercent(gcPercent)
	settings, err := loadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(settings.HeapBytes())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := sidecar.NewLog(os.Stdout)
	defer log.Close(context.Background())
	log.With("host", string(settings.Host), "failure_domain", string(settings.Domain))
	node, err := sidecar.New(settings, platform.NewAdapter(settings.StoreAddr), log)
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go node.WatchSettings(ctx, reload, func() (sidecar.Settings, error) { return loadSettings(path) })
	return node.Run(ctx)
}
