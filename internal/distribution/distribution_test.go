package distribution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// fixedTopology is the topology of a root node whose children never change.
type fixedTopology struct {
	reader   bool
	children []mesh.HostID
}

func (f *fixedTopology) Joined() bool                             { return true }
func (f *fixedTopology) Parent() (mesh.HostID, bool)              { return "", false }
func (f *fixedTopology) Children() []mesh.HostID                  { return f.children }
func (f *fixedTopology) IsReader() bool                           { return f.reader }
func (f *fixedTopology) Readers(mesh.FailureDomain) []mesh.HostID { return nil }
func (f *fixedTopology) Hosts(mesh.FailureDomain) []mesh.HostID   { return slices.Clone(f.children) }
func (f *fixedTopology) Domains() []mesh.FailureDomain            { return []mesh.FailureDomain{"ifrane"} }
func (f *fixedTopology) LiveCount(mesh.FailureDomain) int         { return 1 + len(f.children) }
func (f *fixedTopology) Links() []mesh.HostID                     { return f.children }
func (f *fixedTopology) Exchanges() []mesh.HostID                 { return nil }
func (f *fixedTopology) DomainOf(mesh.HostID) (mesh.FailureDomain, bool) {
	return "ifrane", true
}

// newReducer returns the reducer of a reader with the given children.
func newReducer(children ...mesh.HostID) *Reducer {
	s := Settings{Host: "self", Domain: "ifrane", Content: lineContent{}, Merges: map[AggregateKind]Merge{
		1: func(a, b []byte) []byte { return []byte{a[0] + b[0]} },
	}}
	return New(s, &fixedTopology{reader: true, children: children})
}

// headResult returns the platform's answer to a read of the head.
func headResult(id uint64, full []byte, version mesh.ConfigVersion) *platform.Result {
	value := fmt.Sprintf(`{"version":%d,"hash":%q,"writer":"w"}`, version, lineContent{}.Hash(full))
	return &platform.Result{ID: id, Op: platform.OpRead, Status: platform.OK,
		Rows: []platform.Row{{Key: platform.HeadKey, Value: []byte(value), Revision: 1}}}
}

// Guards against answering a request with a head whose read began before the
// request arrived, which could set the floor too low (guarantee G1), and
// against a platform read for each of many requests.
func TestFreshRequestsShareALaterRead(t *testing.T) {
	is := is.New(t)
	r, out := newReducer(), Output{}
	now := simEpoch
	r.Receive(now, "a", &Message{FreshRequest: 1}, &out)
	is.Equal(len(out.Platform), 1)
	for i := range 200 {
		r.Receive(now.Add(time.Millisecond), mesh.HostID(fmt.Sprintf("b-%03d", i)), &Message{FreshRequest: 2}, &out)
	}
	is.Equal(len(out.Platform), 1) // the requests wait until the read in progress has ended
	r.PlatformResult(now.Add(5*time.Millisecond), headResult(out.Platform[0].ID, goodContent, 1), &out)
	is.Equal(len(out.Sends), 1)
	is.Equal(out.Sends[0].To, mesh.HostID("a"))
	out.Reset()
	r.Tick(now.Add(150*time.Millisecond), 1, &out)
	is.Equal(len(out.Platform), 1)
	read := out.Platform[0].ID
	out.Reset()
	r.PlatformResult(now.Add(155*time.Millisecond), headResult(read, goodContent, 1), &out)
	is.Equal(len(out.Sends), 200)
}

// Guards against a floor set by an answer to a request of an earlier process.
func TestForeignNonceSetsNoFloor(t *testing.T) {
	is := is.New(t)
	r, out := newReducer(), Output{}
	r.Receive(simEpoch, "a", &Message{FreshHead: &FreshHead{Nonce: 77, Head: Head{Version: 1}}}, &out)
	is.True(!r.Established())
}

// Guards against applying content that does not match its hash, whether it
// came in full or as a delta that does not fit. After such a delta the full
// content must be pulled.
func TestHashMismatchIsNotApplied(t *testing.T) {
	is := is.New(t)
	r, out := newReducer(), Output{}
	r.setFloor(Head{}, &out)
	r.Published(simEpoch, Head{Version: 1, Hash: lineContent{}.Hash(goodContent)}, goodContent, &out)
	is.Equal(r.AppliedHead().Version, mesh.ConfigVersion(1))
	out.Reset()
	next := Head{Version: 2, Hash: lineContent{}.Hash(nextContent)}
	r.Receive(simEpoch, "a", &Message{Push: &Push{Head: next, Base: 1, Delta: []byte("+route other roofs")}}, &out)
	is.Equal(len(out.Applied), 0)
	is.Equal(*out.Sends[len(out.Sends)-1].Message.Pull, Pull{Want: 2, Have: 0})
	r.Receive(simEpoch, "a", &Message{Push: &Push{Head: next, Full: compress(thirdContent)}}, &out)
	is.Equal(len(out.Applied), 0)
	r.Receive(simEpoch, "a", &Message{Push: &Push{Head: next, Full: compress(nextContent)}}, &out)
	is.Equal(r.AppliedHead(), next)
}

// Guards against a node that never obtains the content because it knows only
// the version number and no peer can be reached. It must read the hash from
// the history row and the content from the object store.
func TestContentFromObjectStore(t *testing.T) {
	is := is.New(t)
	r, out := newReducer(), Output{}
	r.setFloor(Head{}, &out)
	r.Receive(simEpoch, "a", &Message{Status: &Status{Reply: true, Head: 3}}, &out)
	out.Reset()
	now := simEpoch.Add(time.Minute)
	r.Tick(now, 1, &out)
	history := out.Platform[len(out.Platform)-1]
	is.Equal(history.Keys, []string{platform.HistoryKey(3)})
	row := platform.Row{Key: platform.HistoryKey(3), Value: []byte(`{"hash":"` + lineContent{}.Hash(goodContent) + `","operator":"o"}`)}
	out.Reset()
	r.PlatformResult(now, &platform.Result{ID: history.ID, Op: history.Op, Status: platform.OK, Rows: []platform.Row{row}}, &out)
	object := out.Platform[0]
	is.Equal(object.Op, platform.OpGetObject)
	r.PlatformResult(now, &platform.Result{ID: object.ID, Op: object.Op, Status: platform.OK, Object: goodContent}, &out)
	is.Equal(r.AppliedHead().Version, mesh.ConfigVersion(3))
}

// Guards against an older version that arrives late and replaces a newer one
// (guarantee G1).
func TestOlderVersionIsIgnored(t *testing.T) {
	is := is.New(t)
	r, out := newReducer(), Output{}
	r.setFloor(Head{}, &out)
	r.Published(simEpoch, Head{Version: 5, Hash: lineContent{}.Hash(nextContent)}, nextContent, &out)
	old := Head{Version: 4, Hash: lineContent{}.Hash(goodContent)}
	r.Receive(simEpoch, "a", &Message{Push: &Push{Head: old, Full: compress(goodContent)}}, &out)
	is.Equal(r.AppliedHead().Version, mesh.ConfigVersion(5))
}

// Guards against an item that is replaced by one with a lower step, and
// against an item that a peer has lost and never receives again.
func TestItemsKeepTheHighestStep(t *testing.T) {
	is := is.New(t)
	a, b, out := newReducer("b"), newReducer(), Output{}
	a.PutItem(simEpoch, Item{ID: "m1", Step: 4, Value: []byte("four")}, &out)
	is.Equal(len(out.Sends), 1)
	a.Receive(simEpoch, "b", &Message{Items: []Item{{ID: "m1", Step: 3, Value: []byte("three")}}}, &out)
	item, _ := a.Item("m1")
	is.Equal(item.Step, uint64(4))
	b.PutItem(simEpoch, Item{ID: "m2", Step: 1, Value: []byte("one")}, &out)
	exchangeMessages(a, b, Message{Status: b.statusFor(simEpoch, "a", false)})
	is.Equal(a.Items(), b.Items())
	is.Equal(len(a.Items()), 2)
}

// exchangeMessages delivers a message from b to a, and then the answers in
// both directions for up to six rounds.
func exchangeMessages(a, b *Reducer, first Message) {
	to, other := a, b
	messages := []Message{first}
	for round := 0; round < 6 && len(messages) > 0; round++ {
		var out Output
		for i := range messages {
			to.Receive(simEpoch.Add(10*time.Second), other.settings.Host, &messages[i], &out)
		}
		messages = nil
		for _, send := range out.Sends {
			messages = append(messages, send.Message)
		}
		to, other = other, to
	}
}

// Guards against acknowledgements that count a host twice, name more than
// MaxMissing hosts, or count a report about another version.
func TestAcksAggregate(t *testing.T) {
	is := is.New(t)
	r, out := newReducer("a", "b", "c"), Output{}
	r.setFloor(Head{}, &out)
	r.Published(simEpoch, Head{Version: 2, Hash: lineContent{}.Hash(goodContent)}, goodContent, &out)
	missing := make([]mesh.HostID, MaxMissing)
	for i := range missing {
		missing[i] = mesh.HostID(fmt.Sprintf("m-%02d", i))
	}
	r.Receive(simEpoch, "a", &Message{Status: &Status{Head: 2, Ack: &Ack{Version: 2, InForce: 10, Total: 30, Missing: missing}}}, &out)
	r.Receive(simEpoch, "b", &Message{Status: &Status{Head: 1, Ack: &Ack{Version: 1, InForce: 7, Total: 7}}}, &out)
	ack := r.subtreeAck(simEpoch)
	is.Equal(ack.InForce, uint32(11))
	is.Equal(ack.Total, uint32(39)) // this host, 30, 7 and the child that has not reported
	is.Equal(len(ack.Missing), MaxMissing)
	ack = r.subtreeAck(simEpoch.Add(ackTimeout + time.Second))
	is.Equal(ack.Missing, []mesh.HostID{"a", "b", "c"}) // reports older than ackTimeout do not count
}

// Guards against aggregates that are lost or counted twice in the tree, or
// that stay after a contribution has been removed.
func TestAggregatesReachAllNodes(t *testing.T) {
	is := is.New(t)
	s, _ := newConvergedSim(4)
	for _, h := range s.hosts {
		h.dist.SetLocal(1, []byte{2})
	}
	s.run(15 * time.Second)
	for _, h := range s.hosts {
		is.Equal(h.dist.Aggregate(1), []byte{16})
	}
	s.hosts[0].dist.SetLocal(1, nil)
	s.run(15 * time.Second)
	for _, h := range s.hosts {
		is.Equal(h.dist.Aggregate(1), []byte{14})
	}
}

// Guards against a joining node that pulls from the same busy peer repeatedly
// although other members of its failure domain could serve it.
func TestFullContentComesFromAnotherMember(t *testing.T) {
	is := is.New(t)
	r, out := newReducer("a", "b"), Output{}
	r.setFloor(Head{}, &out)
	r.Receive(simEpoch, "a", &Message{Push: &Push{Head: Head{Version: 1, Hash: "h"}}}, &out)
	is.Equal(out.Sends[0].To, mesh.HostID("a"))
	out.Reset()
	r.Tick(simEpoch.Add(fullPullTimeout), 1, &out)
	is.Equal(out.Sends[0].To, mesh.HostID("b"))
	is.True(out.Sends[0].Message.Pull != nil)
}

// Guards against a repeated request that loses its position in the queue, and
// against a second copy for a peer that has turned to another source.
func TestQueuedRequestsKeepPlaceAndExpire(t *testing.T) {
	is := is.New(t)
	r, out := newReducer(), Output{}
	r.Published(simEpoch, Head{Version: 1, Hash: lineContent{}.Hash(goodContent)}, goodContent, &out)
	out.Reset()
	r.Tick(simEpoch, 1, &out)
	r.serveQueue.budget = -10_000
	for i, host := range []mesh.HostID{"a", "b", "a"} {
		r.Receive(simEpoch.Add(time.Duration(i)), host, &Message{Pull: &Pull{Want: 1}}, &out)
	}
	is.Equal(r.serveQueue.requests[0].host, mesh.HostID("a"))
	is.Equal(len(r.serveQueue.requests), 2)
	out.Reset()
	r.Tick(simEpoch.Add(time.Minute), 1, &out)
	is.Equal(len(out.Sends), 0)
	is.Equal(len(r.serveQueue.requests), 0)
}
