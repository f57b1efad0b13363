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

// executeCommand runs a command with settings that list a single node, whose
// control address is addr. It returns the exit code and the output.
func executeCommand(t *testing.T, addr string, args ...string) (ExitCode, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ctl.toml")
	settings := "nodes = [\"" + addr + "\"]\noperator = \"amal\"\ntimeout_ms = 100\n"
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	root := New(decodeForTest)
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
	code, out := executeCommand(t, "127.0.0.1:1", "config", "validate", path)
	is.Equal(code, ExitRejected)
	is.True(strings.Contains(out, "bad.toml:2: failure_domains[0].name"))
	is.True(strings.Contains(out, "bad.toml:5: services[0].size: is not a known key"))
	code, out = executeCommand(t, "127.0.0.1:1", "config", "validate", path, "--output", "json")
	is.Equal(code, ExitRejected)
	is.True(strings.Contains(out, `"line": 5`))
}

// Guards against invalid settings that are found only when a command contacts a
// node.
func TestCheckValidatesTheSettings(t *testing.T) {
	is := is.New(t)
	code, out := executeCommand(t, "127.0.0.1:1", "--check")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "settings are valid"))
	code, _ = executeCommand(t, "localhost:1", "--check")
	is.Equal(code, ExitUsage)
}

// Guards against usage errors that are reported with another exit code, against a
// command that reports an uncertain result although no connection was opened, and
// against one that reports that nothing was changed although a node was reached.
func TestExitCodes(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refusing.Close()
	defer func() { _ = unresponsive.Close() }()
	for _, c := range []struct {
		addr string
		args []string
		want ExitCode
	}{
		{refusing.Addr().String(), []string{"status"}, ExitUnavailable},
		{refusing.Addr().String(), []string{"moves", "withdraw", "m"}, ExitUnavailable},
		{unresponsive.Addr().String(), []string{"status"}, ExitUnavailable},
		{unresponsive.Addr().String(), []string{"moves", "withdraw", "m"}, ExitUnsettled},
		{unresponsive.Addr().String(), []string{"moves", "start", "--service", "s", "--from", "1", "--to", "2", "--deadline", "1h"}, ExitUnsettled},
		{unresponsive.Addr().String(), []string{"moves", "start", "--service", "s"}, ExitUsage},
		{unresponsive.Addr().String(), []string{"nodes", "remove"}, ExitUsage},
		{unresponsive.Addr().String(), []string{"nothing"}, ExitUsage},
		{unresponsive.Addr().String(), []string{"config"}, ExitUsage},
		{unresponsive.Addr().String(), []string{"status", "--output", "xml"}, ExitUsage},
		{unresponsive.Addr().String(), []string{"timeline", "--version", "x"}, ExitUsage},
		{unresponsive.Addr().String(), []string{"logs"}, ExitUsage},
		{unresponsive.Addr().String(), []string{"logs", "testdata/missing.log"}, ExitUsage},
	} {
		code, out := executeCommand(t, c.addr, c.args...)
		if code != c.want {
			t.Errorf("%v: exit code %d, want %d: %s", c.args, code, c.want, out)
		}
	}
}

// Guards against a node's reply to `config apply` or to a move command that is
// reported with the exit code of another result.
func TestExitCodesOfReplies(t *testing.T) {
	is := is.New(t)
	for status, want := range map[publish.Status]ExitCode{
		publish.Done: ExitOK, publish.Conflict: ExitConflict, publish.Rejected: ExitRejected,
		publish.Unavailable: ExitUnavailable, publish.Unsettled: ExitUnsettled, publish.Failed: ExitFailure,
	} {
		is.Equal(exitCodeOf(publishError(&publish.Reply{Status: status}, "op")), want)
	}
	err := publishError(&publish.Reply{Status: publish.Conflict, Version: 7}, "op")
	is.True(strings.Contains(err.Error(), "v7"))
	is.Equal(exitCodeOf(moveError(&core.OperatorReply{})), ExitOK)
	is.Equal(exitCodeOf(moveError(&core.OperatorReply{Err: "x", Refusal: core.RefusalConflict})), ExitConflict)
	is.Equal(exitCodeOf(moveError(&core.OperatorReply{Err: "x", Refusal: core.RefusalInvalid})), ExitRejected)
	is.Equal(exitCodeOf(moveError(&core.OperatorReply{Err: "x", Refusal: core.RefusalUnsettled})), ExitUnsettled)
}

// Guards against a deadline that is parsed in the wrong unit, and against a
// deadline in the past that is accepted.
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
		is.Equal(exitCodeOf(err), ExitUsage)
	}
}

// Guards against a version that is reported as in force on all hosts while some
// hosts do not have it.
func TestInForceIsComplete(t *testing.T) {
	is := is.New(t)
	is.True(!(&inForceStatus{}).complete())
	partial := inForceStatus{Version: 3, Hosts: 1, Total: 2, Missing: []mesh.HostID{"ifrane-1"}}
	is.True(!partial.complete())
	is.Equal(partial.String(), "v3 in force on 1 of 2, missing: ifrane-1")
	is.True((&inForceStatus{Hosts: 2, Total: 2}).complete())
}
