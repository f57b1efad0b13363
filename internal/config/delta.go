package config

import (
	"encoding/json"
	"fmt"
)

// Delta turns the snapshot with hash Base into the one with hash Target.
type Delta struct {
	Base   Hash
	Target Hash
	// Changed holds the resources that are new or differ.
	Changed Snapshot
	// Removed holds the names of the resources that are gone.
	Removed Names
}

// Names lists resources by kind.
type Names struct {
	FailureDomains []string `json:"failure_domains,omitempty"`
	Services       []string `json:"services,omitempty"`
	Classes        []string `json:"classes,omitempty"`
	Routes         []string `json:"routes,omitempty"`
}

// NewDelta returns the delta from base to target.
func NewDelta(base, target *Accepted) *Delta {
	d := &Delta{Base: base.Hash, Target: target.Hash}
	from, to := base.Snapshot, target.Snapshot
	d.Changed.FailureDomains, d.Removed.FailureDomains = deltaOf(from.FailureDomains, to.FailureDomains, domainName)
	d.Changed.Services, d.Removed.Services = deltaOf(from.Services, to.Services, serviceName)
	d.Changed.Classes, d.Removed.Classes = deltaOf(from.Classes, to.Classes, className)
	d.Changed.Routes, d.Removed.Routes = deltaOf(from.Routes, to.Routes, routeName)
	return d
}

// deltaOf compares two lists that are sorted by name.
func deltaOf[T comparable](from, to []T, name func(T) string) (changed []T, removed []string) {
	old := byName(from, name)
	for _, item := range to {
		if before, ok := old[name(item)]; !ok || before != item {
			changed = append(changed, item)
		}
		delete(old, name(item))
	}
	for _, item := range from {
		if _, ok := old[name(item)]; ok {
			removed = append(removed, name(item))
		}
	}
	return changed, removed
}

func byName[T any](items []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(items))
	for _, item := range items {
		m[name(item)] = item
	}
	return m
}

// applyTo returns a new snapshot; base is not changed.
func (d *Delta) applyTo(base *Snapshot) *Snapshot {
	return &Snapshot{
		FailureDomains: patched(base.FailureDomains, d.Changed.FailureDomains, d.Removed.FailureDomains, domainName),
		Services:       patched(base.Services, d.Changed.Services, d.Removed.Services, serviceName),
		Classes:        patched(base.Classes, d.Changed.Classes, d.Removed.Classes, className),
		Routes:         patched(base.Routes, d.Changed.Routes, d.Removed.Routes, routeName),
	}
}

func patched[T any](base, changed []T, removed []string, name func(T) string) []T {
	dropped := make(map[string]bool, len(changed)+len(removed))
	for _, item := range changed {
		dropped[name(item)] = true
	}
	for _, n := range removed {
		dropped[n] = true
	}
	out := make([]T, 0, len(base)+len(changed))
	for _, item := range base {
		if !dropped[name(item)] {
			out = append(out, item)
		}
	}
	return append(out, changed...)
}

// deltaDoc is the encoded form of a Delta.
type deltaDoc struct {
	Base    Hash        `json:"base"`
	Target  Hash        `json:"target"`
	Changed snapshotDoc `json:"changed"`
	Removed Names       `json:"removed"`
}

// EncodeDelta returns d as JSON.
func EncodeDelta(d *Delta) ([]byte, error) {
	encoded, err := json.Marshal(deltaDoc{Base: d.Base, Target: d.Target, Changed: docOf(&d.Changed), Removed: d.Removed})
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	return encoded, nil
}

// DecodeDelta reads the result of EncodeDelta. It refuses unknown fields and
// oversized input. The resources are validated when the delta is applied.
func DecodeDelta(encoded []byte) (*Delta, error) {
	if len(encoded) > MaxEncodedBytes {
		return nil, fmt.Errorf("delta has %d bytes, the limit is %d", len(encoded), MaxEncodedBytes)
	}
	var doc deltaDoc
	if err := decodeStrict(encoded, &doc); err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	changed, err := doc.Changed.snapshot()
	if err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	return &Delta{Base: doc.Base, Target: doc.Target, Changed: *changed, Removed: doc.Removed}, nil
}
