package telemetry

import (
	"io"
	"log/slog"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// NewLogger returns a logger that writes one JSON line per state change, with
// the host and its failure domain on each.
func NewLogger(w io.Writer, level slog.Level, host mesh.HostID, domain mesh.FailureDomain) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("node", string(host), "domain", string(domain))
}
