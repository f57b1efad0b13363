package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// rowStore is a platform whose store holds rows of TableOperator, as of a revision, and of
// TableStatus.
type rowStore struct {
	Platform
	rows     []platform.Row
	revision platform.Revision
	status   map[string]string
	decoded  func() // called when the configuration is decoded
}

func (*rowStore) Headers() *Headers { return &Headers{} }
func (*rowStore) EvacuatedDomain(key string) (mesh.FailureDomain, bool) {
	zone, ok := strings.CutPrefix(key, "evacuate/")
	return mesh.FailureDomain(zone), ok
}
func (*rowStore) EncodeEvacuationStatus(d mesh.FailureDomain, pending []mesh.HostID) (platform.Put, error) {
	return platform.Put{Key: "evacuate/" + string(d), Value: fmt.Append(nil, pending)}, nil
}
func (s *rowStore) DecodeOperatorRow(platform.Row) (OperatorRow, error) {
	s.decoded()
	return OperatorRow{Configuration: &catalog.Snapshot{Version: 1}}, nil
}
func (s *rowStore) Rows(_ context.Context, t Table) ([]platform.Row, platform.Revision, error) {
	return map[Table][]platform.Row{TableOperator: s.rows, TableStatus: {{Key: "evacuate/old"}}}[t], s.revision, nil
}
func (s *rowStore) Commit(_ context.Context, _ platform.Check, writes []Write) (platform.Revision, platform.Row, error) {
	if s.status[writes[0].Key] = string(writes[0].Value); writes[0].Delete {
		delete(s.status, writes[0].Key)
	}
	return 1, platform.Row{}, nil
}

type evacuationNode struct {
	*Node
	is *is.I
}

func newEvacuationNode(t *testing.T, host string, p Platform) evacuationNode {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	n, err := New(Settings{Host: mesh.HostID(host), Domain: mesh.FailureDomain("zone-" + host), ForwardAddr: host + ":1", PeerAddr: l.Addr().String()}, p, NewLog(io.Discard))
	is.NoErr(err)
	peers := n.peerServer("peers", l)
	go func() { _ = peers.serve() }()
	t.Cleanup(func() { _ = peers.shutdown(context.Background()) })
	return evacuationNode{n, is}
}

func (n evacuationNode) evacuated() (evacuated bool) {
	n.inspect(func(r *proxy.Node) { evacuated = len(r.Evacuations()) > 0 })
	return evacuated
}

// load reads the whole table from the store.
func (n evacuationNode) load() {
	_, err := n.loadTable(context.Background(), TableOperator)
	n.is.NoErr(err)
}

// ask exchanges state with a peer without a network.
func (n evacuationNode) ask(peer evacuationNode) {
	var delta News
	d := n.newDigest()
	_, err := peer.buildDelta(&d, &delta)
	n.is.NoErr(err)
	n.is.NoErr(n.applyDelta(&delta))
}

var evacuateRow = platform.Row{Key: "evacuate/z", Revision: 5}

// Guards against an evacuation that hosts without the store don't learn of, or that goes on
// for ever at them because its removal shows only in a full read of another host.
func TestEvacuationIsLearnedFromPeers(t *testing.T) {
	is := is.New(t)
	store := &rowStore{rows: []platform.Row{evacuateRow}, revision: 6}
	reader, follower, other := newEvacuationNode(t, "r", store), newEvacuationNode(t, "f", store), newEvacuationNode(t, "o", store)
	reader.load()
	follower.ask(reader) // the store is away from here on
	other.ask(follower)
	is.True(reader.evacuated() && follower.evacuated() && other.evacuated())
	store.rows, store.revision = nil, 9
	reader.load()
	follower.ask(reader)
	is.True(!reader.evacuated() && !follower.evacuated())
	restarted := newEvacuationNode(t, "n", store)
	restarted.load()
	other.ask(restarted)
	is.True(!restarted.evacuated() && !other.evacuated())
	late := newEvacuationNode(t, "l", store)
	late.applyChanges(TableOperator, []Change{{Row: platform.Row{Key: "evacuate/y", Revision: 7}}}, 7)
	late.ask(other) // has the history from a peer itself, and never had the row
	other.ask(late) // nothing comes back
	is.True(!late.evacuated() && !other.evacuated())
}

// Guards against an evacuation that ends because all processes were killed and started again:
// a new one must know it no later than the configuration, with which it begins to serve.
func TestEvacuationOutlastsARestartOfAllProcesses(t *testing.T) {
	is := is.New(t)
	store := &rowStore{rows: []platform.Row{{Key: "config", Revision: 3}, evacuateRow}, revision: 6}
	n := newEvacuationNode(t, "a", store)
	store.decoded = func() { is.True(n.evacuated()) }
	n.load()
	n.inspect(func(r *proxy.Node) { is.True(r.Config() != nil) })
}

// Guards against operators who believe that all hosts comply with an evacuation while some
// don't know of it, against a status row that outlasts the evacuation, and against one that
// nobody writes because the first reader has lost the store.
func TestStatusListsHostsThatDoNotComply(t *testing.T) {
	is := is.New(t)
	store := &rowStore{rows: []platform.Row{evacuateRow}, revision: 6, status: map[string]string{"evacuate/old": "of another writer"}}
	first, second := newEvacuationNode(t, "a", store), newEvacuationNode(t, "b", store)
	writers := map[evacuationNode]*statusWriter{first: {}, second: {}}
	check := func(n evacuationNode, complied bool, want map[string]string) {
		got, err := n.updateEvacuationStatus(t.Context(), writers[n])
		is.NoErr(err)
		is.Equal(got, complied)
		is.Equal(store.status, want)
	}
	first.load()
	second.ask(first)
	first.step(proxy.StoreState{Loaded: true, Alive: true})
	second.step(proxy.StoreState{Loaded: true, Alive: true})
	second.replicas[TableOperator].revision = 4 // its next exchange hasn't come yet
	check(first, false, map[string]string{"evacuate/z": "[b]"})
	second.load()
	check(first, true, map[string]string{"evacuate/z": "[]"})
	delete(store.status, "evacuate/z")
	check(second, false, map[string]string{})
	first.step(proxy.StoreState{Loaded: true})
	check(second, true, map[string]string{"evacuate/z": "[]"})
	second.applyChanges(TableOperator, []Change{{Row: platform.Row{Key: "evacuate/z", Revision: 8}, Deleted: true}}, 8)
	check(second, true, map[string]string{})
}
