package config

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a call that reaches the wrong service or class.
func TestMatchPrefersTheLongestPrefix(t *testing.T) {
	index := acceptSampleConfig(t).Index
	for _, c := range []struct{ service, method, path, want string }{
		{"", "GET", "/roofs", "survey"},
		{"", "GET", "/roofs/12/plan", "survey"},
		{"", "POST", "/roofs/orders", "book"},
		{"", "POST", "/roofs/orders/", "book"},
		{"", "GET", "/roofs/orders/7", "survey"},
		{"", "GET", "/roofsides", ""},
		{"", "POST", "/roofs", ""},
		{"", "PUT", "/diagrams/a", "diagram"},
		{"depot", "GET", "/roofs", ""},
		{"roof-works", "GET", "/roofs", "survey"},
		{"none", "GET", "/roofs", ""},
		{"", "GET", "", ""},
		{"", "OPTIONS", "*", ""},
	} {
		is := is.New(t)
		r, ok := index.Match([]byte(c.service), []byte(c.method), []byte(c.path))
		is.Equal(ok, c.want != "")
		if ok {
			is.Equal(string(r.Route.Name), c.want)
			is.Equal(r.Route.Class, r.Class.Name)
			is.Equal(r.Route.Service, r.Service.Name)
		}
	}
}

// Guards against a call that names no service being sent to an arbitrary one of
// several services with matching routes.
func TestMatchRefusesAmbiguousServices(t *testing.T) {
	is := is.New(t)
	s := parseSampleConfig(t)
	s.Routes = append(s.Routes, Route{"depot-roofs", "GET", "/roofs", "depot", "warnings"})
	a, err := Accept(s)
	is.NoErr(err)
	_, ok := a.Index.Match(nil, []byte("GET"), []byte("/roofs"))
	is.True(!ok)
	r, ok := a.Index.Match([]byte("depot"), []byte("GET"), []byte("/roofs"))
	is.True(ok)
	is.Equal(string(r.Route.Name), "depot-roofs")
}

// matchByScan implements the matching rule as a scan over all routes, as a
// reference for Index.Match. It returns the name of the route, or "" if no route
// matches or the choice is ambiguous.
func matchByScan(s *Snapshot, service, method, path string) string {
	name, bestRank, routesAtBestRank := "", 0, 0
	for _, r := range s.Routes {
		prefixMatches := path == r.PathPrefix || strings.HasPrefix(path, strings.TrimSuffix(r.PathPrefix, "/")+"/")
		if !prefixMatches || service != "" && service != string(r.Service) || r.Method != "" && r.Method != method {
			continue
		}
		rank := 2 * len(r.PathPrefix)
		if r.Method != "" {
			rank++
		}
		switch {
		case rank > bestRank:
			name, bestRank, routesAtBestRank = string(r.Name), rank, 1
		case rank == bestRank:
			routesAtBestRank++
		}
	}
	if routesAtBestRank > 1 {
		return ""
	}
	return name
}

// Guards against an index that differs from the matching rule.
func TestMatchAgreesWithAScan(t *testing.T) {
	paths := []string{"/", "/a", "/a/", "/a/b", "/a/bc", "/a/b/c/d", "/ab", "/ab/x", "/c", "//a", "/a//b"}
	rapid.Check(t, func(t *rapid.T) {
		a, err := Accept(drawSnapshot(t))
		if err != nil {
			t.Fatal(err)
		}
		service := rapid.SampledFrom(append(testServices, "")).Draw(t, "service")
		method := rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method")
		path := rapid.SampledFrom(paths).Draw(t, "path")
		want, got := matchByScan(a.Snapshot, service, method, path), ""
		if r, ok := a.Index.Match([]byte(service), []byte(method), []byte(path)); ok {
			got = string(r.Route.Name)
		}
		if got != want {
			t.Fatalf("match is %q, want %q", got, want)
		}
	})
}

// Guards against an allocation in Match, which runs for every call.
func TestMatchDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	index := acceptSampleConfig(t).Index
	service, method, path := []byte("roof-works"), []byte("POST"), []byte("/roofs/orders/1/2/3")
	allocs := testing.AllocsPerRun(100, func() {
		index.Match(service, method, path)
		index.Match(nil, method, path)
	})
	is.Equal(allocs, 0.0)
}

func BenchmarkMatch(b *testing.B) {
	index := acceptSampleConfig(b).Index
	service, method, path := []byte("roof-works"), []byte("POST"), []byte("/roofs/orders/1/2/3")
	b.ReportAllocs()
	for b.Loop() {
		index.Match(service, method, path)
	}
}
