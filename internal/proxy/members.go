package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/random"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

const (
	// checkInterval is the period of exchanges with a host that gave no sign of
	// life, until it does.
	checkInterval = 400 * time.Millisecond
	// startupTime is the time after the start in which newly learned instances
	// count as warm, because the node cannot tell how long they have run.
	startupTime = 4 * time.Second
	// forgetTime is the time after which an unreachable host is forgotten. It
	// returns with its next announcement.
	forgetTime = 60 * time.Second
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
	// leaveTime is the time after which a host that has left is forgotten. One
	// that is started again is back earlier.
	leaveTime = 20 * time.Second
)

// Member is what a host tells others about itself. Records of a host are
// ordered by incarnation, then sequence.
type Member struct {
	Host        mesh.HostID        `json:"host"`
	Domain      mesh.FailureDomain `json:"domain"`
	ForwardAddr string             `json:"forward"`
	PeerAddr    string             `json:"peer"`
	Incarnation mesh.Incarnation   `json:"incarnation"`
	Sequence    uint64             `json:"sequence"`
	// LinkMbps is the bandwidth of the host.
	LinkMbps int `json:"link_mbps,omitempty"`
	// Leaving is set while the node stops.
	Leaving  bool            `json:"leaving,omitempty"`
	Instance *MemberInstance `json:"instance,omitempty"`
}

// MemberInstance is the instance of a host.
type MemberInstance struct {
	ID      mesh.InstanceID     `json:"id"`
	Service mesh.Service        `json:"service"`
	Version mesh.BackendVersion `json:"version"`
	Slots   uint16              `json:"slots"`
	// Closed is set while the gate takes no request for the instance.
	Closed bool `json:"closed,omitempty"`
	// Left is set once the instance has said that it takes no new work.
	Left bool `json:"left,omitempty"`
	// Born is the start time that the instance states, zero if it states none.
	Born int64 `json:"born,omitempty"`
	// WarmUpMillis is the time for which the instance stays slow.
	WarmUpMillis int64 `json:"warm_up_ms,omitempty"`
}

// newer reports whether m replaces old.
func (m *Member) newer(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Sequence > old.Sequence
}

// member is a host as this node knows it.
type member struct {
	Member
	reachable bool
	failedAt  mesh.Time
	nextCheck mesh.Time
	changedAt mesh.Time // of the record
	// fromRow is set while the host is known only from its row in the store, and
	// checkPause is then the pause until the check after the next one.
	fromRow    bool
	checkPause time.Duration
}

// usable reports whether requests may be sent to the host.
func (m *member) usable() bool { return m.reachable && !m.fromRow }

// usableSlots returns the slots that take requests.
func (m *member) usableSlots() int {
	if m.Instance == nil || m.Instance.Closed || m.Leaving || !m.usable() {
		return 0
	}
	return int(m.Instance.Slots)
}

// Members returns the known hosts, sorted by name.
func (n *Node) Members() []Member {
	list := make([]Member, 0, len(n.members))
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		list = append(list, n.members[host].Member)
	}
	return list
}

// Self returns the record of this host.
func (n *Node) Self() Member { return n.self }

// announceSelf publishes the present state of this host.
func (n *Node) announceSelf(s *step) {
	n.self.Sequence++
	n.self.Instance = n.earlier.left
	if l := &n.local; l.id != "" {
		n.self.Instance = &MemberInstance{
			ID: l.id, Service: l.service, Version: l.version, Slots: l.slots, Closed: l.draining || l.left || l.down,
			Left: l.draining || l.left, Born: l.born,
			WarmUpMillis: max(l.warmAt.Sub(s.now).Milliseconds(), 0),
		}
	}
	n.setRecord(n.members[n.settings.Host], &n.self)
	n.membersChanged = true
	s.out.Announce = true
}

func (e MembersSeen) apply(n *Node, s *step) {
	for i := range e.Members {
		n.merge(s, &e.Members[i], e.FromStore)
	}
}

func (e PeerSeen) apply(n *Node, s *step) {
	delete(n.forgotten, e.Member.Host)
	n.merge(s, &e.Member, false)
	PeerChecked{Host: e.Member.Host, Alive: true}.apply(n, s)
}

// merge takes in a record. A host that is known only from its row in the store is
// used once there was contact with it: after a restart of many hosts rows name
// some that are gone.
func (n *Node) merge(s *step, m *Member, fromStore bool) {
	if m.Host == n.settings.Host {
		n.raise(s, m)
		return
	}
	if m.Host == "" || m.ForwardAddr == "" || n.isForgotten(m) {
		return
	}
	old := n.members[m.Host]
	if old != nil && !m.newer(&old.Member) {
		return
	}
	if old == nil {
		old = &member{reachable: true, fromRow: fromStore}
		n.members[m.Host] = old
		if fromStore {
			n.scheduleFirstCheck(s, old, m.Domain)
		}
	}
	if m.Incarnation > old.Incarnation {
		old.reachable = true
	}
	if !fromStore && m.PeerAddr != old.PeerAddr {
		n.retireOthersAt(s, m)
	}
	old.fromRow = old.fromRow && fromStore
	n.setRecord(old, m)
	old.changedAt = s.now
	n.membersChanged = true
	s.record("member.changed", "about", string(m.Host), "domain", string(m.Domain), "incarnation", int64(m.Incarnation),
		"sequence", m.Sequence, "leaving", m.Leaving, "instance", instanceName(m), "closed", m.Instance != nil && m.Instance.Closed,
		"from_row", old.fromRow)
}

// retireOthersAt forgets the hosts whose address another host has by now. A host is
// replaced at its address only after it is gone.
func (n *Node) retireOthersAt(s *step, m *Member) {
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		other := n.members[host]
		if host != m.Host && other.PeerAddr == m.PeerAddr && other.Incarnation < m.Incarnation {
			n.retire(s, other, "address taken by "+string(m.Host))
		}
	}
}

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
	return now.Sub(n.started) >= settledTime && !n.KnowsByRow()
}

// KnowsByRow reports whether some host is known only from its row.
func (n *Node) KnowsByRow() bool {
	for _, m := range n.members {
		if m.fromRow {
			return true
		}
	}
	return false
}

// PeerVouches is the digest of the members of a settled peer. A host whose record is
// the same there counts as if there had been contact with it.
type PeerVouches struct{ Digest []byte }

func (e PeerVouches) apply(n *Node, s *step) {
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

func instanceName(m *Member) string {
	if m.Instance == nil {
		return ""
	}
	return string(m.Instance.ID)
}

func (e MemberRemoved) apply(n *Node, s *step) {
	if m := n.members[e.Host]; m != nil && e.Host != n.settings.Host {
		n.forget(s, m, "row removed")
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

// liveHosts returns the number of hosts that take part.
func (n *Node) liveHosts() int {
	live := 0
	for _, m := range n.members {
		if m.reachable && !m.Leaving {
			live++
		}
	}
	return live
}

// rank returns the place of this host among the live ones.
func (n *Node) rank() int {
	rank := 0
	for host, m := range n.members {
		if m.reachable && !m.Leaving && host < n.settings.Host {
			rank++
		}
	}
	return rank
}

// updateRouting rebuilds the routing table after changes of members or plans.
func (n *Node) updateRouting(s *step) {
	list := make([]routing.Instance, 0, len(n.members))
	seen := make(map[mesh.InstanceID]mesh.Time, len(n.seen))
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		m := n.members[host]
		if m.Instance == nil {
			continue
		}
		i := m.Instance
		first, known := n.seen[i.ID]
		if !known && (s.now.Sub(n.started) > startupTime || host == n.settings.Host && i.WarmUpMillis > 0) {
			first = s.now
		}
		seen[i.ID] = first
		list = append(list, routing.Instance{
			Host: host, Domain: m.Domain, ID: i.ID, Service: i.Service, Version: i.Version, Slots: i.Slots,
			Draining: i.Closed || m.Leaving, Reachable: m.usable(), FirstAnnounced: first,
			Ramp: time.Duration(i.WarmUpMillis) * time.Millisecond,
		})
	}
	n.seen = seen
	n.table.SetInstances(list)
	n.updateShares()
}

// Alone reports whether no other host is known.
func (n *Node) Alone() bool { return len(n.members) == 1 }

// awayPeerEvery is the mean number of exchanges with random peers for each that may
// leave the failure domain. Changes reach other failure domains by notifications
// to their readers; these exchanges repair what was lost.
const awayPeerEvery = 8

// RandomPeer returns a reachable member other than this host, mostly of its own
// failure domain, or one without addresses if there is none.
func (n *Node) RandomPeer(seed uint64) Member {
	source := random.New(seed)
	anywhere := source.Below(awayPeerEvery) == 0
	var near, all []Member
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		m := n.members[host]
		if !m.reachable || host == n.settings.Host {
			continue
		}
		all = append(all, m.Member)
		if m.Domain == n.settings.Domain {
			near = append(near, m.Member)
		}
	}
	peers := near
	if anywhere || len(near) == 0 {
		peers = all
	}
	if len(peers) == 0 {
		return Member{}
	}
	return peers[source.Below(len(peers))]
}

// nodesPerReader is the number of nodes of a failure domain for each reader of the
// store. A reader answers about two polls a second of each of them.
const nodesPerReader = 25

// Role is the part of a node in reading the store for its failure domain.
type Role struct {
	// Reader is the node that this node follows, unless it reads the store itself.
	Reader Member
	Reads  bool
	// Substitute is set for a follower that tries the store when its reader has
	// lost it.
	Substitute bool
}

// substitutesPerReader is the number of followers of each reader that try the
// store when the reader has lost it. In an outage each refused call is a load on
// the store, and peers tell what changes.
const substitutesPerReader = 3

// Role returns the present role of this node.
func (n *Node) Role() Role {
	nodes := n.byLink(n.settings.Domain)
	own := slices.IndexFunc(nodes, func(m Member) bool { return m.Host == n.settings.Host })
	readers := readerCount(len(nodes))
	if own < readers {
		return Role{Reads: true}
	}
	return Role{Reader: nodes[own%readers], Substitute: own < readers*(1+substitutesPerReader)}
}

// Readers returns the readers of all failure domains, but for this node.
func (n *Node) Readers() []Member {
	return slices.DeleteFunc(n.allReaders(), func(m Member) bool { return m.Host == n.settings.Host })
}

// firstReader returns the reader that removes rows, empty if there is none.
func (n *Node) firstReader() mesh.HostID {
	if readers := n.allReaders(); len(readers) > 0 {
		return readers[0].Host
	}
	return ""
}

func (n *Node) allReaders() []Member {
	domains := make(map[mesh.FailureDomain]struct{})
	for _, m := range n.members {
		domains[m.Domain] = struct{}{}
	}
	var readers []Member
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		nodes := n.byLink(domain)
		readers = append(readers, nodes[:min(readerCount(len(nodes)), len(nodes))]...)
	}
	return readers
}

func readerCount(nodes int) int { return 1 + nodes/nodesPerReader }

// byLink returns the live nodes of a failure domain. The hosts with the largest
// links come first and read the store, since each reader sends what it has read
// to all its followers.
func (n *Node) byLink(domain mesh.FailureDomain) []Member {
	var nodes []Member
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		if m := n.members[host]; m.Domain == domain && m.reachable && !m.Leaving {
			nodes = append(nodes, m.Member)
		}
	}
	slices.SortStableFunc(nodes, func(a, b Member) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	return nodes
}

// StoreAlive reports whether the store answers this node.
func (n *Node) StoreAlive() bool { return n.store.Alive }
