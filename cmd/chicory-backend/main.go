// Command chicory-backend is a backend server for development.
package main

import (
	"context"
	"log/slog"
	"net"
	"os"

	"github.com/chicoryscale/chicoryscale/internal/backend"
	"github.com/chicoryscale/chicoryscale/internal/cli"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// exitCrash is the exit code of a process that crashes on purpose because it
// received a request with the crash marker.
const exitCrash = 3

func main() {
	os.Exit(cli.Execute(cli.NewCommand("chicory-backend", "Development backend server", settings.ParseBackend, run)))
}

func run(ctx context.Context, s *settings.Backend, log *slog.Logger) error {
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	log = log.With("instance", s.Instance, "version", s.Version)
	log.Info("serving", "address", s.Address)
	server := backend.New(backend.Options{Settings: s, Log: log, Crash: func() { os.Exit(exitCrash) }})
	return server.Run(ctx, ln)
}
