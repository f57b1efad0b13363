// Package settings reads the TOML settings of each binary.
//
// Decoding is strict: unknown keys, wrong types, values out of range and
// settings that contradict each other are reported together, each with file,
// line and key. The key of a quantity ends in its unit. Addresses are numeric.
package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/tomldoc"
)

// Parse is a function that reads the settings of one binary. The file name is
// used in faults only. The error is of type tomldoc.Faults and lists every fault.
type Parse[T any] func(file string, data []byte) (*T, error)

// Load reads the settings in the file at path with parse.
func Load[T any](path string, parse Parse[T]) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return parse(path, data)
}

// parse parses a document and converts its root table with read. The error lists
// the faults of the document, including keys that read did not look up.
func parse[T any](file string, data []byte, read func(table) *T) (*T, error) {
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	s := read(table{doc.Root()})
	if err := doc.Finish().AsError(); err != nil {
		return nil, err
	}
	return s, nil
}

// table adds the types of values that occur in settings to tomldoc.Table.
type table struct{ *tomldoc.Table }

// subtable returns the table at key, or an empty one if it is absent or faulty.
func (t table) subtable(key string) table { return table{t.Table.Table(key)} }

// millis reads a duration given in milliseconds.
func (t table) millis(key string, def, low, high time.Duration) time.Duration {
	return time.Duration(t.Int(key, def.Milliseconds(), low.Milliseconds(), high.Milliseconds())) * time.Millisecond
}

// seconds reads a duration given in seconds.
func (t table) seconds(key string, def, low, high time.Duration) time.Duration {
	return time.Duration(t.Int(key, int64(def/time.Second), int64(low/time.Second), int64(high/time.Second))) * time.Second
}

func (t table) count(key string, def, low, high int) int {
	return int(t.Int(key, int64(def), int64(low), int64(high)))
}

// name reads a required name of a host, failure domain, service or instance.
func (t table) name(key string) string {
	t.Require(key)
	name := t.String(key, "")
	if t.HasFault(key) {
		return ""
	}
	if err := config.CheckName(name); err != nil {
		t.AddFaultf(key, "%v", err)
	}
	return name
}

// oneOf reads a string that must be one of the allowed values.
func (t table) oneOf(key, def string, allowed ...string) string {
	value := t.String(key, def)
	for _, w := range allowed {
		if value == w {
			return value
		}
	}
	t.AddFaultf(key, "is %q, want one of %q", value, allowed)
	return def
}

// address reads a required numeric address with a port.
func (t table) address(key string) string {
	t.Require(key)
	return t.optionalAddress(key, "")
}

// optionalAddress reads a numeric address with a port. It returns def if the
// address is absent or not a string.
func (t table) optionalAddress(key, def string) string {
	text := t.String(key, def)
	if !t.Has(key) || t.HasFault(key) {
		return def
	}
	if reason := invalidAddressReason(text); reason != "" {
		t.AddFaultf(key, "%s", reason)
	}
	return text
}

// invalidAddressReason returns why an address is invalid, or "" if it is valid.
func invalidAddressReason(text string) string {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Sprintf("%q: want a numeric address with a port, such as 127.0.0.1:7000", text)
	}
	if addr.Port() == 0 || addr.Addr().IsUnspecified() {
		return fmt.Sprintf("%q: peers cannot reach this address", text)
	}
	return ""
}

// addresses reads a list of numeric addresses with a length from low to high.
func (t table) addresses(key string, low, high int) []string {
	list := t.Strings(key)
	if t.HasFault(key) {
		return nil
	}
	if len(list) < low || len(list) > high {
		t.AddFaultf(key, "has %d addresses, want %d to %d", len(list), low, high)
	}
	seen := map[string]bool{}
	for _, text := range list {
		if reason := invalidAddressReason(text); reason != "" {
			t.AddFaultf(key, "%s", reason)
		} else if seen[text] {
			t.AddFaultf(key, "%q is listed twice", text)
		}
		seen[text] = true
	}
	return list
}

// requireAbove records a fault for key unless its value is greater than the value
// of otherKey.
func requireAbove[T cmp.Ordered](t table, key string, value T, otherKey string, otherValue T) {
	if value <= otherValue {
		t.AddFaultf(key, "is %v, want above %s, which is %v", value, t.KeyPath(otherKey), otherValue)
	}
}
