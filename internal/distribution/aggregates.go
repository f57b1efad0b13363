package distribution

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// SetLocal sets this node's contribution to an aggregate. A nil value removes
// it.
func (r *Reducer) SetLocal(kind AggregateKind, value []byte) {
	if value == nil {
		delete(r.local, kind)
		return
	}
	r.local[kind] = value
}

// Aggregate returns the aggregate of all failure domains as known here, and
// nil if there is none.
func (r *Reducer) Aggregate(kind AggregateKind) []byte {
	for _, a := range r.totals() {
		if a.Kind == kind {
			return a.Value
		}
	}
	return nil
}

// merged collects aggregates of several sources by kind.
type merged struct {
	merges map[AggregateKind]Merge
	values map[AggregateKind][]byte
}

func (m *merged) add(kind AggregateKind, value []byte) {
	merge, ok := m.merges[kind]
	if !ok || len(value) == 0 {
		return
	}
	if known, ok := m.values[kind]; ok {
		value = merge(known, value)
	}
	m.values[kind] = value
}

func (m *merged) list() []Aggregate {
	var out []Aggregate
	for _, kind := range sortedKeys(m.values) {
		out = append(out, Aggregate{Kind: kind, Value: m.values[kind]})
	}
	return out
}

func (r *Reducer) newMerged() merged {
	return merged{merges: r.settings.Merges, values: make(map[AggregateKind][]byte)}
}

// subtreeAggregates merges this node's contributions with its children's.
func (r *Reducer) subtreeAggregates(now mesh.Time) []Aggregate {
	if len(r.settings.Merges) == 0 {
		return nil
	}
	m := r.newMerged()
	for _, kind := range sortedKeys(r.local) {
		m.add(kind, r.local[kind])
	}
	for _, child := range r.topology.Children() {
		p := r.peers[child]
		if p == nil || now.Sub(p.ackAt) > ackLife {
			continue
		}
		for _, kind := range sortedKeys(p.aggregates) {
			m.add(kind, p.aggregates[kind])
		}
	}
	return m.list()
}

// totals returns the aggregates of all failure domains: merged here on
// readers, received from the parent elsewhere.
func (r *Reducer) totals() []Aggregate {
	if len(r.settings.Merges) == 0 {
		return nil
	}
	m := r.newMerged()
	if !r.topology.IsReader() {
		m.values = r.total
		return m.list()
	}
	for _, domain := range sortedKeys(r.domainAcks) {
		for _, a := range r.domainAcks[domain].Aggregates {
			m.add(a.Kind, a.Value)
		}
	}
	return m.list()
}

// changedAggregates returns the aggregates that the peer was not yet told. One
// that no longer exists is told with an empty value.
func (p *peer) changedAggregates(current []Aggregate) []Aggregate {
	var changed []Aggregate
	for _, kind := range sortedKeys(p.sentAggregates) {
		gone := !slices.ContainsFunc(current, func(a Aggregate) bool { return a.Kind == kind })
		if gone {
			delete(p.sentAggregates, kind)
			changed = append(changed, Aggregate{Kind: kind})
		}
	}
	for _, a := range current {
		sum := xxhash.Sum64(a.Value)
		if known, ok := p.sentAggregates[a.Kind]; ok && known == sum {
			continue
		}
		p.sentAggregates[a.Kind] = sum
		changed = append(changed, a)
	}
	return changed
}

// acceptAggregates takes the aggregates of a child's subtree, or those of the
// mesh from the parent.
func (r *Reducer) acceptAggregates(from mesh.HostID, p *peer, aggregates []Aggregate) {
	target := p.aggregates
	if parent, ok := r.topology.Parent(); ok && parent == from {
		target = r.total
	}
	for _, a := range aggregates {
		if len(a.Value) == 0 {
			delete(target, a.Kind)
			continue
		}
		target[a.Kind] = a.Value
	}
}
