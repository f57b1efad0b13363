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
	// peerService is the name of the net/rpc service that nodes offer to each other.
	peerService    = "Peer"
	methodExchange = peerService + ".Exchange"
	methodPing     = peerService + ".Ping"
	methodEvidence = peerService + ".Evidence"
	// exchangeInterval is the mean period of exchanges with a random peer while the
	// store answers, and storeDownExchangeInterval while it does not.
	exchangeInterval          = 500 * time.Millisecond
	storeDownExchangeInterval = 150 * time.Millisecond
	// peerTimeout bounds a call to a peer, and separately the opening of its connection.
	peerTimeout = 400 * time.Millisecond
	// peerIdleTime is the time after which an unused connection to a peer is closed.
	// As exchanges are with random peers, each host would otherwise end up with a
	// connection to every other host of the deployment.
	peerIdleTime = 20 * time.Second
)

// ErrPeer means that an exchange with another node failed.
var ErrPeer = namespace.NewType("peer")

// Digest summarizes what a node knows, so that a peer sends only what the node lacks.
type Digest struct {
	Self    proxy.Member
	Members []byte // hashes of groups of member records, see proxy.Node.MembersDigest
	// ByRow is set if the sender knows some hosts only from their rows in the store.
	ByRow bool
	// Operator and Shared are the revisions up to which the sender's copies of
	// TableOperator and TableShared have all changes.
	Operator platform.Revision
	Shared   platform.Revision
	// Lost is the digest of the operator's rows that the store has lost and that are
	// still in force.
	Lost uint64
}

// News is a peer's reply to a digest: what the sender of the digest lacks.
type News struct {
	// Host is the host that replies.
	Host mesh.HostID
	// Members holds the records of the groups whose hashes differ.
	Members []proxy.Member
	// Vouched is set if the digest has ByRow set and the peer is settled: it has run for
	// some time and has had contact with all hosts that it knows. It holds the peer's
	// hashes. Hosts with the same record at both ends count as alive.
	Vouched []byte
	// Earlier is the record of the asking host that its previous process published,
	// which only this peer may still have. Its host is empty if there is none.
	Earlier proxy.Member
	// Operator and Shared are changes of TableOperator and TableShared.
	Operator []Packed
	Shared   []Packed
	// OperatorAt and SharedAt are the revisions up to which the peer's copies of the two
	// tables have all changes.
	OperatorAt platform.Revision
	SharedAt   platform.Revision
	// Lost holds the operator's rows that the store has lost and that stay in force for
	// the time LostFor, if the digest names others.
	Lost    []Packed
	LostFor time.Duration
	// OperatorListed is set if the peer may lack removals of rows of TableOperator that the
	// sender of the digest needs. OperatorKeys then lists all rows that exist, and
	// OperatorStart is the revision from which the peer has all removals.
	OperatorListed bool
	OperatorKeys   []string
	OperatorStart  platform.Revision
	// Poison lists the requests that crash instances.
	Poison []poison.Entry
	// Loaded is set if the peer has read both tables, so that its rows are complete.
	Loaded bool
	// StoreAlive is set if the store answers the peer's calls.
	StoreAlive bool
}

// PeerService holds the methods that other nodes call by net/rpc.
type PeerService struct{ node *Node }

// Exchange answers a digest with a delta at once.
func (s *PeerService) Exchange(d Digest, out *News) error {
	_, err := s.node.buildDelta(&d, out)
	return err
}

// buildDelta fills the reply to a digest. It returns this node's hashes of members.
func (n *Node) buildDelta(d *Digest, out *News) (members []byte, err error) {
	n.inspect(func(r *proxy.Node) {
		if earlier := r.PreviousRecord(&d.Self); earlier.Host != "" { // Await calls buildDelta again with the same reply
			out.Earlier = earlier
		}
	})
	n.step(proxy.PeerSeen{Member: d.Self})
	n.inspect(func(r *proxy.Node) {
		members, out.Members = r.MembersDigest(), r.MembersDifferingFrom(d.Members)
		if d.ByRow && r.Settled(n.now()) {
			out.Vouched = members
		}
		out.Poison, out.StoreAlive = r.PoisonEntries(n.now()), r.StoreAlive()
	})
	n.hostRevisions.set(d.Self.Host, d.Operator)
	out.Host, out.Loaded = n.settings.Host, n.allTablesLoaded()
	if out.Operator, out.OperatorAt, err = n.replicas[TableOperator].changesSince(d.Operator, allRows); err != nil {
		return members, err
	}
	if err = n.packLostRows(d.Lost, out); err != nil {
		return members, err
	}
	out.OperatorKeys, out.OperatorListed, out.OperatorStart = n.replicas[TableOperator].historyFor(d.Operator)
	out.Shared, out.SharedAt, err = n.replicas[TableShared].changesSince(d.Shared, rowsForPeer(d.Self.Host))
	return members, err
}

// allRows selects all rows.
func allRows(string) bool { return true }

// rowsForPeer selects the rows of TableShared that the given host needs from a peer. As
// member records are exchanged directly, the only member row sent is the host's own: it
// needs the revision of that row to replace it.
func rowsForPeer(host mesh.HostID) func(key string) bool {
	return func(key string) bool {
		return !strings.HasPrefix(key, memberPrefix) || key == memberPrefix+string(host)
	}
}

// Pong shows that a host is alive. It carries no delta.
type Pong struct {
	Self proxy.Member // record of the replying host
	// Earlier is the record of the calling host that its previous process published. Its
	// host is empty if there is none.
	Earlier proxy.Member
}

// Ping is a liveness check of this host. It also tells this node that the caller is
// alive.
func (s *PeerService) Ping(caller proxy.Member, out *Pong) error {
	s.node.inspect(func(r *proxy.Node) { out.Self, out.Earlier = r.Self(), r.PreviousRecord(&caller) })
	s.node.step(proxy.PeerSeen{Member: caller})
	return nil
}

// Evidence applies the counts that a gate reports for a running roll-out.
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
	// The following fields are guarded by peerSet.mu.
	calls    int // in flight
	lastUsed time.Time
}

func newPeerSet(n *Node) *peerSet { return &peerSet{node: n, clients: make(map[string]*peerClient)} }

// closeIdle closes the connections that have not been used for peerIdleTime.
func (p *peerSet) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		if c.calls == 0 && now.Sub(c.lastUsed) > peerIdleTime {
			_ = c.Close()
			delete(p.clients, addr)
		}
	}
}

// checkAlive pings a host and reports to the reducer if it doesn't answer. A ping rather
// than an exchange is used because after a restart of many hosts each of them checks all
// others.
func (p *peerSet) checkAlive(check proxy.PeerCheck) {
	go func() {
		if err := p.ping(check.Host, check.Addr); err != nil {
			p.node.step(proxy.PeerChecked{Host: check.Host, Alive: false})
		}
	}()
}

// ping checks that a host is alive and applies the record that it replies with.
func (p *peerSet) ping(host mesh.HostID, addr string) error {
	var self proxy.Member
	var reply Pong
	p.node.inspect(func(r *proxy.Node) { self = r.Self() })
	// The connection is not kept, because few of the pinged hosts are called again.
	client, err := dialPeer(addr)
	if err != nil {
		return ErrPeer.Wrap(err, "%s at %s", methodPing, addr)
	}
	defer func() { _ = client.Close() }()
	if err := callWithTimeout(client, methodPing, self, &reply, peerTimeout); err != nil {
		return ErrPeer.Wrap(err, "%s at %s", methodPing, addr)
	}
	p.node.step(proxy.MembersSeen{Members: []proxy.Member{reply.Earlier}})
	p.node.step(proxy.PeerSeen{Member: reply.Self})
	return verifyHost(host, reply.Self.Host, addr)
}

// verifyHost returns an error if the host that answered at an address is not the wanted
// one. The address of a host that is gone may have been reassigned to another host, whose
// answer does not show that the first one is alive.
func verifyHost(wanted, answered mesh.HostID, addr string) error {
	if answered != wanted {
		return ErrPeer.New("%s answers at %s, the address of %s", answered, addr, wanted)
	}
	return nil
}

// sendEvidence sends the counts of this host's gate to the driver of a roll-out. A lost
// report is not repeated, because counts are cumulative and later reports include them.
func (p *peerSet) sendEvidence(r proxy.EvidenceReport) {
	go func() {
		if err := p.call(r.Addr, methodEvidence, r.Evidence, new(struct{}), peerTimeout); err != nil {
			p.node.log.Line(time.Now(), "rollout.report_failed", "driver", r.Addr, "error", err.Error())
		}
	}()
}

// exchange requests a delta from a peer and applies it.
func (p *peerSet) exchange(host mesh.HostID, addr string) error {
	_, err := p.requestDelta(host, addr, methodExchange, peerTimeout)
	return err
}

// awaitDelta requests a delta from a reader by a long poll and applies it. It reports
// whether the store answers the reader.
func (p *peerSet) awaitDelta(reader proxy.Member) (storeAlive bool, err error) {
	delta, err := p.requestDelta(reader.Host, reader.PeerAddr, methodAwait, pollHold+peerTimeout)
	return delta.StoreAlive, err
}

// requestDelta sends this node's digest to a host and applies the delta that it gets. It
// fails if another host answers at the address.
func (p *peerSet) requestDelta(host mesh.HostID, addr, method string, timeout time.Duration) (delta News, err error) {
	if err := p.call(addr, method, p.node.newDigest(), &delta, timeout); err != nil {
		return delta, err
	}
	if err := p.node.applyDelta(&delta); err != nil {
		return delta, err
	}
	return delta, verifyHost(host, delta.Host, addr)
}

// newDigest summarizes what this node knows.
func (n *Node) newDigest() Digest {
	d := Digest{Operator: n.replicas[TableOperator].completeRevision(), Shared: n.replicas[TableShared].completeRevision()}
	lost, _ := n.lostRows.list(time.Now())
	d.Lost = digest(lost)
	n.inspect(func(r *proxy.Node) { d.Self, d.Members, d.ByRow = r.Self(), r.MembersDigest(), r.HasRowOnlyHosts() })
	return d
}

// applyDelta applies a peer's reply to a digest of this node.
func (n *Node) applyDelta(delta *News) error {
	n.step(proxy.MembersSeen{Members: append(delta.Members, delta.Earlier)})
	if delta.Vouched != nil {
		n.step(proxy.SettledPeerDigest{Digest: delta.Vouched})
	}
	n.step(proxy.PoisonSeen{Entries: delta.Poison})
	operator, err := unpackAll(delta.Operator)
	if err != nil {
		return err
	}
	shared, err := unpackAll(delta.Shared)
	if err != nil {
		return err
	}
	lost, err := unpackAll(delta.Lost)
	if err != nil {
		return err
	}
	if delta.OperatorListed {
		operator = n.addRemovals(operator, delta.OperatorAt, delta.OperatorKeys)
		n.replicas[TableOperator].setHistoryStart(delta.OperatorStart)
	}
	n.applyPeerChanges(TableOperator, operator, delta.OperatorAt, allRows)
	n.applyPeerChanges(TableShared, shared, delta.SharedAt, rowsForPeer(n.settings.Host))
	n.applyLostRows(lost, delta.LostFor)
	if delta.Loaded {
		n.replicas[TableOperator].setLoaded()
		n.replicas[TableShared].setLoaded()
	}
	return nil
}

// call makes one call. If the peer has closed the connection since the last call, as it
// does when it restarts, the call is repeated on a new connection: nothing was sent on
// the old one, and the peer must not be considered dead.
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

// callOnce makes one call. If the call fails or times out, its connection is closed.
func (p *peerSet) callOnce(addr, method string, args, reply any, timeout time.Duration) error {
	client, err := p.acquire(addr)
	if err != nil {
		return err
	}
	err = callWithTimeout(client.Client, method, args, reply, timeout)
	p.release(addr, client, err == nil)
	return err
}

// callWithTimeout makes a call and waits for its answer until the timeout.
func callWithTimeout(client *rpc.Client, method string, args, reply any, timeout time.Duration) error {
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

// acquire returns the connection to a peer for one call, and opens it if necessary. The
// caller must call release after the call.
func (p *peerSet) acquire(addr string) (*peerClient, error) {
	if c := p.acquireOpen(addr); c != nil {
		return c, nil
	}
	client, err := dialPeer(addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.clients[addr]; other != nil { // another call has opened it at the same time
		_ = client.Close()
		other.calls++
		return other, nil
	}
	c := &peerClient{Client: client, calls: 1, lastUsed: time.Now()}
	p.clients[addr] = c
	return c, nil
}

// acquireOpen is like acquire but returns nil if no connection is open.
func (p *peerSet) acquireOpen(addr string) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c != nil {
		c.calls++
	}
	return c
}

// release ends a call that began with acquire. It closes the connection if the call has
// failed.
func (p *peerSet) release(addr string, c *peerClient, succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	c.lastUsed = time.Now()
	if succeeded {
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

// gossip exchanges state with random peers until ctx ends.
func (n *Node) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		var peer proxy.Member
		storeAlive := true
		n.inspect(func(r *proxy.Node) {
			peer, storeAlive = r.RandomPeer(rand.Uint64()), r.StoreAlive()
		})
		if peer.PeerAddr != "" {
			err := n.peers.exchange(peer.Host, peer.PeerAddr)
			if err != nil {
				n.log.Line(time.Now(), "peer.exchange_failed", "host", string(peer.Host), "error", err.Error())
			}
			n.step(proxy.PeerChecked{Host: peer.Host, Alive: err == nil})
		}
		interval := exchangeInterval
		if !storeAlive {
			interval = storeDownExchangeInterval
		}
		pause(ctx, interval/2+rand.N(interval))
	}
}
