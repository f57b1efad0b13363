package claims

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Limits of the members of a shard.
const (
	// ackTimeout bounds the wait of a primary for its backup. It is shorter
	// than claimTimeout, so that the entry node still gets a verdict.
	ackTimeout = 150 * time.Millisecond
	// resendInterval is the pause before a copy that was not acknowledged is
	// sent again.
	resendInterval = 500 * time.Millisecond
	// copyBatch is the number of records in one message of a copy. At about 60
	// bytes a record it stays under the control budget of 11 KB/s.
	copyBatch = 100
	// maxRecords bounds the memory of a shard; at about 120 bytes a record in
	// memory it is under 8 MB.
	maxRecords = 65536
	// sweepInterval is the pause between removals of expired records.
	sweepInterval = 10 * time.Second
)

// waitingClaim is a claim whose record the backup has not acknowledged.
type waitingClaim struct {
	id       Identity
	ticket   Ticket
	deadline mesh.Time
}

// ownedShard is a shard of which this node is primary or backup.
type ownedShard struct {
	view    Shard
	primary bool
	records map[Identity]Record

	nextSeq uint64
	waiting map[uint64]waitingClaim
	copying recordCopy
	sweepAt mesh.Time
}

// recordCopy is the transfer of all records to a joining backup.
type recordCopy struct {
	remaining []Identity
	seq       uint64 // of the batch in flight, 0 for none
	batch     []Identity
	sentAt    mesh.Time
	// reported is set once the backup may become a full member. From then on
	// each grant waits for the backup.
	reported   bool
	reportedAt mesh.Time
}

// next returns the state under a later view, or nil if this node is not a
// member. Records are kept only by a member that was full all along, or by a
// backup that becomes full within its epoch.
func (o *ownedShard) next(self Replica, v *Shard) *ownedShard {
	primary := v.Primary == self
	if !primary && v.Backup != self {
		return nil
	}
	if o != nil && o.view.Epoch == v.Epoch {
		o.view = *v
		return o
	}
	n := &ownedShard{view: *v, primary: primary, waiting: make(map[uint64]waitingClaim)}
	if o != nil && o.view.Since == v.Since && v.full(self) {
		n.records, n.nextSeq = o.records, o.nextSeq
	} else {
		n.records = make(map[Identity]Record)
	}
	if primary && v.Joining {
		n.copying.remaining = sortedIdentities(n.records)
	}
	return n
}

// member returns the shard if this node has the given role in the message's
// epoch.
func (s *State) member(m *Message, primary bool) *ownedShard {
	if m.Domain != s.domain {
		return nil
	}
	o := s.owned[m.Shard]
	if o == nil || o.primary != primary || o.view.Epoch != m.Epoch {
		return nil
	}
	return o
}

func (s *State) handleClaim(now mesh.Time, m *Message, out *Effects) {
	o := s.member(m, true)
	if o == nil || m.ID.Home != s.domain || m.ID.Shard() != m.Shard {
		s.reply(out, m, VerdictUnavailable)
		return
	}
	if o.isWaiting(m.Ticket) {
		return // a repeated message; a second wait could release the grant of the first
	}
	verdict, decided := o.judge(now, m.ID, m.Ticket)
	if decided {
		s.reply(out, m, verdict)
		return
	}
	o.change(m.ID, Granted, m.Ticket)
	seq := s.replicate(out, m.Shard, []Identity{m.ID})
	if seq == 0 || !o.needsAck() {
		s.reply(out, m, VerdictGranted)
		return
	}
	o.waiting[seq] = waitingClaim{id: m.ID, ticket: m.Ticket, deadline: now.Add(ackTimeout)}
}

// judge decides a claim from the identity's time and record. It reports false
// if the claim may be granted.
func (o *ownedShard) judge(now mesh.Time, id Identity, t Ticket) (Verdict, bool) {
	created := id.Created()
	switch {
	case created > now.Add(MaxFuture+ClockSkew):
		return VerdictFuture, true
	case created > now.Add(MaxFuture):
		return VerdictUnavailable, true
	case created < now.Add(-Window):
		return VerdictDuplicate, true
	}
	record, known := o.records[id]
	switch {
	case known && record.State == Granted && record.Ticket == t:
		return VerdictGranted, true
	case known && record.State == Granted:
		return VerdictDuplicate, true
	case !known && created <= o.view.Since.Add(MaxFuture+ClockSkew):
		// The shard started without records after this identity was created.
		return VerdictDuplicate, true
	case !known && len(o.records) >= maxRecords:
		return VerdictUnavailable, true
	}
	return 0, false
}

func (o *ownedShard) isWaiting(t Ticket) bool {
	for _, w := range o.waiting {
		if w.ticket == t {
			return true
		}
	}
	return false
}

// needsAck reports whether a grant must wait for the backup.
func (o *ownedShard) needsAck() bool { return !o.view.Joining || o.copying.reported }

// change records a new state of an identity at the primary.
func (o *ownedShard) change(id Identity, state RecordState, t Ticket) {
	o.records[id] = Record{ID: id, State: state, Ticket: t, Epoch: o.view.Epoch, Revision: o.records[id].Revision + 1}
}

// put stores a record from the primary unless a later one is known.
func (o *ownedShard) put(r Record) {
	if old, ok := o.records[r.ID]; ok && !r.newer(&old) {
		return
	}
	o.records[r.ID] = r
}

// replicate sends records to the backup and returns the sequence number to
// wait for, or 0 if the shard has no backup.
func (s *State) replicate(out *Effects, shard int, ids []Identity) uint64 {
	o := s.owned[shard]
	if o.view.Backup == (Replica{}) {
		return 0
	}
	records := make([]Record, 0, len(ids))
	for _, id := range ids {
		if r, ok := o.records[id]; ok {
			records = append(records, r)
		}
	}
	o.nextSeq++
	s.send(out, o.view.Backup.Host, Message{
		Kind: MsgReplicate, Domain: s.domain, Shard: shard, Epoch: o.view.Epoch,
		Seq: o.nextSeq, Records: records,
	})
	return o.nextSeq
}

func (s *State) handleReplicate(m *Message, out *Effects) {
	o := s.member(m, false)
	if o == nil || m.From != o.view.Primary {
		return // the primary is not the one of the view that this node knows
	}
	for _, r := range m.Records {
		o.put(r)
	}
	s.send(out, m.From.Host, Message{Kind: MsgAck, Domain: s.domain, Shard: m.Shard, Epoch: m.Epoch, Seq: m.Seq})
}

func (s *State) handleAck(m *Message, out *Effects) {
	o := s.member(m, true)
	if o == nil || m.From != o.view.Backup {
		return
	}
	if w, ok := o.waiting[m.Seq]; ok {
		delete(o.waiting, m.Seq)
		s.verdict(out, m.Shard, w.id, w.ticket, VerdictGranted)
	}
	if m.Seq == o.copying.seq {
		o.copying.seq, o.copying.batch = 0, nil
	}
}

func (s *State) handleRelease(m *Message, out *Effects) {
	// The epoch does not matter: the ticket names the grant.
	if o := s.owned[m.Shard]; m.Domain == s.domain && o != nil && o.primary {
		s.release(m.Shard, m.ID, m.Ticket, out)
	}
}

// release marks a granted record as surely not run. The ticket keeps a late
// release from undoing a later grant.
func (s *State) release(shard int, id Identity, t Ticket, out *Effects) {
	o := s.owned[shard]
	r, ok := o.records[id]
	if !ok || r.State != Granted || r.Ticket != t {
		return
	}
	o.change(id, Released, t)
	s.replicate(out, shard, []Identity{id})
}

func (s *State) reply(out *Effects, m *Message, v Verdict) {
	s.send(out, m.Ticket.Asker.Host, Message{
		Kind: MsgVerdict, Domain: m.Domain, Shard: m.Shard, ID: m.ID, Ticket: m.Ticket, Verdict: v,
	})
}

func (s *State) verdict(out *Effects, shard int, id Identity, t Ticket, v Verdict) {
	s.send(out, t.Asker.Host, Message{
		Kind: MsgVerdict, Domain: s.domain, Shard: shard, ID: id, Ticket: t, Verdict: v,
	})
}

// tickOwned times out claims that wait for a backup, continues copies and
// removes expired records.
func (s *State) tickOwned(now mesh.Time, out *Effects) {
	for i, o := range s.owned {
		if o == nil {
			continue
		}
		for _, seq := range sortedKeys(o.waiting) {
			s.timeOutWaiting(now, i, seq, out)
		}
		if o.primary && o.view.Joining {
			s.continueCopy(now, i, out)
		}
		o.sweep(now)
	}
}

// timeOutWaiting gives up a grant that the backup did not acknowledge. The
// entry node has no grant, so the record can be released.
func (s *State) timeOutWaiting(now mesh.Time, shard int, seq uint64, out *Effects) {
	o := s.owned[shard]
	w := o.waiting[seq]
	if now < w.deadline {
		return
	}
	delete(o.waiting, seq)
	s.release(shard, w.id, w.ticket, out)
	s.verdict(out, shard, w.id, w.ticket, VerdictUnavailable)
}

func (s *State) continueCopy(now mesh.Time, shard int, out *Effects) {
	c := &s.owned[shard].copying
	switch {
	case c.seq != 0 && now.Sub(c.sentAt) >= resendInterval:
		c.seq, c.sentAt = s.replicate(out, shard, c.batch), now
	case c.seq != 0:
	case len(c.remaining) > 0:
		n := min(copyBatch, len(c.remaining))
		c.batch, c.remaining = c.remaining[:n], c.remaining[n:]
		c.seq, c.sentAt = s.replicate(out, shard, c.batch), now
	case !c.reported || now.Sub(c.reportedAt) >= resendInterval:
		s.reportSynced(now, shard, out)
	}
}

// reportSynced asks the manager to make the backup a full member. Grants that
// were sent without waiting may be missing at the backup, so they are copied
// first.
func (s *State) reportSynced(now mesh.Time, shard int, out *Effects) {
	o := s.owned[shard]
	if !o.copying.reported {
		o.copying.reported = true
		o.copying.remaining = sortedIdentities(o.records)
		if len(o.copying.remaining) > 0 {
			return
		}
	}
	o.copying.reportedAt = now
	for _, host := range s.manager.hosts {
		s.send(out, host, Message{Kind: MsgSynced, Domain: s.domain, Shard: shard, Epoch: o.view.Epoch})
	}
}

// sweep removes records that judge would answer by age alone at any node.
func (o *ownedShard) sweep(now mesh.Time) {
	if now < o.sweepAt {
		return
	}
	o.sweepAt = now.Add(sweepInterval)
	oldest := now.Add(-Window - 2*ClockSkew)
	for id := range o.records {
		if id.Created() < oldest {
			delete(o.records, id)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func sortedIdentities(m map[Identity]Record) []Identity {
	return slices.SortedFunc(maps.Keys(m), func(a, b Identity) int {
		return slices.Compare(a.UUID[:], b.UUID[:])
	})
}
