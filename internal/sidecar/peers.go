package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
)

const (
	// peerService names the service of net/rpc.
	peerService    = "Peer"
	methodExchange = peerService + ".Exchange"
	methodPing     = peerService + ".Ping"
	methodEvidence = peerService + ".Evidence"
	// exchangeInterval is the period of exchanges with a random peer while the
	// store is alive, and hurriedInterval while it is not.
	exchangeInterval = 500 * time.Millisecond
	hurriedInterval  = 150 * time.Millisecond
	// peerTimeout bounds an exchange and the opening of its connection.
	peerTimeout = 400 * time.Millisecond
	// peerIdleTime is the time after which a connection to a peer that isn't used is
	// closed. Random peers would otherwise take a connection to each host of the
	// deployment, at both ends.
	peerIdleTime = 20 * time.Second
)

// ErrPeer means that an exchange with another node failed.
var ErrPeer = namespace.NewType("peer")

// Digest tells what a node knows, so that a peer sends only what is news to it.
type Digest struct {
	Self    proxy.Member
	Members []byte // hashes of the records of members
	// ByRow is set if the asking node knows hosts only from their rows.
	ByRow    bool
	Operator platform.Revision
	Shared   platform.Revision
}

// News is what a peer knows beyond a digest.
type News struct {
	// Host is the one that answers.
	Host    mesh.HostID
	Members []proxy.Member
	// Vouched holds the hashes of the records of members that a settled peer vouches
	// for, if it was asked to.
	Vouched []byte
	// Earlier is the record of the asking host by its earlier process, which only
	// this peer may still know. Its host is empty if there is none.
	Earlier  proxy.Member
	Operator []Packed
	Shared   []Packed
	// OperatorAt and SharedAt are the revisions that the changes are complete up to.
	OperatorAt platform.Revision
	SharedAt   platform.Revision
	Poison     []poison.Entry
	// Loaded is set if the peer has read all tables, so that its rows are complete.
	Loaded bool
	// StoreAlive is set if the store answers the peer.
	StoreAlive bool
}

// PeerService serves exchanges to other nodes.
type PeerService struct{ node *Node }

// Exchange answers a digest with news.
func (s *PeerService) Exchange(d Digest, out *News) error {
	_, err := s.node.exchange(&d, out)
	return err
}

// exchange sets the news for a digest and returns this node's hashes of members.
func (n *Node) exchange(d *Digest, out *News) (known []byte, err error) {
	n.inspect(func(r *proxy.Node) {
		if earlier := r.PreviousRecord(&d.Self); earlier.Host != "" { // Await asks twice
			out.Earlier = earlier
		}
	})
	n.step(proxy.PeerSeen{Member: d.Self})
	n.inspect(func(r *proxy.Node) {
		known, out.Members = r.MembersDigest(), r.MembersDifferingFrom(d.Members)
		if d.ByRow && r.Settled(n.now()) {
			out.Vouched = known
		}
		out.Poison, out.StoreAlive = r.PoisonEntries(n.now()), r.StoreAlive()
	})
	out.Host, out.Loaded = n.settings.Host, n.loaded()
	if out.Operator, out.OperatorAt, err = n.replicas[TableOperator].since(d.Operator, allRows); err != nil {
		return known, err
	}
	out.Shared, out.SharedAt, err = n.replicas[TableShared].since(d.Shared, rowsFor(d.Self.Host))
	return known, err
}

func allRows(string) bool { return true }

// rowsFor selects the rows that a follower needs. Hosts tell each other their
// records, so that of their rows only the follower's own is sent, whose revision
// it needs to replace it.
func rowsFor(host mesh.HostID) func(key string) bool {
	return func(key string) bool {
		return !strings.HasPrefix(key, memberPrefix) || key == memberPrefix+string(host)
	}
}

// Pong is a sign of life without news.
type Pong struct {
	Self proxy.Member
	// Earlier is as in News.
	Earlier proxy.Member
}

// Ping answers a host that wants to know whether this one is alive.
func (s *PeerService) Ping(caller proxy.Member, out *Pong) error {
	s.node.inspect(func(r *proxy.Node) { out.Self, out.Earlier = r.Self(), r.PreviousRecord(&caller) })
	s.node.step(proxy.PeerSeen{Member: caller})
	return nil
}

// Evidence takes in the counts of a gate.
func (s *PeerService) Evidence(e rollout.Evidence, _ *struct{}) error {
	s.node.step(proxy.EvidenceReceived{Evidence: e})
	return nil
}

// peerSet holds the connections to other nodes.
type peerSet struct {
	node *Node

	mu      sync.Mutex
	clients map[string]*peerClient // by peer address
}

// peerClient is a connection to a peer.
type peerClient struct {
	*rpc.Client
	// Guarded by the set.
	calls    int // in progress
	lastUsed time.Time
}

func newPeerSet(n *Node) *peerSet { return &peerSet{node: n, clients: make(map[string]*peerClient)} }

// trim closes the connections that were not used for some time.
func (p *peerSet) trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		if c.calls == 0 && now.Sub(c.lastUsed) > peerIdleTime {
			_ = c.Close()
			delete(p.clients, addr)
		}
	}
}

// check asks a host for a sign of life. After a restart of many hosts each of them
// asks all others, so that the answer carries no news.
func (p *peerSet) check(c proxy.PeerCheck) {
	go func() {
		if err := p.ping(c.Host, c.Addr); err != nil {
			p.node.step(proxy.PeerChecked{Host: c.Host, Alive: false})
		}
	}()
}

// ping asks a host for its record.
func (p *peerSet) ping(host mesh.HostID, addr string) error {
	var self proxy.Member
	var pong Pong
	p.node.inspect(func(r *proxy.Node) { self = r.Self() })
	// Few hosts that are pinged are called again, so that the connection is not kept.
	client, err := dialPeer(addr)
	if err != nil {
		return ErrPeer.Wrap(err, "%s at %s", methodPing, addr)
	}
	defer func() { _ = client.Close() }()
	if err := callWithin(client, methodPing, self, &pong, peerTimeout); err != nil {
		return ErrPeer.Wrap(err, "%s at %s", methodPing, addr)
	}
	p.node.step(proxy.MembersSeen{Members: []proxy.Member{pong.Earlier}})
	p.node.step(proxy.PeerSeen{Member: pong.Self})
	return sameHost(host, pong.Self.Host, addr)
}

// sameHost fails if another host answers at an address. That of a host that is gone
// may belong to another one by now, whose answer is no sign of life of the first.
func sameHost(want, got mesh.HostID, addr string) error {
	if got != want {
		return ErrPeer.New("%s answers at %s, the address of %s", got, addr, want)
	}
	return nil
}

// report sends the counts of this host's gate to the driver of a roll-out. Later
// reports contain the counts of lost ones.
func (p *peerSet) report(r proxy.EvidenceReport) {
	go func() {
		if err := p.call(r.Addr, methodEvidence, r.Evidence, new(struct{}), peerTimeout); err != nil {
			p.node.log.Line(time.Now(), "rollout.report_failed", "driver", r.Addr, "error", err.Error())
		}
	}()
}

// exchange asks a peer for news.
func (p *peerSet) exchange(host mesh.HostID, addr string) error {
	_, err := p.ask(host, addr, methodExchange, peerTimeout)
	return err
}

// await asks a reader for news and waits for it. It reports whether the store
// answers the reader.
func (p *peerSet) await(reader proxy.Member) (storeAlive bool, err error) {
	news, err := p.ask(reader.Host, reader.PeerAddr, methodAwait, followHold+peerTimeout)
	return news.StoreAlive, err
}

// ask exchanges state with a host.
func (p *peerSet) ask(host mesh.HostID, addr, method string, timeout time.Duration) (news News, err error) {
	n := p.node
	d := Digest{Operator: n.replicas[TableOperator].at(), Shared: n.replicas[TableShared].at()}
	n.inspect(func(r *proxy.Node) { d.Self, d.Members, d.ByRow = r.Self(), r.MembersDigest(), r.HasRowOnlyHosts() })
	if err := p.call(addr, method, d, &news, timeout); err != nil {
		return news, err
	}
	n.step(proxy.MembersSeen{Members: append(news.Members, news.Earlier)})
	if news.Vouched != nil {
		n.step(proxy.SettledPeerDigest{Digest: news.Vouched})
	}
	n.step(proxy.PoisonSeen{Entries: news.Poison})
	operator, err := unpackAll(news.Operator)
	if err != nil {
		return news, err
	}
	shared, err := unpackAll(news.Shared)
	if err != nil {
		return news, err
	}
	n.take(TableOperator, operator, news.OperatorAt)
	n.take(TableShared, shared, news.SharedAt)
	if news.Loaded {
		n.replicas[TableOperator].setLoaded()
		n.replicas[TableShared].setLoaded()
	}
	return news, sameHost(host, news.Host, addr)
}

// call makes one call. A connection that the peer has closed since the last call,
// as each restart of it does, is replaced: nothing was sent on it, and the peer
// isn't to be taken for dead.
func (p *peerSet) call(addr, method string, args, reply any, timeout time.Duration) error {
	err := p.callOnce(addr, method, args, reply, timeout)
	if errors.Is(err, rpc.ErrShutdown) {
		err = p.callOnce(addr, method, args, reply, timeout)
	}
	if err != nil {
		return ErrPeer.Wrap(err, "%s at %s", method, addr)
	}
	return nil
}

// callOnce makes one call. A connection that fails or stays silent is closed.
func (p *peerSet) callOnce(addr, method string, args, reply any, timeout time.Duration) error {
	client, err := p.take(addr)
	if err != nil {
		return err
	}
	err = callWithin(client.Client, method, args, reply, timeout)
	p.give(addr, client, err == nil)
	return err
}

// callWithin makes a call and waits for its answer for a limited time.
func callWithin(client *rpc.Client, method string, args, reply any, timeout time.Duration) error {
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return call.Error
	case <-timer.C:
		return errorx.TimeoutElapsed.New("no answer within %v", timeout)
	}
}

// take returns the connection to a peer for one call, which ends with give.
func (p *peerSet) take(addr string) (*peerClient, error) {
	if c := p.takeOpen(addr); c != nil {
		return c, nil
	}
	client, err := dialPeer(addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.clients[addr]; other != nil { // opened at the same time
		_ = client.Close()
		other.calls++
		return other, nil
	}
	c := &peerClient{Client: client, calls: 1, lastUsed: time.Now()}
	p.clients[addr] = c
	return c, nil
}

func (p *peerSet) takeOpen(addr string) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c != nil {
		c.calls++
	}
	return c
}

// give ends a call. A connection that has failed is closed.
func (p *peerSet) give(addr string, c *peerClient, sound bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	c.lastUsed = time.Now()
	if sound {
		return
	}
	_ = c.Close()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
}

func dialPeer(addr string) (*rpc.Client, error) {
	c, err := net.DialTimeout("tcp", addr, peerTimeout)
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(&boundedConn{Conn: c}), nil
}

// gossip exchanges state with random peers.
func (n *Node) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		var peer proxy.Member
		alive := true
		n.inspect(func(r *proxy.Node) {
			peer, alive = r.RandomPeer(rand.Uint64()), r.StoreAlive()
		})
		if peer.PeerAddr != "" {
			err := n.peers.exchange(peer.Host, peer.PeerAddr)
			if err != nil {
				n.log.Line(time.Now(), "peer.exchange_failed", "host", string(peer.Host), "error", err.Error())
			}
			n.step(proxy.PeerChecked{Host: peer.Host, Alive: err == nil})
		}
		interval := exchangeInterval
		if !alive {
			interval = hurriedInterval
		}
		pause(ctx, interval/2+rand.N(interval))
	}
}
