package claims

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// BenchmarkClaimAndGrant measures a claim of a new identity in a failure domain
// of three hosts, from the entry node via the primary and the backup to the
// grant, without a network and without the encoding of messages.
func BenchmarkClaimAndGrant(b *testing.B) {
	g := newCluster("a", "b", "c")
	g.settle(30 * time.Second)
	entry := g.nodes["a"]
	var out Effects
	var queue []Send
	sends := 0
	b.ReportAllocs()
	for call := mesh.CallID(1); b.Loop(); call++ {
		id := identityAt(g.now, 0)
		binary.BigEndian.PutUint32(id.UUID[12:], uint32(call))
		entry.Claim(g.now, call, id, &out)
		for len(out.Sends) > 0 {
			queue = append(queue[:0], out.Sends...)
			out.Sends = out.Sends[:0]
			sends += len(queue)
			for i := range queue {
				g.nodes[queue[i].To].Receive(g.now, &queue[i].Message, &out)
			}
		}
		if len(out.Verdicts) != 1 || out.Verdicts[0].Verdict != VerdictGranted {
			b.Fatalf("call %d: verdicts %v, want one grant", call, out.Verdicts)
		}
		entry.Finish(call)
		out.Reset()
	}
	b.ReportMetric(float64(sends)/float64(b.N), "messages/claim")
}
