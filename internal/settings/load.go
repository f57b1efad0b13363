package settings

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// LoadGenerator holds the settings of chicory-load.
type LoadGenerator struct {
	// FailureDomain is the domain that callers belong to; it is part of the
	// identities of their requests.
	FailureDomain mesh.FailureDomain
	// Targets are the call addresses of nodes.
	Targets []string
	// Direct is the address of a backend server to which an equal request is
	// sent at the same time as each call, for a paired comparison. Empty turns
	// this off.
	Direct string
	// RatePerSecond is the rate at which calls start, whether or not earlier
	// ones have ended.
	RatePerSecond float64
	// Duration is the time for which calls start; Warmup is the part at its
	// start that the report leaves out.
	Duration time.Duration
	Warmup   time.Duration
	// Connections is the largest number of connections to each address.
	Connections int
	// MaxInFlight limits the sends in progress. Calls that are due beyond it
	// are not sent and counted as dropped.
	MaxInFlight int
	// Timeout is the time after which a send without an answer is given up.
	Timeout time.Duration
	// Seed feeds the choice of requests and targets.
	Seed uint64
	// Report and Plot are the paths of the JSON report and the SVG plot. An
	// empty report path stands for standard output, an empty plot path for no
	// plot.
	Report   string
	Plot     string
	Requests []LoadRequest
}

// LoadRequest describes one kind of request.
type LoadRequest struct {
	Name string
	// Weight is the kind's share of all calls, relative to the other kinds.
	Weight int
	// Service travels with the call. Empty leaves it to the route.
	Service mesh.Service
	Method  string
	Path    string
	// BodyBytes is the size of the body, in bytes.
	BodyBytes int
	// Deadline travels with the call. Zero leaves it to the class.
	Deadline time.Duration
	// Identity adds a request identity, so that a resend is safe.
	Identity bool
	// ResendShare is the share of calls, 0 to 1, that are sent a second time
	// under the same identity after the end of the first send, to another
	// target where there are several.
	ResendShare float64
}

var loadMethods = []string{"GET", "POST", "PUT", "PATCH", "DELETE"}

// ParseLoadGenerator reads the settings of chicory-load.
func ParseLoadGenerator(file string, data []byte) (*LoadGenerator, error) {
	return parse(file, data, readLoadGenerator)
}

func readLoadGenerator(t table) *LoadGenerator {
	t.Require("targets", "rate_per_s", "duration_s", "requests")
	l := &LoadGenerator{
		FailureDomain: mesh.FailureDomain(t.name("failure_domain")),
		Direct:        t.optionalAddress("direct", ""),
		RatePerSecond: t.Float("rate_per_s", 1, 0.01, 100_000),
		Duration:      t.seconds("duration_s", time.Second, time.Second, 24*time.Hour),
		Warmup:        t.seconds("warmup_s", 0, 0, time.Hour),
		Connections:   t.count("connections", 128, 1, 10_000),
		MaxInFlight:   t.count("max_in_flight", 2000, 1, 100_000),
		Timeout:       t.millis("timeout_ms", 5*time.Second, 10*time.Millisecond, time.Minute),
		Seed:          uint64(t.Int("seed", 1, 0, 1<<62)),
		Report:        t.String("report", ""),
		Plot:          t.String("plot", ""),
	}
	if t.Has("targets") {
		l.Targets = t.addresses("targets", 1, 1024)
	}
	if t.Has("duration_s") {
		above(t, "duration_s", l.Duration, "warmup_s", l.Warmup)
	}
	if l.Report != "" && l.Report == l.Plot {
		t.Addf("plot", "is the same path as report")
	}
	l.Requests = readLoadRequests(t, l.Timeout)
	return l
}

func readLoadRequests(t table, timeout time.Duration) []LoadRequest {
	tables := t.Tables("requests")
	if t.Has("requests") && len(tables) == 0 {
		t.Addf("requests", "has no requests, want at least 1")
	}
	var requests []LoadRequest
	names := map[string]bool{}
	for _, inner := range tables {
		r := readLoadRequest(table{inner})
		if names[r.Name] {
			inner.Addf("name", "%q is used twice", r.Name)
		}
		if r.Deadline > timeout {
			inner.Addf("deadline_ms", "is %v, want at most timeout_ms, which is %v", r.Deadline, timeout)
		}
		names[r.Name] = true
		requests = append(requests, r)
	}
	return requests
}

func readLoadRequest(t table) LoadRequest {
	t.Require("path")
	r := LoadRequest{
		Name:        t.name("name"),
		Weight:      t.count("weight", 1, 1, 1_000_000),
		Service:     mesh.Service(t.String("service", "")),
		Method:      t.oneOf("method", "GET", loadMethods...),
		Path:        t.String("path", "/"),
		BodyBytes:   t.count("body_bytes", 0, 0, 16<<20),
		Deadline:    t.millis("deadline_ms", 0, 0, 5*time.Minute),
		Identity:    t.Bool("identity", false),
		ResendShare: t.Float("resend_share", 0, 0, 1),
	}
	if r.Path == "" || r.Path[0] != '/' {
		t.Addf("path", "%q does not start with a slash", r.Path)
	}
	if r.BodyBytes > 0 && slices.Contains([]string{"GET", "DELETE"}, r.Method) {
		t.Addf("body_bytes", "is %d, want 0 for %s", r.BodyBytes, r.Method)
	}
	if r.ResendShare > 0 && !r.Identity {
		t.Addf("resend_share", "needs identity = true")
	}
	return r
}
