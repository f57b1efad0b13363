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
	process []int // index in starts of the process that took the event
	events  []Event
	effects [][]byte
	codec   *codec // of the effects
}

// codec is a gob stream. One stream for many values sends each type once.
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

// effectBytes returns all effects of a step in a form to compare.
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

// record records the events of all hosts from now on. The group must be new.
func (g *group) record() map[string]*recording {
	records := map[string]*recording{}
	known, copies := map[string]*Node{}, newCodec()
	for _, h := range g.hosts {
		records[h] = &recording{codec: newCodec()}
	}
	g.before = func(host string, ev *Event) {
		r := records[host]
		if known[host] != g.nodes[host] {
			known[host] = g.nodes[host]
			r.starts = append(r.starts, g.nodes[host].settings)
		}
		r.process = append(r.process, len(r.starts)-1)
		r.events = append(r.events, copies.copyOf(g.t, ev))
	}
	g.after = func(host string, out *Ready) {
		r := records[host]
		r.effects = append(r.effects, r.codec.effectBytes(g.t, out))
	}
	return records
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

// Guards against effects that depend on the order of a map, on the clock or on
// memory that a step shares with its event. The session has calls, claims, a
// move, crashes, a restart, a partition, a platform outage and a drain.
func TestReplayGivesTheSameEffects(t *testing.T) {
	t.Parallel()
	g := newGroup(t, fiveHosts...)
	records := g.record()
	g.run(3 * time.Second)
	for _, h := range g.hosts {
		g.announce(h, "v1")
		g.announce(h, "a2")
	}
	g.startApply("azrou-1", 0, "op-b")
	g.apply("ifrane-1", 0, "op-a")
	g.busy = func() time.Duration { return 7 * time.Millisecond }
	g.step("ifrane-1", Event{Kind: KindOperator, Operator: &OperatorRequest{ID: 1, StartMove: &StartMoveRequest{
		Move: "m1", Service: "stock", From: "v1", To: "a2", Deadline: g.now.Add(time.Minute),
	}}})
	id := mesh.CallID(0)
	flow := func(d time.Duration) {
		for end := g.now.Add(d); g.now < end; g.run(20 * time.Millisecond) {
			for i, h := range g.hosts {
				if g.nodes[h] == nil {
					continue
				}
				id++
				c := CallArrived{Call: id, Method: []byte("GET"), Path: []byte("/stock/7"), Fingerprint: mesh.Fingerprint(id)}
				if i%2 == 0 {
					c = orderCall(id, g.identity(h[:len(h)-2]))
				}
				g.send(h, c)
			}
		}
	}
	flow(2 * time.Second)
	g.backendOf = func(c mesh.CallID) GateDone {
		return GateDone{Result: GateLost, Crashed: c%11 == 0}
	}
	flow(200 * time.Millisecond)
	g.backendOf = nil
	g.kill("ifrane-2")
	g.cut["azrou-1"] = true
	flow(2 * time.Second)
	g.apart = domainsApart
	g.lose = func() bool { return g.now/mesh.Time(delay)%3 == 0 }
	flow(3 * time.Second)
	g.apart = nil
	clear(g.cut)
	g.start("ifrane-2")
	flow(2 * time.Second)
	g.step("azrou-2", Event{Kind: KindDrain})
	flow(2 * time.Second)
	for _, h := range g.hosts {
		records[h].replay(t, h)
	}
}
