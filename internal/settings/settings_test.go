package settings

import (
	"errors"
	"io/fs"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/tomldoc"
)

// Guards against defaults that differ from the design page and against values
// that are lost or read in the wrong unit.
func TestNodeDefaults(t *testing.T) {
	is := is.New(t)
	n, err := Load("testdata/node.toml", ParseNode)
	is.NoErr(err)
	is.Equal(string(n.Host), "ifrane-1")
	is.Equal(len(n.Seeds), 2)
	is.Equal(n.Platform, PlatformClient{"127.0.0.1:7900", "127.0.0.1:7900", time.Second, 4})
	is.Equal(n.Limits, Limits{ConnectionsPerInstance: 110, BodyBytes: 1 << 20, DrainGrace: 20 * time.Second, TimelineEvents: 4096})
}

// Guards against a parser that stops at the first fault, so that an operator
// finds one fault per run, and against accepting addresses with host names,
// duplicate addresses and misspelt keys.
func TestNodeReportsEveryFault(t *testing.T) {
	is := is.New(t)
	_, err := Load("testdata/node-faults.toml", ParseNode)
	const prefix = "testdata/node-faults.toml:"
	is.Equal(err.Error(), prefix+`1: failure_domain: is missing
`+prefix+`1: host: "Ifrane 1": want lower-case letters, digits, '-' and '_', with a letter or digit first
`+prefix+`2: seeds: "localhost:7002": want a numeric address with a port, such as 127.0.0.1:7000
`+prefix+`2: seeds: "127.2.0.1:7002" is listed twice
`+prefix+`3: zone: is not a known key
`+prefix+`5: addresses.metrics: is missing
`+prefix+`7: addresses.peers: is the same address as addresses.calls
`+prefix+`8: addresses.control: "0.0.0.0:7002": peers cannot reach this address
`+prefix+`11: platform.table: is an integer, want a string
`+prefix+`12: platform.timeout_ms: is 5, want 10 to 60000
`+prefix+`14: protocol: is not a known key
`+prefix+`18: limits.body_bytes: is 10, want 1024 to 67108864
`+prefix+`19: limits.queue_per_instance: is not a known key`)
}

// Guards against accepting settings of chicory-load that contradict each other,
// and against a parser that stops at the first fault.
func TestLoadGeneratorReportsEveryFault(t *testing.T) {
	is := is.New(t)
	_, err := Load("testdata/load-faults.toml", ParseLoadGenerator)
	const prefix = "testdata/load-faults.toml:"
	is.Equal(err.Error(), prefix+`3: rate_per_s: is 0, want 0.01 to 100000
`+prefix+`4: duration_s: is 2s, want above warmup_s, which is 2s
`+prefix+`8: plot: is the same path as report
`+prefix+`12: requests[0].path: "roofs" does not start with a slash
`+prefix+`13: requests[0].body_bytes: is 3, want 0 for GET
`+prefix+`14: requests[0].deadline_ms: is 2s, want at most timeout_ms, which is 1s
`+prefix+`15: requests[0].resend_share: needs identity = true
`+prefix+`17: requests[1].name: "survey" is used twice
`+prefix+`19: requests[1].resends: is not a known key`)
}

// Guards against valid settings of the other binaries that are rejected or read
// incorrectly.
func TestSettingsOfOtherBinariesAreRead(t *testing.T) {
	is := is.New(t)
	ctl, err := Load("testdata/ctl.toml", ParseCtl)
	is.NoErr(err)
	is.Equal(*ctl, Ctl{[]string{"127.1.0.1:7002", "127.2.0.1:7002"}, "amal", 5 * time.Second})
	p, err := Load("testdata/platform.toml", ParsePlatform)
	is.NoErr(err)
	is.Equal(*p, Platform{"127.0.0.1:7900", 4096})
	b, err := Load("testdata/backend.toml", ParseBackend)
	is.NoErr(err)
	is.Equal(b.Lease, 3*time.Second)
	is.Equal(b.ServiceTime, ServiceTime{Lognormal, 15 * time.Millisecond, 0.5})
	is.Equal(b.Fault, BackendFault{SlowMode, 10, 20 * time.Second, 4, "/roofs", 1})
	l, err := Load("testdata/load.toml", ParseLoadGenerator)
	is.NoErr(err)
	is.Equal(l.Requests[1], LoadRequest{Name: "order", Weight: 2, Method: "POST", Path: "/roofs/orders",
		BodyBytes: 512, Identity: true, ResendShare: 0.25})
	is.Equal([]string{l.Direct, l.Report, l.Plot}, []string{"127.1.0.1:7100", "load.json", "load.svg"})
	_, err = Load("testdata/none.toml", ParseCtl)
	is.True(errors.Is(err, fs.ErrNotExist))
}

// Guards against required settings whose absence is not reported.
func TestEmptyFilesAreRefused(t *testing.T) {
	is := is.New(t)
	for _, parseFile := range allParsers {
		var faults tomldoc.Faults
		is.True(errors.As(parseFile(nil), &faults))
	}
}

// allParsers calls the parser of each binary and returns its error.
var allParsers = []func([]byte) error{
	func(data []byte) error { _, err := ParseNode("f", data); return err },
	func(data []byte) error { _, err := ParseCtl("f", data); return err },
	func(data []byte) error { _, err := ParsePlatform("f", data); return err },
	func(data []byte) error { _, err := ParseBackend("f", data); return err },
	func(data []byte) error { _, err := ParseLoadGenerator("f", data); return err },
}

// Guards against a crash on malformed settings.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"node", "node-faults", "ctl", "platform", "backend", "load", "load-faults"} {
		data, err := os.ReadFile("testdata/" + name + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, parseFile := range allParsers {
			_ = parseFile(data)
		}
	})
}
