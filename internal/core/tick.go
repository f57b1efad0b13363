package core

import (
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/membership"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// controlInterval is the period of the control plane's timers. They cost more
// than the timers of calls, which run every TickInterval, and need less precision:
// their shortest timeout, for sending evidence (the counts of call results by which
// package moves judges a version) after a failed call, is 50 ms.
const controlInterval = 3 * TickInterval

// tick advances the timers of all subsystems.
func (n *Node) tick(ev *Event, out *Ready) {
	now := ev.Now
	if now >= n.nextControlAt {
		n.nextControlAt = now.Add(controlInterval)
		n.tickControl(ev, out)
	}
	n.tickClaims(ev, out)
	n.expireCalls(now, out)
	n.scratch.gate = n.gate.Tick(now, n.scratch.gate)
	n.flushGate(out)
	n.updateInstances(now)
	n.continueDrain(now, out)
	n.checkDrained(now, out)
}

func (n *Node) tickControl(ev *Event, out *Ready) {
	now := ev.Now
	n.members.Tick(now, ev.Seed, &n.scratch.members)
	n.flushMembers(now, out)
	n.sharePoison(now)
	n.dist.Tick(now, deriveSeed(ev.Seed), &n.scratch.dist)
	n.flushDist(now, out)
	n.publish.Tick(now, &n.scratch.publish)
	n.flushPublish(now, out)
	n.tickMoves(now, out)
	n.poison.Expire(now)
	n.removeExpiredInstances(now)
	if n.members.Expelled() {
		n.drain(ev, out) // an operator has declared this host lost
	}
}

func (n *Node) tickMoves(now mesh.Time, out *Ready) {
	n.moves.SetLinks(n.moveLinks())
	n.moves.Tick(now, &n.scratch.moves)
	n.flushMoves(out)
}

// moveLinks returns the neighbours of this node in the distribution tree. The
// first reader of a failure domain is the root of its tree.
func (n *Node) moveLinks() moves.Links {
	links := moves.Links{Children: n.members.Children(), Reader: n.members.IsReader()}
	up, ok := n.members.Parent()
	if ok {
		links.Parent = up
		return links
	}
	for _, d := range n.members.Domains() {
		if d == n.settings.Domain || n.members.Unreachable(d) {
			continue
		}
		if readers := n.members.Readers(d); len(readers) > 0 {
			links.Roots = append(links.Roots, readers[0])
		}
	}
	return links
}

// ejectionChanged adds a timeline entry when routing ejects or readmits an
// instance.
func (n *Node) ejectionChanged(t routing.Target, change routing.Change, out *Ready) {
	kind := "instance.ejected"
	if change == routing.Readmitted {
		kind = "instance.readmitted"
	} else {
		n.counters.Ejections++
	}
	out.Timeline = append(out.Timeline, TimelineEntry{Kind: kind, Detail: string(t.Instance), Host: t.Host})
}

// flushMembers sends membership messages and handles changed member records.
func (n *Node) flushMembers(now mesh.Time, out *Ready) {
	m := &n.scratch.members
	for i := range m.Sends {
		s := &m.Sends[i]
		p := n.scratch.outbox.messagesTo(s.To, s.Addr)
		p.membership = append(p.membership, s.Message)
	}
	for i := range m.Changes {
		n.memberChanged(now, &m.Changes[i], out)
	}
	m.Reset()
}

func (n *Node) memberChanged(now mesh.Time, c *membership.Change, out *Ready) {
	n.instancesDirty = true
	for i := range c.New.Backends {
		n.recordFirstSeen(now, c.New.Backends[i].Instance)
	}
	if c.Old != nil && c.Old.State == c.New.State && c.Old.Incarnation == c.New.Incarnation {
		return
	}
	out.Timeline = append(out.Timeline, TimelineEntry{Kind: "member." + c.New.State.String(), Host: c.New.Host})
}

// recordFirstSeen records when an instance was first announced. Instances that a
// node learns during its startup are treated as warm (time zero), because the
// node cannot tell how long they have been running.
func (n *Node) recordFirstSeen(now mesh.Time, id mesh.InstanceID) {
	if _, ok := n.firstSeen[id]; ok {
		return
	}
	n.firstSeen[id] = 0
	if now.Sub(n.settings.Started) > startupTime {
		n.firstSeen[id] = now
	}
}

// inColdStart reports whether an instance was first announced less than
// coldStartTime ago.
func (n *Node) inColdStart(now mesh.Time, id mesh.InstanceID) bool {
	seen := n.firstSeen[id]
	return seen != 0 && now.Sub(seen) < coldStartTime
}

// updateInstances rebuilds the routing table after changes of member records.
func (n *Node) updateInstances(now mesh.Time) {
	if !n.instancesDirty {
		return
	}
	n.instancesDirty = false
	list := n.scratch.instances[:0]
	firstSeen := make(map[mesh.InstanceID]mesh.Time, len(n.firstSeen))
	for _, d := range n.members.Domains() {
		reachable := !n.members.Unreachable(d)
		for _, m := range n.members.Members(d) {
			for i := range m.Backends {
				b := &m.Backends[i]
				firstSeen[b.Instance] = n.firstSeen[b.Instance]
				list = append(list, routing.Instance{
					Host: m.Host, Domain: d, ID: b.Instance, Service: b.Service, Version: b.Version, Slots: b.Slots,
					Draining: b.Draining, Reachable: reachable, FirstAnnounced: firstSeen[b.Instance],
				})
			}
		}
	}
	n.firstSeen, n.scratch.instances = firstSeen, list
	n.router.SetInstances(now, list)
	n.updateShares(now)
}

// establishedPeer returns a random live peer that knows its version floor and is
// not excluded. Peers of this node's failure domain are preferred.
func (n *Node) establishedPeer(seed uint64, excluded []mesh.HostID) *membership.Record {
	if m := n.establishedIn(n.settings.Domain, seed, excluded); m != nil {
		return m
	}
	for _, d := range n.members.Domains() {
		if n.members.Unreachable(d) {
			continue
		}
		if m := n.establishedIn(d, seed, excluded); m != nil {
			return m
		}
	}
	return nil
}

func (n *Node) establishedIn(d mesh.FailureDomain, seed uint64, excluded []mesh.HostID) *membership.Record {
	members := n.members.Members(d)
	for i := range members {
		m := members[(i+int(seed%uint64(len(members))))%len(members)]
		if m.Established && m.Host != n.settings.Host && !slices.Contains(excluded, m.Host) {
			return m
		}
	}
	return nil
}
