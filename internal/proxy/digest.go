package proxy

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// digestBuckets is the number of groups of hosts that a digest tells apart. Two
// nodes that differ in one record exchange one group of them.
const digestBuckets = 64

// bucketBytes is the size of the hash of one group.
const bucketBytes = 4

// memberDigest hashes the known records by groups. The hash of a group is the sum
// of those of its records, so that a change costs one update whatever the number
// of hosts.
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

// setRecord replaces the record of a member. One without a host removes it.
func (n *Node) setRecord(m *member, record *Member) {
	if m.Host != "" {
		n.digest[bucketOf(&m.Member)] -= recordHash(&m.Member)
	}
	m.Member = *record
	if m.Host != "" {
		n.digest[bucketOf(&m.Member)] += recordHash(&m.Member)
	}
}

// MembersDigest returns the hashes of the known records, for peers.
func (n *Node) MembersDigest() []byte {
	b := make([]byte, 0, digestBuckets*bucketBytes)
	for _, h := range n.digest {
		b = binary.LittleEndian.AppendUint32(b, h)
	}
	return b
}

// sameBucket reports whether two digests have the same hash of a group. A digest of
// another form has none.
func sameBucket(a, b []byte, bucket int) bool {
	at := bucket * bucketBytes
	return len(a) == len(b) && bytes.Equal(a[at:at+bucketBytes], b[at:at+bucketBytes])
}

// MembersDifferingFrom returns the records of the groups in which this node differs from the
// digest of a peer, sorted by host. A digest of another form differs in all.
func (n *Node) MembersDifferingFrom(digest []byte) []Member {
	own := n.MembersDigest()
	if bytes.Equal(own, digest) {
		return nil
	}
	var list []Member
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		m := &n.members[host].Member
		if !sameBucket(own, digest, bucketOf(m)) {
			list = append(list, *m)
		}
	}
	return list
}
