package proxy

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/random"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// startupTime is the time after the start in which newly learned instances count as
// warm, because the node cannot tell how long they have run.
const startupTime = 4 * time.Second

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

// StoreAlive reports whether the store answers this node.
func (n *Node) StoreAlive() bool { return n.store.Alive }
