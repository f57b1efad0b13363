// Package timeline keeps the events of one host in a bounded ring buffer, merges
// the events of many hosts in causal order, filters them and renders the result.
package timeline

import (
	"cmp"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/hlc"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Entry is one event. Fields that do not apply are empty.
type Entry struct {
	// Clock is the hybrid logical time of the event. It orders the entries of
	// different hosts causally.
	Clock hlc.Timestamp `json:"clock"`
	// Recorder is the host that recorded the entry.
	Recorder mesh.HostID `json:"recorder"`
	// Kind is a stable name such as "config.applied".
	Kind   string             `json:"kind"`
	Detail string             `json:"detail,omitempty"`
	Config mesh.ConfigVersion `json:"config,omitempty"`
	Move   mesh.MoveID        `json:"move,omitempty"`
	// Host is the host that the event is about.
	Host mesh.HostID `json:"host,omitempty"`
	// Call is the request identity of the call that the event is about.
	Call string `json:"call,omitempty"`
}

// Ring holds the latest entries of one host. It is not safe for concurrent use.
type Ring struct {
	entries []Entry
	// next is the index of the oldest entry once the ring is full.
	next    int
	dropped uint64
}

// NewRing returns a ring with room for the given number of entries, but for at
// least one.
func NewRing(capacity int) *Ring {
	return &Ring{entries: make([]Entry, 0, max(capacity, 1))}
}

// Add appends an entry and drops the oldest one when the ring is full.
func (r *Ring) Add(e Entry) {
	if len(r.entries) < cap(r.entries) {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % len(r.entries)
	r.dropped++
}

// Dropped returns the number of entries dropped since the ring was created.
func (r *Ring) Dropped() uint64 { return r.dropped }

// Entries returns a copy of the entries, oldest first.
func (r *Ring) Entries() []Entry {
	return slices.Concat(r.entries[r.next:], r.entries[:r.next])
}

// Merge returns the entries of all rings in causal order. Entries with equal
// clocks are ordered by recorder, then by their position in their ring, so the
// result does not depend on the order of the arguments.
func Merge(rings ...[]Entry) []Entry {
	merged := slices.Concat(rings...)
	slices.SortStableFunc(merged, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Recorder, b.Recorder))
	})
	return merged
}

// Filter selects entries. A field with its zero value matches all entries.
type Filter struct {
	Config mesh.ConfigVersion
	Move   mesh.MoveID
	// Host selects entries recorded by the host or about it.
	Host mesh.HostID
	Call string
}

// Match reports whether e passes the filter.
func (f Filter) Match(e Entry) bool {
	return (f.Config == 0 || f.Config == e.Config) &&
		(f.Move == "" || f.Move == e.Move) &&
		(f.Host == "" || f.Host == e.Host || f.Host == e.Recorder) &&
		(f.Call == "" || f.Call == e.Call)
}

// Apply returns the entries that pass the filter, in their order.
func (f Filter) Apply(entries []Entry) []Entry {
	var matching []Entry
	for _, e := range entries {
		if f.Match(e) {
			matching = append(matching, e)
		}
	}
	return matching
}
