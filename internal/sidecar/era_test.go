package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/quota"
)

// eraPlatform decodes a row "config" whose value is a version number, and records the
// precondition of the latest write.
type eraPlatform struct {
	fakePlatform
	check *platform.Check
}

func (eraPlatform) DecodeOperatorRow(r platform.Row) (OperatorRow, error) {
	version, err := strconv.Atoi(string(r.Value))
	if err != nil || r.Key != "config" {
		return OperatorRow{}, nil
	}
	snapshot, err := catalog.Build(mesh.ConfigVersion(version), nil, nil, catalog.ClientLimits{})
	return OperatorRow{Configuration: snapshot}, err
}

func (eraPlatform) EvacuatedDomain(key string) (mesh.FailureDomain, bool) {
	domain, ok := strings.CutPrefix(key, "evacuate/")
	return mesh.FailureDomain(domain), ok
}

func (p eraPlatform) Commit(_ context.Context, check platform.Check, _ []Write) (platform.Revision, platform.Row, error) {
	*p.check = check
	return 0, platform.Row{}, errors.New("not written")
}

func newEraNode(t *testing.T, host string) (*Node, *platform.Check) {
	t.Helper()
	check := new(platform.Check)
	n, err := New(Settings{Host: mesh.HostID(host), Domain: "d", ForwardAddr: host + ":1", PeerAddr: host + ":2"}, eraPlatform{check: check}, NewLog(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	return n, check
}

func rowChange(key, value string, era platform.Era, version uint64) Change {
	return Change{Row: platform.Row{Key: key, Value: []byte(value), Revision: platform.NewRevision(era, version)}}
}

func memberChange(host string, era platform.Era, version uint64) Change {
	value, err := json.Marshal(member(host))
	if err != nil {
		panic(err) // the record consists of texts and numbers
	}
	return rowChange(memberPrefix+host, string(value), era, version)
}

func (n *Node) configVersion() (v mesh.ConfigVersion) {
	n.inspect(func(r *proxy.Node) {
		if c := r.Config(); c != nil {
			v = c.Version
		}
	})
	return v
}

// pullFrom applies a peer's reply to this node's digest, like requestDelta.
func (n *Node) pullFrom(t *testing.T, peer *Node) {
	t.Helper()
	lost, _ := n.lostRows.list(time.Now())
	d := Digest{Self: member(string(n.settings.Host)), Lost: digest(lost),
		Operator: n.replicas[TableOperator].completeRevision(), Shared: n.replicas[TableShared].completeRevision()}
	var delta News
	_, err := peer.buildDelta(&d, &delta)
	operator, errOperator := unpackAll(delta.Operator)
	shared, errShared := unpackAll(delta.Shared)
	lost, errLost := unpackAll(delta.Lost)
	if err := errors.Join(err, errOperator, errShared, errLost); err != nil {
		t.Fatal(err)
	}
	n.applyPeerChanges(TableOperator, operator, delta.OperatorAt, allRows)
	n.applyPeerChanges(TableShared, shared, delta.SharedAt, rowsForPeer(n.settings.Host))
	n.applyLostRows(lost, delta.LostFor)
}

// Guards against a host that stays without a row after the store has gone back to a state
// that lacks it, and against other hosts that drop it although it is reachable.
func TestHostWritesItsRowAgain(t *testing.T) {
	is := is.New(t)
	n, check := newEraNode(t, "a")
	is.True(n.applyState(TableShared, []Change{memberChange("a", 0, 7), memberChange("b", 0, 8)}, 9, allRows))
	is.True(!n.rowOutdated())
	is.True(n.applyState(TableShared, nil, platform.NewRevision(1, 5), allRows))
	is.True(n.rowOutdated())
	is.True(n.writeOwnRow(t.Context()) != nil)
	is.Equal(check.Revision, platform.NewRevision(1, 0)) // the row must not exist
	n.inspect(func(r *proxy.Node) { is.Equal(len(r.Members()), 2) })
	// Another writer's row is found by the conflict, with a smaller version than the state.
	n.applyWrittenRow(memberChange("a", 1, 3).Row)
	is.Equal(n.replicas[TableShared].row(memberPrefix+"a").Revision, platform.NewRevision(1, 3))
	// Delayed answers of the earlier era change nothing.
	is.True(!n.applyState(TableShared, nil, 20, allRows))
	n.applyChanges(TableShared, []Change{memberChange("gone", 0, 99)}, 99)
	n.inspect(func(r *proxy.Node) { is.Equal(len(r.Members()), 2) })
}

// Guards against a follower that was cut off while the store went back: its rows, whose
// versions may be higher, must neither replace nor join those of the new era.
func TestFollowerDropsRowsOfAnEarlierEra(t *testing.T) {
	is := is.New(t)
	follower, _ := newEraNode(t, "f")
	reader, _ := newEraNode(t, "r")
	old := []Change{memberChange("f", 0, 70), memberChange("x", 0, 71), rowChange("quota/coordinator", "old", 0, 80)}
	follower.applyState(TableShared, old, 90, allRows)
	reader.applyState(TableShared, []Change{rowChange("other", "new", 1, 4)}, platform.NewRevision(1, 5), allRows)
	reader.pullFrom(t, follower)
	is.Equal(reader.replicas[TableShared].row("quota/coordinator").Revision.Version(), uint64(0))
	follower.pullFrom(t, reader)
	is.Equal(follower.replicas[TableShared].completeRevision(), platform.NewRevision(1, 5))
	is.Equal(string(follower.replicas[TableShared].row("other").Value), "new")
	for _, c := range old { // also those that a reader doesn't send to followers
		is.Equal(follower.replicas[TableShared].row(c.Key).Revision, platform.NewRevision(1, 0))
	}
	is.Equal(len(follower.replicas[TableShared].rows), 2) // "other", and the row of x for a full read to settle
	for _, host := range []string{"x", "started"} {
		packed, _, err := follower.replicas[TableShared].changesSince(0, rowsForPeer(mesh.HostID(host)))
		is.NoErr(err)
		is.Equal(len(packed), 1) // only "other"
	}
}

// Guards against a configuration that goes back, and an operator's row that ends, because
// the store's copy is older, also on a process that was started after the store went back.
func TestOperatorRowsOutlastAnOlderCopy(t *testing.T) {
	is := is.New(t)
	n, _ := newEraNode(t, "a")
	n.applyState(TableOperator, []Change{rowChange("config", "5", 0, 50), rowChange("row", "x", 0, 40), rowChange("ended", "y", 0, 41)}, 60, allRows)
	older := []Change{rowChange("config", "4", 1, 30)}
	n.applyState(TableOperator, older, platform.NewRevision(1, 30), allRows)
	is.Equal(n.configVersion(), mesh.ConfigVersion(5))
	started, _ := newEraNode(t, "b")
	started.applyState(TableOperator, older, platform.NewRevision(1, 30), allRows)
	is.Equal(started.configVersion(), mesh.ConfigVersion(4))
	started.pullFrom(t, n)
	is.Equal(started.configVersion(), mesh.ConfigVersion(5))
	rows, left := started.lostRows.list(time.Now())
	is.Equal(len(rows), 3)
	is.True(left > 0 && left <= missingRowRetention)
	// The operator writes the configuration again and removes one of the other rows.
	removal := testChange("ended", platform.NewRevision(1, 32), true)
	n.applyChanges(TableOperator, []Change{rowChange("config", "5", 1, 31), removal}, removal.Revision)
	n.expireLostRows()
	rows, _ = n.lostRows.list(time.Now())
	is.Equal(len(rows), 1)
	n.lostRows.until = time.Now()
	n.expireLostRows()
	rows, _ = n.lostRows.list(time.Now())
	is.Equal(len(rows), 0)
	is.Equal(n.configVersion(), mesh.ConfigVersion(5))
}

// Guards against an evacuation that goes on for ever because the store has lost its row and
// the operator doesn't want it any more, and against one that ends before the operator had
// time to write it again.
func TestLostEvacuationEndsAfterTheRetention(t *testing.T) {
	is := is.New(t)
	n, _ := newEraNode(t, "a")
	evacuated := func() (list []mesh.FailureDomain) {
		n.inspect(func(r *proxy.Node) { list = r.Evacuations() })
		return list
	}
	n.applyState(TableOperator, []Change{rowChange("config", "5", 0, 50), rowChange("evacuate/z", "", 0, 55)}, 60, allRows)
	n.applyState(TableOperator, []Change{rowChange("config", "5", 1, 50)}, platform.NewRevision(1, 50), allRows)
	n.expireLostRows()
	is.Equal(evacuated(), []mesh.FailureDomain{"z"})
	n.lostRows.until = time.Now()
	n.expireLostRows()
	is.Equal(len(evacuated()), 0)
	n.applyChanges(TableOperator, []Change{rowChange("evacuate/z", "", 1, 51)}, platform.NewRevision(1, 51))
	is.Equal(evacuated(), []mesh.FailureDomain{"z"})
}

// Guards against a coordinator of the quotas that can't write its row again because the
// store lost it with the change of its era.
func TestQuotaRowIsWrittenAgainInTheNewEra(t *testing.T) {
	is := is.New(t)
	n, check := newEraNode(t, "a")
	n.applyState(TableShared, []Change{rowChange(quotaRowKey, `{"host":"b","term":3}`, 0, 50)}, 60, allRows)
	n.applyState(TableShared, nil, platform.NewRevision(1, 40), allRows)
	is.True(n.writeQuotaRow(t.Context(), quota.RowWrite{Row: quota.Row{Host: "a", Term: 4}}) != nil)
	is.Equal(check.Revision, platform.NewRevision(1, 0))
}
