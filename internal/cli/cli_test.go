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

// Guards against a program that runs with invalid settings, that runs although
// --check is given, or whose exit code hides a failure.
func TestCommandExitCodes(t *testing.T) {
	dir := t.TempDir()
	validPath, invalidPath := filepath.Join(dir, "good.toml"), filepath.Join(dir, "bad.toml")
	for path, text := range map[string]string{validPath: "address = \"127.0.0.1:7900\"\n", invalidPath: "address = 1\nother = 2\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		args       []string
		runErr     error
		wantCode   int
		wantRun    bool
		wantOutput string
	}{
		{[]string{"--settings", validPath}, nil, ExitOK, true, ""},
		{[]string{"--settings", validPath}, errors.New("port in use"), ExitFailure, true, "port in use"},
		{[]string{"--settings", validPath, "--check"}, nil, ExitOK, false, "settings are valid"},
		{[]string{"--settings", invalidPath}, nil, ExitUsage, false, "bad.toml:2: other"},
		{[]string{"--settings", filepath.Join(dir, "none")}, nil, ExitUsage, false, "read settings"},
		{[]string{"--other"}, nil, ExitUsage, false, "unknown flag"},
		{nil, nil, ExitUsage, false, "--settings is required"},
		{[]string{"more"}, nil, ExitUsage, false, "unknown command"},
	} {
		is := is.New(t)
		ran := false
		cmd := NewCommand("test", "", settings.ParsePlatform, func(context.Context, *settings.Platform, *slog.Logger) error {
			ran = true
			return c.runErr
		})
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SetArgs(append([]string{}, c.args...))
		is.Equal(Execute(cmd), c.wantCode)
		is.Equal(ran, c.wantRun)
		is.True(strings.Contains(out.String(), c.wantOutput))
	}
}
