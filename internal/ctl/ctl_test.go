package ctl

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/publish"
)

// execute runs a command in a directory with settings that name one address.
func execute(t *testing.T, addr string, args ...string) (ExitCode, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ctl.toml")
	settings := "nodes = [\"" + addr + "\"]\noperator = \"amal\"\ntimeout_ms = 100\n"
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	root := New()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(append(args, "--settings", path))
	return ExitCode(Execute(t.Context(), root)), out.String()
}

// Guards against a validation that stops at the first fault, that needs a node,
// or whose exit code hides the faults.
func TestValidateReportsAllFaults(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "bad.toml")
	is.NoErr(os.WriteFile(path, []byte("[[failure_domains]]\nname = \"A\"\n[[services]]\nname = \"s\"\nsize = 1\n"), 0o600))
	code, out := execute(t, "127.0.0.1:1", "config", "validate", path)
	is.Equal(code, ExitRejected)
	is.True(strings.Contains(out, "bad.toml:2: failure_domains[0].name"))
	is.True(strings.Contains(out, "bad.toml:5: services[0].size: is not a known key"))
	code, out = execute(t, "127.0.0.1:1", "config", "validate", path, "--output", "json")
	is.Equal(code, ExitRejected)
	is.True(strings.Contains(out, `"line": 5`))
}

// Guards against settings whose faults show only when a command needs a node.
func TestCheckValidatesTheSettings(t *testing.T) {
	is := is.New(t)
	code, out := execute(t, "127.0.0.1:1", "--check")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "settings are valid"))
	code, _ = execute(t, "localhost:1", "--check")
	is.Equal(code, ExitUsage)
}

// Guards against faulty usage that is reported with another code, and against a
// command that claims an uncertain result when no node was reached, or a
// certain one when a node was.
func TestExitCodes(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	defer func() { _ = silent.Close() }()
	for _, c := range []struct {
		addr string
		args []string
		want ExitCode
	}{
		{closed.Addr().String(), []string{"status"}, ExitUnavailable},
		{closed.Addr().String(), []string{"moves", "withdraw", "m"}, ExitUnavailable},
		{silent.Addr().String(), []string{"status"}, ExitUnavailable},
		{silent.Addr().String(), []string{"moves", "withdraw", "m"}, ExitUnsettled},
		{silent.Addr().String(), []string{"moves", "start", "--service", "s", "--from", "1", "--to", "2", "--deadline", "1h"}, ExitUnsettled},
		{silent.Addr().String(), []string{"moves", "start", "--service", "s"}, ExitUsage},
		{silent.Addr().String(), []string{"nodes", "remove"}, ExitUsage},
		{silent.Addr().String(), []string{"nothing"}, ExitUsage},
		{silent.Addr().String(), []string{"config"}, ExitUsage},
		{silent.Addr().String(), []string{"status", "--output", "xml"}, ExitUsage},
		{silent.Addr().String(), []string{"timeline", "--version", "x"}, ExitUsage},
		{silent.Addr().String(), []string{"logs"}, ExitUsage},
		{silent.Addr().String(), []string{"logs", "testdata/missing.log"}, ExitUsage},
	} {
		code, out := execute(t, c.addr, c.args...)
		if code != c.want {
			t.Errorf("%v: exit code %d, want %d: %s", c.args, code, c.want, out)
		}
	}
}

// Guards against a result of a publication or of a move's order that is
// reported as another one.
func TestResultsOfOrders(t *testing.T) {
	is := is.New(t)
	for status, want := range map[publish.Status]ExitCode{
		publish.Done: ExitOK, publish.Conflict: ExitConflict, publish.Rejected: ExitRejected,
		publish.Unavailable: ExitUnavailable, publish.Unsettled: ExitUnsettled, publish.Failed: ExitFailure,
	} {
		is.Equal(codeOf(publishError(&publish.Reply{Status: status}, "op")), want)
	}
	err := publishError(&publish.Reply{Status: publish.Conflict, Version: 7}, "op")
	is.True(strings.Contains(err.Error(), "v7"))
	is.Equal(codeOf(moveError(&core.OperatorReply{})), ExitOK)
	is.Equal(codeOf(moveError(&core.OperatorReply{Err: "x", Refusal: core.RefusalConflict})), ExitConflict)
	is.Equal(codeOf(moveError(&core.OperatorReply{Err: "x", Refusal: core.RefusalInvalid})), ExitRejected)
	is.Equal(codeOf(moveError(&core.OperatorReply{Err: "x", Refusal: core.RefusalUnsettled})), ExitUnsettled)
}

// Guards against a deadline that is read in another unit or has passed.
func TestParseDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 11, 2, 12, 0, 0, 0, time.UTC)
	for text, want := range map[string]time.Time{"30m": now.Add(30 * time.Minute), "2026-11-02T13:00:00Z": now.Add(time.Hour)} {
		got, err := parseDeadline(text, now)
		is.NoErr(err)
		is.True(got.Equal(want))
	}
	for _, text := range []string{"-1m", "0s", "2026-11-02T11:00:00Z", "soon"} {
		_, err := parseDeadline(text, now)
		is.Equal(codeOf(err), ExitUsage)
	}
}

// Guards against a version that counts as in force while hosts are missing.
func TestInForceIsComplete(t *testing.T) {
	is := is.New(t)
	is.True(!(&inForce{}).complete())
	partial := inForce{Version: 3, Hosts: 1, Total: 2, Missing: []mesh.HostID{"ifrane-1"}}
	is.True(!partial.complete())
	is.Equal(partial.String(), "v3 in force on 1 of 2, missing: ifrane-1")
	is.True((&inForce{Hosts: 2, Total: 2}).complete())
}
