package core

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/claims"
	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/distribution"
	"github.com/chicoryscale/chicoryscale/internal/membership"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

const (
	// startupTime is the time after the start of the process in which newly
	// learned instances are assumed to have been running for a while.
	startupTime = 10 * time.Second
	// coldStartTime is the time after the first announcement of an instance in
	// which its latency is not used to judge its version.
	coldStartTime = 10 * time.Second
)

// outbox collects the messages of a step by peer, so that each peer is sent
// one envelope.
type outbox struct {
	peers []peerMessages
}

type peerMessages struct {
	host         mesh.HostID
	addr         string
	membership   []membership.Message
	distribution []distribution.Message
	claims       []claims.Message
	moves        []moves.Message
}

// messagesTo returns the messages for a peer. The peer is identified by its host
// or, while its host is not known, by its address.
func (o *outbox) messagesTo(host mesh.HostID, addr string) *peerMessages {
	for i := range o.peers {
		p := &o.peers[i]
		if p.host == host && (host != "" || p.addr == addr) {
			return p
		}
	}
	o.peers = append(o.peers, peerMessages{host: host, addr: addr})
	return &o.peers[len(o.peers)-1]
}

// flush appends one envelope for each peer. Messages to a host whose address
// is not known are dropped, because the protocols resend them.
func (o *outbox) flush(n *Node, out *Ready) {
	for i := range o.peers {
		p := &o.peers[i]
		addr := p.addr
		if addr == "" {
			addr, _ = n.members.Addr(p.host)
		}
		if addr == "" {
			continue
		}
		out.Sends = append(out.Sends, Send{Addr: addr, Envelope: Envelope{
			From: n.settings.Host, Incarnation: n.members.Self().Incarnation,
			Membership:   membership.EncodeMessages(p.membership),
			Distribution: distribution.EncodeMessages(p.distribution),
			Claims:       claims.EncodeMessages(p.claims),
			Moves:        moves.EncodeMessages(p.moves),
		}})
	}
	o.peers = o.peers[:0]
}

// envelope handles the control messages of a peer. Membership messages are
// handled first, so that the record of the sender is up to date for the others.
func (n *Node) envelope(ev *Event, out *Ready) {
	env := ev.Envelope
	handleMessages(n, env.Membership, membership.DecodeMessages, func(m *membership.Message) {
		n.members.Receive(ev.Now, env.From, env.Incarnation, m, &n.scratch.members)
	})
	n.flushMembers(ev.Now, out)
	handleMessages(n, env.Distribution, distribution.DecodeMessages, func(m *distribution.Message) {
		n.dist.Receive(ev.Now, env.From, m, &n.scratch.dist)
	})
	n.flushDist(ev.Now, out)
	handleMessages(n, env.Claims, claims.DecodeMessages, func(m *claims.Message) {
		n.claims.Receive(ev.Now, m, &n.scratch.claims)
	})
	n.flushClaims(ev.Now, ev.Seed, out)
	handleMessages(n, env.Moves, moves.DecodeMessages, func(m *moves.Message) {
		n.moveStatesReceived = true
		n.moves.Message(ev.Now, env.From, m, &n.scratch.moves)
	})
	n.flushMoves(out)
}

// handleMessages decodes and handles the messages of one package within an
// envelope. If they are malformed, all of them are dropped and counted as one bad
// message.
func handleMessages[T any](n *Node, data []byte, decode func([]byte) ([]T, error), handle func(*T)) {
	messages, err := decode(data)
	if err != nil {
		n.counters.BadMessages++
		return
	}
	for i := range messages {
		handle(&messages[i])
	}
}

// flushDist sends distribution messages, activates a newly applied configuration
// and passes received claim views to package claims. A view names the nodes that
// keep the claim shards of a failure domain.
func (n *Node) flushDist(now mesh.Time, out *Ready) {
	d := &n.scratch.dist
	for i := range d.Sends {
		p := n.scratch.outbox.messagesTo(d.Sends[i].To, "")
		p.distribution = append(p.distribution, d.Sends[i].Message)
	}
	appendPlatformRequests(OwnerDistribution, d.Platform, out)
	for _, item := range d.Items {
		if n.claims.SetView(item.Value) != nil {
			n.counters.BadMessages++
		}
	}
	for _, r := range d.Rejected {
		out.Timeline = append(out.Timeline, TimelineEntry{Kind: "config.rejected", Config: r.Version, Host: n.settings.Host, Detail: r.Reason})
	}
	if len(d.Applied) > 0 {
		n.activateConfig(&d.Applied[len(d.Applied)-1], out)
	}
	established := d.Established
	d.Reset()
	if established {
		n.establishedAt = now
		n.members.SetEstablished(now, &n.scratch.members)
		n.flushMembers(now, out)
		out.Timeline = append(out.Timeline, TimelineEntry{Kind: "config.floor_known", Host: n.settings.Host})
	}
}

// activateConfig puts a configuration in force by replacing one pointer, so that
// no call sees a mix of two versions.
func (n *Node) activateConfig(a *distribution.Applied, out *Ready) {
	accepted, err := config.AcceptEncoded(a.Content, config.Hash(a.Head.Hash))
	if err != nil {
		n.counters.BadMessages++ // distribution has validated the content
		return
	}
	old := n.accepted
	n.accepted = accepted
	n.updateRetryClasses(old)
	out.Timeline = append(out.Timeline, TimelineEntry{Kind: "config.applied", Config: a.Head.Version, Host: n.settings.Host})
}

func (n *Node) updateRetryClasses(old *config.Accepted) {
	names := make(map[mesh.Class]bool)
	for _, c := range n.accepted.Snapshot.Classes {
		names[c.Name] = true
		n.retrier.SetClass(retry.ClassPolicy{
			Class: c.Name, Idempotent: c.Idempotent, Budget: retry.BasisPoints(c.RetryBudgetShare * 10_000),
		})
	}
	if old == nil {
		return
	}
	for _, c := range old.Snapshot.Classes {
		if !names[c.Name] {
			n.retrier.RemoveClass(c.Name)
		}
	}
}

// directory implements claims.Directory with the membership records.
type directory struct{ members *membership.Reducer }

// Live implements claims.Directory.
func (d directory) Live(domain mesh.FailureDomain) []claims.Replica {
	members := d.members.Members(domain)
	live := make([]claims.Replica, 0, len(members))
	for _, m := range members {
		live = append(live, claims.Replica{Host: m.Host, Started: mesh.Time(m.Started)})
	}
	return live
}

// Ended implements claims.Directory. The state Left proves that the process grants
// no more claims, because it stops granting them before it announces that it
// leaves.
func (d directory) Ended(r claims.Replica) bool {
	m := d.members.Member(r.Host)
	if m == nil {
		return false
	}
	return mesh.Time(m.Started) > r.Started || m.State == membership.Left || m.State == membership.Forgotten
}

// tickClaims advances the timers of package claims. A leaving node notifies all readers
// of its failure domain; the first reader proposes the changes of the claim views.
func (n *Node) tickClaims(ev *Event, out *Ready) {
	readers := n.members.Readers(n.settings.Domain)
	n.claims.SetManagers(readers)
	isManager := n.members.IsReader() && len(readers) > 0 && readers[0] == n.settings.Host
	n.claims.Tick(ev.Now, directory{n.members}, isManager, &n.scratch.claims)
	n.flushClaims(ev.Now, ev.Seed, out)
}

// flushClaims sends claim messages and continues the calls whose claims were
// decided. Continuing a call can produce further effects.
func (n *Node) flushClaims(now mesh.Time, seed uint64, out *Ready) {
	e := &n.scratch.claims
	for len(e.Verdicts) > 0 {
		v := e.Verdicts[0]
		e.Verdicts = e.Verdicts[1:]
		n.claimDecided(now, seed, v, out)
	}
	n.flushClaimSends(now, out)
}

func (n *Node) flushClaimSends(now mesh.Time, out *Ready) {
	e := &n.scratch.claims
	for i := range e.Sends {
		p := n.scratch.outbox.messagesTo(e.Sends[i].To, "")
		p.claims = append(p.claims, e.Sends[i].Message)
	}
	e.Sends = e.Sends[:0]
	appendPlatformRequests(OwnerClaims, e.Platform, out)
	e.Platform = e.Platform[:0]
	items := e.Items
	e.Items = nil
	for _, item := range items {
		n.dist.PutItem(now, distribution.Item{ID: item.Key, Step: item.Step, Value: item.Value}, &n.scratch.dist)
	}
	if len(items) > 0 {
		n.flushDist(now, out)
	}
}

// flushMoves sends the messages and platform requests of package moves and
// reports its events and replies.
func (n *Node) flushMoves(out *Ready) {
	e := &n.scratch.moves
	for i := range e.Sends {
		p := n.scratch.outbox.messagesTo(e.Sends[i].To, "")
		p.moves = append(p.moves, e.Sends[i].Message)
	}
	appendPlatformRequests(OwnerMoves, e.Platform, out)
	for i := range e.Events {
		out.Timeline = append(out.Timeline, moveTimelineEntry(n.settings.Host, &e.Events[i]))
	}
	for _, r := range e.Replies {
		reply := OperatorReply{ID: r.ID}
		if r.Err != nil {
			reply.Err, reply.Refusal = r.Err.Error(), refusalOf(r.Err)
		}
		out.Replies = append(out.Replies, reply)
	}
	e.Reset()
}

func (n *Node) platformResult(ev *Event, out *Ready) {
	res := &ev.Platform.Result
	switch ev.Platform.Owner {
	case OwnerPublish:
		n.publish.PlatformResult(ev.Now, res, &n.scratch.publish)
		n.flushPublish(ev.Now, out)
	case OwnerDistribution:
		n.dist.PlatformResult(ev.Now, res, &n.scratch.dist)
		n.flushDist(ev.Now, out)
	case OwnerClaims:
		n.claims.PlatformResult(ev.Now, res, &n.scratch.claims)
		n.flushClaims(ev.Now, ev.Seed, out)
	case OwnerMoves:
		n.moveStatesReceived = n.moveStatesReceived || (res.Op == platform.OpRead && res.Status == platform.OK)
		n.moves.Platform(ev.Now, res, &n.scratch.moves)
		n.flushMoves(out)
	}
}
