package claims

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Timing and limits of the members of a shard.
const (
	// ackTimeout bounds how long a primary waits for the acknowledgement of its
	// backup. It is shorter than claimTimeout, so that the entry node still
	// gets a verdict.
	ackTimeout = 150 * time.Millisecond
	// resendInterval is the pause before a batch of a copy that was not
	// acknowledged, or the report of a complete copy (MsgSynced), is sent again.
	resendInterval = 500 * time.Millisecond
	// copyBatch is the number of records in one message of a copy. At about 60
	// bytes a record a batch has about 6 KB, which stays under what a node's
	// limit on control traffic of 11 KB/s allows in one second.
	copyBatch = 100
	// maxRecords bounds the memory of a shard; at about 120 bytes a record in
	// memory it is under 8 MB.
	maxRecords = 65536
	// sweepInterval is the pause between removals of expired records.
	sweepInterval = 10 * time.Second
)

// unackedClaim is a claim whose record the backup has not yet acknowledged.
type unackedClaim struct {
	id       Identity
	ticket   Ticket
	deadline mesh.Time
}

// ownedShard is a shard of which this node is primary or backup.
type ownedShard struct {
	view    Shard
	primary bool
	records map[Identity]Record

	// lastSeq is the sequence number of the latest MsgReplicate.
	lastSeq uint64
	unacked map[uint64]unackedClaim
	copying recordCopy
	sweepAt mesh.Time
}

// recordCopy is the transfer of all records to a joining backup.
type recordCopy struct {
	remaining []Identity
	seq       uint64 // of the batch in flight, 0 for none
	batch     []Identity
	sentAt    mesh.Time
	// grantsAwaitBackup is set before the primary reports a complete copy. From
	// then on the manager may make the backup a full member, so each grant
	// waits for the backup.
	grantsAwaitBackup bool
	// reportedAt is the time of the latest MsgSynced.
	reportedAt mesh.Time
}

// withView returns this node's state under a later view of the shard, or nil if
// the node is not a member in that view. A member keeps its records within an
// epoch, in which a joining backup can become a full member. In a new epoch it
// keeps them if the view names it as a full member and the shard has not started
// without records in between (same Since); it was then a full member all along,
// since only a full member of one epoch can be a full member at the start of the
// next. Other members start without records.
func (o *ownedShard) withView(self Replica, v *Shard) *ownedShard {
	primary := v.Primary == self
	if !primary && v.Backup != self {
		return nil
	}
	if o != nil && o.view.Epoch == v.Epoch {
		o.view = *v
		return o
	}
	n := &ownedShard{view: *v, primary: primary, unacked: make(map[uint64]unackedClaim)}
	if o != nil && o.view.Since == v.Since && v.isFullMember(self) {
		n.records, n.lastSeq = o.records, o.lastSeq
	} else {
		n.records = make(map[Identity]Record)
	}
	if primary && v.Joining {
		n.copying.remaining = sortedIdentities(n.records)
	}
	return n
}

// shardForRole returns the shard of the message if this node is its primary, or
// its backup if primary is false, in the epoch of the message. Otherwise it
// returns nil.
func (s *State) shardForRole(m *Message, primary bool) *ownedShard {
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
	o := s.shardForRole(m, true)
	if o == nil || m.ID.Home != s.domain || m.ID.Shard() != m.Shard {
		s.replyVerdict(out, m, VerdictUnavailable)
		return
	}
	if o.awaitsAck(m.Ticket) {
		// A repeated message. The record is stored already, so decide would
		// answer Granted, but the grant is released if the backup does not
		// acknowledge in time.
		return
	}
	verdict, decided := o.decide(now, m.ID, m.Ticket)
	if decided {
		s.replyVerdict(out, m, verdict)
		return
	}
	o.setRecord(m.ID, Granted, m.Ticket)
	seq := s.replicate(out, m.Shard, []Identity{m.ID})
	if seq == 0 || !o.needsAck() {
		s.replyVerdict(out, m, VerdictGranted)
		return
	}
	o.unacked[seq] = unackedClaim{id: m.ID, ticket: m.Ticket, deadline: now.Add(ackTimeout)}
}

// decide returns the verdict that follows from the creation time and the record
// of the identity. It reports false if the claim may be granted.
func (o *ownedShard) decide(now mesh.Time, id Identity, t Ticket) (Verdict, bool) {
	created := id.Created()
	switch {
	case created > now.Add(MaxFuture+MaxClockSkew):
		return VerdictFuture, true
	case created > now.Add(MaxFuture):
		// Too far ahead of this clock to be granted, but a previous primary whose
		// clock is ahead of this one may have granted it.
		return VerdictUnavailable, true
	case created < now.Add(-RetentionWindow):
		return VerdictDuplicate, true
	}
	record, known := o.records[id]
	switch {
	case known && record.State == Granted && record.Ticket == t:
		return VerdictGranted, true
	case known && record.State == Granted:
		return VerdictDuplicate, true
	case !known && created <= o.view.Since.Add(MaxFuture+MaxClockSkew):
		// The shard started without records at Since. Given that identities may be
		// ahead by MaxFuture and clocks may differ, this one may have been granted
		// before then and its record lost.
		return VerdictDuplicate, true
	case !known && len(o.records) >= maxRecords:
		return VerdictUnavailable, true
	}
	return 0, false
}

func (o *ownedShard) awaitsAck(t Ticket) bool {
	for _, w := range o.unacked {
		if w.ticket == t {
			return true
		}
	}
	return false
}

// needsAck reports whether a grant must wait for the backup.
func (o *ownedShard) needsAck() bool { return !o.view.Joining || o.copying.grantsAwaitBackup }

// setRecord stores a new state of an identity at the primary, as the next
// revision of its record.
func (o *ownedShard) setRecord(id Identity, state RecordState, t Ticket) {
	o.records[id] = Record{ID: id, State: state, Ticket: t, Epoch: o.view.Epoch, Revision: o.records[id].Revision + 1}
}

// storeIfNewer stores a record from the primary unless the backup has the same
// or a later change.
func (o *ownedShard) storeIfNewer(r Record) {
	if old, ok := o.records[r.ID]; ok && !r.isNewerThan(&old) {
		return
	}
	o.records[r.ID] = r
}

// replicate sends records to the backup and returns the sequence number that
// the backup will acknowledge, or 0 if the shard has no backup.
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
	o.lastSeq++
	s.send(out, o.view.Backup.Host, Message{
		Kind: MsgReplicate, Domain: s.domain, Shard: shard, Epoch: o.view.Epoch,
		Seq: o.lastSeq, Records: records,
	})
	return o.lastSeq
}

func (s *State) handleReplicate(m *Message, out *Effects) {
	o := s.shardForRole(m, false)
	if o == nil || m.From != o.view.Primary {
		return // this node is not the backup in that epoch, or the sender is not its primary
	}
	for _, r := range m.Records {
		o.storeIfNewer(r)
	}
	s.send(out, m.From.Host, Message{Kind: MsgAck, Domain: s.domain, Shard: m.Shard, Epoch: m.Epoch, Seq: m.Seq})
}

func (s *State) handleAck(m *Message, out *Effects) {
	o := s.shardForRole(m, true)
	if o == nil || m.From != o.view.Backup {
		return
	}
	if w, ok := o.unacked[m.Seq]; ok {
		delete(o.unacked, m.Seq)
		s.sendVerdict(out, m.Shard, w.id, w.ticket, VerdictGranted)
	}
	if m.Seq == o.copying.seq {
		o.copying.seq, o.copying.batch = 0, nil
	}
}

func (s *State) handleRelease(m *Message, out *Effects) {
	// The epoch is not checked, because the ticket identifies the grant.
	if o := s.owned[m.Shard]; m.Domain == s.domain && o != nil && o.primary {
		s.release(m.Shard, m.ID, m.Ticket, out)
	}
}

// release records that a granted request definitely did not run. The ticket
// must match, so that a late release cannot undo a later grant.
func (s *State) release(shard int, id Identity, t Ticket, out *Effects) {
	o := s.owned[shard]
	r, ok := o.records[id]
	if !ok || r.State != Granted || r.Ticket != t {
		return
	}
	o.setRecord(id, Released, t)
	s.replicate(out, shard, []Identity{id})
}

// replyVerdict answers the claim message m. It repeats the domain and shard of
// m, which need not be served by this node.
func (s *State) replyVerdict(out *Effects, m *Message, v Verdict) {
	s.send(out, m.Ticket.Requester.Host, Message{
		Kind: MsgVerdict, Domain: m.Domain, Shard: m.Shard, ID: m.ID, Ticket: m.Ticket, Verdict: v,
	})
}

// sendVerdict answers a claim of a shard of this node's domain after the wait
// for the backup, when the claim message is no longer at hand.
func (s *State) sendVerdict(out *Effects, shard int, id Identity, t Ticket, v Verdict) {
	s.send(out, t.Requester.Host, Message{
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
		for _, seq := range sortedKeys(o.unacked) {
			s.timeOutUnacked(now, i, seq, out)
		}
		if o.primary && o.view.Joining {
			s.continueCopy(now, i, out)
		}
		o.sweep(now)
	}
}

// timeOutUnacked abandons a grant that the backup did not acknowledge in time.
// The entry node never received the grant, so the record can be released.
func (s *State) timeOutUnacked(now mesh.Time, shard int, seq uint64, out *Effects) {
	o := s.owned[shard]
	w := o.unacked[seq]
	if now < w.deadline {
		return
	}
	delete(o.unacked, seq)
	s.release(shard, w.id, w.ticket, out)
	s.sendVerdict(out, shard, w.id, w.ticket, VerdictUnavailable)
}

// continueCopy sends the next batch of records to the joining backup, repeats a
// batch that was not acknowledged or reports the complete copy.
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
	case !c.grantsAwaitBackup || now.Sub(c.reportedAt) >= resendInterval:
		s.reportSynced(now, shard, out)
	}
}

// reportSynced asks the managers to make the backup a full member. Grants that
// did not wait for the backup may be missing there, so the first call starts
// another copy of all records, and the report follows once that copy is
// acknowledged.
func (s *State) reportSynced(now mesh.Time, shard int, out *Effects) {
	o := s.owned[shard]
	if !o.copying.grantsAwaitBackup {
		o.copying.grantsAwaitBackup = true
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

// sweep removes the records of identities so old that every node whose clock
// agrees with this one within MaxClockSkew answers a claim of them as a duplicate
// because of their age, without a record.
func (o *ownedShard) sweep(now mesh.Time) {
	if now < o.sweepAt {
		return
	}
	o.sweepAt = now.Add(sweepInterval)
	oldest := now.Add(-RetentionWindow - 2*MaxClockSkew)
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
