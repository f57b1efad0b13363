package distribution

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"maps"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// keptContents is the number of versions kept as bases for deltas.
	keptContents = 8
	// maxContentBytes bounds the decompressed content of a version.
	maxContentBytes = 16 << 20
	// compressionLevel prefers size to speed, since full content is rarely
	// sent.
	compressionLevel = flate.BestCompression
)

// content is the content of a version held by this node. It matches the hash
// in head.
type content struct {
	head Head
	full []byte
	// deflated is the DEFLATE form, made on first use.
	deflated []byte
}

// contentStore holds the newest versions in ascending order.
type contentStore struct {
	versions []*content
}

func (c *contentStore) get(v mesh.ConfigVersion) *content {
	for _, held := range c.versions {
		if held.head.Version == v {
			return held
		}
	}
	return nil
}

// newestUpTo returns the newest held version at or below v, or zero if there
// is none.
func (c *contentStore) newestUpTo(v mesh.ConfigVersion) mesh.ConfigVersion {
	newest := mesh.ConfigVersion(0)
	for _, held := range c.versions {
		if held.head.Version <= v {
			newest = held.head.Version
		}
	}
	return newest
}

// put stores a version. Beyond keptContents the oldest version is removed, but
// never the one in force.
func (c *contentStore) put(held *content, inForce mesh.ConfigVersion) {
	i, found := slices.BinarySearchFunc(c.versions, held.head.Version, func(c *content, v mesh.ConfigVersion) int {
		return cmp.Compare(c.head.Version, v)
	})
	if found {
		return
	}
	c.versions = slices.Insert(c.versions, i, held)
	if len(c.versions) <= keptContents {
		return
	}
	oldest := 0
	if c.versions[0].head.Version == inForce {
		oldest = 1
	}
	c.versions = slices.Delete(c.versions, oldest, oldest+1)
}

// compressed returns the DEFLATE form of the content.
func (c *content) compressed() []byte {
	if c.deflated == nil {
		c.deflated = compress(c.full)
	}
	return c.deflated
}

func compress(data []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, compressionLevel)
	if err != nil {
		panic(err) // the level is a constant of the package
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return buf.Bytes()
}

// decompress reverses compress. The error is of type ErrContent.
func decompress(data []byte) ([]byte, error) {
	full, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxContentBytes+1))
	if err != nil {
		return nil, ErrContent.Wrap(err, "content is not valid DEFLATE data")
	}
	if len(full) > maxContentBytes {
		return nil, ErrContent.New("content exceeds %d bytes", maxContentBytes)
	}
	return full, nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
