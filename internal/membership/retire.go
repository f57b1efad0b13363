package membership

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// retention is the time for which the record of a member that is dead, left
	// or forgotten is sent to other nodes. Partitions last minutes, so every node
	// receives the record within this time.
	retention = 24 * time.Hour
	// retiredRetention is the time for which a node keeps a record that is no
	// longer sent. It is longer than any pause or partition after which a process
	// takes part again without a restart.
	retiredRetention = 7 * 24 * time.Hour
	// retireInterval is the time between two searches for records to retire.
	retireInterval = time.Minute
)

// The records of members that are dead, left or forgotten are removed from the
// table and its digests, and are no longer sent, once retention has passed since
// Record.Ended. The time in the record counts so that all nodes agree.
//
// A retired record is a tombstone: the node keeps it and rejects every record
// that does not supersede it, so that stale records cannot revive the member. A
// node that sends an older record receives the retired one in return. Only a
// message older than retention and retiredRetention together could revive the
// member.

// retirementDue reports whether the record is to be retired.
func (r *Record) retirementDue(now mesh.Time) bool { return !r.Live() && now.Sub(r.Ended) >= retention }

// tickRetire retires the records that are due and deletes the retired records
// whose retiredRetention has passed.
func (r *Reducer) tickRetire(now mesh.Time) {
	if now < r.nextRetire {
		return
	}
	r.nextRetire = now.Add(retireInterval)
	for _, name := range r.table.domainNames {
		for _, host := range slices.Clone(r.table.domain(name).hosts) {
			if rec := r.table.records[host]; rec.retirementDue(now) && host != r.settings.Host {
				r.retire(rec)
			}
		}
	}
	for host, rec := range r.retired {
		if now.Sub(rec.Ended) >= retention+retiredRetention {
			delete(r.retired, host)
		}
	}
}

// retire removes the host's record from the table and the outboxes and keeps rec
// as its retired record. It returns the record that the table had, or nil.
func (r *Reducer) retire(rec *Record) *Record {
	old := r.table.remove(rec.Host)
	for _, peer := range r.outboxes.peers() {
		r.outboxes.remove(peer, rec.Host)
	}
	r.retired[rec.Host] = rec
	return old
}

// rejectedByRetired reports whether a received record is rejected because it does
// not supersede the retired record of its host. If the received record is older,
// the source is sent the retired one.
func (r *Reducer) rejectedByRetired(source mesh.HostID, rec *Record, out *Output) bool {
	retired := r.retired[rec.Host]
	if retired == nil {
		return false
	}
	if r.supersedes(rec, retired) {
		delete(r.retired, rec.Host)
		return false
	}
	if retired.Supersedes(rec) {
		r.sendRecord(source, retired, out)
	}
	return true
}

// retireReceived retires a received record whose retention has already passed.
// If the member was live in the local table, its change is reported.
func (r *Reducer) retireReceived(rec *Record, out *Output) {
	known := r.table.records[rec.Host]
	if known != nil && !r.supersedes(rec, known) {
		return
	}
	next := rec.clone()
	r.retire(next)
	if known != nil && known.Live() {
		r.treeDirty = true
		out.Changes = append(out.Changes, Change{Old: known, New: next})
	}
}
