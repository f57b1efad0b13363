package membership

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// assignmentTimeout is the time for which a node follows an assigned parent. The
// node receives another assignment with the next reply to a heartbeat if its view
// is still incomplete.
const assignmentTimeout = 5 * time.Second

// ParentAssignment tells a node its parent in the sender's tree. A node that
// knows few members of its failure domain computes one of the first members of
// the tree as its parent. Without assignments, these would have to answer the
// heartbeats of most joining nodes.
type ParentAssignment struct {
	Parent mesh.HostID
	// Members is the number of live members that the sender knows in the
	// receiver's failure domain.
	Members uint32
}

// assignment is a parent assignment, from a peer that knows more members, that
// is followed until it expires.
type assignment struct {
	ParentAssignment
	expires mesh.Time
}

// parentAssignmentFor returns the assignment for a member of the local failure
// domain that sent a heartbeat, or nil if this node is its parent. It appends the
// record of the assigned parent to the batch.
func (r *Reducer) parentAssignmentFor(from mesh.HostID, batch Batch) (*ParentAssignment, Batch) {
	d := r.table.domain(r.settings.Domain)
	i, ok := d.index(treeKeyOf(from))
	if !ok || i == 0 {
		return nil, batch
	}
	parent := d.treeOrder[(i-1)/FanOut]
	if parent.Host == r.settings.Host {
		return nil, batch
	}
	// The record is charged to the budget like others, because many nodes may
	// need another parent at once.
	r.outboxes.budget -= batchOverheadBytes + recordBytes
	return &ParentAssignment{Parent: parent.Host, Members: uint32(len(d.treeOrder))}, append(batch, *parent)
}

// acceptAssignment adopts the assigned parent if the sender knows more members
// than this node.
func (r *Reducer) acceptAssignment(now mesh.Time, p *ParentAssignment) {
	if p == nil || p.Parent == r.settings.Host || int(p.Members) <= r.LiveCount(r.settings.Domain) {
		return
	}
	r.assigned = assignment{ParentAssignment: *p, expires: now.Add(assignmentTimeout)}
	r.treeDirty = true
}

// expireAssignment removes an assignment that was not renewed in time.
func (r *Reducer) expireAssignment(now mesh.Time) {
	if r.assigned.expires != 0 && now >= r.assigned.expires {
		r.assigned = assignment{}
		r.treeDirty = true
	}
}

// assignedParent returns the assigned parent while this node knows fewer
// members than the peer that assigned it.
func (r *Reducer) assignedParent() (mesh.HostID, bool) {
	a := &r.assigned
	if a.Parent == "" || r.LiveCount(r.settings.Domain) >= int(a.Members) {
		return "", false
	}
	parent := r.table.records[a.Parent]
	if parent == nil || !parent.Live() || parent.Domain != r.settings.Domain {
		return "", false
	}
	return a.Parent, true
}
