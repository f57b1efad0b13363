package sidecar

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// Guards against followers that rely on a reader which has lost the store: its call about
// the shared rows may hang for seconds after the call about the operator's rows has
// failed. One failed call must be enough.
func TestReaderReportsStoreLossAfterOneFailedTable(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "a", PeerAddr: "a"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	n.setTableAlive(TableOperator, true)
	n.setTableAlive(TableShared, true)
	var delta News
	is.NoErr((&PeerService{n}).Exchange(Digest{Self: proxy.Member{Host: "b"}}, &delta))
	is.True(delta.StoreAlive)
	woken := n.stateChanged.wait()
	n.setTableAlive(TableOperator, false)
	select {
	case <-woken: // waiting polls of followers end at once
	default:
		t.Fatal("polls of followers are not woken when the store is lost")
	}
	is.NoErr((&PeerService{n}).Exchange(Digest{Self: proxy.Member{Host: "b"}}, &delta))
	is.True(!delta.StoreAlive)
}

// member returns the record of a host in failure domain d.
func member(host string) proxy.Member {
	return proxy.Member{Host: mesh.HostID(host), Domain: "d", ForwardAddr: host + ":1", PeerAddr: host + ":2", Incarnation: 1}
}

// Guards against a start of many hosts in which every node reads every table. A node that
// finds other hosts must get the operator's rows from its reader.
func TestFollowerReadsOnlyTheSharedRows(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "b", Domain: "d", PeerAddr: "b:2"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	is.True(n.shouldRead(TableShared))
	is.True(!n.shouldRead(TableOperator)) // other hosts may have started at the same time
	n.step(proxy.MembersSeen{Members: []proxy.Member{member("a")}})
	is.True(!n.shouldRead(TableOperator)) // host a is the reader
	n.step(proxy.PeerChecked{Host: "a", Alive: false})
	is.True(n.shouldRead(TableOperator)) // b is the reader instead of a
	n.following.Store(true)
	is.True(!n.shouldRead(TableShared))
}

// Guards against a failure domain that starts without a configuration because the store
// refuses its reader. A substitute must read all tables.
func TestSubstituteReadsAllTables(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "b", Domain: "d", PeerAddr: "b:2"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	n.step(proxy.MembersSeen{Members: []proxy.Member{member("a")}})
	is.True(!n.shouldRead(TableOperator))
	n.substituteUntil.Store(int64(time.Hour))
	is.True(n.shouldRead(TableOperator))
}

// Guards against followers that get a change of another host only after their poll has
// been held for its full time.
func TestChangeEndsPollsAtOnce(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "a", Domain: "d", PeerAddr: "a:2"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	n.setTableAlive(TableOperator, true)
	n.setTableAlive(TableShared, true)
	n.step(proxy.MembersSeen{Members: []proxy.Member{member("b")}})
	var members []byte
	n.inspect(func(r *proxy.Node) { members = r.MembersDigest() })
	service := &PeerService{n}
	done := make(chan News, 1)
	go func() {
		var delta News
		if err := service.Await(Digest{Self: member("b"), Members: members}, &delta); err != nil {
			t.Error(err)
		}
		done <- delta
	}()
	for !n.stateChanged.hasWaiters() {
		time.Sleep(time.Millisecond) // nothing signals that the poll waits
	}
	is.NoErr(service.Notify(Notice{Self: member("c")}, nil))
	delta := <-done
	is.True(len(delta.Members) > 0) // a poll that ends by the hold time returns none
	// A poll with differing members that begins just after a change is held only shortly.
	n.membersChangedAt.Store(int64(time.Since(n.started)))
	is.Equal(n.holdTime(true), recentChangeHold)
	n.membersChangedAt.Store(int64(time.Since(n.started) - pollHold))
	is.Equal(n.holdTime(true), mismatchHold)
}

// Guards against nodes that have no configuration for a second or more after all
// processes were restarted (incident inc-2dc9): the rows list hosts that are gone, and
// one of them may be the reader.
func TestRestartedNodeDoesNotWaitForItsReader(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "b", Domain: "d", PeerAddr: "b:2"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	n.step(proxy.MembersSeen{Members: []proxy.Member{member("a")}})
	n.started = n.started.Add(-time.Second)
	n.foundHostsAt.Store(int64(time.Second))
	is.True(!n.shouldRead(TableOperator)) // the node waits for its reader
	n.started = n.started.Add(-operatorRowsTimeout)
	n.following.Store(true)
	is.True(n.shouldRead(TableOperator))
	n.replicas[TableOperator].setLoaded()
	is.True(!n.shouldRead(TableOperator))
}

// changesPlatform reports each read of changes.
type changesPlatform struct {
	fakePlatform
	reads chan Table
}

func (p changesPlatform) Changes(_ context.Context, t Table, after platform.Revision, _ time.Duration) ([]Change, platform.Revision, error) {
	select {
	case p.reads <- t:
	default:
	}
	return nil, after, nil
}

// Guards against a host that is cut off from the others, but not from the store, and answers
// by an old configuration for seconds, while it tries one reader after the other.
func TestFollowerWithoutReaderReadsTheOperatorsRows(t *testing.T) {
	is := is.New(t)
	p := changesPlatform{reads: make(chan Table, 1)}
	n, err := New(Settings{Host: "d", Domain: "d", PeerAddr: "d:2"}, p, NewLog(io.Discard))
	is.NoErr(err)
	for _, t := range []Table{TableOperator, TableShared} {
		n.replicas[t].setLoaded()
	}
	reader := member("a")
	reader.PeerAddr = "127.0.0.1:1" // refuses connections
	n.step(proxy.MembersSeen{Members: []proxy.Member{reader}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { n.followReader(ctx); close(done) }()
	select {
	case table := <-p.reads:
		is.Equal(table, TableOperator)
	case <-time.After(5 * time.Second):
		t.Error("no read of the operator's rows")
	}
	cancel()
	<-done
}

// hasWaiters reports whether a goroutine waits for the next call of wake.
func (b *broadcast) hasWaiters() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch != nil
}
