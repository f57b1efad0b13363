// Package catalog holds one version of the operator's routes, services and client
// limits as an immutable snapshot that is validated when it is built.
package catalog

import (
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

var (
	namespace = errorx.NewNamespace("catalog")
	// ErrInvalid means that a configuration is malformed or contradicts itself.
	ErrInvalid = namespace.NewType("invalid")
)

// Destination is one destination of a route's traffic split.
type Destination struct {
	Service mesh.Service
	// Weight is the share of the destination relative to the other destinations of
	// the route.
	Weight int
}

// Route states where the requests for a host and path prefix are sent, and under which
// limits.
type Route struct {
	Name   mesh.Route
	Host   string
	Prefix string // of the path; begins and ends with a slash
	// Idempotent is set if the route's requests may run more than once.
	Idempotent bool
	// Timeout bounds the time for which a client waits for the answer. Zero stands
	// for no bound.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value to the client.
	TargetLatency time.Duration
	// Attempts bounds the number of instances that may run one request. Attempts that
	// certainly did not run the request don't count.
	Attempts int
	// Rank orders the routes of a service by priority. Zero is the highest priority.
	Rank int
	// Destinations has at least one entry.
	Destinations []Destination
	// Public is set if the route's requests need no tenant's key.
	Public bool
}

// Service is one set of interchangeable instances.
type Service struct {
	Name mesh.Service
	// MaxConnections bounds the connections of one instance from all callers.
	MaxConnections int
	// HealthPath is the path of the health check of an instance. Empty stands for none.
	HealthPath string
	// WarmupTime is the time for which an instance is cold after its start. WarmupPerSecond
	// bounds the requests per second that a cold instance receives. Zero stands for no limit.
	WarmupTime      time.Duration
	WarmupPerSecond float64
}

// ClientLimits bound what a client may send. Zero stands for no limit.
type ClientLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Snapshot is one configuration version. It is never changed.
type Snapshot struct {
	Version  mesh.ConfigVersion
	Routes   []Route
	Services []Service
	Limits   ClientLimits

	Tenants []Tenant

	byHost      map[string]map[string]*Route // host, then prefix
	tenantByKey map[keyHash]*Tenant
}

// Build returns an indexed snapshot without tenants. It checks that the routes are well-formed and
// refer only to services of the snapshot. The error is of type ErrInvalid.
func Build(version mesh.ConfigVersion, routes []Route, services []Service, limits ClientLimits) (*Snapshot, error) {
	s := &Snapshot{Version: version, Routes: routes, Services: services, Limits: limits,
		byHost: make(map[string]map[string]*Route)}
	known := make(map[mesh.Service]bool, len(services))
	for _, service := range services {
		known[service.Name] = true
	}
	for i := range routes {
		if err := checkRoute(&routes[i], known); err != nil {
			return nil, err
		}
		s.index(&routes[i])
	}
	return s, nil
}

// WithTenants returns a copy of the snapshot in which requests on routes that are not
// public need a key of one of the tenants. keys holds the keys of each tenant. If two
// tenants have the same key, it belongs to the later one.
func (s *Snapshot) WithTenants(tenants []Tenant, keys [][]string) *Snapshot {
	out := *s
	out.Tenants, out.tenantByKey = tenants, make(map[keyHash]*Tenant)
	for i := range tenants {
		for _, key := range keys[i] {
			out.tenantByKey[hashKey(key)] = &tenants[i]
		}
	}
	return &out
}

func checkRoute(r *Route, known map[mesh.Service]bool) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return ErrInvalid.New("route %s: host %q or prefix %q is malformed", r.Name, r.Host, r.Prefix)
	}
	if len(r.Destinations) == 0 {
		return ErrInvalid.New("route %s has no destination", r.Name)
	}
	for _, d := range r.Destinations {
		if !known[d.Service] {
			return ErrInvalid.New("route %s refers to service %q, which the configuration lacks", r.Name, d.Service)
		}
		if d.Weight < 0 {
			return ErrInvalid.New("route %s has a negative weight", r.Name)
		}
	}
	return nil
}

func (s *Snapshot) index(r *Route) {
	host := strings.ToLower(r.Host)
	prefixes := s.byHost[host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		s.byHost[host] = prefixes
	}
	prefixes[r.Prefix] = r
}

// Match returns the host's route whose prefix is the longest one that matches the path,
// or nil if there is none.
func (s *Snapshot) Match(host, path string) *Route {
	prefixes := s.byHost[normalizeHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Route returns the route of a name, or nil if there is none.
func (s *Snapshot) Route(name mesh.Route) *Route {
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i]
		}
	}
	return nil
}

// normalizeHost removes the port from a Host header and converts it to lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Has reports whether the snapshot contains the service.
func (s *Snapshot) Has(name mesh.Service) bool { return s.service(name) != nil }

// HealthPath returns the health path of a service, empty if it has none.
func (s *Snapshot) HealthPath(name mesh.Service) string {
	if service := s.service(name); service != nil {
		return service.HealthPath
	}
	return ""
}

// WarmupPerSecond returns the requests per second that a cold instance of a service may
// receive, zero if they are not limited.
func (s *Snapshot) WarmupPerSecond(name mesh.Service) float64 {
	if service := s.service(name); service != nil {
		return service.WarmupPerSecond
	}
	return 0
}

func (s *Snapshot) service(name mesh.Service) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}
