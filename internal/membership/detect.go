package membership

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// SuspectAfter is the silence after which a neighbour is suspect.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the silence after which a neighbour is dead.
	DeadAfter = 5 * time.Second
	// probeAfter is the silence after which a neighbour is sent extra
	// heartbeats, one each probeInterval, in addition to those that a child
	// sends to its parent every HeartbeatInterval. Together, five or more must be
	// lost before the neighbour is suspect.
	probeAfter    = 1300 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	// isolationLimit is the longest time for which a host that receives no
	// messages at all refrains from declaring its neighbours suspect or dead.
	isolationLimit = 30 * time.Second
)

// link is the state that failure detection and repair keep for one of the peers
// that Links returns: a neighbour (the parent or a child in the tree), the ring
// peer, or a reader of another failure domain that chose this node for its ring
// link (inboundLinks).
type link struct {
	// lastReceived is the time of the latest message from the peer, lastSent
	// that of the latest heartbeat or exchange to it.
	lastReceived mesh.Time
	lastSent     mesh.Time
	// synced is set once the digests of all records of this node and of the peer
	// were equal, or a repair of all failure domains was started with the peer.
	// Until then, a difference starts such a repair without waiting for
	// quietPeriod.
	synced bool
	// mismatchSince is the time since which the two digests differ or, if later,
	// at which the latest repair of all failure domains was started. It is zero
	// while they are equal.
	mismatchSince mesh.Time
}

// updateLinks recomputes the neighbours after a change of the tree.
func (r *Reducer) updateLinks(now mesh.Time) {
	if !r.treeDirty {
		return
	}
	r.treeDirty = false
	old := r.neighbours
	r.neighbours = r.Children()
	if parent, ok := r.Parent(); ok {
		r.neighbours = slices.Insert(r.neighbours, 0, parent)
	}
	for _, host := range old {
		r.dropLink(host)
	}
	for _, host := range r.neighbours {
		r.addLink(now, host)
	}
}

// addLink starts to track a peer and queues the local record for it.
func (r *Reducer) addLink(now mesh.Time, host mesh.HostID) {
	if _, ok := r.links[host]; !ok {
		r.links[host] = &link{lastReceived: now}
		r.outboxes.add(host, r.settings.Host, true)
	}
}

// dropLink deletes the state of a peer that is no longer a link.
func (r *Reducer) dropLink(host mesh.HostID) {
	if host != "" && !slices.Contains(r.Links(), host) {
		delete(r.links, host)
	}
}

// recordReceived updates failure detection after a message from a peer. A
// message from another failure domain shows that this domain can be reached, and
// one from the ring peer that this peer answers.
func (r *Reducer) recordReceived(now mesh.Time, from mesh.HostID, sender *Record) {
	r.lastReceived = now
	if l, ok := r.links[from]; ok {
		l.lastReceived = now
	}
	if sender != nil && sender.Domain != r.settings.Domain {
		r.markReachable(now, sender.Domain)
	}
	if from == r.ring.peer {
		r.ring.answered = true
	}
}

// detect first expires the links of readers that no longer send heartbeats here.
// It then probes silent neighbours and declares them suspect or dead. Neighbours
// are peers in the tree, which all belong to the local failure domain. Hosts of
// other failure domains are never declared suspect or dead here; recordContact
// detects that their whole failure domain is unreachable.
func (r *Reducer) detect(now mesh.Time, out *Output) {
	for _, host := range r.inbound.expire(now) {
		r.dropLink(host)
	}
	isolated := r.isolated(now)
	for _, host := range r.neighbours {
		l := r.links[host]
		silence := now.Sub(l.lastReceived)
		if silence >= probeAfter && now.Sub(l.lastSent) >= probeInterval {
			r.contact(host, KindHeartbeat, out)
		}
		rec := r.table.records[host]
		switch {
		case silence >= DeadAfter && !isolated && rec.Live(): // alive or suspect
			next := rec.withState(now, Dead)
			r.replace(now, "", &next, out)
		case silence >= SuspectAfter && !isolated && rec.State == Alive:
			next := rec.withState(now, Suspect)
			r.replace(now, "", &next, out)
		}
	}
}

// isolated reports whether no message has arrived from any host for
// SuspectAfter. In a failure domain with more than two members it is then more
// likely that this host is partitioned than that all others have died, so it
// declares no neighbour suspect or dead until isolationLimit has passed.
func (r *Reducer) isolated(now mesh.Time) bool {
	silence := now.Sub(r.lastReceived)
	return r.LiveCount(r.settings.Domain) > 2 && silence >= SuspectAfter && silence < isolationLimit
}

// restartDetection treats every peer as if it had just sent a message, so that
// each has the full time-out to answer. It is called after this process itself
// was paused (see maxTickGap).
func (r *Reducer) restartDetection(now mesh.Time) {
	r.lastReceived = now
	for _, l := range r.links {
		l.lastReceived = now
	}
	for _, reach := range r.reachability {
		reach.lastReceived, reach.misses = now, 0
	}
	r.nextHeartbeat = now
}
