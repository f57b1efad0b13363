package membership

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// retention is the time for which the record of a member that is dead, left
	// or forgotten is shared with other nodes. Partitions last minutes, so that
	// in this time every node learns of the end.
	retention = 24 * time.Hour
	// retiredLife is the time for which a node keeps a record that is no longer
	// shared. It is longer than any pause or partition after which a process
	// takes part again without a restart.
	retiredLife = 7 * 24 * time.Hour
	// retireInterval is the time between two searches for records to retire.
	retireInterval = time.Minute
)

// Records of ended members leave the table, its digests and the wire after
// retention, counted from the time in the record so that all nodes agree. The
// never-revive rule holds because a retired record is kept locally and still
// refuses every record that does not supersede it; a node that sends such a
// record is answered with the retired one. A message would have to be older
// than retention and retiredLife together to revive the member.

// due reports whether the record is to be retired.
func (r *Record) due(now mesh.Time) bool { return !r.Live() && now.Sub(r.Ended) >= retention }

// tickRetire retires the records whose time has come.
func (r *Reducer) tickRetire(now mesh.Time) {
	if now < r.nextRetire {
		return
	}
	r.nextRetire = now.Add(retireInterval)
	for _, name := range r.table.names {
		for _, host := range slices.Clone(r.table.domain(name).hosts) {
			if rec := r.table.records[host]; rec.due(now) && host != r.settings.Host {
				r.retire(rec)
			}
		}
	}
	for host, rec := range r.retired {
		if now.Sub(rec.Ended) >= retention+retiredLife {
			delete(r.retired, host)
		}
	}
}

// retire moves a record out of the table. It returns the record that the table
// had, or nil.
func (r *Reducer) retire(rec *Record) *Record {
	old := r.table.drop(rec.Host)
	for _, peer := range r.outboxes.peers() {
		r.outboxes.forget(peer, rec.Host)
	}
	r.retired[rec.Host] = rec
	return old
}

// refused reports whether the host's retired record keeps a received one out,
// and corrects a sender whose record is older.
func (r *Reducer) refused(source mesh.HostID, rec *Record, out *Output) bool {
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

// takeEnded handles a received record that is to be retired at once. A member
// that is still known as live here ends with it.
func (r *Reducer) takeEnded(rec *Record, out *Output) {
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
