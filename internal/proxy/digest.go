package proxy

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// digestBuckets is the number of buckets into which hosts are hashed for a digest. Two
// nodes that differ in one record exchange the records of one bucket.
const digestBuckets = 64

// bucketBytes is the size of the hash of one bucket.
const bucketBytes = 4

// memberDigest holds one hash per bucket of the known records. The hash of a bucket is
// the sum of the hashes of its records, so that a changed record costs one update
// whatever the number of hosts.
type memberDigest [digestBuckets]uint32

func bucketOf(m *Member) int { return int(xxhash.Sum64String(string(m.Host)) % digestBuckets) }

func recordHash(m *Member) uint32 {
	d := xxhash.New()
	_, _ = d.WriteString(string(m.Host)) // never fails
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(m.Incarnation))
	binary.LittleEndian.PutUint64(b[8:], m.Sequence)
	_, _ = d.Write(b[:])
	return uint32(d.Sum64())
}

// setRecord replaces the record of a member and updates the digest. An empty record
// removes the member's record from the digest.
func (n *Node) setRecord(m *memberState, record *Member) {
	if m.Host != "" {
		n.digest[bucketOf(&m.Member)] -= recordHash(&m.Member)
	}
	m.Member = *record
	if m.Host != "" {
		n.digest[bucketOf(&m.Member)] += recordHash(&m.Member)
	}
}

// MembersDigest returns the digest of the known records in the form in which it is sent
// to peers.
func (n *Node) MembersDigest() []byte {
	b := make([]byte, 0, digestBuckets*bucketBytes)
	for _, h := range n.digest {
		b = binary.LittleEndian.AppendUint32(b, h)
	}
	return b
}

// sameBucket reports whether two digests have the same hash of a bucket. Digests of
// different lengths agree in none.
func sameBucket(a, b []byte, bucket int) bool {
	offset := bucket * bucketBytes
	return len(a) == len(b) && bytes.Equal(a[offset:offset+bucketBytes], b[offset:offset+bucketBytes])
}

// MembersDifferingFrom returns the records of the buckets in which this node differs
// from the digest of a peer, sorted by host. A digest of another length, such as an
// empty one, differs in all buckets.
func (n *Node) MembersDifferingFrom(digest []byte) []Member {
	ownDigest := n.MembersDigest()
	if bytes.Equal(ownDigest, digest) {
		return nil
	}
	var list []Member
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		m := &n.members[host].Member
		if !sameBucket(ownDigest, digest, bucketOf(m)) {
			list = append(list, *m)
		}
	}
	return list
}
