package sidecar

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// Guards against a peer that is considered dead because it was restarted: the connection
// of the last exchange is closed then, but a new one can be opened.
func TestExchangeSurvivesRestartOfThePeer(t *testing.T) {
	is := is.New(t)
	log := NewLog(io.Discard)
	server, err := New(Settings{Host: "b", PeerAddr: "127.0.0.1:0"}, fakePlatform{}, log)
	is.NoErr(err)
	caller, err := New(Settings{Host: "a", PeerAddr: "a"}, fakePlatform{}, log)
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	first := server.peerServer("peers", l)
	ended := make(chan error, 1)
	go func() { ended <- first.serve() }()
	is.NoErr(caller.peers.exchange("b", addr))
	is.NoErr(first.shutdown(t.Context()))
	is.NoErr(<-ended)
	l, err = net.Listen("tcp", addr)
	is.NoErr(err)
	second := server.peerServer("peers", l)
	go func() { ended <- second.serve() }()
	for client := caller.peers.clients[addr]; client.Call("none", 0, nil) == nil; {
		time.Sleep(time.Millisecond) // until this end has seen the close
	}
	is.NoErr(caller.peers.exchange("b", addr))
	is.NoErr(second.shutdown(t.Context()))
}

// Guards against a node that keeps a connection to each host of the deployment, which at
// the planned size needs more file descriptors than a host has.
func TestIdleConnectionsToPeersAreClosed(t *testing.T) {
	is := is.New(t)
	log := NewLog(io.Discard)
	server, err := New(Settings{Host: "b", PeerAddr: "127.0.0.1:0"}, fakePlatform{}, log)
	is.NoErr(err)
	caller, err := New(Settings{Host: "a", PeerAddr: "a"}, fakePlatform{}, log)
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	peers := server.peerServer("peers", l)
	go func() { _ = peers.serve() }()
	is.NoErr(caller.peers.ping("b", addr))
	is.Equal(len(caller.peers.clients), 0)
	is.NoErr(caller.peers.exchange("b", addr))
	caller.peers.closeIdle(time.Now())
	is.Equal(len(caller.peers.clients), 1)
	inUse, err := caller.peers.acquire(addr)
	is.NoErr(err)
	later := time.Now().Add(2 * peerIdleTime)
	caller.peers.closeIdle(later)
	is.Equal(len(caller.peers.clients), 1) // a call is in progress
	caller.peers.release(addr, inUse, true)
	caller.peers.closeIdle(later)
	is.Equal(len(caller.peers.clients), 0)
	is.NoErr(caller.peers.exchange("b", addr))
	is.NoErr(peers.shutdown(t.Context()))
}

// countingListener counts the open connections that it has accepted.
type countingListener struct {
	net.Listener
	open atomic.Int64
}

// countedConn is a connection of a countingListener.
type countedConn struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{Conn: c, listener: l}, nil
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// Guards against connections that are never closed because several calls have each opened
// one to the same peer at the same time.
func TestSimultaneousCallsLeaveOneConnection(t *testing.T) {
	is := is.New(t)
	log := NewLog(io.Discard)
	server, err := New(Settings{Host: "b", PeerAddr: "127.0.0.1:0"}, fakePlatform{}, log)
	is.NoErr(err)
	caller, err := New(Settings{Host: "a", PeerAddr: "a"}, fakePlatform{}, log)
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counting := &countingListener{Listener: l}
	peers := server.peerServer("peers", counting)
	go func() { _ = peers.serve() }()
	for range 20 {
		var calls sync.WaitGroup
		for range 8 {
			calls.Go(func() {
				if err := caller.peers.exchange("b", l.Addr().String()); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		caller.peers.closeIdle(time.Now().Add(2 * peerIdleTime))
	}
	for end := time.Now().Add(5 * time.Second); counting.open.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // until the listener's end has seen the closes
	}
	is.Equal(counting.open.Load(), int64(0))
	is.NoErr(peers.shutdown(t.Context()))
}

// Guards against a host that is gone but counts as alive, and is followed as the reader
// of its failure domain, because its address now belongs to another host. In run
// trouble-3 of wdnh-mesh-grown, all nodes of a failure domain followed each other for
// this reason and none read the store.
func TestExchangeFailsIfAnotherHostHasTheAddress(t *testing.T) {
	is := is.New(t)
	log := NewLog(io.Discard)
	server, err := New(Settings{Host: "b", PeerAddr: "127.0.0.1:0"}, fakePlatform{}, log)
	is.NoErr(err)
	caller, err := New(Settings{Host: "a", PeerAddr: "a"}, fakePlatform{}, log)
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	peers := server.peerServer("peers", l)
	go func() { _ = peers.serve() }()
	is.NoErr(caller.peers.exchange("b", l.Addr().String()))
	is.True(caller.peers.exchange("gone", l.Addr().String()) != nil)
	is.NoErr(caller.peers.ping("b", l.Addr().String()))
	is.True(caller.peers.ping("gone", l.Addr().String()) != nil)
	gone := proxy.Member{Host: "gone", PeerAddr: l.Addr().String()}
	_, err = caller.peers.awaitDelta(gone)
	is.True(err != nil)
	is.NoErr(peers.shutdown(t.Context()))
}

// fakePlatform provides empty header names. Its other methods panic.
type fakePlatform struct{ Platform }

func (fakePlatform) Headers() *Headers { return &Headers{} }
