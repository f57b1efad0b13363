package proxy

import (
	"cmp"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// A sidecar process that starts while the instance on its host is already running
// finds the instance in the member record of the previous sidecar process. It adopts
// the instance without waiting for the next heartbeat.
//
// A record or a heartbeat may be older than a leave message that the previous process has
// acknowledged, and a heartbeat may be another writer's. Only the instance knows for
// certain, so the gate opens for an instance only after the instance has answered a health
// probe of this process under its name.

// predecessor describes the previous sidecar processes of this host.
type predecessor struct {
	Member      // the newest record of a previous process
	probed bool // a probe was sent to the instance named in a record
	// leftInstance is the last instance that announced that it exits, nil if there is
	// none.
	leftInstance *MemberInstance
}

// mergeOwnRecord stores a record that an earlier process of this host published. It
// also raises the incarnation of this process above that of the record: incarnations
// start from the time of day, which may have been set back.
func (n *Node) mergeOwnRecord(s *step, m *Member) {
	if m.Incarnation == n.self.Incarnation && m.Sequence <= n.self.Sequence {
		return
	}
	if m.newer(&n.predecessor.Member) {
		n.predecessor.Member = *m
		if i := m.Instance; i != nil && i.Left {
			n.recordInstanceLeft(s, i)
		}
		n.probePredecessorInstance(s)
	}
	if m.Incarnation >= n.self.Incarnation {
		n.self.Incarnation = m.Incarnation + 1
		n.announceSelf(s)
	}
}

// probePredecessorInstance probes the instance of the previous process, once, unless
// an instance has already sent a heartbeat.
func (n *Node) probePredecessorInstance(s *step) {
	i := n.predecessor.Instance
	if i == nil || n.predecessor.probed || n.config == nil || !n.adoptable(i) {
		return
	}
	path := n.config.HealthPath(i.Service)
	if path == "" {
		return
	}
	n.predecessor.probed = true
	n.probe(s, i.ID, path)
}

// probe asks for a health probe unless one of the same instance is in progress.
func (n *Node) probe(s *step, id mesh.InstanceID, path string) {
	if n.probing != id {
		n.probing = id
		s.out.Probes = append(s.out.Probes, InstanceProbe{ID: id, Path: path})
	}
}

// mustConfirm reports whether the instance of a heartbeat has to answer a probe before the
// gate opens for it.
func (n *Node) mustConfirm(e *InstanceReported) bool {
	known := n.local.id == e.ID && (n.local.adopted || n.local.born == e.Born)
	return !known && !e.Draining && !n.hasLeft(e.ID, e.Born)
}

// holdReport keeps a heartbeat until its instance has answered a probe. Meanwhile the
// host's record names the instance with a closed gate, so that hosts that start together
// find each other without delay.
func (n *Node) holdReport(s *step, e *InstanceReported) {
	changed := n.unconfirmed == nil || n.unconfirmed.ID != e.ID || n.unconfirmed.Born != e.Born
	n.unconfirmed = e
	if changed && n.local.id == "" {
		n.announceSelf(s)
	}
	n.confirmReport(s)
}

// confirmReport probes the instance of the heartbeat that is held back, once the
// configuration names the path for it. An instance whose service has no health path is
// taken at its word.
func (n *Node) confirmReport(s *step) {
	if n.unconfirmed == nil || n.config == nil {
		return
	}
	path := n.config.HealthPath(n.unconfirmed.Service)
	if path == "" {
		report := n.unconfirmed
		n.unconfirmed = nil
		n.applyReport(s, report)
		return
	}
	n.probe(s, n.unconfirmed.ID, path)
}

// adoptable reports whether this process may adopt an instance of an earlier process:
// no instance is known yet, and the instance is of the host's service and hasn't left.
func (n *Node) adoptable(i *MemberInstance) bool {
	return n.local.id == "" && !i.Left && !n.hasLeft(i.ID, i.Born) &&
		(n.settings.Service == "" || i.Service == n.settings.Service)
}

func (e InstanceProbed) apply(n *Node, s *step) {
	if e.WarmUpOnly {
		n.applyWarmUpProbe(s, e)
		return
	}
	if n.probing == e.ID {
		n.probing = ""
	}
	i, report := n.predecessor.Instance, n.unconfirmed
	reported := report != nil && report.ID == e.ID
	adopted := e.Serving && !reported && i != nil && i.ID == e.ID && n.adoptable(i)
	s.log("instance.probed", "instance", string(e.ID), "serving", e.Serving, "reported", reported, "adopted", adopted)
	if reported && e.Serving { // otherwise the next heartbeat leads to another probe
		n.unconfirmed = nil
		n.applyReport(s, report)
		n.warmup.Confirmed(s.now, e.warmUpAnswer())
	}
	if !adopted {
		return
	}
	n.local = localInstance{id: i.ID, service: i.Service, version: i.Version, slots: max(i.Slots, 1), born: i.Born, adopted: true}
	n.resetWarmUp(s)
	n.warmup.Confirmed(s.now, e.warmUpAnswer())
	n.setGateInstance(s)
	n.announceSelf(s)
}

// hasLeft reports whether an instance announced its exit to an earlier process, or to
// this one before its first heartbeat. Heartbeats that were sent before the
// announcement may arrive after it. An instance that is restarted under the same ID
// has a later start time.
func (n *Node) hasLeft(id mesh.InstanceID, born int64) bool {
	left := n.predecessor.leftInstance
	return left != nil && left.ID == id && born <= left.Born
}

// recordInstanceLeft stops sending requests to an instance that has left. Later
// processes of this host learn it too: the host's record names the instance until
// another one sends a heartbeat.
func (n *Node) recordInstanceLeft(s *step, i *MemberInstance) {
	left := *i
	left.Closed = true
	n.predecessor.leftInstance = &left
	if l := &n.local; l.id != "" && !l.draining && n.hasLeft(l.id, l.born) {
		l.draining = true
		n.setGateInstance(s)
	}
	s.log("instance.left", "instance", string(i.ID), "known", n.local.id == i.ID)
	n.announceSelf(s)
}

// leftBeforeHeartbeat returns the record of an instance that leaves before this
// process has received a heartbeat from it. Without a start time, the instance counts
// as started before now.
func leftBeforeHeartbeat(now mesh.Time, e InstanceLeft) *MemberInstance {
	bornBefore := int64(now) / int64(time.Millisecond)
	return &MemberInstance{ID: e.ID, Slots: 1, Left: true, Born: cmp.Or(e.Born, bornBefore)}
}

// PreviousRecord returns the record that this node holds for the host of m if an
// earlier incarnation than m's published it, and an empty Member otherwise. The
// node returns it to a restarted host, which finds its running instance with it.
func (n *Node) PreviousRecord(m *Member) Member {
	if old := n.members[m.Host]; old != nil && old.Incarnation < m.Incarnation {
		return old.Member
	}
	return Member{}
}
