package catalog

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

func route(host, prefix, service string) Route {
	return Route{Name: "r", Host: host, Prefix: prefix, Destinations: []Destination{{Service: "s", Weight: 1}}}
}

// Guards against a request that is routed by a shorter prefix than the longest that
// matches, or by a prefix that ends within a path segment.
func TestMatchTakesLongestPrefix(t *testing.T) {
	is := is.New(t)
	s, err := Build(3, []Route{route("a.example", "/x/", "s"), route("a.example", "/x/y/", "s"), route("b.example", "/", "s")},
		[]Service{{Name: "s"}}, ClientLimits{})
	is.NoErr(err)
	for _, c := range []struct{ host, path, prefix string }{
		{"a.example", "/x/1", "/x/"}, {"a.example", "/x/y/1", "/x/y/"}, {"A.example:80", "/x/y/", "/x/y/"},
		{"a.example", "/x", ""}, {"a.example", "/xy/1", ""}, {"b.example", "/any/thing", "/"}, {"c.example", "/x/1", ""}, {"a.example", "", ""},
	} {
		r := s.Match(c.host, c.path)
		if c.prefix == "" {
			is.Equal(r, nil) // no route
			continue
		}
		is.True(r != nil)
		is.Equal(r.Prefix, c.prefix)
	}
}

// Guards against a configuration that is accepted although a route refers to a
// missing service or has a malformed prefix.
func TestBuildRejectsInvalidRoutes(t *testing.T) {
	is := is.New(t)
	_, err := Build(1, []Route{route("a", "/x/", "s")}, nil, ClientLimits{})
	is.True(errorx.IsOfType(err, ErrInvalid))
	_, err = Build(1, []Route{route("a", "x", "s")}, []Service{{Name: "s"}}, ClientLimits{})
	is.True(errorx.IsOfType(err, ErrInvalid))
}
