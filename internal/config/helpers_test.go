package config

import (
	"flag"
	"os"
	"testing"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"pgregory.net/rapid"
)

// The property tests use a fixed seed, so that each run draws the same values.
// The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// parseSampleConfig parses the valid configuration in testdata/fes.toml.
func parseSampleConfig(t testing.TB) *Snapshot {
	t.Helper()
	data, err := os.ReadFile("testdata/fes.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseTOML("fes.toml", data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// acceptSampleConfig parses and accepts the configuration in testdata/fes.toml.
func acceptSampleConfig(t testing.TB) *Accepted {
	t.Helper()
	a, err := Accept(parseSampleConfig(t))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

var (
	testServices = []string{"s1", "s2", "s3"}
	testClasses  = []string{"c1", "c2"}
	testPrefixes = []string{"/", "/a", "/a/b", "/ab", "/a/b/c"}
	testMethods  = []string{"", "GET", "POST"}
)

// drawSnapshot draws a valid snapshot. Its routes are in random order.
func drawSnapshot(t *rapid.T) *Snapshot {
	s := &Snapshot{FailureDomains: []FailureDomain{{"d1"}}}
	for _, name := range testServices {
		keepReady := rapid.Uint32Range(0, 3).Draw(t, "keep")
		s.Services = append(s.Services, Service{mesh.Service(name), keepReady})
	}
	for _, name := range testClasses {
		deadline := rapid.Uint32Range(10, 12).Draw(t, "deadline")
		s.Classes = append(s.Classes, Class{Name: mesh.Class(name), Priority: mesh.Normal,
			DeadlineMillis: deadline, TargetLatencyMillis: 5, TargetSuccessShare: 0.9, RetryBudgetShare: 0.1})
	}
	s.Routes = drawRoutes(t)
	return s
}

// drawRoutes draws routes of which no two have the same service, method and path
// prefix.
func drawRoutes(t *rapid.T) []Route {
	seen := map[matchKey]bool{}
	var routes []Route
	names := rapid.SliceOfNDistinct(rapid.StringMatching("r[0-9]{1,2}"), 1, 12, rapid.ID).Draw(t, "names")
	for _, name := range names {
		r := Route{
			Name:       mesh.Route(name),
			Method:     rapid.SampledFrom(testMethods).Draw(t, "method"),
			PathPrefix: rapid.SampledFrom(testPrefixes).Draw(t, "prefix"),
			Service:    mesh.Service(rapid.SampledFrom(testServices).Draw(t, "service")),
			Class:      mesh.Class(rapid.SampledFrom(testClasses).Draw(t, "class")),
		}
		if key := (matchKey{r.Service, r.Method, r.PathPrefix}); !seen[key] {
			seen[key] = true
			routes = append(routes, r)
		}
	}
	return routes
}
