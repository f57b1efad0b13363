// Command chicoryctl is the command-line tool for operators of a mesh.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chicoryscale/chicoryscale/internal/ctl"
	"github.com/chicoryscale/chicoryscale/platform"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Execute(ctx, ctl.New(platform.DecodeForCheck))
}
