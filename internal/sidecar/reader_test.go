package sidecar

import (
	"io"
	"testing"

	"github.com/matryer/is"

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
