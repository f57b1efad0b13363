package core

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// recording holds the events of the processes of one host in order, and the
// effects that each produced.
type recording struct {
	starts  []Settings
	process []int // index in starts of the process that handled the event
	events  []Event
	effects [][]byte
	codec   *codec // encodes the effects
}

// codec is a gob stream. Using one stream for many values encodes each type
// description only once.
type codec struct {
	buf bytes.Buffer
	enc *gob.Encoder
	dec *gob.Decoder
}

func newCodec() *codec {
	c := &codec{}
	c.enc, c.dec = gob.NewEncoder(&c.buf), gob.NewDecoder(&c.buf)
	return c
}

// copyOf returns a deep copy of an event, because a step may keep or change
// what the event refers to.
func (k *codec) copyOf(t testing.TB, ev *Event) Event {
	t.Helper()
	c := *ev
	if ev.Announcement == nil && ev.Envelope == nil && ev.Platform == nil && ev.Operator == nil {
		for _, b := range []*[]byte{&c.Call.Service, &c.Call.Method, &c.Call.Path, &c.Call.RequestID} {
			*b = bytes.Clone(*b)
		}
		return c
	}
	c = Event{}
	if err := k.enc.Encode(ev); err != nil {
		t.Fatal(err)
	}
	if err := k.dec.Decode(&c); err != nil {
		t.Fatal(err)
	}
	return c
}

// effectBytes encodes all effects of a step for comparison.
func (k *codec) effectBytes(t testing.TB, out *Ready) []byte {
	t.Helper()
	if len(out.Calls)+len(out.Gates)+len(out.Timeline)+len(out.Platform)+len(out.Sends)+len(out.Replies) == 0 && !out.Drained {
		return nil
	}
	k.buf.Reset()
	fmt.Fprintf(&k.buf, "%+v\n%+v\n%+v\n%v\n%+v\n", out.Calls, out.Gates, out.Timeline, out.Drained, out.Platform)
	if err := k.enc.Encode(out.Sends); err != nil {
		t.Fatal(err)
	}
	if err := k.enc.Encode(out.Replies); err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(k.buf.Bytes())
}

// record records the events of all hosts from now on. No event may have been
// delivered to the group before.
func (g *nodeGroup) record() map[string]*recording {
	recordings := map[string]*recording{}
	lastNode, eventCodec := map[string]*Node{}, newCodec()
	for _, h := range g.hosts {
		recordings[h] = &recording{codec: newCodec()}
	}
	g.onEvent = func(host string, ev *Event) {
		r := recordings[host]
		if lastNode[host] != g.nodes[host] {
			lastNode[host] = g.nodes[host]
			r.starts = append(r.starts, g.nodes[host].settings)
		}
		r.process = append(r.process, len(r.starts)-1)
		r.events = append(r.events, eventCodec.copyOf(g.t, ev))
	}
	g.onEffects = func(host string, out *Ready) {
		r := recordings[host]
		r.effects = append(r.effects, r.codec.effectBytes(g.t, out))
	}
	return recordings
}

// replay runs the events on fresh reducers and compares the effects.
func (r *recording) replay(t *testing.T, host string) {
	t.Helper()
	var n *Node
	process, codec := -1, newCodec()
	for i := range r.events {
		if r.process[i] != process {
			process = r.process[i]
			n = New(r.starts[process])
		}
		var out Ready
		n.Step(&r.events[i], &out)
		if got := codec.effectBytes(t, &out); !bytes.Equal(got, r.effects[i]) {
			t.Fatalf("%s, event %d of kind %d at %d: effects differ\n got %q\nwant %q", host, i, r.events[i].Kind, r.events[i].Now, got, r.effects[i])
		}
	}
}

// Guards against effects that depend on the iteration order of a map, on the
// clock or on memory that a step shares with its event. The recorded run contains
// calls, claims, a move, crashes, a restart, a partition, a platform outage and a
// drain.
func TestReplayGivesTheSameEffects(t *testing.T) {
	t.Parallel()
	g := newNodeGroup(t, fiveHosts...)
	recordings := g.record()
	g.run(3 * time.Second)
	for _, h := range g.hosts {
		g.announce(h, "v1")
		g.announce(h, "a2")
	}
	g.startApply("azrou-1", 0, "op-b")
	g.apply("ifrane-1", 0, "op-a")
	g.serviceTime = func() time.Duration { return 7 * time.Millisecond }
	g.step("ifrane-1", Event{Kind: KindOperator, Operator: &OperatorRequest{ID: 1, StartMove: &StartMoveRequest{
		Move: "m1", Service: "stock", From: "v1", To: "a2", Deadline: g.now.Add(time.Minute),
	}}})
	id := mesh.CallID(0)
	sendCallsFor := func(d time.Duration) {
		for end := g.now.Add(d); g.now < end; g.run(20 * time.Millisecond) {
			for i, h := range g.hosts {
				if g.nodes[h] == nil {
					continue
				}
				id++
				c := CallArrived{Call: id, Method: []byte("GET"), Path: []byte("/stock/7"), Hash: mesh.RequestHash(id)}
				if i%2 == 0 {
					c = orderCall(id, g.identity(h[:len(h)-2]))
				}
				g.send(h, c)
			}
		}
	}
	sendCallsFor(2 * time.Second)
	g.backendForCall = func(c mesh.CallID) GateDone {
		return GateDone{Result: GateLost, Crashed: c%11 == 0}
	}
	sendCallsFor(200 * time.Millisecond)
	g.backendForCall = nil
	g.kill("ifrane-2")
	g.platformDown["azrou-1"] = true
	sendCallsFor(2 * time.Second)
	g.partitioned = inDifferentDomains
	g.dropResult = func() bool { return g.now/mesh.Time(deliveryDelay)%3 == 0 }
	sendCallsFor(3 * time.Second)
	g.partitioned = nil
	clear(g.platformDown)
	g.start("ifrane-2")
	sendCallsFor(2 * time.Second)
	g.step("azrou-2", Event{Kind: KindDrain})
	sendCallsFor(2 * time.Second)
	for _, h := range g.hosts {
		recordings[h].replay(t, h)
	}
}
