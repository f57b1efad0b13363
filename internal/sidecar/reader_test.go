package sidecar

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// Guards against followers that trust a reader which is cut off from the store:
// its call about the shared rows hangs for seconds after that about the
// operator's rows has failed.
func TestReaderWithoutOperatorRowsHasLostTheStore(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "a", PeerAddr: "a"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	n.tableAnswered(TableOperator, true)
	n.tableAnswered(TableShared, true)
	var news News
	is.NoErr((&PeerService{n}).Exchange(Digest{Self: proxy.Member{Host: "b"}}, &news))
	is.True(news.StoreAlive)
	woken := n.changed.wait()
	n.tableAnswered(TableOperator, false)
	select {
	case <-woken: // waiting followers are told at once
	default:
		t.Fatal("followers go on waiting")
	}
	is.NoErr((&PeerService{n}).Exchange(Digest{Self: proxy.Member{Host: "b"}}, &news))
	is.True(!news.StoreAlive)
}

// member returns the record of a host in the failure domain of the tests.
func member(host string) proxy.Member {
	return proxy.Member{Host: mesh.HostID(host), Domain: "d", ForwardAddr: host + ":1", PeerAddr: host + ":2", Incarnation: 1}
}

// Guards against a mass start in which every node reads every table: one that
// finds other hosts gets the operator's rows from its reader.
func TestFollowersReadTheSharedRowsAlone(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "b", Domain: "d", PeerAddr: "b:2"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	is.True(n.reads(TableShared))
	is.True(!n.reads(TableOperator)) // others may have started with it
	n.step(proxy.MembersSeen{Members: []proxy.Member{member("a")}})
	is.True(!n.reads(TableOperator)) // a reads
	n.step(proxy.PeerChecked{Host: "a", Alive: false})
	is.True(n.reads(TableOperator)) // in the place of a
	n.follower.Store(true)
	is.True(!n.reads(TableShared))
}

// Guards against a failure domain that starts without a configuration because the
// store turns its reader away: a substitute reads all tables.
func TestSubstituteReadsAllTables(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "b", Domain: "d", PeerAddr: "b:2"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	n.step(proxy.MembersSeen{Members: []proxy.Member{member("a")}})
	is.True(!n.reads(TableOperator))
	n.substituteUntil.Store(int64(time.Hour))
	is.True(n.reads(TableOperator))
}

// Guards against followers that learn a change of another host only when their
// poll ends.
func TestFollowersLearnOfAChangeAtOnce(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "a", Domain: "d", PeerAddr: "a:2"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	n.tableAnswered(TableOperator, true)
	n.tableAnswered(TableShared, true)
	n.step(proxy.MembersSeen{Members: []proxy.Member{member("b")}})
	var known []byte
	n.inspect(func(r *proxy.Node) { known = r.MembersDigest() })
	service := &PeerService{n}
	done := make(chan News, 1)
	go func() {
		var news News
		if err := service.Await(Digest{Self: member("b"), Members: known}, &news); err != nil {
			t.Error(err)
		}
		done <- news
	}()
	for !n.changed.waited() {
		time.Sleep(time.Millisecond) // no event tells
	}
	is.NoErr(service.Notify(Notice{Self: member("c")}, nil))
	news := <-done
	is.True(len(news.Members) > 0) // a poll that ends by its hold carries none
	// A poll that begins just after the change is held for a short time only.
	n.membersAt.Store(int64(time.Since(n.started)))
	is.Equal(n.holdTime(true), recentHold)
	n.membersAt.Store(int64(time.Since(n.started) - followHold))
	is.Equal(n.holdTime(true), mismatchHold)
}

// Guards against nodes without a configuration for a second and more after all
// processes have ended (incident inc-2dc9): the rows name hosts that are gone, and
// one of them may be the reader.
func TestRestartedNodeDoesNotWaitForItsReader(t *testing.T) {
	is := is.New(t)
	n, err := New(Settings{Host: "b", Domain: "d", PeerAddr: "b:2"}, fakePlatform{}, NewLog(io.Discard))
	is.NoErr(err)
	n.step(proxy.MembersSeen{Members: []proxy.Member{member("a")}})
	n.started = n.started.Add(-time.Second)
	n.foundHostsAt.Store(int64(time.Second))
	is.True(!n.reads(TableOperator)) // the reader is being asked
	n.started = n.started.Add(-operatorPatience)
	n.follower.Store(true)
	is.True(n.reads(TableOperator))
	n.replicas[TableOperator].setLoaded()
	is.True(!n.reads(TableOperator))
}

// waited reports whether something waits for the next change.
func (b *broadcast) waited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch != nil
}
