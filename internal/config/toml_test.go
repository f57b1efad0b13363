package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against a parser that stops at the first fault, so that an operator
// finds one fault per run, and against a fault with the wrong line.
func TestParseTOMLReportsEveryFault(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/faults.toml")
	is.NoErr(err)
	_, err = ParseTOML("faults.toml", data)
	is.Equal(err.Error(), `faults.toml:4: failure_domains[1].name: "ifrane" is already the name of failure_domains[0]
faults.toml:7: services[0].name: "Roof works": want lower-case letters, digits, '-' and '_', with a letter or digit first
faults.toml:8: services[0].keep_ready_s: is 90000, want 0 to 86400
faults.toml:9: services[0].weight: is not a known key
faults.toml:13: classes[0].priority: priority "urgent" is not one of bulk, normal, critical
faults.toml:14: classes[0].idempotent: is a string, want a boolean
faults.toml:16: classes[0].target_latency_ms: is 300, want 1 to deadline_ms, which is 200
faults.toml:17: classes[0].target_success_share: is 1.5, want above 0 and at most 1
faults.toml:21: routes[0].method: is "post", want an HTTP method in upper case, or none for all methods
faults.toml:22: routes[0].path_prefix: "/roofs/" ends in a slash
faults.toml:23: routes[0].service: no service "depot" in this configuration
faults.toml:24: routes[0].class: no class "warnings" in this configuration
faults.toml:25: routes[1].name: is missing
faults.toml:26: routes[1].path_prefix: "roofs" does not start with a slash
faults.toml:27: routes[1].service: no service "roof-works" in this configuration`)
}

// Guards against accepting an empty or truncated file, which would remove all
// routes.
func TestParseTOMLRefusesAnEmptyFile(t *testing.T) {
	is := is.New(t)
	_, err := ParseTOML("empty.toml", nil)
	faults, ok := err.(Faults)
	is.True(ok)
	is.Equal(len(faults), 4)
}

// Guards against defaults that are not applied to absent keys, or that replace
// values in the file.
func TestParseTOMLFillsDefaults(t *testing.T) {
	is := is.New(t)
	s := parseSampleConfig(t)
	is.Equal(s.Services[0], Service{"roof-works", 600})
	is.Equal(s.Services[1], Service{"depot", DefaultKeepReadySeconds})
	is.Equal(s.Classes[0].RetryBudgetShare, DefaultRetryBudgetShare)
	is.Equal(s.Classes[1].RetryBudgetShare, 0.05)
	is.Equal(len(s.Routes), 4)
}

// Guards against a crash on malformed files, and against a file that is accepted
// although its canonical encoding is not.
func FuzzParseTOML(f *testing.F) {
	for _, name := range []string{"testdata/fes.toml", "testdata/faults.toml"} {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseTOML("f.toml", data)
		if err != nil {
			return
		}
		a, err := Accept(s)
		if err != nil {
			t.Fatalf("parsed snapshot is not accepted: %v", err)
		}
		if _, err := AcceptEncoded(a.Encoded, a.Hash); err != nil {
			t.Fatalf("canonical form is not accepted: %v", err)
		}
	})
}

// Guards against example files of the documentation that fail validation.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/*.toml")
	is.NoErr(err)
	is.Equal(len(files), 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		snapshot, err := ParseTOML(file, data)
		is.NoErr(err)
		_, err = Accept(snapshot)
		is.NoErr(err)
	}
}
