package core

import (
	"encoding/gob"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// maxControlBytes is the most control traffic that a node may send, in bytes per
// second.
const maxControlBytes = 11_000

// rpcHeaderBytes approximates the size of the request and response headers of
// net/rpc.
const rpcHeaderBytes = 45

// byteMeter counts the gob bytes of envelopes by sender, with one encoder per
// connection, as in net/rpc. parts holds the bytes by package.
type byteMeter struct {
	encoders map[[2]string]*gob.Encoder
	counters map[[2]string]*countingWriter
	sent     map[string]int
	parts    map[string]int
}

type countingWriter struct{ n int }

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) { w.n += len(p); return len(p), nil }

var _ io.Writer = (*countingWriter)(nil)

func newByteMeter() *byteMeter {
	return &byteMeter{
		encoders: map[[2]string]*gob.Encoder{}, counters: map[[2]string]*countingWriter{},
		sent: map[string]int{}, parts: map[string]int{},
	}
}

func (m *byteMeter) count(from string, s *Send) {
	key := [2]string{from, s.Addr}
	if m.encoders[key] == nil {
		m.counters[key] = &countingWriter{}
		m.encoders[key] = gob.NewEncoder(m.counters[key])
	}
	before := m.counters[key].n
	if err := m.encoders[key].Encode(&s.Envelope); err != nil {
		panic(err)
	}
	n := m.counters[key].n - before + rpcHeaderBytes
	m.sent[from] += n
	m.parts["envelopes"]++
	m.parts["membership"] += len(s.Envelope.Membership)
	m.parts["distribution"] += len(s.Envelope.Distribution)
	m.parts["moves"] += len(s.Envelope.Moves)
	m.parts["claims"] += len(s.Envelope.Claims)
	m.parts["bytes"] += n
}

// Guards against a node that sends more control traffic than maxControlBytes
// under load, both without a move and while a move runs.
func TestControlBytesDuringMoves(t *testing.T) {
	is := is.New(t)
	g := newNodeGroup(t, "ifrane-1", "ifrane-2", "ifrane-3", "azrou-1", "azrou-2", "azrou-3", "sefrou-1", "sefrou-2", "sefrou-3")
	g.run(3 * time.Second)
	for _, h := range g.hosts {
		g.announce(h, "v1")
	}
	g.apply("ifrane-1", 0, "op-1")
	for _, h := range g.hosts {
		g.announce(h, "v2")
	}
	g.run(20 * time.Second)
	measurePhase := func(name string) {
		g.meter = newByteMeter()
		const length = 10 * time.Second
		for start, call := g.now, 0; g.now.Sub(start) < length; call++ {
			host := g.hosts[call%len(g.hosts)]
			g.step(host, Event{Kind: KindCallArrived, Call: CallArrived{
				Call: mesh.CallID(1_000_000) + mesh.CallID(g.seed), Method: []byte("GET"), Path: []byte("/stock/7"),
			}})
			g.run(10 * time.Millisecond)
		}
		for host, n := range g.meter.sent {
			if perSecond := n / int(length/time.Second); perSecond > maxControlBytes {
				t.Errorf("%s: %s sends %d bytes/s for control, more than %d", name, host, perSecond, maxControlBytes)
			}
		}
		t.Logf("%s: sent %v, parts %v", name, g.meter.sent, g.meter.parts)
	}
	measurePhase("steady")
	g.step("ifrane-1", Event{Kind: KindOperator, Operator: &OperatorRequest{ID: 1, StartMove: &StartMoveRequest{
		Move: "m1", Service: "stock", From: "v1", To: "v2", Deadline: g.now.Add(10 * time.Minute),
	}}})
	g.run(2 * time.Second)
	is.Equal(g.replies[1].Err, "")
	measurePhase("move")
}

// BenchmarkClaimBytes reports the control bytes that one claim of a
// non-idempotent call costs over all nodes of its failure domain.
func BenchmarkClaimBytes(b *testing.B) {
	g := newNodeGroup(b, "ifrane-1", "ifrane-2", "ifrane-3", "ifrane-4", "ifrane-5", "ifrane-6")
	g.run(3 * time.Second)
	for _, h := range g.hosts {
		g.announce(h, "v1")
	}
	g.apply("ifrane-1", 0, "op-1")
	g.run(30 * time.Second)
	totalBytes := func(calls int) int {
		g.meter = newByteMeter()
		for i := range 300 {
			if i < calls {
				g.step(g.hosts[i%len(g.hosts)], Event{Kind: KindCallArrived, Call: CallArrived{
					Call: mesh.CallID(1_000_000 + g.seed), Method: []byte("POST"), Path: []byte("/orders"), RequestID: []byte(g.identity("ifrane")),
				}})
			}
			g.run(10 * time.Millisecond)
		}
		return g.meter.parts["bytes"]
	}
	totalBytes(300) // sends the type descriptions of gob, which are sent once
	for b.Loop() {
		idle := totalBytes(0)
		b.ReportMetric(float64(totalBytes(300)-idle)/300, "bytes/claim")
	}
}
