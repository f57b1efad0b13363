package sidecar

import (
	"cmp"
	"slices"
	"sync"

	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// replica is this node's copy of a table, kept by the store's changes and, while
// the store is away, by those of peers.
type replica struct {
	mu       sync.Mutex
	rows     map[string]Change // deleted rows included
	packed   map[string]Packed // rows as peers get them, made when first asked for
	revision platform.Revision // the copy is complete up to it
	// loaded is set once the whole table was read. The revision of an empty store
	// is zero, so it cannot tell.
	loaded bool
}

func newReplica() *replica {
	return &replica{rows: make(map[string]Change), packed: make(map[string]Packed)}
}

// apply takes in changes up to a revision and returns those that were news, in
// the order of their revisions.
func (r *replica) apply(changes []Change, revision platform.Revision) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var news []Change
	for _, c := range changes {
		if old, ok := r.rows[c.Key]; ok && old.Revision >= c.Revision {
			continue
		}
		r.rows[c.Key] = c
		news = append(news, c)
	}
	r.revision = max(r.revision, revision)
	slices.SortStableFunc(news, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return news
}

// since returns the changes after a revision to the selected rows, and the revision
// that the copy is complete up to.
func (r *replica) since(after platform.Revision, selected func(key string) bool) ([]Packed, platform.Revision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after >= r.revision {
		return nil, r.revision, nil
	}
	var out []Packed
	for key, c := range r.rows {
		if c.Revision <= after || !selected(key) {
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

// setLoaded marks the copy as complete.
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

// at returns the revision that the copy is complete up to.
func (r *replica) at() platform.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// row returns a row, whose revision is zero if it doesn't exist.
func (r *replica) row(key string) platform.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.rows[key]; ok && !c.Deleted {
		return c.Row
	}
	return platform.Row{Key: key}
}
