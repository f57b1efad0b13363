package sidecar

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// testChange returns a change of a row without a value.
func testChange(key string, revision platform.Revision, deleted bool) Change {
	return Change{Row: platform.Row{Key: key, Revision: revision}, Deleted: deleted}
}

// Guards against an older row that replaces a newer one: the store and peers deliver
// changes of the same rows in any order.
func TestReplicaKeepsTheNewestRow(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	is.Equal(len(r.apply([]Change{testChange("a", 5, false), testChange("b", 3, false)}, 5)), 2)
	is.Equal(len(r.apply([]Change{testChange("a", 4, false), testChange("b", 3, false)}, 4)), 0)
	is.Equal(r.completeRevision(), platform.Revision(5))
	is.Equal(len(r.apply([]Change{testChange("a", 6, true)}, 6)), 1)
	is.Equal(r.row("a").Revision, platform.Revision(0)) // removed
	is.Equal(len(r.apply([]Change{testChange("a", 5, false)}, 5)), 0)
}

// Guards against a peer that is not sent a removal, or is sent rows that it already has.
func TestReplicaReturnsChangesSinceARevision(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.apply([]Change{testChange("a", 5, false), testChange("b", 7, true)}, 9)
	packed, at, err := r.changesSince(5, allRows)
	is.NoErr(err)
	changes, err := unpackAll(packed)
	is.NoErr(err)
	is.Equal(changes, []Change{testChange("b", 7, true)})
	is.Equal(at, platform.Revision(9))
	packed, _, err = r.changesSince(9, allRows)
	is.NoErr(err)
	is.Equal(len(packed), 0)
}

// Guards against a configuration that saturates the links of small hosts, and against
// truncated rows that are accepted.
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

// FuzzUnpack decodes rows with arbitrary bytes, as a faulty peer may send them. The size of
// a decompressed row must stay bounded.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte("text"), true)
	f.Fuzz(func(t *testing.T, value []byte, compressed bool) {
		c, err := unpack(Packed{Value: value, Compressed: compressed})
		if err == nil && len(c.Value) > maxRowBytes && compressed {
			t.Fatalf("%d bytes", len(c.Value))
		}
	})
}

// Guards against a node that treats an empty table, whose revision is zero, as not loaded
// and therefore announces itself seconds late.
func TestEmptyTableCountsAsLoaded(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.apply(nil, 0)
	is.True(!r.isLoaded())
	r.setLoaded()
	is.True(r.isLoaded())
}
