package config

import (
	"slices"
	"strconv"
	"strings"
)

// ChangeKind says whether a resource was added, removed or changed.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one resource that differs between two snapshots.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Resource is the resource's kind and name, such as "route bookings".
	Resource string `json:"resource"`
	// Fields lists the fields that differ. An added resource has no old values
	// and a removed one no new values.
	Fields []FieldChange `json:"fields"`
}

// FieldChange is one field of a changed resource.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Diff returns the changes that lead from one snapshot to another, ordered by
// the kind and then the name of the resource.
func Diff(from, to *Snapshot) []Change {
	from, to = from.sorted(), to.sorted()
	var changes []Change
	changes = append(changes, diffKind("failure domain", from.FailureDomains, to.FailureDomains, failureDomainName, failureDomainFields)...)
	changes = append(changes, diffKind("service", from.Services, to.Services, serviceName, serviceFields)...)
	changes = append(changes, diffKind("class", from.Classes, to.Classes, className, classFields)...)
	changes = append(changes, diffKind("route", from.Routes, to.Routes, routeName, routeFields)...)
	return changes
}

// field is one field of a resource: its TOML key and its value as text.
type field struct{ name, value string }

// diffKind compares the resources of one kind and returns the changes ordered by
// name.
func diffKind[T comparable](kind string, from, to []T, name func(T) string, fields func(T) []field) []Change {
	var changes []Change
	remaining := byName(from, name)
	for _, item := range to {
		previous, ok := remaining[name(item)]
		switch {
		case !ok:
			changes = append(changes, Change{Added, kind + " " + name(item), diffFields(nil, fields(item))})
		case previous != item:
			changes = append(changes, Change{Changed, kind + " " + name(item), diffFields(fields(previous), fields(item))})
		}
		delete(remaining, name(item))
	}
	for _, item := range remaining {
		changes = append(changes, Change{Removed, kind + " " + name(item), diffFields(fields(item), nil)})
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return strings.Compare(a.Resource, b.Resource) })
	return changes
}

// diffFields returns the fields whose values differ. The list before is empty
// for an added resource, and the list after for a removed one.
func diffFields(before, after []field) []FieldChange {
	var changes []FieldChange
	for i := range max(len(before), len(after)) {
		var c FieldChange
		if i < len(before) {
			c.Field, c.Old = before[i].name, before[i].value
		}
		if i < len(after) {
			c.Field, c.New = after[i].name, after[i].value
		}
		if c.Old != c.New {
			changes = append(changes, c)
		}
	}
	return changes
}

func failureDomainFields(FailureDomain) []field { return nil }

func serviceFields(s Service) []field {
	return []field{{"keep_ready_s", formatUint(s.KeepReadySeconds)}}
}

func classFields(c Class) []field {
	return []field{
		{"priority", c.Priority.String()},
		{"idempotent", strconv.FormatBool(c.Idempotent)},
		{"deadline_ms", formatUint(c.DeadlineMillis)},
		{"target_latency_ms", formatUint(c.TargetLatencyMillis)},
		{"target_success_share", formatShare(c.TargetSuccessShare)},
		{"retry_budget_share", formatShare(c.RetryBudgetShare)},
	}
}

func routeFields(r Route) []field {
	return []field{
		{"method", r.Method},
		{"path_prefix", r.PathPrefix},
		{"service", string(r.Service)},
		{"class", string(r.Class)},
	}
}

func formatUint(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

func formatShare(share float64) string { return strconv.FormatFloat(share, 'g', -1, 64) }
