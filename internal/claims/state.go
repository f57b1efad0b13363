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

// Item is a view that the distribution tree carries to all nodes. Value is the
// platform row's value.
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

// Reset empties e and keeps its memory.
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

// grant is a granted claim whose call has not ended.
type grant struct {
	id     Identity
	ticket Ticket
}

// State is the claim state of one node: as entry node, as member of shards and
// as the one that proposes view changes.
type State struct {
	self    Replica
	domain  mesh.FailureDomain
	views   map[mesh.FailureDomain]*View
	owned   [ShardCount]*ownedShard
	manager manager

	nextTicket uint64
	pending    map[uint64]pendingClaim
	grants     map[mesh.CallID]grant
	stopped    bool
	// leaving is set from Leave on; leaveAt is the time of the next MsgLeaving.
	leaving bool
	leaveAt mesh.Time
	// local holds messages from this node to itself within a step.
	local []Message
}

// New returns the claim state of the node self in a failure domain.
func New(self Replica, domain mesh.FailureDomain) *State {
	return &State{
		self:    self,
		domain:  domain,
		views:   make(map[mesh.FailureDomain]*View),
		pending: make(map[uint64]pendingClaim),
		grants:  make(map[mesh.CallID]grant),
		manager: manager{leaving: make(map[Replica]bool)},
	}
}

// Claim asks for the right to run a request. The verdict follows as an effect
// of this step or a later one.
func (s *State) Claim(now mesh.Time, call mesh.CallID, id Identity, out *Effects) {
	view := s.views[id.Home]
	if view == nil || view.Shards[id.Shard()].Epoch == 0 {
		out.Verdicts = append(out.Verdicts, CallVerdict{Call: call, Verdict: VerdictUnavailable})
		return
	}
	shard := &view.Shards[id.Shard()]
	s.nextTicket++
	s.pending[s.nextTicket] = pendingClaim{call: call, id: id, primary: shard.Primary.Host, deadline: now.Add(claimTimeout)}
	s.send(out, shard.Primary.Host, Message{
		Kind: MsgClaim, Domain: id.Home, Shard: id.Shard(), Epoch: shard.Epoch,
		ID: id, Ticket: Ticket{Asker: s.self, Number: s.nextTicket},
	})
	s.deliverLocal(now, out)
}

// Release gives a grant back because the request surely did not run, so that
// a resend may run it.
func (s *State) Release(now mesh.Time, call mesh.CallID, out *Effects) {
	g, ok := s.grants[call]
	if !ok {
		return
	}
	delete(s.grants, call)
	s.sendRelease(out, g.id, g.ticket)
	s.deliverLocal(now, out)
}

// Finish forgets the grant of a call that ran or may have run.
func (s *State) Finish(call mesh.CallID) { delete(s.grants, call) }

// Open returns the number of claims without a verdict and of grants whose call
// has not ended.
func (s *State) Open() int { return len(s.pending) + len(s.grants) }

// leaveInterval is the pause between repeated MsgLeaving.
const leaveInterval = 200 * time.Millisecond

// Leave asks the managers to give this node's shards to others. The node goes
// on serving them until a new view names it no more, or until Stop.
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
	if !s.leaving || s.stopped || now < s.leaveAt {
		return
	}
	s.leaveAt = now.Add(leaveInterval)
	for _, host := range s.manager.hosts {
		s.send(out, host, Message{Kind: MsgLeaving, Domain: s.domain})
	}
}

// handleLeaving notes a replica that stops soon. The next view follows at once,
// because the replica waits for it.
func (s *State) handleLeaving(now mesh.Time, m *Message) {
	if m.Domain != s.domain || s.manager.leaving[m.From] {
		return
	}
	s.manager.leaving[m.From] = true
	s.manager.actAt = min(s.manager.actAt, now)
}

// Stop ends this node's part in its shards before it leaves. It grants nothing
// afterwards, so that its record as left is proof for a new view.
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

// SetView adopts a view that the tree or the platform delivered, unless a
// later one is known. Errors are of type ErrView.
func (s *State) SetView(value []byte) error {
	v, err := DecodeView(value)
	if err != nil {
		return err
	}
	s.adopt(v)
	return nil
}

func (s *State) adopt(v *View) {
	if known := s.views[v.Domain]; known != nil && known.Step() >= v.Step() {
		return
	}
	s.views[v.Domain] = v
	if v.Domain != s.domain || s.stopped {
		return
	}
	for i := range v.Shards {
		s.owned[i] = s.owned[i].next(s.self, &v.Shards[i])
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
		s.manager.synced[m.Shard] = syncReport{epoch: m.Epoch, primary: m.From}
	case MsgLeaving:
		s.handleLeaving(now, m)
	}
}

func (s *State) handleVerdict(m *Message, out *Effects) {
	p, ok := s.pending[m.Ticket.Number]
	if !ok || m.Ticket.Asker != s.self {
		return // the claim has timed out and was released
	}
	delete(s.pending, m.Ticket.Number)
	if m.Verdict == VerdictGranted {
		s.grants[p.call] = grant{id: p.id, ticket: m.Ticket}
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
		s.sendRelease(out, p.id, Ticket{Asker: s.self, Number: number})
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

// send queues a message; one to this node itself is handled within the step.
func (s *State) send(out *Effects, to mesh.HostID, m Message) {
	m.From = s.self
	if to == s.self.Host {
		s.local = append(s.local, m)
		return
	}
	out.Sends = append(out.Sends, Send{To: to, Message: m})
}

func (s *State) deliverLocal(now mesh.Time, out *Effects) {
	for len(s.local) > 0 {
		m := s.local[0]
		s.local = s.local[1:]
		s.handle(now, &m, out)
	}
	s.local = nil
}
