package configcheck

import (
	"crypto/sha256"
	"strings"
	"time"
)

// usualHeaderBytes is the size of a request header without host and path: method,
// protocol, key, the common fields of browsers and a short cookie.
const usualHeaderBytes = 1024

// Check returns the findings about one configuration, sorted by position.
func Check(c *Configuration) []Finding {
	k := &checker{services: make(map[string]bool, len(c.Services))}
	for i := range c.Services {
		k.services[c.Services[i].Name.Value] = true
	}
	for i := range c.Routes {
		k.route(&c.Routes[i])
	}
	k.shadowedRoutes(c.Routes)
	for i := range c.Services {
		k.service(&c.Services[i])
	}
	for i := range c.Tenants {
		k.tenant(&c.Tenants[i])
	}
	k.sharedKeys(c.Tenants)
	for i := range c.Limits {
		k.limits(&c.Limits[i], c.Routes)
		if i > 0 {
			k.warn(RuleIgnored, c.Limits[i].At, "client limits appear more than once; only the last ones apply")
		}
	}
	k.duplicateNames(c)
	Sort(k.findings)
	return k.findings
}

// checker collects findings. services holds the names of the known services.
type checker struct {
	findings []Finding
	services map[string]bool
}

func (k *checker) fail(rule Rule, at Position, format string, args ...any) {
	k.findings = append(k.findings, NewFinding(Error, rule, at, format, args...))
}

func (k *checker) warn(rule Rule, at Position, format string, args ...any) {
	k.findings = append(k.findings, NewFinding(Warning, rule, at, format, args...))
}

// placeOf returns the position of a field, or that of its entry if the file lacks the field.
func placeOf[T any](f Field[T], e *Entry) Position {
	if f.Given() {
		return f.At
	}
	return e.At
}

// negative reports numbers below zero.
func negative[T int | float64 | time.Duration](k *checker, e *Entry, what string, f Field[T]) {
	if f.Value < 0 {
		k.fail(RuleNegative, f.At, "%s: %s is negative: %v", e, what, f.Value)
	}
}

func (k *checker) name(e *Entry) {
	if missing(e.Name) {
		k.fail(RuleMissing, placeOf(e.Name, e), "%s", e)
	}
}

func (k *checker) route(r *Route) {
	k.name(&r.Entry)
	if missing(r.Host) {
		k.fail(RuleMissing, placeOf(r.Host, &r.Entry), "%s: host is missing", &r.Entry)
	} else if strings.Contains(r.Host.Value, ":") {
		k.fail(RuleNeverMatches, r.Host.At, "%s: host %q never matches, because hosts are compared without port", &r.Entry, r.Host.Value)
	}
	if prefix := r.Prefix.Value; !r.Prefix.Malformed && !(strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")) {
		k.fail(RulePrefix, placeOf(r.Prefix, &r.Entry), "%s: prefix %q must begin and end with a slash", &r.Entry, prefix)
	}
	k.destinations(r)
	negative(k, &r.Entry, "timeout", r.Timeout)
	negative(k, &r.Entry, "target latency", r.TargetLatency)
	negative(k, &r.Entry, "priority", r.Rank)
	negative(k, &r.Entry, "number of attempts", r.Attempts)
	k.routeTimes(r)
}

func (k *checker) destinations(r *Route) {
	weighted := false
	for i, d := range r.Destinations {
		at := d.Service.At
		if at.IsZero() {
			at = d.At
		}
		switch {
		case missing(d.Service):
			k.fail(RuleMissing, at, "%s: destination %d names no service", &r.Entry, i+1)
		case !d.Service.Malformed && !k.services[d.Service.Value]:
			k.fail(RuleUnknownService, at, "%s: service %q isn't in the configuration", &r.Entry, d.Service.Value)
		}
		if !r.Split {
			continue
		}
		weighted = weighted || d.Weight.Value != 0 || !d.Weight.Given() || d.Weight.Malformed
		if !d.Weight.Given() {
			k.fail(RuleWeights, d.At, "%s: destination %d has no weight", &r.Entry, i+1)
		}
		negative(k, &r.Entry, "weight", d.Weight)
	}
	if r.Split && !weighted {
		k.fail(RuleWeights, r.Destinations[0].At, "%s: all weights are zero; every request would go to the first destination", &r.Entry)
	}
}

// routeTimes checks the relation of time limit, target latency and attempts.
func (k *checker) routeTimes(r *Route) {
	timeout, target := r.Timeout.Value, r.TargetLatency.Value
	if timeout > 0 && timeout < target {
		k.warn(RuleTimeout, r.Timeout.At, "%s: timeout %v is under the target latency %v", &r.Entry, timeout, target)
	}
	attempts := r.Attempts
	if attempts.Given() && !attempts.Malformed && attempts.Value == 0 {
		k.warn(RuleAttempts, attempts.At, "%s: zero attempts count as one", &r.Entry)
	}
	if timeout <= 0 || target <= 0 {
		return // no bound to compare with
	}
	// An attempt that takes as long as the target latency must leave time for the others.
	if allowed := max(1, int64(timeout/target)); int64(attempts.Value) > allowed {
		k.warn(RuleAttempts, attempts.At, "%s: %d attempts of %v each don't fit in the timeout %v, which allows %d",
			&r.Entry, attempts.Value, target, timeout, allowed)
	}
}

// shadowedRoutes reports routes whose host and prefix a later route has too. Requests
// match only the last one.
func (k *checker) shadowedRoutes(routes []Route) {
	last := make(map[[2]string]*Route)
	for i := len(routes) - 1; i >= 0; i-- {
		r := &routes[i]
		if r.Host.Value == "" || r.Prefix.Value == "" {
			continue // reported already
		}
		match := [2]string{strings.ToLower(r.Host.Value), r.Prefix.Value}
		if later := last[match]; later != nil {
			k.fail(RuleNeverMatches, r.At, "%s never matches, because %s at line %d has the same host and prefix", &r.Entry, &later.Entry, later.At.Line)
			continue
		}
		last[match] = r
	}
}

func (k *checker) service(s *Service) {
	k.name(&s.Entry)
	negative(k, &s.Entry, "number of connections", s.MaxConnections)
	negative(k, &s.Entry, "warm-up time", s.WarmupTime)
	negative(k, &s.Entry, "warm-up rate", s.WarmupPerSecond)
}

func (k *checker) tenant(t *Tenant) {
	k.name(&t.Entry)
	negative(k, &t.Entry, "priority", t.Rank)
	negative(k, &t.Entry, "rate", t.RatePerSecond)
	negative(k, &t.Entry, "burst", t.Burst)
	rate, burst := t.RatePerSecond, t.Burst
	switch {
	case rate.Malformed || burst.Malformed:
	case rate.Value > 0 && burst.Value >= 0 && burst.Value < 1:
		k.warn(RuleQuota, placeOf(burst, &t.Entry), "%s: burst %v is under one request, with a rate of %v per second", &t.Entry, burst.Value, rate.Value)
	case rate.Value == 0 && burst.Value > 0:
		k.warn(RuleQuota, burst.At, "%s: burst %v has no effect without a rate; the tenant isn't limited", &t.Entry, burst.Value)
	}
	if len(t.Keys) == 0 {
		k.warn(RuleNoKeys, t.At, "%s has no key, so no request can belong to it", &t.Entry)
	}
	for i, key := range t.Keys {
		if key.Empty {
			k.warn(RuleNeverMatches, key.At, "%s: key %d is empty and never matches", &t.Entry, i+1)
		}
	}
}

// sharedKeys reports keys that appear more than once. Messages name them by position.
func (k *checker) sharedKeys(tenants []Tenant) {
	type holder struct{ tenant, position int }
	first := make(map[[sha256.Size]byte]holder)
	for i := range tenants {
		t := &tenants[i]
		for j, key := range t.Keys {
			if key.Empty || key.Malformed {
				continue
			}
			h, seen := first[key.Hash]
			switch {
			case !seen:
				first[key.Hash] = holder{i, j}
			case h.tenant == i:
				k.warn(RuleRepeatedKey, key.At, "%s: key %d is the same as its key %d", &t.Entry, j+1, h.position+1)
			default:
				k.fail(RuleSharedKey, key.At, "%s: key %d is the same as key %d of %s; requests count only towards the last tenant that holds it",
					&t.Entry, j+1, h.position+1, &tenants[h.tenant].Entry)
			}
		}
	}
}

func (k *checker) limits(l *Limits, routes []Route) {
	negative(k, &l.Entry, "header size", l.HeaderBytes)
	negative(k, &l.Entry, "body size", l.BodyBytes)
	negative(k, &l.Entry, "header timeout", l.HeaderTimeout)
	negative(k, &l.Entry, "idle timeout", l.IdleTimeout)
	if idle, header := l.IdleTimeout.Value, l.HeaderTimeout.Value; idle > 0 && idle < header {
		k.warn(RuleIdleTimeout, l.IdleTimeout.At, "%s: idle timeout %v is under the header timeout %v", &l.Entry, idle, header)
	}
	longest := 0
	for i := range routes {
		longest = max(longest, len(routes[i].Host.Value)+len(routes[i].Prefix.Value))
	}
	if bound := l.HeaderBytes.Value; bound > 0 && bound < longest+usualHeaderBytes {
		k.warn(RuleHeaderBytes, l.HeaderBytes.At, "%s: header size %d is too small for the longest host and prefix (%d bytes) and the usual fields (%d bytes)",
			&l.Entry, bound, longest, usualHeaderBytes)
	}
}

// duplicateNames reports entries of one kind that share a name. Counters, logs and traffic
// splits are kept by name.
func (k *checker) duplicateNames(c *Configuration) {
	lines := make(map[[2]string]int)
	check := func(e *Entry) {
		if e.Name.Value == "" {
			return
		}
		id := [2]string{e.Kind, e.Name.Value}
		if line, seen := lines[id]; seen {
			k.fail(RuleDuplicateName, e.Name.At, "%s has the name of another one at line %d", e, line)
			return
		}
		lines[id] = e.Name.At.Line
	}
	for i := range c.Routes {
		check(&c.Routes[i].Entry)
	}
	for i := range c.Services {
		check(&c.Services[i].Entry)
	}
	for i := range c.Tenants {
		check(&c.Tenants[i].Entry)
	}
}
