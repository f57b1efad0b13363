package sidecar

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/platform"
)

func changed(key string, revision platform.Revision, deleted bool) Change {
	return Change{Row: platform.Row{Key: key, Revision: revision}, Deleted: deleted}
}

// Guards against an older row that replaces a newer one: peers and the store
// tell of the same rows in any order.
func TestReplicaKeepsTheNewestRow(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	is.Equal(len(r.apply([]Change{changed("a", 5, false), changed("b", 3, false)}, 5)), 2)
	is.Equal(len(r.apply([]Change{changed("a", 4, false), changed("b", 3, false)}, 4)), 0)
	is.Equal(r.at(), platform.Revision(5))
	is.Equal(len(r.apply([]Change{changed("a", 6, true)}, 6)), 1)
	is.Equal(r.row("a").Revision, platform.Revision(0)) // removed
	is.Equal(len(r.apply([]Change{changed("a", 5, false)}, 5)), 0)
}

// Guards against a peer that misses a removal or is sent what it knows.
func TestReplicaSince(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.apply([]Change{changed("a", 5, false), changed("b", 7, true)}, 9)
	changes, at := r.since(5)
	is.Equal(changes, []Change{changed("b", 7, true)})
	is.Equal(at, platform.Revision(9))
	changes, _ = r.since(9)
	is.Equal(len(changes), 0)
}

// Guards against a node that takes an empty store, whose revision is zero, for
// one that it hasn't read, and announces itself seconds late.
func TestEmptyTableCountsAsLoaded(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.apply(nil, 0)
	is.True(!r.isLoaded())
	r.setLoaded()
	is.True(r.isLoaded())
}
