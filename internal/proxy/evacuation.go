package proxy

import (
	"maps"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// EvacuationSeen carries the operator's row about the evacuation of a failure domain: while
// the row exists, the instances of the domain get no new requests.
type EvacuationSeen struct {
	Domain mesh.FailureDomain
	// Revision is that of the row or of its removal.
	Revision uint64
	// Removed is set if the row doesn't exist any more.
	Removed bool
}

// evacuation is the newest known state of the evacuation of a failure domain.
type evacuation struct {
	revision uint64
	active   bool
}

// apply ignores an event that is older than the known state: rows come from the store and
// from several peers at the same time.
func (e EvacuationSeen) apply(n *Node, s *step) {
	known, ok := n.evacuations[e.Domain]
	if e.Domain == "" || ok && e.Revision <= known.revision {
		return
	}
	n.evacuations[e.Domain] = evacuation{revision: e.Revision, active: !e.Removed}
	if known.active == !e.Removed {
		return
	}
	kind := "evacuation.began"
	if e.Removed {
		kind = "evacuation.ended"
	}
	s.log(kind, "domain", string(e.Domain), "revision", e.Revision, "own", e.Domain == n.settings.Domain)
	n.counters.Evacuations++
	n.membersChanged = true
	if e.Domain == n.settings.Domain {
		n.applyOwnEvacuation(s)
	}
}

// applyOwnEvacuation closes or opens the gate of this host at the beginning or the end of
// the evacuation of its domain. The instance counts as cold at the end.
func (n *Node) applyOwnEvacuation(s *step) {
	if !n.Evacuated(n.settings.Domain) {
		n.resetWarmUp(s)
	}
	if n.local.id != "" && !n.local.down {
		n.setGateInstance(s)
	}
	n.announceSelf(s)
}

// setGateInstance passes the state of the local instance to the admission gate.
func (n *Node) setGateInstance(s *step) {
	l := &n.local
	n.gateEffects = n.gate.SetInstance(s.now, admission.Instance{
		ID: l.id, Slots: l.slots, Draining: l.draining || l.left || n.Evacuated(n.settings.Domain),
	}, n.gateEffects)
}

// Evacuated reports whether a failure domain is evacuated.
func (n *Node) Evacuated(domain mesh.FailureDomain) bool { return n.evacuations[domain].active }

// Evacuations returns the evacuated failure domains, sorted by name.
func (n *Node) Evacuations() []mesh.FailureDomain {
	var list []mesh.FailureDomain
	for _, domain := range slices.Sorted(maps.Keys(n.evacuations)) {
		if n.Evacuated(domain) {
			list = append(list, domain)
		}
	}
	return list
}

// EvacuationRevision returns the revision of the row that asks for the evacuation of a
// domain.
func (n *Node) EvacuationRevision(domain mesh.FailureDomain) uint64 {
	return n.evacuations[domain].revision
}

// usableSlots returns the slots of the instance of a host, or zero if no requests may be
// sent to it.
func (n *Node) usableSlots(m *memberState) int {
	if n.Evacuated(m.Domain) {
		return 0
	}
	return m.usableSlots()
}

// CanWriteStatus reports whether this node can write the rows about evacuations for
// operators: it is a reader, has read the store and reaches it.
func (n *Node) CanWriteStatus() bool {
	return n.store.Loaded && n.store.Alive && !n.stopping && n.Role().Reads
}

// ReadersBefore returns the readers that write the rows about evacuations in preference to
// this node, if they can.
func (n *Node) ReadersBefore() []Member {
	readers := n.allReaders()
	own := slices.IndexFunc(readers, func(m Member) bool { return m.Host == n.settings.Host })
	return readers[:max(own, 0)]
}

// ReachableHosts returns the hosts that this node can reach, itself included, sorted by
// name.
func (n *Node) ReachableHosts() []mesh.HostID {
	var list []mesh.HostID
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		if m := n.members[host]; m.usable() && !m.Leaving {
			list = append(list, host)
		}
	}
	return list
}
