package claims

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// claimTimeout bounds the wait of an entry node for a verdict. It covers two
// hops inside a failure domain with a wide margin.
const claimTimeout = 250 * time.Millisecond

// Send is a message for a peer.
type Send struct {
	To      mesh.HostID
	Message Message
}

// CallVerdict is the verdict for a call that waits at its entry node.
type CallVerdict struct {
	Call    mesh.CallID
	Verdict Verdict
}

// Item is a view for the distribution tree, which delivers it to all nodes.
// Step orders the versions of the view, and Value is the value of the platform
// row.
type Item struct {
	Key   string
	Step  uint64
	Value []byte
}

// Effects collects the effects of a step.
type Effects struct {
	Sends    []Send
	Verdicts []CallVerdict
	Platform []platform.Request
	Items    []Item
}

// Reset empties e but keeps the allocated memory.
func (e *Effects) Reset() {
	e.Sends = e.Sends[:0]
	e.Verdicts = e.Verdicts[:0]
	e.Platform = e.Platform[:0]
	e.Items = e.Items[:0]
}

// pendingClaim is a claim that waits for its verdict.
type pendingClaim struct {
	call     mesh.CallID
	id       Identity
	primary  mesh.HostID
	deadline mesh.Time
}

// heldGrant is a granted claim whose call has not ended.
type heldGrant struct {
	id     Identity
	ticket Ticket
}

// State is the claim state of one node as entry node, as member of shards and
// as manager.
type State struct {
	self    Replica
	domain  mesh.FailureDomain
	views   map[mesh.FailureDomain]*View
	owned   [ShardCount]*ownedShard
	manager manager

	// lastTicket is the number of the latest ticket. pending is keyed by ticket
	// number.
	lastTicket uint64
	pending    map[uint64]pendingClaim
	grants     map[mesh.CallID]heldGrant
	stopped    bool
	// leaving is set by Leave. sendLeavingAt is the earliest time of the next
	// MsgLeaving.
	leaving       bool
	sendLeavingAt mesh.Time
	// localMessages holds messages from this node to itself until they are
	// handled at the end of the step.
	localMessages []Message
}

// New returns the claim state of the process self in a failure domain.
func New(self Replica, domain mesh.FailureDomain) *State {
	return &State{
		self:    self,
		domain:  domain,
		views:   make(map[mesh.FailureDomain]*View),
		pending: make(map[uint64]pendingClaim),
		grants:  make(map[mesh.CallID]heldGrant),
		manager: manager{leaving: make(map[Replica]bool)},
	}
}

// Claim requests a grant to run a request. The verdict is an effect of this
// step or of a later one.
func (s *State) Claim(now mesh.Time, call mesh.CallID, id Identity, out *Effects) {
	view := s.views[id.Home]
	if view == nil || view.Shards[id.Shard()].Epoch == 0 {
		out.Verdicts = append(out.Verdicts, CallVerdict{Call: call, Verdict: VerdictUnavailable})
		return
	}
	shard := &view.Shards[id.Shard()]
	s.lastTicket++
	s.pending[s.lastTicket] = pendingClaim{call: call, id: id, primary: shard.Primary.Host, deadline: now.Add(claimTimeout)}
	s.send(out, shard.Primary.Host, Message{
		Kind: MsgClaim, Domain: id.Home, Shard: id.Shard(), Epoch: shard.Epoch,
		ID: id, Ticket: Ticket{Requester: s.self, Number: s.lastTicket},
	})
	s.deliverLocal(now, out)
}

// Release returns the grant of a call whose request definitely did not run, so
// that a resend may run it.
func (s *State) Release(now mesh.Time, call mesh.CallID, out *Effects) {
	g, ok := s.grants[call]
	if !ok {
		return
	}
	delete(s.grants, call)
	s.sendRelease(out, g.id, g.ticket)
	s.deliverLocal(now, out)
}

// Finish drops the entry node's state of the grant of a call that ran or may
// have run. The record at the shard stays.
func (s *State) Finish(call mesh.CallID) { delete(s.grants, call) }

// Open returns the number of claims without a verdict and of grants whose call
// has not ended.
func (s *State) Open() int { return len(s.pending) + len(s.grants) }

// leaveInterval is the pause between repeated MsgLeaving.
const leaveInterval = 200 * time.Millisecond

// Leave asks the managers to move this node's shards to other replicas. The
// node keeps serving them until a new view no longer names it, or until Stop.
func (s *State) Leave() { s.leaving = true }

// OwnsShards reports whether this node is a member of a shard.
func (s *State) OwnsShards() bool {
	for _, o := range s.owned {
		if o != nil {
			return true
		}
	}
	return false
}

func (s *State) tickLeaving(now mesh.Time, out *Effects) {
	if !s.leaving || s.stopped || now < s.sendLeavingAt {
		return
	}
	s.sendLeavingAt = now.Add(leaveInterval)
	for _, host := range s.manager.hosts {
		s.send(out, host, Message{Kind: MsgLeaving, Domain: s.domain})
	}
}

// handleLeaving marks a replica as leaving. The manager acts on it without
// delay, because the replica waits for the next view.
func (s *State) handleLeaving(now mesh.Time, m *Message) {
	if m.Domain != s.domain || s.manager.leaving[m.From] {
		return
	}
	s.manager.leaving[m.From] = true
	s.manager.actAt = min(s.manager.actAt, now)
}

// Stop ends this node's membership in its shards before the node leaves. The
// node grants nothing afterwards, so that its membership state "left" proves to
// the manager that the old view can grant nothing any more.
func (s *State) Stop() {
	s.stopped = true
	s.owned = [ShardCount]*ownedShard{}
}

// Receive handles a message from a peer.
func (s *State) Receive(now mesh.Time, m *Message, out *Effects) {
	s.handle(now, m, out)
	s.deliverLocal(now, out)
}

// Tick expires claims and records and, on the manager, proposes view changes.
func (s *State) Tick(now mesh.Time, dir Directory, isManager bool, out *Effects) {
	s.expireClaims(now, out)
	s.tickOwned(now, out)
	s.tickLeaving(now, out)
	s.tickManager(now, dir, isManager, out)
	s.deliverLocal(now, out)
}

// SetView adopts a view that the distribution tree or the platform delivered,
// unless the node has the same or a later one. Errors are of type ErrView.
func (s *State) SetView(value []byte) error {
	v, err := DecodeView(value)
	if err != nil {
		return err
	}
	s.adopt(v)
	return nil
}

func (s *State) adopt(v *View) {
	if current := s.views[v.Domain]; current != nil && current.Step() >= v.Step() {
		return
	}
	s.views[v.Domain] = v
	if v.Domain != s.domain || s.stopped {
		return
	}
	for i := range v.Shards {
		s.owned[i] = s.owned[i].withView(s.self, &v.Shards[i])
	}
}

func (s *State) handle(now mesh.Time, m *Message, out *Effects) {
	if m.Shard < 0 || m.Shard >= ShardCount {
		return
	}
	switch m.Kind {
	case MsgClaim:
		s.handleClaim(now, m, out)
	case MsgVerdict:
		s.handleVerdict(m, out)
	case MsgRelease:
		s.handleRelease(m, out)
	case MsgReplicate:
		s.handleReplicate(m, out)
	case MsgAck:
		s.handleAck(m, out)
	case MsgSynced:
		s.manager.syncReports[m.Shard] = syncReport{epoch: m.Epoch, primary: m.From}
	case MsgLeaving:
		s.handleLeaving(now, m)
	}
}

func (s *State) handleVerdict(m *Message, out *Effects) {
	p, ok := s.pending[m.Ticket.Number]
	if !ok || m.Ticket.Requester != s.self {
		return // the claim has timed out and was released
	}
	delete(s.pending, m.Ticket.Number)
	if m.Verdict == VerdictGranted {
		s.grants[p.call] = heldGrant{id: p.id, ticket: m.Ticket}
	}
	out.Verdicts = append(out.Verdicts, CallVerdict{Call: p.call, Verdict: m.Verdict})
}

func (s *State) expireClaims(now mesh.Time, out *Effects) {
	for _, number := range sortedKeys(s.pending) {
		p := s.pending[number]
		if now < p.deadline {
			continue
		}
		delete(s.pending, number)
		s.sendRelease(out, p.id, Ticket{Requester: s.self, Number: number})
		out.Verdicts = append(out.Verdicts, CallVerdict{Call: p.call, Verdict: VerdictUnavailable})
	}
}

func (s *State) sendRelease(out *Effects, id Identity, t Ticket) {
	view := s.views[id.Home]
	if view == nil {
		return
	}
	shard := &view.Shards[id.Shard()]
	s.send(out, shard.Primary.Host, Message{
		Kind: MsgRelease, Domain: id.Home, Shard: id.Shard(), Epoch: shard.Epoch, ID: id, Ticket: t,
	})
}

// send queues a message. A message to this node itself is handled within the
// step.
func (s *State) send(out *Effects, to mesh.HostID, m Message) {
	m.From = s.self
	if to == s.self.Host {
		s.localMessages = append(s.localMessages, m)
		return
	}
	out.Sends = append(out.Sends, Send{To: to, Message: m})
}

func (s *State) deliverLocal(now mesh.Time, out *Effects) {
	for len(s.localMessages) > 0 {
		m := s.localMessages[0]
		s.localMessages = s.localMessages[1:]
		s.handle(now, &m, out)
	}
	s.localMessages = nil
}
