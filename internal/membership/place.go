package membership

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// placeLife is the time for which a node follows an assigned parent. It gets
// another assignment with the next reply if its view is still incomplete.
const placeLife = 5 * time.Second

// Place tells a node its parent in the sender's tree. A node that knows few
// members of its failure domain computes one of the first members as its
// parent, and these would have to answer the heartbeats of most joining nodes.
type Place struct {
	Parent mesh.HostID
	// Members is the number of live members that the sender knows in the
	// receiver's failure domain.
	Members uint32
}

// assignment is the parent that a peer with a more complete view assigned.
type assignment struct {
	Place
	until mesh.Time
}

// placeOf returns the place of a member of the local failure domain that takes
// this node for its parent, or nil if this node is its parent. The record of
// the parent is added to the batch.
func (r *Reducer) placeOf(from mesh.HostID, batch Batch) (*Place, Batch) {
	d := r.table.domain(r.settings.Domain)
	i, ok := d.index(keyOf(from))
	if !ok || i == 0 {
		return nil, batch
	}
	parent := d.order[(i-1)/FanOut]
	if parent.Host == r.settings.Host {
		return nil, batch
	}
	// Charged like other records, as many nodes may be misplaced at once.
	r.outboxes.budget -= batchBytes + recordBytes
	return &Place{Parent: parent.Host, Members: uint32(len(d.order))}, append(batch, *parent)
}

// acceptPlace follows the assigned parent if the sender knows more members.
func (r *Reducer) acceptPlace(now mesh.Time, p *Place) {
	if p == nil || p.Parent == r.settings.Host || int(p.Members) <= r.LiveCount(r.settings.Domain) {
		return
	}
	r.assigned = assignment{Place: *p, until: now.Add(placeLife)}
	r.treeDirty = true
}

// expirePlace ends an assignment that is not renewed.
func (r *Reducer) expirePlace(now mesh.Time) {
	if r.assigned.until != 0 && now >= r.assigned.until {
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
