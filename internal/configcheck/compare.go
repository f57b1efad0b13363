package configcheck

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ChangeKind is the kind of a change.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between the version in force and a new one. Line and column
// are places in the new file, and zero if the new file lacks the entry.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Line    int        `json:"line,omitempty"`
	Column  int        `json:"column,omitempty"`
	Entry   string     `json:"entry"`
	Message string     `json:"message,omitempty"` // empty unless the kind is Changed
}

// Compare returns what differs between the version in force and a new one, in the order
// routes, services, tenants, client limits. Entries are matched by name. The findings are
// about the number of the new version.
func Compare(inForce, next *Configuration) ([]Change, []Finding) {
	d := &differ{}
	compareEntries(d, inForce.Routes, next.Routes, func(r *Route) *Entry { return &r.Entry }, (*differ).route)
	compareEntries(d, inForce.Services, next.Services, func(s *Service) *Entry { return &s.Entry }, (*differ).service)
	compareEntries(d, inForce.Tenants, next.Tenants, func(t *Tenant) *Entry { return &t.Entry }, (*differ).tenant)
	compareEntries(d, lastLimits(inForce), lastLimits(next), func(l *Limits) *Entry { return &l.Entry }, (*differ).limits)
	return d.changes, compareVersions(inForce, next, len(d.changes) > 0)
}

func compareVersions(inForce, next *Configuration, changed bool) []Finding {
	v, current := next.Version, inForce.Version.Value
	switch {
	case v.Malformed || !v.Given() || v.Value > current:
		return nil
	case v.Value == current && !changed:
		return []Finding{NewFinding(Warning, RuleVersion, v.At, "version %d is in force already, with the same content", current)}
	default:
		return []Finding{NewFinding(Error, RuleVersion, v.At, "version %d isn't higher than version %d in force; hosts would ignore it", v.Value, current)}
	}
}

// lastLimits returns the client limits that apply.
func lastLimits(c *Configuration) []Limits {
	return c.Limits[max(0, len(c.Limits)-1):]
}

// differ collects changes.
type differ struct{ changes []Change }

func (d *differ) add(kind ChangeKind, e *Entry, at Position, format string, args ...any) {
	d.changes = append(d.changes, Change{Kind: kind, Line: at.Line, Column: at.Column, Entry: e.String(), Message: fmt.Sprintf(format, args...)})
}

func (d *differ) changed(e *Entry, at Position, format string, args ...any) {
	if at.IsZero() {
		at = e.At
	}
	d.add(Changed, e, at, format, args...)
}

// compareEntries reports the entries that were added or removed, and calls compare for
// those of both versions. Of entries with the same name, the last one counts.
func compareEntries[T any](d *differ, old, next []T, entry func(*T) *Entry, compare func(d *differ, old, next *T)) {
	index := func(entries []T) map[string]*T {
		byName := make(map[string]*T, len(entries))
		for i := range entries {
			byName[entry(&entries[i]).Name.Value] = &entries[i]
		}
		return byName
	}
	before, after := index(old), index(next)
	for i := range next {
		e := entry(&next[i])
		if after[e.Name.Value] != &next[i] {
			continue
		}
		if previous := before[e.Name.Value]; previous != nil {
			compare(d, previous, &next[i])
		} else {
			d.add(Added, e, e.At, "")
		}
	}
	for i := range old {
		e := entry(&old[i])
		if before[e.Name.Value] == &old[i] && after[e.Name.Value] == nil {
			d.add(Removed, e, Position{}, "")
		}
	}
}

// compareNumbers reports a number that was raised or lowered. zero is the text for the
// value zero; if it means that there is no bound, setting or lifting the bound is reported as
// lowering or raising it.
func compareNumbers[T int | float64 | time.Duration](d *differ, e *Entry, what string, old, next Field[T], unit string, zero string) {
	if old.Value == next.Value {
		return
	}
	text := func(v T) string {
		if v == 0 && zero != "" {
			return zero
		}
		return fmt.Sprintf("%v%s", v, unit)
	}
	raised := next.Value > old.Value
	if zero == noLimit && (old.Value == 0 || next.Value == 0) {
		raised = next.Value == 0
	}
	direction := "lowered"
	if raised {
		direction = "raised"
	}
	d.changed(e, next.At, "%s %s from %s to %s", what, direction, text(old.Value), text(next.Value))
}

// noLimit is the text for a bound of zero.
const noLimit = "no limit"

func (d *differ) route(old, next *Route) {
	e := &next.Entry
	if !strings.EqualFold(old.Host.Value, next.Host.Value) {
		d.changed(e, next.Host.At, "host changed from %q to %q", old.Host.Value, next.Host.Value)
	}
	if old.Prefix.Value != next.Prefix.Value {
		d.changed(e, next.Prefix.At, "prefix changed from %q to %q", old.Prefix.Value, next.Prefix.Value)
	}
	d.destinations(old, next)
	if old.NonIdempotent.Value != next.NonIdempotent.Value {
		d.changed(e, next.NonIdempotent.At, "requests %s now", choose(next.NonIdempotent.Value, "must run at most once", "may run more than once"))
	}
	if old.Public.Value != next.Public.Value {
		d.changed(e, next.Public.At, "requests need %s key now", choose(next.Public.Value, "no", "a tenant's"))
	}
	compareNumbers(d, e, "timeout", old.Timeout, next.Timeout, "", noLimit)
	compareNumbers(d, e, "target latency", old.TargetLatency, next.TargetLatency, "", "none")
	d.rank(e, old.Rank, next.Rank)
	before, after := old.Attempts, next.Attempts
	before.Value, after.Value = max(before.Value, 1), max(after.Value, 1)
	compareNumbers(d, e, "number of attempts", before, after, "", "")
}

// rank reports a changed priority. A lower number is more urgent, so that "raised" would
// be ambiguous.
func (d *differ) rank(e *Entry, old, next Field[int]) {
	if old.Value != next.Value {
		d.changed(e, next.At, "priority changed from %d to %d (%s urgent)", old.Value, next.Value, choose(next.Value < old.Value, "more", "less"))
	}
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func (d *differ) destinations(old, next *Route) {
	before, after := splitText(old.Destinations), splitText(next.Destinations)
	if before == after {
		return
	}
	at := next.At
	if len(next.Destinations) > 0 {
		at = next.Destinations[0].At
	}
	if len(old.Destinations) == 1 && len(next.Destinations) == 1 {
		d.changed(&next.Entry, at, "moved from service %s to service %s", before, after)
		return
	}
	d.changed(&next.Entry, at, "traffic split changed from %s to %s", before, after)
}

// splitText returns the text of a traffic split. The weight of a single destination is
// left out, because it has no effect. The order has none either.
func splitText(destinations []Destination) string {
	var parts []string
	for _, x := range destinations {
		text := fmt.Sprintf("%q", x.Service.Value)
		if len(destinations) > 1 {
			text = fmt.Sprintf("%s %d", text, x.Weight.Value)
		}
		parts = append(parts, text)
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func (d *differ) service(old, next *Service) {
	e := &next.Entry
	compareNumbers(d, e, "number of connections", old.MaxConnections, next.MaxConnections, "", "")
	if old.HealthPath.Value != next.HealthPath.Value {
		d.changed(e, next.HealthPath.At, "health path changed from %q to %q", old.HealthPath.Value, next.HealthPath.Value)
	}
	compareNumbers(d, e, "warm-up time", old.WarmupTime, next.WarmupTime, "", "")
	compareNumbers(d, e, "warm-up rate", old.WarmupPerSecond, next.WarmupPerSecond, " per second", noLimit)
}

func (d *differ) tenant(old, next *Tenant) {
	e := &next.Entry
	d.rank(e, old.Rank, next.Rank)
	compareNumbers(d, e, "rate", old.RatePerSecond, next.RatePerSecond, " per second", noLimit)
	compareNumbers(d, e, "burst", old.Burst, next.Burst, "", "")
	if added := missingKeys(next.Keys, old.Keys); len(added) > 0 {
		d.changed(e, next.Keys[added[0]].At, "%s added: %s", countKeys(len(added)), positions(added))
	}
	if removed := missingKeys(old.Keys, next.Keys); len(removed) > 0 {
		d.changed(e, e.At, "%s removed: %s in the version in force", countKeys(len(removed)), positions(removed))
	}
}

// missingKeys returns the indices of the keys that others lacks.
func missingKeys(keys, others []Key) []int {
	known := make(map[[sha256.Size]byte]bool, len(others))
	for _, other := range others {
		known[other.Hash] = true
	}
	var indices []int
	for i, key := range keys {
		if !known[key.Hash] {
			indices = append(indices, i)
		}
	}
	return indices
}

func countKeys(n int) string {
	if n == 1 {
		return "1 key"
	}
	return fmt.Sprintf("%d keys", n)
}

// positions names keys by their position, starting at 1.
func positions(indices []int) string {
	var parts []string
	for _, i := range indices {
		parts = append(parts, fmt.Sprint(i+1))
	}
	return choose(len(indices) == 1, "position ", "positions ") + strings.Join(parts, ", ")
}

func (d *differ) limits(old, next *Limits) {
	e := &next.Entry
	compareNumbers(d, e, "header size", old.HeaderBytes, next.HeaderBytes, " bytes", noLimit)
	compareNumbers(d, e, "body size", old.BodyBytes, next.BodyBytes, " bytes", noLimit)
	compareNumbers(d, e, "header timeout", old.HeaderTimeout, next.HeaderTimeout, "", noLimit)
	compareNumbers(d, e, "idle timeout", old.IdleTimeout, next.IdleTimeout, "", noLimit)
}
