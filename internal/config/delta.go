package config

import (
	"encoding/json"
	"fmt"
)

// Delta turns the snapshot with hash Base into the one with hash Target.
type Delta struct {
	Base   Hash
	Target Hash
	// Changed holds the resources of the target that are absent from the base or
	// differ from it.
	Changed Snapshot
	// Removed holds the names of the resources of the base that are absent from
	// the target.
	Removed ResourceNames
}

// ResourceNames lists the names of resources by kind.
type ResourceNames struct {
	FailureDomains []string `json:"failure_domains,omitempty"`
	Services       []string `json:"services,omitempty"`
	Classes        []string `json:"classes,omitempty"`
	Routes         []string `json:"routes,omitempty"`
}

// NewDelta returns the delta from base to target.
func NewDelta(base, target *Accepted) *Delta {
	d := &Delta{Base: base.Hash, Target: target.Hash}
	from, to := base.Snapshot, target.Snapshot
	d.Changed.FailureDomains, d.Removed.FailureDomains = changedAndRemoved(from.FailureDomains, to.FailureDomains, failureDomainName)
	d.Changed.Services, d.Removed.Services = changedAndRemoved(from.Services, to.Services, serviceName)
	d.Changed.Classes, d.Removed.Classes = changedAndRemoved(from.Classes, to.Classes, className)
	d.Changed.Routes, d.Removed.Routes = changedAndRemoved(from.Routes, to.Routes, routeName)
	return d
}

// changedAndRemoved returns the resources of target that are absent from base or
// differ there, and the names of the resources of base that are absent from
// target. Both lists are sorted by name, and so are the results.
func changedAndRemoved[T comparable](base, target []T, name func(T) string) (changed []T, removed []string) {
	remaining := byName(base, name)
	for _, item := range target {
		if previous, ok := remaining[name(item)]; !ok || previous != item {
			changed = append(changed, item)
		}
		delete(remaining, name(item))
	}
	for _, item := range base {
		if _, ok := remaining[name(item)]; ok {
			removed = append(removed, name(item))
		}
	}
	return changed, removed
}

// byName returns the items keyed by their names.
func byName[T any](items []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(items))
	for _, item := range items {
		m[name(item)] = item
	}
	return m
}

// applyTo returns a new snapshot with the changes of d applied to base. It does
// not modify base, and the result is not sorted.
func (d *Delta) applyTo(base *Snapshot) *Snapshot {
	return &Snapshot{
		FailureDomains: patchResources(base.FailureDomains, d.Changed.FailureDomains, d.Removed.FailureDomains, failureDomainName),
		Services:       patchResources(base.Services, d.Changed.Services, d.Removed.Services, serviceName),
		Classes:        patchResources(base.Classes, d.Changed.Classes, d.Removed.Classes, className),
		Routes:         patchResources(base.Routes, d.Changed.Routes, d.Removed.Routes, routeName),
	}
}

// patchResources returns base without the removed resources and with each changed
// resource added or replaced.
func patchResources[T any](base, changed []T, removed []string, name func(T) string) []T {
	excluded := make(map[string]bool, len(changed)+len(removed))
	for _, item := range changed {
		excluded[name(item)] = true
	}
	for _, n := range removed {
		excluded[n] = true
	}
	out := make([]T, 0, len(base)+len(changed))
	for _, item := range base {
		if !excluded[name(item)] {
			out = append(out, item)
		}
	}
	return append(out, changed...)
}

// deltaDoc is the encoded form of a Delta.
type deltaDoc struct {
	Base    Hash          `json:"base"`
	Target  Hash          `json:"target"`
	Changed snapshotDoc   `json:"changed"`
	Removed ResourceNames `json:"removed"`
}

// EncodeDelta returns d as JSON.
func EncodeDelta(d *Delta) ([]byte, error) {
	encoded, err := json.Marshal(deltaDoc{Base: d.Base, Target: d.Target, Changed: newSnapshotDoc(&d.Changed), Removed: d.Removed})
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	return encoded, nil
}

// DecodeDelta reads the result of EncodeDelta. It rejects unknown fields and
// input of more than MaxEncodedBytes. ApplyDelta validates the resources.
func DecodeDelta(encoded []byte) (*Delta, error) {
	if len(encoded) > MaxEncodedBytes {
		return nil, fmt.Errorf("delta has %d bytes, the limit is %d", len(encoded), MaxEncodedBytes)
	}
	var doc deltaDoc
	if err := decodeStrict(encoded, &doc); err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	changed, err := doc.Changed.toSnapshot()
	if err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	return &Delta{Base: doc.Base, Target: doc.Target, Changed: *changed, Removed: doc.Removed}, nil
}
