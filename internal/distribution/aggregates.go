package distribution

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// SetLocal sets this node's contribution to an aggregate. A nil value removes
// the contribution.
func (r *Reducer) SetLocal(kind AggregateKind, value []byte) {
	if value == nil {
		delete(r.localAggregates, kind)
		return
	}
	r.localAggregates[kind] = value
}

// Aggregate returns the aggregate over all failure domains as far as this node
// knows it, or nil if there is none.
func (r *Reducer) Aggregate(kind AggregateKind) []byte {
	for _, a := range r.meshAggregates() {
		if a.Kind == kind {
			return a.Value
		}
	}
	return nil
}

// aggregateMerger merges aggregates from several sources by kind.
type aggregateMerger struct {
	merges map[AggregateKind]Merge
	values map[AggregateKind][]byte
}

// add merges in a value. Empty values and kinds without a merge function are
// ignored.
func (m *aggregateMerger) add(kind AggregateKind, value []byte) {
	merge, ok := m.merges[kind]
	if !ok || len(value) == 0 {
		return
	}
	if merged, ok := m.values[kind]; ok {
		value = merge(merged, value)
	}
	m.values[kind] = value
}

func (m *aggregateMerger) list() []Aggregate {
	var out []Aggregate
	for _, kind := range sortedKeys(m.values) {
		out = append(out, Aggregate{Kind: kind, Value: m.values[kind]})
	}
	return out
}

func (r *Reducer) newAggregateMerger() aggregateMerger {
	return aggregateMerger{merges: r.settings.Merges, values: make(map[AggregateKind][]byte)}
}

// subtreeAggregates merges this node's contributions with the aggregates of
// its children's subtrees, leaving out those of children that have not
// reported within ackTimeout.
func (r *Reducer) subtreeAggregates(now mesh.Time) []Aggregate {
	if len(r.settings.Merges) == 0 {
		return nil
	}
	m := r.newAggregateMerger()
	for _, kind := range sortedKeys(r.localAggregates) {
		m.add(kind, r.localAggregates[kind])
	}
	for _, child := range r.topology.Children() {
		p := r.peers[child]
		if p == nil || now.Sub(p.ackReceivedAt) > ackTimeout {
			continue
		}
		for _, kind := range sortedKeys(p.aggregates) {
			m.add(kind, p.aggregates[kind])
		}
	}
	return m.list()
}

// meshAggregates returns the aggregates over all failure domains. Readers
// merge those of the failure domains; other nodes receive them from the
// parent.
func (r *Reducer) meshAggregates() []Aggregate {
	if len(r.settings.Merges) == 0 {
		return nil
	}
	m := r.newAggregateMerger()
	if !r.topology.IsReader() {
		m.values = r.parentTotals
		return m.list()
	}
	for _, domain := range sortedKeys(r.domainAcks) {
		for _, a := range r.domainAcks[domain].Aggregates {
			m.add(a.Kind, a.Value)
		}
	}
	return m.list()
}

// changedAggregates returns the aggregates that have changed since they were
// last sent to the peer, and records them as sent. A removed aggregate is sent
// with an empty value.
func (p *peer) changedAggregates(current []Aggregate) []Aggregate {
	var changed []Aggregate
	for _, kind := range sortedKeys(p.sentAggregateHashes) {
		removed := !slices.ContainsFunc(current, func(a Aggregate) bool { return a.Kind == kind })
		if removed {
			delete(p.sentAggregateHashes, kind)
			changed = append(changed, Aggregate{Kind: kind})
		}
	}
	for _, a := range current {
		hash := xxhash.Sum64(a.Value)
		if sentHash, ok := p.sentAggregateHashes[a.Kind]; ok && sentHash == hash {
			continue
		}
		p.sentAggregateHashes[a.Kind] = hash
		changed = append(changed, a)
	}
	return changed
}

// acceptAggregates stores the aggregates that a peer reported: those of the
// whole mesh if it is the parent, and those of its subtree otherwise.
func (r *Reducer) acceptAggregates(from mesh.HostID, p *peer, aggregates []Aggregate) {
	target := p.aggregates
	if parent, ok := r.topology.Parent(); ok && parent == from {
		target = r.parentTotals
	}
	for _, a := range aggregates {
		if len(a.Value) == 0 {
			delete(target, a.Kind)
			continue
		}
		target[a.Kind] = a.Value
	}
}
