// Command chicory-platform is a development server that stands in for the
// platform's table and object store. It keeps its state in memory only.
package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/cli"
	"github.com/chicoryscale/chicoryscale/internal/platform/standin"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

func main() {
	os.Exit(cli.Execute(cli.NewCommand("chicory-platform",
		"Development server of the platform's table and object store", settings.ParsePlatform, run)))
}

func run(ctx context.Context, s *settings.Platform, log *slog.Logger) error {
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	server := standin.New(standin.Options{Log: log, Now: time.Now, Connections: s.Connections})
	log.Info("serving", "address", s.Address)
	return server.Run(ctx, ln)
}
