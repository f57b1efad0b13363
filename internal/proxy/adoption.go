package proxy

import (
	"cmp"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// A process that starts beside a running instance learns of it from the record of
// the process before. It takes the instance over before the next heartbeat, but
// only once the instance itself has said that it serves: the record may be older
// than a leave that the earlier process has acknowledged.

// predecessor is what is known of the earlier processes of this host.
type predecessor struct {
	Member      // the newest record
	probed bool // the instance of a record was asked whether it serves
	// left is the last instance that has said that it leaves, nil if none is known.
	left *MemberInstance
}

// raise takes in a record of this host by an earlier process and moves the own
// incarnation past that of the record, since the time of day that incarnations
// start from may have been set back.
func (n *Node) raise(s *step, m *Member) {
	if m.Incarnation == n.self.Incarnation && m.Sequence <= n.self.Sequence {
		return
	}
	if m.newer(&n.earlier.Member) {
		n.earlier.Member = *m
		if i := m.Instance; i != nil && i.Left {
			n.noteLeft(s, i)
		}
		n.probeEarlier(s)
	}
	if m.Incarnation >= n.self.Incarnation {
		n.self.Incarnation = m.Incarnation + 1
		n.announceSelf(s)
	}
}

// probeEarlier asks the instance of the earlier process whether it serves, unless
// it has reported by itself.
func (n *Node) probeEarlier(s *step) {
	i := n.earlier.Instance
	if i == nil || n.earlier.probed || n.config == nil || !n.adoptable(i) {
		return
	}
	path := n.config.HealthPath(i.Service)
	if path == "" {
		return
	}
	n.earlier.probed = true
	s.out.Probes = append(s.out.Probes, InstanceProbe{ID: i.ID, Path: path})
}

// adoptable reports whether an instance of an earlier process may still serve.
func (n *Node) adoptable(i *MemberInstance) bool {
	return n.local.id == "" && !i.Closed && !n.hasLeft(i.ID, i.Born) &&
		(n.settings.Service == "" || i.Service == n.settings.Service)
}

func (e InstanceProbed) apply(n *Node, s *step) {
	i := n.earlier.Instance
	adopted := e.Serving && i != nil && i.ID == e.ID && n.adoptable(i)
	s.record("instance.probed", "instance", string(e.ID), "serving", e.Serving, "adopted", adopted)
	if !adopted {
		return
	}
	n.local = localInstance{id: i.ID, service: i.Service, version: i.Version, slots: max(i.Slots, 1), born: i.Born, adopted: true}
	n.gateOut = n.gate.SetInstance(s.now, admission.Instance{ID: i.ID, Slots: n.local.slots}, n.gateOut)
	n.announceSelf(s)
}

// hasLeft reports whether an instance has told an earlier process, or this one
// before its first heartbeat, that it leaves. Heartbeats that were sent before that
// may arrive afterwards, and an instance that starts again was born later.
func (n *Node) hasLeft(id mesh.InstanceID, born int64) bool {
	left := n.earlier.left
	return left != nil && left.ID == id && born <= left.Born
}

// noteLeft keeps an instance that has left out of use, also for the processes
// after this one: its record names the instance until another one reports.
func (n *Node) noteLeft(s *step, i *MemberInstance) {
	left := *i
	left.Closed = true
	n.earlier.left = &left
	if l := &n.local; l.id != "" && !l.draining && n.hasLeft(l.id, l.born) {
		l.draining = true
		n.gateOut = n.gate.SetInstance(s.now, admission.Instance{ID: l.id, Slots: l.slots, Draining: true}, n.gateOut)
	}
	s.record("instance.left", "instance", string(i.ID), "known", n.local.id == i.ID)
	n.announceSelf(s)
}

// leftUnknown is the record of an instance that leaves before this process has had
// a heartbeat of it.
func leftUnknown(now mesh.Time, e InstanceLeft) *MemberInstance {
	bornBefore := int64(now) / int64(time.Millisecond)
	return &MemberInstance{ID: e.ID, Slots: 1, Left: true, Born: cmp.Or(e.Born, bornBefore)}
}

// PreviousRecord returns the record of a host by the process before the one that the
// given record is of, if this node still has it.
func (n *Node) PreviousRecord(m *Member) Member {
	if old := n.members[m.Host]; old != nil && old.Incarnation < m.Incarnation {
		return old.Member
	}
	return Member{}
}
