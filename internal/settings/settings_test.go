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

// Guards against defaults that differ from the design page and values that are
// lost or read in another unit.
func TestNodeDefaults(t *testing.T) {
	is := is.New(t)
	n, err := Load("testdata/node.toml", ParseNode)
	is.NoErr(err)
	is.Equal(string(n.Host), "ifrane-1")
	is.Equal(len(n.Seeds), 2)
	is.Equal(n.Platform, PlatformClient{"127.0.0.1:7900", "127.0.0.1:7900", time.Second, 4})
	is.Equal(n.Limits, Limits{ConnectionsPerInstance: 110, BodyBytes: 1 << 20, DrainGrace: 20 * time.Second, TimelineEvents: 4096})
}

// Guards against a file whose faults are found one run at a time, and against
// host names, duplicate addresses and misspelt keys that pass.
func TestNodeReportsEveryFault(t *testing.T) {
	is := is.New(t)
	_, err := Load("testdata/node-faults.toml", ParseNode)
	const file = "testdata/node-faults.toml:"
	is.Equal(err.Error(), file+`1: failure_domain: is missing
`+file+`1: host: "Ifrane 1": want lower-case letters, digits, '-' and '_', with a letter or digit first
`+file+`2: seeds: "localhost:7002": want a numeric address with a port, such as 127.0.0.1:7000
`+file+`2: seeds: "127.2.0.1:7002" is listed twice
`+file+`3: zone: is not a known key
`+file+`5: addresses.metrics: is missing
`+file+`7: addresses.peers: is the same address as addresses.calls
`+file+`8: addresses.control: "0.0.0.0:7002": peers cannot reach this address
`+file+`11: platform.table: is an integer, want a string
`+file+`12: platform.timeout_ms: is 5, want 10 to 60000
`+file+`14: protocol: is not a known key
`+file+`18: limits.body_bytes: is 10, want 1024 to 67108864
`+file+`19: limits.queue_per_instance: is not a known key`)
}

// Guards against settings of chicory-load that contradict each other, and
// against their faults being found one run at a time.
func TestLoadGeneratorReportsEveryFault(t *testing.T) {
	is := is.New(t)
	_, err := Load("testdata/load-faults.toml", ParseLoadGenerator)
	const file = "testdata/load-faults.toml:"
	is.Equal(err.Error(), file+`3: rate_per_s: is 0, want 0.01 to 100000
`+file+`4: duration_s: is 2s, want above warmup_s, which is 2s
`+file+`8: plot: is the same path as report
`+file+`12: requests[0].path: "roofs" does not start with a slash
`+file+`13: requests[0].body_bytes: is 3, want 0 for GET
`+file+`14: requests[0].deadline_ms: is 2s, want at most timeout_ms, which is 1s
`+file+`15: requests[0].resend_share: needs identity = true
`+file+`17: requests[1].name: "survey" is used twice
`+file+`19: requests[1].resends: is not a known key`)
}

// Guards against settings of the other binaries that cannot be read.
func TestOtherBinaries(t *testing.T) {
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

// Guards against required settings that are missing without a fault.
func TestEmptyFilesAreRefused(t *testing.T) {
	is := is.New(t)
	for _, read := range allParsers {
		var faults tomldoc.Faults
		is.True(errors.As(read(nil), &faults))
	}
}

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
		for _, read := range allParsers {
			_ = read(data)
		}
	})
}
