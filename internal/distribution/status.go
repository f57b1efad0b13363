package distribution

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// peerLife is the time after which a silent peer is dropped.
	peerLife = 15 * time.Second
	// refreshInterval is the time after which unchanged aggregates and
	// acknowledgements are sent again, in case they were lost.
	refreshInterval = 10 * time.Second
)

// peer is what this node knows of another one, and what it has told it.
type peer struct {
	heard mesh.Time
	// held is the newest version whose content the peer holds, zero if unknown.
	held mesh.ConfigVersion
	// ack and aggregates are those of a child's subtree.
	ack        *Ack
	ackAt      mesh.Time
	aggregates map[AggregateKind][]byte

	refreshed      mesh.Time
	sentAggregates map[AggregateKind]uint64
	sentDomains    map[mesh.FailureDomain]mesh.Time
}

func (r *Reducer) peer(now mesh.Time, host mesh.HostID) *peer {
	p, ok := r.peers[host]
	if !ok {
		p = &peer{
			aggregates:     make(map[AggregateKind][]byte),
			sentAggregates: make(map[AggregateKind]uint64),
			sentDomains:    make(map[mesh.FailureDomain]mesh.Time),
			refreshed:      now,
		}
		r.peers[host] = p
	}
	p.heard = now
	return p
}

// heldBy returns the newest version that a peer is known to hold.
func (r *Reducer) heldBy(host mesh.HostID) mesh.ConfigVersion {
	if p, ok := r.peers[host]; ok {
		return p.held
	}
	return 0
}

func (r *Reducer) noteHeld(now mesh.Time, host mesh.HostID, v mesh.ConfigVersion) {
	p := r.peer(now, host)
	p.held = max(p.held, v)
}

func (r *Reducer) expirePeers(now mesh.Time) {
	for host, p := range r.peers {
		if now.Sub(p.heard) > peerLife {
			delete(r.peers, host)
		}
	}
}

// sendStatus tells a peer this node's state and what changed since the last
// time: the subtree's aggregates to the parent, the mesh's to a child, and
// the failure domains' acknowledgements between readers.
func (r *Reducer) sendStatus(now mesh.Time, host mesh.HostID, out *Output) {
	r.send(host, Message{Status: r.statusFor(now, host, false)}, out)
}

func (r *Reducer) statusFor(now mesh.Time, host mesh.HostID, reply bool) *Status {
	s := &Status{Reply: reply, Head: r.head.Version, Applied: r.applied.Version, ItemDigest: r.itemDigest}
	if held := r.contents.newestUpTo(r.head.Version); held != r.applied.Version {
		s.Held = held
	}
	parent, hasParent := r.topology.Parent()
	toParent := hasParent && host == parent
	toChild := slices.Contains(r.topology.Children(), host)
	readers := r.topology.IsReader() && r.isReader(host) && slices.Contains(r.topology.Links(), host)
	if !toParent && !toChild && !readers {
		return s
	}
	p := r.peer(now, host)
	if now.Sub(p.refreshed) >= refreshInterval {
		p.refreshed = now
		clear(p.sentAggregates)
		clear(p.sentDomains)
	}
	switch {
	case toParent:
		ack := r.subtreeAck(now)
		s.Ack = &ack
		s.Aggregates = p.changedAggregates(r.subtreeAggregates(now))
	case toChild:
		s.Aggregates = p.changedAggregates(r.totals())
	}
	if readers {
		s.Domains = r.changedDomains(p)
	}
	return s
}

// isReader reports whether a host is a reader of its failure domain.
func (r *Reducer) isReader(host mesh.HostID) bool {
	domain, ok := r.topology.DomainOf(host)
	return ok && slices.Contains(r.topology.Readers(domain), host)
}

// acceptStatus takes a peer's state, and answers it if it is no answer itself.
func (r *Reducer) acceptStatus(now mesh.Time, from mesh.HostID, s *Status, out *Output) {
	p := r.peer(now, from)
	p.held = max(s.Applied, s.Held)
	if s.Ack != nil {
		p.ack, p.ackAt = s.Ack, now
	}
	r.acceptAggregates(from, p, s.Aggregates)
	r.acceptDomains(s.Domains)
	if s.Head > r.head.Version {
		r.learn(now, from, Head{Version: s.Head}, out)
	}
	r.offerSource(now, from, out)
	if s.Reply {
		return
	}
	r.sendReply(now, from, s.ItemDigest != r.itemDigest, out)
}

func (r *Reducer) sendReply(now mesh.Time, to mesh.HostID, itemsDiffer bool, out *Output) {
	m := Message{Status: r.statusFor(now, to, true)}
	if itemsDiffer && now.Sub(r.itemsSince) >= itemQuiet {
		m.ItemSteps = r.itemSteps()
	}
	r.send(to, m, out)
}
