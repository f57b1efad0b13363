package config

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Limits of a configuration.
const (
	// MaxResources is the largest number of resources of one kind.
	MaxResources = 10_000
	// MaxNameBytes is the longest name of a resource, in bytes.
	MaxNameBytes = 64
	// MaxPathPrefixBytes is the longest path prefix, in bytes.
	MaxPathPrefixBytes = 256
	// MaxKeepReadySeconds is the largest Service.KeepReadySeconds, the time for
	// which the old version stays ready after a move.
	MaxKeepReadySeconds = 24 * 60 * 60
	// MaxDeadlineMillis is the longest deadline of a class, in milliseconds. A
	// call must end within the 10 minutes for which the claim on its request
	// identity stays recorded (claims.RetentionWindow).
	MaxDeadlineMillis = 5 * 60 * 1000
)

// validMethods lists the allowed methods of a route. The empty method matches
// every method.
var validMethods = []string{"", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// Validate checks that the names in s are unique, that its values are in range,
// and that every service and class that a route refers to is in s. It returns
// every fault. The key of a fault gives the kind and the position of the
// resource, such as "routes[2].service".
func Validate(s *Snapshot) Faults {
	v := &validator{}
	checkKind(v, "failure_domains", s.FailureDomains, failureDomainName, func(string, FailureDomain) {})
	checkKind(v, "services", s.Services, serviceName, v.checkService)
	checkKind(v, "classes", s.Classes, className, v.checkClass)
	v.services = byName(s.Services, serviceName)
	v.classes = byName(s.Classes, className)
	v.routeKeys = map[matchKey]string{}
	checkKind(v, "routes", s.Routes, routeName, v.checkRoute)
	return v.faults
}

// matchKey holds the fields of a route that Match compares with a call. Two
// routes with equal keys would be ambiguous.
type matchKey struct {
	service    mesh.Service
	method     string
	pathPrefix string
}

type validator struct {
	faults   Faults
	services map[string]Service
	classes  map[string]Class
	// routeKeys holds the fault key of the first route with each matchKey.
	routeKeys map[matchKey]string
}

func (v *validator) addf(key, format string, args ...any) {
	v.faults = append(v.faults, Fault{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// checkKind checks the number, the names and the values of the resources of one
// kind. A configuration without any resource of a kind cannot serve calls and most
// likely comes from an empty or truncated file, so it is rejected.
func checkKind[T any](v *validator, kind string, items []T, name func(T) string, check func(key string, item T)) {
	if len(items) == 0 || len(items) > MaxResources {
		v.addf(kind, "has %d resources, want 1 to %d", len(items), MaxResources)
	}
	firstIndex := map[string]int{}
	for i, item := range items[:min(len(items), MaxResources)] {
		key := fmt.Sprintf("%s[%d]", kind, i)
		if reason := invalidNameReason(name(item)); reason != "" {
			v.addf(key+".name", "%s", reason)
		} else if earlierIndex, ok := firstIndex[name(item)]; ok {
			v.addf(key+".name", "%q is already the name of %s[%d]", name(item), kind, earlierIndex)
		} else {
			firstIndex[name(item)] = i
		}
		check(key, item)
	}
}

// CheckName returns an error if name is not a valid name of a resource. The same
// rule holds for the names of hosts and instances.
func CheckName(name string) error {
	if reason := invalidNameReason(name); reason != "" {
		return errors.New(reason)
	}
	return nil
}

// invalidNameReason returns why a name is invalid, or "" if it is valid. Names
// must not contain the dot and the slash, because these separate the parts of
// request identities and of the keys of rows in the platform's table.
func invalidNameReason(name string) string {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Sprintf("has %d bytes, want 1 to %d", len(name), MaxNameBytes)
	}
	for i := range len(name) {
		c := name[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '-' && c != '_') {
			return fmt.Sprintf("%q: want lower-case letters, digits, '-' and '_', with a letter or digit first", name)
		}
	}
	return ""
}

func (v *validator) checkService(key string, s Service) {
	if s.KeepReadySeconds > MaxKeepReadySeconds {
		v.addf(key+".keep_ready_s", "is %d, want 0 to %d", s.KeepReadySeconds, MaxKeepReadySeconds)
	}
}

func (v *validator) checkClass(key string, c Class) {
	// Files and encodings hold the name of the priority, and reading them rejects other
	// names. Only a snapshot built in code can have a number that is out of range.
	if c.Priority >= mesh.Priorities {
		v.addf(key+".priority", "is %d, want bulk, normal or critical", c.Priority)
	}
	if c.DeadlineMillis < 1 || c.DeadlineMillis > MaxDeadlineMillis {
		v.addf(key+".deadline_ms", "is %d, want 1 to %d", c.DeadlineMillis, MaxDeadlineMillis)
	}
	if c.TargetLatencyMillis < 1 || c.TargetLatencyMillis > c.DeadlineMillis {
		v.addf(key+".target_latency_ms", "is %d, want 1 to deadline_ms, which is %d", c.TargetLatencyMillis, c.DeadlineMillis)
	}
	// The comparisons are negated so that NaN is rejected. Negative zero equals
	// zero but is encoded differently, so it is rejected too.
	if !(c.TargetSuccessShare > 0 && c.TargetSuccessShare <= 1) {
		v.addf(key+".target_success_share", "is %g, want above 0 and at most 1", c.TargetSuccessShare)
	}
	if !(c.RetryBudgetShare >= 0 && c.RetryBudgetShare <= 1) || math.Signbit(c.RetryBudgetShare) {
		v.addf(key+".retry_budget_share", "is %g, want 0 to 1", c.RetryBudgetShare)
	}
}

func (v *validator) checkRoute(key string, r Route) {
	if !slices.Contains(validMethods, r.Method) {
		v.addf(key+".method", "is %q, want an HTTP method in upper case, or none for all methods", r.Method)
	}
	if reason := invalidPrefixReason(r.PathPrefix); reason != "" {
		v.addf(key+".path_prefix", "%s", reason)
	}
	if _, ok := v.services[string(r.Service)]; !ok {
		v.addf(key+".service", "no service %q in this configuration", r.Service)
	}
	if _, ok := v.classes[string(r.Class)]; !ok {
		v.addf(key+".class", "no class %q in this configuration", r.Class)
	}
	match := matchKey{r.Service, r.Method, r.PathPrefix}
	if earlierKey, ok := v.routeKeys[match]; ok {
		v.addf(key+".path_prefix", "%s has the same service, method and path prefix", earlierKey)
		return
	}
	v.routeKeys[match] = key
}

// invalidPrefixReason returns why a path prefix is invalid, or "" if it is valid.
func invalidPrefixReason(prefix string) string {
	switch {
	case len(prefix) == 0 || len(prefix) > MaxPathPrefixBytes:
		return fmt.Sprintf("has %d bytes, want 1 to %d", len(prefix), MaxPathPrefixBytes)
	case prefix[0] != '/':
		return fmt.Sprintf("%q does not start with a slash", prefix)
	case prefix != "/" && prefix[len(prefix)-1] == '/':
		return fmt.Sprintf("%q ends in a slash", prefix)
	}
	for i := range len(prefix) {
		c := prefix[i]
		if c <= ' ' || c > '~' || c == '?' || c == '#' {
			return fmt.Sprintf("%q has a character that is not allowed in a path", prefix)
		}
		if c == '/' && i > 0 && prefix[i-1] == '/' {
			return fmt.Sprintf("%q has an empty segment", prefix)
		}
	}
	return ""
}
