package core

import (
	"encoding/binary"

	"github.com/chicoryscale/chicoryscale/internal/distribution"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
)

// aggregatePoison is the kind of the distribution aggregate that carries the
// suspects, the requests charged with crashes, to all nodes. Kind 1 carried entries
// without the number of clearances; nodes ignore kinds that they do not know.
const aggregatePoison distribution.AggregateKind = 2

// entryBytes is the encoded size of a suspect: fingerprint, crash count, number of times
// that it was cleared, time.
const entryBytes = 8 + 1 + 4 + 8

// sharePoison exchanges suspects with the other nodes through the distribution
// tree. The table changes rarely, so nothing is sent in steady state.
func (n *Node) sharePoison(now mesh.Time) {
	if all := n.dist.Aggregate(aggregatePoison); len(all) > 0 {
		n.poison.Merge(now, decodeEntries(all))
	}
	if v := n.poison.Version(); v != n.sharedPoisonVersion {
		n.sharedPoisonVersion = v
		n.scratch.poisonEntries = n.poison.AppendEntries(now, n.scratch.poisonEntries[:0])
		n.dist.SetLocal(aggregatePoison, encodeEntries(n.scratch.poisonEntries))
	}
}

func encodeEntries(entries []poison.Entry) []byte {
	if len(entries) == 0 {
		return nil
	}
	out := make([]byte, 0, len(entries)*entryBytes)
	for _, e := range entries {
		out = binary.BigEndian.AppendUint64(out, uint64(e.Fingerprint))
		out = append(out, e.Crashes)
		out = binary.BigEndian.AppendUint32(out, e.Cleared)
		out = binary.BigEndian.AppendUint64(out, uint64(e.At))
	}
	return out
}

// decodeEntries decodes the output of encodeEntries. It ignores an incomplete
// last entry and entries beyond poison.MaxEntries.
func decodeEntries(b []byte) []poison.Entry {
	entries := make([]poison.Entry, 0, len(b)/entryBytes)
	for len(b) >= entryBytes && len(entries) < poison.MaxEntries {
		entries = append(entries, poison.Entry{
			Fingerprint: mesh.Fingerprint(binary.BigEndian.Uint64(b)),
			Crashes:     b[8],
			Cleared:     binary.BigEndian.Uint32(b[9:]),
			At:          mesh.Time(binary.BigEndian.Uint64(b[13:])),
		})
		b = b[entryBytes:]
	}
	return entries
}

// mergePoison combines the suspects of two subtrees in a temporary table, so that
// the same merge rules apply as on a node.
func mergePoison(a, b []byte) []byte {
	t := poison.New()
	first, second := decodeEntries(a), decodeEntries(b)
	var now mesh.Time
	for _, e := range append(first, second...) {
		now = max(now, e.At)
	}
	t.Merge(now, first)
	t.Merge(now, second)
	return encodeEntries(t.AppendEntries(now, nil))
}
