package configcheck

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(line int) Position { return Position{Line: line, Column: 1} }

func given[T any](v T) Field[T] { return Field[T]{Value: v, At: at(50)} }

func entry(kind, name string, line int) Entry {
	return Entry{Kind: kind, Name: Field[string]{Value: name, At: at(line)}, Number: line, At: at(line)}
}

func split(pairs ...any) []Destination {
	var out []Destination
	for i := 0; i < len(pairs); i += 2 {
		out = append(out, Destination{Service: given(pairs[i].(string)), Weight: given(pairs[i+1].(int)), At: at(50)})
	}
	return out
}

// valid returns a configuration without findings.
func valid() *Configuration {
	return &Configuration{
		Version: given(uint64(7)),
		Routes: []Route{
			{Entry: entry(KindRoute, "a", 1), Host: given("h"), Prefix: given("/a/"), Timeout: given(900 * time.Millisecond),
				TargetLatency: given(300 * time.Millisecond), Attempts: given(3), Destinations: split("s", 1)},
			{Entry: entry(KindRoute, "b", 2), Host: given("h"), Prefix: given("/"), Destinations: split("s", 90, "u", 0), Split: true},
		},
		Services: []Service{{Entry: entry(KindService, "s", 3)}, {Entry: entry(KindService, "u", 4)}},
		Tenants: []Tenant{
			{Entry: entry(KindTenant, "t", 5), Keys: []Key{NewKey("k1", at(5)), NewKey("k2", at(5))}, RatePerSecond: given(10.0), Burst: given(1.0)},
			{Entry: entry(KindTenant, "v", 6), Keys: []Key{NewKey("k3", at(6))}},
		},
		Limits: []Limits{{Entry: entry(KindLimits, "", 7), HeaderBytes: given(usualHeaderBytes + 4),
			HeaderTimeout: given(3 * time.Second), IdleTimeout: given(3 * time.Second)}},
	}
}

// Guards against a rule that misses its fault, or that reports another one beside it.
func TestCheckFindsEachFault(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Check(valid())), 0)
	for _, c := range []struct {
		name   string
		change func(c *Configuration)
		want   string // severity, rule and line of the findings
	}{
		{"unnamed route", func(c *Configuration) { c.Routes[0].Name = Field[string]{} }, "error missing 1"},
		{"unnamed service", func(c *Configuration) { c.Services[1].Name.Value = ""; c.Routes[1].Destinations = split("s", 1) }, "error missing 4"},
		{"unnamed tenant", func(c *Configuration) { c.Tenants[0].Name.Value = "" }, "error missing 5"},
		{"reported name", func(c *Configuration) { c.Tenants[0].Name = Field[string]{At: at(5), Malformed: true} }, ""},
		{"no host", func(c *Configuration) { c.Routes[0].Host = Field[string]{} }, "error missing 1"},
		{"host with port", func(c *Configuration) { c.Routes[0].Host.Value = "h:1"; c.Limits = nil }, "error never-matches 50"},
		{"prefix without slash at its end", func(c *Configuration) { c.Routes[0].Prefix.Value = "/a" }, "error prefix 50"},
		{"prefix without slash at its start", func(c *Configuration) { c.Routes[0].Prefix.Value = "a/" }, "error prefix 50"},
		{"no prefix", func(c *Configuration) { c.Routes[0].Prefix = Field[string]{} }, "error prefix 1"},
		{"unknown service", func(c *Configuration) { c.Routes[0].Destinations = split("x", 1) }, "error unknown-service 50"},
		{"no service", func(c *Configuration) { c.Routes[0].Destinations = split("", 1) }, "error missing 50"},
		{"no weight", func(c *Configuration) { c.Routes[1].Destinations[1].Weight = Field[int]{} }, "error weights 50"},
		{"zero weights", func(c *Configuration) { c.Routes[1].Destinations = split("s", 0, "u", 0) }, "error weights 50"},
		{"negative weight", func(c *Configuration) { c.Routes[1].Destinations = split("s", 1, "u", -1) }, "error negative 50"},
		{"negative timeout", func(c *Configuration) { c.Routes[0].Timeout.Value = -1 }, "error negative 50"},
		{"negative target", func(c *Configuration) { c.Routes[0].TargetLatency.Value = -1 }, "error negative 50"},
		{"negative attempts", func(c *Configuration) { c.Routes[0].Attempts.Value = -1 }, "error negative 50"},
		{"negative ranks", func(c *Configuration) { c.Routes[0].Rank, c.Tenants[0].Rank = given(-1), given(-1) }, "error negative 50, error negative 50"},
		{"negative connections", func(c *Configuration) { c.Services[0].MaxConnections = given(-1) }, "error negative 50"},
		{"negative warm-up", func(c *Configuration) {
			c.Services[0].WarmupTime, c.Services[0].WarmupPerSecond = given(-time.Second), given(-0.5)
		}, "error negative 50, error negative 50"},
		{"negative rate", func(c *Configuration) { c.Tenants[0].RatePerSecond.Value = -1 }, "error negative 50"},
		{"negative burst", func(c *Configuration) { c.Tenants[0].Burst.Value = -1 }, "error negative 50"},
		{"negative limits", func(c *Configuration) {
			c.Limits[0] = Limits{HeaderBytes: given(-1), BodyBytes: given(-1), HeaderTimeout: given(-time.Second), IdleTimeout: given(-time.Second)}
		}, "error negative 50, error negative 50, error negative 50, error negative 50"},
		{"same host and prefix", func(c *Configuration) { c.Routes[1].Host.Value, c.Routes[1].Prefix.Value = "H", "/a/" }, "error never-matches 1"},
		{"same name", func(c *Configuration) { c.Routes[1].Name.Value = "a" }, "error duplicate-name 2"},
		{"no keys", func(c *Configuration) { c.Tenants[1].Keys = nil }, "warning no-keys 6"},
		{"empty key", func(c *Configuration) { c.Tenants[1].Keys = []Key{NewKey("", at(6))} }, "warning never-matches 6"},
		{"key of two tenants", func(c *Configuration) { c.Tenants[1].Keys = []Key{NewKey("k2", at(6))} }, "error shared-key 6"},
		{"key given twice", func(c *Configuration) { c.Tenants[1].Keys = []Key{NewKey("k3", at(6)), NewKey("k3", at(6))} }, "warning repeated-key 6"},
		{"timeout under target", func(c *Configuration) {
			c.Routes[0].Timeout.Value, c.Routes[0].Attempts.Value = 299*time.Millisecond, 1
		}, "warning timeout 50"},
		{"timeout equal to target", func(c *Configuration) {
			c.Routes[0].Timeout.Value, c.Routes[0].Attempts.Value = 300*time.Millisecond, 1
		}, ""},
		{"zero attempts", func(c *Configuration) { c.Routes[0].Attempts.Value = 0 }, "warning attempts 50"},
		{"attempts absent", func(c *Configuration) { c.Routes[0].Attempts = Field[int]{} }, ""},
		{"attempts over the timeout", func(c *Configuration) { c.Routes[0].Attempts.Value = 4 }, "warning attempts 50"},
		{"attempts without timeout", func(c *Configuration) { c.Routes[0].Attempts.Value, c.Routes[0].Timeout.Value = 9, 0 }, ""},
		{"burst under one", func(c *Configuration) { c.Tenants[0].Burst.Value = 0.9 }, "warning quota 50"},
		{"rate without burst", func(c *Configuration) { c.Tenants[0].Burst = Field[float64]{} }, "warning quota 5"},
		{"burst without rate", func(c *Configuration) { c.Tenants[0].RatePerSecond = Field[float64]{} }, "warning quota 50"},
		{"small header limit", func(c *Configuration) { c.Limits[0].HeaderBytes.Value-- }, "warning header-bytes 50"},
		{"no header limit", func(c *Configuration) { c.Limits[0].HeaderBytes.Value = 0 }, ""},
		{"idle under header timeout", func(c *Configuration) { c.Limits[0].IdleTimeout.Value-- }, "warning idle-timeout 50"},
		{"two limits", func(c *Configuration) { c.Limits = append(c.Limits, Limits{Entry: entry(KindLimits, "", 8)}) }, "warning ignored 8"},
	} {
		config := valid()
		c.change(config)
		got := ""
		for _, f := range Check(config) {
			if got != "" {
				got += ", "
			}
			got += fmt.Sprintf("%s %s %d", f.Severity, f.Rule, f.Line)
		}
		if got != c.want {
			t.Errorf("%s: found %q, want %q: %+v", c.name, got, c.want, Check(config))
		}
	}
}

// Guards against a change that is missed, that is described in the wrong direction, or
// that is reported although nothing changes for requests.
func TestCompareDescribesEachChange(t *testing.T) {
	for _, c := range []struct {
		change func(c *Configuration)
		want   string
	}{
		{func(*Configuration) {}, "[]"},
		{func(c *Configuration) { c.Routes[0].Name.Value = "n" }, `[{added 1 1 route "n" } {removed 0 0 route "a" }]`},
		{func(c *Configuration) { c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] }, "[]"},
		{func(c *Configuration) { c.Routes[0].Host.Value = "H" }, "[]"},
		{func(c *Configuration) { c.Routes[0].Prefix.Value = "/c/" }, `[{changed 50 1 route "a" prefix changed from "/a/" to "/c/"}]`},
		{func(c *Configuration) { c.Routes[0].Destinations = split("u", 1) }, `[{changed 50 1 route "a" moved from service "s" to service "u"}]`},
		{func(c *Configuration) { c.Routes[0].Destinations = split("s", 5) }, "[]"},
		{func(c *Configuration) { c.Routes[1].Destinations = split("u", 0, "s", 90) }, "[]"},
		{func(c *Configuration) { c.Routes[1].Destinations = split("s", 50, "u", 50) },
			`[{changed 50 1 route "b" traffic split changed from "s" 90, "u" 0 to "s" 50, "u" 50}]`},
		{func(c *Configuration) { c.Routes[0].Timeout.Value = time.Second }, `[{changed 50 1 route "a" timeout raised from 900ms to 1s}]`},
		{func(c *Configuration) { c.Routes[0].Timeout = Field[time.Duration]{} }, `[{changed 1 1 route "a" timeout raised from 900ms to no limit}]`},
		{func(c *Configuration) { c.Routes[1].Attempts = given(1) }, "[]"},
		{func(c *Configuration) { c.Routes[1].Attempts = given(2) }, `[{changed 50 1 route "b" number of attempts raised from 1 to 2}]`},
		{func(c *Configuration) { c.Routes[0].Public = given(true) }, `[{changed 50 1 route "a" requests need no key now}]`},
		{func(c *Configuration) { c.Routes[0].NonIdempotent = given(true) }, `[{changed 50 1 route "a" requests must run at most once now}]`},
		{func(c *Configuration) { c.Services[0].WarmupPerSecond = given(5.0) },
			`[{changed 50 1 service "s" warm-up rate lowered from no limit to 5 per second}]`},
		{func(c *Configuration) { c.Services[0].HealthPath = given("/z") }, `[{changed 50 1 service "s" health path changed from "" to "/z"}]`},
		{func(c *Configuration) { c.Tenants[0].RatePerSecond.Value = 9.5 },
			`[{changed 50 1 tenant "t" rate lowered from 10 per second to 9.5 per second}]`},
		{func(c *Configuration) { c.Tenants[0].Rank = given(2) }, `[{changed 50 1 tenant "t" priority changed from 0 to 2 (less urgent)}]`},
		{func(c *Configuration) {
			c.Tenants[0].Keys = []Key{NewKey("n1", at(5)), NewKey("k2", at(5)), NewKey("n2", at(5))}
		},
			`[{changed 5 1 tenant "t" 2 keys added: positions 1, 3} {changed 5 1 tenant "t" 1 key removed: position 1 in the version in force}]`},
		{func(c *Configuration) { c.Tenants = c.Tenants[:1] }, `[{removed 0 0 tenant "v" }]`},
		{func(c *Configuration) { c.Limits[0].BodyBytes = given(9) }, `[{changed 50 1 client limits body size lowered from no limit to 9 bytes}]`},
		{func(c *Configuration) { c.Limits = nil }, `[{removed 0 0 client limits }]`},
	} {
		next := valid()
		next.Version.Value++
		c.change(next)
		changes, findings := Compare(valid(), next)
		if got := fmt.Sprint(changes); got != c.want || len(findings) > 0 {
			t.Errorf("changes %s, want %s, findings %v", got, c.want, findings)
		}
	}
}

// Guards against a version that hosts would ignore and that is reported as new.
func TestCompareVersions(t *testing.T) {
	is := is.New(t)
	next := valid()
	_, findings := Compare(valid(), next)
	is.Equal(findings[0].Severity, Warning) // same version, same content
	next.Routes = next.Routes[:1]
	_, findings = Compare(valid(), next)
	is.Equal(findings[0].Severity, Error)
	next = valid()
	next.Version.Value = 6
	_, findings = Compare(valid(), next)
	is.Equal(findings[0].Severity, Error)
}
