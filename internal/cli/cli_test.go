package cli

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// Guards against a program that runs with invalid settings, that runs at all
// under --check, or whose exit code hides a failure.
func TestServerExitCodes(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.toml"), filepath.Join(dir, "bad.toml")
	for path, text := range map[string]string{good: "address = \"127.0.0.1:7900\"\n", bad: "address = 1\nother = 2\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		args    []string
		failure error
		code    int
		ran     bool
		output  string
	}{
		{[]string{"--settings", good}, nil, ExitOK, true, ""},
		{[]string{"--settings", good}, errors.New("port in use"), ExitFailure, true, "port in use"},
		{[]string{"--settings", good, "--check"}, nil, ExitOK, false, "settings are valid"},
		{[]string{"--settings", bad}, nil, ExitUsage, false, "bad.toml:2: other"},
		{[]string{"--settings", filepath.Join(dir, "none")}, nil, ExitUsage, false, "read settings"},
		{[]string{"--other"}, nil, ExitUsage, false, "unknown flag"},
		{nil, nil, ExitUsage, false, "--settings is required"},
		{[]string{"more"}, nil, ExitUsage, false, "unknown command"},
	} {
		is := is.New(t)
		ran := false
		cmd := Server("test", "", settings.ParsePlatform, func(context.Context, *settings.Platform, *slog.Logger) error {
			ran = true
			return c.failure
		})
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SetArgs(append([]string{}, c.args...))
		is.Equal(Execute(cmd), c.code)
		is.Equal(ran, c.ran)
		is.True(strings.Contains(out.String(), c.output))
	}
}
