package distribution

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// peerTimeout is the time without contact after which the state of a peer
	// is dropped.
	peerTimeout = 15 * time.Second
	// refreshInterval is the time after which unchanged aggregates and
	// acknowledgements are sent again, in case they were lost.
	refreshInterval = 10 * time.Second
)

// peer is what this node knows of another node and what it has sent to it.
type peer struct {
	lastContactAt mesh.Time
	// held is the newest version whose content the peer is known to hold, or
	// zero.
	held mesh.ConfigVersion
	// ack and aggregates are those that the peer last reported for its
	// subtree. They are used only while the peer is a child.
	ack           *Ack
	ackReceivedAt mesh.Time
	aggregates    map[AggregateKind][]byte

	// refreshedAt is when all aggregates and acknowledgements were last marked
	// as unsent. sentAggregateHashes and sentDomainStamps identify what has
	// been sent since: the hash of each aggregate's value and the stamp of
	// each failure domain's acknowledgement.
	refreshedAt         mesh.Time
	sentAggregateHashes map[AggregateKind]uint64
	sentDomainStamps    map[mesh.FailureDomain]mesh.Time
}

// touchPeer returns the state of a peer, which it creates if necessary, and
// restarts the peer's timeout.
func (r *Reducer) touchPeer(now mesh.Time, host mesh.HostID) *peer {
	p, ok := r.peers[host]
	if !ok {
		p = &peer{
			aggregates:          make(map[AggregateKind][]byte),
			sentAggregateHashes: make(map[AggregateKind]uint64),
			sentDomainStamps:    make(map[mesh.FailureDomain]mesh.Time),
			refreshedAt:         now,
		}
		r.peers[host] = p
	}
	p.lastContactAt = now
	return p
}

// heldBy returns the newest version that a peer is known to hold, or zero.
func (r *Reducer) heldBy(host mesh.HostID) mesh.ConfigVersion {
	if p, ok := r.peers[host]; ok {
		return p.held
	}
	return 0
}

func (r *Reducer) recordHeld(now mesh.Time, host mesh.HostID, v mesh.ConfigVersion) {
	p := r.touchPeer(now, host)
	p.held = max(p.held, v)
}

func (r *Reducer) expirePeers(now mesh.Time) {
	for host, p := range r.peers {
		if now.Sub(p.lastContactAt) > peerTimeout {
			delete(r.peers, host)
		}
	}
}

// sendStatus sends a peer this node's versions and what has changed since the
// last Status: the subtree's aggregates to the parent, those of the mesh to a
// child, and the acknowledgements of failure domains between readers.
func (r *Reducer) sendStatus(now mesh.Time, host mesh.HostID, out *Output) {
	r.send(host, Message{Status: r.statusFor(now, host, false)}, out)
}

// statusFor returns the Status for a peer and records the changes in it as
// sent.
func (r *Reducer) statusFor(now mesh.Time, host mesh.HostID, reply bool) *Status {
	s := &Status{Reply: reply, Head: r.head.Version, Applied: r.applied.Version, ItemDigest: r.itemDigest}
	if held := r.contents.newestUpTo(r.head.Version); held != r.applied.Version {
		s.Held = held
	}
	parent, hasParent := r.topology.Parent()
	toParent := hasParent && host == parent
	toChild := slices.Contains(r.topology.Children(), host)
	betweenReaders := r.topology.IsReader() && r.isReader(host) && slices.Contains(r.topology.Links(), host)
	if !toParent && !toChild && !betweenReaders {
		return s
	}
	p := r.touchPeer(now, host)
	if now.Sub(p.refreshedAt) >= refreshInterval {
		p.refreshedAt = now
		clear(p.sentAggregateHashes)
		clear(p.sentDomainStamps)
	}
	switch {
	case toParent:
		ack := r.subtreeAck(now)
		s.Ack = &ack
		s.Aggregates = p.changedAggregates(r.subtreeAggregates(now))
	case toChild:
		s.Aggregates = p.changedAggregates(r.meshAggregates())
	}
	if betweenReaders {
		s.Domains = r.changedDomains(p)
	}
	return s
}

// isReader reports whether a host is a reader of its failure domain.
func (r *Reducer) isReader(host mesh.HostID) bool {
	domain, ok := r.topology.DomainOf(host)
	return ok && slices.Contains(r.topology.Readers(domain), host)
}

// acceptStatus stores a peer's state and answers the Status unless it is
// itself a reply.
func (r *Reducer) acceptStatus(now mesh.Time, from mesh.HostID, s *Status, out *Output) {
	p := r.touchPeer(now, from)
	p.held = max(s.Applied, s.Held)
	if s.Ack != nil {
		p.ack, p.ackReceivedAt = s.Ack, now
	}
	r.acceptAggregates(from, p, s.Aggregates)
	r.acceptDomains(s.Domains)
	if s.Head > r.head.Version {
		r.learnHead(now, from, Head{Version: s.Head}, out)
	}
	r.pullFromHolder(now, from, out)
	if s.Reply {
		return
	}
	r.sendStatusReply(now, from, s.ItemDigest != r.itemDigest, out)
}

// sendStatusReply answers a Status. If the item digests still differ after
// itemSettleTime, the answer lists the steps of all items, so that the peers
// can exchange those that were lost.
func (r *Reducer) sendStatusReply(now mesh.Time, to mesh.HostID, itemsDiffer bool, out *Output) {
	m := Message{Status: r.statusFor(now, to, true)}
	if itemsDiffer && now.Sub(r.itemsChangedAt) >= itemSettleTime {
		m.ItemSteps = r.itemSteps()
	}
	r.send(to, m, out)
}
