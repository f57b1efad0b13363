package settings

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// LoadGenerator holds the settings of chicory-load.
type LoadGenerator struct {
	// FailureDomain is the failure domain of the simulated callers. It is part of
	// the identities of their requests.
	FailureDomain mesh.FailureDomain
	// Targets are the call addresses of nodes.
	Targets []string
	// Direct is the address of a backend server to which an equal request is sent
	// at the same time as each call, for a paired comparison of latencies. If it
	// is empty, no direct requests are sent.
	Direct string
	// RatePerSecond is the rate at which calls start, whether or not earlier calls
	// have ended.
	RatePerSecond float64
	// Duration is the length of the period in which calls are started. Warmup is
	// the length of the part at its beginning whose calls the report leaves out.
	Duration time.Duration
	Warmup   time.Duration
	// Connections is the largest number of connections to each address.
	Connections int
	// MaxInFlight limits the calls in progress, direct requests included. A call
	// that is due while the limit is reached is not sent but counted as dropped.
	MaxInFlight int
	// Timeout is the longest time to wait for the answer to a request.
	Timeout time.Duration
	// Seed is the seed of the random generator that chooses requests and targets.
	Seed uint64
	// Report and Plot are the paths of the JSON report and the SVG plot. If the
	// report path is empty, the report goes to standard output. If the plot path
	// is empty, no plot is drawn.
	Report   string
	Plot     string
	Requests []LoadRequest
}

// LoadRequest describes one kind of request.
type LoadRequest struct {
	Name string
	// Weight is the frequency of this kind of request relative to the other kinds.
	Weight int
	// Service is sent in a header of the call. If it is empty, no header is sent
	// and the route determines the service.
	Service mesh.Service
	Method  string
	Path    string
	// BodyBytes is the size of the body, in bytes.
	BodyBytes int
	// Deadline is sent in a header of the call. If it is zero, no header is sent
	// and the class determines the deadline.
	Deadline time.Duration
	// Identity adds a request identity to each call, so that a resend does not run
	// the request twice.
	Identity bool
	// ResendShare is the share of calls, 0 to 1, that are sent a second time with
	// the same identity after the first send has ended. The second send goes to
	// another target if there are several.
	ResendShare float64
}

// requestMethods lists the allowed methods of a request.
var requestMethods = []string{"GET", "POST", "PUT", "PATCH", "DELETE"}

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
		requireAbove(t, "duration_s", l.Duration, "warmup_s", l.Warmup)
	}
	if l.Report != "" && l.Report == l.Plot {
		t.AddFaultf("plot", "is the same path as report")
	}
	l.Requests = readLoadRequests(t, l.Timeout)
	return l
}

func readLoadRequests(t table, timeout time.Duration) []LoadRequest {
	tables := t.Tables("requests")
	if t.Has("requests") && len(tables) == 0 {
		t.AddFaultf("requests", "has no requests, want at least 1")
	}
	var requests []LoadRequest
	usedNames := map[string]bool{}
	for _, requestTable := range tables {
		r := readLoadRequest(table{requestTable})
		if usedNames[r.Name] {
			requestTable.AddFaultf("name", "%q is used twice", r.Name)
		}
		if r.Deadline > timeout {
			requestTable.AddFaultf("deadline_ms", "is %v, want at most timeout_ms, which is %v", r.Deadline, timeout)
		}
		usedNames[r.Name] = true
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
		Method:      t.oneOf("method", "GET", requestMethods...),
		Path:        t.String("path", "/"),
		BodyBytes:   t.count("body_bytes", 0, 0, 16<<20),
		Deadline:    t.millis("deadline_ms", 0, 0, 5*time.Minute),
		Identity:    t.Bool("identity", false),
		ResendShare: t.Float("resend_share", 0, 0, 1),
	}
	if r.Path == "" || r.Path[0] != '/' {
		t.AddFaultf("path", "%q does not start with a slash", r.Path)
	}
	if r.BodyBytes > 0 && slices.Contains([]string{"GET", "DELETE"}, r.Method) {
		t.AddFaultf("body_bytes", "is %d, want 0 for %s", r.BodyBytes, r.Method)
	}
	if r.ResendShare > 0 && !r.Identity {
		t.AddFaultf("resend_share", "needs identity = true")
	}
	return r
}
