package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/configcheck"
	"github.com/chicoryscale/chicoryscale/internal/jsonpos"
)

// decodeForTest decodes a file that holds one letter for each entry: s is a service, t a
// tenant without keys, r a route to a missing service. The version is the length of the
// file. Any other letter is malformed.
func decodeForTest(text []byte) (*configcheck.Configuration, []configcheck.Finding) {
	c := &configcheck.Configuration{}
	var findings []configcheck.Finding
	for i, letter := range string(text) {
		at := configcheck.Position{Line: 1, Column: i + 1}
		entry := configcheck.Entry{Number: i + 1, At: at, Name: configcheck.Field[string]{Value: string(letter), At: at}}
		switch letter {
		case 's':
			entry.Kind = configcheck.KindService
			c.Services = append(c.Services, configcheck.Service{Entry: entry})
		case 't':
			entry.Kind = configcheck.KindTenant
			c.Tenants = append(c.Tenants, configcheck.Tenant{Entry: entry})
		case 'r':
			entry.Kind = configcheck.KindRoute
			c.Routes = append(c.Routes, configcheck.Route{Entry: entry})
		default:
			findings = append(findings, configcheck.NewFinding(configcheck.Error, configcheck.RuleSyntax, at, "malformed"))
		}
	}
	c.Version = configcheck.Field[uint64]{Value: uint64(len(text)), At: jsonpos.Position{Line: 1, Column: 1}}
	return c, findings
}

// Guards against an exit code that lets a script send a configuration with errors, or
// that can't be told from a failure to read the files.
func TestCheckExitCodes(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct {
		next, inForce string
		want          ExitCode
		output        string
	}{
		{"s", "", ExitOK, "0 errors, 0 warnings"},
		{"st", "", ExitWarnings, "FILE:1:2: warning: tenant \"t\" has no key, so no request can belong to it [no-keys]\n0 errors, 1 warning\n"},
		{"sr", "", ExitFailure, "FILE:1:2: error: route \"r\": host is missing [missing]\n"},
		{"x", "", ExitFailure, "FILE:1:1: error: malformed [syntax]\n1 error, 0 warnings"},
		{"st", "s", ExitWarnings, "1 change against version 1 (AGAINST)\n  tenant \"t\": added (line 1)\n"},
		{"s", "st", ExitFailure, "FILE:1:1: error: version 1 isn't higher than version 2 in force; hosts would ignore it [version]\n" +
			"1 change against version 2 (AGAINST)\n  tenant \"t\": removed\n"},
		{"xx", "s", ExitFailure, "not compared with AGAINST"},
		{"x", "ss", ExitFailure, "1 error, 0 warnings"}, // none about the version
		{"s", "x", ExitUsage, "AGAINST:1:1: malformed"},
	} {
		next, inForce := filepath.Join(dir, "next"), filepath.Join(dir, "in-force")
		args := []string{"config", "check", next}
		if c.inForce != "" {
			args = append(args, "--against", inForce)
		}
		for path, text := range map[string]string{next: c.next, inForce: c.inForce} {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		code, out := executeCommand(t, "127.0.0.1:1", args...)
		want := strings.NewReplacer("FILE", next, "AGAINST", inForce).Replace(c.output)
		if code != c.want || !strings.Contains(out, want) {
			t.Errorf("%q against %q: exit code %d, want %d, output %q, want %q", c.next, c.inForce, code, c.want, out, want)
		}
	}
	if code, _ := executeCommand(t, "127.0.0.1:1", "config", "check", filepath.Join(dir, "missing")); code != ExitUsage {
		t.Errorf("missing file: exit code %d", code)
	}
}

// Guards against JSON output that scripts can't read, such as null for an empty list.
func TestCheckOutputsJSON(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "next")
	is.NoErr(os.WriteFile(path, []byte("s"), 0o600))
	code, out := executeCommand(t, "127.0.0.1:1", "config", "check", path, "--against", path, "--output", "json")
	is.Equal(code, ExitWarnings)
	out, _, _ = strings.Cut(out, "chicoryctl:") // the error output
	var result checkResult
	is.NoErr(json.Unmarshal([]byte(out), &result))
	is.Equal(result.Warnings, 1)
	is.Equal(result.Findings[0].Rule, configcheck.RuleVersion)
	is.True(strings.Contains(out, `"changes": []`))
}
