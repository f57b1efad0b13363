package sidecar

import (
	"bytes"
	"cmp"
	"slices"
	"sync"

	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// replica is this node's copy of a table. It is updated with changes from the store and,
// also while the store is unavailable, with changes from peers.
type replica struct {
	mu       sync.Mutex
	rows     map[string]Change // by key; deleted rows are kept as tombstones
	packed   map[string]Packed // the same rows encoded for peers, filled on demand
	revision platform.Revision // the copy has all changes up to it
	// loaded is set once the whole table has been read. The revision cannot show this,
	// because that of an empty store is zero.
	loaded bool
	// historyStart is the revision from which the copy has all removals. Rows that were
	// removed before it are missing without a tombstone.
	historyStart platform.Revision
}

func newReplica() *replica {
	return &replica{rows: make(map[string]Change), packed: make(map[string]Packed)}
}

// apply applies changes, after which the copy has all changes up to a revision. It returns
// those that were newer than the copy's rows, in the order of their revisions.
func (r *replica) apply(changes []Change, revision platform.Revision) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applyLocked(changes, revision)
}

func (r *replica) applyLocked(changes []Change, revision platform.Revision) []Change {
	var applied []Change
	for _, c := range changes {
		if old, ok := r.rows[c.Key]; ok && old.Revision >= c.Revision || c.Revision.Era() < r.revision.Era() {
			continue
		}
		r.rows[c.Key] = c
		applied = append(applied, c)
	}
	r.revision = max(r.revision, revision)
	slices.SortStableFunc(applied, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return applied
}

// applyState applies the complete state of the selected rows. It returns the copy's earlier
// revision, the changes that were newer than the copy's rows, and the selected rows of
// earlier eras that the state lacks, which are removed, or has with another value. ok is
// false if the state itself is of an earlier era.
func (r *replica) applyState(state []Change, revision platform.Revision, selected func(key string) bool) (before platform.Revision, applied, lost []Change, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.revision
	if revision.Era() < before.Era() {
		return before, nil, nil, false
	}
	values := make(map[string][]byte, len(state))
	for _, c := range state {
		if !c.Deleted {
			values[c.Key] = c.Value
		}
	}
	for key, c := range r.rows {
		if c.Revision.Era() >= revision.Era() || !selected(key) {
			continue
		}
		value, found := values[key]
		if !found {
			delete(r.rows, key)
			delete(r.packed, key)
		}
		if !found || !bytes.Equal(value, c.Value) {
			lost = append(lost, c)
		}
	}
	return before, r.applyLocked(state, revision), lost, true
}

// changesSince returns the changes after a revision to the selected rows of the copy's era, and the revision
// up to which the copy has all changes.
func (r *replica) changesSince(after platform.Revision, selected func(key string) bool) ([]Packed, platform.Revision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after >= r.revision {
		return nil, r.revision, nil
	}
	var out []Packed
	for key, c := range r.rows {
		if c.Revision <= after || c.Revision.Era() < r.revision.Era() || !selected(key) {
			continue
		}
		p, ok := r.packed[key]
		if !ok || p.Revision != c.Revision {
			var err error
			if p, err = pack(c); err != nil {
				return nil, r.revision, err
			}
			r.packed[key] = p
		}
		out = append(out, p)
	}
	return out, r.revision, nil
}

// setLoaded records that the whole table has been read.
func (r *replica) setLoaded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = true
}

func (r *replica) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// completeRevision returns the revision up to which the copy has all changes.
func (r *replica) completeRevision() platform.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// has reports whether the copy knows of a row or its removal in its era.
func (r *replica) has(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.rows[key]
	return ok && c.Revision.Era() >= r.revision.Era()
}

// row returns the row of a key. If it doesn't exist in the copy's era, the version of its
// revision is zero.
func (r *replica) row(key string) platform.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.rows[key]; ok && !c.Deleted && c.Revision.Era() >= r.revision.Era() {
		return c.Row
	}
	return platform.Row{Key: key, Revision: platform.NewRevision(r.revision.Era(), 0)}
}

// rowKeys returns the keys of rows.
func rowKeys(rows []platform.Row) []string {
	keys := make([]string, 0, len(rows))
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	return keys
}

// removedBefore returns removals, as of a revision, of the rows that the copy has and that a
// complete list of the keys at that revision lacks.
func (r *replica) removedBefore(revision platform.Revision, keys []string) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var removed []Change
	for key, c := range r.rows {
		if !c.Deleted && c.Revision <= revision && !slices.Contains(keys, key) {
			removed = append(removed, Change{Row: platform.Row{Key: key, Revision: revision}, Deleted: true})
		}
	}
	return removed
}

// addRemovals appends to changes the removals of the operator's rows that a complete list
// of the keys at a revision lacks. After a change of the era, applyState finds them, because
// the store may have lost rows that are still in force.
func (n *Node) addRemovals(changes []Change, revision platform.Revision, keys []string) []Change {
	r := n.replicas[TableOperator]
	if revision.Era() > r.completeRevision().Era() {
		return changes
	}
	return append(changes, r.removedBefore(revision, keys)...)
}

// setHistoryStart records that the copy has all removals only from a revision on.
func (r *replica) setHistoryStart(revision platform.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.historyStart = max(r.historyStart, revision)
}

// historyFor returns what a peer needs whose copy has all changes up to a revision: if this
// copy may lack removals after that revision, complete is set and keys lists all existing
// rows. It also returns the revision from which this copy has all removals.
func (r *replica) historyFor(after platform.Revision) (keys []string, complete bool, start platform.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after >= r.historyStart {
		return nil, false, r.historyStart
	}
	for key, c := range r.rows {
		if !c.Deleted {
			keys = append(keys, key)
		}
	}
	return keys, true, r.historyStart
}
