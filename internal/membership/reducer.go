// Package membership keeps the records of all hosts of the mesh: who is
// alive, where it is reached, which backend servers it has, and the implicit
// tree that heartbeats and configuration pushes follow.
//
// It is a pure reducer. Time and seeds are arguments, messages and changes
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
	// After a longer pause the silence of the neighbours proves nothing.
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
	// Lease is the time for which the announcement holds.
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
	// beats counts heartbeat rounds; nextBeat is the time of the next one.
	beats     int
	nextBeat  mesh.Time
	exchanges []mesh.HostID

	join        joinState
	assigned    assignment
	readerSince mesh.Time

	// neighbours are the parent and the children; links has their state.
	neighbours []mesh.HostID
	links      map[mesh.HostID]*link
	treeDirty  bool
	// lastHeard is the time of the latest message from any host.
	lastHeard mesh.Time

	ring        ringLink
	inbound     inboundLinks
	reach       map[mesh.FailureDomain]*reachability
	probed      mesh.FailureDomain
	unreachable map[mesh.FailureDomain]bool

	// lastChange is the time at which a record last changed.
	lastChange  mesh.Time
	nextRepair  mesh.Time
	wantedUntil map[mesh.FailureDomain]mesh.Time

	// retired holds records that are no longer shared, by host.
	retired    map[mesh.HostID]*Record
	nextRetire mesh.Time

	left     bool
	expelled bool
	// supersedes decides whether a received record replaces a known one. Tests
	// switch the rule off.
	supersedes func(next, known *Record) bool
}

// New returns the reducer of a node that has not joined yet.
func New(s Settings) *Reducer {
	r := &Reducer{
		settings:    s,
		table:       newTable(),
		outboxes:    outboxes{boxes: make(map[mesh.HostID]*outbox)},
		links:       make(map[mesh.HostID]*link),
		reach:       make(map[mesh.FailureDomain]*reachability),
		unreachable: make(map[mesh.FailureDomain]bool),
		wantedUntil: make(map[mesh.FailureDomain]mesh.Time),
		retired:     make(map[mesh.HostID]*Record),
		treeDirty:   true,
		supersedes:  (*Record).Supersedes,
	}
	r.inbound.seen = make(map[mesh.HostID]mesh.Time)
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

// random returns the source for the random choices of one step. The host is
// mixed in, as nodes may be given equal seeds.
func (r *Reducer) random(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(r.settings.Host))))
}

// Tick advances time: joins, heartbeats, failure detection, expiry of leases
// and sending of pending records.
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
	r.expirePlace(now)
	r.updateLinks(now)
	r.outboxes.fill(now)
	if now >= r.nextBeat {
		r.beat(now, rng, out)
	}
	r.detect(now, out)
	r.flush(out)
}

// observeTime stores the time and restarts failure detection after a pause of
// the process.
func (r *Reducer) observeTime(now mesh.Time) {
	if r.started == 0 {
		r.started, r.nextBeat, r.outboxes.filled, r.lastHeard = now, now, now, now
	} else if now.Sub(r.now) > maxTickGap {
		r.restartDetection(now)
	}
	r.now = now
}

// beat sends the heartbeats and exchanges of one round.
func (r *Reducer) beat(now mesh.Time, rng *rand.Rand, out *Output) {
	r.beats++
	r.nextBeat = max(r.nextBeat.Add(HeartbeatInterval), now.Add(HeartbeatInterval/2))
	if parent, ok := r.Parent(); ok {
		r.contact(parent, KindHeartbeat, out)
	}
	r.beatRing(now, out)
	r.exchangeLocal(rng, out)
	r.exchangeRemote(now, rng, out)
}

// contact sends a heartbeat or an exchange with the records that are due.
func (r *Reducer) contact(peer mesh.HostID, kind MessageKind, out *Output) {
	if l, ok := r.links[peer]; ok {
		l.probed = r.now
	}
	r.exchanges = append(r.exchanges, peer)
	m := Message{Kind: kind, Digest: r.table.digest, Records: r.takeRecords(peer)}
	r.send(peer, m, out)
}

func (r *Reducer) send(peer mesh.HostID, m Message, out *Output) {
	addr, ok := r.Addr(peer)
	if !ok {
		return
	}
	out.Sends = append(out.Sends, Send{To: peer, Addr: addr, Message: m})
}

// Receive handles a message of a peer. Incarnation is that of the sender at
// the time of sending; messages of an earlier process are ignored.
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
	r.heard(now, from, sender)
	r.dispatch(now, from, m, out)
}

func (r *Reducer) dispatch(now mesh.Time, from mesh.HostID, m *Message, out *Output) {
	switch m.Kind {
	case KindHeartbeat, KindExchange:
		r.answer(now, from, m, out)
	case KindHeartbeatReply:
		r.acceptReply(now, from, m, out)
	case KindJoin:
		r.answerJoin(from, out)
	case KindJoinReply:
		r.join.done = true
	case KindRepair:
		r.repair(now, from, m.Repair, out)
	}
}

// answer replies to a heartbeat or an exchange.
func (r *Reducer) answer(now mesh.Time, from mesh.HostID, m *Message, out *Output) {
	if m.Kind == KindHeartbeat {
		r.noteInbound(now, from)
	}
	reply := Message{Kind: KindHeartbeatReply, Digest: r.table.digest, Records: r.takeRecords(from)}
	if m.Kind == KindHeartbeat {
		reply.Unreachable = r.unreachableDomains()
		reply.Place, reply.Records = r.placeOf(from, reply.Records)
	}
	reply.Repair = r.offerRepair(now, from, m.Digest)
	r.send(from, reply, out)
}

func (r *Reducer) acceptReply(now mesh.Time, from mesh.HostID, m *Message, out *Output) {
	r.acceptPlace(now, m.Place)
	if l, ok := r.links[from]; ok && m.Digest == r.table.digest {
		l.synced, l.mismatchSince = true, 0
	}
	if parent, ok := r.Parent(); ok && parent == from && !r.IsReader() {
		r.adoptUnreachable(m.Unreachable)
	}
	if m.Repair != nil {
		r.repair(now, from, m.Repair, out)
	}
}

// sendRecord tells a peer about one record at once.
func (r *Reducer) sendRecord(peer mesh.HostID, rec *Record, out *Output) {
	r.send(peer, Message{Kind: KindDelta, Records: Batch{*rec}}, out)
}

// merge takes a record that a peer sent.
func (r *Reducer) merge(now mesh.Time, source mesh.HostID, rec *Record, out *Output) {
	if rec.Host == r.settings.Host {
		r.mergeSelf(source, rec, out)
		return
	}
	if r.refused(source, rec, out) {
		return
	}
	if rec.due(now) {
		r.takeEnded(rec, out)
		return
	}
	known := r.table.records[rec.Host]
	if known != nil && !r.supersedes(rec, known) {
		if known.Supersedes(rec) {
			r.outboxes.add(source, rec.Host, known.Domain == r.settings.Domain)
		} else {
			r.outboxes.forget(source, rec.Host)
		}
		return
	}
	r.replace(now, source, rec.clone(), out)
}

// replace stores a newer record and passes it on.
func (r *Reducer) replace(now mesh.Time, source mesh.HostID, rec *Record, out *Output) {
	old := r.table.put(rec)
	r.lastChange = now
	r.outboxes.forget(source, rec.Host)
	if rec.Domain == r.settings.Domain && (old == nil || old.Live() != rec.Live()) {
		r.treeDirty = true
	}
	out.Changes = append(out.Changes, Change{Old: old, New: rec})
	r.spread(rec.Host, source)
}

// mergeSelf refutes a report about the local host that is not true of this
// process.
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

// updateSelf replaces the local record and spreads it.
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

// Leave announces to the neighbours and the readers of the failure domain that
// the node stops. The reducer sends nothing afterwards.
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
		return ErrUnknownHost.New("there is no record of host %q", host)
	}
	next := rec.withState(now, Forgotten)
	next.Incarnation = max(rec.Incarnation+1, mesh.Incarnation(now))
	if host == r.settings.Host {
		r.expelled = true
	}
	r.replace(now, r.settings.Host, &next, out)
	return nil
}
