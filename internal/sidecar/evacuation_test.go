package sidecar

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// rowStore is a platform whose store holds only the rows of one table, at a revision.
type rowStore struct {
	Platform
	rows     []platform.Row
	revision platform.Revision
	status   map[string]string // rows of TableStatus
	decoded  func()            // called when the configuration is decoded
}

func (*rowStore) Headers() *Headers { return &Headers{} }
func (*rowStore) EvacuatedDomain(key string) (mesh.FailureDomain, bool) {
	zone, ok := strings.CutPrefix(key, "evacuate/")
	return mesh.FailureDomain(zone), ok
}
func (s *rowStore) Rows(_ context.Context, t Table) ([]platform.Row, platform.Revision, error) {
	if t != TableStatus {
		return s.rows, s.revision, nil
	}
	var rows []platform.Row
	for key, value := range s.status {
		rows = append(rows, platform.Row{Key: key, Value: []byte(value)})
	}
	return rows, s.revision, nil
}
func (s *rowStore) DecodeOperatorRow(platform.Row) (OperatorRow, error) {
	if s.decoded != nil {
		s.decoded()
	}
	snapshot, err := catalog.Build(1, nil, []catalog.Service{{Name: "s"}}, catalog.ClientLimits{})
	return OperatorRow{Configuration: snapshot}, err
}
func (*rowStore) EncodeEvacuationStatus(d mesh.FailureDomain, pending []mesh.HostID) (platform.Put, error) {
	return platform.Put{Key: "evacuate/" + string(d), Value: fmt.Append(nil, pending)}, nil
}
func (s *rowStore) Commit(_ context.Context, _ platform.Check, writes []Write) (platform.Revision, platform.Row, error) {
	s.status[writes[0].Key] = string(writes[0].Value)
	if writes[0].Delete {
		delete(s.status, writes[0].Key)
	}
	return 1, platform.Row{}, nil
}

// evacuationNode is a node with the domain of its host evacuated or not.
type evacuationNode struct {
	*Node
	is *is.I
}

func newEvacuationNode(t *testing.T, host mesh.HostID, p Platform) evacuationNode {
	n, err := New(Settings{Host: host, Domain: "z", Service: "s", ForwardAddr: string(host) + ":1", PeerAddr: string(host) + ":2"}, p, NewLog(io.Discard))
	is := is.New(t)
	is.NoErr(err)
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

var (
	configRow   = platform.Row{Key: "config", Revision: 3}
	evacuateRow = platform.Row{Key: "evacuate/z", Revision: 5}
)

// Guards against an evacuation that hosts without the store don't learn of, or that goes on
// for ever at them: the history of the store is lost, so that only the lack of the row in a
// full read shows that the operator has removed it, and the peer that read it has never had
// the row.
func TestEvacuationIsLearnedFromPeers(t *testing.T) {
	is := is.New(t)
	store := &rowStore{}
	store.rows, store.revision = []platform.Row{configRow, evacuateRow}, 6
	reader, follower, other := newEvacuationNode(t, "r", store), newEvacuationNode(t, "f", store), newEvacuationNode(t, "o", store)
	reader.load()
	follower.ask(reader) // the store is away from here on
	other.ask(follower)
	is.True(reader.evacuated() && follower.evacuated() && other.evacuated())
	store.rows, store.revision = []platform.Row{configRow}, 9
	reader.load()
	is.True(!reader.evacuated())
	follower.ask(reader)
	is.True(!follower.evacuated())
	restarted := newEvacuationNode(t, "n", store)
	restarted.load()
	is.True(!restarted.evacuated())
	other.ask(restarted)
	is.True(!other.evacuated())
	late := newEvacuationNode(t, "l", store)
	late.applyChanges(TableOperator, []Change{{Row: platform.Row{Key: "evacuate/y", Revision: 7}}}, 7)
	is.True(late.evacuated())
	late.ask(other) // has the history from a peer itself, and never had the row
	is.True(!late.evacuated())
	other.ask(late) // nothing comes back
	is.True(!other.evacuated())
}

// Guards against an evacuation that ends because all processes were killed and started again:
// a new one must know it no later than the configuration, with which it begins to serve.
func TestEvacuationOutlastsARestartOfAllProcesses(t *testing.T) {
	is := is.New(t)
	store := &rowStore{}
	store.rows, store.revision = []platform.Row{configRow, evacuateRow}, 6
	for _, rows := range [][]platform.Row{{configRow, evacuateRow}, {evacuateRow, configRow}} {
		store.rows = rows
		n := newEvacuationNode(t, "a", store)
		n.step(proxy.InstanceReported{ID: "i", Service: "s", Version: "v", Slots: 2, Sequence: 1})
		store.decoded = func() { is.True(n.evacuated()) }
		n.load()
		n.inspect(func(r *proxy.Node) {
			is.True(r.Config() != nil)
			is.True(r.Self().Instance.Closed)
		})
	}
}

// Guards against operators who believe that all hosts comply with an evacuation while some
// don't know of it, and against a status row that outlasts the evacuation.
func TestStatusListsHostsThatDoNotComply(t *testing.T) {
	is := is.New(t)
	store := &rowStore{status: map[string]string{"evacuate/old": "left by another writer"}}
	writer, follower := newEvacuationNode(t, "a", store), newEvacuationNode(t, "b", store)
	var w statusWriter
	update := func() bool {
		complied, err := writer.updateEvacuationStatus(t.Context(), &w)
		is.NoErr(err)
		return complied
	}
	store.rows, store.revision = []platform.Row{configRow, evacuateRow}, 6
	writer.load()
	follower.ask(writer)
	is.True(!update()) // the writer hasn't read the store yet
	is.Equal(len(store.status), 1)
	writer.step(proxy.StoreState{Loaded: true, Alive: true})
	is.True(!update())
	is.Equal(store.status, map[string]string{"evacuate/z": "[b]"})
	follower.ask(writer)
	is.True(update())
	is.Equal(store.status, map[string]string{"evacuate/z": "[]"})
	writer.applyChanges(TableOperator, []Change{{Row: platform.Row{Key: "evacuate/z", Revision: 8}, Deleted: true}}, 8)
	is.True(update())
	is.Equal(len(store.status), 0)
	is.Equal(len(writer.hostRevisions.of(nil)), 0) // forgets hosts that are gone
}
