package proxy

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// A node considers another host alive after an exchange with it, after a new record
// that the host published, or after a settled peer (see Settled) has confirmed the host's
// record.

const (
	// checkInterval is the period of exchanges with an unreachable host, until one
	// succeeds.
	checkInterval = 400 * time.Millisecond
	// firstCheckDelay is the time, before jitter, after which a node starts an exchange
	// with a host that is known only from its row in the store. By then most hosts have
	// been confirmed by a settled peer or, if all hosts started together, by their own
	// first records. firstCrossDomainCheckDelay applies to hosts of other failure
	// domains.
	firstCheckDelay            = 400 * time.Millisecond
	firstCrossDomainCheckDelay = 1500 * time.Millisecond
	// settledAge is the time since its start from which a node confirms to its peers
	// the hosts that it knows.
	settledAge = 5 * time.Second
	// maxCheckBackoff bounds the backoff between exchanges with a host that was never
	// reached. The backoff starts at checkInterval and doubles.
	maxCheckBackoff = 5 * time.Second
	// forgottenRetention is the time for which older records of a forgotten host are
	// ignored, so that peers which forget it a little later don't bring it back.
	forgottenRetention = 2 * forgetUnreachableAfter
	// forgetUnreachableAfter is the time after which an unreachable host is forgotten.
	// The host becomes a member again with its next announcement.
	forgetUnreachableAfter = 60 * time.Second
	// forgetLeftAfter is the time after which a host that has left is forgotten. A host
	// that is only restarted is back before that.
	forgetLeftAfter = 20 * time.Second
)

// scheduleFirstCheck schedules the first exchange with a host that is known only from
// its row.
func (n *Node) scheduleFirstCheck(s *step, m *memberState, domain mesh.FailureDomain) {
	wait := firstCheckDelay
	if domain != n.settings.Domain {
		wait = firstCrossDomainCheckDelay
	}
	m.nextCheckAt = s.now.Add(s.jitter(wait))
	m.checkBackoff = checkInterval
}

// Settled reports whether this node can confirm to its peers that the hosts it knows
// are alive: it has run for settledAge and no host is known only from its row.
func (n *Node) Settled(now mesh.Time) bool {
	return now.Sub(n.started) >= settledAge && !n.HasRowOnlyHosts()
}

// HasRowOnlyHosts reports whether some host is known only from its row.
func (n *Node) HasRowOnlyHosts() bool {
	for _, m := range n.members {
		if m.rowOnly {
			return true
		}
	}
	return false
}

// SettledPeerDigest carries the members' digest of a settled peer. A host known only
// from its row counts as contacted if the digests agree in the bucket of its record.
type SettledPeerDigest struct{ Digest []byte }

func (e SettledPeerDigest) apply(n *Node, s *step) {
	ownDigest := n.MembersDigest()
	confirmed := 0
	for _, m := range n.members {
		if m.rowOnly && sameBucket(ownDigest, e.Digest, bucketOf(&m.Member)) {
			m.rowOnly = false
			confirmed++
		}
	}
	if confirmed > 0 {
		n.membersChanged = true
		s.log("member.vouched", "hosts", confirmed)
	}
}

// markUnreachable removes a host from routing until an exchange with it succeeds.
func (n *Node) markUnreachable(s *step, host mesh.HostID) {
	m := n.members[host]
	if m == nil || host == n.settings.Host || !m.reachable {
		return
	}
	n.counters.HostFailures++
	m.reachable, m.failedAt = false, s.now
	if !m.rowOnly { // a row-only host has its own backoff
		m.nextCheckAt = s.now.Add(checkInterval)
	}
	n.membersChanged = true
	s.log("host.unreachable", "about", string(host), "incarnation", int64(m.Incarnation))
	if !m.rowOnly {
		s.out.Checks = append(s.out.Checks, PeerCheck{Host: host, Addr: m.PeerAddr})
	}
}

func (e PeerChecked) apply(n *Node, s *step) {
	m := n.members[e.Host]
	if m == nil {
		return
	}
	if !e.Alive {
		n.markUnreachable(s, e.Host)
		return
	}
	if m.usable() {
		return
	}
	s.log("host.reachable", "about", string(e.Host), "away_ms", s.now.Sub(m.failedAt).Milliseconds(), "from_row", m.rowOnly)
	m.reachable, m.rowOnly = true, false
	n.membersChanged = true
}

// checkHosts starts the exchanges that are due with unreachable and row-only hosts and
// forgets hosts that have left or were unreachable for too long.
func (n *Node) checkHosts(s *step) {
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		m := n.members[host]
		if m.Leaving && s.now.Sub(m.changedAt) > forgetLeftAfter {
			n.forgetAndRemoveRow(s, m, "left")
			continue
		}
		if m.usable() || s.now < m.nextCheckAt || host == n.settings.Host {
			continue
		}
		if !m.reachable && s.now.Sub(m.failedAt) > forgetUnreachableAfter {
			n.forgetAndRemoveRow(s, m, "unreachable")
			continue
		}
		pause := checkInterval
		if m.rowOnly {
			pause = m.checkBackoff
			m.checkBackoff = min(2*m.checkBackoff, maxCheckBackoff)
		}
		m.nextCheckAt = s.now.Add(pause)
		s.out.Checks = append(s.out.Checks, PeerCheck{Host: host, Addr: m.PeerAddr})
	}
}

// forgetAndRemoveRow forgets a host. If this node is the first reader of the store, it
// also removes the host's row, so that rows of replaced hosts don't accumulate.
func (n *Node) forgetAndRemoveRow(s *step, m *memberState, cause string) {
	if m.Host == n.settings.Host {
		return
	}
	if n.store.Alive && n.firstReader() == n.settings.Host {
		s.out.Removals = append(s.out.Removals, m.Host)
	}
	n.forget(s, m, cause)
}

func (n *Node) forget(s *step, m *memberState, cause string) {
	host := m.Host
	n.forgotten[host] = forgottenHost{incarnation: m.Incarnation, sequence: m.Sequence, at: s.now}
	n.setRecord(m, &Member{})
	delete(n.members, host)
	n.membersChanged = true
	s.log("member.forgotten", "about", string(host), "cause", cause)
}

// forgottenHost is a tombstone: the incarnation and sequence of the last record of a
// forgotten host.
type forgottenHost struct {
	incarnation mesh.Incarnation
	sequence    uint64
	at          mesh.Time
}

// isForgotten reports whether the host of a record was forgotten a short time ago and
// the record is no newer than the last one known then.
func (n *Node) isForgotten(m *Member) bool {
	f, ok := n.forgotten[m.Host]
	return ok && !m.newer(&Member{Incarnation: f.incarnation, Sequence: f.sequence})
}

// expireForgotten deletes the tombstones of forgotten hosts after forgottenRetention.
func (n *Node) expireForgotten(now mesh.Time) {
	maps.DeleteFunc(n.forgotten, func(_ mesh.HostID, f forgottenHost) bool { return now.Sub(f.at) > forgottenRetention })
}
