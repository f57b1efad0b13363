package sidecar

import (
	"bytes"
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
	packed, at, err := r.since(5, allRows)
	is.NoErr(err)
	changes, err := unpackAll(packed)
	is.NoErr(err)
	is.Equal(changes, []Change{changed("b", 7, true)})
	is.Equal(at, platform.Revision(9))
	packed, _, err = r.since(9, allRows)
	is.NoErr(err)
	is.Equal(len(packed), 0)
}

// Guards against a configuration that fills the links of small hosts, and against
// rows that are damaged on the way.
func TestPackCompressesLargeRows(t *testing.T) {
	is := is.New(t)
	large := Change{Row: platform.Row{Key: "config", Revision: 4, Value: bytes.Repeat([]byte(`{"Host":"a.example","Prefix":"/x/"},`), 4000)}}
	p, err := pack(large)
	is.NoErr(err)
	is.True(len(p.Value) < len(large.Value)/10)
	c, err := unpack(p)
	is.NoErr(err)
	is.Equal(c, large)
	p.Value = p.Value[:len(p.Value)/2]
	_, err = unpack(p)
	is.True(err != nil)
}

// Guards against a decoder of rows that fails on bytes of a faulty peer.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte("text"), true)
	f.Fuzz(func(t *testing.T, value []byte, compressed bool) {
		c, err := unpack(Packed{Value: value, Compressed: compressed})
		if err == nil && len(c.Value) > maxRowBytes && compressed {
			t.Fatalf("%d bytes", len(c.Value))
		}
	})
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
