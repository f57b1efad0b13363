package proxy

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// How a node knows that other hosts are alive: by contact with them, by their own
// new records, and by the word of a peer that has run for longer.

const (
	// checkInterval is the period of exchanges with a host that gave no sign of
	// life, until it does.
	checkInterval = 400 * time.Millisecond
	// firstCheck is the time after which a host that is known only from its row is
	// asked for a sign of life, with jitter: most are known by then from a peer that
	// has run for longer, or by their own first records after a common start. Hosts of
	// other failure domains take firstAwayCheck.
	firstCheck     = 400 * time.Millisecond
	firstAwayCheck = 1500 * time.Millisecond
	// settledTime is the age from which a node vouches for the hosts that it knows.
	settledTime = 5 * time.Second
	// longestCheckPause bounds the pause between exchanges with a host that was never
	// reached. It starts at checkInterval and doubles.
	longestCheckPause = 5 * time.Second
	// forgottenTime is the time for which older records of a forgotten host are
	// ignored, so that hosts which forget it a little later don't bring it back.
	forgottenTime = 2 * forgetTime
	// forgetTime is the time after which an unreachable host is forgotten. It
	// returns with its next announcement.
	forgetTime = 60 * time.Second
	// leaveTime is the time after which a host that has left is forgotten. One
	// that is started again is back earlier.
	leaveTime = 20 * time.Second
)

// scheduleFirstCheck plans the first contact with a host that is known from its row.
func (n *Node) scheduleFirstCheck(s *step, m *member, domain mesh.FailureDomain) {
	wait := firstCheck
	if domain != n.settings.Domain {
		wait = firstAwayCheck
	}
	m.nextCheck = s.now.Add(s.jitter(wait))
	m.checkPause = checkInterval
}

// Settled reports whether this node vouches for the hosts that it knows: it has run
// for some time, and has had contact with all of them.
func (n *Node) Settled(now mesh.Time) bool {
	return now.Sub(n.started) >= settledTime && !n.HasRowOnlyHosts()
}

// HasRowOnlyHosts reports whether some host is known only from its row.
func (n *Node) HasRowOnlyHosts() bool {
	for _, m := range n.members {
		if m.fromRow {
			return true
		}
	}
	return false
}

// SettledPeerDigest is the digest of the members of a settled peer. A host whose record is
// the same there counts as if there had been contact with it.
type SettledPeerDigest struct{ Digest []byte }

func (e SettledPeerDigest) apply(n *Node, s *step) {
	own := n.MembersDigest()
	vouched := 0
	for _, m := range n.members {
		if m.fromRow && sameBucket(own, e.Digest, bucketOf(&m.Member)) {
			m.fromRow = false
			vouched++
		}
	}
	if vouched > 0 {
		n.membersChanged = true
		s.record("member.vouched", "hosts", vouched)
	}
}

// hostFailed takes a host out of routing until an exchange with it succeeds.
func (n *Node) hostFailed(s *step, host mesh.HostID) {
	m := n.members[host]
	if m == nil || host == n.settings.Host || !m.reachable {
		return
	}
	n.counters.HostFailures++
	m.reachable, m.failedAt = false, s.now
	if !m.fromRow { // which has its own pauses
		m.nextCheck = s.now.Add(checkInterval)
	}
	n.membersChanged = true
	s.record("host.unreachable", "about", string(host), "incarnation", int64(m.Incarnation))
	if !m.fromRow {
		s.out.Checks = append(s.out.Checks, PeerCheck{Host: host, Addr: m.PeerAddr})
	}
}

func (e PeerChecked) apply(n *Node, s *step) {
	m := n.members[e.Host]
	if m == nil {
		return
	}
	if !e.Alive {
		n.hostFailed(s, e.Host)
		return
	}
	if m.usable() {
		return
	}
	s.record("host.reachable", "about", string(e.Host), "away_ms", s.now.Sub(m.failedAt).Milliseconds(), "from_row", m.fromRow)
	m.reachable, m.fromRow = true, false
	n.membersChanged = true
}

// checkHosts asks unreachable hosts for a sign of life.
func (n *Node) checkHosts(s *step) {
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		m := n.members[host]
		if m.Leaving && s.now.Sub(m.changedAt) > leaveTime {
			n.retire(s, m, "left")
			continue
		}
		if m.usable() || s.now < m.nextCheck || host == n.settings.Host {
			continue
		}
		if !m.reachable && s.now.Sub(m.failedAt) > forgetTime {
			n.retire(s, m, "unreachable")
			continue
		}
		pause := checkInterval
		if m.fromRow {
			pause = m.checkPause
			m.checkPause = min(2*m.checkPause, longestCheckPause)
		}
		m.nextCheck = s.now.Add(pause)
		s.out.Checks = append(s.out.Checks, PeerCheck{Host: host, Addr: m.PeerAddr})
	}
}

// retire forgets a host. The first reader of the store also removes its row, so
// that rows of replaced hosts don't pile up.
func (n *Node) retire(s *step, m *member, cause string) {
	if m.Host == n.settings.Host {
		return
	}
	if n.store.Alive && n.firstReader() == n.settings.Host {
		s.out.Removals = append(s.out.Removals, m.Host)
	}
	n.forget(s, m, cause)
}

func (n *Node) forget(s *step, m *member, cause string) {
	host := m.Host
	n.forgotten[host] = forgottenHost{incarnation: m.Incarnation, sequence: m.Sequence, at: s.now}
	n.setRecord(m, &Member{})
	delete(n.members, host)
	n.membersChanged = true
	s.record("member.forgotten", "about", string(host), "cause", cause)
}

// forgottenHost is the last record of a host that was forgotten.
type forgottenHost struct {
	incarnation mesh.Incarnation
	sequence    uint64
	at          mesh.Time
}

// isForgotten reports whether a record is no newer than that of a host which was
// forgotten a short time ago.
func (n *Node) isForgotten(m *Member) bool {
	f, ok := n.forgotten[m.Host]
	return ok && !m.newer(&Member{Incarnation: f.incarnation, Sequence: f.sequence})
}

// expireForgotten drops what is kept of forgotten hosts after its time.
func (n *Node) expireForgotten(now mesh.Time) {
	maps.DeleteFunc(n.forgotten, func(_ mesh.HostID, f forgottenHost) bool { return now.Sub(f.at) > forgottenTime })
}
