package proxy

import (
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/random"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// startupPeriod is the time after the start of the process in which instances that are
// newly learned count as warm, that is, past the slow time after their start, because the
// node cannot tell how long they have run. A request that arrives in this period may wait
// for the first configuration.
const startupPeriod = 4 * time.Second

// Member is the record that a host publishes about itself. Records of a host are
// ordered by incarnation, then by sequence.
type Member struct {
	Host        mesh.HostID        `json:"host"`
	Domain      mesh.FailureDomain `json:"domain"`
	ForwardAddr string             `json:"forward"`
	PeerAddr    string             `json:"peer"`
	Incarnation mesh.Incarnation   `json:"incarnation"`
	Sequence    uint64             `json:"sequence"`
	// LinkMbps is the bandwidth of the host's network link in Mbit/s.
	LinkMbps int `json:"link_mbps,omitempty"`
	// Leaving is set once the gate of a stopping node has closed.
	Leaving  bool            `json:"leaving,omitempty"`
	Instance *MemberInstance `json:"instance,omitempty"`
}

// MemberInstance is the part of a host's record that describes its instance.
type MemberInstance struct {
	ID      mesh.InstanceID     `json:"id"`
	Service mesh.Service        `json:"service"`
	Version mesh.BackendVersion `json:"version"`
	Slots   uint16              `json:"slots"`
	// Closed is set while the gate accepts no request for the instance.
	Closed bool `json:"closed,omitempty"`
	// Left is set once the instance has announced that it drains or exits.
	Left bool `json:"left,omitempty"`
	// Born is the start time in milliseconds that the instance reports, zero if it
	// reports none.
	Born int64 `json:"born,omitempty"`
	// WarmUpMillis is the time for which the instance will still be slow after its
	// start.
	WarmUpMillis int64 `json:"warm_up_ms,omitempty"`
}

const (
	// maxIncarnation bounds the incarnations of records from the store. A host raises its
	// own above that of its latest record, which must not overflow.
	maxIncarnation = mesh.Incarnation(math.MaxInt64 / 2)
	// MaxWarmUp bounds the time for which an instance may be slow after its start.
	MaxWarmUp = time.Hour
)

// Valid reports whether a record from the store can have been written by a node.
func (m *Member) Valid() bool {
	if !validAddr(m.ForwardAddr) || !validAddr(m.PeerAddr) || m.Incarnation < 0 || m.Incarnation > maxIncarnation || m.LinkMbps < 0 {
		return false
	}
	i := m.Instance
	return i == nil || i.ID != "" && i.Slots > 0 && i.WarmUpMillis >= 0 && i.WarmUpMillis <= MaxWarmUp.Milliseconds()
}

// validAddr reports whether an address consists of a host and the number of a port.
func validAddr(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// newer reports whether m replaces old.
func (m *Member) newer(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Sequence > old.Sequence
}

// memberState is a host's record with what this node knows of its reachability.
type memberState struct {
	Member
	reachable   bool
	failedAt    mesh.Time
	nextCheckAt mesh.Time
	changedAt   mesh.Time // time of the last new record
	// rowOnly is set while the host is known only from its row in the store and has not
	// been contacted. checkBackoff is then the time between its next check and the one
	// after that.
	rowOnly      bool
	checkBackoff time.Duration
}

// usable reports whether requests may be sent to the host.
func (m *memberState) usable() bool { return m.reachable && !m.rowOnly }

// usableSlots returns the slots of the host's instance, or zero if no requests may be
// sent to it.
func (m *memberState) usableSlots() int {
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

// announceSelf updates the record of this host and asks for its publication.
func (n *Node) announceSelf(s *step) {
	n.self.Sequence++
	n.self.Instance = n.predecessor.leftInstance
	if r := n.unconfirmed; r != nil {
		n.self.Instance = &MemberInstance{
			ID: r.ID, Service: r.Service, Version: r.Version, Slots: max(r.Slots, 1), Closed: true, Born: r.Born,
			WarmUpMillis: max(r.WarmUp.Milliseconds(), 0),
		}
	}
	if l := &n.local; l.id != "" {
		n.self.Instance = &MemberInstance{
			ID: l.id, Service: l.service, Version: l.version, Slots: l.slots, Closed: l.draining || l.left || l.down || n.Evacuated(n.settings.Domain),
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
		n.mergeRecord(s, &e.Members[i], e.FromStore)
	}
}

func (e PeerSeen) apply(n *Node, s *step) {
	delete(n.forgotten, e.Member.Host)
	n.mergeRecord(s, &e.Member, false)
	PeerChecked{Host: e.Member.Host, Alive: true}.apply(n, s)
}

// mergeRecord stores the record of a host if it is newer than the known one. A host
// that is known only from its row in the store gets no requests until it was contacted:
// after a restart of many hosts, some rows name hosts that no longer exist.
func (n *Node) mergeRecord(s *step, m *Member, fromStore bool) {
	if m.Host == n.settings.Host {
		n.mergeOwnRecord(s, m)
		return
	}
	if m.Host == "" || m.ForwardAddr == "" || n.isForgotten(m) {
		return
	}
	known := n.members[m.Host]
	if known != nil && !m.newer(&known.Member) {
		return
	}
	if known == nil {
		known = &memberState{reachable: true, rowOnly: fromStore}
		n.members[m.Host] = known
		if fromStore {
			n.scheduleFirstCheck(s, known, m.Domain)
		}
	}
	if m.Incarnation > known.Incarnation {
		known.reachable = true
	}
	if !fromStore && m.PeerAddr != known.PeerAddr {
		n.forgetOthersAtAddress(s, m)
	}
	known.rowOnly = known.rowOnly && fromStore
	n.setRecord(known, m)
	known.changedAt = s.now
	n.membersChanged = true
	s.log("member.changed", "about", string(m.Host), "domain", string(m.Domain), "incarnation", int64(m.Incarnation),
		"sequence", m.Sequence, "leaving", m.Leaving, "instance", instanceName(m), "closed", m.Instance != nil && m.Instance.Closed,
		"from_row", known.rowOnly)
}

// forgetOthersAtAddress forgets the other hosts that have the peer address of m and an
// older incarnation. A new host gets the address of another only after that one is
// gone.
func (n *Node) forgetOthersAtAddress(s *step, m *Member) {
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		other := n.members[host]
		if host != m.Host && other.PeerAddr == m.PeerAddr && other.Incarnation < m.Incarnation {
			n.forgetAndRemoveRow(s, other, "address taken by "+string(m.Host))
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

// liveRank returns the position of this host among the live hosts, sorted by name.
func (n *Node) liveRank() int {
	rank := 0
	for host, m := range n.members {
		if m.reachable && !m.Leaving && host < n.settings.Host {
			rank++
		}
	}
	return rank
}

// updateRouting rebuilds the routing table after a change of members or of the plan of
// a roll-out.
func (n *Node) updateRouting(s *step) {
	list := make([]routing.Instance, 0, len(n.members))
	seen := make(map[mesh.InstanceID]mesh.Time, len(n.firstAnnounced))
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		m := n.members[host]
		if m.Instance == nil {
			continue
		}
		i := m.Instance
		first, known := n.firstAnnounced[i.ID]
		if !known && (s.now.Sub(n.started) > startupPeriod || host == n.settings.Host && i.WarmUpMillis > 0) {
			first = s.now
		}
		seen[i.ID] = first
		list = append(list, routing.Instance{
			Host: host, Domain: m.Domain, ID: i.ID, Service: i.Service, Version: i.Version, Slots: i.Slots,
			Draining: i.Closed || m.Leaving || n.Evacuated(m.Domain), Reachable: m.usable(), FirstAnnounced: first,
			Ramp: time.Duration(i.WarmUpMillis) * time.Millisecond,
		})
	}
	n.firstAnnounced = seen
	n.table.SetInstances(list)
	n.updateShares()
	n.updateTokenServers(s.now)
}

// Alone reports whether no other host is known.
func (n *Node) Alone() bool { return len(n.members) == 1 }

// exchangesPerCrossDomain is the mean number of exchanges with random peers per
// exchange that may leave the failure domain. Changes reach other failure domains by
// notifications to their readers; these exchanges make up for lost notifications.
const exchangesPerCrossDomain = 8

// RandomPeer returns a random reachable member other than this host, mostly from its
// own failure domain, or an empty Member if there is none.
func (n *Node) RandomPeer(seed uint64) Member {
	source := random.New(seed)
	anyDomain := source.Below(exchangesPerCrossDomain) == 0
	var sameDomain, all []Member
	for _, host := range slices.Sorted(maps.Keys(n.members)) {
		m := n.members[host]
		if !m.reachable || host == n.settings.Host {
			continue
		}
		all = append(all, m.Member)
		if m.Domain == n.settings.Domain {
			sameDomain = append(sameDomain, m.Member)
		}
	}
	peers := sameDomain
	if anyDomain || len(sameDomain) == 0 {
		peers = all
	}
	if len(peers) == 0 {
		return Member{}
	}
	return peers[source.Below(len(peers))]
}

// StoreAlive reports whether this node's feed from the store is alive.
func (n *Node) StoreAlive() bool { return n.store.Alive }
