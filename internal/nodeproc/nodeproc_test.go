package nodeproc

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// Guards against log lines that don't name the host and the failure domain of the
// node that wrote them.
func TestLoggerNamesNode(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := nodeLogger(slog.New(slog.NewTextHandler(&out, nil)), &settings.Node{Host: "ifrane-1", FailureDomain: "ifrane"})
	log.Info("draining")
	log.Debug("hidden")
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), "msg=draining host=ifrane-1 failure_domain=ifrane"))
}
