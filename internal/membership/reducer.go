// Package membership keeps the records of all hosts of the mesh: whether a host
// is alive, its addresses and its backend servers. The order of the live members
// defines an implicit tree that heartbeats and configuration pushes follow.
//
// It is a pure reducer. Time and random seeds are arguments, messages and changes
// are appended to an Output, and iteration order is deterministic.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval = time.Second
	// readerDelay is the time for which a node must be among the first members
	// before it polls the platform.
	readerDelay = time.Second
	// maxTickGap is the longest time between two ticks in normal operation.
	// After a longer gap this process itself was paused, and the silence of the
	// neighbours during the pause does not mean that they failed.
	maxTickGap = time.Second
)

// Settings describe the local host.
type Settings struct {
	Host   mesh.HostID
	Domain mesh.FailureDomain
	// ControlAddr and CallAddr are "ip:port".
	ControlAddr string
	CallAddr    string
	// Incarnation is the start time of the process in nanoseconds.
	Incarnation mesh.Incarnation
	// Seeds are control addresses of nodes to join through. The local address
	// may be among them.
	Seeds []string
}

// Announcement is the announcement of a backend server on the local host.
type Announcement struct {
	Backend
	// Addr is the backend server's own address, used by the local gate only.
	Addr string
	// Lease is the time for which the announcement is valid.
	Lease time.Duration
}

// Reducer holds the membership state of one node.
type Reducer struct {
	settings Settings
	table    *table
	outboxes outboxes
	backends []localBackend

	now     mesh.Time
	started mesh.Time
	// heartbeatRounds counts the heartbeat rounds; nextHeartbeat is the time of
	// the next one.
	heartbeatRounds int
	nextHeartbeat   mesh.Time
	// exchanges lists the peers that the latest Tick sent a heartbeat or an
	// exchange to.
	exchanges []mesh.HostID

	join     joinState
	assigned assignment
	// readerSince is the time since which the node has been among the first
	// members, or zero.
	readerSince mesh.Time

	// neighbours are the parent and the children; links has the state of all
	// peers that Links returns. treeDirty is set when neighbours must be
	// recomputed.
	neighbours []mesh.HostID
	links      map[mesh.HostID]*link
	treeDirty  bool
	// lastReceived is the time of the latest message from any host.
	lastReceived mesh.Time

	ring         ringLink
	inbound      inboundLinks
	reachability map[mesh.FailureDomain]*reachability
	// probedDomain is the failure domain of the latest remote exchange.
	probedDomain mesh.FailureDomain
	// unreachable is the set of failure domains that cannot be reached.
	unreachable map[mesh.FailureDomain]bool

	// lastChange is the time at which a record last changed.
	lastChange mesh.Time
	// nextRepair is the earliest time at which this node starts another repair
	// of all failure domains.
	nextRepair mesh.Time
	// nextDomainRequest is the earliest time at which this node requests all
	// records of a failure domain again.
	nextDomainRequest map[mesh.FailureDomain]mesh.Time

	// retired holds, by host, the records that are no longer sent to peers.
	retired    map[mesh.HostID]*Record
	nextRetire mesh.Time

	// left is set by Leave, expelled once an operator has declared this host
	// lost.
	left     bool
	expelled bool
	// supersedes decides whether a received record replaces a known one. A test
	// replaces it to show that the rule is needed.
	supersedes func(next, known *Record) bool
}

// New returns the reducer of a node that has not joined yet.
func New(s Settings) *Reducer {
	r := &Reducer{
		settings:          s,
		table:             newTable(),
		outboxes:          outboxes{byPeer: make(map[mesh.HostID]*outbox)},
		links:             make(map[mesh.HostID]*link),
		reachability:      make(map[mesh.FailureDomain]*reachability),
		unreachable:       make(map[mesh.FailureDomain]bool),
		nextDomainRequest: make(map[mesh.FailureDomain]mesh.Time),
		retired:           make(map[mesh.HostID]*Record),
		treeDirty:         true,
		supersedes:        (*Record).Supersedes,
	}
	r.inbound.lastHeartbeat = make(map[mesh.HostID]mesh.Time)
	r.join.seeds = otherSeeds(s)
	r.table.put(&Record{
		Host: s.Host, Domain: s.Domain, ControlAddr: s.ControlAddr, CallAddr: s.CallAddr,
		Incarnation: s.Incarnation, Started: s.Incarnation, State: Alive,
	})
	return r
}

// Self returns the record of the local host.
func (r *Reducer) Self() *Record { return r.table.records[r.settings.Host] }

// Expelled reports whether an operator has declared this host lost. The node
// must stop.
func (r *Reducer) Expelled() bool { return r.expelled }

// stopped reports whether the reducer takes no further part in the mesh.
func (r *Reducer) stopped() bool { return r.left || r.expelled }

// random returns the source for the random choices of one step. It is seeded
// with the host too, since several nodes may receive the same seed.
func (r *Reducer) random(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(r.settings.Host))))
}

// Tick advances time to now: it expires leases, joins, sends heartbeats and
// pending records, and detects failures.
func (r *Reducer) Tick(now mesh.Time, seed uint64, out *Output) {
	r.exchanges = r.exchanges[:0]
	if r.stopped() {
		return
	}
	r.observeTime(now)
	rng := r.random(seed)
	r.expireBackends(now, out)
	r.tickRetire(now)
	r.tickJoin(now, rng, out)
	r.updateReader(now)
	r.expireAssignment(now)
	r.updateLinks(now)
	r.outboxes.refill(now)
	if now >= r.nextHeartbeat {
		r.heartbeatRound(now, rng, out)
	}
	r.detect(now, out)
	r.flush(out)
}

// observeTime stores the time and restarts failure detection after a pause of
// the process.
func (r *Reducer) observeTime(now mesh.Time) {
	if r.started == 0 {
		r.started, r.nextHeartbeat, r.outboxes.lastRefill, r.lastReceived = now, now, now, now
	} else if now.Sub(r.now) > maxTickGap {
		r.restartDetection(now)
	}
	r.now = now
}

// heartbeatRound sends the heartbeats and exchanges of one round.
func (r *Reducer) heartbeatRound(now mesh.Time, rng *rand.Rand, out *Output) {
	r.heartbeatRounds++
	r.nextHeartbeat = max(r.nextHeartbeat.Add(HeartbeatInterval), now.Add(HeartbeatInterval/2))
	if parent, ok := r.Parent(); ok {
		r.contact(parent, KindHeartbeat, out)
	}
	r.heartbeatRing(now, out)
	r.exchangeLocal(rng, out)
	r.exchangeRemote(now, rng, out)
}

// contact sends a heartbeat or an exchange with pending records for the peer.
func (r *Reducer) contact(peer mesh.HostID, kind MessageKind, out *Output) {
	if l, ok := r.links[peer]; ok {
		l.lastSent = r.now
	}
	r.exchanges = append(r.exchanges, peer)
	m := Message{Kind: kind, Digest: r.table.digest, Records: r.dequeueRecords(peer)}
	r.send(peer, m, out)
}

func (r *Reducer) send(peer mesh.HostID, m Message, out *Output) {
	addr, ok := r.Addr(peer)
	if !ok {
		return
	}
	out.Sends = append(out.Sends, Send{To: peer, Addr: addr, Message: m})
}

// Receive handles a message of a peer. incarnation is that of the sender at the
// time of sending; of a message of an earlier process only the records are used.
func (r *Reducer) Receive(now mesh.Time, from mesh.HostID, incarnation mesh.Incarnation, m *Message, out *Output) {
	if r.stopped() || from == r.settings.Host {
		return
	}
	for i := range m.Records {
		r.merge(now, from, &m.Records[i], out)
	}
	sender := r.table.records[from]
	if sender != nil && incarnation < sender.Started {
		return
	}
	if sender != nil && sender.State != Alive && incarnation <= sender.Incarnation {
		r.sendRecord(from, sender, out)
	}
	if r.expelled || (sender != nil && sender.State == Forgotten) {
		return
	}
	r.recordReceived(now, from, sender)
	r.dispatch(now, from, m, out)
}

func (r *Reducer) dispatch(now mesh.Time, from mesh.HostID, m *Message, out *Output) {
	switch m.Kind {
	case KindHeartbeat, KindExchange:
		r.sendReply(now, from, m, out)
	case KindHeartbeatReply:
		r.handleReply(now, from, m, out)
	case KindJoin:
		r.sendJoinReply(from, out)
	case KindJoinReply:
		r.join.joined = true
	case KindRepair:
		r.handleRepair(now, from, m.Repair, out)
	}
}

// sendReply replies to a heartbeat or an exchange.
func (r *Reducer) sendReply(now mesh.Time, from mesh.HostID, m *Message, out *Output) {
	if m.Kind == KindHeartbeat {
		r.recordInboundLink(now, from)
	}
	reply := Message{Kind: KindHeartbeatReply, Digest: r.table.digest, Records: r.dequeueRecords(from)}
	if m.Kind == KindHeartbeat {
		reply.Unreachable = r.unreachableDomains()
		reply.Assignment, reply.Records = r.parentAssignmentFor(from, reply.Records)
	}
	reply.Repair = r.startRepair(now, from, m.Digest)
	r.send(from, reply, out)
}

func (r *Reducer) handleReply(now mesh.Time, from mesh.HostID, m *Message, out *Output) {
	r.acceptAssignment(now, m.Assignment)
	if l, ok := r.links[from]; ok && m.Digest == r.table.digest {
		l.synced, l.mismatchSince = true, 0
	}
	if parent, ok := r.Parent(); ok && parent == from && !r.IsReader() {
		r.adoptUnreachable(m.Unreachable)
	}
	if m.Repair != nil {
		r.handleRepair(now, from, m.Repair, out)
	}
}

// sendRecord sends one record to a peer immediately, without queueing it.
func (r *Reducer) sendRecord(peer mesh.HostID, rec *Record, out *Output) {
	r.send(peer, Message{Kind: KindDelta, Records: Batch{*rec}}, out)
}

// merge applies a record that a peer sent.
func (r *Reducer) merge(now mesh.Time, source mesh.HostID, rec *Record, out *Output) {
	if rec.Host == r.settings.Host {
		r.mergeSelf(source, rec, out)
		return
	}
	if r.rejectedByRetired(source, rec, out) {
		return
	}
	if rec.retirementDue(now) {
		r.retireReceived(rec, out)
		return
	}
	known := r.table.records[rec.Host]
	if known != nil && !r.supersedes(rec, known) {
		if known.Supersedes(rec) {
			r.outboxes.add(source, rec.Host, known.Domain == r.settings.Domain)
		} else {
			r.outboxes.remove(source, rec.Host)
		}
		return
	}
	r.replace(now, source, rec.clone(), out)
}

// replace stores a newer record and queues it for other peers. source is the peer
// that sent the record. It is empty or the local host for a change that this node
// made.
func (r *Reducer) replace(now mesh.Time, source mesh.HostID, rec *Record, out *Output) {
	old := r.table.put(rec)
	r.lastChange = now
	r.outboxes.remove(source, rec.Host)
	if rec.Domain == r.settings.Domain && (old == nil || old.Live() != rec.Live()) {
		r.treeDirty = true
	}
	out.Changes = append(out.Changes, Change{Old: old, New: rec})
	r.propagate(rec.Host, source)
}

// mergeSelf handles a record of the local host that a peer sent. If an operator
// has declared the host lost, the node is expelled. Any other record that
// supersedes the local one is false and is refuted with a higher incarnation.
func (r *Reducer) mergeSelf(source mesh.HostID, rec *Record, out *Output) {
	self := r.Self()
	if !rec.Supersedes(self) {
		if self.Supersedes(rec) && source != "" {
			r.outboxes.add(source, self.Host, true)
		}
		return
	}
	if rec.State == Forgotten {
		r.expelled = true
		r.replace(r.now, source, rec.clone(), out)
		return
	}
	r.updateSelf(out, func(next *Record) { next.Incarnation = rec.Incarnation + 1 })
	r.sendRecord(source, r.Self(), out)
}

// updateSelf replaces the local record and queues it for the peers.
func (r *Reducer) updateSelf(out *Output, change func(*Record)) {
	next := r.Self().clone()
	next.Revision++
	change(next)
	r.replace(r.now, r.settings.Host, next, out)
}

// SetEstablished records that the local node knows its version floor.
func (r *Reducer) SetEstablished(now mesh.Time, out *Output) {
	if !r.Self().Established {
		r.updateSelf(out, func(self *Record) { self.Established = true })
	}
}

// Leave announces to all links and to the readers of the local failure domain
// that the node stops. The reducer sends nothing afterwards.
func (r *Reducer) Leave(now mesh.Time, out *Output) {
	if r.stopped() {
		return
	}
	peers := r.Links()
	for _, reader := range r.Readers(r.settings.Domain) {
		if _, ok := r.links[reader]; !ok && reader != r.settings.Host {
			peers = append(peers, reader)
		}
	}
	r.updateSelf(out, func(self *Record) { *self = self.withState(now, Left) })
	for _, peer := range peers {
		r.sendRecord(peer, r.Self(), out)
	}
	r.left = true
}

// Forget declares a host permanently lost on behalf of an operator. The error
// is of type ErrUnknownHost if there is no record of the host.
func (r *Reducer) Forget(now mesh.Time, host mesh.HostID, out *Output) error {
	rec := r.table.records[host]
	if rec == nil {
		return ErrUnknownHost.New("cannot forget host %q: there is no record of it", host)
	}
	next := rec.withState(now, Forgotten)
	next.Incarnation = max(rec.Incarnation+1, mesh.Incarnation(now))
	if host == r.settings.Host {
		r.expelled = true
	}
	r.replace(now, r.settings.Host, &next, out)
	return nil
}
